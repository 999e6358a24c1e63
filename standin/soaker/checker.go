package soaker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// Bounds of the operators' guarantees.
const (
	retryRatio     = platformtest.RetryRatio
	retryAllowance = platformtest.RetryExtra
	retryWindow    = platformtest.RetryWindow
	limitWindow    = platformtest.QuotaWindow
	limitSlack     = platformtest.QuotaSlack
	// limitOvershoot is the fraction by which usage may exceed a limit.
	limitOvershoot = 0.1
	// stabilizationTime is how long an instance must have been free of faults
	// before the time bounds apply to it.
	stabilizationTime = 3 * time.Second
	// drainTimeLimit, tableTimeLimit and zoneTimeLimit bound the time until
	// instances act on a draining upstream, a change of the table and a zone that
	// is taken out of service.
	drainTimeLimit = 2 * time.Second
	tableTimeLimit = 2 * time.Second
	zoneTimeLimit  = 5 * time.Second
	// responseTimeLimit and longResponseTimeLimit are the routes' timeouts plus a
	// tolerance.
	responseTimeLimit     = routeTimeout + 500*time.Millisecond
	longResponseTimeLimit = longRequestTimeout + 500*time.Millisecond
	// Requests whose last byte was sent within excusedSendTime after SIGTERM may be cut in the
	// last sixth of the grace period, from excusedCutTime on. stopSlack is the time after the
	// grace period that still belongs to a stop.
	excusedSendTime = 3 * time.Second
	excusedCutTime  = stopGrace * 5 / 6
	stopSlack       = time.Second
	// reloadTimeLimit and editSlack bound the times after SIGHUP and after a change of the table
	// in which cuts are attributed to them. Beside a change cuts must be more frequent than at
	// other times by maxEditCutRatio, and calls must have used less than maxUsedShare of their
	// time.
	reloadTimeLimit = 2 * time.Second
	editSlack       = time.Second
	maxEditCutRatio = 3
	maxUsedShare    = 0.7
	// maxMixedStreams is the number of streams that may hold events of two software
	// versions.
	maxMixedStreams = 2
	// requestReadTime is the time from the last byte of a request after which an instance must
	// have read it.
	requestReadTime = 200 * time.Millisecond
	// minLeadershipGap is the minimum time between the orders of two planner
	// leaders.
	minLeadershipGap = platformtest.Lease
	// minServedShare is the minimum share of calls that are served before the faults and
	// after recovery.
	minServedShare = 0.9
	// An upstream that names a rate limit may get rateLimitOvershoot times what that allows
	// in rateLimitWindow, and rateLimitSlack requests more.
	rateLimitWindow    = 4 * time.Second
	rateLimitOvershoot = 1.5
	rateLimitSlack     = 5.0
	// An instance may send maxTrials requests, and one each trialInterval, to an upstream that
	// has failed at all requests for ejectionTime.
	ejectionTime  = time.Second
	maxTrials     = 6
	trialInterval = 1200 * time.Millisecond
	// A call counts this many tokens against the workspace's limit.
	tokensPerModelCall = 120.0
	tokensPerPlainCall = 100.0
)

// Violation is a violated guarantee.
type Violation struct {
	Check  string `json:"check"`
	Detail string `json:"detail"`
}

// Result summarizes a run.
type Result struct {
	Calls    int         `json:"calls"`
	Statuses map[int]int `json:"statuses"`
	Runs     int         `json:"runs"`
	Orders   int         `json:"orders"`
	// BaselineServed and CalmServed are the shares of the calls that were served before the
	// faults and after the recovery from them.
	BaselineServed float64 `json:"baseline_served"`
	CalmServed     float64 `json:"calm_served"`
	// Begun and TakenUp count the streams that callers begin and take up again, and the
	// served ones of them.
	Begun         int `json:"begun"`
	BegunServed   int `json:"begun_served"`
	TakenUp       int `json:"taken_up"`
	TakenUpServed int `json:"taken_up_served"`
	// TakenUpStatuses counts the take-ups by their status. It is 0 without a response.
	TakenUpStatuses map[int]int `json:"taken_up_statuses"`
	// Mixed counts the streams with events of two software versions.
	Mixed int `json:"mixed"`
	// MaxTrials is the largest number of requests that an instance sent to an upstream which
	// failed at all of them.
	MaxTrials int            `json:"max_trials"`
	Broken    map[string]int `json:"broken"`
	// PeakMemoryMB is the largest resident memory of a process.
	PeakMemoryMB int `json:"peak_memory_mb"`
	// Violations lists the first violations of each check.
	Violations []Violation `json:"violations"`
}

// checker checks the history of a run.
type checker struct {
	*history
	result *Result
	// runs holds the executions of each call, by call ID.
	runs map[string][]platformtest.Execution
	// runAt holds the IDs of the upstreams that executed each call.
	runAt map[string][]string
	byID  map[string]*call
}

// maxViolationsPerCheck bounds the violations of one check in a result.
const maxViolationsPerCheck = 5

func checkHistory(h *history) *Result {
	j := &checker{
		history: h, result: &Result{Statuses: make(map[int]int), TakenUpStatuses: make(map[int]int), Broken: make(map[string]int)},
		runs: make(map[string][]platformtest.Execution), runAt: make(map[string][]string), byID: make(map[string]*call),
	}
	for i := range h.calls {
		c := &h.calls[i]
		j.byID[c.id] = c
		j.result.Calls++
		j.result.Statuses[c.status]++
	}
	for i := range h.upstreams {
		for _, run := range h.upstreams[i].runs {
			j.result.Runs++
			j.runs[run.ID] = append(j.runs[run.ID], run)
			j.runAt[run.ID] = append(j.runAt[run.ID], h.upstreams[i].id)
		}
		j.result.Orders += len(h.upstreams[i].orders)
	}
	j.checkCalls()
	j.checkPlannedWork()
	j.checkVersions()
	j.checkUpstreams()
	j.checkLimit()
	j.checkRateLimits()
	j.checkBroken()
	j.checkRetries()
	j.checkOrders()
	j.checkTable()
	j.checkRecovery()
	j.checkMemory()
	return j.result
}

func (j *checker) fail(check, format string, args ...any) {
	j.result.Broken[check]++
	if j.result.Broken[check] <= maxViolationsPerCheck {
		j.result.Violations = append(j.result.Violations, Violation{check, fmt.Sprintf(format, args...)})
	}
}

// isStable reports whether an instance was free of faults in a time range and for
// the stabilization time before it.
func (j *checker) isStable(instance string, from, until time.Time) bool {
	from = from.Add(-stabilizationTime)
	return !hasOverlap(j.storeLinkFaults[instance], from, until) && j.isStableWithoutStore(instance, from, until)
}

// isInformed reports whether an instance must have learned of changes in a time range: it
// is stable but for its connections to the store, and another instance is stable.
func (j *checker) isInformed(instance string, from, until time.Time) bool {
	if !j.isStableWithoutStore(instance, from.Add(-stabilizationTime), until) {
		return false
	}
	return slices.ContainsFunc(j.calls, func(c call) bool { return j.isStable(c.instance, from, until) })
}

func (j *checker) isStableWithoutStore(instance string, from, until time.Time) bool {
	return !hasOverlap(j.instanceFaults[instance], from, until) && !hasOverlap(j.plannedStops[instance], from, until) &&
		!hasOverlap(j.storeFaults, from, until)
}

func hasOverlap(intervals []interval, from, until time.Time) bool {
	return slices.ContainsFunc(intervals, func(s interval) bool { return s.overlaps(from, until) })
}

// checkTable checks that instances apply changes of the table in time and do not
// revert to an older table.
func (j *checker) checkTable() {
	for i := range j.calls {
		c := &j.calls[i]
		if c.kind != probe || c.status == 0 || !j.isStable(c.instance, c.sentAt, c.endedAt) {
			continue
		}
		mayServe, mayRefuse := j.allowedOutcomes(c)
		refused := c.status == 401 || c.status == 404
		switch {
		case c.status == 200 && !mayServe:
			j.fail("table_in_time", "%s %s was served at %s by an outdated table", c.path, c.id, c.instance)
		case refused && !mayRefuse:
			j.fail("table_in_time", "%s %s got %d at %s by an outdated table", c.path, c.id, c.status, c.instance)
		}
	}
}

// allowedOutcomes reports whether any table that may be in force during a call
// serves it, and whether any refuses it.
func (j *checker) allowedOutcomes(c *call) (mayServe, mayRefuse bool) {
	serves := func(e *edit) bool {
		return (!strings.HasPrefix(c.path, toggledPath) || slices.Contains(e.paths, toggledPath)) && slices.Contains(e.keys, c.key)
	}
	current := edit{keys: []string{platformtest.APIKey}}
	for i := range j.edits {
		e := &j.edits[i]
		if e.at.After(c.endedAt) {
			break
		}
		if e.at.Add(tableTimeLimit).After(c.sentAt) {
			mayServe, mayRefuse = mayServe || serves(&current), mayRefuse || !serves(&current)
		}
		current = *e
	}
	return mayServe || serves(&current), mayRefuse || !serves(&current)
}

// checkRecovery checks that the service bears its load without faults, and recovers after all
// of them.
func (j *checker) checkRecovery() {
	j.result.BaselineServed = j.checkServed("baseline", j.baseline)
	j.result.CalmServed = j.checkServed("recovery", j.recovery)
}

// checkServed checks the share of the calls in a time range that were served, and returns it.
func (j *checker) checkServed(check string, window interval) float64 {
	served, total := 0, 0
	for i := range j.calls {
		c := &j.calls[i]
		if c.sentAt.Before(window.from) || c.endedAt.After(window.until) || c.kind == probe || c.status == 429 || c.canceled {
			continue
		}
		total++
		if c.status == 200 && c.isComplete {
			served++
		}
	}
	if total == 0 {
		j.fail(check, "no calls")
		return 0
	}
	share := float64(served) / float64(total)
	if share < minServedShare {
		j.fail(check, "%d of %d calls served", served, total)
	}
	return share
}
