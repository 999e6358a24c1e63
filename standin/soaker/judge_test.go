package soaker

import (
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

// at returns a moment of the fabricated history.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// served returns a call that was served with its run.
func served(id string, k kind, seconds float64) (call, platformtest.Execution) {
	c := call{
		id: id, kind: k, path: platformtest.IdempotentPath, key: platformtest.APIKey, instance: "node-0",
		sentAt: at(seconds), endedAt: at(seconds + 0.1), status: 200, body: platformtest.PlainResponseBody(id), whole: true,
	}
	if k == notes || k == advice {
		c.body, c.events = "", []int{1, 2, 3, 4, 5, 6}
	}
	return c, platformtest.Execution{ID: id, Header: http.Header{}, At: at(seconds + 0.05)}
}

// sound returns a history in which nothing is broken.
func sound() *history {
	h := newHistory()
	h.calmFrom, h.calmUntil = at(100), at(110)
	h.backEnds = []backEnd{{id: "i-c", life: "i-c/1", zone: "za", service: platformtest.PlainService}}
	h.add("1", order, 10)
	h.add("2", lookUp, 105)
	return h
}

// add adds a served call.
func (h *history) add(id string, k kind, seconds float64) *call {
	c, run := served(id, k, seconds)
	h.calls = append(h.calls, c)
	h.backEnds[0].runs = append(h.backEnds[0].runs, run)
	h.backEnds[0].arrivals = append(h.backEnds[0].arrivals, platformtest.Arrival{ID: id, At: run.At})
	return &h.calls[len(h.calls)-1]
}

func (h *history) addOrder(holder string, fence int64, seconds float64) {
	h.backEnds[0].orders = append(h.backEnds[0].orders, platformtest.ExecutedOrder{Instance: holder, FencingToken: fence, At: at(seconds)})
}

var _ = Describe("The judge", func() {
	It("finds nothing in a sound history", func() {
		Expect(judge(sound()).Violations).To(BeEmpty())
	})

	DescribeTable("finds a deliberate fault",
		func(check string, spoil func(*history)) {
			h := sound()
			spoil(h)
			Expect(judge(h).Broken).To(HaveKey(check))
		},
		Entry("an order that ran twice", "at_most_once", func(h *history) {
			h.backEnds[0].runs = append(h.backEnds[0].runs, h.backEnds[0].runs[0])
		}),
		Entry("a refusal of an order that ran", "true_refusals", func(h *history) { h.calls[0].status = 503 }),
		Entry("an answer to another call", "own_answers", func(h *history) { h.calls[0].body = platformtest.PlainResponseBody("9") }),
		Entry("a stream that lacks an event", "whole_answers", func(h *history) { h.add("3", notes, 20).events = []int{1, 3, 4, 5, 6} }),
		Entry("a stream that looks complete too early", "whole_answers", func(h *history) { h.add("3", advice, 20).events = []int{1, 2} }),
		Entry("events of another call", "own_answers", func(h *history) {
			h.add("3", advice, 20).body = "data: token 1 of 4\ndata: token 2 of 4\n"
		}),
		Entry("an answer after the route's limit", "answered_in_time", func(h *history) { h.calls[0].endedAt = at(13) }),
		Entry("a call cut by a planned stop", "planned_stop", func(h *history) {
			c := h.add("3", order, 20)
			c.status, c.endedAt = 0, at(21)
			h.stop("node-0", span{at(19), at(27)})
		}),
		Entry("more weights than an engine holds", "memory", func(h *history) { h.backEnds[0].faults = []string{"too much"} }),
		Entry("a key that went upstream", "keys", func(h *history) {
			h.backEnds[0].runs[0].Header.Set("Authorization", "Bearer x")
		}),
		Entry("work for a back end that leaves", "draining", func(h *history) { h.leave("i-c/1", at(7)) }),
		Entry("work for a zone out of service", "zone_out", func(h *history) { h.zoneOut("za", span{at(4), at(12)}) }),
		Entry("use beyond a limit", "limit", func(h *history) {
			for i := range 1000 {
				h.add(string(rune('a'+i)), lookUp, 20+float64(i)/200)
			}
		}),
		Entry("too many repeats", "retry_budget", func(h *history) {
			for range 80 {
				h.backEnds[0].arrivals = append(h.backEnds[0].arrivals, h.backEnds[0].arrivals[0])
			}
		}),
		Entry("two holders with one number", "one_holder", func(h *history) {
			h.addOrder("node-0", 4, 20)
			h.addOrder("node-1", 4, 30)
		}),
		Entry("two holders within a lease", "one_holder", func(h *history) {
			h.addOrder("node-0", 4, 20)
			h.addOrder("node-1", 5, 21)
		}),
		Entry("a key that was withdrawn long ago", "table_in_time", func(h *history) {
			h.addEdit(edit{at: at(10), keys: []string{platformtest.APIKey}})
			c := h.add("3", probe, 20)
			c.key = withdrawnKey
		}),
		Entry("a route that was added long ago", "table_in_time", func(h *history) {
			h.addEdit(edit{at: at(10), paths: []string{addedPath}, keys: []string{platformtest.APIKey}})
			c := h.add("3", probe, 20)
			c.path, c.status = addedPath+"3", 404
		}),
		Entry("service that does not come back", "recovery", func(h *history) { h.calls[1].status = 503 }),
	)

	It("excuses an instance that was cut off from the store", func() {
		h := sound()
		h.backEnds[0].runs = h.backEnds[0].runs[:1]
		h.leave("i-c/1", at(7))
		Expect(judge(h).Broken).To(HaveKey("draining"))
		h.disturb("node-0", at(8), at(9))
		Expect(judge(h).Broken).NotTo(HaveKey("draining"))
	})
})
