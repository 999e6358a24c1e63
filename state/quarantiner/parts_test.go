package quarantiner_test

import (
	"math/rand/v2"
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
		return quarantiner.NewParts(quarantiner.PartsConfig{OnNews: func() {}, OnChange: func(quarantiner.Part, bool) {}})
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
