package estimator_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/state/estimator"
)

func TestEstimator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "estimator")
}

var start = time.Unix(1000, 0)

var _ = Describe("Estimator", func() {
	stream := func(tokens float64) estimator.Request {
		return estimator.Request{Route: "guides", OutputTokens: tokens}
	}
	serve := func(e *estimator.Estimator, count int, request estimator.Request, firstByte, duration time.Duration) {
		for range count {
			e.Begin(request, start).Served(firstByte, start.Add(duration))
		}
	}

	It("knows nothing of a route that has served few requests", func() {
		e := estimator.New()
		serve(e, 64, estimator.Request{Route: "orders"}, time.Second, time.Second)
		serve(e, 15, stream(10), time.Second, time.Second)
		e.Begin(stream(10), start).Failed()
		Expect(e.Estimate(stream(10), start).IsKnown).To(BeFalse())
	})

	It("scales the slowest of the latest requests by the length of the output", func() {
		e := estimator.New()
		serve(e, 1, stream(100), 200*time.Millisecond, 1200*time.Millisecond)
		serve(e, 15, stream(10), 100*time.Millisecond, 150*time.Millisecond)
		estimate := e.Estimate(stream(200), start)
		Expect(estimate.IsKnown).To(BeTrue())
		Expect(estimate.Longest).To(BeNumerically("~", 3850*time.Millisecond, time.Millisecond))
		Expect(estimate.Likely).To(BeNumerically("~", 1100*time.Millisecond, time.Millisecond))
		serve(e, 64, stream(10), 100*time.Millisecond, 150*time.Millisecond)
		estimate = e.Estimate(stream(200), start)
		Expect(estimate.Longest).To(BeNumerically("~", 1512500*time.Microsecond, time.Millisecond))
	})

	// Guards against a few short requests after which any request counts as short.
	It("is the longer the fewer requests a route has served", func() {
		e := estimator.New()
		Expect(e.Estimate(stream(10), start).HasSamples).To(BeFalse())
		serve(e, 1, stream(10), time.Second, time.Second)
		Expect(e.Estimate(stream(10), start).Slowest).To(Equal(8875 * time.Millisecond))
		serve(e, 15, stream(10), time.Second, time.Second)
		Expect(e.Estimate(stream(10), start).Slowest).To(Equal(1375 * time.Millisecond))
		serve(e, 48, stream(10), time.Second, time.Second)
		Expect(e.Estimate(stream(10), start).Slowest).To(Equal(time.Second))
	})

	// Guards against estimates that lag behind the load, since slow requests end late.
	It("is at least the age of a request that still runs", func() {
		e := estimator.New()
		serve(e, 64, stream(10), 100*time.Millisecond, 150*time.Millisecond)
		running := e.Begin(stream(10), start)
		estimate := e.Estimate(stream(10), start.Add(4*time.Second))
		Expect(estimate.Longest).To(Equal(5500 * time.Millisecond))
		running.Failed()
		estimate = e.Estimate(stream(10), start.Add(4*time.Second))
		Expect(estimate.Longest).To(BeNumerically("<", 250*time.Millisecond))
	})
})
