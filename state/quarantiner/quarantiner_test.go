package quarantiner_test

import (
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

	It("adds the counts of all instances, however often they are reported", func() {
		here, there := quarantiner.New(), quarantiner.New()
		here.RecordCrash(1, now)
		there.RecordCrash(1, now)
		for range 3 {
			here.RecordPeerCrashes("there", there.RecentCrashes(8, now), now)
		}
		Expect(here.Crashes(1, now)).To(Equal(2))
		Expect(there.Crashes(1, now)).To(Equal(1))
		Expect(here.Crashes(2, now)).To(Equal(0))
	})

	It("forgets a crash after the retention time", func() {
		s := quarantiner.New()
		s.RecordCrash(1, now)
		Expect(s.Crashes(1, now.Add(2*time.Minute))).To(Equal(0))
	})

	It("reports only recent crashes, up to a limit", func() {
		s := quarantiner.New()
		for i := range 20 {
			s.RecordCrash(quarantiner.Fingerprint(i), now)
		}
		Expect(s.RecentCrashes(8, now)).To(HaveLen(8))
		Expect(s.RecentCrashes(8, now.Add(time.Minute))).To(BeEmpty())
	})

	It("bounds its memory while requests keep crashing upstreams", func() {
		s := quarantiner.New()
		for i := range 20000 {
			s.RecordCrash(quarantiner.Fingerprint(i), now)
		}
		Expect(s.Crashes(19999, now)).To(Equal(1))
	})
})
