package gossiper

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushollow/crocushollow/state/encoder"
)

// PeerStatus is the status of an instance in a roster.
type PeerStatus struct {
	Peer     Peer `cbor:"1,keyasint"`
	Ready    bool `cbor:"2,keyasint,omitempty"`
	Draining bool `cbor:"3,keyasint,omitempty"`
	// FencingToken is the instance's fencing token if it is the planner leader, and
	// 0 otherwise.
	FencingToken int64 `cbor:"4,keyasint,omitempty"`
}

// Roster lists the instances of an availability zone that are alive, as the zone's
// aggregator knows them.
type Roster struct {
	AvailabilityZone string `cbor:"1,keyasint"`
	// Version identifies the content of Peers. It differs between aggregators.
	Version uint64 `cbor:"2,keyasint"`
	// Peers is empty if the receiver should know this version.
	Peers []PeerStatus `cbor:"3,keyasint,omitempty"`
	// IsComplete means that an instance of the zone that is not in Peers is gone.
	IsComplete bool `cbor:"4,keyasint,omitempty"`
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
