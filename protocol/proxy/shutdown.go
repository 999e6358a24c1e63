package proxy

import (
	"errors"
	"net/http"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/state/estimator"
)

// Shutdown is the state of an instance's shutdown. It is zero before the shutdown.
type Shutdown struct {
	BeganAt time.Time
	// CallersMoveBy is when the callers that keep addresses only for as long as they were
	// told use other instances.
	CallersMoveBy time.Time
	// EndsAt is when the instance aborts the calls in flight.
	EndsAt time.Time
	// RunsUntil is until when the instance certainly runs. It comes before EndsAt if the end of
	// the grace period, as the platform counts it, may come before EndsAt.
	RunsUntil time.Time
	// EarlyUntil is the time until which so much is left that calls are accepted of whose
	// route little is known.
	EarlyUntil time.Time
	// OthersReady reports whether other instances accept calls, and NearlyAllReady whether
	// so many do that the first retry of a rejected call reaches one.
	OthersReady, NearlyAllReady bool
	// RetryAfter is the time after which another instance accepts calls.
	RetryAfter time.Duration
}

// ErrStopped is the cause with which the context of a call is canceled when the instance stops.
var ErrStopped = errors.New("the instance has stopped")

// errShuttingDown rejects a call that would be aborted at the end of the shutdown.
var errShuttingDown = rejecter.New(http.StatusServiceUnavailable, rejecter.InstanceShuttingDown,
	"the instance is shutting down and the request may take longer than that")

// ShutdownCheck is the last check of a call during the shutdown, by which it was accepted or
// rejected.
type ShutdownCheck struct {
	// Since is the time since the shutdown began, and Left that until it ends.
	Since, Left time.Duration
	// Estimate is the zero value if the instance certainly runs until the call's deadline.
	Estimate estimator.Estimate
}

// checkShutdown rejects a call that may not end before the instance stops.
func (r *run) checkShutdown(now time.Time) *rejecter.Error {
	shutdown := r.proxy.config.Shutdown()
	if shutdown.EndsAt.IsZero() {
		return nil
	}
	check := &ShutdownCheck{Since: now.Sub(shutdown.BeganAt), Left: shutdown.EndsAt.Sub(now)}
	r.record.Shutdown = check
	if !r.deadline.After(shutdown.RunsUntil) {
		return nil
	}
	check.Estimate = r.proxy.config.Estimator.Estimate(r.estimatedRequest(), now)
	if r.mayEndWithin(check.Left, check.Estimate, &shutdown) {
		return nil
	}
	return errShuttingDown.WithRetryAfter(shutdown.RetryAfter)
}

// mayEndWithin reports whether a call is accepted until whose deadline the instance may not
// run. No estimate bounds how long a call takes, so none is accepted once callers have moved.
// Callers that have had no time to learn of another instance may know none, so their calls are
// accepted if they are likely to end, or if nothing is known of their route.
func (r *run) mayEndWithin(left time.Duration, estimate estimator.Estimate, shutdown *Shutdown) bool {
	switch {
	case !r.readAt.Before(shutdown.CallersMoveBy):
		return false
	case shutdown.OthersReady && r.route.Kind == catalog.NonIdempotent:
		return estimate.HasSamples && estimate.Longest <= left
	case shutdown.NearlyAllReady:
		isEarly := !estimate.IsKnown && r.call.ArrivedAt.Before(shutdown.EarlyUntil)
		return isEarly || estimate.HasSamples && estimate.Slowest <= left
	default:
		return !estimate.IsKnown || estimate.Likely <= left
	}
}

func (r *run) estimatedRequest() estimator.Request {
	return estimator.Request{Route: r.route.Name, OutputTokens: r.call.MaxOutputTokens}
}

// recordDuration records how long the call took if it was served.
func (r *run) recordDuration() {
	record := &r.record
	if record.Status != http.StatusOK || record.End != Complete {
		r.running.Failed()
		return
	}
	r.running.Served(record.TimeToFirstByte, r.proxy.config.Now())
}
