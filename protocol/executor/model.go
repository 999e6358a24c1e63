package executor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/protocol/admitter"
	"github.com/crocushollow/crocushollow/protocol/apierror"
	"github.com/crocushollow/crocushollow/protocol/authenticator"
	"github.com/crocushollow/crocushollow/protocol/decoder"
	"github.com/crocushollow/crocushollow/protocol/dispatcher"
	"github.com/crocushollow/crocushollow/protocol/relayer"
)

// modelRun is the state of one model request over its attempts.
type modelRun struct {
	executor  *Executor
	identity  authenticator.Identity
	call      decoder.Call
	request   dispatcher.Request
	writer    *callerWriter
	relay     *relayer.Relay
	progress  relayer.Progress
	usage     *relayer.Usage
	maybeRun  bool
	lastError error
	// fingerprint identifies the request for other instances.
	fingerprint crocushollow.Digest
	// crashes counts the attempts that broke off their upstream, and suspicion
	// is what was last published about that.
	crashes   int
	suspicion crocushollow.SuspectEvent
	// isTrial tells that this run tries a request that broke off an upstream
	// for another run.
	isTrial bool
	// eventsBefore is the number of events that the caller had before the
	// current attempt.
	eventsBefore int64
	// reloadUntil is how long a request that was broken off waits for its model.
	reloadUntil time.Time
}

// RunModel serves a request to run a model. Any error is an *apierror.Error
// that has not been written to the caller.
func (e *Executor) RunModel(ctx context.Context, w http.ResponseWriter, identity authenticator.Identity, call decoder.Call) error {
	view, err := e.assuredView(ctx)
	if err != nil {
		return err
	}
	model, err := resolve(view.State.Table(), call.Model)
	if err != nil {
		return err
	}
	call = call.WithDefaultMaxTokens(model.DefaultMaxTokens)
	admission, err := e.admit(ctx, identity, model, call)
	if err != nil {
		return err
	}
	run := &modelRun{
		executor: e,
		identity: identity,
		call:     call,
		request: dispatcher.Request{
			Workspace:  identity.Workspace,
			Queue:      model.ID,
			Weights:    call.Model,
			Class:      call.Class,
			Tokens:     float64(call.EstimatedTokens()),
			PrefixHash: call.PrefixHash,
		},
		writer: newCallerWriter(w, e.config.CallerTimeout),
	}
	run.fingerprint = run.fingerprintOf()
	e.budgets.earn(identity.Workspace.ID)
	err = run.attempts(ctx)
	used := run.used(admission)
	admission.Release(float64(used))
	e.config.Recorder.TokensUsed(identity.Workspace.ID, model.ID, used)
	return err
}

// resolve returns the base model behind the name of a model or an adapter.
func resolve(table *crocushollow.Table, name string) (crocushollow.Model, error) {
	base := name
	if adapter, found := table.Adapter(name); found {
		base = adapter.Model
	}
	model, found := table.Model(base)
	if !found {
		return crocushollow.Model{}, apierror.New(http.StatusNotFound, apierror.ModelNotFound, "no such model")
	}
	return model, nil
}

func (e *Executor) admit(ctx context.Context, identity authenticator.Identity, model crocushollow.Model, call decoder.Call) (*admitter.Admission, error) {
	ctx, span := tracer.Start(ctx, "admission")
	defer span.End()
	span.SetAttributes(attribute.String("workspace", identity.Workspace.ID), attribute.Int64("tokens", call.EstimatedTokens()))
	admission, err := e.config.Admitter.Admit(ctx, identity.Workspace, model, call.EstimatedTokens())
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return admission, err
}

// used returns the tokens that the request has cost.
func (r *modelRun) used(admission *admitter.Admission) int64 {
	usage := r.usage
	if usage == nil {
		usage = r.progress.Usage
	}
	switch {
	case usage != nil && usage.TotalTokens > 0:
		return usage.TotalTokens
	case usage != nil:
		return usage.PromptTokens + usage.CompletionTokens
	case r.progress.Events > 0:
		return r.call.PromptTokens + r.progress.Events
	case r.maybeRun:
		return int64(admission.ChargedTokens())
	}
	return 0
}

// errRetry marks the end of an attempt that another one may follow.
var errRetry = errors.New("attempt failed")

// errRefused marks an attempt that an engine has refused to run.
var errRefused = fmt.Errorf("%w: refused by the engine", errRetry)

// attempts tries upstreams until one has served the request.
func (r *modelRun) attempts(ctx context.Context) error {
	for attempt := 1; ; attempt++ {
		if err := r.checkSuspect(ctx); err != nil {
			r.lastError = err
			return r.giveUp(ctx)
		}
		err := r.attempt(ctx)
		if !errors.Is(err, errRetry) {
			return err
		}
		if r.isReloading(ctx, err) {
			// The upstreams that broke off have lost their weights; one that has
			// loaded them again may be the same.
			r.request.Tried = nil
			attempt--
			continue
		}
		if r.crashes >= crocushollow.MaxCrashes && !r.awaitExoneration(ctx) {
			r.lastError = errHarmful
			return r.giveUp(ctx)
		}
		if attempt >= r.executor.config.MaxAttempts || !r.executor.budgets.spend(r.identity.Workspace.ID) {
			return r.giveUp(ctx)
		}
		if !pause(ctx, backoff(attempt)) {
			return r.giveUp(ctx)
		}
	}
}

func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// giveUp returns the refusal for a request that no upstream has served. A
// caller that has part of a stream gets an error event in its place.
func (r *modelRun) giveUp(ctx context.Context) error {
	r.conclude(crocushollow.RetryDeclinedEvent)
	refusal := r.refusal(ctx)
	if r.writer.begun {
		r.writer.endWithError(refusal)
		return nil
	}
	return refusal
}

func (r *modelRun) refusal(ctx context.Context) *apierror.Error {
	refusal := apierror.New(http.StatusBadGateway, apierror.UpstreamFailed, "no upstream could serve the request")
	var known *apierror.Error
	switch {
	case errors.As(context.Cause(ctx), &known), errors.As(r.lastError, &known):
		refusal = known
	case errors.Is(r.lastError, context.DeadlineExceeded):
		refusal = apierror.New(http.StatusGatewayTimeout, apierror.UpstreamTimeout, "the upstream did not answer in time")
	}
	if r.maybeRun {
		return refusal.WithOutcome(crocushollow.OutcomeUnknown)
	}
	return refusal
}

// attempt tries one upstream. It returns errRetry if another one may be tried.
func (r *modelRun) attempt(ctx context.Context) error {
	lease, err := r.executor.config.Dispatcher.Acquire(ctx, r.request)
	for err != nil && r.isReloading(ctx, err) {
		r.request.Tried = nil
		lease, err = r.executor.config.Dispatcher.Acquire(ctx, r.request)
	}
	if err != nil {
		if r.lastError == nil {
			r.lastError = err
		}
		return r.giveUp(ctx)
	}
	defer r.executor.config.Dispatcher.Release(lease)
	if !r.executor.config.View().IsAssured(time.Now()) {
		r.lastError = authenticator.ErrInstanceIsolated
		return r.giveUp(ctx)
	}
	r.request.Tried = append(r.request.Tried, lease.Upstream.ID)
	ctx, span := tracer.Start(ctx, "upstream attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("upstream", lease.Upstream.ID), attribute.Int64("resume_from", r.progress.Events))
	err = r.send(ctx, lease)
	failed := errors.Is(err, errRetry)
	if failed {
		span.SetStatus(codes.Error, "failed")
	}
	r.executor.config.Recorder.AttemptEnded(lease.Upstream.ID, failed)
	return err
}

func (r *modelRun) send(ctx context.Context, lease *dispatcher.Lease) error {
	if r.progress.Events > 0 {
		r.executor.config.Recorder.StreamResumed(r.identity.Workspace.ID)
	}
	r.eventsBefore = r.progress.Events
	response, err := r.executor.config.Sender.Send(ctx, Attempt{
		ID:         crocushollow.NewID(),
		Upstream:   lease.Upstream,
		Method:     http.MethodPost,
		Target:     string(r.call.Endpoint),
		Body:       r.call.Body,
		Workspace:  r.identity.Workspace.ID,
		Class:      r.call.Class,
		ResumeFrom: r.progress.Events,
		Retryable:  true,
		Timeout:    r.executor.config.FirstByteTimeout,
	})
	if err != nil {
		return r.upstreamFailed(ctx, lease, err)
	}
	defer response.Body.Close()
	r.executor.config.Health.Answered(lease.Upstream.ID, response.Incarnation)
	if isRefused(response.Status) {
		r.lastError = apierror.New(http.StatusServiceUnavailable, apierror.Overloaded,
			"the upstreams refuse more requests").WithRetryAfter(time.Second)
		return errRefused
	}
	r.maybeRun = true
	if r.call.Stream && response.Status == http.StatusOK {
		return r.relayStream(ctx, lease, response)
	}
	return r.relayWhole(ctx, lease, response)
}

// isRefused reports whether an engine has refused to run a request: it is
// overloaded, shutting down or does not hold the weights.
func isRefused(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusNotFound
}

func (r *modelRun) upstreamFailed(ctx context.Context, lease *dispatcher.Lease, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		r.lastError = cause
		return r.giveUp(ctx)
	}
	var sendErr *SendError
	if errors.As(err, &sendErr) && sendErr.MayHaveRun {
		r.maybeRun = true
	}
	r.lastError = err
	if isBrokenOff(ctx, err) {
		r.suspect(ctx, lease.Upstream.ID)
	}
	r.executor.config.Health.Failed(lease.Upstream.ID)
	r.executor.config.Logger.Warn().Err(err).Str("upstream", lease.Upstream.ID).
		Str("workspace", r.identity.Workspace.ID).Str("model", r.call.Model).Msg("attempt failed")
	return errRetry
}

func (r *modelRun) relayStream(ctx context.Context, lease *dispatcher.Lease, response *Response) error {
	if !r.writer.begun {
		r.writer.begin(http.StatusOK, response.Header)
	}
	if r.relay == nil {
		r.relay = relayer.New()
	}
	err := r.relay.Run(response.Body, r.writer, &r.progress)
	var callerErr *relayer.CallerError
	switch {
	case err == nil:
		r.conclude(crocushollow.ClearedEvent)
		return nil
	case errors.As(err, &callerErr):
		return nil
	}
	return r.upstreamFailed(ctx, lease, err)
}

func (r *modelRun) relayWhole(ctx context.Context, lease *dispatcher.Lease, response *Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, r.executor.config.MaxResponseBytes+1))
	if err != nil {
		return r.upstreamFailed(ctx, lease, err)
	}
	if int64(len(body)) > r.executor.config.MaxResponseBytes {
		r.lastError = apierror.New(http.StatusBadGateway, apierror.UpstreamFailed, "the upstream's answer is too large")
		return r.giveUp(ctx)
	}
	if response.Status >= http.StatusInternalServerError {
		return r.upstreamFailed(ctx, lease, &SendError{
			Err:        errors.New("upstream answered " + http.StatusText(response.Status)),
			MayHaveRun: true,
		})
	}
	if usage, found := relayer.ParseUsage(body); found {
		r.usage = &usage
	}
	r.conclude(crocushollow.ClearedEvent)
	r.writer.begin(response.Status, response.Header)
	_, _ = r.writer.Write(body)
	return nil
}
