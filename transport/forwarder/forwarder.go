// Package forwarder sends request attempts to upstreams over HTTP/1.1.
//
// Retryable attempts use a pool of persistent connections. Each non-retryable
// attempt opens a new connection, because net/http can resend a request on its
// own when a reused connection fails, and a reused connection can be dead
// without either end having closed it.
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

	"github.com/crocushollow/crocushollow/protocol/bounder"
	"github.com/crocushollow/crocushollow/protocol/executor"
	"github.com/crocushollow/crocushollow/state/scheduler"
	"github.com/crocushollow/crocushollow/transport/dialer"
	"github.com/crocushollow/crocushollow/transport/requester"
)

// Headers exchanged with upstreams.
const (
	// AttemptIDHeader carries the ID of the attempt. The upstream echoes it in
	// the response.
	AttemptIDHeader = "X-Request-Id"
	// WorkspaceHeader carries the ID of the workspace that sent the request.
	WorkspaceHeader = "X-Workspace"
	// PriorityHeader carries the priority of the request. Upstreams serve lower
	// values first.
	PriorityHeader = "X-Priority"
	// ResumeFromHeader carries the number of stream events that the caller has
	// already received. The upstream echoes it in a response that goes on after them.
	ResumeFromHeader = "X-Resume-From"
	// IncarnationHeader carries the incarnation of the engine in responses.
	IncarnationHeader = "X-Engine-Incarnation"
)

// ErrAttemptMismatch reports a response that echoes the ID of another attempt.
var ErrAttemptMismatch = errors.New("response belongs to another attempt")

// Config configures a Forwarder.
type Config struct {
	// SourceAddress is the local address that connections are opened from.
	SourceAddress netip.Addr
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// ChunkTimeout limits the time between two chunks of a response body.
	ChunkTimeout time.Duration
	// MaxIdleConnsPerUpstream limits the idle connections kept to one upstream.
	MaxIdleConnsPerUpstream int
	// IdleConnTimeout is how long an idle connection is kept.
	IdleConnTimeout time.Duration
}

// Forwarder implements executor.Sender.
type Forwarder struct {
	config   Config
	pooled   *requester.Transport
	unpooled *requester.Transport
}

// New returns a forwarder.
func New(config Config) *Forwarder {
	return &Forwarder{
		config:   config,
		pooled:   newTransport(config, config.MaxIdleConnsPerUpstream),
		unpooled: newTransport(config, -1),
	}
}

// maxResponseHeaderBytes bounds the header of a response together with the interim responses
// before it. A header of an upstream has less than 1 KB.
const maxResponseHeaderBytes = 64 << 10

// receiveBufferBytes limits the memory of the kernel for a response that its caller does not
// read. It allows 12 MB/s from an upstream at a distance of 10 ms.
const receiveBufferBytes = 128 << 10

// newTransport returns a transport that keeps up to maxIdleConns idle
// connections per host, or none if maxIdleConns is negative. TCP keep-alive
// detects connections whose state a NAT or firewall has dropped.
func newTransport(config Config, maxIdleConns int) *requester.Transport {
	connDialer := dialer.New(dialer.Config{
		SourceAddress:      config.SourceAddress,
		Timeout:            config.DialTimeout,
		KeepAlive:          time.Second,
		ReceiveBufferBytes: receiveBufferBytes,
	})
	return requester.New(&http.Transport{
		DialContext:         connDialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableKeepAlives:   maxIdleConns < 0,
		IdleConnTimeout:     config.IdleConnTimeout,
		DisableCompression:  true,
		ReadBufferSize:      32 << 10,
		WriteBufferSize:     16 << 10,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	})
}

// Close closes the idle connections.
func (f *Forwarder) Close() {
	f.pooled.CloseIdleConnections()
	f.unpooled.CloseIdleConnections()
}

// Send implements executor.Sender. A non-nil error is an *executor.SendError.
func (f *Forwarder) Send(ctx context.Context, attempt executor.Attempt) (*executor.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var gotConn atomic.Bool
	traceCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	request, err := newRequest(traceCtx, attempt)
	if err != nil {
		cancel(nil)
		return nil, &executor.SendError{Err: err}
	}
	watchdog := time.AfterFunc(attempt.Timeout, func() { cancel(executor.ErrReadTimeout) })
	transport := f.pooled
	if !attempt.Retryable {
		transport = f.unpooled
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		watchdog.Stop()
		err = causeOrErr(ctx, err)
		cancel(nil)
		return nil, &executor.SendError{Err: bounder.LimitError(err), MayHaveRun: gotConn.Load()}
	}
	body := &timedBody{body: response.Body, ctx: ctx, cancel: cancel, watchdog: watchdog, timeout: f.config.ChunkTimeout}
	echoedID := response.Header.Get(AttemptIDHeader)
	isIdentified := echoedID == attempt.ID.String()
	if echoedID != "" && !isIdentified {
		_ = body.Close()
		return nil, &executor.SendError{Err: ErrAttemptMismatch, MayHaveRun: true}
	}
	watchdog.Reset(f.config.ChunkTimeout)
	// A header that is missing or invalid names no event.
	resumeFrom, _ := strconv.ParseInt(response.Header.Get(ResumeFromHeader), 10, 64)
	return &executor.Response{
		Status:       response.StatusCode,
		Header:       response.Header,
		IsIdentified: isIdentified,
		ResumeFrom:   resumeFrom,
		EndsWithConnection: response.ContentLength < 0 && len(response.TransferEncoding) == 0 &&
			attempt.Method != http.MethodHead,
		Incarnation: response.Header.Get(IncarnationHeader),
		Body:        body,
	}, nil
}

// causeOrErr returns the cancellation cause of the context, or err if the context
// is not canceled.
func causeOrErr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func newRequest(ctx context.Context, attempt executor.Attempt) (*http.Request, error) {
	url := "http://" + attempt.Upstream.Address + attempt.Target
	request, err := http.NewRequestWithContext(ctx, attempt.Method, url, bytes.NewReader(attempt.Body))
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
	request.Header.Set(PriorityHeader, priorityValue(attempt.Class))
	if attempt.ResumeFrom > 0 {
		request.Header.Set(ResumeFromHeader, strconv.FormatInt(attempt.ResumeFrom, 10))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	return request, nil
}

func priorityValue(class scheduler.Class) string {
	if class == scheduler.Batch {
		return "1"
	}
	return "0"
}

// timedBody cancels the request if no read of the body returns within the timeout.
// Closing it before EOF closes the connection, so that no later request on the
// connection can read the rest of the response.
type timedBody struct {
	body     io.ReadCloser
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	timeout  time.Duration
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = causeOrErr(b.ctx, err)
	}
	b.watchdog.Reset(b.timeout)
	return n, err
}

// Close implements io.Closer.
func (b *timedBody) Close() error {
	b.watchdog.Stop()
	b.cancel(nil)
	return b.body.Close()
}
