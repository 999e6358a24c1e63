package hosted

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/proxy"
	"github.com/crocushollow/crocushollow/state/selector"
	"github.com/crocushollow/crocushollow/transport/acceptor"
)

// Limits of log lines per logLimitPeriod, by kind. Lines beyond a limit are counted
// and reported in one summary line.
const (
	maxServedLines  = 10
	maxRefusedLines = 40
	maxBrokenLines  = 40
	maxAttemptLines = 40
	maxConnLines    = 5
	logLimitPeriod  = time.Second
)

// lineLimiter limits the rate of log lines of one kind.
type lineLimiter struct {
	maxLines    int
	written     int
	dropped     int
	periodStart time.Time
}

// reporter writes the results of calls and attempts to the log and to metrics. It
// implements proxy.Observer and serves the metrics over HTTP.
type reporter struct {
	logger zerolog.Logger
	set    *metrics.Set
	now    func() time.Time

	mu       sync.Mutex
	limiters map[string]*lineLimiter
}

func newReporter(logger zerolog.Logger, now func() time.Time) *reporter {
	return &reporter{
		logger: logger, set: metrics.NewSet(), now: now,
		limiters: map[string]*lineLimiter{
			"served": {maxLines: maxServedLines}, "refused": {maxLines: maxRefusedLines},
			"broken": {maxLines: maxBrokenLines}, "attempt": {maxLines: maxAttemptLines},
			"connection": {maxLines: maxConnLines},
		},
	}
}

// allowLine reports whether a line of the kind may be written now. At the start of a
// period it logs how many lines were dropped in the previous one.
func (r *reporter) allowLine(kind string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	limiter := r.limiters[kind]
	now := r.now()
	if now.Sub(limiter.periodStart) >= logLimitPeriod {
		if limiter.dropped > 0 {
			r.logger.Info().Str("kind", kind).Int("lines", limiter.dropped).Msg("lines left out")
		}
		limiter.periodStart, limiter.written, limiter.dropped = now, 0, 0
	}
	if limiter.written >= limiter.maxLines {
		limiter.dropped++
		return false
	}
	limiter.written++
	return true
}

// CallEnded implements proxy.Observer.
func (r *reporter) CallEnded(record proxy.CallRecord) {
	kind := callOutcome(&record)
	r.count(kind, &record)
	if !r.allowLine(kind) {
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
			Uints64("parts", call.PartHashes()).
			Float64("prompt_tokens", call.PromptTokens).Float64("output_tokens", call.MaxOutputTokens)
	}
	if call.LastEventID != "" {
		line.Str("resumes", call.Resumes).Str("last_event", call.LastEventID)
	}
	if record.Error != nil {
		line.Str("reason", string(record.Error.Code)).Str("detail", record.Error.Message).
			Dur("retry_after", record.Error.RetryAfter)
	}
	if quota := record.QuotaState; quota != nil {
		line.Float64("limit_level", quota.Level).Float64("limit_rate", quota.Rate).Float64("limit_demand", quota.Demand).
			Float64("limit_share", quota.Share).Int("limit_instances", quota.InstanceCount)
	}
	if shortage := record.Shortage; shortage != nil {
		line.Int("engines", shortage.Engines).Int("engines_unhealthy", shortage.Unhealthy).
			Int("engines_without_slot", shortage.Slots).Int("engines_without_prompt_room", shortage.Prompts).
			Int("engines_without_cache_room", shortage.Cache).Int("engines_other", shortage.Other).
			Float64("least_waiting_tokens", shortage.LeastWaitingTokens).Float64("own_waiting_tokens", shortage.OwnWaitingTokens)
	}
	if record.Hedge != "" {
		line.Str("hedge", string(record.Hedge))
	}
	if record.Cause != nil {
		line.AnErr("cause", record.Cause)
	}
	if check := record.Shutdown; check != nil {
		line.Dur("shutdown_since", check.Since).Dur("shutdown_left", check.Left).
			Bool("estimate_known", check.Estimate.IsKnown).Dur("estimate_longest", check.Estimate.Longest)
	}
	line.Stringer("response", record.End).Bool("caller_left", record.End == proxy.CallerLeft).Msg("call ended")
}

// callOutcome returns the outcome of a call: served, refused by the proxy, or broken
// by an upstream error or by the end of a connection.
func callOutcome(record *proxy.CallRecord) string {
	switch {
	case record.Error != nil:
		return "refused"
	case record.End != proxy.Complete || record.Status >= http.StatusInternalServerError:
		return "broken"
	}
	return "served"
}

// count adds a call to the metrics.
func (r *reporter) count(kind string, record *proxy.CallRecord) {
	reason, routeKind := "", catalog.RouteKind("none")
	switch {
	case record.Error != nil:
		reason = string(record.Error.Code)
	case record.End != proxy.Complete:
		reason = record.End.String()
	}
	if record.Route != nil {
		routeKind = record.Route.Kind
	}
	r.set.GetOrCreateCounter(`crocushollow_calls_total{kind="` + string(routeKind) + `",outcome="` + kind + `",reason="` + reason + `"}`).Inc()
	if record.Unplaced != selector.Chosen {
		r.set.GetOrCreateCounter(`crocushollow_unplaced_calls_total{cause="` + record.Unplaced.String() + `"}`).Inc()
	}
	if record.Call.Model != "" {
		r.set.GetOrCreateHistogram(`crocushollow_prompt_tokens{kind="` + string(routeKind) + `",outcome="` + kind + `",reason="` + reason + `"}`).Update(record.Call.PromptTokens)
	}
	if record.TimeToFirstByte > 0 {
		r.set.GetOrCreateHistogram(`crocushollow_first_byte_seconds{kind="` + string(routeKind) + `"}`).Update(record.TimeToFirstByte.Seconds())
	}
	r.set.GetOrCreateHistogram(`crocushollow_queued_seconds{kind="` + string(routeKind) + `"}`).Update(record.QueueTime.Seconds())
}

// AttemptEnded implements proxy.Observer.
func (r *reporter) AttemptEnded(record proxy.AttemptRecord) {
	r.set.GetOrCreateCounter(`crocushollow_attempts_total{result="` + record.Result + `"}`).Inc()
	if record.Result == "served" || !r.allowLine("attempt") {
		return
	}
	r.logger.Warn().Str("request_id", record.Call.ID).Str("upstream", record.Upstream).Str("result", record.Result).
		Uints64("parts", record.Call.PartHashes()).Int("events", record.Events).Dur("took", record.Duration).
		AnErr("cause", record.Cause).Msg("attempt ended")
}

// HealthChanged records that an upstream was ejected, or that its trials have ended.
func (r *reporter) HealthChanged(change selector.HealthChange) {
	if !change.IsEjected {
		r.set.GetOrCreateCounter(`crocushollow_upstream_releases_total`).Inc()
		r.logger.Info().Str("upstream", change.Upstream).Msg("upstream released")
		return
	}
	r.set.GetOrCreateCounter(`crocushollow_upstream_ejections_total`).Inc()
	if r.allowLine("attempt") {
		r.logger.Warn().Str("upstream", change.Upstream).Int("failures", change.Failures).
			Dur("backoff", change.Backoff).Msg("upstream ejected")
	}
}

// connectionClosed records that a connection was closed because a listener had too many.
func (r *reporter) connectionClosed(listener string, cause acceptor.Cause) {
	r.set.GetOrCreateCounter(`crocushollow_connections_closed_total{listener="` + listener + `",cause="` + string(cause) + `"}`).Inc()
	if r.allowLine("connection") {
		r.logger.Warn().Str("listener", listener).Str("cause", string(cause)).Msg("connection closed above the maximum")
	}
}

// StatementInvalid implements proxy.Observer.
func (r *reporter) StatementInvalid(upstream string, err error) {
	if r.allowLine("attempt") {
		r.logger.Warn().Err(err).Str("upstream", upstream).Msg("statement of upstream ignored")
	}
}

// AvailabilityChanged implements proxy.Observer.
func (r *reporter) AvailabilityChanged(upstream string, stated proxy.Availability) {
	r.set.GetOrCreateCounter(`crocushollow_upstream_pauses_total{leaving="` + strconv.FormatBool(stated.IsLeaving) + `"}`).Inc()
	if r.allowLine("attempt") {
		r.logger.Warn().Str("upstream", upstream).Bool("leaving", stated.IsLeaving).Dur("pause", stated.PauseFor).Msg("upstream unavailable")
	}
}

// HedgeChanged implements proxy.Observer.
func (r *reporter) HedgeChanged(record proxy.HedgeRecord) {
	r.set.GetOrCreateCounter(`crocushollow_hedges_total{result="` + string(record.Result) + `"}`).Inc()
	if record.Result == proxy.HedgeWon || record.Result == proxy.HedgeLost {
		r.set.GetOrCreateHistogram(`crocushollow_hedged_first_byte_seconds{result="` + string(record.Result) + `"}`).Update(record.Delay.Seconds())
	}
	if record.Result != proxy.HedgeSent || !r.allowLine("attempt") {
		return
	}
	r.logger.Info().Str("request_id", record.Call.ID).Str("upstream", record.Upstream).
		Dur("waited", record.Delay).Msg("hedge sent")
}

// ServeHTTP writes the metrics in the Prometheus text format.
func (r *reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
