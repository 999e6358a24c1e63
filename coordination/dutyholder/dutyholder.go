// Package dutyholder carries out the duties that one instance holds at a time.
//
// The planner leader holds them. Its fencing token grows with each holder, and the elector
// keeps the lease between the calls of two holders.
package dutyholder

import (
	"context"
	"errors"
	"time"
)

// Leadership tells whether this instance holds the duties.
type Leadership interface {
	// FencingToken returns the fencing token of the current term, and whether this
	// instance may call now.
	FencingToken() (int64, bool)
}

// Errors of calls to the platform. After any other error the call may have been executed,
// or may be executed later.
var (
	// ErrFenced reports that the platform has seen a greater fencing token.
	ErrFenced = errors.New("the platform has seen a greater fencing token")
	// ErrThrottled reports a call that the platform did not execute because there were
	// too many.
	ErrThrottled = errors.New("too many calls to the platform")
)

// Timing of calls.
const (
	// tickInterval is the time between two checks of what is due.
	tickInterval = 100 * time.Millisecond
	// callTimeout bounds a call to the platform, and storeTimeout one to the store.
	callTimeout  = 1500 * time.Millisecond
	storeTimeout = time.Second
	// minBackoff and maxBackoff bound the time until the next call after a failed one.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// paceShare is the fraction of the calls a second that a holder uses.
	paceShare = 0.5
)

// pacer spaces calls. It doubles the time between them after each failure.
type pacer struct {
	interval time.Duration
	backoff  time.Duration
	nextAt   time.Time
}

func newPacer(callsPerSecond float64) pacer {
	interval := time.Duration(0)
	if callsPerSecond > 0 {
		interval = time.Duration(float64(time.Second) / (paceShare * callsPerSecond))
	}
	return pacer{interval: interval}
}

func (p *pacer) isDue(now time.Time) bool { return !now.Before(p.nextAt) }

func (p *pacer) succeeded(now time.Time) { p.backoff, p.nextAt = 0, now.Add(p.interval) }

func (p *pacer) failed(now time.Time) {
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.nextAt = now.Add(max(p.backoff, p.interval))
}

// runTicks calls step every tickInterval until the context ends.
func runTicks(ctx context.Context, step func(context.Context)) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			step(ctx)
		}
	}
}
