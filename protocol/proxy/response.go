package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/bounder"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/protocol/verifier"
	"github.com/crocushollow/crocushollow/state/selector"
	"github.com/crocushollow/crocushollow/state/throttler"
)

// handleResponse classifies a response and forwards it to the caller.
func (r *run) handleResponse(ctx context.Context, reservation *selector.Reservation, response *Response) (selector.Outcome, attemptResult) {
	r.record.Attempts++
	r.observeRateLimit(&reservation.Upstream, response)
	r.observeAvailability(reservation, response.Availability)
	if response.NotRun {
		r.record.Cause = fmt.Errorf("%w: status %d", errNotRun, response.Status)
		return selector.Refused, r.afterNotRun()
	}
	r.mayHaveRun = true
	if !response.Verified {
		r.record.Cause = errNotVerified
		return selector.Broken, r.afterFailure()
	}
	if response.Status != http.StatusOK || r.route.Kind != catalog.Streaming {
		r.recordUsage()
	}
	if promisesNotRun(response.Status) {
		r.record.Cause = errUnstatedRefusal
		return selector.Failed, r.afterFailure()
	}
	if response.Status == http.StatusOK && r.route.Kind == catalog.Streaming {
		return r.streamEvents(ctx, reservation, response)
	}
	return r.writeBuffered(ctx, reservation, response)
}

// promisesNotRun reports whether a status tells a caller that its call was not run and
// never will be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

var (
	errNotRun          = errors.New("the upstream did not run the request")
	errUnstatedRefusal = errors.New("the upstream refused the request but did not state that it has not run it")
	errNotVerified     = errors.New("the response does not belong to the request or does not come from an upstream")
	errNoEvents        = errors.New("the stream has no events with IDs")
)

// observeRateLimit records the limit that a response names for the requests to its
// upstream. A complete response without one ends the limit; the upstream may send
// refusals and errors without it.
func (r *run) observeRateLimit(upstream *catalog.Upstream, response *Response) {
	config := &r.proxy.config
	now := config.Now()
	switch limit := response.RateLimit; {
	case limit == nil && response.Verified && !response.NotRun && response.Status < http.StatusInternalServerError:
		config.Throttler.Observe(upstream, throttler.Limit{}, now)
	case limit == nil:
	case limit.Err != nil:
		config.Observer.StatementInvalid(upstream.ID, limit.Err)
	default:
		config.Throttler.Observe(upstream, throttler.Limit{IsActive: true, PerSecond: limit.PerSecond}, now)
	}
}

// observeAvailability records what an upstream says about itself.
func (r *run) observeAvailability(reservation *selector.Reservation, stated *Availability) {
	if stated == nil {
		return
	}
	config := &r.proxy.config
	if stated.Err != nil {
		config.Observer.StatementInvalid(reservation.Upstream.ID, stated.Err)
	}
	if reservation.RecordAvailability(selector.Availability{IsLeaving: stated.IsLeaving, PauseFor: stated.PauseFor}, config.Now()) {
		config.Observer.AvailabilityChanged(reservation.Upstream.ID, *stated)
	}
}

// maxResponseBytes is the maximum size of a response that is not streamed. Such a response is
// buffered in memory until it is complete.
const maxResponseBytes = 16 << 20

// writeBuffered reads a whole response and sends it to the caller.
func (r *run) writeBuffered(ctx context.Context, reservation *selector.Reservation, response *Response) (selector.Outcome, attemptResult) {
	body := bounder.NewBuffer(r.proxy.buffered, bounder.Limit(response.Header, maxResponseBytes))
	defer body.Release()
	err := body.ReadAll(response.Body)
	if err == nil && response.EndsWithConnection {
		err = r.checkEnd(&reservation.Upstream, response, body.Bytes())
	}
	if err != nil {
		r.record.Cause = err
		if ctx.Err() != nil {
			return r.handleCancellation(ctx)
		}
		if !errors.Is(err, bounder.ErrFull) {
			r.recordCrash(&reservation.Upstream)
		}
		return selector.Broken, r.afterFailure()
	}
	if response.Status >= http.StatusInternalServerError && r.mayRetryServerError() {
		return selector.Failed, retry
	}
	if r.headerSent {
		// A stream that has begun cannot continue with another kind of response.
		return selector.Failed, failed
	}
	if response.Status < http.StatusMultipleChoices {
		r.recordCompletion(&reservation.Upstream, response)
	}
	if response.Status == http.StatusOK {
		r.proxy.config.Parts.RecordCompletion(r.parts, r.proxy.config.Now())
	}
	outcome := selector.Failed
	if response.Status < http.StatusInternalServerError {
		outcome = selector.Served
		reservation.MarkFirstByte()
	}
	response.Header.Set("Content-Length", strconv.Itoa(len(body.Bytes())))
	r.writeHeader(response)
	if err := r.writer.Write(body.Bytes()); err != nil {
		r.record.End = CallerLeft
		return outcome, callerLeft
	}
	return outcome, finished
}

// checkEnd returns an error if the end of a connection is not that of the response before it.
func (r *run) checkEnd(upstream *catalog.Upstream, response *Response, body []byte) error {
	if err := verifier.CheckComplete(response.Header, body); err != nil {
		return err
	}
	if r.proxy.hasEnded(upstream) {
		return errUpstreamEnded
	}
	return nil
}

// mayRetryServerError reports whether a response with a 5xx status may be followed
// by another attempt.
func (r *run) mayRetryServerError() bool {
	return r.route.IsRetryable() && r.record.Attempts < r.route.MaxAttempts &&
		r.proxy.config.Now().Before(r.deadline)
}

// writeHeader sends the status and the header of a response.
func (r *run) writeHeader(response *Response) {
	r.headerSent = true
	r.record.Status = response.Status
	r.record.TimeToFirstByte = r.proxy.config.Now().Sub(r.call.ArrivedAt)
	r.writer.WriteHeader(response.Status, response.Header)
}

// fail ends a call that no upstream served. It aborts the response if its header was
// already sent.
func (r *run) fail(ctx context.Context, apiErr *rejecter.Error) {
	if ctx.Err() != nil {
		apiErr = r.cancellationError(context.Cause(ctx))
	}
	if apiErr == nil {
		r.record.End = CallerLeft
		return
	}
	if r.headerSent {
		r.record.End = Aborted
		if errors.Is(context.Cause(ctx), ErrStopped) {
			r.record.End = CutByShutdown
		}
		r.writer.Abort()
		return
	}
	r.writeError(apiErr)
}

// cancellationError returns the error of a call whose context was canceled, or nil if its
// caller has left.
func (r *run) cancellationError(cause error) *rejecter.Error {
	switch {
	case errors.Is(cause, errTimedOut) && r.mayHaveRun:
		return errTimedOut
	case errors.Is(cause, errTimedOut):
		return errDeadlinePassed
	case errors.Is(cause, ErrStopped) && r.mayHaveRun:
		return errAborted
	case errors.Is(cause, ErrStopped):
		return errShuttingDown.WithRetryAfter(r.proxy.config.Shutdown().RetryAfter)
	}
	return nil
}

func (r *run) writeError(apiErr *rejecter.Error) {
	r.record.Error, r.record.Status = apiErr, apiErr.Status
	if apiErr.Outcome == crocushollow.OutcomeNotRun && r.charged > 0 {
		r.proxy.config.Allotter.Refund(r.workspace, r.charged, r.proxy.config.Now())
	}
	r.writer.WriteError(apiErr)
}

// recordUsage records once that an upstream has begun to run the call: with the first event of
// a stream, or with any other response of an upstream that does not say that it has not run the
// call. A call that resumes an earlier stream was recorded with that one.
func (r *run) recordUsage() {
	if r.isMetered || r.call.LastEventID != "" || r.record.Workspace == "" {
		return
	}
	r.isMetered = true
	r.proxy.config.RecordUsage(r.record.Workspace)
}
