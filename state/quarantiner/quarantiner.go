// Package quarantiner finds the requests, and the parts of prompts, that crash
// upstreams, so that they can be refused.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// crashLimit is the number of sound incarnations from which on a request that has
	// crashed them is refused.
	crashLimit = 2
	// crashRetention is how long the crashes of a request count after the last
	// one, and how long an incarnation is taken for faulty after its last one.
	crashRetention = 60 * time.Second
	// commonCauseTime is the time within which crashes of one incarnation have one cause:
	// all that an upstream runs ends with it, and a lost machine is noticed late.
	commonCauseTime = 2 * time.Second
	// reportPeriod is how long a crash or a completion is reported to peers.
	reportPeriod = 5 * time.Second
	// repeatPeriod is the time between two repetitions of a quarantined part, or of the crashes
	// of a quarantined request, by any instance. An instance that starts must learn of them in
	// less time than the operators allow, also if a message is lost. maxRepeatedCrashes bounds
	// the crashes of a request in one repetition.
	repeatPeriod       = time.Second
	maxRepeatedCrashes = 4
	// maxEntries bounds the requests, and the incarnations, whose crashes are known.
	// maxCrashes bounds the crashes of one request.
	maxEntries = 4096
	maxCrashes = 32
)

// Fingerprint identifies a request across retries by a hash of its workspace, its
// path and its body.
type Fingerprint uint64

// Incarnation identifies the time of an upstream from one start to its end.
type Incarnation uint64

// Crash is an upstream that crashed or closed the connection while it executed a request.
type Crash struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Age is the time since the crash.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// HasEnded means that the incarnation has certainly ended.
	HasEnded bool `cbor:"4,keyasint,omitempty"`
}

// Completion is a request that has completed after it seemed to crash upstreams.
type Completion struct {
	Fingerprint Fingerprint   `cbor:"1,keyasint"`
	Age         time.Duration `cbor:"2,keyasint,omitempty"`
}

// RequestReport is what an instance tells its peers about requests.
type RequestReport struct {
	Crashes     []Crash      `cbor:"1,keyasint,omitempty"`
	Completions []Completion `cbor:"2,keyasint,omitempty"`
	// Quarantined repeats crashes of quarantined requests, at any instance.
	Quarantined []Crash `cbor:"3,keyasint,omitempty"`
}

// IsEmpty reports whether there is nothing to tell.
func (r *RequestReport) IsEmpty() bool {
	return len(r.Crashes) == 0 && len(r.Completions) == 0 && len(r.Quarantined) == 0
}

// mark is the time of a crash or a completion.
type mark struct {
	at time.Time
	// isOwn means that this instance has seen it.
	isOwn bool
	// hasEnded is set for crashes of incarnations that have certainly ended.
	hasEnded bool
}

// isNews reports whether the peers should be told.
func (m *mark) isNews(now time.Time) bool { return m.isOwn && now.Sub(m.at) < reportPeriod }

// requestEntry is what is known of a request.
type requestEntry struct {
	// crashes are those since the last completion.
	crashes    map[Incarnation]mark
	completion mark
	// latest is the time of the latest crash, or that of the entry's creation without one.
	latest time.Time
	// repeatedAt is when any instance last repeated the crashes of a quarantined request.
	repeatedAt time.Time
	// refutedAt is when a peer last reported a crash before the completion.
	refutedAt time.Time
}

// incarnationEntry is what is known of an incarnation that has crashed and not completed a
// request since.
type incarnationEntry struct {
	fingerprint Fingerprint
	// first and latest are the times of the first crash and of the latest one.
	first, latest time.Time
	// isFaulty means that requests failed that have nothing in common but the upstream.
	isFaulty bool
}

// Config configures a Quarantiner.
type Config struct {
	// IsExplained reports whether something is known to have crashed an incarnation that a
	// request, which ran there too, does not have. It must not block. Nothing is explained if
	// it is nil.
	IsExplained func(Incarnation, Fingerprint) bool
}

// Quarantiner finds requests that crash upstreams, whichever upstream runs them. Failures of
// an upstream that lives on and fails at other work too say nothing about a request. A
// request that has completed does not crash upstreams. It is safe for concurrent use.
type Quarantiner struct {
	config Config

	mu           sync.Mutex
	requests     map[Fingerprint]*requestEntry
	incarnations map[Incarnation]*incarnationEntry
}

// New returns a quarantiner without any crashes.
func New(config Config) *Quarantiner {
	return &Quarantiner{config: config, requests: make(map[Fingerprint]*requestEntry), incarnations: make(map[Incarnation]*incarnationEntry)}
}

// RecordCrash records an upstream that crashed or closed the connection while it
// executed a request.
func (q *Quarantiner) RecordCrash(fingerprint Fingerprint, incarnation Incarnation, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.add(fingerprint, incarnation, mark{at: now, isOwn: true}, now)
}

// RecordEnd records that an incarnation has certainly ended while it executed a request, in
// addition to RecordCrash.
func (q *Quarantiner) RecordEnd(fingerprint Fingerprint, incarnation Incarnation, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.add(fingerprint, incarnation, mark{at: now, isOwn: true, hasEnded: true}, now)
}

// RecordCompletion records that an upstream has completed a request, so that it is not the
// request that has crashed others, and that the upstream does not fail at all its work.
func (q *Quarantiner) RecordCompletion(fingerprint Fingerprint, incarnation Incarnation, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.incarnations, incarnation)
	if e := q.requests[fingerprint]; e != nil && len(e.crashes) > 0 {
		e.complete(mark{at: now, isOwn: true})
	}
}

// IsQuarantined reports whether a request has crashed so many upstreams, over all
// instances, that it must not be sent to another one.
func (q *Quarantiner) IsQuarantined(fingerprint Fingerprint, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.requests[fingerprint]
	return e != nil && q.isQuarantined(fingerprint, e, now)
}

// isQuarantined reports whether the crashes of a request suffice to refuse it. The caller must
// lock mu.
func (q *Quarantiner) isQuarantined(fingerprint Fingerprint, e *requestEntry, now time.Time) bool {
	if len(e.crashes) < crashLimit || now.Sub(e.latest) > crashRetention {
		return false
	}
	ended, sound, faulty := 0, 0, 0
	for incarnation, crash := range e.crashes {
		switch known := q.incarnations[incarnation]; {
		case q.config.IsExplained != nil && q.config.IsExplained(incarnation, fingerprint):
		case crash.hasEnded:
			ended++
		case known == nil || !known.isFaulty || now.Sub(known.latest) > crashRetention:
			sound++
		default:
			faulty++
		}
	}
	return ended >= crashLimit || ended+sound >= crashLimit && ended+sound > faulty
}

// Merge applies a peer's report.
func (q *Quarantiner) Merge(report *RequestReport, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, completion := range report.Completions {
		at := now.Add(-max(completion.Age, 0))
		if e := q.request(completion.Fingerprint, now); at.After(e.completion.at) {
			e.complete(mark{at: at})
		}
	}
	for _, crash := range report.Crashes {
		q.mergeCrash(crash, now)
	}
	for _, crash := range report.Quarantined {
		q.mergeCrash(crash, now)
		q.request(crash.Fingerprint, now).repeatedAt = now
	}
}

// mergeCrash applies a crash that a peer knows. If the request has completed since, the peer
// has not heard of it. The caller must lock mu.
func (q *Quarantiner) mergeCrash(crash Crash, now time.Time) {
	at := now.Add(-max(crash.Age, 0))
	if e := q.requests[crash.Fingerprint]; e != nil && !at.After(e.completion.at) {
		e.refutedAt = now
		return
	}
	q.add(crash.Fingerprint, crash.Incarnation, mark{at: at, hasEnded: crash.HasEnded}, now)
}

// Report returns what the peers should be told now, with at most limit crashes and as many
// completions. Of a request with news it tells all crashes, as earlier reports may be lost,
// and it begins with the requests of which there are most.
func (q *Quarantiner) Report(limit int, now time.Time) RequestReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	var report RequestReport
	var news [][]Crash
	for fingerprint, e := range q.requests {
		if e.isCompletionNews(now) && len(report.Completions) < limit {
			report.Completions = append(report.Completions, Completion{Fingerprint: fingerprint, Age: now.Sub(e.completion.at)})
		}
		if crashes := e.ownCrashes(fingerprint, now); len(crashes) > 0 {
			news = append(news, crashes)
		}
	}
	slices.SortFunc(news, func(a, b []Crash) int { return cmp.Compare(len(b), len(a)) })
	for _, crashes := range news {
		report.Crashes = append(report.Crashes, crashes[:min(len(crashes), limit-len(report.Crashes))]...)
	}
	return report
}

// Repeat returns crashes of the quarantined requests that no instance has repeated lately, at
// most limit of them. An instance that starts, or was cut off, learns of them from any other one.
func (q *Quarantiner) Repeat(limit int, now time.Time) RequestReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	var report RequestReport
	for fingerprint, e := range q.requests {
		if now.Sub(e.repeatedAt) < repeatPeriod || !q.isQuarantined(fingerprint, e, now) {
			continue
		}
		crashes := e.repeatedCrashes(fingerprint, now)
		if len(report.Quarantined)+len(crashes) > limit {
			continue
		}
		e.repeatedAt = now
		report.Quarantined = append(report.Quarantined, crashes...)
	}
	return report
}

// isCompletionNews reports whether the peers should be told that the request has completed.
func (e *requestEntry) isCompletionNews(now time.Time) bool {
	return e.completion.isNews(now) || !e.completion.at.IsZero() && now.Sub(e.refutedAt) < reportPeriod
}

// repeatedCrashes returns the crashes that show best that the request crashes upstreams: those
// of incarnations that have ended, and then the latest ones.
func (e *requestEntry) repeatedCrashes(fingerprint Fingerprint, now time.Time) []Crash {
	crashes := make([]Crash, 0, len(e.crashes))
	for incarnation, crash := range e.crashes {
		crashes = append(crashes, Crash{Fingerprint: fingerprint, Incarnation: incarnation, Age: now.Sub(crash.at), HasEnded: crash.hasEnded})
	}
	slices.SortFunc(crashes, func(a, b Crash) int {
		if a.HasEnded != b.HasEnded {
			if a.HasEnded {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Age, b.Age)
	})
	return crashes[:min(len(crashes), maxRepeatedCrashes)]
}

// ownCrashes returns the crashes that this instance has seen, if one of them is news.
func (e *requestEntry) ownCrashes(fingerprint Fingerprint, now time.Time) []Crash {
	var crashes []Crash
	hasNews := false
	for incarnation, crash := range e.crashes {
		if crash.isOwn {
			hasNews = hasNews || crash.isNews(now)
			crashes = append(crashes, Crash{Fingerprint: fingerprint, Incarnation: incarnation, Age: now.Sub(crash.at), HasEnded: crash.hasEnded})
		}
	}
	if !hasNews {
		return nil
	}
	return crashes
}

// add records a crash unless the request has completed since. The caller must lock mu.
func (q *Quarantiner) add(fingerprint Fingerprint, incarnation Incarnation, crash mark, now time.Time) {
	e := q.request(fingerprint, now)
	if !crash.at.After(e.completion.at) {
		return
	}
	if len(e.crashes) == 0 {
		e.latest = crash.at
	}
	if crash.at.Sub(e.latest) > crashRetention || len(e.crashes) >= maxCrashes {
		clear(e.crashes)
	}
	if known, isKnown := e.crashes[incarnation]; isKnown {
		known.isOwn, known.hasEnded = known.isOwn || crash.isOwn, known.hasEnded || crash.hasEnded
		e.crashes[incarnation] = known
		return
	}
	e.crashes[incarnation] = crash
	if crash.at.After(e.latest) {
		e.latest = crash.at
	}
	q.blame(fingerprint, incarnation, crash.at, now)
}

// blame takes an incarnation for faulty if requests have failed at it that have nothing else
// in common. The caller must lock mu.
func (q *Quarantiner) blame(fingerprint Fingerprint, incarnation Incarnation, at, now time.Time) {
	known := q.incarnations[incarnation]
	if known == nil || now.Sub(known.latest) > crashRetention {
		evict(q.incarnations, func(e *incarnationEntry) time.Time { return e.latest }, now)
		q.incarnations[incarnation] = &incarnationEntry{fingerprint: fingerprint, first: at, latest: at}
		return
	}
	if known.fingerprint != fingerprint && at.Sub(known.first).Abs() >= commonCauseTime {
		known.isFaulty = true
	}
	if at.After(known.latest) {
		known.latest = at
	}
}

// request returns the entry of a request and creates it when needed. The caller must
// lock mu.
func (q *Quarantiner) request(fingerprint Fingerprint, now time.Time) *requestEntry {
	e := q.requests[fingerprint]
	if e != nil {
		return e
	}
	evict(q.requests, func(e *requestEntry) time.Time { return e.latest }, now)
	e = &requestEntry{crashes: make(map[Incarnation]mark), latest: now}
	q.requests[fingerprint] = e
	return e
}

// complete forgets the crashes up to a completion.
func (e *requestEntry) complete(completion mark) {
	e.completion = completion
	maps.DeleteFunc(e.crashes, func(_ Incarnation, crash mark) bool { return !crash.at.After(completion.at) })
}

// evict removes expired entries once there is no room for another one, and then arbitrary
// entries until a quarter of the capacity is free.
func evict[K comparable, E any](entries map[K]E, latest func(E) time.Time, now time.Time) {
	if len(entries) < maxEntries {
		return
	}
	maps.DeleteFunc(entries, func(_ K, e E) bool { return now.Sub(latest(e)) > crashRetention })
	for key := range entries {
		if len(entries) <= maxEntries*3/4 {
			return
		}
		delete(entries, key)
	}
}
