// Package forwarder sends attempts to upstreams over HTTP/1.1.
//
// Attempts that may be repeated share kept connections. An attempt that may
// not be repeated gets a connection of its own: net/http sends a request again
// by itself when a kept connection breaks, and a kept connection may have gone
// silent.
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/crocushollow/crocushollow/protocol/executor"
	"github.com/crocushollow/crocushollow/state/scheduler"
	"github.com/crocushollow/crocushollow/transport/dialer"
)

// Headers between the system and its upstreams.
const (
	// AttemptIDHeader carries the attempt's ID; the upstream repeats it.
	AttemptIDHeader = "X-Request-Id"
	// WorkspaceHeader carries the workspace on whose behalf a request runs.
	WorkspaceHeader = "X-Workspace"
	// PriorityHeader carries the request's priority; lower numbers go first.
	PriorityHeader = "X-Priority"
	// ResumeFromHeader carries the number of events that the caller has already.
	ResumeFromHeader = "X-Resume-From"
	// IncarnationHeader carries the engine's incarnation in answers.
	IncarnationHeader = "X-Engine-Incarnation"
)

// ErrAttemptMismatch reports an answer to another attempt.
var ErrAttemptMismatch = errors.New("answer belongs to another attempt")

// Config configures a Forwarder.
type Config struct {
	// SourceAddress is where connections come from.
	SourceAddress netip.Addr
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// ChunkTimeout bounds the time between two chunks of an answer.
	ChunkTimeout time.Duration
	// MaxIdleConnsPerUpstream bounds the kept connections to one upstream.
	MaxIdleConnsPerUpstream int
	// IdleConnTimeout bounds how long a connection is kept.
	IdleConnTimeout time.Duration
}

// Forwarder implements executor.Sender.
type Forwarder struct {
	config Config
	kept   *http.Transport
	fresh  *http.Transport
}

// New returns a forwarder.
func New(config Config) *Forwarder {
	return &Forwarder{
		config: config,
		kept:   newTransport(config, config.MaxIdleConnsPerUpstream),
		fresh:  newTransport(config, -1),
	}
}

// newTransport returns a transport that keeps idle connections, or none if
// their number is negative. TCP keep-alive finds connections that a device on
// the way has forgotten.
func newTransport(config Config, idle int) *http.Transport {
	dial := dialer.New(dialer.Config{SourceAddress: config.SourceAddress, Timeout: config.DialTimeout, KeepAlive: time.Second})
	return &http.Transport{
		DialContext:         dial.DialContext,
		MaxIdleConnsPerHost: idle,
		DisableKeepAlives:   idle < 0,
		IdleConnTimeout:     config.IdleConnTimeout,
		DisableCompression:  true,
		ReadBufferSize:      32 << 10,
		WriteBufferSize:     16 << 10,
	}
}

// Close closes the kept connections.
func (f *Forwarder) Close() {
	f.kept.CloseIdleConnections()
	f.fresh.CloseIdleConnections()
}

// Send implements executor.Sender. The returned error is an
// *executor.SendError.
func (f *Forwarder) Send(ctx context.Context, attempt executor.Attempt) (*executor.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := newRequest(traced, attempt)
	if err != nil {
		cancel(nil)
		return nil, &executor.SendError{Err: err}
	}
	watchdog := time.AfterFunc(attempt.Timeout, func() { cancel(executor.ErrReadTimeout) })
	transport := f.kept
	if !attempt.Retryable {
		transport = f.fresh
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		watchdog.Stop()
		err = causeOf(ctx, err)
		cancel(nil)
		return nil, &executor.SendError{Err: err, MayHaveRun: connected.Load()}
	}
	body := &watchedBody{body: response.Body, ctx: ctx, cancel: cancel, watchdog: watchdog, timeout: f.config.ChunkTimeout}
	if echoed := response.Header.Get(AttemptIDHeader); echoed != "" && echoed != attempt.ID.String() {
		_ = body.Close()
		return nil, &executor.SendError{Err: ErrAttemptMismatch, MayHaveRun: true}
	}
	watchdog.Reset(f.config.ChunkTimeout)
	return &executor.Response{
		Status:      response.StatusCode,
		Header:      response.Header,
		Incarnation: response.Header.Get(IncarnationHeader),
		Body:        body,
	}, nil
}

// causeOf returns why a context ended if that explains an error.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func newRequest(ctx context.Context, attempt executor.Attempt) (*http.Request, error) {
	target := "http://" + attempt.Upstream.Address + attempt.Target
	request, err := http.NewRequestWithContext(ctx, attempt.Method, target, bytes.NewReader(attempt.Body))
	if err != nil {
		return nil, err
	}
	if attempt.Header != nil {
		request.Header = attempt.Header.Clone()
	} else {
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set(AttemptIDHeader, attempt.ID.String())
	request.Header.Set("User-Agent", "crocushollow")
	if attempt.Workspace != "" {
		request.Header.Set(WorkspaceHeader, attempt.Workspace)
	}
	request.Header.Set(PriorityHeader, priorityOf(attempt.Class))
	if attempt.ResumeFrom > 0 {
		request.Header.Set(ResumeFromHeader, strconv.FormatInt(attempt.ResumeFrom, 10))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	return request, nil
}

func priorityOf(class scheduler.Class) string {
	if class == scheduler.Batch {
		return "1"
	}
	return "0"
}

// watchedBody ends a read that takes too long. Closing it before its end closes
// the connection, so that the rest of the answer reaches nobody.
type watchedBody struct {
	body     io.ReadCloser
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	timeout  time.Duration
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = causeOf(b.ctx, err)
	}
	b.watchdog.Reset(b.timeout)
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.watchdog.Stop()
	b.cancel(nil)
	return b.body.Close()
}
