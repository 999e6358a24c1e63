package soaker

import (
	"fmt"
	"slices"
	"strings"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

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
		if c.kind.timeLimit() == longRequestTimeout {
			limit = longResponseTimeLimit
		}
		if duration > limit && !c.refused && j.isStable(c.instance, c.sentAt, c.endedAt) {
			j.fail("answered_in_time", "%s %s took %s at %s", c.kind, c.id, duration, c.instance)
		}
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
	versions := make(map[string][]string)
	var mixed []string
	for i := range j.calls {
		c := &j.calls[i]
		j.countStream(c)
		known := versions[c.chain]
		for _, version := range c.versions {
			if !slices.Contains(known, version) {
				known = append(known, version)
			}
		}
		if len(known) > 1 && len(versions[c.chain]) <= 1 {
			mixed = append(mixed, c.describeMix())
		}
		versions[c.chain] = known
	}
	j.result.Mixed = len(mixed)
	if len(mixed) > maxMixedStreams {
		j.fail("one_version", "streams with events of two software versions: %s", strings.Join(mixed, ", "))
	}
}

// describeMix tells whether the instance or the caller joined the versions of a stream.
func (c *call) describeMix() string {
	if len(c.versions) > 1 {
		return fmt.Sprintf("%s (in one response of %s)", c.id, c.instance)
	}
	return fmt.Sprintf("%s (taken up as %s after event %d at %s)", c.chain, c.id, c.firstEvent-1, c.instance)
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
		j.result.TakenUpStatuses[c.status]++
		j.result.TakenUpServed += isServed
	default:
		j.result.Begun++
		j.result.BegunServed += isServed
	}
}
