package soaker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// Bounds of the operators' guarantees.
const (
	retryRatio     = 0.2
	retryAllowance = 56.0
	retryWindow    = 10 * time.Second
	limitWindow    = 8 * time.Second
	limitSlack     = 17000.0
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
	responseTimeLimit     = 2500 * time.Millisecond
	longResponseTimeLimit = 12500 * time.Millisecond
	// Requests that were sent within excusedSendTime after SIGTERM may be cut in the last
	// sixth of the grace period, from excusedCutTime on.
	excusedSendTime = 3 * time.Second
	excusedCutTime  = stopGrace * 5 / 6
	// maxMixedStreams is the number of streams that may hold events of two software
	// versions.
	maxMixedStreams = 2
	// requestReadTime is the time after which an instance must have read a request.
	requestReadTime = 200 * time.Millisecond
	// minLeadershipGap is the minimum time between the orders of two planner
	// leaders. It equals the lease of the settings.
	minLeadershipGap = 3 * time.Second
	// minServedShare is the minimum share of calls that are served after recovery.
	minServedShare = 0.9
	// An upstream that names a rate limit may get rateLimitOvershoot times what that allows
	// in rateLimitWindow, and rateLimitSlack requests more.
	rateLimitWindow    = 4 * time.Second
	rateLimitOvershoot = 1.5
	rateLimitSlack     = 5.0
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
	Calls      int         `json:"calls"`
	Statuses   map[int]int `json:"statuses"`
	Runs       int         `json:"runs"`
	Orders     int         `json:"orders"`
	CalmServed float64     `json:"calm_served"`
	// Begun and TakenUp count the streams that callers begin and take up again, and the
	// served ones of them.
	Begun         int            `json:"begun"`
	BegunServed   int            `json:"begun_served"`
	TakenUp       int            `json:"taken_up"`
	TakenUpServed int            `json:"taken_up_served"`
	Broken        map[string]int `json:"broken"`
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
		history: h, result: &Result{Statuses: make(map[int]int), Broken: make(map[string]int)},
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
	j.checkVersions()
	j.checkUpstreams()
	j.checkLimit()
	j.checkRateLimits()
	j.checkRetries()
	j.checkOrders()
	j.checkTable()
	j.checkRecovery()
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

// checkCalls checks each call on its own: executions, response and duration.
func (j *checker) checkCalls() {
	for i := range j.calls {
		c := &j.calls[i]
		runs := len(j.runs[c.id])
		if runs > 1 && !c.kind.isRepeatable() {
			j.fail("at_most_once", "%s %s was executed %d times", c.kind, c.id, runs)
		}
		if meansNotExecuted(c.status) && runs > 0 && !c.kind.isRepeatable() {
			j.fail("true_refusals", "%s %s got status %d but was executed", c.kind, c.id, c.status)
		}
		j.checkResponse(c)
		duration := c.endedAt.Sub(c.sentAt)
		limit := responseTimeLimit
		if c.kind.isLong() {
			limit = longResponseTimeLimit
		}
		if duration > limit && !c.refused && j.isStable(c.instance, c.sentAt, c.endedAt) {
			j.fail("answered_in_time", "%s %s took %s at %s", c.kind, c.id, duration, c.instance)
		}
		j.checkPlannedStop(c)
	}
}

// meansNotExecuted reports whether a status guarantees that the request was not
// executed.
func meansNotExecuted(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

// checkResponse checks that a successful response is complete and belongs to its call.
func (j *checker) checkResponse(c *call) {
	if c.status != 200 {
		return
	}
	if c.kind.isStream() {
		for number, id := range c.events {
			if id != number+max(c.firstEvent, 1) {
				j.fail("whole_answers", "%s %s has the events %v", c.kind, c.id, c.events)
				return
			}
		}
		if strings.Count(c.body, "data: ") > strings.Count(c.body, " of "+c.id+" by ")+1 {
			j.fail("own_answers", "%s %s got events of another call", c.kind, c.id)
		}
		if c.isComplete && len(c.events)+max(c.firstEvent, 1)-1 != c.kind.eventCount() {
			j.fail("whole_answers", "%s %s looks complete after %d events", c.kind, c.id, len(c.events))
		}
		return
	}
	if c.isComplete && c.body != platformtest.PlainResponseBody(c.id) {
		j.fail("own_answers", "%s %s got %q", c.kind, c.id, c.body)
	}
}

// eventsPerStream is the number of events of a complete stream that is not long.
const eventsPerStream = 6

// eventCount returns the number of events of a complete stream.
func (k callKind) eventCount() int {
	if k.isLong() {
		return platformtest.LongStreamEvents
	}
	return eventsPerStream
}

// checkVersions checks that streams keep the software version that began them, within a
// response and over the attempts of a caller.
func (j *checker) checkVersions() {
	versions := make(map[string]map[string]bool)
	var mixed []string
	for i := range j.calls {
		c := &j.calls[i]
		j.countStream(c)
		for _, version := range c.versions {
			known := versions[c.chain]
			if known == nil {
				known = make(map[string]bool)
				versions[c.chain] = known
			}
			if known[version] = true; len(known) == 2 && !slices.Contains(mixed, c.chain) {
				mixed = append(mixed, c.chain)
			}
		}
	}
	if len(mixed) > maxMixedStreams {
		j.fail("one_version", "streams with events of two software versions: %v", mixed)
	}
}

// countStream counts a stream that may be resumed, as begun or taken up.
func (j *checker) countStream(c *call) {
	isServed := 0
	if c.status == 200 && c.isComplete {
		isServed = 1
	}
	switch {
	case !c.kind.isResumable() || c.canceled || c.refused:
	case c.firstEvent > 1:
		j.result.TakenUp++
		j.result.TakenUpServed += isServed
	default:
		j.result.Begun++
		j.result.BegunServed += isServed
	}
}

// checkPlannedStop checks that an instance that shuts down gracefully answers the
// requests that it has read.
func (j *checker) checkPlannedStop(c *call) {
	isCut := c.status == 0 && c.endedAt.Sub(c.sentAt) >= requestReadTime || c.status == 200 && !c.isComplete && j.isCutByInstance(c)
	if !isCut || c.refused || c.canceled {
		return
	}
	for _, stop := range j.plannedStops[c.instance] {
		hadFault := slices.ContainsFunc(j.instanceFaults[c.instance], func(s interval) bool { return s.overlaps(stop.from.Add(-stabilizationTime), stop.until) })
		isExcused := c.sentAt.Sub(stop.from) <= excusedSendTime && c.endedAt.Sub(stop.from) >= excusedCutTime && j.mayBeRunning(c)
		if stop.overlaps(c.sentAt, c.endedAt) && !hadFault && !isExcused {
			j.fail("planned_stop", "%s %s, sent %s after SIGTERM, was aborted by %s after %s",
				c.kind, c.id, c.sentAt.Sub(stop.from), c.instance, c.endedAt.Sub(c.sentAt))
		}
	}
}

// mayBeRunning reports whether an upstream was at work on a call when it ended, or links to
// upstreams were disrupted, so that the instance cannot know.
func (j *checker) mayBeRunning(c *call) bool {
	isRunning := slices.ContainsFunc(j.runs[c.id], func(run platformtest.Execution) bool {
		return run.End == platformtest.Running || !run.EndedAt.Before(c.endedAt.Add(-closeTime))
	})
	return isRunning || hasOverlap(j.linkDisruptions, c.sentAt, c.endedAt)
}

// isCutByInstance reports whether the instance, and not an upstream, ended the response to
// a call. At the route's timeout it may.
func (j *checker) isCutByInstance(c *call) bool {
	runs := j.runs[c.id]
	if len(runs) == 0 || c.endedAt.Sub(c.sentAt) > maxCutTime {
		return false
	}
	// A link that refuses connections closes the open ones: both ends see that of the other.
	for _, upstream := range j.runAt[c.id] {
		if hasOverlap(j.linkFaults[upstream], c.sentAt, c.endedAt) {
			return false
		}
	}
	return !slices.ContainsFunc(runs, func(run platformtest.Execution) bool { return run.End == platformtest.BrokenOff }) &&
		runs[len(runs)-1].End == platformtest.Canceled
}

// maxCutTime is the time for which an instance has no reason to end the response to a long
// call, whose route has a timeout of 12 s.
const maxCutTime = 10 * time.Second

// checkUpstreams checks the faults that upstreams report and the requests that
// they received.
func (j *checker) checkUpstreams() {
	for i := range j.upstreams {
		b := &j.upstreams[i]
		for _, fault := range b.faults {
			j.fail("memory", "%s: %s", b.id, fault)
		}
		for k := range b.runs {
			j.checkRun(b, &b.runs[k])
		}
	}
}

// checkRun checks that the upstream was eligible for the request and received no
// caller's credentials.
func (j *checker) checkRun(b *upstream, run *platformtest.Execution) {
	if run.Header.Get("Authorization") != "" {
		j.fail("keys", "%s carried credentials to %s", run.ID, b.id)
	}
	c := j.byID[run.ID]
	if c == nil || !j.isInformed(c.instance, c.sentAt, run.At) {
		return
	}
	if announcedAt, found := j.drainedAt[b.incarnation]; found && run.At.Sub(announcedAt) > drainTimeLimit {
		j.fail("draining", "%s reached %s %s after it announced that it drains", run.ID, b.id, run.At.Sub(announcedAt))
	}
	for _, outage := range j.zoneOutages[b.zone] {
		if run.At.Sub(outage.from) > zoneTimeLimit && run.At.Before(outage.until) {
			j.fail("zone_out", "%s reached %s %s after its zone was taken out", run.ID, b.id, run.At.Sub(outage.from))
		}
	}
}

// checkLimit checks the workspace's token usage in every window.
func (j *checker) checkLimit() {
	var samples []usageSample
	for i := range j.calls {
		c := &j.calls[i]
		runs := j.runs[c.id]
		if len(runs) == 0 {
			continue
		}
		tokens := tokensPerPlainCall
		if c.kind.isStream() {
			tokens = tokensPerModelCall
		}
		samples = append(samples, usageSample{runs[0].At, tokens})
	}
	bound := (limitRate*limitWindow.Seconds()+limitRate)*(1+limitOvershoot) + limitSlack
	if maxSum := maxSumInWindow(samples, limitWindow); maxSum > bound {
		j.fail("limit", "%.0f tokens in %s, bound %.0f", maxSum, limitWindow, bound)
	}
}

// usageSample is an amount used at a point in time.
type usageSample struct {
	at     time.Time
	amount float64
}

// maxSumInWindow returns the largest sum of amounts within any window.
func maxSumInWindow(samples []usageSample, window time.Duration) float64 {
	slices.SortFunc(samples, func(a, b usageSample) int { return a.at.Compare(b.at) })
	maxSum, sum, first := 0.0, 0.0, 0
	for _, c := range samples {
		sum += c.amount
		for c.at.Sub(samples[first].at) > window {
			sum -= samples[first].amount
			first++
		}
		maxSum = max(maxSum, sum)
	}
	return maxSum
}

// checkRateLimits checks that upstreams get no more requests than the rate limit that they
// name allows. Instances with a fault of their own are excused.
func (j *checker) checkRateLimits() {
	for _, limit := range j.rateLimits {
		index := slices.IndexFunc(j.upstreams, func(b upstream) bool { return b.incarnation == limit.incarnation })
		if index < 0 {
			continue
		}
		var samples []usageSample
		for _, arrival := range j.upstreams[index].arrivals {
			c := j.byID[arrival.ID]
			if c == nil || arrival.At.Before(limit.from.Add(stabilizationTime)) || arrival.At.After(limit.until) || !j.hasRun(c.instance, arrival.At) {
				continue
			}
			samples = append(samples, usageSample{arrival.At, 1})
		}
		bound := rateLimitOvershoot*limit.perSecond*rateLimitWindow.Seconds() + rateLimitSlack
		if maxSum := maxSumInWindow(samples, rateLimitWindow); maxSum > bound {
			j.fail("rate_limit", "%s got %.0f requests in %s at a limit of %.2f a second, bound %.1f",
				limit.incarnation, maxSum, rateLimitWindow, limit.perSecond, bound)
		}
	}
}

// hasRun reports whether an instance was without faults of its own for the stabilization
// time before a time.
func (j *checker) hasRun(instance string, at time.Time) bool {
	from := at.Add(-stabilizationTime)
	return !hasOverlap(j.instanceFaults[instance], from, at) && !hasOverlap(j.plannedStops[instance], from, at)
}

// checkRetries checks the retry budget of each service. Every arrival of a call
// after its first one counts as a retry.
func (j *checker) checkRetries() {
	for _, service := range []string{platformtest.ModelService, platformtest.PlainService} {
		var arrivals []platformtest.Arrival
		for i := range j.upstreams {
			if j.upstreams[i].service == service {
				arrivals = append(arrivals, j.upstreams[i].arrivals...)
			}
		}
		slices.SortFunc(arrivals, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
		seen := make(map[string]bool)
		var retries []usageSample
		for _, arrival := range arrivals {
			if seen[arrival.ID] {
				retries = append(retries, usageSample{arrival.At, 1})
			}
			seen[arrival.ID] = true
		}
		// Twice the mean number of requests per window stands for the requests in the
		// busiest window.
		requests := float64(len(seen))
		if len(arrivals) > 0 {
			length := max(arrivals[len(arrivals)-1].At.Sub(arrivals[0].At), retryWindow)
			requests *= 2 * retryWindow.Seconds() / length.Seconds()
		}
		if maxSum := maxSumInWindow(retries, retryWindow); maxSum > retryRatio*requests+retryAllowance {
			j.fail("retry_budget", "%.0f retries in %s at %s, bound %.0f", maxSum, retryWindow, service, retryRatio*requests+retryAllowance)
		}
	}
}

// checkOrders checks that only one planner leader at a time gives orders.
func (j *checker) checkOrders() {
	leaders := make(map[int64]string)
	var all []platformtest.ExecutedOrder
	for i := range j.upstreams {
		all = append(all, j.upstreams[i].orders...)
	}
	slices.SortFunc(all, func(a, b platformtest.ExecutedOrder) int {
		return cmp.Or(cmp.Compare(a.FencingToken, b.FencingToken), a.At.Compare(b.At))
	})
	for i, order := range all {
		if leader, known := leaders[order.FencingToken]; known && leader != order.Instance {
			j.fail("one_holder", "%s and %s gave orders with fencing token %d", leader, order.Instance, order.FencingToken)
		}
		leaders[order.FencingToken] = order.Instance
		if i == 0 || all[i-1].Instance == order.Instance {
			continue
		}
		if gap := order.At.Sub(all[i-1].At); gap < minLeadershipGap && j.isStable(order.Instance, order.At, order.At) && j.isStable(all[i-1].Instance, all[i-1].At, all[i-1].At) {
			j.fail("one_holder", "%s gave an order %s after %s", order.Instance, gap, all[i-1].Instance)
		}
	}
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

// checkRecovery checks that the service recovers after all faults.
func (j *checker) checkRecovery() {
	served, total := 0, 0
	for i := range j.calls {
		c := &j.calls[i]
		if c.sentAt.Before(j.recoveryFrom) || c.endedAt.After(j.recoveryUntil) || c.kind == probe || c.status == 429 || c.canceled {
			continue
		}
		total++
		if c.status == 200 && c.isComplete {
			served++
		}
	}
	if total == 0 {
		j.fail("recovery", "no calls after the faults")
		return
	}
	j.result.CalmServed = float64(served) / float64(total)
	if j.result.CalmServed < minServedShare {
		j.fail("recovery", "%d of %d calls served after the faults", served, total)
	}
}
