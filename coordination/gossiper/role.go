package gossiper

import "time"

// largeFleetSize is the number of other instances above which the instances of an
// availability zone send their heartbeats to an aggregator.
const largeFleetSize = 24

// aggregatorTimeout is the silence of the aggregator after which another instance
// takes its place. The aggregator sends a digest at least every keepAliveRounds.
const aggregatorTimeout = 600 * time.Millisecond

// Sources of sums.
const (
	// fleetSource names the sums over all other instances of the fleet.
	fleetSource = "fleet:"
	// zoneSourcePrefix precedes the name of the availability zone in the name of
	// the sums over that zone.
	zoneSourcePrefix = "zone:"
)

// roleKind is the way in which an instance exchanges heartbeats.
type roleKind int

const (
	// direct instances exchange heartbeats with every other instance.
	direct roleKind = iota
	// following instances exchange heartbeats with their zone's aggregator.
	following
	// aggregating instances are the aggregator of their zone.
	aggregating
)

// role is the way in which this instance exchanges heartbeats.
type role struct {
	kind roleKind
	// aggregator is the instance that this one follows.
	aggregator string
	since      time.Time
}

// updateRole chooses the aggregator: the instance of the zone that ranks first
// among those that are alive. All instances choose alike once they know each other.
func (g *Gossiper) updateRole() {
	now := g.config.Now()
	g.suspectAggregator(now)
	next := g.chooseRole(now)
	if next.kind == g.role.kind && next.aggregator == g.role.aggregator {
		return
	}
	previous := g.role
	g.role = next
	g.config.Logger.Info().Str("aggregator", next.aggregator).Bool("is_aggregator", next.kind == aggregating).Msg("aggregator chosen")
	if next.kind != previous.kind {
		g.removeSources(previous.kind)
	}
	switch next.kind {
	case following:
		// The new aggregator needs the status of this instance for its first sums.
		g.sendHeartbeat(g.buildHeartbeat(), g.members[next.aggregator].peer.Address)
	case aggregating:
		g.introduce()
	case direct:
	}
}

// suspectAggregator excludes an aggregator that has fallen silent.
func (g *Gossiper) suspectAggregator(now time.Time) {
	m := g.members[g.role.aggregator]
	if m == nil || now.Sub(g.role.since) < aggregatorTimeout || now.Sub(m.lastDirectAt) < aggregatorTimeout || m.isSuspect {
		return
	}
	m.isSuspect = true
	g.config.Logger.Warn().Str("aggregator", g.role.aggregator).Dur("silent", now.Sub(m.lastDirectAt)).Msg("aggregator is silent")
}

func (g *Gossiper) chooseRole(now time.Time) role {
	if len(g.members) < largeFleetSize {
		return role{kind: direct, since: now}
	}
	best := g.config.Self
	for _, m := range g.members {
		isCandidate := m.peer.AvailabilityZone == best.AvailabilityZone && m.isAlive(now) && !m.isDraining && !m.isSuspect
		isBetter := m.peer.ranksBefore(best) || g.isDraining && best.Instance == g.config.Self.Instance
		if isCandidate && isBetter {
			best = m.peer
		}
	}
	if best.Instance == g.config.Self.Instance {
		return role{kind: aggregating, since: now}
	}
	return role{kind: following, aggregator: best.Instance, since: now}
}

// removeSources removes the sources of the previous role, and starts or ends the
// aggregation.
func (g *Gossiper) removeSources(previous roleKind) {
	switch previous {
	case direct:
	case following:
		g.removeSums(fleetSource)
	case aggregating:
		for zone := range g.aggregation.zones {
			g.removeSums(zoneSourcePrefix + zone)
		}
	}
	isFollowing := g.role.kind == following
	for name, m := range g.members {
		isRemote := m.peer.AvailabilityZone != g.config.Self.AvailabilityZone
		if isFollowing || g.role.kind == aggregating && isRemote {
			g.config.OnSourceRemoved(name)
		}
	}
	g.aggregation = nil
	if g.role.kind == aggregating {
		g.aggregation = newAggregation(g.config.Self, g.config.Now())
	}
}

func (g *Gossiper) removeSums(source string) {
	delete(g.terms, source)
	g.config.OnSourceRemoved(source)
}

// introduce tells the instances of the zone that this one is alive. After their
// aggregator has stopped they may know of no other instance.
func (g *Gossiper) introduce() {
	payload, ok := g.encode(new(g.buildHeartbeat()))
	if !ok {
		return
	}
	for _, m := range g.members {
		if m.peer.AvailabilityZone == g.config.Self.AvailabilityZone {
			g.sendPayload(m.peer.Address, payload)
		}
	}
}
