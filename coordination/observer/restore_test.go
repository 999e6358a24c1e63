package observer_test

import (
	"sync/atomic"
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

	// isolate starts a watcher, and a follower that has read the feeds and cannot reach them
	// any more.
	isolate := func(operators, upstreams *feed) *fixture {
		ownOperators, ownUpstreams := operators.clone(), upstreams.clone()
		follower := startAs(false, ownOperators, ownUpstreams, func(observer.RelayedBatch) {})
		Eventually(follower.version, "2s").Should(Equal(int64(1)))
		Eventually(follower.ids, "2s").Should(ConsistOf("e2"))
		ownOperators.setUnreachable(true)
		ownUpstreams.setUnreachable(true)
		watcher := startAs(true, operators, upstreams, follower.observer.HandleRelayed)
		Eventually(watcher.version, "2s").Should(Equal(int64(1)))
		Eventually(watcher.ids, "2s").Should(ConsistOf("e2"))
		return follower
	}
	// replace restores a feed with changes that the watcher reads in one snapshot.
	replace := func(f *feed, count int, changes ...observer.Change) {
		f.setUnreachable(true)
		f.restore(count)
		f.add(changes...)
		f.setUnreachable(false)
	}

	// Guards against an instance without a connection to the store that sends requests to a
	// zone out of service, because the others have read of it in a snapshot.
	It("tells instances that cannot read the feed of zones out of service", func() {
		operators, upstreams := &feed{}, &feed{}
		operators.add(version(1))
		upstreams.add(upstream("e2", 1))
		follower := isolate(operators, upstreams)
		replace(operators, 1, observer.Change{Zone: "za"})
		Eventually(func() map[string]bool { return follower.observer.View().ZonesOutOfService }, "2s").Should(HaveKey("za"))
	})

	// Guards against an instance without a connection to the store that sends requests to a
	// draining upstream, and keeps an earlier table, because the others have read of them in a
	// snapshot.
	It("tells instances that cannot read the feed of changed upstreams and of a newer table", func() {
		operators, upstreams := &feed{}, &feed{}
		operators.add(version(1))
		upstreams.add(upstream("e2", 1))
		follower := isolate(operators, upstreams)
		replace(upstreams, 1, draining("e2", 2))
		replace(operators, 1, version(2))
		Eventually(isDraining(follower, "e2"), "2s").Should(BeTrue())
		Eventually(follower.version, "2s").Should(Equal(int64(2)))
	})

	// Guards against a zone out of service that is relayed only by those who have not known it.
	It("tells them of zones out of service that others have known before", func() {
		operators, upstreams := &feed{}, &feed{}
		operators.add(version(1))
		upstreams.add(upstream("e2", 1))
		var target atomic.Pointer[observer.Observer]
		own := operators.clone()
		watcher := startAs(true, operators, upstreams, func(r observer.RelayedBatch) {
			if to := target.Load(); to != nil {
				to.HandleRelayed(r)
			}
		})
		operators.add(observer.Change{Zone: "za"})
		Eventually(func() map[string]bool { return watcher.observer.View().ZonesOutOfService }, "2s").Should(HaveKey("za"))
		follower := startAs(false, own, upstreams, func(observer.RelayedBatch) {})
		Eventually(follower.version, "2s").Should(Equal(int64(1)))
		own.setUnreachable(true)
		target.Store(follower.observer)
		replace(operators, 1, observer.Change{Zone: "za"})
		Eventually(func() map[string]bool { return follower.observer.View().ZonesOutOfService }, "2s").Should(HaveKey("za"))
	})

	// Guards against an instance that learns of a zone out of service from none that starts.
	It("tells them of zones out of service that the first snapshot has", func() {
		operators, upstreams := &feed{}, &feed{}
		operators.add(version(1))
		upstreams.add(upstream("e2", 1))
		follower := isolate(operators, upstreams)
		later := operators.clone()
		later.add(observer.Change{Zone: "za"})
		startAs(true, later, upstreams, follower.observer.HandleRelayed)
		Eventually(func() map[string]bool { return follower.observer.View().ZonesOutOfService }, "2s").Should(HaveKey("za"))
	})

	// Guards against messages that carry the whole content of the feeds to all instances
	// whenever one reads them anew.
	It("does not relay what others know", func() {
		operators, upstreams := &feed{}, &feed{}
		operators.add(version(1))
		upstreams.add(upstream("e1", 1), upstream("e1", 2), upstream("e1", 3))
		var relayed atomic.Int64
		f := startAs(true, operators, upstreams, func(r observer.RelayedBatch) { relayed.Add(int64(len(r.Changes))) })
		Eventually(f.ids, "2s").Should(ConsistOf("e1"))
		Eventually(f.version, "2s").Should(Equal(int64(1)))
		upstreams.add(upstream("e1", 4), upstream("e1", 5))
		before := upstreams.calls.Load()
		Eventually(upstreams.calls.Load, "3s").Should(BeNumerically(">=", before+2))
		relayed.Store(0)
		replace(upstreams, 3, upstream("e1", 6))
		replace(operators, 1)
		before = upstreams.calls.Load()
		Eventually(upstreams.calls.Load, "5s").Should(BeNumerically(">=", before+4))
		Expect(relayed.Load()).To(BeZero())
	})
})
