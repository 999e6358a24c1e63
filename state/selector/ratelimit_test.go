package selector_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/selector"
	"github.com/crocushollow/crocushollow/state/throttler"
)

// limitedSelector returns the selector of the only instance, and the limits of upstreams.
func limitedSelector(upstreams ...*catalog.Upstream) (*selector.Selector, map[string]throttler.Limit) {
	limits := make(map[string]throttler.Limit)
	s := selector.New(selector.Config{
		AvailabilityZone: "za", ColdRateShare: func(*catalog.Service, string) int { return 100 }, OnLoadChange: func() {}, OnHealthChange: func(selector.HealthChange) {},
		RateLimit: func(upstream *catalog.Upstream) throttler.Limit { return limits[upstream.ID] },
		QuotaShare: func(_ string, requests int) selector.QuotaShare {
			return selector.QuotaShare{Reachable: requests, Own: requests}
		},
		RandFloat64: func() float64 { return 0 },
	})
	s.SetTopology(topology(upstreams...))
	return s, limits
}

// served sends requests as fast as the upstreams accept them, and returns their number
// by upstream, with the result of the last one that was not sent.
func served(s *selector.Selector, request *selector.Request, duration time.Duration) (map[string]int, selector.Result) {
	counts := make(map[string]int)
	var last selector.Result
	for now := start; now.Before(start.Add(duration)); now = now.Add(10 * time.Millisecond) {
		reservation, result := s.Choose(request, now)
		if result != selector.Chosen {
			last = result
			continue
		}
		counts[reservation.Upstream.ID]++
		reservation.Release(selector.Served, now)
	}
	return counts, last
}

var _ = Describe("An upstream with a rate limit", func() {
	// Guards against a limit that is exceeded, or not used, at low and high rates.
	DescribeTable("gets what its limit allows",
		func(perSecond float64, seconds, expected int) {
			s, limits := limitedSelector(engine("e1", "za", m0))
			limits["e1"] = throttler.Limit{IsActive: true, PerSecond: perSecond}
			counts, result := served(s, request("m0", ""), time.Duration(seconds)*time.Second)
			Expect(counts["e1"]).To(BeNumerically("~", expected, 2))
			Expect(result).To(Equal(selector.RateLimited))
		},
		Entry("one request in ten seconds if it accepts none", 0.0, 40, 4),
		Entry("a request in five seconds", 0.2, 40, 8),
		Entry("one and a half a second", 1.5, 40, 60),
		Entry("thirty a second", 30.0, 10, 300),
	)

	// Guards against callers that wait or are rejected although another engine is free.
	It("leaves the other requests to other engines", func() {
		s, limits := limitedSelector(engine("e1", "za", m0), engine("e2", "za", m0))
		limits["e1"] = throttler.Limit{IsActive: true, PerSecond: 1}
		counts, result := served(s, request("m0", ""), 10*time.Second)
		Expect(counts["e1"]).To(BeNumerically("<=", 12))
		Expect(counts["e1"] + counts["e2"]).To(Equal(1000))
		Expect(result).To(Equal(selector.Chosen), "no request is left over")
	})

	// Guards against rejecting a request that another engine could serve once it has
	// loaded the adapter.
	It("does not keep a request from an engine that can load its adapter", func() {
		s, limits := limitedSelector(engine("e1", "za", m0), engine("e2", "za", catalog.LoadedModel{Model: "m0"}))
		limits["e1"] = throttler.Limit{IsActive: true}
		_, result := served(s, request("m0", "a1"), time.Second)
		Expect(result).To(Equal(selector.AdapterAbsent))
	})

	// Guards against a Retry-After after which the request is rejected again.
	It("tells when it accepts the next request", func() {
		s, limits := limitedSelector(engine("e1", "za", m0))
		Expect(s.RateLimitDelay(request("m0", ""))).To(BeZero())
		limits["e1"] = throttler.Limit{IsActive: true, PerSecond: 4}
		Expect(s.RateLimitDelay(request("m0", ""))).To(Equal(250 * time.Millisecond))
	})
})
