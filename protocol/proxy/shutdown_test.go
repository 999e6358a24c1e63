package proxy_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/protocol/proxy"
	"github.com/crocushollow/crocushollow/state/estimator"
)

var _ = Describe("Calls to an instance that shuts down", func() {
	const left = 5 * time.Second

	// status returns the status of a call with left until the end of the shutdown, on a route
	// that has served requests of the given durations.
	status := func(path, route string, othersReady, isLate bool, served ...time.Duration) int {
		now := time.Now()
		known := estimator.New()
		for _, duration := range served {
			known.Begin(estimator.Request{Route: route}, now).Served(duration, now.Add(duration))
		}
		shutdown := proxy.Shutdown{CallersMoveBy: now.Add(time.Second), EndsAt: now.Add(left), OthersReady: othersReady}
		if isLate {
			shutdown.CallersMoveBy = now
		}
		p := startProxy(&faultySender{}, func(config *proxy.Config) {
			config.Estimator, config.Shutdown = known, func() proxy.Shutdown { return shutdown }
		})
		return serve(p, path, "").status
	}
	// mixed returns 64 durations, of which few are slow and the others take a second.
	mixed := func(slow time.Duration) []time.Duration {
		durations := make([]time.Duration, 64)
		for i := range durations {
			durations[i] = time.Second
		}
		durations[7] = slow
		return durations
	}
	const accepted, rejected = http.StatusOK, http.StatusServiceUnavailable

	// Guards against requests that are accepted in a planned stop and cut at its end although
	// another instance is ready.
	DescribeTable("are accepted if they will end, and others if no other instance is ready",
		func(othersReady, isLate bool, served []time.Duration, order, stream int) {
			Expect(status("/plain/a", "/plain/", othersReady, isLate, served...)).To(Equal(order))
			Expect(status("/stream/a", "/stream/", othersReady, isLate, served...)).To(Equal(stream))
		},
		Entry("all short", true, false, mixed(time.Second), accepted, accepted),
		Entry("some slow", true, false, mixed(6*time.Second), rejected, rejected),
		Entry("some nearly slow", true, false, mixed(4500*time.Millisecond), rejected, accepted),
		Entry("none served", true, false, nil, rejected, rejected),
		Entry("few and short", true, false, []time.Duration{100 * time.Millisecond}, accepted, accepted),
		Entry("few", true, false, []time.Duration{time.Second}, rejected, rejected),
		Entry("some slow, no other instance", false, false, mixed(6*time.Second), accepted, accepted),
		Entry("none served, no other instance", false, false, nil, accepted, accepted),
		Entry("late, all short", false, true, mixed(time.Second), accepted, accepted),
		Entry("late, some nearly slow", false, true, mixed(4500*time.Millisecond), rejected, rejected),
		Entry("late, few and short", true, true, []time.Duration{100 * time.Millisecond}, rejected, rejected),
	)
})
