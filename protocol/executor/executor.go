// Package executor carries a request from its admission to the end of its
// answer: it sends attempts to upstreams, repeats those that may be repeated,
// resumes broken streams and settles what was used.
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
	"github.com/crocushollow/crocushollow/protocol/apierror"
	"github.com/crocushollow/crocushollow/protocol/dispatcher"
	"github.com/crocushollow/crocushollow/state/scheduler"
)

// tracer makes the spans of admissions and attempts.
var tracer = otel.Tracer("github.com/crocushollow/crocushollow/protocol/executor")

// Attempt is one try to have a request served by an upstream.
type Attempt struct {
	// ID tells the attempt from all others. The upstream repeats it in its
	// answer.
	ID       crocushollow.ID
	Upstream crocushollow.Upstream
	Method   string
	// Target is the path with the query.
	Target string
	Header http.Header
	Body   []byte
	// Workspace is the ID of the workspace on whose behalf the request runs,
	// empty on open routes.
	Workspace string
	Class     scheduler.Class
	// ResumeFrom is the number of events of the stream that the caller has.
	ResumeFrom int64
	// Retryable allows the attempt on a connection that may have gone silent.
	Retryable bool
	// Timeout bounds the time to the first byte of the answer.
	Timeout time.Duration
}

// Response is an upstream's answer.
type Response struct {
	Status int
	Header http.Header
	// Incarnation is that of the engine, empty for services.
	Incarnation string
	// Body ends with an error if the upstream goes silent.
	Body io.ReadCloser
}

// SendError reports an attempt without an answer.
type SendError struct {
	Err error
	// MayHaveRun is false if the upstream has certainly not seen the request.
	MayHaveRun bool
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// ErrReadTimeout reports an upstream that sent nothing for too long.
var ErrReadTimeout = errors.New("upstream went silent")

// Sender sends attempts. Its errors are *SendError.
type Sender interface {
	Send(ctx context.Context, attempt Attempt) (*Response, error)
}

// Health takes what attempts show of upstreams.
type Health interface {
	Answered(upstream, incarnation string) bool
	Failed(upstream string)
}

// Publisher appends records to the platform's log.
type Publisher interface {
	Publish(ctx context.Context, record crocushollow.Record) error
}

// Recorder takes what happened to requests, for metrics.
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
	// FirstByteTimeout bounds the time to an engine's first byte.
	FirstByteTimeout time.Duration
	// CallerTimeout bounds how long a caller may take to accept a chunk.
	CallerTimeout time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MaxResponseBytes bounds an answer that is not streamed.
	MaxResponseBytes int64
	// MaxStoredBytes bounds an answer that is kept for repeated calls.
	MaxStoredBytes int
}

// Executor is safe for concurrent use.
type Executor struct {
	config  Config
	budgets *budgets
}

// New returns an executor.
func New(config Config) *Executor {
	return &Executor{config: config, budgets: newBudgets()}
}

// assuranceWait bounds how long a request waits for the instance to be assured
// again.
const assuranceWait = 500 * time.Millisecond

// assuredView returns the current view once the instance may act on it. The
// error is an *apierror.Error.
func (e *Executor) assuredView(ctx context.Context) (*controller.View, error) {
	deadline := time.Now().Add(assuranceWait)
	for {
		view := e.config.View()
		if view.IsReady(time.Now()) {
			return view, nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return nil, apierror.New(http.StatusServiceUnavailable, apierror.InstanceIsolated,
				"the instance is cut off from its peers and the log").WithRetryAfter(time.Second)
		}
		time.Sleep(assuranceWait / 20)
	}
}
