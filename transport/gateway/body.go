package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/crocushollow/crocushollow/protocol/authenticator"
	"github.com/crocushollow/crocushollow/protocol/bounder"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/transport/acceptor"
)

const (
	// Bodies up to drainedBytes that are not needed may arrive for drainTime, so that the
	// connection can be used again.
	drainedBytes = 64 << 10
	drainTime    = time.Second
	// bodyRetryAfter is the time after which a caller may retry a request for whose body there
	// was no memory.
	bodyRetryAfter = 200 * time.Millisecond
)

// observedBody reports the progress of a body, and knows whether it was read to its end.
type observedBody struct {
	io.ReadCloser
	ctx         context.Context
	connections *acceptor.Keeper
	isAtEnd     bool
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	b.connections.BodyProgressed(b.ctx)
	n, err := b.ReadCloser.Read(p)
	b.isAtEnd = b.isAtEnd || errors.Is(err, io.EOF)
	return n, err
}

// closeUnread bounds the wait for a body that is not needed. Unless the body is small, the
// connection is closed after the response.
func (g *Gateway) closeUnread(w http.ResponseWriter, r *http.Request, body *observedBody) {
	switch {
	case r.ContentLength == 0 || body.isAtEnd:
	case r.ContentLength > 0 && r.ContentLength <= drainedBytes:
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTime))
	default:
		acceptor.CloseUnread(w)
	}
}

// readBody reads the request body within the limits on size, time and memory. The caller closes
// the body.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, identity authenticator.Identity) (*bounder.Body, error) {
	body, err := g.config.Bodies.Open(bounder.BodyConfig{
		Owner: identity.Workspace.ID, IsKnown: identity.Workspace.ID != "", Length: r.ContentLength, Limit: g.config.MaxBodyBytes,
	})
	if err != nil {
		return nil, rejectBody(err)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(g.config.BodyTimeout))
	defer g.config.Connections.BodyEnded(r.Context())
	if err := body.ReadAll(r.Body); err != nil {
		body.Close()
		return nil, rejectBody(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func rejectBody(err error) *rejecter.Error {
	switch {
	case errors.Is(err, bounder.ErrTooLarge):
		return rejecter.New(http.StatusRequestEntityTooLarge, rejecter.BodyTooLarge, "the request body is too large")
	case errors.Is(err, bounder.ErrShort):
		return rejecter.New(http.StatusServiceUnavailable, rejecter.BodyMemoryShort, "the bodies of other requests use the memory").WithRetryAfter(bodyRetryAfter)
	}
	return rejecter.New(http.StatusRequestTimeout, rejecter.RequestIncomplete, "the request body was not received within the time limit")
}
