package observer_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/coordination/observer"
)

// maxKnowledgeDelay is the time within which every instance stops sending requests to
// an upstream that leaves, counted from the store's response to the upstream.
const maxKnowledgeDelay = 2 * time.Second

// isSelectable reports whether the view offers the upstream e1 for requests.
func (f *fixture) isSelectable() bool {
	known := f.observer.View().Upstreams["e1"]
	return known != nil && !known.IsDraining
}

func drainingUpstream(sequence int64) observer.Change {
	change := upstream("e1", sequence)
	change.Upstream.IsDraining = true
	return change
}

var _ = Describe("An upstream that leaves", func() {
	// Guards against requests to an upstream that has left, after the store has executed
	// one of its earlier heartbeats late.
	It("is not taken back when an earlier heartbeat is stored after its removal", func() {
		f := start()
		f.upstreams.add(upstream("e1", 4), upstream("e2", 1))
		Eventually(f.ids, "2s").Should(ConsistOf("e1", "e2"))
		f.upstreams.add(drainingUpstream(6))
		Eventually(func() bool { return f.isSelectable() }, "2s").Should(BeFalse())
		f.upstreams.add(observer.Change{DeregisteredUpstream: "e1"})
		Eventually(f.ids, "2s").Should(ConsistOf("e2"))
		f.upstreams.add(upstream("e1", 5))
		Consistently(func() bool { return f.isSelectable() }, "1500ms").Should(BeFalse())
		f.upstreams.add(upstream("e1", 7))
		Eventually(func() bool { return f.isSelectable() }, "2s").Should(BeTrue())
	})

	// Guards against the same at an instance that has received only the heartbeats that
	// changed something.
	It("is not taken back by a follower that does not know its last heartbeat", func() {
		operators, upstreams := &feed{}, &feed{}
		upstreams.add(upstream("e1", 1))
		follower := startAs(false, operators, upstreams, func(observer.RelayedBatch) {})
		watcher := startAs(true, operators, upstreams, follower.observer.HandleRelayed)
		Eventually(follower.ids, "2s").Should(ConsistOf("e1"))
		Eventually(watcher.ids, "2s").Should(ConsistOf("e1"))
		upstreams.add(upstream("e1", 2), upstream("e1", 3))
		Eventually(func() int64 { return watcher.observer.View().Upstreams["e1"].Sequence }, "2s").Should(BeEquivalentTo(3))
		upstreams.add(observer.Change{DeregisteredUpstream: "e1"})
		Eventually(follower.ids, "2s").Should(BeEmpty())
		upstreams.add(upstream("e1", 2))
		Consistently(func() bool { return follower.isSelectable() }, "2500ms").Should(BeFalse())
		upstreams.add(upstream("e1", 4))
		Eventually(func() bool { return follower.isSelectable() }, "2s").Should(BeTrue())
	})

	// Guards against an instance that trusts a suspended or slow watcher, which relays
	// what it read long before.
	It("is known in time although the watcher relays only what it read before", func() {
		upstreams := &feed{}
		upstreams.add(upstream("e1", 1), upstream("e2", 1), upstream("e3", 1))
		follower := startAs(false, &feed{}, upstreams, func(observer.RelayedBatch) {})
		Eventually(follower.ids, "2s").Should(HaveLen(3))
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() {
			for ctx.Err() == nil {
				follower.observer.HandleRelayed(observer.RelayedBatch{Source: observer.Upstreams, From: 1, Next: 2, IsComplete: true})
				time.Sleep(300 * time.Millisecond)
			}
		}()
		time.Sleep(time.Second)
		upstreams.add(drainingUpstream(2))
		Eventually(func() bool { return follower.isSelectable() }, maxKnowledgeDelay).Should(BeFalse())
	})

	// Guards against an instance whose watcher is silent and that waits for it again after
	// its own read has failed.
	It("is known in time although a read of the feed fails", func() {
		follower := startAs(false, &feed{}, &feed{}, func(observer.RelayedBatch) {})
		follower.upstreams.add(upstream("e1", 1))
		Eventually(follower.isSelectable, "2s").Should(BeTrue())
		calls := follower.upstreams.calls.Load()
		follower.upstreams.setUnreachable(true)
		follower.upstreams.add(drainingUpstream(2))
		draining := time.Now()
		Eventually(follower.upstreams.calls.Load, "2s", "1ms").Should(BeNumerically(">", calls))
		time.Sleep(50 * time.Millisecond)
		follower.upstreams.setUnreachable(false)
		Eventually(follower.isSelectable, maxKnowledgeDelay-time.Since(draining)).Should(BeFalse())
	})

	// Guards against an instance that reads without a pause since the store returns less
	// to it than another instance has relayed.
	It("is not looked for without a pause while the store returns old records", func() {
		follower := startAs(false, &feed{}, &feed{}, func(observer.RelayedBatch) {})
		Eventually(follower.upstreams.calls.Load, "1s").Should(BeEquivalentTo(1))
		change := drainingUpstream(2)
		change.Position = 8
		follower.observer.HandleRelayed(observer.RelayedBatch{
			Source: observer.Upstreams, From: 8, Next: 9, Changes: []observer.Change{change}, IsComplete: true,
		})
		time.Sleep(time.Second)
		Expect(follower.observer.View().Upstreams).To(HaveKey("e1"))
		Expect(follower.upstreams.calls.Load()).To(BeNumerically("<=", 10))
	})

	// Guards against a watcher that cannot reach the store and ignores the instances that
	// can.
	It("is known in time to a watcher that cannot read the feed itself", func() {
		watcher := start()
		watcher.upstreams.add(upstream("e1", 1))
		Eventually(watcher.ids, "2s").Should(ConsistOf("e1"))
		watcher.upstreams.setUnreachable(true)
		change := drainingUpstream(2)
		change.Position = 1
		watcher.observer.HandleRelayed(observer.RelayedBatch{
			Source: observer.Upstreams, From: 1, Next: 2, Changes: []observer.Change{change}, IsComplete: true,
		})
		Eventually(func() bool { return watcher.isSelectable() }, maxKnowledgeDelay).Should(BeFalse())
	})

	// Guards against an instance that has read that an upstream is gone, and goes on to
	// send requests to it because the feed failed shortly before.
	It("is removed in time after an outage of the feed", func() {
		f := start()
		f.upstreams.add(upstream("e1", 1))
		Eventually(f.ids, "2s").Should(ConsistOf("e1"))
		f.upstreams.setUnreachable(true)
		time.Sleep(1700 * time.Millisecond)
		lastReadAt := f.observer.View().UpstreamsReadAt
		f.upstreams.add(observer.Change{DeregisteredUpstream: "e1"})
		f.upstreams.setUnreachable(false)
		Eventually(func() time.Time { return f.observer.View().UpstreamsReadAt }, "2s", "5ms").Should(BeTemporally(">", lastReadAt))
		Eventually(f.ids, maxKnowledgeDelay).Should(BeEmpty())
	})
})
