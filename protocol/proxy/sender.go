package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
)

// Attempt is one attempt to have an upstream serve a call.
type Attempt struct {
	Call     *Call
	Upstream catalog.Upstream
	// Workspace is the name of the workspace that the call runs for. It is
	// empty on routes that allow anonymous calls.
	Workspace string
	// TimeLeft is the time until the deadline of the call.
	TimeLeft time.Duration
	// LastEventID is the ID of the event after which the upstream must resume a
	// stream. It is empty to start at the first event.
	LastEventID string
	// Repeat is the number of times that the call was sent to the upstream's address before.
	Repeat int
	// Retryable allows the sender to repeat the request by itself if a reused
	// connection turns out to be closed.
	Retryable bool
}

// Response is an upstream's response to an attempt.
type Response struct {
	Status int
	Header http.Header
	// Body returns an error other than io.EOF if the response is incomplete.
	Body io.ReadCloser
	// EndsWithConnection reports that the response has neither a length nor chunks, so
	// that its end looks like that of a connection that breaks off.
	EndsWithConnection bool
	// NotRun reports that the upstream certainly did not run the call.
	NotRun bool
	// Verified reports that the response belongs to the call and comes from an
	// upstream, not from an intermediary.
	Verified bool
	// RateLimit is the limit that the response names for the requests to its upstream. It
	// is nil if the response names none.
	RateLimit *RateLimit
	// Availability is what the upstream says about itself. It is nil if it says nothing.
	Availability *Availability
}

// Availability is what an upstream says about itself in a response.
type Availability struct {
	// IsLeaving means that the upstream shuts down.
	IsLeaving bool
	// PauseFor is the time for which the upstream wants no requests from this instance. It is 0
	// if the upstream has not asked for a pause.
	PauseFor time.Duration
	// Err is set if a value could not be decoded.
	Err error
}

// RateLimit is the limit of the requests to an upstream that a response names.
type RateLimit struct {
	// PerSecond is the rate in requests per second, over all instances.
	PerSecond float64
	// Err is set if the value could not be decoded.
	Err error
}

// SendError reports an attempt without a response.
type SendError struct {
	Err error
	// MayHaveRun is false if the upstream certainly did not receive the call.
	MayHaveRun bool
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Sender sends attempts to upstreams. Its errors are of type *SendError.
type Sender interface {
	Send(ctx context.Context, attempt Attempt) (*Response, error)
}

// ResponseWriter sends the response to a caller.
type ResponseWriter interface {
	// SetDeadline sets when writes to the caller fail. A caller that does not read would
	// block them for longer. It returns an error if the caller's connection is closed.
	SetDeadline(deadline time.Time) error
	// WriteHeader sends the status and the header.
	WriteHeader(status int, header http.Header)
	// Write sends a part of the body without delay.
	Write(p []byte) error
	// WriteError sends an error response. It must not follow WriteHeader.
	WriteError(apiErr *rejecter.Error)
	// Abort closes the connection in the middle of a response, so that the
	// caller notices that it is incomplete.
	Abort()
}
