// Package budgeter limits retries with a retry budget per service.
//
// The budget holds for all instances together: in a sliding window, the number of
// retries is at most a fraction of the requests plus a fixed number. Each instance
// may use the fraction of its own requests and an equal share of the fixed
// number.
package budgeter

import (
	"sync"
	"time"
)

// Config configures a Budgeter.
type Config struct {
	// RetryRatio is the number of retries per request. It must not be negative.
	RetryRatio float64
	// ExtraRetries is the number of retries in a window beyond the ratio, over all
	// instances together.
	ExtraRetries float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Instances returns the number of instances that share ExtraRetries.
	Instances func() int
	// StartTime is the time at which the instance started. The window is computed
	// from the time since then, because the wall clock may jump.
	StartTime time.Time
}

// usedFraction is the fraction of the budget that is used. The rest covers the
// time in which instances join or leave and do not agree on their number.
const usedFraction = 0.8

// bucketCount is the number of time buckets in a window.
const bucketCount = 20

// Budgeter counts requests and retries per service. It is safe for concurrent
// use.
type Budgeter struct {
	config   Config
	mu       sync.Mutex
	services map[string]*window
}

// New returns a budgeter without any requests.
func New(config Config) *Budgeter {
	return &Budgeter{config: config, services: make(map[string]*window)}
}

// window counts requests and retries in a ring of time buckets.
type window struct {
	requests [bucketCount]float64
	retries  [bucketCount]float64
	// current is the number of the current bucket, counted from StartTime.
	current int64
}

// RecordRequest counts a request for a service.
func (b *Budgeter) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, bucket := b.currentBucket(service, now)
	w.requests[bucket]++
}

// TryRetry reports whether the budget of a service allows a retry, and counts the
// retry if it does.
func (b *Budgeter) TryRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, bucket := b.currentBucket(service, now)
	var requests, retries float64
	for i := range bucketCount {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	extra := b.config.ExtraRetries / float64(max(b.config.Instances(), 1))
	if retries+1 > usedFraction*(b.config.RetryRatio*requests+extra) {
		return false
	}
	w.retries[bucket]++
	return true
}

// currentBucket returns the window of a service and the index of the current
// bucket. It clears the buckets that have expired.
func (b *Budgeter) currentBucket(service string, now time.Time) (*window, int) {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	number := int64(now.Sub(b.config.StartTime) / (b.config.Window / bucketCount))
	for expired := min(number-w.current, bucketCount); expired > 0; expired-- {
		bucket := (number - expired + 1) % bucketCount
		w.requests[bucket], w.retries[bucket] = 0, 0
	}
	w.current = max(number, w.current)
	return w, int(w.current % bucketCount)
}
