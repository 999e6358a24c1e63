package main

import (
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Deadlines of a response that counts towards attainment.
const (
	firstTokenDeadline = 590 * time.Millisecond
	tokenGapDeadline   = 72 * time.Millisecond
)

// measurements are the results of a scenario under one policy.
type measurements struct {
	// Attainment is the fraction of requests whose complete response met the
	// deadlines. It counts the requests of workspaces within their rate.
	Attainment float64 `json:"attainment"`
	// AttainmentPerAccelerator is the number of tokens per second and engine in
	// responses that met the deadlines.
	AttainmentPerAccelerator float64 `json:"attainment_per_accelerator"`
	ModelMoves               int     `json:"model_moves"`
	WorstWorkspaceAttainment float64 `json:"worst_workspace_attainment"`
	// RejectedWithinRate is the fraction of requests that were rejected although
	// their workspace was within its rate.
	RejectedWithinRate float64 `json:"refused_within_rate"`
	// Rejections counts the rejected requests by error code.
	Rejections      map[string]int `json:"refusals,omitempty"`
	ServedFraction  float64        `json:"served_share"`
	FirstTokenP95MS int64          `json:"first_token_p95_ms"`
	InterTokenP95MS int64          `json:"between_tokens_p95_ms"`
	CPUCores        float64        `json:"process_cpu_cores"`
	PeerBytesPerS   float64        `json:"control_bytes_per_s"`
	Requests        int            `json:"requests"`
}

// meetsDeadlines reports whether a response is complete and met the deadlines.
func (result modelResult) meetsDeadlines() bool {
	if !result.response.IsComplete(result.prompt) || result.response.TimeToFirstToken > firstTokenDeadline {
		return false
	}
	var sum time.Duration
	for _, gap := range result.response.TokenGaps {
		sum += gap
	}
	return sum <= time.Duration(len(result.response.TokenGaps))*tokenGapDeadline
}

// countsTowardsMeasurements returns false for requests of a workspace that exceeds
// its rate, or whose key is withdrawn, as part of the scenario.
func (r *run) countsTowardsMeasurements(result modelResult) bool {
	if r.scenario.floodFactor > 0 && result.workspace == 0 {
		return false
	}
	return r.withdrawnAt.IsZero() || result.workspace != 1
}

func (r *run) measure() measurements {
	m := measurements{Rejections: make(map[string]int)}
	firstTokenMS := hdrhistogram.New(1, 60_000, 3)
	interTokenMS := hdrhistogram.New(1, 60_000, 3)
	total, attained := make(map[int]int), make(map[int]int)
	served, rejected, tokens := 0, 0, 0
	for _, result := range r.results {
		if result.meetsDeadlines() {
			tokens += result.prompt.Tokens
		}
		if !r.countsTowardsMeasurements(result) {
			continue
		}
		total[result.workspace]++
		if result.meetsDeadlines() {
			attained[result.workspace]++
		}
		if result.response.IsComplete(result.prompt) {
			served++
			_ = firstTokenMS.RecordValue(max(result.response.TimeToFirstToken.Milliseconds(), 1))
		}
		if result.response.Status == http.StatusTooManyRequests || result.response.Status == http.StatusServiceUnavailable {
			rejected++
			m.Rejections[result.response.ErrorResponse.Code()]++
		}
		for _, gap := range result.response.TokenGaps {
			_ = interTokenMS.RecordValue(max(gap.Milliseconds(), 1))
		}
	}
	m.WorstWorkspaceAttainment = 1
	for workspace, count := range total {
		m.Requests += count
		m.Attainment += float64(attained[workspace])
		m.WorstWorkspaceAttainment = min(m.WorstWorkspaceAttainment, float64(attained[workspace])/float64(count))
	}
	requests := float64(max(m.Requests, 1))
	m.Attainment /= requests
	m.ServedFraction = float64(served) / requests
	m.RejectedWithinRate = float64(rejected) / requests
	m.AttainmentPerAccelerator = float64(tokens) / r.length.Seconds() / float64(r.size.engines)
	m.FirstTokenP95MS, m.InterTokenP95MS = firstTokenMS.ValueAtQuantile(95), interTokenMS.ValueAtQuantile(95)
	loads, _ := r.site.Store.Counts()
	m.ModelMoves = loads - r.initialLoads
	m.CPUCores = r.cpu.Seconds() / r.length.Seconds()
	m.PeerBytesPerS = float64(r.bytesTransferred) / r.length.Seconds() / float64(max(r.members, 1))
	return m
}

// countViolations counts the violations of each invariant, as callers, engines and
// services observe them.
func (r *run) countViolations() map[string]int {
	violations := r.violations
	add := func(invariant string, count int) {
		if count > 0 {
			violations[invariant] += count
		}
	}
	for _, result := range r.results {
		switch {
		case result.response.HasForeignText(result.prompt):
			add("whole_answer_to_own_request", 1)
		case result.response.Done && !result.response.IsComplete(result.prompt):
			add("whole_answer_to_own_request", 1)
		case result.response.Status == http.StatusOK && !result.response.Done && !r.scenario.allowsInterruptions && !r.usesWithdrawnKey(result):
			add("no_request_cut", 1)
		case r.usesWithdrawnKey(result) && result.at.After(r.withdrawnAt.Add(propagationTimeout)) && result.response.Status == http.StatusOK:
			add("withdrawn_key_stops", 1)
		}
	}
	for _, engine := range r.site.Engines {
		seen := engine.Server.Stats()
		add("memory_not_overcommitted", seen.Overcommits)
		add("cold_start_bearable", seen.ColdStartCrashes)
		add("no_key_upstream", seen.LeakedCredentials)
	}
	r.checkOrders(add)
	r.checkRates(add)
	return violations
}

// usesWithdrawnKey reports whether a request uses the key that the scenario has
// withdrawn.
func (r *run) usesWithdrawnKey(result modelResult) bool {
	return !r.withdrawnAt.IsZero() && result.workspace == 1
}

func (r *run) checkOrders(add func(string, int)) {
	runs := make(map[string]int)
	for _, service := range r.site.Services {
		for _, execution := range service.Server.Executions() {
			runs[execution.Key]++
			if execution.LeakedCredentials {
				add("no_key_upstream", 1)
			}
		}
	}
	for key, count := range runs {
		if strings.HasPrefix(key, "order-") && count > 1 {
			add("at_most_once", 1)
		}
	}
	for _, o := range r.orders {
		for _, reply := range o.replies {
			if reply.Status == http.StatusOK && runs[o.key] == 0 {
				add("at_most_once", 1)
			}
		}
		if last := len(o.replies) - 1; last >= 0 && runs[o.key] > 0 && allNotRun(o) {
			add("not_run_is_true", 1)
		}
	}
}

func allNotRun(o orderResult) bool {
	for _, reply := range o.replies {
		if reply.Outcome() != "not_run" {
			return false
		}
	}
	return true
}

// checkRates checks that the tokens generated for each workspace do not exceed its
// rate over the run. It ignores prompt tokens, so it undercounts the charged tokens.
func (r *run) checkRates(add func(string, int)) {
	used := make(map[int]int)
	for _, result := range r.results {
		if result.response.IsComplete(result.prompt) {
			used[result.workspace] += result.prompt.Tokens
		}
	}
	for i, workspace := range r.workload.Workspaces {
		allowed := float64(workspace.TokenBurst) + float64(workspace.TokenRate)*r.length.Seconds()
		if float64(used[i]) > allowed {
			add("rate_not_exceeded", 1)
		}
	}
}
