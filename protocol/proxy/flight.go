package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/bounder"
	"github.com/crocushollow/crocushollow/protocol/verifier"
	"github.com/crocushollow/crocushollow/state/selector"
)

// flight is an attempt that was sent to an upstream.
type flight struct {
	attempt     Attempt
	reservation *selector.Reservation
	sentAt      time.Time
	// ctx is that of the attempt. It ends with cancel.
	ctx    context.Context
	cancel context.CancelFunc
	// response is nil if err is set.
	response *Response
	err      error
	// readErr is the failure of a response that was read ahead.
	readErr error
	// isWhole means that the response is a success and has been read ahead: to its end, or to the
	// end of the first event of a stream.
	isWhole bool
	// readyAt is when the attempt failed, or when the response had been read ahead.
	readyAt time.Time
	// abandoned is closed when nobody waits for the result any longer.
	abandoned chan struct{}
}

// newFlight prepares an attempt. The caller must call its cancel function.
func (r *run) newFlight(ctx context.Context, reservation *selector.Reservation) *flight {
	ctx, cancel := context.WithCancel(ctx)
	sentAt := r.proxy.config.Now()
	return &flight{
		reservation: reservation, sentAt: sentAt, ctx: ctx, cancel: cancel, abandoned: make(chan struct{}),
		attempt: Attempt{
			Call:        r.call,
			Upstream:    reservation.Upstream,
			Workspace:   r.record.Workspace,
			TimeLeft:    r.deadline.Sub(sentAt),
			LastEventID: r.lastEventID(),
			Repeat:      r.countSend(reservation.Upstream.Address),
			Retryable:   r.route.IsRetryable(),
		},
	}
}

// launch sends an attempt and reads the response ahead. The flight is sent to results in the end,
// unless it is abandoned before.
func (r *run) launch(f *flight, results chan<- *flight) {
	config, buffered, route := &r.proxy.config, r.proxy.buffered, r.route
	go func() {
		f.response, f.err = config.Sender.Send(f.ctx, f.attempt)
		if f.err == nil && f.response.isSuccess() {
			f.readAhead(buffered, route.Kind == catalog.Streaming && f.response.Status == http.StatusOK)
		}
		f.readyAt = config.Now()
		select {
		case results <- f:
		case <-f.abandoned:
			if f.response != nil {
				f.response.Body.Close()
			}
		}
	}()
}

// abandon cancels an attempt whose result is not needed. It does not wait for its end.
func (f *flight) abandon() {
	close(f.abandoned)
	f.cancel()
}

// isSuccess reports whether the response, if it is whole, is a success of the upstream.
func (r *Response) isSuccess() bool {
	return r.Verified && !r.NotRun && r.Status < http.StatusMultipleChoices
}

// isFinal reports whether the response is one that no other attempt would change.
func (r *Response) isFinal() bool {
	return r.Verified && !r.NotRun && !promisesNotRun(r.Status) && r.Status < http.StatusInternalServerError
}

// readAhead reads the response to its end, or to the end of the first event of a stream. The
// body then begins with what was read.
func (f *flight) readAhead(budget *bounder.Budget, isStream bool) {
	response := f.response
	body := &replayedBody{ReadCloser: response.Body}
	if isStream {
		body.buffer = bounder.NewBuffer(budget, maxEventBytes)
		f.isWhole, body.err = readFirstEvent(body.buffer, response.Body)
	} else {
		body.buffer = bounder.NewBuffer(budget, bounder.Limit(response.Header, maxResponseBytes))
		body.err = body.buffer.ReadAll(response.Body)
		if f.isWhole = body.err == nil; f.isWhole {
			body.err = io.EOF
		}
		if f.isWhole && response.EndsWithConnection {
			f.readErr = verifier.CheckComplete(response.Header, body.buffer.Bytes())
			f.isWhole = f.readErr == nil
		}
	}
	if body.err != nil && !errors.Is(body.err, io.EOF) {
		f.readErr = body.err
	}
	body.unread = body.buffer.Bytes()
	response.Body = body
}

// readFirstEvent reads until the buffer has a complete event, and reports whether it has one.
func readFirstEvent(buffer *bounder.Buffer, body io.Reader) (bool, error) {
	for {
		searched := max(len(buffer.Bytes())-len(eventEnd)+1, 0)
		err := buffer.Read(body)
		if completeEvents(buffer.Bytes()[searched:]) > 0 {
			return true, err
		}
		if err != nil {
			return false, err
		}
	}
}

// replayedBody is a response body whose first part has been read before.
type replayedBody struct {
	io.ReadCloser
	buffer *bounder.Buffer
	// unread is what is left of the part.
	unread []byte
	// err follows the part if it is not nil.
	err error
}

// Read implements io.Reader.
func (b *replayedBody) Read(p []byte) (int, error) {
	if len(b.unread) > 0 {
		n := copy(p, b.unread)
		b.unread = b.unread[n:]
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.ReadCloser.Read(p)
}

// Close implements io.Closer.
func (b *replayedBody) Close() error {
	b.unread = nil
	b.buffer.Release()
	return b.ReadCloser.Close()
}
