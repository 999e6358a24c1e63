package integration_test

import (
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

var _ = Describe("Instances that read an odd registration of another writer", func() {
	// Guards against an instance that ends or stops following the registrations, or sends
	// requests to an upstream that does not exist.
	It("go on, follow later registrations, and use no upstream that it names", func() {
		f := startHostedFleet(2)
		for oddity, content := range platformtest.OddRegistrations() {
			f.PutRegistration("i-odd-"+strings.ReplaceAll(oddity, " ", "-"), content)
		}
		f.StartUpstream(platformtest.UpstreamConfig{ID: "i-later", Service: platformtest.PlainService, Zone: "za", Slots: 4})
		f.DeregisterUpstream("i-c")
		f.DeregisterUpstream("i-d")
		for n := range f.Instances {
			Eventually(func() string {
				answer := f.sendTo(n, stockRequest())
				return answer.UpstreamID()
			}, drainTimeout, "20ms").Should(Equal("i-later"))
			for range 40 {
				answer := f.sendTo(n, notesRequest())
				Expect(answer.Status).To(Equal(200))
				Expect(answer.Duration).To(BeNumerically("<", time.Second))
			}
			Expect(f.Instances[n].Done()).NotTo(BeClosed())
		}
	})

	// Guards against an engine that is lost, since its next registrations look older than
	// the odd one under its ID.
	DescribeTable("go on with the engine whose ID another writer has used", func(field platformtest.RegistrationField, value any) {
		f := startHostedFleet(2)
		f.DeregisterUpstream("i-b")
		time.Sleep(500 * time.Millisecond)
		f.PutRegistration("i-a", f.Upstreams()["i-a"].ForgedRegistration(field, value))
		time.Sleep(time.Second)
		for n := range f.Instances {
			for range 10 {
				Expect(f.sendTo(n, notesRequest()).Status).To(Equal(200))
			}
		}
	},
		Entry("with a start in the far future", platformtest.StartField, int64(1)<<53),
		Entry("with the largest start", platformtest.StartField, int64(math.MaxInt64)),
		Entry("with a large sequence number", platformtest.SequenceField, int64(1)<<53),
		Entry("with the largest sequence number", platformtest.SequenceField, int64(math.MaxInt64)),
		Entry("with an endless cold start", platformtest.ColdStartField, 1e300),
	)
})
