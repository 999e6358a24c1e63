package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/apierror"
	"github.com/crocushollow/crocushollow/state/selector"
	"github.com/crocushollow/crocushollow/state/suspector"
)

// run is the state of one call over its attempts.
type run struct {
	carrier     *Proxy
	call        *Call
	caller      ResponseWriter
	route       *catalog.Route
	workspace   *catalog.Workspace
	fingerprint suspector.Fingerprint
	// deadline is when the caller or the route gives up.
	deadline time.Time
	// charged is what the workspace's limit was charged.
	charged float64
	record  CallRecord
	// hasRun tells that an upstream may have run the call.
	hasRun bool
	// begun tells that the answer to the caller has begun.
	begun bool
	// stream is the progress of a stream.
	stream progress
	need   selector.Need
	// adapterTries counts the refusals of engines that lack the adapter.
	adapterTries int
}

// result tells what follows an attempt.
type result int

const (
	// finished means that the caller has its answer.
	finished result = iota
	// retry means that another upstream may be tried.
	retry
	// retrySame means that the upstream may be tried again soon.
	retrySame
	// failed means that the call failed and may have run.
	failed
	// left means that the caller left.
	left
)

// attempts tries upstreams until one has served the call.
func (r *run) attempts(ctx context.Context) {
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline, errTimedOut)
	defer cancel()
	config := &r.carrier.config
	r.need = selector.Need{
		Service:      r.route.PickService(drawOf(r.call.ID)),
		Model:        r.call.Model,
		Adapter:      r.call.Adapter,
		PromptTokens: r.call.PromptTokens,
		OutputTokens: r.call.expectedOutput(),
		Parts:        r.call.beginnings(),
	}
	config.Budgeter.Earn(r.need.Service, config.Now())
	for {
		hold, verdict := r.acquire(ctx)
		if hold == nil {
			r.giveUp(ctx, r.noUpstream(verdict))
			return
		}
		switch r.attempt(ctx, hold) {
		case finished, left:
			return
		case failed:
			r.giveUp(ctx, errFailed)
			return
		case retrySame:
			if r.pause(ctx, adapterPause) && r.carrier.config.Budgeter.Spend(r.need.Service, config.Now()) {
				r.record.Attempts--
				continue
			}
		case retry:
		}
		if !r.mayRepeat() {
			r.giveUp(ctx, r.lastRefusal())
			return
		}
	}
}

// mayRepeat reports whether another attempt is allowed, and spends the budget.
// An upstream that was never reached costs nothing.
func (r *run) mayRepeat() bool {
	config := &r.carrier.config
	now := config.Now()
	if !now.Before(r.deadline) {
		return false
	}
	if config.Suspector.Crashes(r.fingerprint, now) >= suspector.MaxCrashes {
		return false
	}
	if r.record.Attempts == 0 {
		return len(r.need.Tried) <= maxUnreached
	}
	return r.record.Attempts < r.route.MaxAttempts && config.Budgeter.Spend(r.need.Service, now)
}

// pause reports whether the caller still waits after a pause.
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

// maxUnreached bounds the upstreams that a call tries in vain to reach.
const maxUnreached = 4

// lastRefusal returns the refusal after the last attempt that may be repeated.
func (r *run) lastRefusal() *apierror.Error {
	if r.hasRun {
		return errFailed
	}
	return errNotTaken
}

// attempt sends the call to one upstream.
func (r *run) attempt(ctx context.Context, hold *selector.Hold) result {
	config := &r.carrier.config
	ctx, span := tracer.Start(ctx, "upstream attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("upstream", hold.Upstream.ID))
	r.record.Upstream = hold.Upstream.ID
	r.need.Tried = append(r.need.Tried, hold.Upstream.ID)
	sentAt := config.Now()
	answer, err := config.Sender.Send(ctx, Attempt{
		Call:        r.call,
		Upstream:    hold.Upstream,
		Workspace:   r.record.Workspace,
		TimeLeft:    r.deadline.Sub(sentAt),
		LastEventID: r.lastEventID(),
		Retryable:  r.route.IsRetryable(),
	})
	var outcome selector.Outcome
	var next result
	if err != nil {
		outcome, next = r.notAnswered(ctx, err)
	} else {
		outcome, next = r.answered(ctx, hold, answer)
		answer.Body.Close()
	}
	now := config.Now()
	hold.Release(outcome, now)
	r.carrier.Wake()
	config.Observer.AttemptEnded(r.call, hold.Upstream.ID, resultName(outcome), now.Sub(sentAt), r.record.Cause)
	return next
}

func resultName(outcome selector.Outcome) string {
	return [...]string{"served", "abandoned", "refused", "failed", "unreachable"}[outcome]
}

func (r *run) lastEventID() string {
	if r.stream.lastID != "" {
		return r.stream.lastID
	}
	return r.call.LastEventID
}

// notAnswered judges an attempt without an answer.
func (r *run) notAnswered(ctx context.Context, err error) (selector.Outcome, result) {
	r.record.Cause = err
	var sendErr *SendError
	maybeRun := !errors.As(err, &sendErr) || sendErr.MayHaveRun
	if maybeRun {
		r.record.Attempts++
		r.hasRun = true
	}
	if ctx.Err() != nil {
		return r.interrupted(ctx)
	}
	if !maybeRun {
		return selector.Unreachable, retry
	}
	r.carrier.config.Suspector.Crashed(r.fingerprint, r.carrier.config.Now())
	return selector.Unreachable, r.afterFailure()
}

// interrupted judges an attempt that the caller or the deadline has ended.
func (r *run) interrupted(ctx context.Context) (selector.Outcome, result) {
	if errors.Is(context.Cause(ctx), errTimedOut) {
		return selector.Failed, retry
	}
	r.record.CallerLeft = true
	return selector.Abandoned, left
}

// Tries of an engine that is about to have the adapter.
const (
	adapterTries = 4
	adapterPause = 15 * time.Millisecond
)

// afterRefusal tells what follows an upstream that did not run the call. An
// adapter takes some milliseconds to load, so that the same engine is tried
// again; that does not count as another upstream.
func (r *run) afterRefusal() result {
	if r.call.Adapter == "" || r.adapterTries >= adapterTries {
		return retry
	}
	r.adapterTries++
	if r.adapterTries < adapterTries {
		r.need.Tried = r.need.Tried[:len(r.need.Tried)-1]
	}
	return retrySame
}

// afterFailure tells whether a call that may have run may run again.
func (r *run) afterFailure() result {
	if r.route.IsRetryable() {
		return retry
	}
	return failed
}

// answered judges and passes on an answer.
func (r *run) answered(ctx context.Context, hold *selector.Hold, answer *Response) (selector.Outcome, result) {
	r.record.Attempts++
	if answer.NotRun {
		r.record.Cause = errNotRun
		return selector.Refused, r.afterRefusal()
	}
	r.hasRun = true
	if !answer.Verified {
		r.record.Cause = errNotGenuine
		return selector.Failed, r.afterFailure()
	}
	if answer.Status == http.StatusOK && r.route.Kind == catalog.Streaming {
		return r.relay(ctx, hold, answer)
	}
	return r.pass(ctx, hold, answer)
}

var (
	errNotRun     = errors.New("the upstream did not run the request")
	errNotGenuine = errors.New("the answer belongs to another request")
	errTooLarge   = errors.New("the answer is too large")
)

// maxAnswerBytes bounds an answer that is not a stream. Such answers are held
// in memory until they are whole.
const maxAnswerBytes = 16 << 20

// pass reads an answer to its end and passes it on whole.
func (r *run) pass(ctx context.Context, hold *selector.Hold, answer *Response) (selector.Outcome, result) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	hold.Begun()
	if err == nil && len(body) > maxAnswerBytes {
		err = errTooLarge
	}
	if err != nil {
		r.record.Cause = err
		if ctx.Err() != nil {
			return r.interrupted(ctx)
		}
		return selector.Unreachable, r.afterFailure()
	}
	if answer.Status >= http.StatusInternalServerError && r.mayTryAgainAfter() {
		return selector.Failed, retry
	}
	if r.begun {
		// A stream that was to go on cannot end with another answer.
		return selector.Failed, failed
	}
	answer.Header.Set("Content-Length", strconv.Itoa(len(body)))
	r.begin(answer)
	if err := r.caller.Write(body); err != nil {
		r.record.CallerLeft = true
		return selector.Served, left
	}
	if answer.Status >= http.StatusInternalServerError {
		return selector.Failed, finished
	}
	return selector.Served, finished
}

// mayTryAgainAfter reports whether an upstream's own failure should be followed
// by another attempt.
func (r *run) mayTryAgainAfter() bool {
	return r.route.IsRetryable() && r.record.Attempts < r.route.MaxAttempts &&
		r.carrier.config.Now().Before(r.deadline)
}

// begin sends the head of an answer.
func (r *run) begin(answer *Response) {
	r.begun = true
	r.record.Status = answer.Status
	r.record.TimeToFirstByte = r.carrier.config.Now().Sub(r.call.ArrivedAt)
	r.caller.WriteHeader(answer.Status, answer.Header)
}

// giveUp ends a call that no upstream has served.
func (r *run) giveUp(ctx context.Context, refusal *apierror.Error) {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTimedOut) {
		r.record.CallerLeft = true
		return
	}
	if r.begun {
		r.record.Aborted = true
		r.caller.Abort()
		return
	}
	if ctx.Err() != nil {
		refusal = errTimedOut
		if !r.hasRun {
			refusal = errNoTime
		}
	}
	r.refuse(refusal)
}

func (r *run) refuse(refusal *apierror.Error) {
	r.record.Error, r.record.Status = refusal, refusal.Status
	if refusal.Outcome == crocushollow.OutcomeNotRun && r.charged > 0 {
		r.carrier.config.Allotter.Refund(r.workspace, r.charged, r.carrier.config.Now())
	}
	r.caller.WriteError(refusal)
}

func (r *run) end(_ context.Context) {
	r.record.Duration = r.carrier.config.Now().Sub(r.call.ArrivedAt)
	r.carrier.config.Observer.CallEnded(r.record)
}
