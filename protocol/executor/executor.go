// Package executor runs admitted requests to completion. It sends attempts to
// upstreams, retries where that is safe, resumes interrupted streams and charges
// the tokens that were used.
package executor

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"

	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/controller"
	"github.com/crocushollow/crocushollow/protocol/admitter"
	"github.com/crocushollow/crocushollow/protocol/bounder"
	"github.com/crocushollow/crocushollow/protocol/dispatcher"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/state/scheduler"
)

// tracer creates the spans of admissions and attempts.
var tracer = otel.Tracer("github.com/crocushollow/crocushollow/protocol/executor")

// Attempt is one attempt to have an upstream serve a request.
type Attempt struct {
	// ID identifies the attempt. The upstream echoes it in its response.
	ID       crocushollow.ID
	Upstream crocushollow.Upstream
	Method   string
	// Target is the request target: the path and the query.
	Target string
	Header http.Header
	Body   []byte
	// Workspace is the ID of the workspace that the request runs for. It is
	// empty on routes that allow anonymous requests.
	Workspace string
	Class     scheduler.Class
	// ResumeFrom is the number of stream events that the caller already
	// received.
	ResumeFrom int64
	// Retryable allows the attempt to reuse an idle connection, which the upstream
	// may have closed. Other attempts get a new connection.
	Retryable bool
	// Timeout is the maximum time until the first byte of the response.
	Timeout time.Duration
}

// Response is an upstream's response.
type Response struct {
	Status int
	Header http.Header
	// IsIdentified means that the response names the attempt. Another one may be a late copy
	// of a response to an earlier attempt.
	IsIdentified bool
	// ResumeFrom is the number of stream events after which the response goes on. It is 0 if the
	// response names none.
	ResumeFrom int64
	// EndsWithConnection means that the response has neither a length nor chunks, so that the
	// end of its connection is its end.
	EndsWithConnection bool
	// Incarnation identifies the engine's process. It is empty for services.
	Incarnation string
	// Body returns an error if the upstream sends no data for too long.
	Body io.ReadCloser
}

// SendError reports an attempt without a response.
type SendError struct {
	Err error
	// MayHaveRun is false if the upstream certainly did not receive the request.
	MayHaveRun bool
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// ErrReadTimeout reports that an upstream sent no data for too long.
var ErrReadTimeout = errors.New("upstream sent no data in time")

// Sender sends attempts to upstreams. Its errors are of type *SendError.
type Sender interface {
	Send(ctx context.Context, attempt Attempt) (*Response, error)
}

// Health receives the results of attempts, which show whether upstreams work.
type Health interface {
	RecordResponse(upstream, incarnation string) bool
	RecordFailure(upstream string)
}

// Publisher appends records to the platform's log.
type Publisher interface {
	Publish(ctx context.Context, record crocushollow.Record) error
}

// Recorder receives the results of requests, for metrics.
type Recorder interface {
	AttemptEnded(upstream string, failed bool)
	StreamResumed(workspace string)
	TokensUsed(workspace, model string, tokens int64)
}

// Config configures an Executor.
type Config struct {
	View       func() *controller.View
	Admitter   *admitter.Admitter
	Dispatcher *dispatcher.Dispatcher
	Sender     Sender
	Health     Health
	Publisher  Publisher
	Recorder   Recorder
	Logger     zerolog.Logger
	// FirstByteTimeout is the maximum time until an engine's first byte.
	FirstByteTimeout time.Duration
	// CallerTimeout is the maximum time that a caller may take to accept a
	// chunk.
	CallerTimeout time.Duration
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts int
	// MaxResponseBytes is the maximum size of a response that is not streamed.
	MaxResponseBytes int64
	// MaxBufferedBytes bounds the memory for all responses together that are not
	// streamed. Each may use bounder.MinBytes in addition.
	MaxBufferedBytes int64
	// MaxStoredBytes is the maximum size of a response that is stored for
	// replay to callers that retry.
	MaxStoredBytes int
}

// Executor runs requests on upstreams. It is safe for concurrent use.
type Executor struct {
	config       Config
	retryBudgets *retryBudgets
	parts        *partTracker
	buffered     *bounder.Budget
}

// New returns an executor.
func New(config Config) *Executor {
	return &Executor{
		config: config, retryBudgets: newRetryBudgets(), parts: newPartTracker(config.Logger),
		buffered: bounder.NewBudget(config.MaxBufferedBytes),
	}
}

// newBuffer returns a buffer for a response that is not streamed.
func (e *Executor) newBuffer(response *Response) *bounder.Buffer {
	// A full buffer has no room to notice the end of a response.
	return bounder.NewBuffer(e.buffered, bounder.Limit(response.Header, int(e.config.MaxResponseBytes)+1))
}

// readyTimeout is the maximum time that a request waits for the instance to become
// ready.
const readyTimeout = 500 * time.Millisecond

// readyView returns the current view once the instance is ready. The error is an
// *rejecter.Error.
func (e *Executor) readyView(ctx context.Context) (*controller.View, error) {
	deadline := time.Now().Add(readyTimeout)
	for {
		view := e.config.View()
		if view.IsReady(time.Now()) {
			return view, nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return nil, rejecter.New(http.StatusServiceUnavailable, rejecter.InstanceIsolated,
				"the instance is disconnected from its peers and the log").WithRetryAfter(time.Second)
		}
		time.Sleep(readyTimeout / 20)
	}
}
