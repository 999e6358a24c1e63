// Package hedger decides when a call that waits for a slow upstream may be sent to a second one.
//
// It learns the times to the first byte on each route, and allows a hedge after a percentile of
// them. The hedges of an instance are limited to a fraction of the requests that it has sent
// first, in each sliding window that ends with a hedge. As each instance keeps to this by its own
// requests, instances need not know of each other.
package hedger

import (
	"sync"
	"time"
)

// Config configures a Hedger.
type Config struct {
	// MaxExtra is the maximum number of hedges per request, in each window. At 0 there are no
	// hedges. It must not be negative.
	MaxExtra float64
	// Percentile is the fraction of the requests that respond before the delay. It must be
	// between 0 and 1.
	Percentile float64
	// Window is the length of the sliding window.
	Window time.Duration
	// StartTime is the time at which the instance started. The window is computed from the
	// time since then, because the wall clock may jump.
	StartTime time.Time
}

// Route identifies the requests whose times are compared.
type Route struct {
	Name    string
	Service string
}

// Cause is why a hedge is denied.
type Cause int

// The causes for which a hedge is denied.
const (
	// Allowed means that the hedge may be sent.
	Allowed Cause = iota
	// Off means that the operators allow no hedges.
	Off
	// Unknown means that too few recent times are known.
	Unknown
	// NotRepeatable means that the request must not run twice.
	NotRepeatable
	// AttemptsUsed means that the route allows no further attempt.
	AttemptsUsed
	// DeadlineNear means that a second attempt would hardly end before the deadline.
	DeadlineNear
	// Overload means that the upstreams are busy, or that all of them are slow.
	Overload
	// NoOtherUpstream means that no other upstream has enough capacity free.
	NoOtherUpstream
	// Budget means that the limit of the operators, or the budget of retries, is used up.
	Budget
)

// String implements fmt.Stringer.
func (c Cause) String() string {
	return [...]string{
		"allowed", "off", "unknown", "not_repeatable", "attempts_used", "deadline_near", "overload",
		"no_other_upstream", "budget",
	}[c]
}

// Question describes a request whose first attempt has not responded within the delay.
type Question struct {
	Route Route
	// IsRepeatable means that the request may run more than once.
	IsRepeatable bool
	// Attempts is the number of attempts that were sent, including the one that is slow.
	// MaxAttempts is the number that the route allows.
	Attempts, MaxAttempts int
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// HasQueue means that other requests wait for the same upstreams.
	HasQueue bool
}

// Hedger decides on hedges. It is safe for concurrent use.
type Hedger struct {
	config   Config
	mu       sync.Mutex
	services map[string]*window
	routes   map[Route]*history
}

// New returns a hedger that has learned nothing.
func New(config Config) *Hedger {
	return &Hedger{config: config, services: make(map[string]*window), routes: make(map[Route]*history)}
}

// IsOn reports whether the operators allow hedges.
func (h *Hedger) IsOn() bool { return h.config.MaxExtra > 0 }

// RecordSend counts a request that is sent for the first time.
func (h *Hedger) RecordSend(service string, now time.Time) {
	if !h.IsOn() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	w, bucket := h.currentBucket(service, now)
	w.requests[bucket]++
}

// Observe records the time to the first byte of a first attempt, or the time after which it was
// cancelled for the benefit of its hedge.
func (h *Hedger) Observe(route Route, duration time.Duration, now time.Time) {
	if !h.IsOn() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history(route).add(duration, now)
}

// Delay returns the time after which a hedge may be sent, or false if it is unknown.
func (h *Hedger) Delay(route Route, now time.Time) (time.Duration, bool) {
	if !h.IsOn() {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.history(route).delay(h.config.Percentile, now)
}

// Take returns Allowed if a hedge may be sent, and counts it. Otherwise it returns why not.
func (h *Hedger) Take(question *Question, now time.Time) Cause {
	if !h.IsOn() {
		return Off
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	times := h.history(question.Route)
	times.recordLate(now)
	median, isKnown := times.median(now)
	switch {
	case !question.IsRepeatable:
		return NotRepeatable
	case !isKnown:
		return Unknown
	case question.Attempts >= question.MaxAttempts:
		return AttemptsUsed
	case question.TimeLeft < median:
		return DeadlineNear
	case question.HasQueue || times.areMostLate(h.config.Percentile):
		return Overload
	}
	w, bucket := h.currentBucket(question.Route.Service, now)
	if w.hedgesInWindow()+1 > h.config.MaxExtra*w.requestsInWindow() {
		return Budget
	}
	w.hedges[bucket]++
	return Allowed
}

// Return takes back a hedge that was counted at the given time and then not sent.
func (h *Hedger) Return(service string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	number := h.bucketNumber(at)
	if w := h.services[service]; w != nil && w.current-number < hedgeBuckets {
		w.hedges[number%hedgeBuckets]--
	}
}

func (h *Hedger) history(route Route) *history {
	times := h.routes[route]
	if times == nil {
		times = &history{}
		h.routes[route] = times
	}
	return times
}
