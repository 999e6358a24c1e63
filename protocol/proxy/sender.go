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
	// Repeatable allows the attempt on a connection that may have gone silent.
	Repeatable bool
}

// Answer is an upstream's answer to an attempt.
type Answer struct {
	Status int
	Header http.Header
	// Body ends with an error if the answer is not whole.
	Body io.ReadCloser
	// NotRun tells that the upstream has certainly not run the call.
	NotRun bool
	// Genuine tells that the answer belongs to the call and comes from an
	// upstream rather than from something on the way.
	Genuine bool
}

// SendError reports an attempt without an answer.
type SendError struct {
	Err error
	// MaybeRun is false if the upstream has certainly not seen the call.
	MaybeRun bool
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Sender sends attempts. Its errors are *SendError.
type Sender interface {
	Send(ctx context.Context, attempt Attempt) (*Answer, error)
}

// Caller takes the answer to a call.
type Caller interface {
	// Begin sends the status and the header.
	Begin(status int, header http.Header)
	// Write sends a part of the body at once.
	Write(p []byte) error
	// Refuse sends a refusal in place of an answer that has not begun.
	Refuse(refusal *apierror.Refusal)
	// Abort breaks off an answer that has begun, so that it looks incomplete.
	Abort()
}
