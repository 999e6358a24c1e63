package observer_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/coordination/observer"
)

func TestObserver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "observer")
}

// feed is a scripted feed.
type feed struct {
	mu      sync.Mutex
	changes []observer.Change
	// first is the offset of the first change that can be followed.
	first int64
	away  bool
}

var errAway = errors.New("away")

func (f *feed) Snapshot(context.Context) (observer.Batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		return observer.Batch{}, errAway
	}
	newest := make(map[string]observer.Change)
	for _, change := range f.changes {
		newest[keyOf(change)] = change
	}
	batch := observer.Batch{Next: int64(len(f.changes))}
	for _, change := range newest {
		if change.DeregisteredUpstream == "" && !change.InService {
			batch.Changes = append(batch.Changes, change)
		}
	}
	return batch, nil
}

func (f *feed) Follow(ctx context.Context, from int64, _ time.Duration) (observer.Batch, error) {
	select {
	case <-ctx.Done():
		return observer.Batch{}, ctx.Err()
	case <-time.After(5 * time.Millisecond):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.away:
		return observer.Batch{}, errAway
	case from < f.first:
		return observer.Batch{}, observer.ErrExpired
	}
	return observer.Batch{Changes: append([]observer.Change(nil), f.changes[from:]...), Next: int64(len(f.changes))}, nil
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
		change.Offset = int64(len(f.changes))
		f.changes = append(f.changes, change)
	}
}

// compact drops the changes so far from what can be followed.
func (f *feed) compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.first = int64(len(f.changes))
}

func (f *feed) setAway(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
}

func version(number int64) observer.Change {
	table, err := catalog.New(catalog.Config{Version: number})
	Expect(err).NotTo(HaveOccurred())
	return observer.Change{Catalog: table}
}

func upstream(id string, heartbeat int64) observer.Change {
	return observer.Change{Upstream: &catalog.Upstream{ID: id, Sequence: heartbeat}}
}

type fixture struct {
	operators, upstreams *feed
	isReader             atomic.Bool
	// relay takes what the observer tells the others.
	relay    func(observer.RelayedBatch)
	observer *observer.Observer
}

func start() *fixture {
	return startAs(true, &feed{}, &feed{}, func(observer.RelayedBatch) {})
}

// startAs starts a reader or a follower of feeds that others may read too.
func startAs(isReader bool, operators, upstreams *feed, relay func(observer.RelayedBatch)) *fixture {
	f := &fixture{operators: operators, upstreams: upstreams, relay: relay}
	f.isReader.Store(isReader)
	f.observer = observer.New(observer.Config{
		Operators: f.operators, Upstreams: f.upstreams,
		OnChange:  func(*observer.View) {},
		IsWatcher: func() bool { return f.isReader.Load() },
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
	It("keeps the newest version whatever order versions come in", func() {
		f := start()
		f.operators.add(version(3))
		Eventually(f.version, "2s").Should(Equal(int64(3)))
		f.operators.add(version(9), version(5))
		Eventually(f.version, "2s").Should(Equal(int64(9)))
		f.operators.add(version(7))
		Consistently(f.version, "200ms").Should(Equal(int64(9)))
	})

	It("reads a snapshot when changes are missing", func() {
		f := start()
		f.operators.add(version(3))
		Eventually(f.version, "2s").Should(Equal(int64(3)))
		f.operators.setAway(true)
		f.operators.add(version(4), observer.Change{Zone: "za"}, version(8))
		f.operators.compact()
		f.operators.setAway(false)
		Eventually(f.version, "2s").Should(Equal(int64(8)))
		Expect(f.observer.View().ZonesOutOfService).To(HaveKey("za"))
	})

	It("drops upstreams and zones that a snapshot no longer lists", func() {
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

	It("ignores an announcement from before the known one", func() {
		f := start()
		leaving := upstream("e1", 5)
		leaving.Upstream.IsDraining = true
		f.upstreams.add(leaving)
		Eventually(f.ids, "2s").Should(ConsistOf("e1"))
		f.upstreams.add(upstream("e1", 4))
		time.Sleep(time.Second)
		Expect(f.observer.View().Upstreams["e1"].IsDraining).To(BeTrue())
	})

	It("keeps what it knows of an upstream whose record cannot be read", func() {
		f := start()
		f.upstreams.add(upstream("e1", 1), observer.Change{Err: errors.New("garbage"), Key: "e1"})
		Eventually(f.ids, "2s").Should(ConsistOf("e1"))
		Consistently(f.ids, "200ms").Should(ConsistOf("e1"))
	})

	It("gives upstreams that lapsed in an outage time to come back, and then takes them as gone", func() {
		f := start()
		f.upstreams.add(upstream("e1", 1), upstream("e2", 1))
		Eventually(f.ids, "2s").Should(ConsistOf("e1", "e2"))
		f.upstreams.setAway(true)
		time.Sleep(1700 * time.Millisecond)
		f.upstreams.add(observer.Change{DeregisteredUpstream: "e1"}, observer.Change{DeregisteredUpstream: "e2"})
		f.upstreams.setAway(false)
		Consistently(f.ids, "1s").Should(ConsistOf("e1", "e2"))
		f.upstreams.add(upstream("e1", 2))
		Eventually(f.ids, "3s").Should(ConsistOf("e1"))
	})

	It("takes an upstream as gone at once while the feed answers", func() {
		f := start()
		f.upstreams.add(upstream("e1", 1))
		Eventually(f.ids, "2s").Should(ConsistOf("e1"))
		f.upstreams.add(observer.Change{DeregisteredUpstream: "e1"})
		Eventually(f.ids, "1s").Should(BeEmpty())
	})
})

var _ = Describe("Followers of a reader", func() {
	// pair starts a reader and a follower of it over the same feeds.
	pair := func() (reader, follower *fixture) {
		var told atomic.Pointer[observer.Observer]
		operators, upstreams := &feed{}, &feed{}
		reader = startAs(true, operators, upstreams, func(r observer.RelayedBatch) {
			if to := told.Load(); to != nil {
				to.HandleRelayed(r)
			}
		})
		follower = startAs(false, operators, upstreams, func(observer.RelayedBatch) {})
		told.Store(follower.observer)
		return reader, follower
	}

	It("learn of changes within the bounds with few calls of their own", func() {
		_, follower := pair()
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

	It("read themselves when the reader falls silent", func() {
		reader, follower := pair()
		follower.operators.add(version(3))
		Eventually(follower.version, "2s").Should(Equal(int64(3)))
		reader.isReader.Store(false)
		follower.operators.add(version(4))
		follower.upstreams.add(upstream("e1", 1))
		Eventually(follower.version, "2s").Should(Equal(int64(4)))
		Eventually(follower.ids, "2s").Should(ConsistOf("e1"))
	})
})
