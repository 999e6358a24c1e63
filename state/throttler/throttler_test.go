package throttler_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/throttler"
)

func TestThrottler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "throttler")
}

func upstream(start int64) *catalog.Upstream {
	return &catalog.Upstream{ID: "e1", StartUnixMilli: start}
}

func rate(perSecond float64) throttler.Limit {
	return throttler.Limit{IsActive: true, PerSecond: perSecond}
}

var _ = Describe("Throttler", func() {
	// Guards against a limit that stays after the upstream has ended it, and against one
	// that a restarted upstream inherits.
	It("holds what the last response of an incarnation said", func() {
		var changes []throttler.Limit
		t := throttler.New(throttler.Config{OnChange: func(s throttler.Statement) { changes = append(changes, s.Limit) }})
		t.Observe(upstream(1), throttler.Limit{})
		Expect(changes).To(BeEmpty(), "an upstream without a limit is not news")
		t.Observe(upstream(1), rate(2))
		t.Observe(upstream(1), rate(2))
		Expect(t.Limit(upstream(1))).To(Equal(rate(2)))
		Expect(t.Limit(upstream(2)).IsActive).To(BeFalse())
		Expect(t.ActiveLimits()).To(Equal(1))
		t.Observe(upstream(1), throttler.Limit{})
		Expect(t.Limit(upstream(1)).IsActive).To(BeFalse())
		Expect(changes).To(Equal([]throttler.Limit{rate(2), {}}))
	})
})
