package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/crocushollow/crocushollow/protocol/bounder"
	"github.com/crocushollow/crocushollow/state/hedger"
	"github.com/crocushollow/crocushollow/state/selector"
)

// HedgeResult is a decision on a hedge, or the end of a hedge.
type HedgeResult string

// The results of hedges. A denied one is deniedPrefix with the hedger's cause.
const (
	// HedgeSent means that a second attempt was sent.
	HedgeSent HedgeResult = "sent"
	// HedgeWon means that the call went on with the second attempt, HedgeLost with the first.
	HedgeWon  HedgeResult = "won"
	HedgeLost HedgeResult = "lost"
	// HedgeFailed means that neither attempt brought a success, or that the call ended before.
	HedgeFailed HedgeResult = "failed"
)

const deniedPrefix = "denied_"

// HedgeRecord describes a decision on a hedge, or the end of one.
type HedgeRecord struct {
	Call   *Call
	Result HedgeResult
	// Upstream is the ID of the upstream of the second attempt. It is empty if none was sent.
	Upstream string
	// Delay is the time from the first attempt to the decision, or to the response of the
	// attempt with which the call went on.
	Delay time.Duration
}

// send sends the call to an upstream. If that is slow, it may send a second attempt, and returns
// the one with which the call goes on. The caller must call its cancel function.
func (r *run) send(ctx context.Context, reservation *selector.Reservation) *flight {
	config := &r.proxy.config
	isFirst := len(r.sentTo) == 0
	first := r.newFlight(ctx, reservation)
	if isFirst {
		config.Hedger.RecordSend(r.request.Service, first.sentAt)
	}
	if isFirst && r.mayHedge() {
		return r.race(ctx, first)
	}
	first.response, first.err = config.Sender.Send(first.ctx, first.attempt)
	return first
}

// mayHedge reports whether the call may run at two upstreams at the same time. A continuation
// must not.
func (r *run) mayHedge() bool {
	return r.proxy.config.Hedger.IsOn() && r.route.IsRetryable() && !r.mayHaveRun &&
		r.call.LastEventID == "" && r.stream.events == 0
}

// hedgeRoute identifies the calls whose times are compared.
func (r *run) hedgeRoute() hedger.Route {
	return hedger.Route{Name: r.route.Name, Service: r.request.Service}
}

// race sends the first attempt, a second one if the first is slow, and returns the one with which
// the call goes on. The other has ended, or is cancelled and its reservation released.
func (r *run) race(ctx context.Context, first *flight) *flight {
	config := &r.proxy.config
	results := make(chan *flight)
	r.launch(first, results)
	var late <-chan time.Time
	if delay, isKnown := config.Hedger.Delay(r.hedgeRoute(), first.sentAt); isKnown {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		late = timer.C
	}
	var second, failed *flight
	for {
		select {
		case <-late:
			late = nil
			if second = r.hedge(ctx, first); second != nil {
				r.launch(second, results)
			}
		case ended := <-results:
			if second == nil {
				r.observeFirst(first, ended, nil)
				return ended
			}
			if !ended.isWhole && failed == nil && ctx.Err() == nil {
				// The failure waits for the other attempt.
				failed = ended
				r.endFailed(ctx, failed)
				continue
			}
			r.observeFirst(first, ended, failed)
			return r.settle(ctx, first, second, ended, failed)
		}
	}
}

// hedge decides on a second attempt and prepares it. It returns nil if there is none.
func (r *run) hedge(ctx context.Context, first *flight) *flight {
	config := &r.proxy.config
	now := config.Now()
	reservation, cause := r.reserveHedge(now)
	delay := now.Sub(first.sentAt)
	if reservation == nil {
		r.record.Hedge = deniedPrefix + HedgeResult(cause.String())
		config.Observer.HedgeChanged(HedgeRecord{Call: r.call, Result: r.record.Hedge, Delay: delay})
		return nil
	}
	r.request.Excluded = append(r.request.Excluded, reservation.Upstream.ID)
	ctx, span := tracer.Start(ctx, "hedged attempt", trace.WithSpanKind(trace.SpanKindClient))
	span.SetAttributes(attribute.String("upstream", reservation.Upstream.ID))
	second := r.newFlight(ctx, reservation)
	cancel := second.cancel
	second.cancel = func() {
		cancel()
		span.End()
	}
	r.record.Hedge = HedgeSent
	config.Observer.HedgeChanged(HedgeRecord{Call: r.call, Result: HedgeSent, Upstream: reservation.Upstream.ID, Delay: delay})
	return second
}

// reserveHedge returns a reservation for a second attempt, or why there is none.
func (r *run) reserveHedge(now time.Time) (*selector.Reservation, hedger.Cause) {
	config := &r.proxy.config
	cause := config.Hedger.Take(&hedger.Question{
		Route: r.hedgeRoute(),
		IsRepeatable: config.Shutdown().EndsAt.IsZero() && !config.Quarantiner.IsQuarantined(r.fingerprint, now) &&
			!config.Parts.IsQuarantined(r.parts, now),
		Attempts: r.record.Attempts + 1, MaxAttempts: r.route.MaxAttempts,
		TimeLeft: r.deadline.Sub(now),
		HasQueue: r.proxy.queue.hasWaiter(&r.request),
	}, now)
	if cause != hedger.Allowed {
		return nil, cause
	}
	request := r.request
	request.ExcludedAddresses, request.IsSpare, request.IsWaiting = r.sentTo, true, false
	reservation, _ := config.Selector.Choose(&request, now)
	if reservation == nil {
		config.Hedger.Return(request.Service, now)
		return nil, hedger.NoOtherUpstream
	}
	if !config.Budgeter.TryRetry(request.Service, now) {
		reservation.Release(selector.Abandoned, now)
		config.Hedger.Return(request.Service, now)
		return nil, hedger.Budget
	}
	return reservation, hedger.Allowed
}

// observeFirst records the time of the first attempt when the race has ended. The time of one that
// is cancelled for its hedge is at least what it has used.
func (r *run) observeFirst(first, ended, failed *flight) {
	config := &r.proxy.config
	switch {
	case !ended.isWhole || failed == first:
	case ended == first:
		config.Hedger.Observe(r.hedgeRoute(), first.readyAt.Sub(first.sentAt), first.readyAt)
	default:
		config.Hedger.Observe(r.hedgeRoute(), ended.readyAt.Sub(first.sentAt), ended.readyAt)
	}
}

// settle ends the attempt with which the call does not go on, and returns the other.
func (r *run) settle(ctx context.Context, first, second, ended, failed *flight) *flight {
	chosen, other := ended, first
	if ended == first {
		other = second
	}
	switch {
	case failed == nil:
		r.endPending(ctx, other)
	case !ended.isWhole && failed.holdsFinal():
		r.endFailure(ctx, ended)
		chosen = failed
	case failed.holdsFinal():
		r.endFailure(ctx, failed)
	}
	// The last excluded upstream is that of the attempt with which the call goes on.
	excluded := slices.DeleteFunc(r.request.Excluded, func(id string) bool { return id == chosen.reservation.Upstream.ID })
	r.request.Excluded = append(excluded, chosen.reservation.Upstream.ID)
	r.record.Upstream = chosen.reservation.Upstream.ID
	switch {
	case !chosen.isWhole:
		r.record.Hedge = HedgeFailed
	case chosen == second:
		r.record.Hedge = HedgeWon
	default:
		r.record.Hedge = HedgeLost
	}
	r.proxy.config.Observer.HedgeChanged(HedgeRecord{
		Call: r.call, Result: r.record.Hedge, Upstream: second.reservation.Upstream.ID, Delay: chosen.readyAt.Sub(first.sentAt),
	})
	return chosen
}

// endPending cancels an attempt that still runs and releases its reservation.
func (r *run) endPending(ctx context.Context, other *flight) {
	other.abandon()
	r.record.Attempts++
	r.mayHaveRun = true
	outcome := selector.Abandoned
	if ctx.Err() != nil {
		outcome, _ = r.handleCancellation(ctx)
	}
	r.endAttempt(other, outcome, 0)
}

// endFailed ends an attempt that has failed while the other runs, unless its response is one that
// the caller gets if the other fails too.
func (r *run) endFailed(ctx context.Context, failed *flight) {
	if !failed.holdsFinal() {
		r.endFailure(ctx, failed)
	}
}

// holdsFinal reports whether the attempt has a response that no other attempt would change.
func (f *flight) holdsFinal() bool {
	return f.err == nil && f.readErr == nil && f.response.isFinal()
}

// endFailure ends an attempt that has failed, and with which the call does not go on.
func (r *run) endFailure(ctx context.Context, failed *flight) {
	var outcome selector.Outcome
	if failed.err != nil {
		outcome, _ = r.handleSendError(ctx, failed.reservation, failed.err)
	} else {
		outcome = r.classifyFailure(failed)
		failed.response.Body.Close()
	}
	failed.cancel()
	r.endAttempt(failed, outcome, 0)
}

// classifyFailure returns the outcome of a response with which the call does not go on.
func (r *run) classifyFailure(failed *flight) selector.Outcome {
	response, upstream := failed.response, &failed.reservation.Upstream
	r.record.Attempts++
	r.observeRateLimit(upstream, response)
	r.observeAvailability(failed.reservation, response.Availability)
	if response.NotRun {
		r.record.Cause = errNotRun
		return selector.Refused
	}
	r.mayHaveRun = true
	switch {
	case !response.Verified:
		r.record.Cause = errNotVerified
		return selector.Broken
	case promisesNotRun(response.Status):
		r.record.Cause = errUnstatedRefusal
		return selector.Failed
	case failed.readErr != nil:
		r.record.Cause = failed.readErr
		if !errors.Is(failed.readErr, bounder.ErrFull) {
			r.recordCrash(upstream)
		}
		return selector.Broken
	case failed.holdsFinal():
		return selector.Served
	}
	return selector.Failed
}
