package executor

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/protocol/authenticator"
	"github.com/crocushollow/crocushollow/protocol/bounder"
	"github.com/crocushollow/crocushollow/protocol/dispatcher"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/protocol/verifier"
)

// ServiceCall is a request to a service that runs no models.
type ServiceCall struct {
	Route  crocushollow.Route
	Method string
	// Target is the request target: the path and the query.
	Target string
	// Header holds the headers that are forwarded to the upstream.
	Header http.Header
	Body   []byte
	// IdempotencyKey lets the caller retry a call that must run only once.
	IdempotencyKey string
}

// isRetryable reports whether the call may be sent to upstreams more than once. The
// methods are those that RFC 9110 defines as safe.
func (c ServiceCall) isRetryable() bool {
	return c.Route.Retryable || c.Method == http.MethodGet || c.Method == http.MethodHead || c.Method == http.MethodOptions
}

// serviceResponse is a complete response of a service.
type serviceResponse struct {
	status int
	header http.Header
	body   []byte
}

// RunService serves a request to a service that runs no models. Any error is an
// *rejecter.Error that has not been written to the caller.
func (e *Executor) RunService(ctx context.Context, w http.ResponseWriter, identity authenticator.Identity, call ServiceCall) error {
	if _, err := e.readyView(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, call.Route.Timeout)
	defer cancel()
	run := &serviceRun{executor: e, identity: identity, call: call, request: dispatcher.Request{
		Workspace: identity.Workspace,
		Queue:     "route/" + call.Route.ID,
		Upstreams: call.Route.Upstreams,
		Tokens:    1,
	}}
	defer run.releaseContent()
	e.retryBudgets.deposit(identity.Workspace.ID)
	var result *serviceResponse
	var err error
	if call.IdempotencyKey != "" && !call.isRetryable() {
		result, err = e.runIdempotent(ctx, run)
	} else {
		result, err = run.tryUpstreams(ctx)
	}
	if err != nil {
		return err
	}
	writer := newCallerWriter(w, e.config.CallerTimeout)
	writer.writeHeader(result.status, result.header)
	_, _ = writer.Write(result.body)
	return nil
}

// serviceRun is the state of one service request across its attempts.
type serviceRun struct {
	executor *Executor
	identity authenticator.Identity
	call     ServiceCall
	request  dispatcher.Request
	// mayHaveRun reports that an upstream may have run the request.
	mayHaveRun bool
	lastError  error
	// content holds the response until the caller has received it. It is nil before one
	// arrives.
	content *bounder.Buffer
}

func (r *serviceRun) releaseContent() {
	if r.content != nil {
		r.content.Release()
	}
}

func (r *serviceRun) tryUpstreams(ctx context.Context) (*serviceResponse, error) {
	for attempt := 1; ; attempt++ {
		result, err := r.attempt(ctx)
		if err == nil {
			return result, nil
		}
		if !errors.Is(err, errRetry) {
			return nil, err
		}
		mayRetry := !r.mayHaveRun || r.call.isRetryable()
		if !mayRetry || attempt >= r.executor.config.MaxAttempts ||
			!r.executor.retryBudgets.tryWithdraw(r.identity.Workspace.ID) || !pause(ctx, backoff(attempt)) {
			return nil, r.finalError(ctx)
		}
	}
}

func (r *serviceRun) finalError(ctx context.Context) *rejecter.Error {
	apiErr := rejecter.New(http.StatusBadGateway, rejecter.UpstreamFailed, "the service did not respond")
	var known *rejecter.Error
	switch {
	case errors.As(context.Cause(ctx), &known), errors.As(r.lastError, &known):
		apiErr = known
	case errors.Is(r.lastError, context.DeadlineExceeded), ctx.Err() != nil:
		apiErr = rejecter.New(http.StatusGatewayTimeout, rejecter.UpstreamTimeout, "the service did not respond in time")
	}
	if r.mayHaveRun {
		return apiErr.WithOutcome(crocushollow.OutcomeUnknown)
	}
	return apiErr.WithOutcome(crocushollow.OutcomeNotRun)
}

func (r *serviceRun) attempt(ctx context.Context) (*serviceResponse, error) {
	lease, err := r.executor.config.Dispatcher.Acquire(ctx, r.request)
	if err != nil {
		if r.lastError == nil {
			r.lastError = err
		}
		return nil, r.finalError(ctx)
	}
	defer r.executor.config.Dispatcher.Release(lease)
	if !r.executor.config.View().HasValidLease(time.Now()) {
		r.lastError = authenticator.ErrInstanceIsolated
		return nil, r.finalError(ctx)
	}
	r.request.Tried = append(r.request.Tried, lease.Upstream.ID)
	ctx, span := tracer.Start(ctx, "upstream attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("upstream", lease.Upstream.ID))
	result, err := r.send(ctx, lease)
	r.executor.config.Recorder.AttemptEnded(lease.Upstream.ID, err != nil)
	return result, err
}

func (r *serviceRun) send(ctx context.Context, lease *dispatcher.Lease) (*serviceResponse, error) {
	response, err := r.executor.config.Sender.Send(ctx, Attempt{
		ID:        crocushollow.NewID(),
		Upstream:  lease.Upstream,
		Method:    r.call.Method,
		Target:    r.call.Target,
		Header:    r.call.Header,
		Body:      r.call.Body,
		Workspace: r.identity.Workspace.ID,
		Retryable: r.call.isRetryable(),
		Timeout:   r.call.Route.Timeout,
	})
	if err != nil {
		return nil, r.handleUpstreamError(ctx, lease, err)
	}
	defer response.Body.Close()
	r.mayHaveRun = true
	// An attempt before may have left a part of a response.
	r.releaseContent()
	r.content = r.executor.newBuffer(response)
	err = r.content.ReadAll(response.Body)
	if err == nil && response.EndsWithConnection {
		err = verifier.CheckComplete(response.Header, r.content.Bytes())
	}
	if err != nil && !errors.Is(err, bounder.ErrFull) {
		return nil, r.handleUpstreamError(ctx, lease, err)
	}
	if err != nil {
		r.lastError = rejecter.New(http.StatusBadGateway, rejecter.UpstreamFailed, "the service's response is too large")
		return nil, r.finalError(ctx)
	}
	r.executor.config.Health.RecordResponse(lease.Upstream.ID, response.Incarnation)
	return &serviceResponse{status: response.Status, header: response.Header, body: r.content.Bytes()}, nil
}

func (r *serviceRun) handleUpstreamError(ctx context.Context, lease *dispatcher.Lease, err error) error {
	var sendErr *SendError
	if !errors.As(err, &sendErr) || sendErr.MayHaveRun {
		r.mayHaveRun = true
	}
	r.lastError = err
	if ctx.Err() != nil {
		return r.finalError(ctx)
	}
	r.executor.config.Health.RecordFailure(lease.Upstream.ID)
	r.executor.config.Logger.Warn().Err(err).Str("upstream", lease.Upstream.ID).
		Str("route", r.call.Route.ID).Bool("maybe_run", r.mayHaveRun).Msg("attempt failed")
	return errRetry
}
