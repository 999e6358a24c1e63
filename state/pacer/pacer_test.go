package pacer_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/state/pacer"
)

func TestPacer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pacer")
}

const usual = 27 * time.Millisecond

var start = time.Unix(1000, 0)

var _ = Describe("Slowdown", func() {
	// Guards against new work for an engine that is 2.5 times slower for 600 ms.
	It("sees an engine that turns slow within 0.2 s", func() {
		var s pacer.Slowdown
		now := start
		for now.Sub(start) < 140*time.Millisecond {
			now = now.Add(5 * usual / 2)
			s = s.WithGap(5*usual/2, usual, 0, now)
		}
		Expect(s.Factor(now)).To(BeNumerically(">", 2))
	})

	// Guards against a busy engine that is taken for a slow one.
	It("takes no gap for slowness that the reading of prompts explains", func() {
		var s pacer.Slowdown
		s = s.WithGap(usual+100*time.Millisecond, usual, 120*time.Millisecond, start)
		Expect(s.Factor(start)).To(BeNumerically("==", 1))
		s = s.WithGap(5*usual/2, usual, 0, start)
		slow := s.Factor(start)
		Expect(s.WithGap(usual+100*time.Millisecond, usual, 120*time.Millisecond, start).Factor(start)).To(Equal(slow))
	})

	It("returns to the usual pace in steps, and without observations within seconds", func() {
		s := pacer.Slowdown{}.WithGap(3*usual, usual, 0, start)
		first := s.WithGap(usual, usual, 0, start)
		second := first.WithGap(usual, usual, 0, start)
		Expect(first.Factor(start)).To(And(BeNumerically("<", s.Factor(start)), BeNumerically(">", second.Factor(start))))
		Expect(second.Factor(start)).To(BeNumerically(">", 1))
		Expect(s.Factor(start.Add(2 * time.Second))).To(BeNumerically("~", 1, 0.02))
	})
})

var _ = Describe("Baseline", func() {
	It("is the gap of an engine at its usual pace although some gaps are long", func() {
		var b pacer.Baseline
		_, isKnown := b.Gap()
		Expect(isKnown).To(BeFalse())
		b = b.With(5 * usual / 2)
		for i := range 300 {
			gap := usual
			if i%5 == 0 {
				gap = 3 * usual
			}
			b = b.With(gap)
		}
		gap, isKnown := b.Gap()
		Expect(isKnown).To(BeTrue())
		Expect(gap).To(BeNumerically("~", usual, 3*time.Millisecond))
	})
})
