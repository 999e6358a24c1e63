package main

import (
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Deadlines of an attained answer.
const (
	firstTokenDeadline = 590 * time.Millisecond
	tokenGapDeadline   = 72 * time.Millisecond
)

// measures are what a scenario shows of a policy.
type measures struct {
	// Attainment is the fraction of requests within their workspace's rate
	// whose whole answer came in time.
	Attainment float64 `json:"attainment"`
	// AttainmentPerAccelerator is the tokens per second of such answers per
	// engine.
	AttainmentPerAccelerator float64 `json:"attainment_per_accelerator"`
	ModelMoves               int     `json:"model_moves"`
	WorstWorkspaceAttainment float64 `json:"worst_workspace_attainment"`
	// RefusedWithinRate is the fraction of requests refused although their
	// workspace was within its rate.
	RefusedWithinRate float64 `json:"refused_within_rate"`
	// Refusals counts the refused requests by their code.
	Refusals        map[string]int `json:"refusals,omitempty"`
	ServedShare     float64        `json:"served_share"`
	FirstTokenP95MS int64          `json:"first_token_p95_ms"`
	BetweenP95MS    int64          `json:"between_tokens_p95_ms"`
	CPUCores        float64        `json:"process_cpu_cores"`
	PeerBytesPerS   float64        `json:"control_bytes_per_s"`
	Requests        int            `json:"requests"`
}

// isAttained reports whether an answer is whole and came in time.
func (a answered) isAttained() bool {
	if !a.got.IsComplete(a.prompt) || a.got.TimeToFirstToken > firstTokenDeadline {
		return false
	}
	var sum time.Duration
	for _, gap := range a.got.TokenGaps {
		sum += gap
	}
	return sum <= time.Duration(len(a.got.TokenGaps))*tokenGapDeadline
}

// isMeasured tells the requests that count from those of a workspace that the
// scenario lets exceed its rate or whose key it withdraws.
func (r *run) isMeasured(a answered) bool {
	if r.scenario.flood > 0 && a.workspace == 0 {
		return false
	}
	return r.withdrawnAt.IsZero() || a.workspace != 1
}

func (r *run) measure() measures {
	m := measures{Refusals: make(map[string]int)}
	first := hdrhistogram.New(1, 60_000, 3)
	between := hdrhistogram.New(1, 60_000, 3)
	total, attained := make(map[int]int), make(map[int]int)
	served, refused, tokens := 0, 0, 0
	for _, a := range r.answers {
		if a.isAttained() {
			tokens += a.prompt.Tokens
		}
		if !r.isMeasured(a) {
			continue
		}
		total[a.workspace]++
		if a.isAttained() {
			attained[a.workspace]++
		}
		if a.got.IsComplete(a.prompt) {
			served++
			_ = first.RecordValue(max(a.got.TimeToFirstToken.Milliseconds(), 1))
		}
		if a.got.Status == http.StatusTooManyRequests || a.got.Status == http.StatusServiceUnavailable {
			refused++
			m.Refusals[a.got.ErrorResponse.Code()]++
		}
		for _, gap := range a.got.TokenGaps {
			_ = between.RecordValue(max(gap.Milliseconds(), 1))
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
	m.ServedShare = float64(served) / requests
	m.RefusedWithinRate = float64(refused) / requests
	m.AttainmentPerAccelerator = float64(tokens) / r.length.Seconds() / float64(r.size.engines)
	m.FirstTokenP95MS, m.BetweenP95MS = first.ValueAtQuantile(95), between.ValueAtQuantile(95)
	loads, _ := r.site.Store.Counts()
	m.ModelMoves = loads - r.loadsBefore
	m.CPUCores = r.cpu.Seconds() / r.length.Seconds()
	m.PeerBytesPerS = float64(r.moved) / r.length.Seconds() / float64(max(r.members, 1))
	return m
}

// violations counts the broken promises as callers, engines and services see
// them.
func (r *run) violations() map[string]int {
	broken := r.broken
	add := func(promise string, count int) {
		if count > 0 {
			broken[promise] += count
		}
	}
	for _, a := range r.answers {
		switch {
		case a.got.HasForeignText(a.prompt):
			add("whole_answer_to_own_request", 1)
		case a.got.Done && !a.got.IsComplete(a.prompt):
			add("whole_answer_to_own_request", 1)
		case a.got.Status == http.StatusOK && !a.got.Done && !r.scenario.crashes && !r.isWithdrawn(a):
			add("no_request_cut", 1)
		case r.isWithdrawn(a) && a.at.After(r.withdrawnAt.Add(effectLimit)) && a.got.Status == http.StatusOK:
			add("withdrawn_key_stops", 1)
		}
	}
	for _, engine := range r.site.Engines {
		seen := engine.Server.Stats()
		add("memory_not_overcommitted", seen.Overcommits)
		add("cold_start_bearable", seen.ColdStartCrashes)
		add("no_key_upstream", seen.LeakedCredentials)
	}
	r.judgeOrders(add)
	r.judgeRates(add)
	return broken
}

// isWithdrawn reports whether the scenario has withdrawn a request's key.
func (r *run) isWithdrawn(a answered) bool { return !r.withdrawnAt.IsZero() && a.workspace == 1 }

func (r *run) judgeOrders(add func(string, int)) {
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

func allNotRun(o ordered) bool {
	for _, reply := range o.replies {
		if reply.Outcome() != "not_run" {
			return false
		}
	}
	return true
}

// judgeRates adds up what was generated for each workspace over the whole run.
// Only the generated tokens are counted, which is less than what is charged.
func (r *run) judgeRates(add func(string, int)) {
	used := make(map[int]int)
	for _, a := range r.answers {
		if a.got.IsComplete(a.prompt) {
			used[a.workspace] += a.prompt.Tokens
		}
	}
	for i, workspace := range r.workload.Workspaces {
		allowed := float64(workspace.TokenBurst) + float64(workspace.TokenRate)*r.length.Seconds()
		if float64(used[i]) > allowed {
			add("rate_not_exceeded", 1)
		}
	}
}
