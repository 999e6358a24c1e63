// Package recorder collects metrics of requests. It removes the series that are
// labeled with a row of the table when the row is deleted.
package recorder

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/crocushollow/crocushollow"
)

// Recorder holds the metrics of one instance. It is safe for concurrent use.
type Recorder struct {
	set *metrics.Set

	mu sync.Mutex
	// seriesByRow holds the names of the series that are labeled with a row.
	seriesByRow map[crocushollow.RowRef]map[string]struct{}
}

// New returns a recorder without series.
func New() *Recorder {
	return &Recorder{set: metrics.NewSet(), seriesByRow: make(map[crocushollow.RowRef]map[string]struct{})}
}

// WriteMetrics writes all series in the Prometheus text format.
func (r *Recorder) WriteMetrics(w io.Writer) {
	r.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// RegisterGauge adds a gauge whose value is read each time metrics are written.
func (r *Recorder) RegisterGauge(name string, read func() float64) { r.set.NewGauge(name, read) }

func (r *Recorder) counter(name string, rows ...crocushollow.RowRef) *metrics.Counter {
	r.trackSeries(name, rows)
	return r.set.GetOrCreateCounter(name)
}

func (r *Recorder) trackSeries(name string, rows []crocushollow.RowRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if r.seriesByRow[row] == nil {
			r.seriesByRow[row] = make(map[string]struct{})
		}
		r.seriesByRow[row][name] = struct{}{}
	}
}

// RemoveStaleSeries removes the series of rows that the table no longer has.
func (r *Recorder) RemoveStaleSeries(table *crocushollow.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for row, names := range r.seriesByRow {
		if table.Entry(row).Revision != 0 {
			continue
		}
		for name := range names {
			r.set.UnregisterMetric(name)
		}
		delete(r.seriesByRow, row)
	}
}

func workspaceRow(id string) crocushollow.RowRef {
	return crocushollow.RowRef{Table: crocushollow.WorkspaceTable, ID: id}
}

// AttemptEnded implements executor.Recorder.
func (r *Recorder) AttemptEnded(upstream string, failed bool) {
	row := crocushollow.RowRef{Table: crocushollow.UpstreamTable, ID: upstream}
	r.counter(fmt.Sprintf(`crocushollow_attempts_total{upstream=%q,failed="%t"}`, upstream, failed), row).Inc()
}

// ConnectionClosed counts a connection of a caller that was closed above the maximum.
func (r *Recorder) ConnectionClosed(cause string) {
	r.set.GetOrCreateCounter(`crocushollow_connections_closed_total{cause="` + cause + `"}`).Inc()
}

// StreamResumed implements executor.Recorder.
func (r *Recorder) StreamResumed(workspace string) {
	r.counter(fmt.Sprintf(`crocushollow_streams_resumed_total{workspace=%q}`, workspace), workspaceRow(workspace)).Inc()
}

// TokensUsed implements executor.Recorder.
func (r *Recorder) TokensUsed(workspace, model string, tokens int64) {
	name := fmt.Sprintf(`crocushollow_tokens_total{workspace=%q,model=%q}`, workspace, model)
	modelRow := crocushollow.RowRef{Table: crocushollow.ModelTable, ID: model}
	r.counter(name, workspaceRow(workspace), modelRow).Add(int(tokens))
}

// RequestEnded implements gateway.Recorder. The result is "ok" or the error code.
func (r *Recorder) RequestEnded(workspace, result string, took time.Duration) {
	row := workspaceRow(workspace)
	r.counter(fmt.Sprintf(`crocushollow_requests_total{workspace=%q,result=%q}`, workspace, result), row).Inc()
	name := fmt.Sprintf(`crocushollow_request_seconds{workspace=%q}`, workspace)
	r.trackSeries(name, []crocushollow.RowRef{row})
	r.set.GetOrCreateHistogram(name).Update(took.Seconds())
}
