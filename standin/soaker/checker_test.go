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
		sentAt: at(seconds), endedAt: at(seconds + 0.1), status: 200, body: platformtest.PlainResponseBody(id), isComplete: true,
	}
	if k == notes || k == advice {
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
			c.status, c.endedAt = 0, at(21)
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
		h.addLinkDisruption(at(16), at(20))
		Expect(checkHistory(h).Violations).To(BeEmpty())
	})

	It("excuses streams whose upstream's connections were closed on the way", func() {
		h := validHistory()
		h.addPlannedStop("node-0", interval{at(19), at(27)})
		h.addCutStream(20, 22)
		h.addLinkFault("i-x", at(21), at(23))
		Expect(checkHistory(h).Broken).To(HaveKey("planned_stop"))
		h.addLinkFault("i-c", at(21), at(23))
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
