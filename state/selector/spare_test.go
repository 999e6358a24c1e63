package selector_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/state/selector"
)

var _ = Describe("A request that repeats another", func() {
	repeat := func() *selector.Request {
		r := request("m0", "")
		r.IsSpare, r.Excluded, r.ExcludedAddresses = true, []string{"e1"}, []string{"e1"}
		return r
	}

	It("goes to neither the upstream nor the address that has it", func() {
		successor := engine("e2", "za", m0)
		successor.Address = "e1"
		s := newSelector(topology(engine("e1", "za", m0), successor), 5)
		_, result := s.Choose(repeat(), start)
		Expect(result).NotTo(Equal(selector.Chosen))
		s.SetTopology(topology(engine("e1", "za", m0), successor, engine("e3", "za", m0)))
		reservation, _ := s.Choose(repeat(), start)
		Expect(reservation.Upstream.ID).To(Equal("e3"))
	})

	// Guards against second attempts that delay the first attempts of other requests.
	It("goes only to an upstream with half of its slots free", func() {
		s := newSelector(topology(engine("e2", "za", m0)), 100)
		short := func(isSpare bool) *selector.Request {
			return &selector.Request{Service: "writer", Model: "m0", PromptTokens: 1, OutputTokens: 1, IsSpare: isSpare}
		}
		for range 32 {
			reservation, _ := s.Choose(short(true), start)
			Expect(reservation).NotTo(BeNil())
		}
		_, result := s.Choose(short(true), start)
		Expect(result).To(Equal(selector.Busy))
		_, result = s.Choose(short(false), start)
		Expect(result).To(Equal(selector.Chosen))
	})

	It("does not go to an upstream that is ejected, even if all others have it", func() {
		s := newSelector(topology(engine("e2", "za", m0)), 100)
		now := start
		for range 6 {
			now = now.Add(3 * time.Second)
			reservation, _ := s.Choose(request("m0", ""), now)
			Expect(reservation).NotTo(BeNil())
			reservation.Release(selector.Unreachable, now)
		}
		// The backoff has ended, and the ejection has not.
		now = now.Add(2 * time.Second)
		Expect(s.EjectedUpstreams()).To(Equal(1))
		_, result := s.Choose(repeat(), now)
		Expect(result).To(Equal(selector.Busy))
		_, result = s.Choose(request("m0", ""), now)
		Expect(result).To(Equal(selector.Chosen))
	})
})
