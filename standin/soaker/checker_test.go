package soaker

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

func TestSoaker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soaker")
}

var start = time.Unix(1_000_000, 0)

// at returns a time in the synthetic history.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// served returns a successful call and its execution.
func served(id string, k callKind, seconds float64) (call, platformtest.Execution) {
	c := call{
		id: id, chain: id, kind: k, path: platformtest.IdempotentPath, key: platformtest.APIKey, instance: "node-0",
		sentAt: at(seconds), writtenAt: at(seconds), endedAt: at(seconds + 0.1), status: 200, body: platformtest.PlainResponseBody(id), isComplete: true,
	}
	if k.isStream() && !k.isLong() {
		c.body, c.events = "", []int{1, 2, 3, 4, 5, 6}
	}
	return c, platformtest.Execution{ID: id, Header: http.Header{}, At: at(seconds + 0.05)}
}

// validHistory returns a history without violations.
func validHistory() *history {
	h := newHistory()
	h.baseline, h.recovery = interval{at(9), at(11)}, interval{at(100), at(110)}
	h.limitRate = limitRate
	h.upstreams = []upstream{{id: "i-c", incarnation: "i-c/1", zone: "za", service: platformtest.PlainService}}
	h.add("1", order, 10)
	h.add("2", lookUp, 105)
	return h
}

// add adds a successful call and its execution.
func (h *history) add(id string, k callKind, seconds float64) *call {
	c, run := served(id, k, seconds)
	h.calls = append(h.calls, c)
	h.upstreams[0].runs = append(h.upstreams[0].runs, run)
	h.upstreams[0].arrivals = append(h.upstreams[0].arrivals, platformtest.Arrival{ID: id, At: run.At})
	return &h.calls[len(h.calls)-1]
}

// lastRun returns the execution that was added last.
func (h *history) lastRun() *platformtest.Execution {
	return &h.upstreams[0].runs[len(h.upstreams[0].runs)-1]
}

// addCutStream adds a long stream that the instance has cut.
func (h *history) addCutStream(sent, cut float64) *call {
	c := h.add(fmt.Sprint("cut-", sent), guide, sent)
	c.endedAt, c.isComplete, c.body, c.events = at(cut), false, "", []int{1, 2}
	run := &h.upstreams[0].runs[len(h.upstreams[0].runs)-1]
	run.End, run.EndedAt = platformtest.Canceled, at(cut)
	return c
}

func (h *history) addOrder(leader string, fencingToken int64, seconds float64) {
	h.upstreams[0].orders = append(h.upstreams[0].orders, platformtest.ExecutedOrder{Instance: leader, FencingToken: fencingToken, At: at(seconds)})
}

var _ = Describe("The checker", func() {
	It("finds no violations in a valid history", func() {
		Expect(checkHistory(validHistory()).Violations).To(BeEmpty())
	})

	DescribeTable("finds an injected violation",
		func(check string, injectViolation func(*history)) {
			h := validHistory()
			injectViolation(h)
			Expect(checkHistory(h).Broken).To(HaveKey(check))
		},
		Entry("an order that ran twice", "at_most_once", func(h *history) {
			h.upstreams[0].runs = append(h.upstreams[0].runs, h.upstreams[0].runs[0])
		}),
		Entry("an upstream that gets more than the rate limit that it names allows", "rate_limit", func(h *history) {
			h.addRateLimit(rateLimit{interval: interval{at(20), at(30)}, incarnation: "i-c/1", perSecond: 1})
			for n := range 12 {
				h.add(fmt.Sprint("limited-", n), lookUp, 24+float64(n)/4)
			}
		}),
		Entry("an order that was executed and refused", "true_refusals", func(h *history) { h.calls[0].status = 503 }),
		Entry("a response to another call", "own_answers", func(h *history) { h.calls[0].body = platformtest.PlainResponseBody("9") }),
		Entry("a stream with a missing event", "whole_answers", func(h *history) { h.add("3", notes, 20).events = []int{1, 3, 4, 5, 6} }),
		Entry("a short stream that is marked complete", "whole_answers", func(h *history) { h.add("3", advice, 20).events = []int{1, 2} }),
		Entry("events of another call", "own_answers", func(h *history) {
			h.add("3", advice, 20).body = "data: token 1 of 4\ndata: token 2 of 4\n"
		}),
		Entry("a response after the route's timeout", "answered_in_time", func(h *history) { h.calls[0].endedAt = at(13) }),
		Entry("a call aborted by a planned stop", "planned_stop", func(h *history) {
			c := h.add("3", order, 20)
			c.status, c.isComplete, c.endedAt = 0, false, at(21)
			h.addPlannedStop("node-0", interval{at(19), at(27)})
		}),
		Entry("a paced stream that a planned stop cuts after its first events", "planned_stop", func(h *history) {
			h.addCutStream(22.1, 26.8).kind = paced
			h.addPlannedStop("node-0", interval{at(19), at(27)})
		}),
		Entry("a stream that a planned stop cuts after its first events", "planned_stop", func(h *history) {
			h.addCutStream(20, 22)
			h.addPlannedStop("node-0", interval{at(19), at(27)})
		}),
		Entry("a stream that a planned stop cuts at its end, though it came late", "planned_stop", func(h *history) {
			h.addCutStream(22.5, 26)
			h.addPlannedStop("node-0", interval{at(19), at(27)})
		}),
		Entry("a stream that a planned stop cuts at its end, though the end of its request came late", "planned_stop", func(h *history) {
			h.addCutStream(21.5, 26.5).writtenAt = at(22.1)
			h.addPlannedStop("node-0", interval{at(19), at(27)})
		}),
		Entry("a stream that a planned stop cuts after the upstream has sent all of it", "planned_stop", func(h *history) {
			h.addCutStream(20, 22)
			h.lastRun().End = platformtest.Completed
			h.addPlannedStop("node-0", interval{at(19), at(27)})
		}),
		Entry("a stream that a planned stop cuts at its end, though its upstream was done before", "planned_stop", func(h *history) {
			h.addCutStream(21, 26.5)
			h.lastRun().End, h.lastRun().EndedAt = platformtest.Completed, at(25)
			h.addPlannedStop("node-0", interval{at(19), at(27)})
		}),
		Entry("a stream that is cut at its end long after it was sent, before its route's timeout", "planned_stop", func(h *history) {
			h.addCutStream(13, 24.5)
			h.addPlannedStop("node-0", interval{at(19), at(27)})
		}),
		Entry("a stream that goes on after its first upstream broke off, and is cut", "planned_stop", func(h *history) {
			c := h.addCutStream(20, 23)
			first := *h.lastRun()
			first.At, first.End = c.sentAt, platformtest.BrokenOff
			h.upstreams[0].runs = append(h.upstreams[0].runs, first)
			h.addPlannedStop("node-0", interval{at(19), at(27)})
		}),
		Entry("a call that has run and gets no answer at once", "planned_stop", func(h *history) {
			c := h.add("3", order, 20)
			c.status, c.isComplete, c.endedAt = 0, false, at(20.1)
			h.addPlannedStop("node-0", interval{at(19), at(27)})
		}),
		Entry("a call that has not run and gets no answer", "planned_stop", func(h *history) {
			c := h.add("3", order, 20)
			h.upstreams[0].runs = h.upstreams[0].runs[:2]
			c.status, c.isComplete, c.endedAt = 0, false, at(20.3)
			h.addPlannedStop("node-0", interval{at(19), at(27)})
		}),
		Entry("an attempt that has run and gets no answer, and that the transport repeats", "planned_stop", func(h *history) {
			h.add("3", lookUp, 20).dropped = []drop{{at(20), at(20.06)}}
			h.addPlannedStop("node-0", interval{at(19), at(27)})
		}),
		Entry("a rejection that ends before its body does", "planned_stop", func(h *history) {
			c := h.add("3", lookUp, 20)
			c.status, c.isComplete = 503, false
			h.addPlannedStop("node-0", interval{at(19), at(27)})
		}),
		Entry("a stream that is cut up to a second after the grace period", "planned_stop", func(h *history) {
			h.addCutStream(27.5, 27.8)
			h.addPlannedStop("node-0", interval{at(19), at(27)})
		}),
		Entry("a stream to an instance that was restarted shortly before its next stop", "planned_stop", func(h *history) {
			h.addPlannedStop("node-0", interval{at(9), at(17.5)})
			h.addPlannedStop("node-0", interval{at(19), at(27)})
			h.addCutStream(19.5, 21)
		}),
		Entry("a stream that is cut in a stop, seconds after another fault of its instance", "planned_stop", func(h *history) {
			h.addInstanceFault("node-0", at(16), at(17.5))
			h.addPlannedStop("node-0", interval{at(18), at(26)})
			h.addCutStream(21.5, 25.9)
		}),
		Entry("a stream that is cut in a stop, before another fault of its instance", "planned_stop", func(h *history) {
			h.addPlannedStop("node-0", interval{at(19), at(27)})
			h.addCutStream(19.5, 21)
			h.addInstanceFault("node-0", at(22), at(23))
		}),
		Entry("a stream to an instance that was restarted soon after SIGTERM", "planned_stop", func(h *history) {
			h.addPlannedStop("node-0", interval{at(19), at(21)})
			h.addCutStream(21.5, 26)
		}),
		Entry("a stream that the second of two stops cuts too early", "planned_stop", func(h *history) {
			h.addPlannedStop("node-0", interval{at(19), at(21)})
			h.addPlannedStop("node-0", interval{at(22), at(30)})
			h.addCutStream(21.5, 26)
		}),
		Entry("a stream that is cut after SIGHUP", "planned_reload", func(h *history) {
			h.addReload("node-0", at(19))
			h.addCutStream(20.9, 27)
		}),
		Entry("a call that gets no answer after SIGHUP", "planned_reload", func(h *history) {
			h.addReload("node-0", at(20.05))
			c := h.add("3", order, 20)
			c.status, c.isComplete = 0, false
		}),
		Entry("a stream that is cut beside a change of the table", "planned_edit", func(h *history) {
			h.addEdit(edit{at: at(20), keys: []string{platformtest.APIKey}})
			h.addCutStream(19, 22.9)
		}),
		Entry("streams that are cut beside a change of the table more often than at other times", "planned_edit", func(h *history) {
			h.addEdit(edit{at: at(20), keys: []string{platformtest.APIKey}})
			h.addCutStream(19, 22.9)
			h.addCutStream(60, 61)
		}),
		Entry("streams with events of two software versions in one response", "one_version", func(h *history) {
			for n := range 3 {
				h.add(fmt.Sprint("mixed-", n), advice, 20).versions = []string{"v1", "v2"}
			}
		}),
		Entry("streams that callers took up at another software version", "one_version", func(h *history) {
			for n := range 3 {
				first := h.add(fmt.Sprint("begun-", n), advice, 20)
				first.versions, first.isComplete, first.events = []string{"v1"}, false, []int{1, 2}
				second := h.add(fmt.Sprint("taken-up-", n), advice, 21)
				second.versions, second.chain, second.firstEvent, second.events = []string{"v2"}, fmt.Sprint("begun-", n), 3, []int{3, 4, 5, 6}
			}
		}),
		Entry("weights that exceed an engine's memory", "memory", func(h *history) { h.upstreams[0].faults = []string{"too much"} }),
		Entry("an instance that uses too much memory", "instance_memory", func(h *history) { h.addMemory("node-0", maxResidentMB+1) }),
		Entry("an instance that ends by itself", "instance_memory", func(h *history) { h.addExit("node-0: exit status 2") }),
		Entry("credentials forwarded to an upstream", "keys", func(h *history) {
			h.upstreams[0].runs[0].Header.Set("Authorization", "Bearer x")
		}),
		Entry("a request to a draining upstream", "draining", func(h *history) { h.addDrain("i-c/1", at(7)) }),
		Entry("a request to a zone out of service", "zone_out", func(h *history) { h.addZoneOutage("za", interval{at(4), at(12)}) }),
		Entry("usage above a limit", "limit", func(h *history) {
			for i := range 1000 {
				h.add(string(rune('a'+i)), lookUp, 20+float64(i)/200)
			}
		}),
		Entry("requests to an upstream that fails at all of them", "outlier", func(h *history) {
			for n := range 20 {
				h.add(fmt.Sprint("failed-", n), lookUp, 20+float64(n)/5).status = 502
			}
			h.addBroken(brokenUpstream{incarnation: "i-c/1", interval: interval{at(18), at(25)}})
		}),
		Entry("too many retries", "retry_budget", func(h *history) {
			for range 80 {
				h.upstreams[0].arrivals = append(h.upstreams[0].arrivals, h.upstreams[0].arrivals[0])
			}
		}),
		Entry("two leaders with the same fencing token", "one_holder", func(h *history) {
			h.addOrder("node-0", 4, 20)
			h.addOrder("node-1", 4, 30)
		}),
		Entry("two leaders within one lease", "one_holder", func(h *history) {
			h.addOrder("node-0", 4, 20)
			h.addOrder("node-1", 5, 21)
		}),
		Entry("a withdrawn key that is accepted after the time limit", "table_in_time", func(h *history) {
			h.addEdit(edit{at: at(10), keys: []string{platformtest.APIKey}})
			c := h.add("3", probe, 20)
			c.key = toggledKey
		}),
		Entry("an added route that is missing after the time limit", "table_in_time", func(h *history) {
			h.addEdit(edit{at: at(10), paths: []string{toggledPath}, keys: []string{platformtest.APIKey}})
			c := h.add("3", probe, 20)
			c.path, c.status = toggledPath+"3", 404
		}),
		Entry("a service that does not bear its load without faults", "baseline", func(h *history) { h.calls[0].status = 503 }),
		Entry("a service that does not recover", "recovery", func(h *history) { h.calls[1].status = 503 }),
	)

	It("excuses streams that came early and were cut in the last sixth of the grace period, and those that upstreams broke off", func() {
		h := validHistory()
		h.addPlannedStop("node-0", interval{at(19), at(27)})
		h.addCutStream(21, 26)
		h.addCutStream(20, 22)
		h.upstreams[0].runs[len(h.upstreams[0].runs)-1].End = platformtest.BrokenOff
		Expect(checkHistory(h).Violations).To(BeEmpty())
	})

	It("excuses a call without a response at the end of the grace period only if an upstream may be at work on it", func() {
		h := validHistory()
		h.addPlannedStop("node-0", interval{at(19), at(27)})
		c := h.addCutStream(15, 26.3)
		c.status = 0
		Expect(checkHistory(h).Violations).To(BeEmpty())
		h.upstreams[0].runs = h.upstreams[0].runs[:len(h.upstreams[0].runs)-1]
		Expect(checkHistory(h).Broken).To(HaveKey("planned_stop"))
		h.upstreams = append(h.upstreams, upstream{id: "i-m", service: platformtest.ModelService})
		h.addLinkDisruption("i-c", at(16), at(20))
		Expect(checkHistory(h).Broken).To(HaveKey("planned_stop"))
		h.addLinkDisruption("i-m", at(16), at(20))
		Expect(checkHistory(h).Violations).To(BeEmpty())
	})

	DescribeTable("excuses cuts that the operators' rules for planned work do not count",
		func(addCut func(*history)) {
			h := validHistory()
			h.addPlannedStop("node-0", interval{at(19), at(27)})
			h.addReload("node-0", at(40))
			h.addEdit(edit{at: at(50), keys: []string{platformtest.APIKey}})
			addCut(h)
			Expect(checkHistory(h).Violations).To(BeEmpty())
		},
		Entry("a stream that its instance cuts shortly after an unplanned fault", func(h *history) {
			h.addCutStream(20, 22)
			h.addInstanceFault("node-0", at(17), at(17.5))
		}),
		Entry("a stream that the second of two stops cuts at its end", func(h *history) {
			h.addPlannedStop("node-0", interval{at(30), at(31)})
			h.addPlannedStop("node-0", interval{at(32), at(40)})
			h.addCutStream(31.5, 39.85)
		}),
		Entry("a stream that ends at its route's timeout", func(h *history) { h.addCutStream(12, 24) }),
		Entry("a request that crosses the close of its connection and has not run", func(h *history) {
			c := h.add("3", order, 20)
			h.upstreams[0].runs = h.upstreams[0].runs[:2]
			c.status, c.isComplete, c.endedAt = 0, false, at(20.19)
		}),
		Entry("a request that was not sent to its end and has not run", func(h *history) {
			c := h.add("3", order, 20)
			h.upstreams[0].runs = h.upstreams[0].runs[:2]
			c.status, c.isComplete, c.writtenAt, c.endedAt = 0, false, time.Time{}, at(22)
		}),
		Entry("a stream that was sent later than two seconds after SIGHUP", func(h *history) { h.addCutStream(42.1, 43) }),
		Entry("a stream that has used most of its time beside a change of the table", func(h *history) { h.addCutStream(43, 52) }),
		Entry("streams that are cut as often beside a change of the table as at other times", func(h *history) {
			h.addCutStream(50.5, 51)
			for n := range 20 {
				h.addCutStream(60+float64(n), 61+float64(n))
			}
		}),
	)

	It("excuses streams whose upstream's connections were closed on the way", func() {
		h := validHistory()
		h.addPlannedStop("node-0", interval{at(19), at(27)})
		h.addCutStream(20, 22)
		h.addLinkFault("i-x", at(21), at(23))
		Expect(checkHistory(h).Broken).To(HaveKey("planned_stop"))
		h.addLinkFault("i-c", at(21), at(23))
		Expect(checkHistory(h).Violations).To(BeEmpty())
	})

	It("excuses requests to an upstream that fails while its responses do not arrive", func() {
		h := validHistory()
		for n := range 20 {
			h.add(fmt.Sprint("failed-", n), lookUp, 20+float64(n)/5).status = 502
		}
		h.addBroken(brokenUpstream{incarnation: "i-c/1", interval: interval{at(18), at(25)}})
		h.addSilentLink("i-d", at(19.5), at(24))
		h.addSilentLink("i-c", at(17), at(20.5))
		Expect(checkHistory(h).Broken).To(HaveKey("outlier"))
		h.addSilentLink("i-c", at(20.5), at(24))
		Expect(checkHistory(h).Violations).To(BeEmpty())
	})

	It("ignores violations of an instance that was disconnected from the other instances", func() {
		h := validHistory()
		h.upstreams[0].runs = h.upstreams[0].runs[:1]
		h.addDrain("i-c/1", at(7))
		Expect(checkHistory(h).Broken).To(HaveKey("draining"))
		h.addInstanceFault("node-0", at(8), at(9))
		Expect(checkHistory(h).Broken).NotTo(HaveKey("draining"))
	})

	// Guards against an instance that knows only what it reads from the store itself.
	It("finds violations of an instance that only the store was cut off from, while another one could tell it", func() {
		h := validHistory()
		h.addDrain("i-c/1", at(7))
		h.addStoreLinkFault("node-0", at(8), at(9))
		h.upstreams[0].runs = h.upstreams[0].runs[:1]
		Expect(checkHistory(h).Broken).NotTo(HaveKey("draining"))
		h.add("3", lookUp, 106).instance = "node-1"
		h.upstreams[0].runs = h.upstreams[0].runs[:1]
		Expect(checkHistory(h).Broken).To(HaveKey("draining"))
	})
})
