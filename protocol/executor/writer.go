package executor

import (
	"net/http"
	"time"

	"github.com/crocushollow/crocushollow/protocol/rejecter"
)

// callerWriter writes a response to a caller. Writes fail if the caller does not
// accept the data within the timeout.
type callerWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	// deadline is the write deadline of the connection.
	deadline time.Time
	// headerSent reports that the status and the headers were sent.
	headerSent bool
}

func newCallerWriter(w http.ResponseWriter, timeout time.Duration) *callerWriter {
	return &callerWriter{writer: w, controller: http.NewResponseController(w), timeout: timeout}
}

// forwardedHeaders are the headers of an upstream's response that are sent to
// callers.
var forwardedHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Location", "Etag", "Last-Modified"}

// writeHeader sends the status and the headers.
func (w *callerWriter) writeHeader(status int, header http.Header) {
	w.headerSent = true
	for _, name := range forwardedHeaders {
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

// extendDeadline moves the write deadline once half of the timeout has passed.
// This keeps the cost per chunk low.
func (w *callerWriter) extendDeadline() {
	now := time.Now()
	if w.deadline.Sub(now) > w.timeout/2 {
		return
	}
	w.deadline = now.Add(w.timeout)
	_ = w.controller.SetWriteDeadline(w.deadline)
}

// writeErrorEvent ends a stream with an error event. The caller can tell that the
// stream is incomplete because the final event is missing.
func (w *callerWriter) writeErrorEvent(apiErr *rejecter.Error) {
	event := append([]byte("data: "), apiErr.JSON()...)
	_, _ = w.Write(append(event, "\n\n"...))
	_ = w.Flush()
}
