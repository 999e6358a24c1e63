package observer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/coordination/observer"
)

// graceEnd is a time by which what a restored feed has lost was written again, or is gone.
const graceEnd = "4s"

func draining(id string, sequence int64) observer.Change {
	return observer.Change{Upstream: &catalog.Upstream{ID: id, Sequence: sequence, IsDraining: true}}
}

var _ = Describe("An observer of a feed that is restored from a copy", func() {
	isDraining := func(f *fixture, id string) func() bool {
		return func() bool {
			known := f.observer.View().Upstreams[id]
			return known != nil && known.IsDraining
		}
	}

	// Guards against a registration that is ignored since its offset is lower than that of
	// an earlier one.
	It("applies registrations at offsets that were given before", func() {
		f := start()
		f.upstreams.add(upstream("e1", 1), upstream("e2", 1), upstream("e1", 2), upstream("e1", 3))
		Eventually(f.ids, "2s").Should(ConsistOf("e1", "e2"))
		f.upstreams.restore(2)
		f.upstreams.add(draining("e1", 4))
		Eventually(isDraining(f, "e1"), "2s").Should(BeTrue())
	})

	// Guards against a batch of the earlier history, which an instance that was suspended
	// relays late.
	It("ignores what others relay of the earlier history", func() {
		f := start()
		f.upstreams.add(upstream("e1", 1))
		Eventually(f.ids, "2s").Should(ConsistOf("e1"))
		f.upstreams.restore(1)
		f.upstreams.add(draining("e1", 2))
		Eventually(isDraining(f, "e1"), "2s").Should(BeTrue())
		late := observer.Change{Upstream: &catalog.Upstream{ID: "e1", Sequence: 9}, Position: 7}
		f.observer.HandleRelayed(observer.RelayedBatch{Source: observer.Upstreams, From: 7, Next: 8, IsComplete: true, Changes: []observer.Change{late}})
		Consistently(isDraining(f, "e1"), "300ms").Should(BeTrue())
	})

	// Guards against a zone that gets requests, and an upstream that gets none, because the
	// copy does not have what was written since.
	It("keeps what the copy does not have until it is written again", func() {
		f := start()
		f.operators.add(version(1))
		f.upstreams.add(upstream("e1", 1))
		Eventually(f.ids, "2s").Should(ConsistOf("e1"))
		f.operators.add(observer.Change{Zone: "za"}, version(2))
		f.upstreams.add(upstream("e2", 1))
		zoneIsOut := func() bool { return f.observer.View().ZonesOutOfService["za"] }
		Eventually(zoneIsOut, "2s").Should(BeTrue())
		Eventually(f.ids, "2s").Should(ConsistOf("e1", "e2"))
		f.operators.restore(1)
		f.upstreams.restore(1)
		Consistently(func() bool { return zoneIsOut() && f.version() == 2 && len(f.ids()) == 2 }, "1s", "10ms").Should(BeTrue())
		f.operators.add(observer.Change{Zone: "za"}, version(2))
		f.upstreams.add(upstream("e2", 2))
		Consistently(func() bool { return zoneIsOut() && f.version() == 2 && len(f.ids()) == 2 }, graceEnd, "10ms").Should(BeTrue())
	})

	// Guards against a zone that stays out of service, and an upstream that stays, for good
	// because the feed lost the record that ended them.
	It("drops what is not written again", func() {
		f := start()
		f.operators.add(version(1))
		f.upstreams.add(upstream("e1", 1))
		Eventually(f.ids, "2s").Should(ConsistOf("e1"))
		f.operators.add(observer.Change{Zone: "za"})
		f.upstreams.add(upstream("e2", 1))
		Eventually(f.ids, "2s").Should(ConsistOf("e1", "e2"))
		f.operators.restore(1)
		f.upstreams.restore(1)
		Eventually(func() int { return len(f.observer.View().ZonesOutOfService) + len(f.ids()) }, graceEnd).Should(Equal(1))
	})

	// Guards against a follower that misses changes since it takes those of a new history
	// for the continuation of the earlier one.
	It("reads everything again when others relay a new history", func() {
		operators, upstreams := &feed{}, &feed{}
		operators.add(version(1), version(2), version(3))
		follower := startAs(false, operators, upstreams, func(observer.RelayedBatch) {})
		Eventually(follower.version, "2s").Should(Equal(int64(3)))
		operators.restore(1)
		operators.add(version(2), version(3), version(4), version(5))
		operators.mu.Lock()
		batch := observer.RelayedBatch{Source: observer.Operators, From: operators.end(), Next: operators.end(), IsComplete: true}
		operators.mu.Unlock()
		follower.observer.HandleRelayed(batch)
		Eventually(follower.version, time.Second).Should(Equal(int64(5)))
	})
})
