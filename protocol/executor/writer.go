package executor

import (
	"net/http"
	"time"

	"github.com/crocushollow/crocushollow/protocol/apierror"
)

// callerWriter writes an answer to a caller. A caller that does not take it in
// time is given up.
type callerWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	// deadline is the write deadline that is set on the connection.
	deadline time.Time
	// begun tells that the status has been sent.
	begun bool
}

func newCallerWriter(w http.ResponseWriter, timeout time.Duration) *callerWriter {
	return &callerWriter{writer: w, controller: http.NewResponseController(w), timeout: timeout}
}

// passedHeaders are those of an upstream's answer that callers get.
var passedHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Location", "Etag", "Last-Modified"}

// begin sends the status and the headers.
func (w *callerWriter) begin(status int, header http.Header) {
	w.begun = true
	for _, name := range passedHeaders {
		if values := header.Values(name); len(values) > 0 {
			w.writer.Header()[name] = values
		}
	}
	w.extendDeadline()
	w.writer.WriteHeader(status)
}

// Write implements io.Writer.
func (w *callerWriter) Write(p []byte) (int, error) {
	w.extendDeadline()
	return w.writer.Write(p)
}

// Flush implements relayer.Writer.
func (w *callerWriter) Flush() error { return w.controller.Flush() }

// extendDeadline moves the write deadline when half of it has passed, which
// keeps the cost per chunk low.
func (w *callerWriter) extendDeadline() {
	now := time.Now()
	if w.deadline.Sub(now) > w.timeout/2 {
		return
	}
	w.deadline = now.Add(w.timeout)
	_ = w.controller.SetWriteDeadline(w.deadline)
}

// endWithError ends a stream that has begun with an error event. The missing
// final event tells the caller that the stream is not whole.
func (w *callerWriter) endWithError(refusal *apierror.Error) {
	event := append([]byte("data: "), refusal.JSON()...)
	_, _ = w.Write(append(event, "\n\n"...))
	_ = w.Flush()
}
