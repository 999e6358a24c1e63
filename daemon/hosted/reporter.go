package hosted

import (
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/proxy"
)

// Lines per second and kind. What exceeds them is counted and told in one line.
const (
	servedLines  = 10
	refusedLines = 40
	brokenLines  = 40
	attemptLines = 40
	linePeriod   = time.Second
)

// lineBudget bounds the lines of one kind.
type lineBudget struct {
	perPeriod int
	used      int
	left      int
	since     time.Time
}

// reporter implements proxy.Observer with log lines and metrics.
type reporter struct {
	logger zerolog.Logger
	set    *metrics.Set
	now    func() time.Time

	mu      sync.Mutex
	budgets map[string]*lineBudget
}

func newReporter(logger zerolog.Logger, now func() time.Time) *reporter {
	return &reporter{
		logger: logger, set: metrics.NewSet(), now: now,
		budgets: map[string]*lineBudget{
			"served": {perPeriod: servedLines}, "refused": {perPeriod: refusedLines},
			"broken": {perPeriod: brokenLines}, "attempt": {perPeriod: attemptLines},
		},
	}
}

// mayWrite reports whether a kind's budget has room for a line. At the start of a
// period it tells how many lines were left out.
func (r *reporter) mayWrite(kind string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.budgets[kind]
	now := r.now()
	if now.Sub(budget.since) >= linePeriod {
		if budget.left > 0 {
			r.logger.Info().Str("kind", kind).Int("lines", budget.left).Msg("lines left out")
		}
		budget.since, budget.used, budget.left = now, 0, 0
	}
	if budget.used >= budget.perPeriod {
		budget.left++
		return false
	}
	budget.used++
	return true
}

// CallEnded implements proxy.Observer.
func (r *reporter) CallEnded(record proxy.CallRecord) {
	kind := outcomeOf(&record)
	r.count(kind, &record)
	if !r.mayWrite(kind) {
		return
	}
	line := r.logger.Info()
	if kind != "served" {
		line = r.logger.Warn()
	}
	call := record.Call
	line.Str("request_id", call.ID).Str("outcome", kind).Int("status", record.Status).
		Int64("table", record.TableVersion).Str("workspace", record.Workspace).
		Str("upstream", record.Upstream).Int("attempts", record.Attempts).
		Dur("queued", record.QueueTime).Dur("first_byte", record.TimeToFirstByte).
		Dur("longest_gap", record.LongestGap).Dur("took", record.Duration)
	if record.Route != nil {
		line.Str("route", record.Route.Name)
	}
	if call.Model != "" {
		line.Str("model", call.Model).Str("adapter", call.Adapter).
			Float64("prompt_tokens", call.PromptTokens).Float64("output_tokens", call.MaxOutputTokens)
	}
	if record.Error != nil {
		line.Str("reason", string(record.Error.Code)).Str("detail", record.Error.Message).
			Dur("retry_after", record.Error.RetryAfter)
	}
	if quota := record.QuotaState; quota != nil {
		line.Float64("limit_level", quota.Level).Float64("limit_rate", quota.Rate).Float64("limit_demand", quota.Demand).
			Float64("limit_share", quota.Share).Int("limit_instances", quota.InstanceCount)
	}
	if record.Cause != nil {
		line.AnErr("cause", record.Cause)
	}
	line.Bool("caller_left", record.CallerLeft).Msg("call ended")
}

func outcomeOf(record *proxy.CallRecord) string {
	switch {
	case record.Error != nil:
		return "refused"
	case record.Aborted || record.CallerLeft || record.Status >= http.StatusInternalServerError:
		return "broken"
	}
	return "served"
}

// count adds the call to the metrics.
func (r *reporter) count(kind string, record *proxy.CallRecord) {
	reason, routeKind := "", catalog.RouteKind("none")
	if record.Error != nil {
		reason = string(record.Error.Code)
	}
	if record.Route != nil {
		routeKind = record.Route.Kind
	}
	r.set.GetOrCreateCounter(`crocushollow_calls_total{kind="` + string(routeKind) + `",outcome="` + kind + `",reason="` + reason + `"}`).Inc()
	if record.TimeToFirstByte > 0 {
		r.set.GetOrCreateHistogram(`crocushollow_first_byte_seconds{kind="` + string(routeKind) + `"}`).Update(record.TimeToFirstByte.Seconds())
	}
	r.set.GetOrCreateHistogram(`crocushollow_queued_seconds{kind="` + string(routeKind) + `"}`).Update(record.QueueTime.Seconds())
}

// AttemptEnded implements proxy.Observer.
func (r *reporter) AttemptEnded(call *proxy.Call, upstream, result string, took time.Duration, err error) {
	r.set.GetOrCreateCounter(`crocushollow_attempts_total{result="` + result + `"}`).Inc()
	if result == "served" || !r.mayWrite("attempt") {
		return
	}
	r.logger.Warn().Str("request_id", call.ID).Str("upstream", upstream).Str("result", result).
		Dur("took", took).AnErr("cause", err).Msg("attempt ended")
}

// ServeHTTP writes the metrics.
func (r *reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
