package tallier_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/tallier"
)

func TestTallier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tallier")
}

const windowLength = 5 * time.Second

var start = time.Unix(1_000_000, 0)

func newTallier(name string, incarnation int) *tallier.Tallier {
	source := tallier.Source{Instance: name, Incarnation: crocushollow.Incarnation(incarnation)}
	return tallier.New(tallier.Config{Self: source, Window: windowLength, StartTime: start})
}

// delivery is a report on its way.
type delivery struct {
	from   tallier.Source
	report tallier.Report
}

var _ = Describe("Tallier", func() {
	// Guards against usage that is counted twice or not at all when heartbeats are lost,
	// doubled or late, when instances start again, and when the holder changes in every window.
	It("counts each request that was reported once, whichever instance sums up", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const instances = 4
			fleet := make([]*tallier.Tallier, instances)
			incarnations := make([]int, instances)
			for n := range fleet {
				fleet[n] = newTallier(strconv.Itoa(n), 0)
			}
			now, window := start, newTallier("", 0).WindowAt(start)
			truth := make(map[string]int64)
			var wire []delivery
			send := func(n int, receiver string) {
				source := tallier.Source{Instance: strconv.Itoa(n), Incarnation: crocushollow.Incarnation(incarnations[n])}
				for _, report := range fleet[n].Reports(receiver, now) {
					wire = append(wire, delivery{source, report})
				}
			}
			for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
				n := rapid.IntRange(0, instances-1).Draw(t, "instance")
				now = now.Add(time.Millisecond)
				switch rapid.SampledFrom([]string{"record", "record", "send", "restart"}).Draw(t, "event") {
				case "record":
					workspace := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace")
					truth[workspace]++
					fleet[n].Record(workspace, now)
				case "send":
					send(n, "holder "+strconv.Itoa(step))
				case "restart":
					// It says its last counts as it stops.
					send(n, "last "+strconv.Itoa(step))
					incarnations[n]++
					fleet[n] = newTallier(strconv.Itoa(n), incarnations[n])
				}
			}
			lasting := len(wire)
			for n := range fleet {
				send(n, "final")
			}
			// Messages arrive in any order, some twice. All arrive at least once in the end.
			holder := newTallier("holder", 1)
			order := rapid.Permutation(append(wire, wire[:lasting]...)).Draw(t, "order")
			for _, each := range order {
				holder.Merge(each.from, each.report, now)
			}
			if got := holder.Totals(window); len(got) != len(truth) || got["a"] != truth["a"] || got["b"] != truth["b"] {
				t.Fatalf("counted %v of %v", got, truth)
			}
		})
	})

	It("repeats counts to a new receiver, and to the same one until the window is settled", func() {
		counted := newTallier("a", 1)
		counted.Record("w", start)
		Expect(counted.Reports("x", start)).To(HaveLen(1))
		Expect(counted.Reports("x", start.Add(time.Second))).To(BeEmpty())
		Expect(counted.Reports("y", start.Add(time.Second))).To(HaveLen(1))
		Expect(counted.Reports("y", start.Add(4*time.Second))).To(HaveLen(1))
		counted.Settle(counted.WindowAt(start))
		Expect(counted.Reports("z", start.Add(5*time.Second))).To(BeEmpty())
	})

	It("counts requests in the next window when the clock returns to a settled one", func() {
		counted := newTallier("a", 1)
		settled := counted.WindowAt(start)
		counted.Settle(settled)
		counted.Record("w", start)
		Expect(counted.Totals(settled + 1)).To(HaveKeyWithValue("w", int64(1)))
	})

	It("keeps a bounded number of windows, and ignores reports of windows far away", func() {
		counted := newTallier("a", 1)
		other := tallier.Source{Instance: "b", Incarnation: 1}
		first := counted.WindowAt(start)
		counted.Record("w", start)
		later := start.Add(tallier.MaxWindows * windowLength)
		counted.Record("w", later)
		Expect(counted.Totals(first)).To(BeEmpty())
		counted.Merge(other, tallier.Report{Window: first + 1000, Counts: map[string]int64{"w": 1}}, later)
		Expect(counted.Totals(first + 1000)).To(BeEmpty())
	})

	It("splits the counts of many workspaces", func() {
		counted, holder := newTallier("a", 1), newTallier("b", 1)
		for n := range 1000 {
			counted.Record(strconv.Itoa(n), start)
		}
		reports := counted.Reports("x", start)
		Expect(len(reports)).To(BeNumerically(">", 1))
		for _, report := range reports {
			holder.Merge(tallier.Source{Instance: "a", Incarnation: 1}, report, start)
		}
		Expect(holder.Totals(counted.WindowAt(start))).To(HaveLen(1000))
	})

	It("rejects invalid reports", func() {
		Expect(tallier.Report{Window: -1}.Validate()).NotTo(Succeed())
		Expect(tallier.Report{Counts: map[string]int64{"w": -1}}.Validate()).NotTo(Succeed())
		Expect(tallier.Report{Counts: map[string]int64{"": 1}}.Validate()).NotTo(Succeed())
		Expect(tallier.Report{Window: 1, Counts: map[string]int64{"w": 1}}.Validate()).To(Succeed())
	})
})
