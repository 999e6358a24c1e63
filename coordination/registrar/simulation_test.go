package registrar

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/pinner"
)

const (
	simulatedInstances = 6
	simulatedTime      = 40 * time.Second
	tick               = 10 * time.Millisecond
	streamLifetime     = 12 * time.Second
	// streamsPerTick is the number of streams that begin and break off in a tick.
	streamsPerTick = 0.5
	// messageLoss is the share of the messages between instances that are lost.
	messageLoss = 0.01
	// maxViewAge is the age of the registrations that an instance knows, unless it is cut off.
	maxViewAge = 600 * time.Millisecond
)

// simulation is a fleet in which software versions come and go while instances are cut off,
// end and start again, and the store is restored from a copy. Streams begin and are taken up
// at random.
type simulation struct {
	random *rand.Rand
	now    time.Time
	store  *store
	nodes  []*node
	// upstreams holds the versions that are registered at each time, in order.
	upstreams []registered
	streams   []stream
	copied    []Software
	streamID  int
	counts    map[catalog.SoftwareVersion]*counts
}

// registered is a set of versions that is registered from a time on.
type registered struct {
	at       time.Time
	versions []catalog.SoftwareVersion
}

// node is an instance with its pins. It may be cut off from the store and from its peers.
type node struct {
	*instance
	pins      *pinner.Pinner
	cutUntil  time.Time
	downUntil time.Time
	// faultAt is when it was last cut off, down or started.
	faultAt time.Time
	viewAt  time.Time
}

// stream is a stream that may be taken up.
type stream struct {
	pin     pinner.Pin
	beganAt time.Time
	takeAt  time.Time
}

// counts counts the streams of a version that were to begin, have begun, were taken up at
// instances in touch, and went on.
type counts struct{ asked, begun, takenUp, continued int }

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), store: &store{}, counts: make(map[catalog.SoftwareVersion]*counts),
	}
	for _, version := range []catalog.SoftwareVersion{"v1", "v2", "v3"} {
		s.counts[version] = &counts{}
	}
	at := func(seconds float64) time.Time { return s.now.Add(time.Duration(seconds * float64(time.Second))) }
	s.upstreams = []registered{
		{s.now, []catalog.SoftwareVersion{"v1"}},
		{at(8 + 4*s.random.Float64()), []catalog.SoftwareVersion{"v1", "v2"}},
		{at(16 + 4*s.random.Float64()), []catalog.SoftwareVersion{"v2"}},
		{at(24 + 4*s.random.Float64()), []catalog.SoftwareVersion{"v2", "v3"}},
	}
	for n := range simulatedInstances {
		s.nodes = append(s.nodes, &node{})
		s.startNode(n)
	}
	return s
}

func (s *simulation) startNode(n int) {
	started := &node{instance: newInstance(s.store, n == 0, &s.now), pins: pinner.New(), faultAt: s.now, viewAt: s.now}
	started.ledger.era = 0
	s.nodes[n] = started
}

func (s *simulation) chance(perSecond float64) bool {
	return s.random.Float64() < perSecond*tick.Seconds()
}

func (s *simulation) duration(most time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(most))
}

func (s *simulation) isUp(n *node) bool { return !s.now.Before(n.downUntil) }

func (s *simulation) isCut(n *node) bool { return s.now.Before(n.cutUntil) }

// isInTouch reports whether a node and the store were without faults for 3 s.
func (s *simulation) isInTouch(n *node) bool { return s.now.Sub(n.faultAt) > 3*time.Second }

// versionsAt returns the versions that were registered at a time.
func (s *simulation) versionsAt(at time.Time) []catalog.SoftwareVersion {
	var known []catalog.SoftwareVersion
	for _, r := range s.upstreams {
		if !r.at.After(at) {
			known = r.versions
		}
	}
	return known
}

// injectFaults cuts nodes off, ends them, and restores the store.
func (s *simulation) injectFaults() {
	for _, n := range s.nodes {
		switch {
		case s.chance(0.03):
			n.cutUntil = s.now.Add(s.duration(8 * time.Second))
		case s.chance(0.02):
			n.downUntil = s.now.Add(s.duration(time.Second))
		}
	}
	if s.chance(0.02) {
		for _, n := range s.nodes {
			n.downUntil = s.now.Add(time.Second)
		}
	}
	if s.chance(0.3) {
		s.copied = slices.Clone(s.store.entries)
	}
	if s.chance(0.02) {
		s.store.restore(slices.Clone(s.copied)...)
		for _, n := range s.nodes {
			n.faultAt = s.now
		}
	}
}

// stepNodes lets the nodes observe the site and exchange messages.
func (s *simulation) stepNodes() {
	for index, n := range s.nodes {
		if !s.isUp(n) {
			if !s.now.Add(tick).Before(n.downUntil) {
				s.startNode(index)
			}
			continue
		}
		n.ledger.isCut = s.isCut(n)
		if s.isCut(n) {
			n.faultAt = s.now
		} else if s.now.Sub(n.viewAt) > maxViewAge {
			n.viewAt, n.ledger.era = s.now, s.store.era
		}
		n.inUse = nil
		for _, version := range s.versionsAt(n.viewAt) {
			n.inUse = append(n.inUse, entry(version))
		}
		n.isRecorder = index == s.firstUp()
		n.told = nil
		several := n.HasSeveral(service)
		n.stepOnce()
		if n.HasSeveral(service) && !several {
			for _, pin := range n.pins.Pins(service, s.now) {
				s.tellPin(n, pin)
			}
		}
		if n.told != nil {
			s.toPeers(n, func(peer *node) { peer.hear(n.told) })
		}
	}
}

func (s *simulation) firstUp() int {
	return slices.IndexFunc(s.nodes, func(n *node) bool { return s.isUp(n) && !s.isCut(n) })
}

// toPeers delivers a message to the peers that it reaches.
func (s *simulation) toPeers(from *node, deliver func(*node)) {
	for _, peer := range s.nodes {
		if peer != from && s.isUp(peer) && !s.isCut(peer) && !s.isCut(from) && s.random.Float64() >= messageLoss {
			deliver(peer)
		}
	}
}

func (s *simulation) tellPin(from *node, pin pinner.Pin) {
	s.toPeers(from, func(peer *node) { peer.pins.Pin(pin, s.now) })
}

// begin begins a stream at a random node and version.
func (s *simulation) begin() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	known := s.versionsAt(n.viewAt)
	version := known[s.random.IntN(len(known))]
	if !s.isUp(n) || !slices.Contains(s.versionsAt(s.now), version) {
		return
	}
	if s.isInTouch(n) {
		s.counts[version].asked++
	}
	if !n.IsUsable(service, version) {
		return
	}
	if s.isInTouch(n) {
		s.counts[version].begun++
	}
	s.streamID++
	pin := pinner.Pin{
		Stream: pinner.StreamOf(fmt.Sprint(s.streamID)), Origin: pinner.Origin{Service: service, Version: version}, TTL: streamLifetime,
	}
	n.pins.Pin(pin, s.now)
	s.tellPin(n, pin)
	s.streams = append(s.streams, stream{pin: pin, beganAt: s.now, takeAt: s.now.Add(s.duration(6 * time.Second))})
}

// takeUp takes a stream up at a random node, which must not take its origin for another.
func (s *simulation) takeUp(taken stream) error {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	if !s.isUp(n) {
		return nil
	}
	version := taken.pin.Origin.Version
	found := s.find(n, taken.pin.Stream)
	if found.IsKnown() && found != version {
		return fmt.Errorf("stream that %s began %s before is taken for one of %s", version, s.now.Sub(taken.beganAt), found)
	}
	if s.isInTouch(n) && slices.Contains(s.versionsAt(s.now), version) {
		s.counts[version].takenUp++
		if found.IsKnown() {
			s.counts[version].continued++
		}
	}
	return nil
}

// find is what hosted.streamOrigins does.
func (s *simulation) find(n *node, id pinner.Stream) catalog.SoftwareVersion {
	if pin := n.pins.Lookup(id, s.now); pin.Origin.Version.IsKnown() {
		return pin.Origin.Version
	}
	if !n.HasSeveral(service) {
		if listed, err := n.confirm(); err == nil && len(listed) == 1 {
			return listed[0].Version
		}
	}
	var found catalog.SoftwareVersion
	s.toPeers(n, func(peer *node) {
		if pin := peer.pins.Lookup(id, s.now); pin.Origin.Version.IsKnown() {
			found = pin.Origin.Version
		}
	})
	return found
}

func (s *simulation) run() error {
	for end := s.now.Add(simulatedTime); s.now.Before(end); s.now = s.now.Add(tick) {
		s.injectFaults()
		s.stepNodes()
		if s.random.Float64() < streamsPerTick {
			s.begin()
		}
		var due []stream
		s.streams = slices.DeleteFunc(s.streams, func(other stream) bool {
			isDue := !s.now.Before(other.takeAt)
			if isDue {
				due = append(due, other)
			}
			return isDue
		})
		for _, taken := range due {
			if err := s.takeUp(taken); err != nil {
				return err
			}
		}
	}
	return nil
}

// simulationSeeds returns the number of seeds, which REGISTRAR_SEEDS may set.
func simulationSeeds() uint64 {
	if count, err := strconv.ParseUint(os.Getenv("REGISTRAR_SEEDS"), 10, 64); err == nil {
		return count
	}
	return 20
}

var _ = Describe("A fleet whose software versions come and go", func() {
	// Guards against streams that go on at another version, whichever instances are out of
	// step, and against more refusals than the operators allow: at instances in touch, the
	// share of the streams that go on is at least half of that of new ones that begin.
	It("takes up streams at the version that began them only", func() {
		total := make(map[catalog.SoftwareVersion]counts)
		for seed := range simulationSeeds() {
			s := newSimulation(seed)
			Expect(s.run()).To(Succeed(), "seed %d", seed)
			for version, c := range s.counts {
				sum := total[version]
				total[version] = counts{sum.asked + c.asked, sum.begun + c.begun, sum.takenUp + c.takenUp, sum.continued + c.continued}
				if c.takenUp >= 12 {
					continued, begun := float64(c.continued)/float64(c.takenUp), float64(c.begun)/float64(max(c.asked, 1))
					Expect(continued).To(BeNumerically(">=", begun/2), "seed %d, version %s: %+v", seed, version, *c)
				}
			}
		}
		GinkgoWriter.Printf("asked to begin, begun, taken up, continued: %+v\n", total)
	})
})
