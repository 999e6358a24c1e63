package soaker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// Bounds of the operators' rules.
const (
	retryRatio  = 0.2
	retryExtra  = 56.0
	retryWindow = 10 * time.Second
	limitWindow = 8 * time.Second
	limitSlack  = 17000.0
	// limitOvershoot is the tolerated part of a limit beyond it.
	limitOvershoot = 0.1
	// stableTime is how long an instance must have been undisturbed for the
	// bounds in time to hold for it.
	stableTime = 3 * time.Second
	// drainTime, tableTime and zoneTime bound the time until a leaving back end,
	// a change of the table and a zone out of service are respected.
	drainTime = 2 * time.Second
	tableTime = 2 * time.Second
	zoneTime  = 5 * time.Second
	// answerTime is the routes' time limit with the tolerance beyond it.
	answerTime = 2500 * time.Millisecond
	// readTime is the time after which a call counts as read by an instance.
	readTime = 200 * time.Millisecond
	// leaseTime is the least time between the orders of two holders.
	leaseTime = 3 * time.Second
	// calmShare is the least part of the calls that is served after all faults.
	calmShare = 0.9
	// tokensOfModel and tokensOfPlain are what the calls count.
	tokensOfModel = 120.0
	tokensOfPlain = 100.0
)

// Violation is a promise that was broken.
type Violation struct {
	Check  string `json:"check"`
	Detail string `json:"detail"`
}

// Verdict is what a run has shown.
type Verdict struct {
	Calls      int            `json:"calls"`
	Statuses   map[int]int    `json:"statuses"`
	Runs       int            `json:"runs"`
	Orders     int            `json:"orders"`
	CalmServed float64        `json:"calm_served"`
	Broken     map[string]int `json:"broken"`
	// Violations lists the first ones of each check.
	Violations []Violation `json:"violations"`
}

// judgement is a judging in progress.
type judgement struct {
	*history
	report *Verdict
	// runs lists the runs of each call.
	runs map[string][]platformtest.Execution
	// calledAt is the call of each ID.
	byID map[string]*call
}

// maxPerCheck bounds the violations of one check in a report.
const maxPerCheck = 5

func judge(h *history) *Verdict {
	j := &judgement{
		history: h, report: &Verdict{Statuses: make(map[int]int), Broken: make(map[string]int)},
		runs: make(map[string][]platformtest.Execution), byID: make(map[string]*call),
	}
	for i := range h.calls {
		c := &h.calls[i]
		j.byID[c.id] = c
		j.report.Calls++
		j.report.Statuses[c.status]++
	}
	for i := range h.backEnds {
		for _, run := range h.backEnds[i].runs {
			j.report.Runs++
			j.runs[run.ID] = append(j.runs[run.ID], run)
		}
		j.report.Orders += len(h.backEnds[i].orders)
	}
	j.checkCalls()
	j.checkBackEnds()
	j.checkLimit()
	j.checkRetries()
	j.checkOrders()
	j.checkTable()
	j.checkCalm()
	return j.report
}

func (j *judgement) fail(check, format string, args ...any) {
	j.report.Broken[check]++
	if j.report.Broken[check] <= maxPerCheck {
		j.report.Violations = append(j.report.Violations, Violation{check, fmt.Sprintf(format, args...)})
	}
}

// isCalm reports whether an instance was undisturbed between two moments, and
// the stable time before.
func (j *judgement) isCalm(instance string, from, until time.Time) bool {
	from = from.Add(-stableTime)
	overlaps := func(s span) bool { return s.overlaps(from, until) }
	return !slices.ContainsFunc(j.disturbed[instance], overlaps) && !slices.ContainsFunc(j.stopped[instance], overlaps) &&
		!slices.ContainsFunc(j.storeFaults, overlaps)
}

// checkCalls checks each call by itself.
func (j *judgement) checkCalls() {
	for i := range j.calls {
		c := &j.calls[i]
		runs := len(j.runs[c.id])
		if runs > 1 && !c.kind.isRepeatable() {
			j.fail("at_most_once", "%s %s ran %d times", c.kind, c.id, runs)
		}
		if isPromise(c.status) && runs > 0 && !c.kind.isRepeatable() {
			j.fail("true_refusals", "%s %s was answered %d and ran", c.kind, c.id, c.status)
		}
		j.checkAnswer(c)
		took := c.endedAt.Sub(c.sentAt)
		if took > answerTime && !c.refused && j.isCalm(c.instance, c.sentAt, c.endedAt) {
			j.fail("answered_in_time", "%s %s took %s at %s", c.kind, c.id, took, c.instance)
		}
		j.checkPlannedStop(c)
	}
}

// isPromise reports whether a status says that a request has not run.
func isPromise(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

// checkAnswer checks that a success is the whole answer to its own call.
func (j *judgement) checkAnswer(c *call) {
	if c.status != 200 {
		return
	}
	if c.kind == notes || c.kind == advice {
		for number, id := range c.events {
			if id != number+1 {
				j.fail("whole_answers", "%s %s has the events %v", c.kind, c.id, c.events)
				return
			}
		}
		if strings.Count(c.body, "data: ") > strings.Count(c.body, " of "+c.id+"\n")+1 {
			j.fail("own_answers", "%s %s got events of another call", c.kind, c.id)
		}
		if c.whole && len(c.events) != streamEvents {
			j.fail("whole_answers", "%s %s looks complete after %d events", c.kind, c.id, len(c.events))
		}
		return
	}
	if c.whole && c.body != platformtest.PlainResponseBody(c.id) {
		j.fail("own_answers", "%s %s got %q", c.kind, c.id, c.body)
	}
}

// streamEvents is the number of events of a whole stream.
const streamEvents = 6

// checkPlannedStop checks that a call that was read by an instance that shuts
// down is answered.
func (j *judgement) checkPlannedStop(c *call) {
	if c.status != 0 || c.refused || c.gaveUp || c.endedAt.Sub(c.sentAt) < readTime {
		return
	}
	for _, stop := range j.stopped[c.instance] {
		harmed := slices.ContainsFunc(j.disturbed[c.instance], func(s span) bool { return s.overlaps(stop.from.Add(-stableTime), stop.until) })
		if stop.overlaps(c.sentAt, c.endedAt) && !harmed {
			j.fail("planned_stop", "%s %s, sent %s after the signal, was cut at %s after %s",
				c.kind, c.id, c.sentAt.Sub(stop.from), c.instance, c.endedAt.Sub(c.sentAt))
		}
	}
}

// checkBackEnds checks what reached back ends that should get nothing.
func (j *judgement) checkBackEnds() {
	for i := range j.backEnds {
		b := &j.backEnds[i]
		for _, fault := range b.faults {
			j.fail("memory", "%s: %s", b.id, fault)
		}
		for k := range b.runs {
			j.checkRun(b, &b.runs[k])
		}
	}
}

// checkRun checks that a back end was due to get a request.
func (j *judgement) checkRun(b *backEnd, run *platformtest.Execution) {
	if run.Header.Get("Authorization") != "" {
		j.fail("keys", "%s carried a key to %s", run.ID, b.id)
	}
	c := j.byID[run.ID]
	if c == nil || !j.isCalm(c.instance, c.sentAt, run.At) {
		return
	}
	if left, found := j.leaving[b.life]; found && run.At.Sub(left) > drainTime {
		j.fail("draining", "%s reached %s %s after it announced its leaving", run.ID, b.id, run.At.Sub(left))
	}
	for _, out := range j.zonesOut[b.zone] {
		if run.At.Sub(out.from) > zoneTime && run.At.Before(out.until) {
			j.fail("zone_out", "%s reached %s %s after its zone was taken out", run.ID, b.id, run.At.Sub(out.from))
		}
	}
}

// checkLimit counts the workspace's tokens in every window.
func (j *judgement) checkLimit() {
	var used []charge
	for i := range j.calls {
		c := &j.calls[i]
		runs := j.runs[c.id]
		if len(runs) == 0 {
			continue
		}
		tokens := tokensOfPlain
		if c.kind == notes || c.kind == advice {
			tokens = tokensOfModel
		}
		used = append(used, charge{runs[0].At, tokens})
	}
	bound := (limitRate*limitWindow.Seconds()+limitRate)*(1+limitOvershoot) + limitSlack
	if most := mostIn(used, limitWindow); most > bound {
		j.fail("limit", "%.0f tokens in %s, bound %.0f", most, limitWindow, bound)
	}
}

// charge is an amount at a moment.
type charge struct {
	at     time.Time
	amount float64
}

// mostIn returns the greatest sum over any window.
func mostIn(charges []charge, window time.Duration) float64 {
	slices.SortFunc(charges, func(a, b charge) int { return a.at.Compare(b.at) })
	most, sum, first := 0.0, 0.0, 0
	for _, c := range charges {
		sum += c.amount
		for c.at.Sub(charges[first].at) > window {
			sum -= charges[first].amount
			first++
		}
		most = max(most, sum)
	}
	return most
}

// checkRetries counts the arrivals beyond the first of each call in every window.
func (j *judgement) checkRetries() {
	for _, service := range []string{platformtest.ModelService, platformtest.PlainService} {
		var arrivals []platformtest.Arrival
		for i := range j.backEnds {
			if j.backEnds[i].service == service {
				arrivals = append(arrivals, j.backEnds[i].arrivals...)
			}
		}
		slices.SortFunc(arrivals, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
		seen := make(map[string]bool)
		var repeats []charge
		for _, arrival := range arrivals {
			if seen[arrival.ID] {
				repeats = append(repeats, charge{arrival.At, 1})
			}
			seen[arrival.ID] = true
		}
		// The requests of the whole run in a window bound those of any.
		requests := float64(len(seen))
		if len(arrivals) > 0 {
			length := max(arrivals[len(arrivals)-1].At.Sub(arrivals[0].At), retryWindow)
			requests *= 2 * retryWindow.Seconds() / length.Seconds()
		}
		if most := mostIn(repeats, retryWindow); most > retryRatio*requests+retryExtra {
			j.fail("retry_budget", "%.0f repeats in %s at %s, bound %.0f", most, retryWindow, service, retryRatio*requests+retryExtra)
		}
	}
}

// checkOrders checks that one holder at a time gives orders.
func (j *judgement) checkOrders() {
	holders := make(map[int64]string)
	var all []platformtest.ExecutedOrder
	for i := range j.backEnds {
		all = append(all, j.backEnds[i].orders...)
	}
	slices.SortFunc(all, func(a, b platformtest.ExecutedOrder) int {
		return cmp.Or(cmp.Compare(a.FencingToken, b.FencingToken), a.At.Compare(b.At))
	})
	for i, order := range all {
		if holder, known := holders[order.FencingToken]; known && holder != order.Instance {
			j.fail("one_holder", "%s and %s gave orders with the number %d", holder, order.Instance, order.FencingToken)
		}
		holders[order.FencingToken] = order.Instance
		if i == 0 || all[i-1].Instance == order.Instance {
			continue
		}
		if gap := order.At.Sub(all[i-1].At); gap < leaseTime && j.isCalm(order.Instance, order.At, order.At) && j.isCalm(all[i-1].Instance, all[i-1].At, all[i-1].At) {
			j.fail("one_holder", "%s gave an order %s after %s", order.Instance, gap, all[i-1].Instance)
		}
	}
}

// checkTable checks that changes of the table are in force in time and stay so.
func (j *judgement) checkTable() {
	for i := range j.calls {
		c := &j.calls[i]
		if c.kind != probe || c.status == 0 || !j.isCalm(c.instance, c.sentAt, c.endedAt) {
			continue
		}
		// The tables that may be in force when the call is matched.
		mayServe, mayRefuse := j.allowed(c)
		refused := c.status == 401 || c.status == 404
		switch {
		case c.status == 200 && !mayServe:
			j.fail("table_in_time", "%s %s was served at %s by a table that is out of force", c.path, c.id, c.instance)
		case refused && !mayRefuse:
			j.fail("table_in_time", "%s %s got %d at %s by a table that is out of force", c.path, c.id, c.status, c.instance)
		}
	}
}

// allowed reports whether a table that may be in force at the time of a call
// serves it, and whether one refuses it.
func (j *judgement) allowed(c *call) (mayServe, mayRefuse bool) {
	serves := func(e *edit) bool {
		return (!strings.HasPrefix(c.path, addedPath) || slices.Contains(e.paths, addedPath)) && slices.Contains(e.keys, c.key)
	}
	current := edit{keys: []string{platformtest.APIKey}}
	for i := range j.edits {
		e := &j.edits[i]
		if e.at.After(c.endedAt) {
			break
		}
		if e.at.Add(tableTime).After(c.sentAt) {
			mayServe, mayRefuse = mayServe || serves(&current), mayRefuse || !serves(&current)
		}
		current = *e
	}
	return mayServe || serves(&current), mayRefuse || !serves(&current)
}

// checkCalm checks that service is back after all faults.
func (j *judgement) checkCalm() {
	served, asked := 0, 0
	for i := range j.calls {
		c := &j.calls[i]
		if c.sentAt.Before(j.calmFrom) || c.endedAt.After(j.calmUntil) || c.kind == probe || c.status == 429 || c.gaveUp {
			continue
		}
		asked++
		if c.status == 200 && c.whole {
			served++
		}
	}
	if asked == 0 {
		j.fail("recovery", "no call after the faults")
		return
	}
	j.report.CalmServed = float64(served) / float64(asked)
	if j.report.CalmServed < calmShare {
		j.fail("recovery", "%d of %d calls served after the faults", served, asked)
	}
}
