package gossiper

import (
	"slices"
	"strings"
	"time"
)

// member is another instance of the fleet.
type member struct {
	peer Peer
	// lastHeartbeatAt is when the instance was last known to be alive, from its own
	// heartbeat or from a roster. It is zero for an instance that is only known from
	// the registry.
	lastHeartbeatAt time.Time
	// lastDirectAt is when the last message arrived from the instance itself.
	lastDirectAt time.Time
	// isSuspect means that the instance was the aggregator and fell silent. It is
	// not chosen again until it is heard.
	isSuspect bool
	// rosterVersion is the version of the last roster that listed the instance.
	rosterVersion uint64
	isReady       bool
	isDraining    bool
	fencingToken  int64
}

// setStatus updates the status and the time at which the instance was alive. It
// reports whether the fleet has changed.
func (m *member) setStatus(status PeerStatus, now time.Time) bool {
	hasChanged := now.Sub(m.lastHeartbeatAt) > livenessTimeout || m.isReady != status.Ready ||
		m.isDraining != status.Draining || m.fencingToken != status.FencingToken
	m.peer, m.lastHeartbeatAt = status.Peer, now
	m.isReady, m.isDraining, m.fencingToken = status.Ready, status.Draining, status.FencingToken
	return hasChanged
}

func (m *member) status() PeerStatus {
	return PeerStatus{Peer: m.peer, Ready: m.isReady, Draining: m.isDraining, FencingToken: m.fencingToken}
}

func (m *member) heardDirectly(now time.Time) { m.lastDirectAt, m.isSuspect = now, false }

func (m *member) isAlive(now time.Time) bool { return now.Sub(m.lastHeartbeatAt) <= livenessTimeout }

// Fleet is the view that this instance has of all instances. It is immutable.
type Fleet struct {
	// Alive lists the peers that are alive and not shutting down.
	Alive []Peer
	// Draining lists the peers that are alive and shutting down.
	Draining []Peer
	// Ready lists the peers in Alive that serve requests.
	Ready []Peer
	// Size is the number of instances that may use a share of the limits. It
	// includes this instance, and peers that are silent or shutting down.
	Size int
	// Names lists the names of the instances that Size counts, sorted.
	Names []string
	// IsAggregated means that the instances of a zone exchange heartbeats with their
	// aggregator.
	IsAggregated bool
	// IsAggregator means that this instance is the aggregator of its zone.
	IsAggregator bool
	// WatcherRank is the number of peers that rank before this instance as watcher:
	// ready ones first, then by capacity and name. It counts the peers in the
	// availability zone, or all of them if the fleet is aggregated.
	WatcherRank int
	// Rank is the number of peers in Alive that rank before this instance by
	// capacity and name.
	Rank int
	// PlannerAddress is the address of the planner leader. It is empty if no peer
	// is known to be the leader.
	PlannerAddress string
}

// Fleet returns the current view of the instances.
func (g *Gossiper) Fleet() *Fleet { return g.fleet.Load() }

// addListed adds an instance that the registry lists, unless it is known. The
// instance gets heartbeats, but counts as alive only after its own first one.
func (g *Gossiper) addListed(peer Peer) {
	known := g.members[peer.Instance]
	if peer.Instance == g.config.Self.Instance || known != nil {
		return
	}
	g.members[peer.Instance] = &member{peer: peer}
}

// addMember adds an instance that is alive, or replaces an earlier incarnation.
func (g *Gossiper) addMember(peer Peer) *member {
	m := &member{peer: peer}
	g.members[peer.Instance] = m
	g.config.Logger.Info().Str("peer", peer.Instance).Str("address", peer.Address).Msg("instance heard")
	return m
}

// removeStale removes instances that have been silent for too long or have shut
// down.
func (g *Gossiper) removeStale() {
	now := g.config.Now()
	for name, m := range g.members {
		isSilent := !m.lastHeartbeatAt.IsZero() && now.Sub(m.lastHeartbeatAt) > removalTimeout
		hasStopped := m.isDraining && now.Sub(m.lastHeartbeatAt) > livenessTimeout
		if isSilent || hasStopped {
			delete(g.members, name)
			g.config.OnSourceRemoved(name)
			if g.aggregation != nil {
				g.aggregation.sums.Remove(name)
			}
			g.config.Logger.Info().Str("peer", name).Bool("had_announced", m.isDraining).Msg("instance forgotten")
		}
	}
}

// summarize builds the view of the fleet from the members.
func (g *Gossiper) summarize() *Fleet {
	now := g.config.Now()
	fleet := &Fleet{Names: []string{g.config.Self.Instance}, IsAggregated: g.role.kind != direct, IsAggregator: g.role.kind == aggregating}
	var highestToken int64
	for name, m := range g.members {
		if m.lastHeartbeatAt.IsZero() {
			continue
		}
		fleet.Names = append(fleet.Names, name)
		if !m.isAlive(now) {
			continue
		}
		if m.isDraining {
			fleet.Draining = append(fleet.Draining, m.peer)
			continue
		}
		fleet.Alive = append(fleet.Alive, m.peer)
		ranksBefore := m.peer.ranksBefore(g.config.Self)
		if ranksBefore {
			fleet.Rank++
		}
		if m.isReady {
			fleet.Ready = append(fleet.Ready, m.peer)
		}
		isInScope := fleet.IsAggregated || m.peer.AvailabilityZone == g.config.Self.AvailabilityZone
		if isInScope && (m.isReady && !g.isReady || m.isReady == g.isReady && ranksBefore) {
			fleet.WatcherRank++
		}
		if m.fencingToken > highestToken {
			highestToken, fleet.PlannerAddress = m.fencingToken, m.peer.Address
		}
	}
	fleet.Size = len(fleet.Names)
	slices.Sort(fleet.Names)
	slices.SortFunc(fleet.Ready, func(a, b Peer) int { return strings.Compare(a.Instance, b.Instance) })
	return fleet
}
