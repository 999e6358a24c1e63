package scaler_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/scaler"
)

func TestScaler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scaler")
}

// settleTime is the time in which a scaler learns how many engines there are.
const (
	startTime  = 8 * time.Second
	settleTime = 2 * startTime
)

// input is a service with ten engines in each of two zones, of which five are needed at least.
func input(demand float64) scaler.Input {
	return scaler.Input{
		Scale: catalog.ScaleSpec{Min: 4, Max: 20, StartTime: startTime}, Demand: demand, Floor: 10, IsComplete: true,
		Zones: map[string]scaler.Zone{"a": {Engines: 10}, "b": {Engines: 10}},
	}
}

// decide decides each half second for a duration and returns the last order of each zone.
func decide(s *scaler.Scaler, in scaler.Input, from time.Time, duration time.Duration) map[string]int {
	last := make(map[string]int)
	for at := from; at.Before(from.Add(duration)); at = at.Add(500 * time.Millisecond) {
		for zone, engines := range s.Decide(in, at) {
			last[zone] = engines
		}
	}
	return last
}

var _ = Describe("Scaler", func() {
	began := time.Unix(1000, 0)

	It("orders nothing while the engines suffice", func() {
		Expect(decide(&scaler.Scaler{}, input(14), began, time.Hour)).To(BeEmpty())
	})

	It("orders engines when demand is higher, up to the maximum", func() {
		Expect(decide(&scaler.Scaler{}, input(27), began, settleTime+time.Second)).To(Equal(map[string]int{"a": 15, "b": 15}))
		Expect(decide(&scaler.Scaler{}, input(270), began, settleTime+time.Second)).To(Equal(map[string]int{"a": 20, "b": 20}))
	})

	// Guards against engines that are given up between two bursts.
	It("gives up engines one by one, after demand has been low for long, down to what the models need", func() {
		s := &scaler.Scaler{}
		Expect(decide(s, input(0), began, settleTime+179*time.Second)).To(BeEmpty())
		Expect(decide(s, input(0), began.Add(settleTime+179*time.Second), 4*time.Second)).To(Equal(map[string]int{"a": 9}))
		Expect(decide(s, input(0), began.Add(settleTime+183*time.Second), time.Hour)).To(Equal(map[string]int{"a": 5, "b": 5}))
	})

	It("gives up no engine while a model is loaded nowhere", func() {
		in := input(0)
		in.IsComplete = false
		Expect(decide(&scaler.Scaler{}, in, began, time.Hour)).To(BeEmpty())
	})

	It("orders nothing for a zone that is out of service, and more in the others", func() {
		in := input(16)
		in.Zones["b"] = scaler.Zone{Engines: 10, IsOut: true}
		Expect(decide(&scaler.Scaler{}, in, began, settleTime+time.Second)).To(Equal(map[string]int{"a": 18}))
		in.Zones["a"] = in.Zones["b"]
		Expect(decide(&scaler.Scaler{}, in, began, time.Hour)).To(BeEmpty())
	})

	It("does not order what crashed engines leave missing, which the platform starts again", func() {
		s := &scaler.Scaler{}
		s.Decide(input(14), began)
		in := input(14)
		in.Zones["a"] = scaler.Zone{Engines: 3}
		Expect(decide(s, in, began.Add(time.Second), time.Minute)).To(BeEmpty())
	})

	// Guards against a new holder that orders the minimum, and so gives engines up, because it
	// has not read all registrations yet or engines have crashed.
	It("does not take engines that it does not see yet for missing ones", func() {
		s, in := &scaler.Scaler{}, input(14)
		in.Zones = map[string]scaler.Zone{"a": {Engines: 1}, "b": {}}
		Expect(decide(s, in, began, settleTime)).To(BeEmpty())
		Expect(decide(s, input(14), began.Add(settleTime), time.Hour)).To(BeEmpty())
		in.Demand = 0
		Expect(decide(&scaler.Scaler{}, scaler.Input{
			Scale: in.Scale, Zones: in.Zones, Floor: 8, IsComplete: true,
		}, began, time.Hour)).To(BeEmpty())
	})

	It("keeps to the bounds for any demand", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s, now := &scaler.Scaler{}, began
			for range rapid.IntRange(1, 200).Draw(t, "decisions") {
				now = now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "pause")) * time.Millisecond)
				in := input(rapid.Float64Range(0, 100).Draw(t, "demand"))
				in.Zones["a"] = scaler.Zone{Engines: rapid.IntRange(0, 30).Draw(t, "engines"), IsOut: rapid.Bool().Draw(t, "out")}
				for zone, engines := range s.Decide(in, now) {
					if engines < 5 && zone == "b" || engines < in.Scale.Min || engines > 29 {
						t.Fatalf("%d engines ordered in zone %s", engines, zone)
					}
				}
			}
		})
	})

	It("counts the engines that hold each model once, with a reserve", func() {
		spec := &catalog.EngineSpec{MemoryMB: 200, Models: map[string]catalog.Model{}}
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			spec.Models[name] = catalog.Model{Name: name, MemoryMB: 70}
		}
		Expect(scaler.Floor(spec)).To(Equal(4))
	})
})
