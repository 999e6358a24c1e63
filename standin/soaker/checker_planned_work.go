package soaker

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// cut is the end of a connection without a complete response, of a call or of an attempt that
// the transport repeated.
type cut struct {
	*call
	// writtenAt is when the last byte of the request was sent, or zero.
	writtenAt time.Time
	endedAt   time.Time
	// lastRun is the last execution of the request before the end and lastUpstream the ID of the
	// upstream that executed it. It is nil if there was none.
	lastRun      *platformtest.Execution
	lastUpstream string
}

// checkPlannedWork checks that requests are not lost around planned work: a graceful shutdown of
// their instance, its SIGHUP, or a change of the table.
func (j *checker) checkPlannedWork() {
	edits := newEditCuts(j.history)
	for i := range j.calls {
		for _, ended := range j.cuts(&j.calls[i]) {
			if j.isLost(&ended) && !hasOverlap(j.instanceFaults[ended.instance], ended.sentAt.Add(-stabilizationTime), ended.endedAt) {
				j.checkCut(&ended, edits)
			}
		}
	}
	j.checkEditCuts(edits)
}

// checkCut checks a lost request of an instance without unplanned faults.
func (j *checker) checkCut(ended *cut, edits *editCuts) {
	if stop, isStopping := j.lastStop(ended); isStopping {
		if !j.isExcusedByStop(ended, stop) {
			j.fail("planned_stop", "%s", ended.describe("SIGTERM", stop.from))
		}
		return
	}
	for _, reload := range j.reloads[ended.instance] {
		if !ended.sentAt.After(reload.Add(reloadTimeLimit)) && ended.endedAt.After(reload) {
			j.fail("planned_reload", "%s", ended.describe("SIGHUP", reload))
			return
		}
	}
	edits.add(ended)
}

// lastStop returns the last planned stop of the instance before the cut, and whether the cut
// belongs to it.
func (j *checker) lastStop(ended *cut) (interval, bool) {
	var last interval
	for _, stop := range j.plannedStops[ended.instance] {
		if !stop.from.After(ended.endedAt) && stop.from.After(last.from) {
			last = stop
		}
	}
	return last, !ended.endedAt.After(last.from.Add(stopGrace + stopSlack))
}

// cuts returns the ends of a call's connections without a complete response.
func (j *checker) cuts(c *call) []cut {
	var ends []cut
	for _, attempt := range c.dropped {
		ends = append(ends, j.newCut(c, attempt.writtenAt, attempt.endedAt))
	}
	if !c.isComplete && !c.refused && !c.canceled {
		ends = append(ends, j.newCut(c, c.writtenAt, c.endedAt))
	}
	return ends
}

func (j *checker) newCut(c *call, writtenAt, endedAt time.Time) cut {
	ended := cut{call: c, writtenAt: writtenAt, endedAt: endedAt}
	runs, at := j.runs[c.id], j.runAt[c.id]
	for i := range runs {
		isLater := ended.lastRun == nil || runs[i].At.After(ended.lastRun.At)
		if !runs[i].At.After(endedAt) && isLater {
			ended.lastRun, ended.lastUpstream = &runs[i], at[i]
		}
	}
	return ended
}

// isLost reports whether an instance must have read a whole request and ended its connection
// without a complete response, and no upstream, link or timeout was the reason.
func (j *checker) isLost(ended *cut) bool {
	if ended.endedAt.Sub(ended.sentAt) >= ended.kind.timeLimit() {
		return false
	}
	if ended.lastRun == nil {
		return !ended.writtenAt.IsZero() && ended.endedAt.Sub(ended.writtenAt) > requestReadTime
	}
	if ended.lastRun.End == platformtest.BrokenOff {
		return false
	}
	// A link that refuses connections closes the open ones: both ends see that of the other.
	if hasOverlap(j.linkFaults[ended.lastUpstream], ended.lastRun.At, ended.endedAt) {
		return false
	}
	// An upstream at the other end of a disrupted link does not see the end of the connection.
	return ended.lastRun.End == platformtest.Canceled || !hasOverlap(j.linkDisruptions[ended.lastUpstream], ended.lastRun.At, ended.endedAt)
}

// isExcusedByStop reports whether an upstream was still at work in the last sixth of the grace
// period on a request that was sent soon after SIGTERM, and not to the restarted instance.
func (j *checker) isExcusedByStop(ended *cut, stop interval) bool {
	if ended.writtenAt.Sub(stop.from) > excusedSendTime || ended.endedAt.Sub(stop.from) < excusedCutTime || !ended.sentAt.Before(stop.until) {
		return false
	}
	if ended.lastRun == nil {
		return j.mayBeUndelivered(ended)
	}
	isRunning := ended.lastRun.End == platformtest.Running || !ended.lastRun.EndedAt.Before(ended.endedAt.Add(-closeTime))
	return isRunning || hasOverlap(j.linkDisruptions[ended.lastUpstream], ended.sentAt, ended.endedAt)
}

// mayBeUndelivered reports whether a request may have been passed on over a disrupted link, to an
// upstream that it has not reached.
func (j *checker) mayBeUndelivered(ended *cut) bool {
	return slices.ContainsFunc(j.upstreams, func(u upstream) bool {
		return u.service == ended.kind.service() && hasOverlap(j.linkDisruptions[u.id], ended.sentAt, ended.endedAt)
	})
}

// service returns the service of a call's route.
func (k callKind) service() string {
	switch {
	case k == paced:
		return platformtest.PacedService
	case k.isStream():
		return platformtest.ModelService
	}
	return platformtest.PlainService
}

// describe tells when a request was sent after an event, and when it was cut.
func (c *cut) describe(event string, at time.Time) string {
	upstream := "no upstream"
	if c.lastRun != nil {
		upstream = c.lastUpstream
	}
	return fmt.Sprintf("%s %s, sent %s and to its last byte %s after %s, was cut by %s after %s with status %d and %d events, executed by %s",
		c.kind, c.id, c.sentAt.Sub(at), c.writtenAt.Sub(at), event, c.instance, c.endedAt.Sub(c.sentAt), c.status, len(c.events), upstream)
}

// timeLimit returns the timeout of a call's route, which is not longer than the one that its
// request names.
func (k callKind) timeLimit() time.Duration {
	if k.isLong() || k == paced {
		return longRequestTimeout
	}
	return routeTimeout
}

// editCuts counts the cuts of each instance beside changes of the table and at other times.
type editCuts struct {
	windows []interval
	beside  map[string][]*cut
	others  map[string]int
}

func newEditCuts(h *history) *editCuts {
	e := &editCuts{beside: make(map[string][]*cut), others: make(map[string]int)}
	for i := range h.edits {
		// The store acknowledges a change at once.
		e.windows = append(e.windows, interval{h.edits[i].at, h.edits[i].at.Add(tableTimeLimit + editSlack)})
	}
	return e
}

func (e *editCuts) add(ended *cut) {
	if !ended.editedAt(e).IsZero() {
		e.beside[ended.instance] = append(e.beside[ended.instance], ended)
		return
	}
	e.others[ended.instance]++
}

// editedAt returns when the table was changed beside the cut, or zero.
func (c *cut) editedAt(e *editCuts) time.Time {
	for _, w := range e.windows {
		if w.overlaps(c.endedAt, c.endedAt.Add(1)) {
			return w.from
		}
	}
	return time.Time{}
}

// checkEditCuts checks that instances do not cut requests more often beside changes of the table
// than at other times.
func (j *checker) checkEditCuts(edits *editCuts) {
	if len(j.calls) == 0 {
		return
	}
	total := j.calls[len(j.calls)-1].endedAt.Sub(j.calls[0].sentAt)
	beside := coveredTime(edits.windows)
	for instance, cuts := range edits.beside {
		if float64(len(cuts))*(total-beside).Seconds() <= maxEditCutRatio*float64(edits.others[instance])*beside.Seconds() {
			continue
		}
		for _, ended := range cuts {
			if ended.endedAt.Sub(ended.sentAt) < time.Duration(maxUsedShare*float64(ended.kind.timeLimit())) {
				j.fail("planned_edit", "%s", ended.describe("a change of the table", ended.editedAt(edits)))
			}
		}
	}
}

// coveredTime returns the length of the union of intervals in the order of their beginnings.
func coveredTime(intervals []interval) time.Duration {
	var sum time.Duration
	var until time.Time
	for _, s := range intervals {
		from := s.from
		if until.After(from) {
			from = until
		}
		if s.until.After(from) {
			sum += s.until.Sub(from)
			until = s.until
		}
	}
	return sum
}
