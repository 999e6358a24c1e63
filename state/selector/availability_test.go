package selector_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/state/selector"
)

var _ = Describe("What an upstream says about its availability", func() {
	state := func(s *selector.Selector, stated selector.Availability) bool {
		GinkgoHelper()
		reservation, result := s.Choose(request("m0", ""), start)
		Expect(result).To(Equal(selector.Chosen))
		defer reservation.Release(selector.Refused, start)
		return reservation.RecordAvailability(stated, start)
	}

	// Guards against requests to an upstream that leaves while its registration does not say so,
	// for example because the store is away.
	It("ends its requests at once when it leaves, also if no other one is left", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 100)
		Expect(state(s, selector.Availability{IsLeaving: true})).To(BeTrue())
		_, result := s.Choose(request("m0", ""), start.Add(time.Hour))
		Expect(result).To(Equal(selector.NoUpstream))
		Expect(s.LeavingUpstreams()).To(HaveKey("e1"))
	})

	It("ends with the incarnation", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 100)
		late, _ := s.Choose(request("m0", ""), start)
		state(s, selector.Availability{IsLeaving: true})
		next := engine("e1", "za", m0)
		next.StartUnixMilli = 1
		s.SetTopology(topology(next))
		late.RecordAvailability(selector.Availability{IsLeaving: true}, start)
		_, result := s.Choose(request("m0", ""), start.Add(time.Second))
		Expect(result).To(Equal(selector.Chosen))
	})

	// Guards against requests to an upstream that asked for a pause, and against all of them at
	// the moment at which it ends.
	It("keeps requests away for the pause, and lets them return in steps", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 100)
		state(s, selector.Availability{PauseFor: 3 * time.Second})
		_, result := s.Choose(request("m0", ""), start.Add(2999*time.Millisecond))
		Expect(result).To(Equal(selector.Paused))
		Expect(s.PauseDelay(request("m0", ""), start.Add(time.Second))).To(Equal(2 * time.Second))
		short := request("m0", "")
		short.PromptTokens = 100
		for _, allowed := range []int{1, 2, 8} {
			var sent []*selector.Reservation
			for range 8 {
				if reservation, result := s.Choose(short, start.Add(3*time.Second)); result == selector.Chosen {
					sent = append(sent, reservation)
				}
			}
			Expect(sent).To(HaveLen(allowed))
			for _, reservation := range sent {
				reservation.Release(selector.Served, start.Add(3*time.Second))
			}
		}
	})

	It("leaves the others their requests", func() {
		s := newSelector(topology(engine("e1", "za", m0), engine("e2", "za", m0)), 100)
		state(s, selector.Availability{PauseFor: 3 * time.Second})
		reservation, result := s.Choose(request("m0", ""), start.Add(time.Second))
		Expect(result).To(Equal(selector.Chosen))
		Expect(reservation.RecordAvailability(selector.Availability{}, start)).To(BeFalse())
	})
})
