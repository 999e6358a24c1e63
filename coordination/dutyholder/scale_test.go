package dutyholder_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/coordination/dutyholder"
	"github.com/crocushollow/crocushollow/state/scaler"
)

// scalePlatform executes orders of engines with a token that is not lower than an earlier one.
type scalePlatform struct {
	*surroundings
	engines map[dutyholder.Subject]int
	calls   int
}

// OrderEngines implements dutyholder.ScaleClient.
func (p *scalePlatform) OrderEngines(_ context.Context, token int64, subject dutyholder.Subject, engines int) error {
	p.calls++
	return p.carryOut(func() error {
		if token < p.fence {
			return dutyholder.ErrFenced
		}
		p.fence, p.engines[subject] = token, engines
		return nil
	})
}

var _ = Describe("ScaleHolder", func() {
	var s *scalePlatform
	var held leadership
	var demand float64
	var holder *dutyholder.ScaleHolder
	subject := dutyholder.Subject{Service: "writer", AvailabilityZone: "a"}

	BeforeEach(func() {
		s = &scalePlatform{surroundings: newSurroundings(), engines: make(map[dutyholder.Subject]int)}
		held, demand = leadership{token: 5, holds: true}, 1
		holder = dutyholder.NewScaleHolder(dutyholder.ScaleConfig{
			Leadership: &held, Client: s, CallsPerSecond: 50, OnCall: func(string, string) {},
			Services: func() map[string]scaler.Input {
				return map[string]scaler.Input{"writer": {
					Scale: catalog.ScaleSpec{Min: 1, Max: 20, StartTime: time.Millisecond}, Demand: demand, IsComplete: true,
					Zones: map[string]scaler.Zone{"a": {Engines: 2}},
				}}
			},
			Logger: zerolog.Nop(), Now: func() time.Time { return s.now },
		})
	})

	steps := func(count int) {
		for range count {
			s.now = s.now.Add(100 * time.Millisecond)
			holder.Step(context.Background())
		}
	}

	It("orders engines once when demand rises", func() {
		steps(20)
		Expect(s.calls).To(BeZero())
		demand = 9
		steps(300)
		Expect(s.engines).To(HaveKeyWithValue(subject, 10))
		Expect(s.calls).To(BeNumerically("<=", 9))
	})

	// Guards against an old order without a response that is executed after a newer one.
	It("repeats the newest order after one without a response may have been executed", func() {
		steps(1)
		s.fate = func() string { return "later" }
		demand = 5
		steps(10)
		Expect(s.delayed).NotTo(BeEmpty())
		s.fate = func() string { return "done" }
		demand = 9
		steps(60)
		Expect(s.engines).To(HaveKeyWithValue(subject, 10))
		s.delayed[0]()
		Expect(s.engines[subject]).To(BeNumerically("<", 10))
		steps(100)
		Expect(s.engines).To(HaveKeyWithValue(subject, 10))
	})

	It("orders nothing without the duty, or after the platform has seen a greater token", func() {
		demand, held.holds = 9, false
		steps(50)
		Expect(s.calls).To(BeZero())
		held.holds, s.fence = true, 6
		steps(50)
		Expect(s.calls).To(Equal(1))
	})
})
