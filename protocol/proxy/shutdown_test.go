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
	status := func(path, route string, others proxy.Shutdown, isLate bool, served ...time.Duration) int {
		now := time.Now()
		known := estimator.New()
		for _, duration := range served {
			known.Begin(estimator.Request{Route: route}, now).Served(duration, now.Add(duration))
		}
		shutdown := others
		shutdown.CallersMoveBy, shutdown.RunsUntil, shutdown.EndsAt = now.Add(time.Second), now.Add(left), now.Add(left)
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
	allReady := proxy.Shutdown{OthersReady: true, NearlyAllReady: true}
	allReadyEarly := allReady
	allReadyEarly.EarlyUntil = time.Now().Add(time.Hour)
	someReady := proxy.Shutdown{OthersReady: true}
	noneReady := proxy.Shutdown{}
	const accepted, rejected = http.StatusOK, http.StatusServiceUnavailable

	// Guards against requests that are accepted in a planned stop and cut at its end although
	// another instance is ready.
	DescribeTable("are accepted if they will end, and others if their retries may not be served",
		func(others proxy.Shutdown, isLate bool, served []time.Duration, order, stream int) {
			Expect(status("/plain/a", "/plain/", others, isLate, served...)).To(Equal(order))
			Expect(status("/stream/a", "/stream/", others, isLate, served...)).To(Equal(stream))
		},
		Entry("all short", allReady, false, mixed(time.Second), accepted, accepted),
		Entry("some slow", allReady, false, mixed(6*time.Second), rejected, rejected),
		Entry("some nearly slow", allReady, false, mixed(4500*time.Millisecond), rejected, accepted),
		Entry("none served", allReady, false, nil, rejected, rejected),
		Entry("none served, early", allReadyEarly, false, nil, rejected, accepted),
		Entry("few, early", allReadyEarly, false, []time.Duration{time.Second}, rejected, accepted),
		Entry("some slow, early", allReadyEarly, false, mixed(6*time.Second), rejected, rejected),
		Entry("few and short", allReady, false, []time.Duration{100 * time.Millisecond}, accepted, accepted),
		Entry("few", allReady, false, []time.Duration{time.Second}, rejected, rejected),
		Entry("some slow, others stop too", someReady, false, mixed(6*time.Second), rejected, accepted),
		Entry("none served, others stop too", someReady, false, nil, rejected, accepted),
		Entry("some slow, no other instance", noneReady, false, mixed(6*time.Second), accepted, accepted),
		Entry("none served, no other instance", noneReady, false, nil, accepted, accepted),
		Entry("late, all short", noneReady, true, mixed(time.Second), rejected, rejected),
		Entry("late, all short, another ready", someReady, true, mixed(10*time.Millisecond), rejected, rejected),
		Entry("late, all short, all others ready", allReady, true, mixed(10*time.Millisecond), rejected, rejected),
		Entry("late, some nearly slow", noneReady, true, mixed(4500*time.Millisecond), rejected, rejected),
		Entry("late, few and short", allReady, true, []time.Duration{100 * time.Millisecond}, rejected, rejected),
	)

	// Guards against a late call whose deadline comes after the process may be killed, although
	// before the end of the shutdown as the instance counts it.
	It("are accepted late only if the instance certainly runs until their deadline", func() {
		shutdown := proxy.Shutdown{CallersMoveBy: time.Now().Add(-time.Second), EndsAt: time.Now().Add(time.Hour), OthersReady: true}
		p := startProxy(&faultySender{}, func(config *proxy.Config) {
			config.Shutdown = func() proxy.Shutdown { return shutdown }
		})
		shutdown.RunsUntil = time.Now().Add(time.Millisecond)
		Expect(serve(p, "/stream/a", "").status).To(Equal(rejected))
		shutdown.RunsUntil = shutdown.EndsAt
		Expect(serve(p, "/stream/a", "").status).To(Equal(accepted))
	})

	// Guards against calls that count as early because their header was, and whose body came
	// late.
	It("are late if their bodies are", func() {
		now := time.Now()
		shutdown := proxy.Shutdown{CallersMoveBy: now.Add(-time.Second), EndsAt: now.Add(left), OthersReady: true}
		p := startProxy(&faultySender{}, func(config *proxy.Config) {
			config.Shutdown = func() proxy.Shutdown { return shutdown }
		})
		Expect(serveArrived(p, "/stream/a", "", now.Add(-2*time.Second)).status).To(Equal(rejected))
	})
})
