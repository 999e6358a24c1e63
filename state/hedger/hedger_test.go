package hedger_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocushollow/crocushollow/state/hedger"
)

func TestHedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hedger")
}

const window = 10 * time.Second

var (
	start = time.Unix(1000, 0)
	route = hedger.Route{Name: "orders", Service: "desk"}
)

func newHedger(maxExtra float64) *hedger.Hedger { return newHedgerAt(maxExtra, 0.95) }

func newHedgerAt(maxExtra, percentile float64) *hedger.Hedger {
	return hedger.New(hedger.Config{MaxExtra: maxExtra, Percentile: percentile, Window: window, StartTime: start})
}

// learn records requests of which one in ten takes 500 ms and the others 40 ms.
func learn(h *hedger.Hedger, requests int) time.Time {
	now := start
	for i := range requests {
		now = now.Add(20 * time.Millisecond)
		h.RecordSend(route.Service, now)
		duration := 40 * time.Millisecond
		if i%10 == 9 {
			duration = 500 * time.Millisecond
		}
		h.Observe(route, duration, now)
	}
	return now
}

func repeatable() *hedger.Question {
	return &hedger.Question{Route: route, IsRepeatable: true, Attempts: 1, MaxAttempts: 2, TimeLeft: time.Second}
}

var _ = Describe("Hedger", func() {
	It("allows a hedge after the percentile of the route's own times", func() {
		h := newHedger(0.05)
		now := learn(h, 200)
		delay, isKnown := h.Delay(route, now)
		Expect(isKnown).To(BeTrue())
		Expect(delay).To(Equal(500 * time.Millisecond))
		Expect(h.Take(repeatable(), now)).To(Equal(hedger.Allowed))
	})

	It("does not allow one before twice the median", func() {
		h := newHedger(0.05)
		for range 100 {
			h.Observe(route, 40*time.Millisecond, start)
		}
		delay, _ := h.Delay(route, start)
		Expect(delay).To(Equal(80 * time.Millisecond))
	})

	It("knows no delay before it has learned, of another route, and once its times are old", func() {
		h := newHedger(0.05)
		now := learn(h, 19)
		_, isKnown := h.Delay(route, now)
		Expect(isKnown).To(BeFalse())
		now = learn(h, 200)
		_, isKnown = h.Delay(hedger.Route{Name: "orders", Service: "writer"}, now)
		Expect(isKnown).To(BeFalse())
		_, isKnown = h.Delay(route, now.Add(time.Minute))
		Expect(isKnown).To(BeFalse())
		Expect(h.Take(repeatable(), now.Add(time.Minute))).To(Equal(hedger.Unknown))
	})

	DescribeTable("denies a hedge", func(change func(*hedger.Question), cause hedger.Cause) {
		h := newHedger(0.05)
		now := learn(h, 200)
		question := repeatable()
		change(question)
		Expect(h.Take(question, now)).To(Equal(cause))
	},
		Entry("of a request that must not run twice", func(q *hedger.Question) { q.IsRepeatable = false }, hedger.NotRepeatable),
		Entry("beyond the route's attempts", func(q *hedger.Question) { q.MaxAttempts = 1 }, hedger.AttemptsUsed),
		Entry("shortly before the deadline", func(q *hedger.Question) { q.TimeLeft = 10 * time.Millisecond }, hedger.DeadlineNear),
		Entry("while requests wait for an upstream", func(q *hedger.Question) { q.HasQueue = true }, hedger.Overload),
	)

	It("allows none by default", func() {
		h := newHedger(0)
		now := learn(h, 200)
		_, isKnown := h.Delay(route, now)
		Expect(isKnown).To(BeFalse())
		Expect(h.Take(repeatable(), now)).To(Equal(hedger.Off))
	})

	It("stops at the limit of the window, and counts no hedge that was not sent", func() {
		h := newHedger(0.01)
		now := learn(h, 200)
		Expect(h.Take(repeatable(), now)).To(Equal(hedger.Allowed))
		h.Return(route.Service, now)
		Expect(h.Take(repeatable(), now)).To(Equal(hedger.Allowed))
		Expect(h.Take(repeatable(), now)).To(Equal(hedger.Allowed))
		Expect(h.Take(repeatable(), now)).To(Equal(hedger.Budget))
	})

	// Guards against hedges that double the load on upstreams that are all slow.
	It("stops while far more requests pass the delay than the percentile says", func() {
		h := newHedger(1)
		now := learn(h, 500)
		allowed := 0
		for range 500 {
			h.RecordSend(route.Service, now)
			if h.Take(repeatable(), now) == hedger.Allowed {
				allowed++
			}
		}
		Expect(allowed).To(BeNumerically("<", 50))
		Expect(h.Take(repeatable(), now)).To(Equal(hedger.Overload))
	})
})

// TestExtraBound checks that an instance's hedges stay within the limit in every window that ends
// with one of them, and those of all instances in every window that ends with any. There, each
// instance's hedges are compared with its requests in the window that ends with its own last
// hedge: when requests stop, a window that ends later has the hedges and not their requests,
// whatever decides on them.
func TestExtraBound(t *testing.T) {
	hedgesSeen := 0
	rapid.Check(t, func(t *rapid.T) {
		maxExtra := rapid.Float64Range(0.01, 0.5).Draw(t, "max_extra")
		fleet := make([]*instance, rapid.IntRange(1, 6).Draw(t, "instances"))
		for i := range fleet {
			// At a low percentile no number of late requests counts as overload.
			fleet[i] = &instance{Hedger: newHedgerAt(maxExtra, 0.3)}
		}
		now := start
		for range rapid.IntRange(100, 800).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 200).Draw(t, "lull") == 0 {
				now = now.Add(time.Duration(rapid.IntRange(0, 12000).Draw(t, "silence")) * time.Millisecond)
			}
			chosen := fleet[rapid.IntRange(0, len(fleet)-1).Draw(t, "instance")]
			if !chosen.serve(now, rapid.IntRange(0, 2).Draw(t, "asked")) {
				continue
			}
			hedgesSeen++
			var extra, requests int
			for _, member := range fleet {
				extra += inWindow(member.hedges, now)
				requests += member.requestsBeforeLastHedge(now)
			}
			if float64(extra) > maxExtra*float64(requests) {
				t.Fatalf("%d hedges of all instances, %v allowed", extra, maxExtra*float64(requests))
			}
			if own, limit := inWindow(chosen.hedges, now), maxExtra*float64(inWindow(chosen.sends, now)); float64(own) > limit {
				t.Fatalf("%d hedges of one instance, %v allowed", own, limit)
			}
		}
	})
	if hedgesSeen == 0 {
		t.Fatal("no hedge was sent")
	}
}

// instance is a hedger with the times of what was sent.
type instance struct {
	*hedger.Hedger
	sends, hedges []time.Time
}

// serve sends a request, asks for hedges a number of times, and reports whether one was sent.
func (i *instance) serve(now time.Time, asked int) bool {
	i.RecordSend(route.Service, now)
	i.Observe(route, time.Millisecond, now)
	i.sends = append(i.sends, now)
	before := len(i.hedges)
	for range asked {
		if i.Take(repeatable(), now) == hedger.Allowed {
			i.hedges = append(i.hedges, now)
		}
	}
	return len(i.hedges) > before
}

// requestsBeforeLastHedge counts the requests in the window that ends with the instance's last
// hedge, if that lies in the window that ends now.
func (i *instance) requestsBeforeLastHedge(now time.Time) int {
	if inWindow(i.hedges, now) == 0 {
		return 0
	}
	return inWindow(i.sends, i.hedges[len(i.hedges)-1])
}

// inWindow counts the times in the window that ends with the given one.
func inWindow(times []time.Time, last time.Time) int {
	count := 0
	for _, at := range times {
		if age := last.Sub(at); age >= 0 && age < window {
			count++
		}
	}
	return count
}
