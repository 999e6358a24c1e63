package gossiper

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

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
	usageRounds      = 10
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

// zoneState is what the aggregator knows about an availability zone.
type zoneState struct {
	heardAt time.Time
	// aggregator is the address of the zone's aggregator.
	aggregator string
	roster     Roster
	// repeats is the number of rounds in which the roster is still to be sent.
	repeats int
}

// setRoster replaces the roster. A new version is sent to the instances.
func (z *zoneState) setRoster(roster Roster) {
	if roster.Version != z.roster.Version || roster.IsComplete != z.roster.IsComplete {
		z.roster, z.repeats = roster, rosterRepeats
	}
}

// fullRosterRound returns the round in which the roster is sent in full. It differs
// between zones, since the rosters of all zones of a large fleet do not fit into one
// datagram.
func (z *zoneState) fullRosterRound() int {
	return int(xxhash.Sum64String(z.roster.AvailabilityZone) % fullRosterRounds)
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
	if len(heartbeat.Placements) == 0 && len(heartbeat.Crashes) == 0 && len(heartbeat.FeedUpdates) == 0 {
		return
	}
	events := heartbeat.events()
	events.AdapterRequests = nil
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

// zoneRoster returns the roster of this instance's zone.
func (g *Gossiper) zoneRoster(now time.Time) Roster {
	roster := Roster{AvailabilityZone: g.config.Self.AvailabilityZone, Peers: []PeerStatus{g.aggregation.self}}
	silent := 0
	for _, m := range g.members {
		switch {
		case m.peer.AvailabilityZone != roster.AvailabilityZone || m.lastHeartbeatAt.IsZero():
		case now.Sub(m.lastDirectAt) <= livenessTimeout:
			roster.Peers = append(roster.Peers, m.status())
		default:
			silent++
		}
	}
	// An aggregator that hears only a minority is more likely cut off itself.
	roster.IsComplete = g.aggregation.isSettled(now) && silent < len(roster.Peers)
	slices.SortFunc(roster.Peers, func(a, b PeerStatus) int { return strings.Compare(a.Peer.Instance, b.Peer.Instance) })
	// A status that was decoded can be encoded.
	content, _ := encoder.Encode(roster.Peers)
	roster.Version = xxhash.Sum64(content)
	return roster
}

// listing returns the roster to send in this round: in full, confirmed without its
// content, or none.
func (a *aggregation) listing(zone *zoneState, now time.Time) (Roster, bool) {
	isFresh := zone.roster.Version != 0 && now.Sub(zone.heardAt) <= zoneTimeout
	switch {
	case isFresh && (zone.repeats > 0 || a.round%fullRosterRounds == zone.fullRosterRound()):
		return zone.roster, true
	case isFresh && a.isDue(rosterRounds):
		confirmed := zone.roster
		confirmed.Peers = nil
		return confirmed, true
	}
	return Roster{}, false
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

// handleDigest updates the members from a digest. It reports whether the fleet has
// changed.
func (g *Gossiper) handleDigest(digest *Digest) bool {
	from := digest.From
	if from.Instance == g.config.Self.Instance {
		return false
	}
	now := g.config.Now()
	sender := g.members[from.Instance]
	hasChanged := sender == nil || sender.peer.Incarnation != from.Incarnation || sender.isSuspect || !sender.isAlive(now)
	if sender == nil || sender.peer.Incarnation != from.Incarnation {
		sender = g.addMember(from)
	}
	sender.heardDirectly(now)
	sender.lastHeartbeatAt = now
	if digest.IsBetweenZones {
		return g.handleZoneDigest(digest) || hasChanged
	}
	hasChanged = g.applyRosters(digest) || hasChanged
	if g.role.kind != following || g.role.aggregator != from.Instance {
		return hasChanged
	}
	if digest.Sums != nil {
		g.deliverSums(SumsUpdate{
			Source: fleetSource, Sums: *digest.Sums, Uptime: time.Duration(digest.UptimeSeconds) * time.Second,
		})
	}
	for _, payload := range digest.Relayed {
		g.handleRelayed(payload)
	}
	return hasChanged
}

// handleZoneDigest adds the digest of another zone to the aggregation. An instance
// that is not the aggregator passes the digest on.
func (g *Gossiper) handleZoneDigest(digest *Digest) bool {
	zoneName := digest.From.AvailabilityZone
	if zoneName == g.config.Self.AvailabilityZone {
		return false
	}
	hasChanged := g.applyRosters(digest)
	if g.role.kind == following && !digest.IsPassedOn {
		digest.IsPassedOn = true
		if payload, ok := g.encodeDigest(digest); ok {
			g.sendPayload(g.members[g.role.aggregator].peer.Address, payload)
		}
		return hasChanged
	}
	a := g.aggregation
	if a == nil {
		return hasChanged
	}
	zone := a.zones[zoneName]
	if zone == nil {
		zone = &zoneState{}
		a.zones[zoneName] = zone
	}
	now := g.config.Now()
	zone.heardAt, zone.aggregator = now, digest.From.Address
	for _, roster := range digest.Rosters {
		if len(roster.Peers) > 0 {
			zone.setRoster(roster)
		}
	}
	if digest.Sums != nil {
		a.sums.SetZone(zoneName, digest.Sums, now)
		g.deliverSums(SumsUpdate{Source: zoneSourcePrefix + zoneName, Sums: *digest.Sums})
	}
	for _, payload := range digest.Relayed {
		g.handleRelayed(payload)
		a.toMembers = relay(a.toMembers, payload)
	}
	return hasChanged
}

// deliverSums passes sums to OnSums.
func (g *Gossiper) deliverSums(update SumsUpdate) {
	update.IsNewTerm = g.terms[update.Source] != update.Sums.Term
	g.terms[update.Source] = update.Sums.Term
	g.config.OnSums(update)
}

// handleRelayed passes on the events of an instance that an aggregator relays.
func (g *Gossiper) handleRelayed(payload []byte) {
	heartbeat := new(Heartbeat)
	if err := encoder.Decode(payload, heartbeat); err != nil {
		g.config.Logger.Warn().Err(err).Int("bytes", len(payload)).Msg("relayed heartbeat discarded")
		return
	}
	if heartbeat.From.Instance != g.config.Self.Instance {
		g.config.OnHeartbeat(heartbeat.events())
	}
}

// applyRosters updates the members from the rosters of a digest. It reports whether
// the fleet has changed.
func (g *Gossiper) applyRosters(digest *Digest) bool {
	hasChanged := false
	for i := range digest.Rosters {
		roster := &digest.Rosters[i]
		// The aggregator of a zone hears its instances itself.
		if g.aggregation == nil || roster.AvailabilityZone != g.config.Self.AvailabilityZone {
			hasChanged = g.applyRoster(roster) || hasChanged
		}
	}
	return hasChanged
}

func (g *Gossiper) applyRoster(roster *Roster) bool {
	now := g.config.Now()
	hasChanged := false
	for i := range roster.Peers {
		status := &roster.Peers[i]
		name := status.Peer.Instance
		if name == g.config.Self.Instance {
			continue
		}
		m := g.members[name]
		if m == nil || m.peer.Incarnation != status.Peer.Incarnation {
			m = g.addMember(status.Peer)
		}
		hasChanged = m.setStatus(*status, now) || hasChanged
		m.rosterVersion = roster.Version
	}
	for _, m := range g.members {
		switch {
		case m.peer.AvailabilityZone != roster.AvailabilityZone || now.Sub(m.lastDirectAt) < livenessTimeout && m.rosterVersion != roster.Version:
		case m.rosterVersion == roster.Version:
			m.lastHeartbeatAt = now
		case roster.IsComplete && len(roster.Peers) > 0 && m.isAlive(now):
			m.lastHeartbeatAt = now.Add(-livenessTimeout - 1)
			hasChanged = true
		}
	}
	return hasChanged
}
