package integration_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// rewriteDelay is the time after which operators and upstreams have written again what a
// restored store has lost.
const rewriteDelay = time.Second

var _ = Describe("Instances on a platform whose store is restored from a copy", func() {
	// Guards against a zone that is put back into service, and upstreams that are taken
	// out, because the copy does not have what was written since.
	It("keep what the copy does not have until it is written again", Label("known-red"), func() {
		f := startHostedFleet(3)
		earlier := f.Store.Copy()
		f.StartUpstream(platformtest.UpstreamConfig{ID: "i-new", Service: platformtest.PlainService, Zone: "za", Slots: 4})
		f.EvacuateZone("zb")
		table := f.Table()
		table.Version, table.ExtraIdempotentPaths = 9, []string{"/new/"}
		f.PutTable(table)
		Eventually(func() map[string]bool { return f.respondingUpstreams(stockRequest(), 6) }, zoneRemovalTimeout, "50ms").
			Should(And(HaveKey("i-new"), Not(HaveKey("i-d"))))
		f.Store.Restore(earlier)
		rewritten := time.Now().Add(rewriteDelay)
		for time.Now().Before(rewritten) {
			Expect(f.respondingUpstreams(platformtest.Request{Path: "/new/1"}, 6)).To(And(Not(BeEmpty()), Not(HaveKey("i-d"))))
		}
		f.EvacuateZone("zb")
		f.PutTable(table)
		Consistently(func() map[string]bool { return f.respondingUpstreams(stockRequest(), 6) }, "3s", "50ms").
			Should(Not(HaveKey("i-d")))
		Expect(f.respondingUpstreams(stockRequest(), 12)).To(HaveKey("i-new"))
	})

	// Guards against changes that are ignored because their offsets are lower than those of
	// the earlier history.
	It("apply what is written after the return", func() {
		f := startHostedFleet(3)
		earlier := f.Store.Copy()
		for range 40 {
			f.PutRegistration("i-invalid", platformtest.InvalidAddressRegistration)
		}
		time.Sleep(time.Second)
		f.Store.Restore(earlier)
		table := f.Table()
		table.Version, table.ExtraIdempotentPaths = 9, []string{"/new/"}
		f.PutTable(table)
		f.DrainUpstream("i-c")
		changedAt := time.Now()
		for n := range f.Instances {
			Eventually(func() int { return f.sendTo(n, platformtest.Request{Path: "/new/1"}).Status }, tableUpdateTimeout, "20ms").Should(Equal(200))
		}
		time.Sleep(time.Until(changedAt.Add(drainLimit)))
		Expect(f.respondingUpstreams(stockRequest(), 12)).To(Equal(map[string]bool{"i-d": true}))
	})

	// Guards against instances that later ones do not find because the copy does not list
	// them.
	It("are found by an instance that starts after the return", func() {
		f := startHostedFleet(1)
		earlier := f.Store.Copy()
		Expect(f.StartInstance(true)).To(Succeed())
		Eventually(func() bool { return f.Instances[1].IsReady(context.Background()) }, "5s", "20ms").Should(BeTrue())
		f.Store.Restore(earlier)
		Expect(f.RegisteredInstances()).NotTo(ContainElement("node-1"))
		Eventually(f.RegisteredInstances, "3s", "50ms").Should(ContainElements("node-0", "node-1"))
	})
})
