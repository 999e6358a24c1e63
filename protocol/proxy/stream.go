package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/crocushollow/crocushollow/state/selector"
)

// Sizes of the buffer that events are gathered in.
const (
	eventBufferBytes = 4 << 10
	maxEventBytes    = 1 << 20
)

var (
	eventEnd   = []byte("\n\n")
	idPrefix   = []byte("id:")
	errCutOff  = errors.New("the stream ended within an event")
	errUnorder = errors.New("the stream went on at another event")
)

// progress is how much of a stream the caller has.
type progress struct {
	// lastID is the ID of the last event that was passed on.
	lastID string
	events int
	// writtenAt is when events were last passed on.
	writtenAt time.Time
}

// relay passes the events of a stream on as they arrive.
func (r *run) relay(ctx context.Context, hold *selector.Hold, answer *Response) (selector.Outcome, result) {
	// Further attempts may add to the stream.
	answer.Header.Del("Content-Length")
	err := r.passEvents(hold, answer)
	var callerErr *callerError
	switch {
	case err == nil:
		return selector.Served, finished
	case errors.As(err, &callerErr):
		r.record.CallerLeft = true
		return selector.Abandoned, left
	}
	r.record.Cause = err
	if ctx.Err() != nil {
		return r.interrupted(ctx)
	}
	if r.stream.events == 0 {
		r.carrier.config.Suspector.Crashed(r.fingerprint, r.carrier.config.Now())
	}
	return selector.Unreachable, r.afterFailure()
}

// callerError reports that the caller no longer takes the stream.
type callerError struct{ err error }

func (e *callerError) Error() string { return "caller: " + e.err.Error() }

func (r *run) passEvents(hold *selector.Hold, answer *Response) error {
	buffer := make([]byte, 0, eventBufferBytes)
	for {
		if len(buffer) == cap(buffer) {
			if cap(buffer) >= maxEventBytes {
				return errTooLarge
			}
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := answer.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		end := bytes.LastIndex(buffer, eventEnd)
		if end >= 0 {
			end += len(eventEnd)
			if err := r.passOn(hold, answer, buffer[:end]); err != nil {
				return err
			}
			buffer = buffer[:copy(buffer, buffer[end:])]
		}
		if errors.Is(err, io.EOF) {
			return r.endOfStream(answer, buffer)
		}
		if err != nil {
			return err
		}
	}
}

// endOfStream checks that a stream did not end within an event.
func (r *run) endOfStream(answer *Response, rest []byte) error {
	if len(bytes.TrimSpace(rest)) > 0 {
		return errCutOff
	}
	if !r.begun {
		r.begin(answer)
	}
	return nil
}

// passOn writes whole events to the caller.
func (r *run) passOn(hold *selector.Hold, answer *Response, events []byte) error {
	if !r.begun {
		hold.Begun()
		r.begin(answer)
	} else if r.stream.events == 0 {
		hold.Begun()
	}
	fresh, err := r.stream.take(events)
	if err != nil {
		return err
	}
	if len(fresh) == 0 {
		return nil
	}
	if err := r.caller.Write(fresh); err != nil {
		return &callerError{err}
	}
	r.noteGap()
	return nil
}

// noteGap measures the time since the write before.
func (r *run) noteGap() {
	now := r.carrier.config.Now()
	if !r.stream.writtenAt.IsZero() {
		r.record.LongestGap = max(r.record.LongestGap, now.Sub(r.stream.writtenAt))
	}
	r.stream.writtenAt = now
}

// take notes whole events and returns those that the caller does not have.
func (p *progress) take(events []byte) ([]byte, error) {
	for rest := events; len(rest) > 0; {
		end := bytes.Index(rest, eventEnd)
		if end < 0 {
			break
		}
		if id := eventID(rest[:end]); id != "" {
			if !p.follows(id) {
				return nil, errUnorder
			}
			p.lastID = id
		}
		p.events++
		rest = rest[end+len(eventEnd):]
	}
	return events, nil
}

// follows reports whether an event comes after the last one.
func (p *progress) follows(id string) bool {
	if p.lastID == "" {
		return true
	}
	last, errLast := strconv.ParseInt(p.lastID, 10, 64)
	next, errNext := strconv.ParseInt(id, 10, 64)
	return errLast != nil || errNext != nil || next > last
}

// eventID returns the ID in an event, empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, idPrefix); found {
			return strings.TrimSpace(string(value))
		}
	}
	return ""
}
