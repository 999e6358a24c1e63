// Package recorder counts what happens to requests. Series of a row vanish
// with the row.
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
	// rows holds the names of the series of each row.
	mu   sync.Mutex
	rows map[crocushollow.RowRef]map[string]struct{}
}

// New returns a recorder without series.
func New() *Recorder {
	return &Recorder{set: metrics.NewSet(), rows: make(map[crocushollow.RowRef]map[string]struct{})}
}

// WriteMetrics writes all series in the Prometheus text format.
func (r *Recorder) WriteMetrics(w io.Writer) {
	r.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// RegisterGauge adds a gauge that is read when the metrics are written.
func (r *Recorder) RegisterGauge(name string, read func() float64) { r.set.NewGauge(name, read) }

func (r *Recorder) counter(name string, rows ...crocushollow.RowRef) *metrics.Counter {
	r.remember(name, rows)
	return r.set.GetOrCreateCounter(name)
}

func (r *Recorder) remember(name string, rows []crocushollow.RowRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if r.rows[row] == nil {
			r.rows[row] = make(map[string]struct{})
		}
		r.rows[row][name] = struct{}{}
	}
}

// RemoveStaleSeries removes the series of rows that are gone.
func (r *Recorder) RemoveStaleSeries(table *crocushollow.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for row, names := range r.rows {
		if table.Entry(row).Revision != 0 {
			continue
		}
		for name := range names {
			r.set.UnregisterMetric(name)
		}
		delete(r.rows, row)
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

// RequestEnded counts a request by its result, which is ok or the refusal's code.
func (r *Recorder) RequestEnded(workspace, result string, took time.Duration) {
	row := workspaceRow(workspace)
	r.counter(fmt.Sprintf(`crocushollow_requests_total{workspace=%q,result=%q}`, workspace, result), row).Inc()
	name := fmt.Sprintf(`crocushollow_request_seconds{workspace=%q}`, workspace)
	r.remember(name, []crocushollow.RowRef{row})
	r.set.GetOrCreateHistogram(name).Update(took.Seconds())
}
