package gossiper_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/state/selector"
)

func TestGossiper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gossiper")
}

// network carries datagrams between links in memory.
type network struct {
	mu    sync.Mutex
	links map[string]*memoryLink
	// betweenZones counts the datagrams from one availability zone to another.
	betweenZones atomic.Int64
}

type memoryLink struct {
	network *network
	zone    string
	inbox   chan []byte
	closed  chan struct{}
}

var errClosed = errors.New("link closed")

func (l *memoryLink) Send(to string, payload []byte) error {
	l.network.mu.Lock()
	target := l.network.links[to]
	l.network.mu.Unlock()
	if target.zone != l.zone {
		l.network.betweenZones.Add(1)
	}
	select {
	case target.inbox <- append([]byte(nil), payload...):
	default:
	}
	return nil
}

func (l *memoryLink) Receive() ([]byte, error) {
	select {
	case payload := <-l.inbox:
		return payload, nil
	case <-l.closed:
		return nil, errClosed
	}
}

func (l *memoryLink) Close() error {
	close(l.closed)
	return nil
}

// registry is a registry that lists all instances from the start.
type registry struct{ peers []gossiper.Peer }

func (r *registry) Register(context.Context, gossiper.Peer) error { return nil }
func (r *registry) List(context.Context) ([]gossiper.Peer, error) { return r.peers, nil }

// fleet runs gossipers in three availability zones.
type fleet struct {
	network   *network
	gossipers []*gossiper.Gossiper
	received  []atomic.Int64
}

func startFleet(size int) *fleet {
	GinkgoHelper()
	f := &fleet{network: &network{links: make(map[string]*memoryLink)}, received: make([]atomic.Int64, size)}
	peers := make([]gossiper.Peer, size)
	for i := range size {
		zone := fmt.Sprint("z", i%3)
		peers[i] = gossiper.Peer{Instance: fmt.Sprintf("node-%02d", i), Incarnation: 1, Address: fmt.Sprint(i), AvailabilityZone: zone}
		f.network.links[peers[i].Address] = &memoryLink{network: f.network, zone: zone, inbox: make(chan []byte, 4096), closed: make(chan struct{})}
	}
	ctx, stop := context.WithCancel(context.Background())
	for i := range size {
		g := gossiper.New(gossiper.Config{
			Self: peers[i], Link: f.network.links[peers[i].Address], Registry: &registry{peers},
			BuildHeartbeat: func() gossiper.Heartbeat { return gossiper.Heartbeat{Ready: true} },
			OnHeartbeat: func(h *gossiper.Heartbeat) {
				if len(h.LoadChanges) > 0 {
					f.received[i].Add(1)
				}
			},
			OnPeerRemoved: func(string) {}, Logger: zerolog.Nop(), Now: time.Now,
		})
		f.gossipers = append(f.gossipers, g)
		go func() { _ = g.Run(ctx) }()
	}
	DeferCleanup(func() {
		stop()
		for _, g := range f.gossipers {
			<-g.Done()
		}
	})
	for _, g := range f.gossipers {
		Eventually(func() int { return len(g.Fleet().Ready) }, "10s").Should(Equal(size - 1))
	}
	return f
}

// receivers returns the number of instances that have received changes.
func (f *fleet) receivers() int {
	count := 0
	for i := range f.received {
		if f.received[i].Load() > 0 {
			count++
		}
	}
	return count
}

var _ = Describe("Gossiper", func() {
	change := func() gossiper.Heartbeat {
		heartbeat := gossiper.NewPartial()
		heartbeat.LoadChanges = map[string]selector.Load{"i-1": {InFlight: 1}}
		return heartbeat
	}

	It("broadcasts a change to a large fleet with one datagram to each other zone", func() {
		f := startFleet(30)
		// The regular heartbeats cross zones too.
		before, sent := f.network.betweenZones.Load(), int64(0)
		Eventually(func() int {
			f.gossipers[0].Broadcast(change())
			sent++
			time.Sleep(30 * time.Millisecond)
			return f.receivers()
		}, "2s", "1ms").Should(Equal(29))
		Expect(sent).To(BeNumerically("<=", 2))
		Expect(f.network.betweenZones.Load() - before).To(BeNumerically("<", 30*2+sent*2+1))
	})

	It("keeps all instances of a large fleet ready while their heartbeats go through forwarders", func() {
		f := startFleet(30)
		Consistently(func() int { return len(f.gossipers[7].Fleet().Ready) }, "3s", "50ms").Should(Equal(29))
	})

	It("broadcasts a change to a small fleet directly", func() {
		f := startFleet(6)
		f.gossipers[0].Broadcast(change())
		Eventually(f.receivers, "1s").Should(Equal(5))
	})
})
