package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/apierror"
)

// Attempt is one try to have a call served by an upstream.
type Attempt struct {
	Call     *Call
	Upstream catalog.Upstream
	// Workspace is the name of the workspace that the call runs for, empty on
	// open routes.
	Workspace string
	// TimeLeft is how long the upstream may work.
	TimeLeft time.Duration
	// LastEventID names the event after which a stream goes on, empty for its
	// beginning.
	LastEventID string
	// Retryable allows the attempt on a connection that may have gone silent.
	Retryable bool
}

// Response is an upstream's answer to an attempt.
type Response struct {
	Status int
	Header http.Header
	// Body ends with an error if the answer is not whole.
	Body io.ReadCloser
	// NotRun tells that the upstream has certainly not run the call.
	NotRun bool
	// Verified tells that the answer belongs to the call and comes from an
	// upstream rather than from something on the way.
	Verified bool
}

// SendError reports an attempt without an answer.
type SendError struct {
	Err error
	// MayHaveRun is false if the upstream has certainly not seen the call.
	MayHaveRun bool
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Sender sends attempts. Its errors are *SendError.
type Sender interface {
	Send(ctx context.Context, attempt Attempt) (*Response, error)
}

// ResponseWriter takes the answer to a call.
type ResponseWriter interface {
	// WriteHeader sends the status and the header.
	WriteHeader(status int, header http.Header)
	// Write sends a part of the body at once.
	Write(p []byte) error
	// WriteError sends a refusal in place of an answer that has not begun.
	WriteError(refusal *apierror.Error)
	// Abort breaks off an answer that has begun, so that it looks incomplete.
	Abort()
}
