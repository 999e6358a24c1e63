package executor

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/protocol/apierror"
	"github.com/crocushollow/crocushollow/protocol/authenticator"
	"github.com/crocushollow/crocushollow/protocol/dispatcher"
)

// ServiceCall is a request to a plain service.
type ServiceCall struct {
	Route  crocushollow.Route
	Method string
	// Target is the path with the query.
	Target string
	// Header holds what is passed on.
	Header http.Header
	Body   []byte
	// IdempotencyKey lets the caller send a call again that runs only once.
	IdempotencyKey string
}

// isRepeatable reports whether the call may be sent to upstreams more than
// once. The methods are those that RFC 9110 calls safe.
func (c ServiceCall) isRepeatable() bool {
	return c.Route.Retryable || c.Method == http.MethodGet || c.Method == http.MethodHead || c.Method == http.MethodOptions
}

// answer is a service's answer read to its end.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// RunService serves a request to a plain service. Any error is a
// *apierror.Error that has not been written to the caller.
func (e *Executor) RunService(ctx context.Context, w http.ResponseWriter, identity authenticator.Identity, call ServiceCall) error {
	if _, err := e.assuredView(ctx); err != nil {
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
	e.budgets.earn(identity.Workspace.ID)
	var result *answer
	var err error
	if call.IdempotencyKey != "" && !call.isRepeatable() {
		result, err = e.runOnce(ctx, run)
	} else {
		result, err = run.attempts(ctx)
	}
	if err != nil {
		return err
	}
	writer := newCallerWriter(w, e.config.CallerTimeout)
	writer.begin(result.status, result.header)
	_, _ = writer.Write(result.body)
	return nil
}

// serviceRun is the state of one service request over its attempts.
type serviceRun struct {
	executor *Executor
	identity authenticator.Identity
	call     ServiceCall
	request  dispatcher.Request
	// maybeRun tells that an upstream may have run the request.
	maybeRun  bool
	lastError error
}

func (r *serviceRun) attempts(ctx context.Context) (*answer, error) {
	for attempt := 1; ; attempt++ {
		result, err := r.attempt(ctx)
		if err == nil {
			return result, nil
		}
		if !errors.Is(err, errRetry) {
			return nil, err
		}
		mayRepeat := !r.maybeRun || r.call.isRepeatable()
		if !mayRepeat || attempt >= r.executor.config.MaxAttempts ||
			!r.executor.budgets.spend(r.identity.Workspace.ID) || !pause(ctx, backoff(attempt)) {
			return nil, r.refusal(ctx)
		}
	}
}

func (r *serviceRun) refusal(ctx context.Context) *apierror.Error {
	refusal := apierror.New(http.StatusBadGateway, apierror.UpstreamFailed, "the service did not answer")
	var known *apierror.Error
	switch {
	case errors.As(context.Cause(ctx), &known), errors.As(r.lastError, &known):
		refusal = known
	case errors.Is(r.lastError, context.DeadlineExceeded), ctx.Err() != nil:
		refusal = apierror.New(http.StatusGatewayTimeout, apierror.UpstreamTimeout, "the service did not answer in time")
	}
	if r.maybeRun {
		return refusal.WithOutcome(crocushollow.OutcomeUnknown)
	}
	return refusal.WithOutcome(crocushollow.OutcomeNotRun)
}

func (r *serviceRun) attempt(ctx context.Context) (*answer, error) {
	lease, err := r.executor.config.Dispatcher.Acquire(ctx, r.request)
	if err != nil {
		if r.lastError == nil {
			r.lastError = err
		}
		return nil, r.refusal(ctx)
	}
	defer r.executor.config.Dispatcher.Release(lease)
	if !r.executor.config.View().IsAssured(time.Now()) {
		r.lastError = authenticator.ErrInstanceIsolated
		return nil, r.refusal(ctx)
	}
	r.request.Tried = append(r.request.Tried, lease.Upstream.ID)
	ctx, span := tracer.Start(ctx, "upstream attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("upstream", lease.Upstream.ID))
	result, err := r.send(ctx, lease)
	r.executor.config.Recorder.AttemptEnded(lease.Upstream.ID, err != nil)
	return result, err
}

func (r *serviceRun) send(ctx context.Context, lease *dispatcher.Lease) (*answer, error) {
	response, err := r.executor.config.Sender.Send(ctx, Attempt{
		ID:        crocushollow.NewID(),
		Upstream:  lease.Upstream,
		Method:    r.call.Method,
		Target:    r.call.Target,
		Header:    r.call.Header,
		Body:      r.call.Body,
		Workspace: r.identity.Workspace.ID,
		Retryable: r.call.isRepeatable(),
		Timeout:   r.call.Route.Timeout,
	})
	if err != nil {
		return nil, r.failed(ctx, lease, err)
	}
	defer response.Body.Close()
	r.maybeRun = true
	body, err := io.ReadAll(io.LimitReader(response.Body, r.executor.config.MaxResponseBytes+1))
	if err != nil {
		return nil, r.failed(ctx, lease, err)
	}
	if int64(len(body)) > r.executor.config.MaxResponseBytes {
		r.lastError = apierror.New(http.StatusBadGateway, apierror.UpstreamFailed, "the service's answer is too large")
		return nil, r.refusal(ctx)
	}
	r.executor.config.Health.Answered(lease.Upstream.ID, response.Incarnation)
	return &answer{status: response.Status, header: response.Header, body: body}, nil
}

func (r *serviceRun) failed(ctx context.Context, lease *dispatcher.Lease, err error) error {
	var sendErr *SendError
	if !errors.As(err, &sendErr) || sendErr.MayHaveRun {
		r.maybeRun = true
	}
	r.lastError = err
	if ctx.Err() != nil {
		return r.refusal(ctx)
	}
	r.executor.config.Health.Failed(lease.Upstream.ID)
	r.executor.config.Logger.Warn().Err(err).Str("upstream", lease.Upstream.ID).
		Str("route", r.call.Route.ID).Bool("maybe_run", r.maybeRun).Msg("attempt failed")
	return errRetry
}
