// Package relayer passes streams of server-sent events from an upstream to a
// caller, one whole event at a time.
package relayer

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// Errors of a relay.
var (
	// ErrTruncated reports a stream that ended before its final event.
	ErrTruncated = errors.New("stream ended before its final event")
	// ErrEventTooLarge reports an event above the size limit.
	ErrEventTooLarge = errors.New("event too large")
)

// CallerError reports that the caller no longer takes the stream.
type CallerError struct {
	Err error
}

// Error implements error.
func (e *CallerError) Error() string { return "caller: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.Err }

// Sizes of the buffer that events are gathered in.
const (
	bufferBytes   = 32 << 10
	maxEventBytes = 1 << 20
)

var (
	eventEnd   = []byte("\n\n")
	dataPrefix = []byte("data: ")
	doneEvent  = []byte("data: [DONE]")
	usageField = []byte(`"usage":{`)
)

// Usage is the token count of an engine.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Progress is how much of a stream has reached the caller. It continues over
// the attempts of one request.
type Progress struct {
	// Events is the number of events passed on, without the final one.
	Events int64
	// Usage is the engine's last token count, nil if there was none.
	Usage *Usage
	// Done tells that the final event was passed on.
	Done bool
}

// Relay reads events from an upstream and writes each to the caller at once.
// The buffer is kept between calls, so that nothing is allocated per event.
type Relay struct {
	buffer []byte
	// start and end bound the bytes that are read but not passed on.
	start, end int
}

// New returns a relay.
func New() *Relay { return &Relay{buffer: make([]byte, bufferBytes)} }

// Writer takes whole events.
type Writer interface {
	io.Writer
	// Flush sends what was written.
	Flush() error
}

// Run passes a stream on until its final event. A *CallerError tells that the
// caller failed; any other error is the upstream's.
func (r *Relay) Run(upstream io.Reader, caller Writer, progress *Progress) error {
	r.start, r.end = 0, 0
	for {
		if err := r.passOn(caller, progress); err != nil || progress.Done {
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

// fill reads more bytes behind those that wait.
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

// passOn writes all whole events in the buffer.
func (r *Relay) passOn(caller Writer, progress *Progress) error {
	waiting := r.buffer[r.start:r.end]
	length := 0
	for !progress.Done {
		size := bytes.Index(waiting[length:], eventEnd)
		if size < 0 {
			break
		}
		note(waiting[length:length+size], progress)
		length += size + len(eventEnd)
	}
	if length == 0 {
		return nil
	}
	r.start += length
	if _, err := caller.Write(waiting[:length]); err != nil {
		return &CallerError{Err: err}
	}
	if err := caller.Flush(); err != nil {
		return &CallerError{Err: err}
	}
	return nil
}

func note(event []byte, progress *Progress) {
	switch {
	case bytes.Equal(event, doneEvent):
		progress.Done = true
		return
	case !bytes.HasPrefix(event, dataPrefix):
		return
	}
	progress.Events++
	if bytes.Contains(event, usageField) {
		if usage, found := ParseUsage(event[len(dataPrefix):]); found {
			progress.Usage = &usage
		}
	}
}

// ParseUsage returns the token count in a JSON answer.
func ParseUsage(body []byte) (Usage, bool) {
	var answer struct {
		Usage *Usage `json:"usage"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Usage == nil {
		return Usage{}, false
	}
	return *answer.Usage, true
}
