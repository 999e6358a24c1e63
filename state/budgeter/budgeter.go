// Package budgeter bounds how often requests are sent again.
//
// The bound is fleet-wide: in a sliding window a service may get repeated
// requests up to a fraction of its requests plus a fixed number. An instance
// spends its own fraction and an even part of the fixed number.
package budgeter

import (
	"sync"
	"time"
)

// Config configures a Budgeter.
type Config struct {
	// RetryRatio is the number of repeats per request. It is not negative.
	RetryRatio float64
	// ExtraRetries is the number of repeats in a window beyond the ratio, over all
	// instances together.
	ExtraRetries float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Instances returns the number of instances that share Extra.
	Instances func() int
	// StartTime is when the instance started. Time is counted from it, since the
	// time of day may jump.
	StartTime time.Time
}

// safety is the part of the bound that is used. The rest covers instances that
// count each other differently while some of them come and go.
const safety = 0.8

// buckets is the number of parts that a window is counted in.
const buckets = 20

// Budgeter is safe for concurrent use.
type Budgeter struct {
	config   Config
	mu       sync.Mutex
	services map[string]*window
}

// New returns a budgeter.
func New(config Config) *Budgeter {
	return &Budgeter{config: config, services: make(map[string]*window)}
}

// window counts requests and repeats in buckets of time.
type window struct {
	requests [buckets]float64
	repeats  [buckets]float64
	// newest is the number of the newest bucket since the start.
	newest int64
}

// RecordRequest counts a request for a service.
func (b *Budgeter) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, slot := b.at(service, now)
	w.requests[slot]++
}

// TryRetry counts a repeat if the budget has room for it, and reports whether it
// had.
func (b *Budgeter) TryRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, slot := b.at(service, now)
	var requests, repeats float64
	for i := range buckets {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	extra := b.config.ExtraRetries / float64(max(b.config.Instances(), 1))
	if repeats+1 > safety*(b.config.RetryRatio*requests+extra) {
		return false
	}
	w.repeats[slot]++
	return true
}

// at returns a service's window, brought up to date, and its newest bucket.
func (b *Budgeter) at(service string, now time.Time) (*window, int) {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	number := int64(now.Sub(b.config.StartTime) / (b.config.Window / buckets))
	for steps := min(number-w.newest, buckets); steps > 0; steps-- {
		slot := (number - steps + 1) % buckets
		w.requests[slot], w.repeats[slot] = 0, 0
	}
	w.newest = max(number, w.newest)
	return w, int(w.newest % buckets)
}
