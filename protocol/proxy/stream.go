package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/bounder"
	"github.com/crocushollow/crocushollow/state/selector"
)

var (
	eventEnd          = []byte("\n\n")
	idPrefix          = []byte("id:")
	errTruncatedEvent = errors.New("the stream ended within an event")
	errEmptyStream    = errors.New("the connection ended before the first event of the response")
	errUpstreamEnded  = errors.New("the upstream has ended, and its response has neither a length nor chunks that show its end")
	errEventOrder     = errors.New("the event IDs of the stream do not increase")
	errNoContinuation = errors.New("the response has an event without an ID, which cannot continue a stream")
)

// maxEventBytes is the maximum size of an event, and the maximum number of bytes of a stream
// without an event that has an ID.
const maxEventBytes = 1 << 20

// streamProgress is how much of a stream was sent to the caller.
type streamProgress struct {
	// lastID is the ID of the last event sent.
	lastID string
	events int
	// eventsBefore is the number of events before the current attempt.
	eventsBefore int
	// isContinuation means that the current attempt continues the stream after lastID.
	isContinuation bool
	// bytesWithoutID is the number of bytes since the last event that has an ID.
	bytesWithoutID int
	// lastWriteAt is the time of the last write.
	lastWriteAt time.Time
	// softwareVersion is that of the upstream that sent the first event. It is unknown
	// before, and if the upstream's is unknown.
	softwareVersion catalog.SoftwareVersion
}

// canContinue reports whether another upstream may continue the stream.
func (p *streamProgress) canContinue() bool {
	return p.events == 0 || p.lastID != "" && p.softwareVersion.IsKnown()
}

// beginAttempt records that another attempt begins.
func (p *streamProgress) beginAttempt() {
	p.eventsBefore, p.isContinuation = p.events, p.lastID != ""
}

// eventsOfAttempt returns the number of events that the current attempt has sent.
func (p *streamProgress) eventsOfAttempt() int { return p.events - p.eventsBefore }

// streamEvents forwards the events of a stream as they arrive.
func (r *run) streamEvents(ctx context.Context, reservation *selector.Reservation, response *Response) (selector.Outcome, attemptResult) {
	// Later attempts may append to the stream, so its length is unknown.
	response.Header.Del("Content-Length")
	err := r.copyEvents(ctx, reservation, response)
	var callerErr *callerError
	switch {
	case err == nil:
		r.recordCompletion(&reservation.Upstream, response)
		if r.stream.eventsOfAttempt() > maxEventsBeforeCrash {
			r.proxy.config.Parts.RecordCompletion(r.parts, r.proxy.config.Now())
		}
		return selector.Served, finished
	case errors.As(err, &callerErr):
		r.record.End = CallerLeft
		return selector.Abandoned, callerLeft
	}
	r.record.Cause = err
	if ctx.Err() != nil {
		return r.handleCancellation(ctx)
	}
	if errors.Is(err, errUnknownIncarnation) {
		return selector.Unreachable, r.afterFailure()
	}
	isGarbage := errors.Is(err, bounder.ErrFull) || errors.Is(err, errNoEvents) || errors.Is(err, errNoContinuation)
	if !isGarbage {
		r.recordCrash(&reservation.Upstream)
	}
	return selector.Broken, r.afterFailure()
}

// callerError reports that a write to the caller failed.
type callerError struct{ err error }

func (e *callerError) Error() string { return "write to caller: " + e.err.Error() }

func (r *run) copyEvents(ctx context.Context, reservation *selector.Reservation, response *Response) error {
	unsent := bounder.NewBuffer(r.proxy.buffered, maxEventBytes)
	defer unsent.Release()
	for {
		// The end of an event may lie across two reads.
		searched := max(len(unsent.Bytes())-len(eventEnd)+1, 0)
		err := unsent.Read(response.Body)
		if length := completeEvents(unsent.Bytes()[searched:]); length > 0 {
			end := searched + length
			if err := r.writeEvents(ctx, reservation, response, unsent.Bytes()[:end]); err != nil {
				return err
			}
			unsent.Consume(end)
		}
		if errors.Is(err, io.EOF) {
			return r.finishStream(&reservation.Upstream, response, unsent.Bytes())
		}
		if err != nil {
			return err
		}
	}
}

// completeEvents returns the length of the events that are complete. It searches
// forward, which bytes.Index does many times faster than backward.
func completeEvents(stream []byte) int {
	length := 0
	for {
		end := bytes.Index(stream[length:], eventEnd)
		if end < 0 {
			return length
		}
		length += end + len(eventEnd)
	}
}

// finishStream returns an error if a response ended within an event, or if the end of its
// connection may not be the end of the response: if the upstream has ended too, or if there
// was no event. An upstream that is asked to continue after the last event looks the same; its
// stream is broken off too, as the other reading would lose events.
func (r *run) finishStream(upstream *catalog.Upstream, response *Response, rest []byte) error {
	if len(bytes.TrimSpace(rest)) > 0 {
		return errTruncatedEvent
	}
	if response.EndsWithConnection && r.stream.eventsOfAttempt() == 0 {
		return errEmptyStream
	}
	if response.EndsWithConnection && r.proxy.hasEnded(upstream) {
		return errUpstreamEnded
	}
	if !r.headerSent {
		r.writeHeader(response)
	}
	return nil
}

// writeEvents sends complete events to the caller.
func (r *run) writeEvents(ctx context.Context, reservation *selector.Reservation, response *Response, events []byte) error {
	eventsBefore := r.stream.events
	isFirst := eventsBefore == 0
	if isFirst {
		if err := r.confirmOrigin(ctx, reservation); err != nil {
			return err
		}
	}
	accepted, advanceErr := r.stream.advance(events)
	if len(accepted) == 0 {
		return advanceErr
	}
	if isFirst {
		reservation.MarkFirstByte()
		r.recordUsage()
	}
	if r.stream.hasPassedCrash(eventsBefore) {
		r.proxy.config.Parts.RecordCompletion(r.parts, r.proxy.config.Now())
	}
	reservation.ObserveEvents(r.stream.events-eventsBefore, r.proxy.config.Now())
	if !r.headerSent {
		r.writeHeader(response)
	}
	if isFirst {
		r.recordOrigin(&reservation.Upstream)
	}
	if err := r.writer.Write(accepted); err != nil {
		return &callerError{err}
	}
	r.recordGap()
	return advanceErr
}

// recordGap updates the longest time between two writes.
func (r *run) recordGap() {
	now := r.proxy.config.Now()
	if !r.stream.lastWriteAt.IsZero() {
		r.record.LongestGap = max(r.record.LongestGap, now.Sub(r.stream.lastWriteAt))
	}
	r.stream.lastWriteAt = now
}

// hasPassedCrash reports whether the current attempt has just sent more events than one that
// crashes its upstream.
func (p *streamProgress) hasPassedCrash(eventsBefore int) bool {
	return eventsBefore-p.eventsBefore <= maxEventsBeforeCrash && p.eventsOfAttempt() > maxEventsBeforeCrash
}

// advance records complete events as sent and returns them. It returns those before an event
// that does not come after the one before it, that has no ID in a continuation, or that exceeds
// the bytes without an ID, and an error.
func (p *streamProgress) advance(events []byte) ([]byte, error) {
	length := 0
	for length < len(events) {
		end := bytes.Index(events[length:], eventEnd)
		if end < 0 {
			break
		}
		if id := eventID(events[length : length+end]); id != "" {
			if !p.isAfterLastEvent(id) {
				return events[:length], errEventOrder
			}
			p.lastID, p.bytesWithoutID = id, 0
		} else if p.isContinuation && !isComment(events[length:length+end]) {
			return events[:length], errNoContinuation
		} else if p.bytesWithoutID += end + len(eventEnd); p.bytesWithoutID > maxEventBytes {
			return events[:length], errNoEvents
		}
		p.events++
		length += end + len(eventEnd)
	}
	return events[:length], nil
}

// isAfterLastEvent reports whether an event ID is greater than the last one. IDs
// that are not integers pass.
func (p *streamProgress) isAfterLastEvent(id string) bool {
	if p.lastID == "" {
		return true
	}
	last, errLast := strconv.ParseInt(p.lastID, 10, 64)
	next, errNext := strconv.ParseInt(id, 10, 64)
	return errLast != nil || errNext != nil || next > last
}

// isComment reports whether all lines of an event are comments or empty.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if line = bytes.TrimSuffix(line, []byte("\r")); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the ID of an event, or an empty string if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, idPrefix); found {
			return strings.TrimSpace(string(value))
		}
	}
	return ""
}
