package gossiper_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/state/quarantiner"
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
	// received counts the datagrams.
	received *atomic.Int64
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
		l.received.Add(1)
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
func (r *registry) IsRegistered() bool                            { return true }
func (r *registry) List(context.Context) ([]gossiper.Peer, error) { return r.peers, nil }

// zoneCount is the number of availability zones of a fleet.
const zoneCount = 3

// fleet runs gossipers in several availability zones.
type fleet struct {
	network   *network
	gossipers []*gossiper.Gossiper
	stops     []context.CancelFunc
	instances []*instance
}

// instance is what the callbacks of one gossiper have received.
type instance struct {
	mu sync.Mutex
	// load is this instance's own load on the upstream that the tests use.
	load int
	// peerLoads is the load of other instances by source.
	peerLoads  map[string]int
	placements int
	crashes    int
	demand     map[string]float64
	token      int64
	datagrams  atomic.Int64
}

const upstream = "i-1"

func (i *instance) buildHeartbeat() gossiper.Heartbeat {
	i.mu.Lock()
	defer i.mu.Unlock()
	heartbeat := gossiper.Heartbeat{Ready: true, FencingToken: i.token, UptimeSeconds: 60, Demand: map[string]float64{"m": 1}}
	if i.load > 0 {
		heartbeat.Loads = map[string]selector.Load{upstream: {InFlight: i.load}}
	}
	return heartbeat
}

func (i *instance) handleHeartbeat(heartbeat *gossiper.Heartbeat) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.placements += len(heartbeat.Placements)
	if heartbeat.Requests != nil {
		i.crashes += len(heartbeat.Requests.Crashes)
	}
	if change, found := heartbeat.LoadChanges[upstream]; found {
		i.peerLoads[heartbeat.From.Instance] = change.InFlight
	}
	if !heartbeat.IsPartial() {
		i.peerLoads[heartbeat.From.Instance] = heartbeat.Loads[upstream].InFlight
		i.demand[heartbeat.From.Instance] = heartbeat.Demand["m"]
	}
}

func (i *instance) handleSums(update gossiper.SumsUpdate) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if load, found := update.Sums.Loads[upstream]; found || update.IsNewTerm {
		i.peerLoads[update.Source] = load.InFlight
	}
	if update.Sums.HasUses {
		i.demand[update.Source] = update.Sums.Demand["m"]
	}
}

func (i *instance) removeSource(source string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.peerLoads, source)
	delete(i.demand, source)
}

func (i *instance) setLoad(load int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.load = load
}

// peerLoad returns the load of all other instances as this one knows it.
func (i *instance) peerLoad() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	total := 0
	for _, load := range i.peerLoads {
		total += load
	}
	return total
}

func (i *instance) peerDemand() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	total := 0.0
	for _, demand := range i.demand {
		total += demand
	}
	return total
}

// startFleet starts a fleet whose instances rank by their number: the instances 0 to
// zoneCount-1 are the strongest of their zones.
func startFleet(size int) *fleet {
	GinkgoHelper()
	f := &fleet{network: &network{links: make(map[string]*memoryLink)}}
	peers := make([]gossiper.Peer, size)
	for i := range size {
		zone := fmt.Sprint("z", i%zoneCount)
		peers[i] = gossiper.Peer{
			Instance: fmt.Sprintf("node-%03d", i), Incarnation: 1, Address: fmt.Sprint(i), AvailabilityZone: zone, Capacity: float64(size - i),
		}
		f.network.links[peers[i].Address] = &memoryLink{network: f.network, zone: zone, inbox: make(chan []byte, 4096), closed: make(chan struct{})}
	}
	for i := range size {
		ctx, stop := context.WithCancel(context.Background())
		state := &instance{peerLoads: make(map[string]int), demand: make(map[string]float64)}
		f.instances = append(f.instances, state)
		f.stops = append(f.stops, stop)
		f.network.links[peers[i].Address].received = &state.datagrams
		g := gossiper.New(gossiper.Config{
			Self: peers[i], Link: f.network.links[peers[i].Address], Registry: &registry{peers},
			BuildHeartbeat: state.buildHeartbeat, OnHeartbeat: state.handleHeartbeat, OnSums: state.handleSums, OnSourceRemoved: state.removeSource,
			Logger: zerolog.Nop(), Now: time.Now,
		})
		f.gossipers = append(f.gossipers, g)
		go func() { _ = g.Run(ctx) }()
	}
	DeferCleanup(func() {
		for i, g := range f.gossipers {
			f.stops[i]()
			<-g.Done()
		}
	})
	for _, g := range f.gossipers {
		Eventually(func() int { return len(g.Fleet().Ready) }, "10s").Should(Equal(size - 1))
	}
	return f
}

// setLoad changes the load of an instance and broadcasts the change.
func (f *fleet) setLoad(number, load int) {
	f.instances[number].setLoad(load)
	heartbeat := gossiper.NewPartial()
	heartbeat.LoadChanges = map[string]selector.Load{upstream: {InFlight: load}}
	f.gossipers[number].Broadcast(heartbeat)
}

// knowingLoad counts the instances but the excluded ones that know a load of others.
func (f *fleet) knowingLoad(load int, excluded ...int) int {
	count := 0
	for number, i := range f.instances {
		if !slices.Contains(excluded, number) && i.peerLoad() == load {
			count++
		}
	}
	return count
}

// datagrams returns the highest number of datagrams that an instance which is not
// the strongest of its zone has received.
func (f *fleet) datagrams() int64 {
	most := int64(0)
	for _, i := range f.instances[zoneCount:] {
		most = max(most, i.datagrams.Load())
	}
	return most
}

var _ = Describe("Gossiper", func() {
	// settled is the time in which a new aggregator knows all loads.
	const settled = 1500 * time.Millisecond

	It("tells every instance of a large fleet the load of all others", func() {
		f := startFleet(36)
		time.Sleep(settled)
		for number := range f.instances {
			f.setLoad(number, 2)
		}
		Eventually(f.knowingLoad, "2s", "5ms").WithArguments(70).Should(Equal(36))
		f.setLoad(35, 0)
		Eventually(f.knowingLoad, "300ms", "5ms").WithArguments(68, 35).Should(Equal(35))
		Consistently(f.knowingLoad, "1s", "50ms").WithArguments(68, 35).Should(Equal(35))
	})

	It("sends an instance no more datagrams in a fleet of twice the size", func() {
		count := func(size int) int64 {
			f := startFleet(size)
			time.Sleep(settled)
			before := f.datagrams()
			for range 40 {
				for number := range f.instances {
					f.setLoad(number, 1+number%3)
				}
				time.Sleep(25 * time.Millisecond)
			}
			return f.datagrams() - before
		}
		small, large := count(36), count(72)
		Expect(large).To(BeNumerically("<=", small*5/4))
	})

	It("sends one datagram to each other zone for the changes of a whole zone", func() {
		f := startFleet(36)
		time.Sleep(settled)
		before := f.network.betweenZones.Load()
		for number := range f.instances {
			f.setLoad(number, 3)
		}
		Eventually(f.knowingLoad, "1s", "5ms").WithArguments(3 * 35).Should(Equal(36))
		// Each zone sends at most one digest per round of 25 ms to two other zones.
		Expect(f.network.betweenZones.Load() - before).To(BeNumerically("<=", 40*zoneCount*(zoneCount-1)))
	})

	It("keeps all instances of a large fleet ready", func() {
		f := startFleet(36)
		Consistently(func() int {
			least := len(f.instances)
			for _, g := range f.gossipers {
				least = min(least, len(g.Fleet().Ready))
			}
			return least
		}, "4s", "20ms").Should(Equal(35))
	})

	It("replaces an aggregator that stops, and forgets its load", func() {
		f := startFleet(36)
		time.Sleep(settled)
		for number := range f.instances {
			f.setLoad(number, 1)
		}
		Eventually(f.knowingLoad, "2s", "5ms").WithArguments(35).Should(Equal(36))
		f.stops[0]()
		<-f.gossipers[0].Done()
		stopped := time.Now()
		f.setLoad(3, 11)
		// Another instance takes over within 850 ms and knows all loads 600 ms later.
		Eventually(func() int { return f.knowingLoad(44, 0, 3) + f.knowingLoad(45, 0, 3) }, "4s", "5ms").Should(Equal(34))
		Expect(time.Since(stopped)).To(BeNumerically("<", 2200*time.Millisecond))
		Eventually(f.knowingLoad, "5s", "20ms").WithArguments(44, 0, 3).Should(Equal(34))
		Eventually(func() []int {
			return []int{len(f.gossipers[35].Fleet().Ready), len(f.gossipers[34].Fleet().Alive)}
		}, "3s").Should(Equal([]int{34, 34}))
	})

	It("keeps the other instances alive while several aggregators stop one after the other", func() {
		f := startFleet(48)
		time.Sleep(settled)
		for _, number := range []int{0, 3, 6} {
			f.stops[number]()
			<-f.gossipers[number].Done()
		}
		Consistently(func() int { return len(f.gossipers[47].Fleet().Ready) }, "2s", "20ms").Should(BeNumerically(">=", 44))
		Eventually(func() int { return len(f.gossipers[47].Fleet().Ready) }, "6s", "20ms").Should(Equal(44))
		f.setLoad(9, 7)
		Eventually(f.knowingLoad, "4s", "20ms").WithArguments(7, 0, 3, 6, 9).Should(Equal(44))
	})

	It("relays placements and crashes to all instances", func() {
		f := startFleet(36)
		time.Sleep(settled)
		heartbeat := gossiper.NewPartial()
		heartbeat.Placements = []gossiper.Placement{{Upstream: upstream}}
		heartbeat.Requests = &quarantiner.RequestReport{Crashes: []quarantiner.Crash{{Fingerprint: 1, Incarnation: 1}}}
		f.gossipers[20].Broadcast(heartbeat)
		Eventually(func() int {
			count := 0
			for _, i := range f.instances {
				i.mu.Lock()
				if i.placements == 1 && i.crashes == 1 {
					count++
				}
				i.mu.Unlock()
			}
			return count
		}, "1s", "5ms").Should(Equal(35))
	})

	It("tells the planner leader the demand of all other instances", func() {
		f := startFleet(36)
		leader := f.instances[20]
		leader.mu.Lock()
		leader.token = 5
		leader.mu.Unlock()
		Eventually(leader.peerDemand, "4s", "20ms").Should(Equal(35.0))
		Expect(f.gossipers[7].Fleet().PlannerAddress).To(Equal("20"))
	})

	It("takes a stopped instance out of discovery", func() {
		f := startFleet(36)
		time.Sleep(settled)
		draining := f.instances[20].buildHeartbeat()
		draining.Draining = true
		f.gossipers[20].Broadcast(draining)
		Eventually(func() int { return len(f.gossipers[31].Fleet().Ready) }, "300ms", "5ms").Should(Equal(34))
	})

	It("broadcasts a change to a small fleet directly", func() {
		f := startFleet(6)
		f.setLoad(0, 4)
		Eventually(f.knowingLoad, "1s", "5ms").WithArguments(4, 0).Should(Equal(5))
	})
})
