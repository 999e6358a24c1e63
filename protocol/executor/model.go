package executor

import (
	"context"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/protocol/admitter"
	"github.com/crocushollow/crocushollow/protocol/authenticator"
	"github.com/crocushollow/crocushollow/protocol/bounder"
	"github.com/crocushollow/crocushollow/protocol/decoder"
	"github.com/crocushollow/crocushollow/protocol/dispatcher"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/protocol/relayer"
	"github.com/crocushollow/crocushollow/protocol/verifier"
	"github.com/crocushollow/crocushollow/state/quarantiner"
)

// modelRun is the state of one model request across its attempts.
type modelRun struct {
	executor   *Executor
	identity   authenticator.Identity
	call       decoder.Call
	request    dispatcher.Request
	writer     *callerWriter
	relay      *relayer.Relay
	progress   relayer.Progress
	usage      *relayer.Usage
	mayHaveRun bool
	lastError  error
	// fingerprint identifies the request across instances.
	fingerprint crocushollow.Digest
	// parts identifies the messages that other requests may have too.
	parts []quarantiner.Part
	// crashes counts the attempts that crashed their upstream. suspectEvent is
	// the last event published about the request.
	crashes      int
	suspectEvent crocushollow.SuspectEvent
	// ownsRetryClaim reports that this run claimed the right to retry a request
	// that crashed an upstream in another run.
	ownsRetryClaim bool
	// eventsBeforeAttempt is the number of events that the caller received
	// before the current attempt.
	eventsBeforeAttempt int64
	// reloadDeadline is when the request stops waiting for an upstream to load
	// its model again after a crash.
	reloadDeadline time.Time
}

// RunModel serves a request to run a model. Any error is an *rejecter.Error that
// has not been written to the caller.
func (e *Executor) RunModel(ctx context.Context, w http.ResponseWriter, identity authenticator.Identity, call decoder.Call) error {
	view, err := e.readyView(ctx)
	if err != nil {
		return err
	}
	model, err := resolveBaseModel(view.State.Table(), call.Model)
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
	run.fingerprint = run.computeFingerprint()
	run.parts = toParts(call.Parts)
	e.retryBudgets.deposit(identity.Workspace.ID)
	err = run.tryUpstreams(ctx)
	used := run.tokensUsed(admission)
	admission.Release(float64(used))
	e.config.Recorder.TokensUsed(identity.Workspace.ID, model.ID, used)
	return err
}

// resolveBaseModel returns the base model for the name of a model or an adapter.
func resolveBaseModel(table *crocushollow.Table, name string) (crocushollow.Model, error) {
	base := name
	if adapter, found := table.Adapter(name); found {
		base = adapter.Model
	}
	model, found := table.Model(base)
	if !found {
		return crocushollow.Model{}, rejecter.New(http.StatusNotFound, rejecter.ModelNotFound, "no such model")
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

// tokensUsed returns the number of tokens that the request is charged for.
func (r *modelRun) tokensUsed(admission *admitter.Admission) int64 {
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
	case r.mayHaveRun:
		return int64(admission.ChargedTokens())
	}
	return 0
}

// errRetry reports a failed attempt after which another one is allowed.
var errRetry = errors.New("attempt failed")

// errRejected reports an attempt that an engine declined to run.
var errRejected = fmt.Errorf("%w: rejected by the engine", errRetry)

// errWeightsAbsent reports an attempt at an engine that has lost the weights. The engine is
// not chosen for them again, so the next attempt does not count as a retry.
var errWeightsAbsent = fmt.Errorf("%w: without the weights", errRejected)

// tryUpstreams sends the request to one upstream after another until one serves it.
func (r *modelRun) tryUpstreams(ctx context.Context) error {
	for attempt := 1; ; attempt++ {
		if err := r.checkSuspect(ctx); err != nil {
			r.lastError = err
			return r.fail(ctx)
		}
		if r.hasCrashingPart() {
			r.lastError = errPartCrashesUpstreams
			return r.fail(ctx)
		}
		err := r.attempt(ctx)
		if !errors.Is(err, errRetry) {
			return err
		}
		if r.awaitReload(ctx, err) {
			// A crashed upstream has lost its weights. Once it has loaded them again,
			// it may serve the request, so no upstream is excluded.
			r.request.Tried = nil
			attempt--
			continue
		}
		if r.crashes >= crocushollow.MaxCrashes && !r.awaitExoneration(ctx) {
			r.lastError = errCrashesUpstreams
			return r.fail(ctx)
		}
		if attempt >= r.executor.config.MaxAttempts {
			return r.fail(ctx)
		}
		if !errors.Is(err, errWeightsAbsent) && !r.executor.retryBudgets.tryWithdraw(r.identity.Workspace.ID) {
			return r.fail(ctx)
		}
		if !pause(ctx, backoff(attempt)) {
			return r.fail(ctx)
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

// fail ends a request that no upstream served. It returns the error, or sends it as
// an event if the caller already received part of a stream.
func (r *modelRun) fail(ctx context.Context) error {
	r.publishConclusion(crocushollow.RetryDeclinedEvent)
	apiErr := r.finalError(ctx)
	if r.writer.headerSent {
		r.writer.writeErrorEvent(apiErr)
		return nil
	}
	return apiErr
}

func (r *modelRun) finalError(ctx context.Context) *rejecter.Error {
	apiErr := rejecter.New(http.StatusBadGateway, rejecter.UpstreamFailed, "no upstream could serve the request")
	var known *rejecter.Error
	switch {
	case errors.As(context.Cause(ctx), &known), errors.As(r.lastError, &known):
		apiErr = known
	case errors.Is(r.lastError, context.DeadlineExceeded):
		apiErr = rejecter.New(http.StatusGatewayTimeout, rejecter.UpstreamTimeout, "the upstream did not respond in time")
	}
	if r.mayHaveRun {
		return apiErr.WithOutcome(crocushollow.OutcomeUnknown)
	}
	return apiErr
}

// attempt tries one upstream. It returns errRetry if another one may be tried.
func (r *modelRun) attempt(ctx context.Context) error {
	lease, err := r.executor.config.Dispatcher.Acquire(ctx, r.request)
	for err != nil && r.awaitReload(ctx, err) {
		r.request.Tried = nil
		lease, err = r.executor.config.Dispatcher.Acquire(ctx, r.request)
	}
	if err != nil {
		if r.lastError == nil {
			r.lastError = err
		}
		return r.fail(ctx)
	}
	defer r.executor.config.Dispatcher.Release(lease)
	if !r.executor.config.View().HasValidLease(time.Now()) {
		r.lastError = authenticator.ErrInstanceIsolated
		return r.fail(ctx)
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
	r.eventsBeforeAttempt = r.progress.Events
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
		return r.handleUpstreamError(ctx, lease, err)
	}
	defer response.Body.Close()
	r.executor.config.Health.RecordResponse(lease.Upstream.ID, response.Incarnation)
	if !response.IsIdentified {
		r.mayHaveRun = true
	}
	if response.Status == http.StatusNotFound {
		r.executor.config.Dispatcher.RecordAbsence(lease)
		r.executor.config.Logger.Warn().Str("upstream", lease.Upstream.ID).Str("model", r.call.Model).Msg("engine has lost the weights")
		r.lastError = rejecter.New(http.StatusServiceUnavailable, rejecter.NoUpstream,
			"no engine has loaded the model").WithRetryAfter(time.Second)
		return errWeightsAbsent
	}
	if isRejection(response.Status) {
		r.lastError = rejecter.New(http.StatusServiceUnavailable, rejecter.Overloaded,
			"the engines accept no more requests").WithRetryAfter(time.Second)
		return errRejected
	}
	r.mayHaveRun = true
	if r.call.Stream && response.Status == http.StatusOK {
		return r.relayStream(ctx, lease, response)
	}
	return r.relayBuffered(ctx, lease, response)
}

// isRejection reports whether a status means that an engine declined to run a
// request: it is overloaded or shutting down.
func isRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func (r *modelRun) handleUpstreamError(ctx context.Context, lease *dispatcher.Lease, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		r.lastError = cause
		return r.fail(ctx)
	}
	var sendErr *SendError
	if errors.As(err, &sendErr) && sendErr.MayHaveRun {
		r.mayHaveRun = true
	}
	r.lastError = err
	if isCrash(ctx, err) {
		r.recordCrash(ctx, lease.Upstream.ID)
	}
	r.executor.config.Health.RecordFailure(lease.Upstream.ID)
	r.executor.config.Logger.Warn().Err(err).Str("upstream", lease.Upstream.ID).
		Str("workspace", r.identity.Workspace.ID).Str("model", r.call.Model).Msg("attempt failed")
	return errRetry
}

// Responses of engines that cannot be a part of a stream.
var (
	errNoContinuation = errors.New("the upstream did not continue the stream")
	errNoStream       = errors.New("the upstream responded with something else than a stream")
)

// handleUnusable classifies a response that cannot be a part of the stream. It does not show
// that the upstream has crashed.
func (r *modelRun) handleUnusable(lease *dispatcher.Lease, response *Response, err error) error {
	r.lastError = err
	r.executor.config.Logger.Warn().Err(err).Str("upstream", lease.Upstream.ID).Int("status", response.Status).
		Str("workspace", r.identity.Workspace.ID).Str("model", r.call.Model).Msg("attempt failed")
	return errRetry
}

// isEventStream reports whether a response is a stream of events that can be read.
func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	encoding := header.Get("Content-Encoding")
	return err == nil && mediaType == "text/event-stream" && (encoding == "" || encoding == "identity")
}

func (r *modelRun) relayStream(ctx context.Context, lease *dispatcher.Lease, response *Response) error {
	if !isEventStream(response.Header) {
		r.executor.config.Health.RecordFailure(lease.Upstream.ID)
		return r.handleUnusable(lease, response, errNoStream)
	}
	if response.ResumeFrom != r.progress.Events {
		return r.handleUnusable(lease, response, errNoContinuation)
	}
	if !r.writer.headerSent {
		r.writer.writeHeader(http.StatusOK, response.Header)
	}
	if r.relay == nil {
		r.relay = relayer.New()
	}
	err := r.relay.Run(response.Body, r.writer, &r.progress)
	var callerErr *relayer.CallerError
	switch {
	case err == nil:
		r.recordCompletion()
		return nil
	case errors.As(err, &callerErr):
		return nil
	case errors.Is(err, relayer.ErrErrorEvent):
		return r.handleUnusable(lease, response, err)
	case errors.Is(err, relayer.ErrMalformedEvent):
		r.executor.config.Health.RecordFailure(lease.Upstream.ID)
		return r.handleUnusable(lease, response, err)
	}
	return r.handleUpstreamError(ctx, lease, err)
}

func (r *modelRun) relayBuffered(ctx context.Context, lease *dispatcher.Lease, response *Response) error {
	if r.writer.headerSent && response.Status < http.StatusInternalServerError {
		// A stream that has begun cannot continue with another kind of response.
		return r.handleUnusable(lease, response, errNoContinuation)
	}
	content := r.executor.newBuffer(response)
	defer content.Release()
	err := content.ReadAll(response.Body)
	if err == nil && response.EndsWithConnection {
		err = verifier.CheckComplete(response.Header, content.Bytes())
	}
	if err != nil && !errors.Is(err, bounder.ErrFull) {
		return r.handleUpstreamError(ctx, lease, err)
	}
	if err != nil {
		r.lastError = rejecter.New(http.StatusBadGateway, rejecter.UpstreamFailed, "the upstream's response is too large")
		return r.fail(ctx)
	}
	if response.Status >= http.StatusInternalServerError {
		return r.handleUpstreamError(ctx, lease, &SendError{
			Err:        errors.New("upstream responded with " + http.StatusText(response.Status)),
			MayHaveRun: true,
		})
	}
	body := content.Bytes()
	if usage, found := relayer.ParseUsage(body); found {
		r.usage = &usage
	}
	r.recordCompletion()
	r.writer.writeHeader(response.Status, response.Header)
	_, _ = r.writer.Write(body)
	return nil
}
