package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/state/quarantiner"
)

func TestQuarantiner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantiner")
}

var _ = Describe("Quarantiner", func() {
	now := time.Unix(1000, 0)

	It("adds the crashes of all instances, however often they are reported", func() {
		here, there := quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{})
		here.RecordCrash(1, 10, now)
		there.RecordCrash(1, 20, now)
		for range 3 {
			report := there.Report(8, now)
			here.Merge(&report, now)
		}
		Expect(here.IsQuarantined(1, now)).To(BeTrue())
		Expect(there.IsQuarantined(1, now)).To(BeFalse())
		Expect(here.IsQuarantined(2, now)).To(BeFalse())
		here.RecordCrash(2, 30, now)
		report := here.Report(8, now)
		for range 3 {
			there.Merge(&report, now)
		}
		Expect(there.IsQuarantined(2, now)).To(BeFalse())
	})

	It("forgets a crash after the retention time", func() {
		s := quarantiner.New(quarantiner.Config{})
		s.RecordCrash(1, 10, now)
		s.RecordCrash(1, 20, now)
		Expect(s.IsQuarantined(1, now)).To(BeTrue())
		Expect(s.IsQuarantined(1, now.Add(2*time.Minute))).To(BeFalse())
	})

	It("reports only recent crashes, up to a limit", func() {
		s := quarantiner.New(quarantiner.Config{})
		for i := range 20 {
			s.RecordCrash(quarantiner.Fingerprint(i), 10, now)
		}
		Expect(s.Report(8, now).Crashes).To(HaveLen(8))
		late := s.Report(8, now.Add(time.Minute))
		Expect(late.IsEmpty()).To(BeTrue())
	})

	It("bounds its memory while requests keep crashing upstreams", func() {
		s := quarantiner.New(quarantiner.Config{})
		for i := range 20000 {
			s.RecordCrash(quarantiner.Fingerprint(i), quarantiner.Incarnation(i), now)
		}
		s.RecordCrash(19999, 20000, now)
		Expect(s.IsQuarantined(19999, now)).To(BeTrue())
		Expect(s.IsQuarantined(0, now)).To(BeFalse())
	})

	// Guards against engines that crash one after the other and restart at once.
	It("finds a request that crashes each engine, although other requests end with it", func() {
		s := quarantiner.New(quarantiner.Config{})
		for crash := range 2 {
			incarnation, at := quarantiner.Incarnation(crash), now.Add(time.Duration(crash)*3*time.Second)
			for other := range 6 {
				s.RecordCrash(quarantiner.Fingerprint(100+10*crash+other), incarnation, at.Add(time.Duration(other)*200*time.Millisecond))
			}
			s.RecordCrash(1, incarnation, at.Add(time.Second))
		}
		Expect(s.IsQuarantined(1, now.Add(4*time.Second))).To(BeTrue())
		Expect(s.IsQuarantined(100, now.Add(4*time.Second))).To(BeFalse())
	})

	// Guards against refusing a sound request because of an engine that fails at all work.
	It("does not blame a request for engines that fail at other requests too", func() {
		s := quarantiner.New(quarantiner.Config{})
		for incarnation := range quarantiner.Incarnation(2) {
			s.RecordCrash(2, incarnation, now)
			s.RecordCrash(1, incarnation, now.Add(3*time.Second))
		}
		Expect(s.IsQuarantined(1, now.Add(4*time.Second))).To(BeFalse())
		for incarnation := range quarantiner.Incarnation(2) {
			s.RecordCrash(1, 10+incarnation, now.Add(4*time.Second))
		}
		Expect(s.IsQuarantined(1, now.Add(4*time.Second))).To(BeFalse(), "half of the engines are sound")
		s.RecordCrash(1, 12, now.Add(4*time.Second))
		Expect(s.IsQuarantined(1, now.Add(4*time.Second))).To(BeTrue())
	})

	// Guards against evidence that is dropped since the engine failed at other requests too.
	It("counts engines that have ended, whatever else they failed at", func() {
		here, there := quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{})
		for incarnation := range quarantiner.Incarnation(2) {
			there.RecordCrash(2, incarnation, now)
			there.RecordCrash(1, incarnation, now.Add(5*time.Second))
			Expect(there.IsQuarantined(1, now.Add(5*time.Second))).To(BeFalse())
		}
		for incarnation := range quarantiner.Incarnation(2) {
			there.RecordEnd(1, incarnation, now.Add(5*time.Second))
		}
		report := there.Report(8, now.Add(5*time.Second))
		here.Merge(&report, now.Add(5*time.Second))
		there.RecordCrash(3, 0, now.Add(9*time.Second))
		Expect(here.IsQuarantined(1, now.Add(9*time.Second))).To(BeTrue())
		Expect(there.IsQuarantined(1, now.Add(9*time.Second))).To(BeTrue())
	})

	// Guards against refusing requests with an equal body that ran beside requests of which a
	// prompt part crashes engines.
	It("does not blame a request for engines that something else has ended", func() {
		parts := quarantiner.NewParts(quarantiner.PartsConfig{OnNews: func() {}, OnChange: func(quarantiner.Part, bool) {}, OnTrial: func(quarantiner.Part) {}})
		s := quarantiner.New(quarantiner.Config{IsExplained: func(incarnation quarantiner.Incarnation, fingerprint quarantiner.Fingerprint) bool {
			return parts.Explains(uint64(incarnation), uint64(fingerprint))
		}})
		for incarnation := range quarantiner.Incarnation(3) {
			at := now.Add(time.Duration(incarnation) * time.Second)
			for request, part := range map[quarantiner.Fingerprint]quarantiner.Part{1: 7, 2: 8, 100 + quarantiner.Fingerprint(incarnation): 8} {
				s.RecordCrash(request, incarnation, at)
				s.RecordEnd(request, incarnation, at)
				parts.RecordCrash(quarantiner.Suspicion{Crash: uint64(incarnation), Request: uint64(request), Parts: []quarantiner.Part{part}}, at)
			}
		}
		Expect(parts.IsQuarantined([]quarantiner.Part{8}, now.Add(2*time.Second))).To(BeTrue())
		Expect(s.IsQuarantined(1, now.Add(2*time.Second))).To(BeFalse())
		Expect(s.IsQuarantined(2, now.Add(2*time.Second))).To(BeTrue())
		for incarnation := range quarantiner.Incarnation(2) {
			s.RecordCrash(1, 10+incarnation, now)
			s.RecordEnd(1, 10+incarnation, now)
		}
		Expect(s.IsQuarantined(1, now)).To(BeTrue())
	})

	It("forgets that an engine failed", func() {
		s := quarantiner.New(quarantiner.Config{})
		for incarnation := range quarantiner.Incarnation(2) {
			s.RecordCrash(2, incarnation, now)
			s.RecordCrash(1, incarnation, now.Add(time.Hour))
		}
		Expect(s.IsQuarantined(1, now.Add(time.Hour))).To(BeTrue())
	})

	// Guards against reports of a crash that come late, and are taken for several crashes.
	It("takes reports that come again for one crash", func() {
		here, there := quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{})
		for incarnation := range quarantiner.Incarnation(2) {
			there.RecordCrash(1, incarnation, now)
			there.RecordCrash(100+quarantiner.Fingerprint(incarnation), incarnation, now)
		}
		for n := range 20 {
			report := there.Report(8, now.Add(time.Duration(n)*250*time.Millisecond))
			here.Merge(&report, now.Add(10*time.Second))
		}
		Expect(here.IsQuarantined(1, now.Add(10*time.Second))).To(BeTrue())
	})

	It("reports all crashes of a request with news, those of the most suspected requests first", func() {
		here, there := quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{})
		there.RecordCrash(1, 10, now)
		there.RecordCrash(1, 20, now.Add(6*time.Second))
		for other := range quarantiner.Fingerprint(100) {
			there.RecordCrash(100+other, 30, now.Add(6*time.Second))
		}
		report := there.Report(8, now.Add(6*time.Second))
		here.Merge(&report, now.Add(6*time.Second))
		Expect(report.Crashes).To(HaveLen(8))
		Expect(here.IsQuarantined(1, now.Add(6*time.Second))).To(BeTrue())
	})

	// Guards against instances that were restarted, or cut off, and send a request on that all
	// others refuse.
	It("tells an instance that starts later of quarantined requests, also if it was told itself", func() {
		fleet := []*quarantiner.Quarantiner{quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{})}
		for incarnation := range quarantiner.Incarnation(6) {
			fleet[0].RecordCrash(1, incarnation, now)
			fleet[0].RecordEnd(1, incarnation, now)
			fleet[0].RecordCrash(2, 100+incarnation, now)
		}
		fleet[0].RecordCrash(3, 200, now)
		for restart := range 5 {
			at := now.Add(time.Duration(10*(restart+1)) * time.Second)
			report := fleet[restart%2].Repeat(64, at)
			fleet[1-restart%2] = quarantiner.New(quarantiner.Config{})
			fleet[1-restart%2].Merge(&report, at)
			Expect(fleet[1-restart%2].IsQuarantined(1, at)).To(BeTrue())
			Expect(fleet[1-restart%2].IsQuarantined(2, at)).To(BeTrue())
			Expect(fleet[1-restart%2].IsQuarantined(3, at)).To(BeFalse())
			news := fleet[1-restart%2].Report(8, at)
			Expect(news.IsEmpty()).To(BeTrue())
		}
		Expect(fleet[1].IsQuarantined(1, now.Add(61*time.Second))).To(BeFalse(), "a repetition is no new crash")
	})

	It("repeats a quarantined request once for all instances, and no more than a limit", func() {
		here, there := quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{})
		for request := range quarantiner.Fingerprint(20) {
			for incarnation := range quarantiner.Incarnation(4) {
				here.RecordCrash(request, 10*quarantiner.Incarnation(request)+incarnation, now)
			}
		}
		heard := make(map[quarantiner.Fingerprint]bool)
		for len(heard) < 20 {
			report := here.Repeat(16, now)
			Expect(report.Quarantined).To(HaveLen(16))
			there.Merge(&report, now)
			for _, crash := range report.Quarantined {
				heard[crash.Fingerprint] = true
			}
		}
		for _, q := range []*quarantiner.Quarantiner{here, there} {
			early := q.Repeat(16, now.Add(500*time.Millisecond))
			Expect(early.IsEmpty()).To(BeTrue())
		}
		later := there.Repeat(16, now.Add(2*time.Second))
		Expect(later.Quarantined).To(HaveLen(16))
	})

	// Guards against refusing a sound request for long since an instance has missed that it
	// completed, and goes on to repeat its crashes.
	It("releases a request at an instance that has missed its completion", func() {
		here, there := quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{})
		here.RecordCrash(1, 10, now)
		here.RecordCrash(1, 20, now)
		crashes := here.Report(8, now)
		there.Merge(&crashes, now)
		there.RecordCompletion(1, 30, now.Add(time.Second))
		late := now.Add(20 * time.Second)
		crashes = here.Repeat(64, late)
		there.Merge(&crashes, late)
		Expect(there.IsQuarantined(1, late)).To(BeFalse())
		completions := there.Report(8, late)
		here.Merge(&completions, late)
		Expect(here.IsQuarantined(1, late)).To(BeFalse())
	})

	// Guards against a request that crashes engines for as long as it comes: the operators
	// allow it three engines more after 3 s.
	It("refuses a request that ends engines soon, although each had lost a response before", func() {
		for seed := range uint64(40) {
			for _, sound := range []float64{0, 5, 100} {
				crashes := playCrashes(rand.New(rand.NewPCG(seed, 2)), sound)
				late := countAfter(crashes, 3*time.Second)
				Expect(late).To(BeNumerically("<=", 3), "seed %d, %.0f sound requests a second", seed, sound)
			}
		}
	})

	// Guards against refusing a sound request for long after a wrong decision.
	It("releases a request on all instances once an engine has completed it", func() {
		here, there := quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{})
		here.RecordCrash(1, 10, now)
		here.RecordCrash(1, 20, now)
		crashes := here.Report(8, now)
		there.Merge(&crashes, now)
		Expect(there.IsQuarantined(1, now)).To(BeTrue())
		there.RecordCompletion(1, 30, now.Add(time.Second))
		completions := there.Report(8, now.Add(2*time.Second))
		Expect(completions.Completions).To(HaveLen(1))
		here.Merge(&completions, now.Add(2*time.Second))
		Expect(here.IsQuarantined(1, now.Add(2*time.Second))).To(BeFalse())
		there.Merge(&crashes, now.Add(500*time.Millisecond))
		Expect(there.IsQuarantined(1, now.Add(2*time.Second))).To(BeFalse(), "an old report has no effect")
		here.RecordCrash(1, 40, now.Add(3*time.Second))
		here.RecordCrash(1, 50, now.Add(3*time.Second))
		Expect(here.IsQuarantined(1, now.Add(3*time.Second))).To(BeTrue(), "later crashes count")
	})

	// Guards against requests with an equal body of which none is served any more because one
	// engine of three answers with garbage.
	It("refuses no request of a load that sound engines complete", func() {
		const perSecond, seconds, engines = 60, 11, 3
		s := quarantiner.New(quarantiner.Config{})
		refused, failed := 0, 0
		for n := range perSecond * seconds {
			at := now.Add(time.Duration(n) * time.Second / perSecond)
			fingerprint := quarantiner.Fingerprint(1)
			if n%5 == 0 {
				fingerprint = quarantiner.Fingerprint(100 + n)
			}
			switch incarnation := quarantiner.Incarnation(n % engines); {
			case s.IsQuarantined(fingerprint, at):
				refused++
			case incarnation == 0:
				failed++
				s.RecordCrash(fingerprint, incarnation, at)
			default:
				s.RecordCompletion(fingerprint, incarnation, at)
			}
		}
		AddReportEntry("result", fmt.Sprintf("%d failed, %d refused", failed, refused))
		Expect(refused).To(BeZero())
	})
})

// playCrashes plays a minute on eight instances and twelve engines, with a number of sound
// requests a second and one request that ends each engine that runs it and comes every 0.7 s.
// Each engine loses one response 4 s before that. It returns the times of the ends.
func playCrashes(random *rand.Rand, soundPerSecond float64) []time.Duration {
	const (
		instances, engines       = 8, 12
		step, restartTime        = 25 * time.Millisecond, 3 * time.Second
		reportInterval, interval = 10 * step, 28 * step
		crasher, other           = 1, 1000
	)
	start := time.Unix(1000, 0)
	quarantiners := make([]*quarantiner.Quarantiner, instances)
	for i := range quarantiners {
		quarantiners[i] = quarantiner.New(quarantiner.Config{})
	}
	var incarnations [engines]quarantiner.Incarnation
	var backAt [engines]time.Duration
	for e := range incarnations {
		incarnations[e] = quarantiner.Incarnation(e)
		quarantiners[random.IntN(instances)].RecordCrash(other+quarantiner.Fingerprint(e), incarnations[e], start.Add(-4*time.Second))
	}
	var ends []time.Duration
	for now := time.Duration(0); now < time.Minute; now += step {
		if now%reportInterval == 0 {
			shareReports(quarantiners, start.Add(now))
		}
		if e := random.IntN(engines); random.Float64() < soundPerSecond*step.Seconds() && now >= backAt[e] {
			quarantiners[random.IntN(instances)].RecordCompletion(other-1, incarnations[e], start.Add(now))
		}
		if now%interval != 0 {
			continue
		}
		q, at := quarantiners[random.IntN(instances)], start.Add(now)
		for range 2 {
			e := random.IntN(engines)
			if q.IsQuarantined(crasher, at) || now < backAt[e] {
				continue
			}
			q.RecordCrash(crasher, incarnations[e], at)
			q.RecordEnd(crasher, incarnations[e], at)
			ends = append(ends, now)
			incarnations[e] += engines
			backAt[e] = now + restartTime
		}
	}
	return ends
}

func shareReports(quarantiners []*quarantiner.Quarantiner, now time.Time) {
	for i, from := range quarantiners {
		report := from.Report(8, now)
		for j, to := range quarantiners {
			if i != j {
				to.Merge(&report, now.Add(10*time.Millisecond))
			}
		}
	}
}

// countAfter counts the times that are later than a duration after the third.
func countAfter(times []time.Duration, duration time.Duration) int {
	count := 0
	for _, t := range times {
		if len(times) >= 3 && t > times[2]+duration {
			count++
		}
	}
	return count
}
