package proxy

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/state/estimator"
	"github.com/crocushollow/crocushollow/state/quarantiner"
	"github.com/crocushollow/crocushollow/state/selector"
)

// run is the state of one call across its attempts.
type run struct {
	proxy  *Proxy
	call   *Call
	writer ResponseWriter
	// readAt is when the whole request had been read.
	readAt      time.Time
	route       *catalog.Route
	workspace   *catalog.Workspace
	fingerprint quarantiner.Fingerprint
	// parts are the parts of the prompt that other calls may share.
	parts []quarantiner.Part
	// isTrial means that the call is to show whether a quarantined part of its prompt
	// crashes upstreams.
	isTrial bool
	// deadline is when the caller's or the route's timeout expires, whichever
	// is earlier.
	deadline time.Time
	// charged is the cost that was taken from the workspace's rate limit.
	charged float64
	record  CallRecord
	// running is nil until the call is admitted.
	running *estimator.Run
	// mayHaveRun reports that an upstream may have run the call.
	mayHaveRun bool
	// isMetered reports that the call was recorded as usage.
	isMetered bool
	// headerSent reports that the response header was sent to the caller.
	headerSent bool
	// stream is how much of a streamed response the caller received.
	stream  streamProgress
	request selector.Request
	// sentTo lists the addresses of the upstreams that the call was sent to, in order.
	sentTo []string
	// adapterRetries counts the retries on engines that have not loaded the
	// adapter yet.
	adapterRetries int
}

// attemptResult is the next step after an attempt.
type attemptResult int

const (
	// finished means that the caller received the response.
	finished attemptResult = iota
	// retry means that another upstream may be tried.
	retry
	// retrySameUpstream means that the same upstream may be tried again after
	// a short delay.
	retrySameUpstream
	// failed means that the call may have run and must not be retried.
	failed
	// callerLeft means that the caller disconnected.
	callerLeft
)

// tryUpstreams sends the call to one upstream after another until one responds.
func (r *run) tryUpstreams(ctx context.Context) {
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline, errTimedOut)
	defer cancel()
	config := &r.proxy.config
	r.request = r.newRequest()
	if apiErr := r.takeUp(ctx); apiErr != nil {
		r.fail(ctx, apiErr)
		return
	}
	if !r.awaitTrial(ctx) {
		r.fail(ctx, errPartCrashesUpstreams)
		return
	}
	config.Budgeter.RecordRequest(r.request.Service, config.Now())
	for {
		r.request.SoftwareVersion = r.stream.softwareVersion
		reservation, result := r.acquire(ctx)
		r.recordRoom(result)
		if reservation == nil {
			r.fail(ctx, r.noUpstreamError(result))
			return
		}
		if apiErr := r.checkShutdown(config.Now()); apiErr != nil && !r.mayHaveRun {
			reservation.Release(selector.Abandoned, config.Now())
			r.fail(ctx, apiErr)
			return
		}
		if !r.maySendParts(config.Now()) {
			reservation.Release(selector.Abandoned, config.Now())
			r.fail(ctx, r.quarantineError())
			return
		}
		switch r.attempt(ctx, reservation) {
		case finished, callerLeft:
			return
		case failed:
			r.fail(ctx, errUpstreamFailed)
			return
		case retrySameUpstream:
			if r.pause(ctx, adapterRetryDelay) && r.proxy.config.Budgeter.TryRetry(r.request.Service, config.Now()) {
				r.record.Attempts--
				continue
			}
		case retry:
		}
		if !r.mayRetry() {
			r.fail(ctx, r.finalError())
			return
		}
	}
}

// newRequest returns the request for an upstream that the call makes.
func (r *run) newRequest() selector.Request {
	config := &r.proxy.config
	return selector.Request{
		Service:        r.route.PickService(hashFraction(r.call.streamRequestID())),
		Model:          r.call.Model,
		Adapter:        r.call.Adapter,
		PromptTokens:   r.call.PromptTokens,
		OutputTokens:   r.call.expectedOutputTokens(),
		LengthDiscount: config.Equalizer.Discount(r.route.Name),
		Prefixes:       r.call.prefixes(),
		Caller:         r.record.Workspace,
		Fingerprint:    uint64(r.fingerprint),
		IsResumable:    r.route.IsResumable(),
		Objective:      r.route.LatencyObjective,
		IsOverLimit:    r.workspace != nil && config.Allotter.IsOverLimit(r.workspace, config.Now()),
	}
}

// recordRoom records whether an engine had room for a call that has not been sent yet.
func (r *run) recordRoom(result selector.Result) {
	if r.request.Model != "" && len(r.sentTo) == 0 && (result == selector.Chosen || result == selector.Busy) {
		r.proxy.config.Equalizer.Record(r.route.Name, r.request.PromptTokens, result == selector.Chosen)
	}
}

// mayRetry reports whether another attempt is allowed, and takes it from the
// retry budget. An attempt that reached no upstream is free.
func (r *run) mayRetry() bool {
	config := &r.proxy.config
	now := config.Now()
	if !now.Before(r.deadline) || !r.stream.canContinue() {
		return false
	}
	if config.Quarantiner.IsQuarantined(r.fingerprint, now) {
		return false
	}
	if r.record.Attempts == 0 {
		return len(r.request.Excluded) <= maxUnreachableUpstreams
	}
	return r.record.Attempts < r.route.MaxAttempts && config.Budgeter.TryRetry(r.request.Service, now)
}

// pause waits and reports whether the context is still active.
func (r *run) pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// maxUnreachableUpstreams limits the attempts of a call that has reached no
// upstream yet. It fails once more upstreams than this were unreachable.
const maxUnreachableUpstreams = 4

// finalError returns the error of a call whose retries are used up.
func (r *run) finalError() *rejecter.Error {
	if r.mayHaveRun {
		return errUpstreamFailed
	}
	return errNotAccepted
}

// attempt sends the call to one upstream.
func (r *run) attempt(ctx context.Context, reservation *selector.Reservation) attemptResult {
	config := &r.proxy.config
	ctx, span := tracer.Start(ctx, "upstream attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("upstream", reservation.Upstream.ID))
	r.record.Upstream = reservation.Upstream.ID
	r.request.Excluded = append(r.request.Excluded, reservation.Upstream.ID)
	if err := r.confirmIncarnation(ctx, &reservation.Upstream); err != nil {
		r.record.Cause = err
		reservation.Release(selector.Unreachable, config.Now())
		return retry
	}
	r.stream.beginAttempt()
	sent := r.send(ctx, reservation)
	defer sent.cancel()
	var outcome selector.Outcome
	var next attemptResult
	if sent.err != nil {
		outcome, next = r.handleSendError(ctx, sent.reservation, sent.err)
	} else {
		outcome, next = r.handleResponse(ctx, sent.reservation, sent.response)
		sent.response.Body.Close()
	}
	r.endAttempt(sent, outcome, r.stream.eventsOfAttempt())
	return next
}

// endAttempt releases the reservation of an attempt and reports its end.
func (r *run) endAttempt(sent *flight, outcome selector.Outcome, events int) {
	config := &r.proxy.config
	now := config.Now()
	sent.reservation.Release(outcome, now)
	r.proxy.Wake()
	config.Observer.AttemptEnded(AttemptRecord{
		Call: r.call, Upstream: sent.reservation.Upstream.ID, Result: resultName(outcome),
		Events: events, Duration: now.Sub(sent.sentAt), Cause: r.record.Cause,
	})
}

// confirmIncarnation checks an upstream that is about to continue a stream. An upstream that
// has started again with other software under the same ID would continue it too.
func (r *run) confirmIncarnation(ctx context.Context, upstream *catalog.Upstream) error {
	if !r.stream.softwareVersion.IsKnown() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return r.proxy.config.ConfirmIncarnation(ctx, upstream)
}

// confirmTimeout bounds the check of an upstream before it continues a stream.
const confirmTimeout = 250 * time.Millisecond

// countSend records a send to an address and returns the number of sends to it before.
// Upstreams that start again may share an address, and thus connections.
func (r *run) countSend(address string) int {
	repeats := 0
	for _, earlier := range r.sentTo {
		if earlier == address {
			repeats++
		}
	}
	r.sentTo = append(r.sentTo, address)
	return repeats
}

func resultName(outcome selector.Outcome) string {
	return [...]string{"served", "abandoned", "refused", "failed", "unreachable", "unreachable", "failed"}[outcome]
}

func (r *run) lastEventID() string {
	if r.stream.lastID != "" {
		return r.stream.lastID
	}
	return r.call.LastEventID
}

// handleSendError classifies an attempt without a response.
func (r *run) handleSendError(ctx context.Context, reservation *selector.Reservation, err error) (selector.Outcome, attemptResult) {
	r.record.Cause = err
	var sendErr *SendError
	mayHaveRun := !errors.As(err, &sendErr) || sendErr.MayHaveRun
	if mayHaveRun {
		r.record.Attempts++
		r.mayHaveRun = true
	}
	if ctx.Err() != nil {
		return r.handleCancellation(ctx)
	}
	if !mayHaveRun {
		return selector.Unreachable, retry
	}
	r.recordCrash(&reservation.Upstream)
	return selector.Broken, r.afterFailure()
}

// handleCancellation classifies an attempt that ended because the caller
// disconnected, the deadline passed or the instance stopped.
func (r *run) handleCancellation(ctx context.Context) (selector.Outcome, attemptResult) {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errTimedOut):
		return selector.TimedOut, retry
	case errors.Is(cause, ErrStopped):
		return selector.Abandoned, failed
	}
	r.record.End = CallerLeft
	return selector.Abandoned, callerLeft
}

// Retries on an engine that is about to load the adapter. The last of them goes to
// another engine if there is one.
const (
	maxAdapterRetries = 4
	adapterRetryDelay = 15 * time.Millisecond
)

// afterNotRun returns the next step after an upstream did not run the call. An
// adapter takes some milliseconds to load, so the same engine is tried again. This
// does not count as an attempt.
func (r *run) afterNotRun() attemptResult {
	if r.call.Adapter == "" || r.adapterRetries >= maxAdapterRetries {
		return retry
	}
	r.adapterRetries++
	if r.adapterRetries < maxAdapterRetries {
		r.request.Excluded = r.request.Excluded[:len(r.request.Excluded)-1]
	}
	return retrySameUpstream
}

// afterFailure returns the next step after a failure of a call that may have run.
func (r *run) afterFailure() attemptResult {
	if r.route.IsRetryable() {
		return retry
	}
	return failed
}

func (r *run) finish(_ context.Context) {
	r.record.Duration = r.proxy.config.Now().Sub(r.call.ArrivedAt)
	r.proxy.config.Observer.CallEnded(r.record)
}
