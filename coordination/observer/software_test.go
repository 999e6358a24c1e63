package observer_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/coordination/observer"
)

var _ = Describe("An observer among instances of an earlier release", func() {
	registered := func(start, sequence int64, version catalog.SoftwareVersion) observer.Change {
		return observer.Change{Upstream: &catalog.Upstream{ID: "e1", StartUnixMilli: start, Sequence: sequence, SoftwareVersion: version}}
	}

	// Guards against an upstream that gets no streams since the others relay its
	// registrations without the version of its software.
	It("keeps the software version of an upstream that has not started again", func() {
		f := start()
		f.upstreams.add(registered(5, 1, "v1"))
		Eventually(f.ids, "2s").Should(ConsistOf("e1"))
		relay := func(position int, change observer.Change) {
			change.Position = crocushollow.Position(position)
			f.observer.HandleRelayed(observer.RelayedBatch{
				Source: observer.Upstreams, From: crocushollow.Position(position), Next: crocushollow.Position(position + 1), IsComplete: true, Changes: []observer.Change{change},
			})
		}
		relay(1, registered(5, 2, ""))
		Eventually(func() int64 { return f.observer.View().Upstreams["e1"].Sequence }, "2s").Should(Equal(int64(2)))
		Expect(f.observer.View().Upstreams["e1"].SoftwareVersion).To(Equal(catalog.SoftwareVersion("v1")))
		relay(2, registered(6, 1, ""))
		Eventually(func() int64 { return f.observer.View().Upstreams["e1"].StartUnixMilli }, "2s").Should(Equal(int64(6)))
		Expect(f.observer.View().Upstreams["e1"].SoftwareVersion.IsKnown()).To(BeFalse())
	})
})
