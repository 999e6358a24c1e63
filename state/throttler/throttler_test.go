package throttler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/throttler"
)

func TestThrottler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "throttler")
}

var start = time.Unix(1000, 0)

func upstream(startUnixMilli int64) *catalog.Upstream {
	return &catalog.Upstream{ID: "e1", StartUnixMilli: startUnixMilli}
}

func rate(perSecond float64) throttler.Limit {
	return throttler.Limit{IsActive: true, PerSecond: perSecond}
}

func newThrottler() *throttler.Throttler {
	return throttler.New(throttler.Config{
		IsRegistered: func(string, int64) bool { return true }, OnNews: func() {}, OnChange: func(throttler.Statement) {},
	})
}

var _ = Describe("Throttler", func() {
	// Guards against a limit that stays after the upstream has ended it, and against one
	// that a restarted upstream inherits.
	It("holds what the last response of an incarnation said", func() {
		var changes []throttler.Limit
		t := throttler.New(throttler.Config{
			OnNews: func() {}, OnChange: func(s throttler.Statement) { changes = append(changes, s.Limit) },
		})
		t.Observe(upstream(1), throttler.Limit{}, start)
		Expect(changes).To(BeEmpty(), "an upstream without a limit is not news")
		t.Observe(upstream(1), rate(2), start)
		t.Observe(upstream(1), rate(2), start)
		Expect(t.Limit(upstream(1))).To(Equal(rate(2)))
		Expect(t.Limit(upstream(2)).IsActive).To(BeFalse())
		Expect(t.ActiveLimits()).To(Equal(1))
		t.Observe(upstream(1), throttler.Limit{}, start)
		Expect(t.Limit(upstream(1)).IsActive).To(BeFalse())
		Expect(changes).To(Equal([]throttler.Limit{rate(2), {}}))
		t.Observe(upstream(2), rate(3), start)
		t.Observe(upstream(1), rate(1), start)
		Expect(t.Limit(upstream(2))).To(Equal(rate(3)), "a late response of the previous incarnation")
	})

	// Guards against an old report that brings back a limit which has ended.
	It("keeps the latest statement, in whatever order reports arrive", func() {
		sender, receiver := newThrottler(), newThrottler()
		sender.Observe(upstream(1), rate(2), start)
		limited := sender.Report(false, start)
		sender.Observe(upstream(1), throttler.Limit{}, start)
		ended := sender.Report(false, start)
		receiver.Merge(ended, start)
		receiver.Merge(limited, start)
		Expect(receiver.Limit(upstream(1)).IsActive).To(BeFalse())
	})

	// Guards against instances that differ for good about a limit because they were told
	// different things at the same moment, or because messages were lost.
	It("lets all instances agree after concurrent statements and lost reports", func() {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 1))
			instances := []*throttler.Throttler{newThrottler(), newThrottler(), newThrottler(), newThrottler()}
			now := start
			exchange := func(lossRate float64) {
				now = now.Add(500 * time.Millisecond)
				for _, from := range instances {
					report := from.Report(true, now)
					for _, to := range instances {
						if to != from && random.Float64() >= lossRate {
							to.Merge(report, now)
						}
					}
				}
			}
			for range 20 {
				told := instances[random.IntN(len(instances))]
				told.Observe(upstream(1+int64(random.IntN(2))), rate(float64(random.IntN(3))), now)
				if random.IntN(2) == 0 {
					exchange(0.3)
				}
			}
			instances[0].Observe(upstream(2), rate(7), now)
			for range 30 {
				exchange(0.3)
			}
			for _, instance := range instances {
				Expect(instance.Limit(upstream(2))).To(Equal(instances[0].Limit(upstream(2))), "seed %d", seed)
			}
		}
	})

	// Guards against instances that tell each other for good of an upstream that is gone.
	It("forgets upstreams that are no longer registered", func() {
		t := throttler.New(throttler.Config{
			IsRegistered: func(string, int64) bool { return false }, OnNews: func() {}, OnChange: func(throttler.Statement) {},
		})
		t.Observe(upstream(1), rate(2), start)
		Expect(t.Report(true, start)).To(HaveLen(1))
		Expect(t.Report(true, start.Add(time.Minute))).To(BeEmpty())
		Expect(t.ActiveLimits()).To(BeZero())
	})

	It("rejects reports that cannot be true", func() {
		Expect(throttler.Statement{Upstream: "e1", Version: 1, Limit: rate(-1)}.Validate()).NotTo(Succeed())
		Expect(throttler.Statement{Version: 1, Limit: rate(1)}.Validate()).NotTo(Succeed())
		Expect(throttler.Statement{Upstream: "e1", Version: 1, Limit: rate(1)}.Validate()).To(Succeed())
	})
})
