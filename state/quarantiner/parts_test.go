package quarantiner_test

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/state/quarantiner"
)

var _ = Describe("PartQuarantiner", func() {
	const (
		common  quarantiner.Part = 1
		crasher quarantiner.Part = 2
		rare    quarantiner.Part = 3
	)
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	newParts := func() *quarantiner.PartQuarantiner {
		return quarantiner.NewParts(quarantiner.PartsConfig{OnNews: func() {}, OnChange: func(quarantiner.Part, bool) {}, OnTrial: func(quarantiner.Part) {}})
	}
	suspect := func(crash, request uint64, parts ...quarantiner.Part) quarantiner.Suspicion {
		return quarantiner.Suspicion{Crash: crash, Request: request, Parts: parts}
	}
	isQuarantined := func(q *quarantiner.PartQuarantiner, part quarantiner.Part, now time.Time) bool {
		return q.IsQuarantined([]quarantiner.Part{part}, now)
	}

	// Guards against engines that end one after the other while each instance sees only
	// a few of the crashes.
	It("finds a part from crashes that different instances see", func() {
		here, there := newParts(), newParts()
		here.RecordCrash(suspect(1, 1, common, crasher), at(0))
		there.RecordCrash(suspect(2, 2, common, crasher), at(1))
		here.RecordCompletion([]quarantiner.Part{common, rare}, at(1.2))
		here.RecordCrash(suspect(3, 3, common, crasher), at(2))
		report := there.Report(at(2.1))
		for range 3 {
			here.Merge(&report, at(2.1))
		}
		Expect(isQuarantined(here, crasher, at(2.2))).To(BeTrue())
		Expect(isQuarantined(here, common, at(2.2))).To(BeFalse())
		report = here.Report(at(2.2))
		there.Merge(&report, at(2.2))
		Expect(isQuarantined(there, crasher, at(2.3))).To(BeTrue())
	})

	// Guards against refusing every request of a service whose engines end together, as
	// when an availability zone loses power.
	It("takes crashes at the same moment for one", func() {
		q := newParts()
		for n := range uint64(40) {
			q.RecordCrash(suspect(n, n, common, rare), at(float64(n)*0.005))
		}
		Expect(isQuarantined(q, common, at(1))).To(BeFalse())
	})

	It("does not suspect a part for one request that meets several crashes", func() {
		q := newParts()
		for n := range 5 {
			q.RecordCrash(suspect(uint64(n), 7, rare), at(float64(n)))
		}
		Expect(isQuarantined(q, rare, at(6))).To(BeFalse())
	})

	// Guards against refusing sound requests for long after a wrong decision.
	It("releases a part when a request with it completes at any instance", func() {
		here, there := newParts(), newParts()
		for n := range 3 {
			here.RecordCrash(suspect(uint64(n), uint64(n), rare), at(float64(n)))
		}
		report := here.Report(at(3))
		there.Merge(&report, at(3))
		Expect(isQuarantined(here, rare, at(3))).To(BeTrue())
		there.RecordCompletion([]quarantiner.Part{rare}, at(3.1))
		report = there.Report(at(3.2))
		here.Merge(&report, at(3.2))
		Expect(isQuarantined(here, rare, at(3.3))).To(BeFalse())
		Expect(isQuarantined(there, rare, at(3.3))).To(BeFalse())
	})

	It("keeps a part quarantined while requests with it come, and tells an instance that starts", func() {
		q := newParts()
		for n := range 3 {
			q.RecordCrash(suspect(uint64(n), uint64(n), crasher), at(float64(n)))
		}
		for minute := range 20 {
			Expect(isQuarantined(q, crasher, at(3+60*float64(minute)))).To(BeTrue())
		}
		started := newParts()
		report := q.Report(at(1200))
		started.Merge(&report, at(1200))
		Expect(isQuarantined(started, crasher, at(1201))).To(BeTrue())
		Expect(isQuarantined(started, crasher, at(2400))).To(BeFalse())
	})

	// Guards against refusing sound parts during a storm of crashes: many requests with
	// random parts are running when each engine ends.
	It("finds the part among many that run at the same time, and only that one", func() {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 1))
			q := newParts()
			part := func() quarantiner.Part { return 10 + quarantiner.Part(random.IntN(30)) }
			crashes := uint64(0)
			for now := 0.0; now < 10; now += 0.05 {
				q.RecordCompletion([]quarantiner.Part{common, part()}, at(now))
				if random.Float64() > 0.05 || isQuarantined(q, crasher, at(now)) {
					continue
				}
				crashes++
				q.RecordCrash(suspect(crashes, random.Uint64(), common, crasher), at(now))
				for range random.IntN(6) {
					q.RecordCrash(suspect(crashes, random.Uint64(), common, part()), at(now))
				}
			}
			Expect(crashes).To(BeNumerically("<=", 8), "seed %d", seed)
			for other := range quarantiner.Part(40) {
				if other != crasher {
					Expect(isQuarantined(q, other, at(10))).To(BeFalse(), "seed %d, part %d", seed, other)
				}
			}
		}
	})

	// Guards against refusing a common part, and thereby all that could clear it, since requests
	// with it ran beside those that crashed the upstream.
	It("does not blame the parts of requests that ran beside the one that crashed", func() {
		for _, isCrasherFirst := range []bool{true, false} {
			for _, completions := range []int{0, 5} {
				q := newParts()
				for range completions {
					q.RecordCompletion([]quarantiner.Part{common, rare}, at(-1))
				}
				for crash := range uint64(3) {
					suspicions := []quarantiner.Suspicion{
						suspect(crash, 10*crash, common, crasher), suspect(crash, 10*crash+1, common, 20+quarantiner.Part(crash)), suspect(crash, 10*crash+2, common),
					}
					if !isCrasherFirst {
						slices.Reverse(suspicions)
					}
					for n, suspicion := range suspicions {
						q.RecordCrash(suspicion, at(4*float64(crash)+0.01*float64(n)))
					}
				}
				Expect(isQuarantined(q, crasher, at(9))).To(BeTrue())
				Expect(isQuarantined(q, common, at(9))).To(BeFalse())
			}
		}
	})

	// Guards against releasing a part that crashes upstreams since its crashes are explained by
	// another part, which is quarantined later and by mistake.
	It("keeps a part quarantined that explains crashes better than a common part", func() {
		q := newParts()
		q.RecordCompletion([]quarantiner.Part{common}, at(-1))
		for crash := range uint64(3) {
			q.RecordCrash(suspect(crash, crash, common, crasher), at(float64(crash)))
		}
		for crash := range uint64(3) {
			q.RecordCrash(suspect(10+crash, 10+crash, common, 20+quarantiner.Part(crash)), at(4+float64(crash)))
		}
		Expect(isQuarantined(q, common, at(8))).To(BeTrue())
		q.RecordCompletion([]quarantiner.Part{common, 30}, at(9))
		Expect(isQuarantined(q, common, at(9))).To(BeFalse())
		Expect(isQuarantined(q, crasher, at(9))).To(BeTrue())
	})

	Context("whose parts are quarantined for crashes that no request has caused", func() {
		// exchange applies the reports of all instances to all others.
		exchange := func(fleet []*quarantiner.PartQuarantiner, now time.Time) {
			for _, from := range fleet {
				report := from.Report(now)
				for _, to := range fleet {
					if to != from {
						to.Merge(&report, now)
					}
				}
			}
		}
		// crashedFleet returns instances that have quarantined a part with which requests have
		// completed before.
		crashedFleet := func() []*quarantiner.PartQuarantiner {
			fleet := []*quarantiner.PartQuarantiner{newParts(), newParts(), newParts()}
			for _, q := range fleet {
				q.RecordCompletion([]quarantiner.Part{common}, at(-1))
			}
			for crash := range uint64(3) {
				fleet[crash].RecordCrash(suspect(crash, crash, common, 20+quarantiner.Part(crash)), at(4*float64(crash)))
				exchange(fleet, at(4*float64(crash)))
			}
			for _, q := range fleet {
				Expect(isQuarantined(q, common, at(8))).To(BeTrue())
			}
			return fleet
		}
		prompt := []quarantiner.Part{common, rare}
		// takeTrials claims and takes a trial at each instance, and returns how many were taken.
		takeTrials := func(fleet []*quarantiner.PartQuarantiner, now float64) int {
			for _, q := range fleet {
				q.ClaimTrial(prompt, at(now))
			}
			exchange(fleet, at(now+0.1))
			taken := 0
			for _, q := range fleet {
				if q.TakeTrial(prompt, at(now).Add(quarantiner.ClaimTime)) {
					taken++
				}
				Expect(q.TakeTrial(prompt, at(now).Add(quarantiner.ClaimTime))).To(BeFalse())
			}
			exchange(fleet, at(now+1))
			return taken
		}

		// Guards against refusing sound requests for good, which alone could clear their parts.
		It("releases them after one request of the whole fleet has shown that they are sound", func() {
			fleet := crashedFleet()
			Expect(takeTrials(fleet, 8.1)).To(BeZero())
			Expect(takeTrials(fleet, 10.1)).To(Equal(1))
			fleet[1].RecordCompletion(prompt, at(11))
			exchange(fleet, at(11))
			for _, q := range fleet {
				Expect(isQuarantined(q, common, at(11.1))).To(BeFalse())
			}
		})

		// Guards against claims of all instances of a large fleet at the same moment.
		It("spreads the claims of instances", func() {
			fleet := []*quarantiner.PartQuarantiner{}
			for range 100 {
				q := newParts()
				q.RecordCompletion(prompt, at(-1))
				q.Merge(&quarantiner.PartReport{Quarantined: []quarantiner.QuarantinedPart{{Part: common, Remaining: time.Minute}}}, at(8))
				fleet = append(fleet, q)
			}
			open := 0
			for _, q := range fleet {
				if q.IsTrialOpen(prompt, at(9.5)) {
					open++
				}
			}
			Expect(open).To(BeNumerically("~", 50, 30))
		})

		// Guards against requests that go on to crash engines as trials.
		It("sends two more requests with a part that does crash upstreams", func() {
			fleet, taken := crashedFleet(), 0
			for now := 9.0; now < 300; now++ {
				taken += takeTrials(fleet, now)
			}
			Expect(taken).To(Equal(2))
			started := newParts()
			fleet = append(fleet, started)
			for now := 300.0; now < 400; now++ {
				started.RecordCompletion([]quarantiner.Part{rare}, at(now))
				taken += takeTrials(fleet, now)
			}
			Expect(taken).To(Equal(2))
		})

		// Guards against a trial whose success stays unknown to the others, who then quarantine
		// the part again, since the instance that took it has not heard of the crashes.
		It("releases them after a trial at an instance that has missed the crashes", Label("known-red"), func() {
			fleet := crashedFleet()
			for now := 8.5; now < 10; now += 0.5 {
				exchange(fleet, at(now))
			}
			started := newParts()
			fleet = append(fleet, started)
			exchange(fleet, at(11))
			Expect(isQuarantined(started, common, at(11))).To(BeTrue())
			started.RecordCompletion(prompt, at(11))
			for now := 11.0; now < 20; now++ {
				exchange(fleet, at(now))
			}
			for _, q := range fleet {
				Expect(isQuarantined(q, common, at(20))).To(BeFalse())
			}
		})

		It("takes no trial of a prompt with two quarantined parts", func() {
			fleet := crashedFleet()
			fleet[0].Merge(&quarantiner.PartReport{Quarantined: []quarantiner.QuarantinedPart{{Part: rare, Remaining: time.Minute}}}, at(9))
			Expect(fleet[0].IsTrialOpen(prompt, at(11))).To(BeFalse())
			Expect(fleet[0].IsTrialOpen([]quarantiner.Part{common}, at(11))).To(BeTrue())
		})
	})

	It("bounds its memory", func() {
		q := newParts()
		for n := range uint64(20000) {
			q.RecordCompletion([]quarantiner.Part{quarantiner.Part(n)}, at(float64(n)))
			q.RecordCrash(suspect(n, n, quarantiner.Part(n)), at(float64(n)))
		}
		report := q.Report(at(20000))
		Expect(len(report.Suspicions)).To(BeNumerically("<=", 16))
	})
})
