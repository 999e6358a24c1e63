package selector_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/state/selector"
)

// A continuous flow of prompts keeps an engine prefilling without a pause, and every
// event of the streams that run there is late.
var _ = Describe("A prefill burst", func() {
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	prompt := func() *selector.Request {
		return &selector.Request{Service: "writer", Model: "m0", PromptTokens: 2300, OutputTokens: 24}
	}
	choose := func(s *selector.Selector, milliseconds int) *selector.Reservation {
		reservation, _ := s.Choose(prompt(), at(milliseconds))
		return reservation
	}

	It("ends after 340 ms, until all prompts have been read", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 1)
		first, second := choose(s, 0), choose(s, 0)
		Expect(first).NotTo(BeNil())
		Expect(second).NotTo(BeNil())
		first.MarkFirstByte()
		third := choose(s, 100)
		Expect(third).NotTo(BeNil(), "prompts are read until 300 ms")
		second.MarkFirstByte()
		Expect(choose(s, 200)).To(BeNil(), "prompts would be read until 400 ms")
		third.MarkFirstByte()
		Expect(choose(s, 310)).NotTo(BeNil())
	})

	It("counts the prompts of other instances", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 1)
		s.SetPeerLoads("node-2", map[string]selector.Load{"e1": {InFlight: 1, WaitingTokens: 2300}}, at(0))
		s.UpdatePeerLoads("node-2", map[string]selector.Load{"e1": {InFlight: 2, WaitingTokens: 2300}}, at(100))
		Expect(choose(s, 200)).To(BeNil())
		s.UpdatePeerLoads("node-2", map[string]selector.Load{"e1": {InFlight: 2}}, at(210))
		Expect(choose(s, 220)).NotTo(BeNil())
	})

	It("sends requests to another engine", func() {
		s := newSelector(topology(engine("e1", "za", m0), engine("e2", "za", m0)), 1)
		s.SetPeerLoads("node-2", map[string]selector.Load{"e1": {InFlight: 1, WaitingTokens: 2300}}, at(0))
		Expect(choose(s, 200).Upstream.ID).To(Equal("e2"))
	})

	It("does not block an engine whose requests are stuck", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 1)
		Expect(choose(s, 0)).NotTo(BeNil())
		Expect(choose(s, 710)).NotTo(BeNil())
	})

	It("ends when a request is released", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 1)
		first := choose(s, 0)
		first.Release(selector.Failed, at(150))
		Expect(choose(s, 300)).NotTo(BeNil())
	})
})
