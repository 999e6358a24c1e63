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

	It("ends after 340 ms if another engine is free", func() {
		s := newSelector(topology(engine("e1", "za", m0), engine("e2", "za", m0)), 1)
		// The other engine is slower to begin but has not been prefilling.
		s.SetPeerLoads("node-2", map[string]selector.Load{"e2": {InFlight: 40}}, at(0))
		first, second := choose(s, 0), choose(s, 0)
		Expect(first.Upstream.ID).To(Equal("e1"))
		Expect(second.Upstream.ID).To(Equal("e2"))
		third := choose(s, 0)
		Expect(third.Upstream.ID).To(Equal("e1"))
		second.MarkFirstByte()
		first.MarkFirstByte()
		Expect(choose(s, 200).Upstream.ID).To(Equal("e2"), "prompts would be read at e1 until 400 ms")
		third.MarkFirstByte()
		Expect(choose(s, 310).Upstream.ID).To(Equal("e1"))
	})

	It("counts the prompts of other instances", func() {
		s := newSelector(topology(engine("e1", "za", m0), engine("e2", "za", m0)), 1)
		s.SetPeerLoads("node-2", map[string]selector.Load{"e1": {InFlight: 1, WaitingTokens: 1150}, "e2": {InFlight: 50}}, at(0))
		s.UpdatePeerLoads("node-2", map[string]selector.Load{"e1": {InFlight: 2, WaitingTokens: 1150}}, at(100))
		Expect(choose(s, 200).Upstream.ID).To(Equal("e2"))
		s.UpdatePeerLoads("node-2", map[string]selector.Load{"e1": {InFlight: 2}}, at(210))
		Expect(choose(s, 420).Upstream.ID).To(Equal("e1"))
	})

	It("goes on if no other engine has the model", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 1)
		choose(s, 0).MarkFirstByte()
		Expect(choose(s, 0)).NotTo(BeNil())
		Expect(choose(s, 330)).NotTo(BeNil())
	})

	It("sends requests to another engine", func() {
		s := newSelector(topology(engine("e1", "za", m0), engine("e2", "za", m0)), 1)
		s.SetPeerLoads("node-2", map[string]selector.Load{"e1": {InFlight: 1, WaitingTokens: 2300}}, at(0))
		Expect(choose(s, 200).Upstream.ID).To(Equal("e2"))
	})
})
