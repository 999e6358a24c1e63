// Package tallier counts the requests of each workspace that began to run, by window of
// the wall clock, over all instances.
//
// Each instance reports how many requests it has counted since the start of a window. Such a
// report may be repeated, lost, or overtaken by a newer one: the largest value counts.
package tallier

import (
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/crocushollow/crocushollow"
)

const (
	// MaxWindows is the number of windows that are kept until they are settled.
	MaxWindows = 24
	// maxWindowsAhead is the number of windows by which the clock of another instance
	// may be ahead.
	maxWindowsAhead = 2
	// maxReportCounts bounds the counts in one report, which must fit into a datagram.
	maxReportCounts = 400
	// repeatInterval is the time between two reports of counts that have not changed.
	repeatInterval = 2 * time.Second
)

// Source identifies an instance between two starts.
type Source struct {
	Instance    string
	Incarnation crocushollow.Incarnation
}

// Report is what one instance has counted since the start of a window.
type Report struct {
	Window int64 `cbor:"1,keyasint"`
	// Counts holds positive numbers of requests by workspace.
	Counts map[string]int64 `cbor:"2,keyasint"`
}

var errInvalidReport = errors.New("usage report with a negative window, a negative count or no workspace")

// Validate implements encoder.Validator.
func (r Report) Validate() error {
	if r.Window < 0 {
		return errInvalidReport
	}
	for workspace, count := range r.Counts {
		if workspace == "" || count < 0 || count > math.MaxInt32 {
			return errInvalidReport
		}
	}
	return nil
}

// Config configures a Tallier. All fields are required.
type Config struct {
	Self Source
	// Window is the length of a window. Windows are numbered from the start of 1970.
	Window time.Duration
	// StartTime is when this instance started.
	StartTime time.Time
}

// Tallier counts requests. It is safe for concurrent use.
type Tallier struct {
	config Config

	mu sync.Mutex
	// settled is the last window that is settled, with all before it.
	settled int64
	windows map[int64]*window
}

// window holds the counts of one window.
type window struct {
	counts map[Source]map[string]int64
	// isChanged means that this instance has counted since its last report, which it sent
	// to sentTo at sentAt.
	isChanged bool
	sentTo    string
	sentAt    time.Time
}

// New returns a tallier that has counted nothing. Windows that ended before the start
// time are settled as far as it knows only once it hears so.
func New(config Config) *Tallier {
	return &Tallier{config: config, settled: -1, windows: make(map[int64]*window)}
}

// WindowAt returns the number of the window at a time.
func (t *Tallier) WindowAt(at time.Time) int64 { return at.UnixNano() / int64(t.config.Window) }

// EndOf returns the end of a window.
func (t *Tallier) EndOf(number int64) time.Time {
	return time.Unix(0, (number+1)*int64(t.config.Window))
}

// Record counts a request that began to run. A request that began in a settled window, by a
// clock that was set back, counts in the next one.
func (t *Tallier) Record(workspace string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	number := max(t.WindowAt(now), t.settled+1)
	w := t.window(number)
	w.isChanged = true
	w.of(t.config.Self)[workspace]++
}

// Merge adds a report of another instance. Reports of settled windows are ignored, and so
// are those of windows that are far from the current one.
func (t *Tallier) Merge(source Source, report Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.WindowAt(now)
	if report.Window <= t.settled || report.Window > current+maxWindowsAhead || report.Window <= current-MaxWindows {
		return
	}
	counts := t.window(report.Window).of(source)
	for workspace, count := range report.Counts {
		counts[workspace] = max(counts[workspace], count)
	}
}

// Totals returns the counts of a window over all instances.
func (t *Tallier) Totals(number int64) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := make(map[string]int64)
	if w := t.windows[number]; w != nil {
		for _, counts := range w.counts {
			for workspace, count := range counts {
				totals[workspace] += count
			}
		}
	}
	return totals
}

// First returns the first window that is not settled: the first one that has counts, or that
// in which this instance started if it is earlier.
func (t *Tallier) First() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.WindowAt(t.config.StartTime)
	for number := range t.windows {
		first = min(first, number)
	}
	return max(first, t.settled+1)
}

// Settle forgets a window and all before it.
func (t *Tallier) Settle(number int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settled = max(t.settled, number)
	maps.DeleteFunc(t.windows, func(other int64, _ *window) bool { return other <= t.settled })
}

// Settled returns the last window that is settled, or -1.
func (t *Tallier) Settled() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.settled
}

// Reports returns this instance's counts that the receiver has not got, or may not have got.
func (t *Tallier) Reports(receiver string, now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for number, w := range t.windows {
		counts := w.counts[t.config.Self]
		if len(counts) == 0 || !w.isChanged && w.sentTo == receiver && now.Sub(w.sentAt) < repeatInterval {
			continue
		}
		w.isChanged, w.sentTo, w.sentAt = false, receiver, now
		reports = append(reports, split(number, counts)...)
	}
	return reports
}

// split returns the counts of a window in reports of bounded size.
func split(number int64, counts map[string]int64) []Report {
	var reports []Report
	for chunk := range slices.Chunk(slices.Sorted(maps.Keys(counts)), maxReportCounts) {
		report := Report{Window: number, Counts: make(map[string]int64, len(chunk))}
		for _, workspace := range chunk {
			report.Counts[workspace] = counts[workspace]
		}
		reports = append(reports, report)
	}
	return reports
}

// window returns a window, and forgets the oldest ones if there are too many. The caller must
// lock mu.
func (t *Tallier) window(number int64) *window {
	w := t.windows[number]
	if w == nil {
		w = &window{counts: make(map[Source]map[string]int64)}
		t.windows[number] = w
		maps.DeleteFunc(t.windows, func(other int64, _ *window) bool { return other <= number-MaxWindows })
	}
	return w
}

// of returns the counts of a source.
func (w *window) of(source Source) map[string]int64 {
	counts := w.counts[source]
	if counts == nil {
		counts = make(map[string]int64)
		w.counts[source] = counts
	}
	return counts
}
