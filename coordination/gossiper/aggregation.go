package gossiper

import (
	"math/rand/v2"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/aggregator"
	"github.com/crocushollow/crocushollow/state/encoder"
)

// Timing of digests.
const (
	// digestPeriod is the interval between two rounds of digests. A round without
	// news sends none.
	digestPeriod = 25 * time.Millisecond
	// keepAliveRounds, usageRounds, rosterRounds and fullRosterRounds are the numbers
	// of rounds after which a digest is sent in any case, contains the use of limits,
	// confirms the rosters, and contains the rosters themselves. Within loadRounds
	// each load is sent.
	keepAliveRounds  = 8
	usageRounds      = 4
	rosterRounds     = 20
	loadRounds       = 40
	fullRosterRounds = 80
	// rosterRepeats is the number of rounds in which a changed roster is sent, since
	// datagrams may be lost.
	rosterRepeats = 2
	// settleTime is the time after which a new aggregator has heard all instances of
	// its zone and its sums are complete.
	settleTime = 600 * time.Millisecond
	// zoneTimeout is how long the roster of another zone is confirmed without news.
	zoneTimeout = time.Second
	// maxRelayed bounds the heartbeats that wait to be relayed, and maxRelayedBytes
	// those in one digest, which must fit into a datagram. The digest contains more
	// if the first of them is larger.
	maxRelayed      = 256
	maxRelayedBytes = 16 << 10
)

// aggregation is what the aggregator of an availability zone knows. Only the
// control goroutine accesses it.
type aggregation struct {
	self  PeerStatus
	since time.Time
	round int
	sums  *aggregator.Aggregator
	// isRosterStale means that the status of an instance of this zone has changed.
	isRosterStale bool
	// own is the roster of this zone, and zones holds what is known of the others.
	own   zoneState
	zones map[string]*zoneState
	// toMembers and toZones hold encoded partial heartbeats that are relayed.
	toMembers, toZones [][]byte
}

func newAggregation(self Peer, now time.Time) *aggregation {
	return &aggregation{
		self: PeerStatus{Peer: self}, since: now,
		sums:  aggregator.New(self.Instance, crocushollow.Incarnation(rand.Uint64()|1)),
		zones: make(map[string]*zoneState),
	}
}

// add adds a heartbeat of an instance of this zone, and relays its events.
func (a *aggregation) add(heartbeat *Heartbeat, now time.Time) {
	name := heartbeat.From.Instance
	if heartbeat.IsPartial() {
		a.sums.UpdateLoads(name, heartbeat.LoadChanges)
	} else {
		a.sums.SetReport(name, &aggregator.Report{
			Incarnation: heartbeat.From.Incarnation, Uptime: heartbeat.Uptime(),
			Loads: heartbeat.Loads, Uses: heartbeat.WorkspaceUses, Demand: heartbeat.Demand,
		}, now)
		if name == a.self.Peer.Instance {
			next := PeerStatus{Peer: a.self.Peer, Ready: heartbeat.Ready, Draining: heartbeat.Draining, FencingToken: heartbeat.FencingToken}
			a.isRosterStale = a.isRosterStale || next != a.self
			a.self = next
		}
	}
	if !heartbeat.hasRelayedEvents() {
		return
	}
	events := heartbeat.events()
	events.AdapterRequests, events.Usage = nil, nil
	// A heartbeat that has been decoded can be encoded.
	if payload, err := encoder.Encode(events); err == nil {
		a.toMembers = relay(a.toMembers, payload)
		a.toZones = relay(a.toZones, payload)
	}
}

// relay queues a heartbeat. It drops the oldest one if the queue is full.
func relay(queue [][]byte, payload []byte) [][]byte {
	if len(queue) >= maxRelayed {
		queue = queue[1:]
	}
	return append(queue, payload)
}

// takeRelayed removes the heartbeats that fit into one digest from a queue.
func takeRelayed(queue *[][]byte) [][]byte {
	n, size := 0, 0
	for n < len(*queue) && (n == 0 || size+len((*queue)[n]) <= maxRelayedBytes) {
		size += len((*queue)[n])
		n++
	}
	taken := (*queue)[:n:n]
	*queue = (*queue)[n:]
	return taken
}

// isDue reports whether something happens every given number of rounds.
func (a *aggregation) isDue(rounds int) bool { return a.round%rounds == 0 }

// isSettled reports whether the sums are complete.
func (a *aggregation) isSettled(now time.Time) bool { return now.Sub(a.since) >= settleTime }

// sendDigests sends the digests of a round to the instances of this zone and to the
// aggregators of the others.
func (g *Gossiper) sendDigests() {
	a := g.aggregation
	if a == nil {
		return
	}
	now := g.config.Now()
	a.round++
	if a.isDue(rosterRounds) {
		a.sums.Expire(now)
	}
	a.own.heardAt = now
	if a.isRosterStale || a.isDue(keepAliveRounds) {
		a.isRosterStale = false
		a.own.setRoster(g.zoneRoster(now))
	}
	if a.isSettled(now) {
		a.sums.BeginRound(a.round, loadRounds)
	}
	digest := Digest{From: g.config.Self, UptimeSeconds: int64(now.Sub(g.startedAt) / time.Second)}
	g.sendZoneDigest(digest, now)
	g.sendMemberDigests(digest, now)
	for _, zone := range a.zones {
		zone.repeats = max(zone.repeats-1, 0)
	}
	a.own.repeats = max(a.own.repeats-1, 0)
	a.sums.EndRound()
}

// selection returns the sums that are due in this round.
func (a *aggregation) selection() aggregator.Selection {
	return aggregator.Selection{Uses: a.isDue(usageRounds)}
}

// sendZoneDigest sends a digest about this zone to the aggregator of each other
// zone.
func (g *Gossiper) sendZoneDigest(digest Digest, now time.Time) {
	a := g.aggregation
	digest.IsBetweenZones = true
	if roster, isDue := a.listing(&a.own, now); isDue {
		digest.Rosters = []Roster{roster}
	}
	digest.Relayed = takeRelayed(&a.toZones)
	selection := a.selection()
	selection.Demand = selection.Uses
	if a.isSettled(now) && (a.sums.HasZoneLoads() || selection != aggregator.Selection{}) {
		sums := a.sums.ZoneSums(selection)
		digest.Sums = &sums
	}
	if digest.isEmpty() && !a.isDue(keepAliveRounds) {
		return
	}
	payload, ok := g.encodeDigest(&digest)
	if !ok {
		return
	}
	for _, to := range g.zoneContacts(now) {
		g.sendPayload(to, payload)
	}
}

// zoneContacts returns an address in each other zone: that of its aggregator, or of
// a random instance, which passes digests on, if nothing is heard from the zone.
func (g *Gossiper) zoneContacts(now time.Time) map[string]string {
	contacts := make(map[string]string)
	seen := make(map[string]int)
	for _, m := range g.members {
		zone := m.peer.AvailabilityZone
		if zone == g.config.Self.AvailabilityZone {
			continue
		}
		if news := g.aggregation.zones[zone]; news != nil && now.Sub(news.heardAt) <= zoneTimeout {
			contacts[zone] = news.aggregator
			continue
		}
		seen[zone]++
		if rand.IntN(seen[zone]) == 0 {
			contacts[zone] = m.peer.Address
		}
	}
	return contacts
}

// sendMemberDigests sends each instance of this zone a digest about all others.
func (g *Gossiper) sendMemberDigests(digest Digest, now time.Time) {
	a := g.aggregation
	for _, zone := range a.zones {
		if roster, isDue := a.listing(zone, now); isDue {
			digest.Rosters = append(digest.Rosters, roster)
		}
	}
	if roster, isDue := a.listing(&a.own, now); isDue {
		digest.Rosters = append(digest.Rosters, roster)
	}
	digest.Relayed = takeRelayed(&a.toMembers)
	selection := a.selection()
	hasSums := a.isSettled(now) && (a.sums.HasLoads() || selection != aggregator.Selection{})
	if digest.isEmpty() && !hasSums && !a.isDue(keepAliveRounds) {
		return
	}
	for name, m := range g.members {
		if m.peer.AvailabilityZone != g.config.Self.AvailabilityZone || !m.isAlive(now) {
			continue
		}
		if hasSums {
			selection.Demand = selection.Uses && m.fencingToken > 0
			sums := a.sums.OtherSums(name, selection)
			digest.Sums = &sums
		}
		if payload, ok := g.encodeDigest(&digest); ok {
			g.sendPayload(m.peer.Address, payload)
		}
	}
}

func (d *Digest) isEmpty() bool { return d.Rosters == nil && d.Sums == nil && len(d.Relayed) == 0 }

func (g *Gossiper) encodeDigest(digest *Digest) ([]byte, bool) {
	payload, err := encoder.Encode(digest)
	if err != nil {
		g.config.Logger.Error().Err(err).Msg("failed to encode digest")
		return nil, false
	}
	return append([]byte{digestMarker}, payload...), true
}
