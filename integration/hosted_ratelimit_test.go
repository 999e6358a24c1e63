package integration_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

const (
	// rateLimitWindow is the time over which operators count the requests to a limited
	// upstream. They tolerate rateLimitOvershoot times what its limit allows, and
	// rateLimitSlack requests more.
	rateLimitWindow    = 4 * time.Second
	rateLimitOvershoot = 1.5
	rateLimitSlack     = 5
	// floodInterval is the time between two requests of a flood.
	floodInterval = 20 * time.Millisecond
)

// toleratedArrivals returns the requests that a limited upstream may get in
// rateLimitWindow.
func toleratedArrivals(perSecond float64) int {
	return int(rateLimitOvershoot*perSecond*rateLimitWindow.Seconds()) + rateLimitSlack
}

// maxArrivals returns the maximum number of requests that an upstream has got within
// rateLimitWindow, after a time and before another one.
func maxArrivals(upstream *platformtest.Upstream, after, before time.Time) int {
	var window []time.Time
	most := 0
	for _, arrival := range upstream.Arrivals() {
		if arrival.At.Before(after) || arrival.At.After(before) {
			continue
		}
		window = append(window, arrival.At)
		for arrival.At.Sub(window[0]) > rateLimitWindow {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}

// arrivalsPerSecond returns the rate of requests at an upstream between two times.
func arrivalsPerSecond(upstream *platformtest.Upstream, after, before time.Time) float64 {
	count := 0
	for _, arrival := range upstream.Arrivals() {
		if arrival.At.After(after) && arrival.At.Before(before) {
			count++
		}
	}
	return float64(count) / before.Sub(after).Seconds()
}

// floodInBackground sends lookups to the present instances until the spec or the
// returned function ends them.
func (f *hostedFleet) floodInBackground() (*flood, func()) {
	ctx, stop := context.WithCancel(context.Background())
	present := &hostedFleet{&platformtest.Cluster{Platform: f.Platform, Instances: slices.Clone(f.Instances)}}
	result := present.startFlood(ctx, floodInterval, func(int) platformtest.Request { return stockRequest() })
	end := func() {
		stop()
		result.done.Wait()
	}
	DeferCleanup(end)
	return result, end
}

// limitedUpstreams returns the number of limited upstreams that an instance knows.
func (f *hostedFleet) limitedUpstreams(n int) string {
	response, err := http.Get("http://" + f.Instances[n].Settings.Listen.Metrics)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	_, rest, _ := strings.Cut(string(text), "\ncrocushollow_limited_upstreams ")
	value, _, _ := strings.Cut(rest, "\n")
	return value
}

var _ = Describe("A rate limit that an upstream names", func() {
	// Guards against instances that each send what the limit allows all of them.
	It("binds all instances together, also when it changes, and ends when it is no longer named", func() {
		f := startHostedFleet(4)
		limited := f.Upstreams()["i-c"]
		flood, end := f.floodInBackground()
		for _, perSecond := range []float64{1, 4} {
			limited.SetRateLimit(perSecond)
			boundFrom := time.Now().Add(stableTime)
			time.Sleep(stableTime + 2*rateLimitWindow)
			now := time.Now()
			Expect(maxArrivals(limited, boundFrom, now)).To(BeNumerically("<=", toleratedArrivals(perSecond)))
			Expect(arrivalsPerSecond(limited, boundFrom, now)).To(BeNumerically(">", perSecond/2), "the limit is used")
		}
		limited.RemoveRateLimit()
		endedAt := time.Now()
		time.Sleep(rateLimitWindow)
		Expect(arrivalsPerSecond(limited, endedAt.Add(time.Second), time.Now())).To(BeNumerically(">", 10))
		end()
		for _, response := range flood.responses {
			Expect(response.Status).To(Equal(200), "the other upstream serves what the limited one cannot take")
		}
	})

	// Guards against a limit that only the instances know that got a response with it.
	It("is known to all instances, and to one that starts late, once it is named to one of them", func() {
		f := startHostedFleet(3)
		f.Upstreams()["i-c"].SetRateLimit(1)
		f.DeregisterUpstream("i-d")
		Eventually(func() string {
			f.sendTo(0, stockRequest())
			return f.limitedUpstreams(0)
		}, "2s", "100ms").Should(Equal("1"))
		for n := range f.Instances {
			Eventually(func() string { return f.limitedUpstreams(n) }, "1s", "20ms").Should(Equal("1"))
		}
		Expect(f.StartInstance(false)).To(Succeed())
		Eventually(func() bool { return f.Instances[3].IsReady(context.Background()) }, "5s", "20ms").Should(BeTrue())
		Eventually(func() string { return f.limitedUpstreams(3) }, stableTime, "20ms").Should(Equal("1"))
	})

	// Guards against a limit whose use is forgotten or handed out twice when instances
	// are killed and start again.
	It("binds instances that are killed and start again", func() {
		f := startHostedFleet(4)
		limited := f.Upstreams()["i-c"]
		limited.SetRateLimit(1)
		_, _ = f.floodInBackground()
		boundFrom := time.Now().Add(stableTime)
		time.Sleep(stableTime)
		for n := range 3 {
			Expect(f.Instances[n].Kill()).To(Succeed())
			Expect(f.StartInstance(false)).To(Succeed())
			time.Sleep(rateLimitWindow / 2)
			_, _ = f.floodInBackground()
		}
		time.Sleep(rateLimitWindow)
		Expect(maxArrivals(limited, boundFrom, time.Now())).To(BeNumerically("<=", toleratedArrivals(1)))
	})

	// Guards against calls that are refused because only the limited engine has loaded their
	// adapter, although another engine holds the model.
	It("does not refuse calls whose adapter another engine can load", func() {
		f := startHostedFleet(2)
		const adapter = "a1"
		var limited *platformtest.Upstream
		Eventually(func() bool {
			for _, upstream := range f.Upstreams() {
				if upstream.HasLoaded(platformtest.Model, adapter) {
					limited = upstream
				}
			}
			return limited != nil
		}, "5s", "20ms").Should(BeTrue())
		limited.SetRateLimit(1)
		ctx, stop := context.WithCancel(context.Background())
		flood := f.startFlood(ctx, 100*time.Millisecond, func(int) platformtest.Request {
			request := adviceRequest()
			request.Model += "/" + adapter
			return request
		})
		time.Sleep(stableTime + rateLimitWindow)
		stop()
		flood.done.Wait()
		sent, served := 0, 0
		for _, response := range flood.responses {
			sent++
			if response.Status == 200 && response.Complete {
				served++
			}
		}
		Expect(float64(served)).To(BeNumerically(">", 0.9*float64(sent)))
	})

	// Guards against calls that wait for an upstream until their deadline although its
	// limit is used up.
	It("rejects at once what no upstream can take", func() {
		f := startHostedFleet(2)
		for _, id := range []string{"i-c", "i-d"} {
			f.Upstreams()[id].SetRateLimit(0.5)
		}
		f.respondingUpstreams(stockRequest(), 8)
		rejected := 0
		for n := range 20 {
			answer := f.sendTo(n%2, stockRequest())
			if answer.Status == 200 {
				continue
			}
			rejected++
			Expect(answer.Status).To(Equal(503))
			Expect(answer.Duration).To(BeNumerically("<", 200*time.Millisecond))
			Expect(answer.Header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(rejected).To(BeNumerically(">", 10))
	})
})
