// Package throttler tracks the request rates to which upstreams ask to be limited.
//
// An upstream names such a limit in its responses, and the limit holds for all
// instances together until a response no longer names it. Instances exchange what they
// have been told. A response that contradicts what an instance knows gets a version
// above it, so the latest statement prevails at all instances without a common clock.
package throttler

import (
	"errors"
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
)

const (
	// reportCount is how often an instance reports what an upstream has told it, since
	// messages may be lost.
	reportCount = 3
	// repeatPeriod is the time between two reports of an active limit, by any instance.
	// An instance that starts learns of it from them.
	repeatPeriod = 2 * time.Second
	// retention is how long a statement is kept for an upstream that is not registered.
	retention = 10 * time.Second
	// maxReported bounds the statements in a report, which must fit into a datagram.
	maxReported = 200
)

// Limit is a limit of the requests to an upstream, over all instances.
type Limit struct {
	// IsActive is false if the upstream has no limit.
	IsActive bool `cbor:"1,keyasint,omitempty"`
	// PerSecond is the rate in requests per second. It is finite and not negative, and 0
	// if there is no limit.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
}

// Statement is what an upstream has said about its limit.
type Statement struct {
	Upstream string `cbor:"1,keyasint"`
	// StartUnixMilli identifies the incarnation of the upstream.
	StartUnixMilli int64 `cbor:"2,keyasint"`
	Limit          Limit `cbor:"3,keyasint"`
	// Version orders the statements of an incarnation. It is at least 1.
	Version uint32 `cbor:"4,keyasint"`
}

// ErrInvalidStatement reports a statement without an upstream or with an invalid rate.
var ErrInvalidStatement = errors.New("statement about a rate limit without an upstream, a version or a valid rate")

// Validate implements encoder.Validator.
func (s Statement) Validate() error {
	rate := s.Limit.PerSecond
	if s.Upstream == "" || s.Version == 0 || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return ErrInvalidStatement
	}
	return nil
}

// supersedes reports whether a statement replaces another one about the same upstream.
// Of two with the same version, which were made at the same time, the stricter one
// prevails.
func (s *Statement) supersedes(other *Statement) bool {
	switch {
	case s.StartUnixMilli != other.StartUnixMilli:
		return s.StartUnixMilli > other.StartUnixMilli
	case s.Version != other.Version:
		return s.Version > other.Version
	case s.Limit.IsActive != other.Limit.IsActive:
		return s.Limit.IsActive
	}
	return s.Limit.PerSecond < other.Limit.PerSecond
}

// Config configures a Throttler. All fields are required. OnNews and OnChange must not
// block, and not call the Throttler.
type Config struct {
	// IsRegistered reports whether an incarnation of an upstream is registered.
	IsRegistered func(upstream string, startUnixMilli int64) bool
	// OnNews is called when there is something to tell the peers at once.
	OnNews func()
	// OnChange is called when the limit of an upstream has changed.
	OnChange func(statement Statement)
}

// record is what is known of an upstream's limit. It is immutable.
type record struct {
	Statement
	changedAt time.Time
}

// reporting is the state of the reports of a statement.
type reporting struct {
	// left is the number of reports that this instance still makes because an upstream
	// told it.
	left int
	// reportedAt is when any instance last reported the statement.
	reportedAt time.Time
}

// Throttler holds the limits of upstreams. It is safe for concurrent use.
type Throttler struct {
	config Config
	// records holds the latest statement of each upstream that has named a limit. The
	// map is replaced at each change, so that readers need no lock.
	records atomic.Pointer[map[string]record]

	mu        sync.Mutex
	reporting map[string]reporting
}

// New returns a throttler without limits.
func New(config Config) *Throttler {
	t := &Throttler{config: config, reporting: make(map[string]reporting)}
	t.records.Store(&map[string]record{})
	return t
}

// Limit returns the limit of an incarnation of an upstream.
func (t *Throttler) Limit(upstream *catalog.Upstream) Limit {
	known := (*t.records.Load())[upstream.ID]
	if known.StartUnixMilli != upstream.StartUnixMilli {
		return Limit{}
	}
	return known.Limit
}

// ActiveLimits returns the number of upstreams that are limited.
func (t *Throttler) ActiveLimits() int {
	count := 0
	for _, known := range *t.records.Load() {
		if known.Limit.IsActive {
			count++
		}
	}
	return count
}

// Observe records what a response of an upstream says about its limit.
func (t *Throttler) Observe(upstream *catalog.Upstream, limit Limit, now time.Time) {
	if t.Limit(upstream) == limit {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := (*t.records.Load())[upstream.ID]
	isOfPredecessor := upstream.StartUnixMilli < known.StartUnixMilli
	if isOfPredecessor || t.Limit(upstream) == limit {
		return
	}
	next := Statement{Upstream: upstream.ID, StartUnixMilli: upstream.StartUnixMilli, Limit: limit, Version: 1}
	if known.StartUnixMilli == upstream.StartUnixMilli {
		next.Version = known.Version + 1
	}
	t.set(next, now)
	t.reporting[upstream.ID] = reporting{left: reportCount}
	t.config.OnNews()
}

// Merge applies the statements that a peer reports.
func (t *Throttler) Merge(statements []Statement, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range statements {
		statement := &statements[i]
		known, found := (*t.records.Load())[statement.Upstream]
		if !found || statement.supersedes(&known.Statement) {
			t.set(*statement, now)
			t.reporting[statement.Upstream] = reporting{reportedAt: now}
		} else if *statement == known.Statement {
			state := t.reporting[statement.Upstream]
			state.reportedAt = now
			t.reporting[statement.Upstream] = state
		}
	}
}

// Report returns what to tell the peers now: what upstreams have told this instance,
// and with withRepeats the active limits that no instance has reported for repeatPeriod.
func (t *Throttler) Report(withRepeats bool, now time.Time) []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetUnregistered(now)
	var report []Statement
	for upstream, known := range *t.records.Load() {
		state := t.reporting[upstream]
		isRepeat := withRepeats && known.Limit.IsActive && now.Sub(state.reportedAt) >= repeatPeriod
		if state.left == 0 && !isRepeat || len(report) == maxReported {
			continue
		}
		report = append(report, known.Statement)
		t.reporting[upstream] = reporting{left: max(state.left-1, 0), reportedAt: now}
	}
	return report
}

// forgetUnregistered removes the statements of upstreams that are gone. The caller must
// lock mu.
func (t *Throttler) forgetUnregistered(now time.Time) {
	isGone := func(upstream string, known record) bool {
		return now.Sub(known.changedAt) > retention && !t.config.IsRegistered(upstream, known.StartUnixMilli)
	}
	var next map[string]record
	for upstream, known := range *t.records.Load() {
		if !isGone(upstream, known) {
			continue
		}
		if next == nil {
			next = maps.Clone(*t.records.Load())
		}
		delete(next, upstream)
		delete(t.reporting, upstream)
	}
	if next != nil {
		t.records.Store(&next)
	}
}

// set replaces the statement of an upstream. The caller must lock mu.
func (t *Throttler) set(statement Statement, now time.Time) {
	next := maps.Clone(*t.records.Load())
	next[statement.Upstream] = record{Statement: statement, changedAt: now}
	t.records.Store(&next)
	t.config.OnChange(statement)
}
