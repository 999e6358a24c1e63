package observer_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/coordination/observer"
)

func TestObserver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "observer")
}

// feed is a fake feed that tests append changes to.
type feed struct {
	mu      sync.Mutex
	changes []observer.Change
	// era counts how often the feed was restored from a copy.
	era int64
	// first is the position of the first change that Follow can return.
	first         crocushollow.Position
	isUnreachable bool
	// readDelay is the time that Follow takes for each change, as on a slow link.
	readDelay time.Duration
	// calls counts the reads.
	calls atomic.Int64
}

var errUnreachable = errors.New("feed unreachable")

// end returns the position after the last change. The caller holds mu.
func (f *feed) end() crocushollow.Position { return f.position(len(f.changes)) }

func (f *feed) position(index int) crocushollow.Position {
	position, err := crocushollow.NewPosition(f.era, int64(index))
	Expect(err).NotTo(HaveOccurred())
	return position
}

// restore begins a new era with the first changes of the last one.
func (f *feed) restore(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.changes = f.changes[:count:count]
	for i := range f.changes {
		f.changes[i].Position = f.position(i)
	}
}

func (f *feed) Snapshot(context.Context) (observer.Batch, error) {
	f.calls.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isUnreachable {
		return observer.Batch{}, errUnreachable
	}
	newest := make(map[string]observer.Change)
	for _, change := range f.changes {
		newest[keyOf(change)] = change
	}
	batch := observer.Batch{Next: f.end()}
	for _, change := range newest {
		if change.DeregisteredUpstream == "" && !change.InService {
			batch.Changes = append(batch.Changes, change)
		}
	}
	return batch, nil
}

func (f *feed) Follow(ctx context.Context, from crocushollow.Position, _ time.Duration) (observer.Batch, error) {
	f.calls.Add(1)
	select {
	case <-ctx.Done():
		return observer.Batch{}, ctx.Err()
	case <-time.After(5 * time.Millisecond):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.isUnreachable:
		return observer.Batch{}, errUnreachable
	case from < f.first || from.Era() != f.era:
		return observer.Batch{}, observer.ErrExpired
	}
	next := int(from.Offset())
	if next > len(f.changes) {
		return observer.Batch{}, observer.ErrExpired
	}
	if f.readDelay > 0 && next < len(f.changes) {
		time.Sleep(f.readDelay)
		return observer.Batch{Changes: f.changes[next : next+1 : next+1], Next: from + 1}, nil
	}
	return observer.Batch{Changes: append([]observer.Change(nil), f.changes[next:]...), Next: f.end()}, nil
}

func keyOf(change observer.Change) string {
	switch {
	case change.Upstream != nil:
		return change.Upstream.ID
	case change.DeregisteredUpstream != "":
		return change.DeregisteredUpstream
	case change.Zone != "":
		return "zone " + change.Zone
	}
	return "table"
}

func (f *feed) add(changes ...observer.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, change := range changes {
		change.Position = f.end()
		f.changes = append(f.changes, change)
	}
}

// clone returns a feed with the same changes.
func (f *feed) clone() *feed {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &feed{changes: slices.Clone(f.changes), era: f.era, first: f.first}
}

// compact removes all current changes from those that Follow can return.
func (f *feed) compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.first = f.end()
}

func (f *feed) setUnreachable(isUnreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isUnreachable = isUnreachable
}

func version(number int64) observer.Change {
	table, err := catalog.New(catalog.Config{Version: number})
	Expect(err).NotTo(HaveOccurred())
	return observer.Change{Catalog: table}
}

func upstream(id string, sequence int64) observer.Change {
	return observer.Change{Upstream: &catalog.Upstream{ID: id, Sequence: sequence}}
}

type fixture struct {
	operators, upstreams *feed
	isWatcher            atomic.Bool
	// relay receives the batches that the observer relays.
	relay    func(observer.RelayedBatch)
	observer *observer.Observer
}

func start() *fixture {
	return startAs(true, &feed{}, &feed{}, func(observer.RelayedBatch) {})
}

// startAs starts a watcher or a follower of feeds that other observers may share.
func startAs(isWatcher bool, operators, upstreams *feed, relay func(observer.RelayedBatch)) *fixture {
	f := &fixture{operators: operators, upstreams: upstreams, relay: relay}
	f.isWatcher.Store(isWatcher)
	f.observer = observer.New(observer.Config{
		Operators: f.operators, Upstreams: f.upstreams,
		OnChange:  func(*observer.View) {},
		IsWatcher: func() bool { return f.isWatcher.Load() },
		ReadDelay: func() time.Duration { return 0 },
		Relay:     func(r observer.RelayedBatch) { f.relay(r) },
		Logger:    zerolog.Nop(), Now: time.Now,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = f.observer.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		<-f.observer.Done()
	})
	return f
}

func (f *fixture) version() int64 {
	if table := f.observer.View().Catalog; table != nil {
		return table.Version()
	}
	return 0
}

func (f *fixture) ids() []string {
	var ids []string
	for id := range f.observer.View().Upstreams {
		ids = append(ids, id)
	}
	return ids
}

var _ = Describe("Observer", func() {
	It("keeps the newest version if versions arrive out of order", func() {
		f := start()
		f.operators.add(version(3))
		Eventually(f.version, "2s").Should(Equal(int64(3)))
		f.operators.add(version(9), version(5))
		Eventually(f.version, "2s").Should(Equal(int64(9)))
		f.operators.add(version(7))
		Consistently(f.version, "200ms").Should(Equal(int64(9)))
	})

	It("reads a snapshot when changes have expired", func() {
		f := start()
		f.operators.add(version(3))
		Eventually(f.version, "2s").Should(Equal(int64(3)))
		f.operators.setUnreachable(true)
		f.operators.add(version(4), observer.Change{Zone: "za"}, version(8))
		f.operators.compact()
		f.operators.setUnreachable(false)
		Eventually(f.version, "2s").Should(Equal(int64(8)))
		Expect(f.observer.View().ZonesOutOfService).To(HaveKey("za"))
	})

	It("removes upstreams and zones that a snapshot no longer lists", func() {
		f := start()
		f.operators.add(version(1), observer.Change{Zone: "za"})
		f.upstreams.add(upstream("e1", 1), upstream("e2", 1))
		Eventually(f.ids, "2s").Should(ConsistOf("e1", "e2"))
		Eventually(func() map[string]bool { return f.observer.View().ZonesOutOfService }, "2s").Should(HaveKey("za"))
		f.upstreams.add(observer.Change{DeregisteredUpstream: "e1"})
		f.operators.add(observer.Change{Zone: "za", InService: true})
		f.upstreams.compact()
		f.operators.compact()
		Eventually(f.ids, "2s").Should(ConsistOf("e2"))
		Eventually(func() map[string]bool { return f.observer.View().ZonesOutOfService }, "2s").Should(BeEmpty())
		Expect(f.observer.View().ZonesRestoredAt).To(HaveKey("za"))
	})

	It("ignores a registration that is older than the known one", func() {
		f := start()
		draining := upstream("e1", 5)
		draining.Upstream.IsDraining = true
		f.upstreams.add(draining)
		Eventually(f.ids, "2s").Should(ConsistOf("e1"))
		f.upstreams.add(upstream("e1", 4))
		time.Sleep(time.Second)
		Expect(f.observer.View().Upstreams["e1"].IsDraining).To(BeTrue())
	})

	It("keeps the last registration of an upstream whose record cannot be decoded", func() {
		f := start()
		f.upstreams.add(upstream("e1", 1), observer.Change{Err: errors.New("garbage"), Key: "e1"})
		Eventually(f.ids, "2s").Should(ConsistOf("e1"))
		Consistently(f.ids, "200ms").Should(ConsistOf("e1"))
	})

	It("gives upstreams whose registration expired in an outage time to register again, and then removes them", func() {
		f := start()
		f.upstreams.add(upstream("e1", 1), upstream("e2", 1))
		Eventually(f.ids, "2s").Should(ConsistOf("e1", "e2"))
		f.upstreams.setUnreachable(true)
		time.Sleep(1700 * time.Millisecond)
		f.upstreams.add(observer.Change{DeregisteredUpstream: "e1"}, observer.Change{DeregisteredUpstream: "e2"})
		f.upstreams.setUnreachable(false)
		Consistently(f.ids, "1s").Should(ConsistOf("e1", "e2"))
		f.upstreams.add(upstream("e1", 2))
		Eventually(f.ids, "3s").Should(ConsistOf("e1"))
	})

	It("applies only the newest of many versions after an outage", func() {
		f := start()
		f.operators.add(version(1))
		Eventually(f.version, "1s").Should(Equal(int64(1)))
		f.operators.setUnreachable(true)
		time.Sleep(time.Second)
		for number := int64(2); number <= 40; number++ {
			f.operators.add(version(number))
		}
		f.operators.mu.Lock()
		f.operators.readDelay = 200 * time.Millisecond
		f.operators.mu.Unlock()
		f.operators.setUnreachable(false)
		Eventually(f.version, "2s").Should(Equal(int64(40)))
	})

	It("removes a deregistered upstream at once while the feed responds", func() {
		f := start()
		f.upstreams.add(upstream("e1", 1))
		Eventually(f.ids, "2s").Should(ConsistOf("e1"))
		f.upstreams.add(observer.Change{DeregisteredUpstream: "e1"})
		Eventually(f.ids, "1s").Should(BeEmpty())
	})
})

var _ = Describe("Followers of a watcher", func() {
	// startPair starts a watcher and a follower of it on the same feeds.
	startPair := func() (watcher, follower *fixture) {
		var target atomic.Pointer[observer.Observer]
		operators, upstreams := &feed{}, &feed{}
		watcher = startAs(true, operators, upstreams, func(r observer.RelayedBatch) {
			if o := target.Load(); o != nil {
				o.HandleRelayed(r)
			}
		})
		follower = startAs(false, operators, upstreams, func(observer.RelayedBatch) {})
		target.Store(follower.observer)
		return watcher, follower
	}

	It("apply changes within 2 s", func() {
		_, follower := startPair()
		follower.operators.add(version(3))
		follower.upstreams.add(upstream("e1", 1))
		Eventually(follower.version, "2s").Should(Equal(int64(3)))
		Eventually(follower.ids, "2s").Should(ConsistOf("e1"))
		for number := int64(4); number < 8; number++ {
			follower.operators.add(version(number))
			follower.upstreams.add(upstream("e1", number), upstream("e2", number))
			Eventually(follower.version, "2s").Should(Equal(number))
		}
		follower.upstreams.add(observer.Change{DeregisteredUpstream: "e1"})
		Eventually(follower.ids, "2s").Should(ConsistOf("e2"))
	})

	It("do not read what the watcher relays", func() {
		operators, upstreams := &feed{}, &feed{}
		follower := startAs(false, operators, upstreams, func(observer.RelayedBatch) {})
		Eventually(func() int64 { return operators.calls.Load() + upstreams.calls.Load() }, "1s").Should(BeEquivalentTo(2))
		for number := crocushollow.Position(1); number <= 20; number++ {
			change := version(int64(number))
			change.Position = number - 1
			follower.observer.HandleRelayed(observer.RelayedBatch{
				Source: observer.Operators, From: number - 1, Next: number, IsComplete: true, Changes: []observer.Change{change},
			})
			follower.observer.HandleRelayed(observer.RelayedBatch{Source: observer.Upstreams, IsComplete: true})
			time.Sleep(100 * time.Millisecond)
		}
		Expect(follower.version()).To(Equal(int64(20)))
		Expect(operators.calls.Load() + upstreams.calls.Load()).To(BeEquivalentTo(2))
	})

	It("ignore old changes that a watcher relays late", func() {
		follower := startAs(false, &feed{}, &feed{}, func(observer.RelayedBatch) {})
		Eventually(func() int64 { return follower.operators.calls.Load() }, "1s").Should(BeEquivalentTo(1))
		out, in := observer.Change{Zone: "za", Position: 0}, observer.Change{Zone: "za", InService: true, Position: 1}
		relay := func(from, next crocushollow.Position, changes ...observer.Change) {
			follower.observer.HandleRelayed(observer.RelayedBatch{
				Source: observer.Operators, From: from, Next: next, IsComplete: true, Changes: changes,
			})
		}
		isOut := func() bool { return follower.observer.View().ZonesOutOfService["za"] }
		relay(0, 1, out)
		Eventually(isOut, "1s").Should(BeTrue())
		relay(1, 2, in)
		Eventually(isOut, "1s").Should(BeFalse())
		// The watcher was suspended, and another one has relayed the changes since.
		relay(0, 1, out)
		Consistently(isOut, "500ms").Should(BeFalse())
		relay(0, 3, out, in, observer.Change{Zone: "zb", Position: 2})
		Eventually(func() bool { return follower.observer.View().ZonesOutOfService["zb"] }, "1s").Should(BeTrue())
		Expect(isOut()).To(BeFalse())
	})

	It("relay what they read when the watcher is silent", func() {
		batches := make(chan observer.RelayedBatch, 16)
		follower := startAs(false, &feed{}, &feed{}, func(r observer.RelayedBatch) { batches <- r })
		follower.upstreams.add(upstream("e1", 1))
		Eventually(batches, "2s").Should(Receive(And(HaveField("IsComplete", true), HaveField("Source", observer.Operators))))
		follower.operators.add(version(1))
		Eventually(batches, "4s").Should(Receive(And(HaveField("Source", observer.Operators), HaveField("Changes", HaveLen(1)))))
	})

	It("apply only the newest of many versions that were published while they had no access", func() {
		_, follower := startPair()
		follower.operators.add(version(1))
		Eventually(follower.version, "2s").Should(Equal(int64(1)))
		follower.operators.setUnreachable(true)
		// The reads that were begun before fail.
		time.Sleep(1500 * time.Millisecond)
		for number := int64(2); number <= 40; number++ {
			follower.operators.add(version(number))
		}
		follower.operators.mu.Lock()
		follower.operators.readDelay = 200 * time.Millisecond
		follower.operators.mu.Unlock()
		follower.operators.setUnreachable(false)
		// Every change must be in force within 3 s of the end of an outage.
		Eventually(follower.version, "3s").Should(Equal(int64(40)))
	})

	It("read the feeds themselves when the watcher stops relaying", func() {
		watcher, follower := startPair()
		follower.operators.add(version(3))
		Eventually(follower.version, "2s").Should(Equal(int64(3)))
		watcher.isWatcher.Store(false)
		follower.operators.add(version(4))
		follower.upstreams.add(upstream("e1", 1))
		Eventually(follower.version, "2s").Should(Equal(int64(4)))
		Eventually(follower.ids, "2s").Should(ConsistOf("e1"))
	})
})
