// Package relayer forwards streams of server-sent events from an upstream to a caller.
// It sends complete events only.
package relayer

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// Errors of Relay.Run.
var (
	// ErrTruncated reports a stream that ended before its final event.
	ErrTruncated = errors.New("stream ended before its final event")
	// ErrEventTooLarge reports an event larger than maxEventBytes.
	ErrEventTooLarge = errors.New("event too large")
	// ErrNoEvents reports maxEventBytes without a data event.
	ErrNoEvents = errors.New("stream without data events")
	// ErrMalformedEvent reports lines that are no fields of an event.
	ErrMalformedEvent = errors.New("stream with lines that are no fields of an event")
	// ErrErrorEvent reports an error event after other events of the stream.
	ErrErrorEvent = errors.New("error event within the stream")
)

// CallerError reports that a write to the caller failed.
type CallerError struct {
	Err error
}

// Error implements error.
func (e *CallerError) Error() string { return "write to caller: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.Err }

// Initial size of the buffer for incomplete events and maximum size of an event.
const (
	initialBufferBytes = 32 << 10
	maxEventBytes      = 1 << 20
)

var (
	eventEnd   = []byte("\n\n")
	dataPrefix = []byte("data: ")
	doneEvent  = []byte("data: [DONE]")
	usageField = []byte(`"usage":{`)
	errorField = []byte(`"error"`)
)

// Usage is the token usage that an engine reports.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Progress is how much of a stream was sent to the caller. It is kept across the
// attempts of one request.
type Progress struct {
	// Events is the number of data events sent, without the final one.
	Events int64
	// Usage is the last token usage that the engine reported, or nil if there
	// was none.
	Usage *Usage
	// Done reports that the final event was sent. An error event that comes before any
	// other is final.
	Done bool
}

// Relay reads events from an upstream and writes them to the caller without delay. The
// buffer is reused, so that no memory is allocated per event.
type Relay struct {
	buffer []byte
	// start and end delimit the bytes that were read but not sent yet.
	start, end int
	// bytesWithoutData is the number of bytes since the last data event.
	bytesWithoutData int
}

// New returns a relay.
func New() *Relay { return &Relay{buffer: make([]byte, initialBufferBytes)} }

// Writer receives complete events.
type Writer interface {
	io.Writer
	// Flush sends what was written.
	Flush() error
}

// Run forwards a stream until its final event. A *CallerError reports that a write to
// the caller failed. Any other error comes from the upstream.
func (r *Relay) Run(upstream io.Reader, caller Writer, progress *Progress) error {
	r.start, r.end, r.bytesWithoutData = 0, 0, 0
	for {
		if err := r.writeEvents(caller, progress); err != nil || progress.Done {
			return err
		}
		if err := r.fill(upstream); err != nil {
			if errors.Is(err, io.EOF) {
				return ErrTruncated
			}
			return err
		}
	}
}

// fill reads more bytes from the upstream into the buffer.
func (r *Relay) fill(upstream io.Reader) error {
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buffer) {
		if len(r.buffer) >= maxEventBytes {
			return ErrEventTooLarge
		}
		r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
	}
	n, err := upstream.Read(r.buffer[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	return err
}

// writeEvents sends all complete events in the buffer.
func (r *Relay) writeEvents(caller Writer, progress *Progress) error {
	unsent := r.buffer[r.start:r.end]
	length := 0
	var eventErr error
	for !progress.Done {
		size := bytes.Index(unsent[length:], eventEnd)
		if size < 0 {
			break
		}
		if eventErr = r.recordEvent(unsent[length:length+size], progress); eventErr != nil {
			break
		}
		length += size + len(eventEnd)
	}
	if r.bytesWithoutData > maxEventBytes {
		return ErrNoEvents
	}
	if length == 0 {
		return eventErr
	}
	r.start += length
	if _, err := caller.Write(unsent[:length]); err != nil {
		return &CallerError{Err: err}
	}
	if err := caller.Flush(); err != nil {
		return &CallerError{Err: err}
	}
	return eventErr
}

// recordEvent records a complete event. It returns an error if the event must not be sent.
func (r *Relay) recordEvent(event []byte, progress *Progress) error {
	switch {
	case bytes.Equal(event, doneEvent):
		progress.Done = true
		return nil
	case isErrorEvent(event):
		if progress.Events > 0 {
			return ErrErrorEvent
		}
		progress.Done = true
		return nil
	case !bytes.HasPrefix(event, dataPrefix):
		if !hasFieldsOnly(event) {
			return ErrMalformedEvent
		}
		r.bytesWithoutData += len(event) + len(eventEnd)
		return nil
	}
	r.bytesWithoutData = 0
	progress.Events++
	if bytes.Contains(event, usageField) {
		if usage, found := ParseUsage(event[len(dataPrefix):]); found {
			progress.Usage = &usage
		}
	}
	return nil
}

// isErrorEvent reports whether an event is of the type error, or its data is an object that
// has an error.
func isErrorEvent(event []byte) bool {
	if eventType, found := bytes.CutPrefix(event, []byte("event:")); found {
		line, _, _ := bytes.Cut(eventType, []byte("\n"))
		return string(bytes.TrimSpace(line)) == "error"
	}
	data, found := bytes.CutPrefix(event, dataPrefix)
	if !found || !bytes.Contains(data, errorField) {
		return false
	}
	var content struct {
		Error any `json:"error"`
	}
	return json.Unmarshal(data, &content) == nil && content.Error != nil
}

// hasFieldsOnly reports whether each line of an event is a field, a comment or empty.
func hasFieldsOnly(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		name, _, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		switch string(name) {
		case "", "data", "event", "id", "retry":
		default:
			return false
		}
	}
	return true
}

// ParseUsage returns the token usage in a JSON response.
func ParseUsage(body []byte) (Usage, bool) {
	var response struct {
		Usage *Usage `json:"usage"`
	}
	if err := json.Unmarshal(body, &response); err != nil || response.Usage == nil {
		return Usage{}, false
	}
	return *response.Usage, true
}
