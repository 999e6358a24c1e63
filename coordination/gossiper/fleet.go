package gossiper

import (
	"slices"
	"strings"
	"time"
)

// LargeFleetSize is the number of instances above which instances send fewer
// messages: those to other availability zones go through forwarders.
const LargeFleetSize = 24

// member is another instance of the fleet.
type member struct {
	peer Peer
	// lastHeartbeatAt is zero for an instance that is only known from the
	// registry.
	lastHeartbeatAt time.Time
	isReady         bool
	isDraining      bool
	fencingToken    int64
}

// Fleet is the view that this instance has of all instances. It is immutable.
type Fleet struct {
	// Alive lists the peers that are alive and not shutting down.
	Alive []Peer
	// Ready lists the peers in Alive that serve requests.
	Ready []Peer
	// Size is the number of instances that may use a share of the limits. It
	// includes this instance, and peers that are silent or shutting down.
	Size int
	// Names lists the names of the instances that Size counts, sorted.
	Names []string
	// ZoneRank is the number of ready peers in this instance's availability zone
	// that rank before it by capacity and name.
	ZoneRank int
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
func (g *Gossiper) addListed(members map[string]*member, peer Peer) {
	known := members[peer.Instance]
	if peer.Instance == g.config.Self.Instance || known != nil {
		return
	}
	members[peer.Instance] = &member{peer: peer}
}

// removeStale removes instances that have been silent for too long or have shut
// down.
func (g *Gossiper) removeStale(members map[string]*member) {
	now := g.config.Now()
	for name, m := range members {
		isSilent := !m.lastHeartbeatAt.IsZero() && now.Sub(m.lastHeartbeatAt) > removalTimeout
		hasStopped := m.isDraining && now.Sub(m.lastHeartbeatAt) > livenessTimeout
		if isSilent || hasStopped {
			delete(members, name)
			g.config.OnPeerRemoved(name)
			g.config.Logger.Info().Str("peer", name).Bool("had_announced", m.isDraining).Msg("instance forgotten")
		}
	}
}

// summarize builds the view of the fleet from the members.
func (g *Gossiper) summarize(members map[string]*member) *Fleet {
	now := g.config.Now()
	fleet := &Fleet{Names: []string{g.config.Self.Instance}}
	var highestToken int64
	for name, m := range members {
		if m.lastHeartbeatAt.IsZero() {
			continue
		}
		fleet.Names = append(fleet.Names, name)
		if now.Sub(m.lastHeartbeatAt) > livenessTimeout || m.isDraining {
			continue
		}
		fleet.Alive = append(fleet.Alive, m.peer)
		ranksBefore := m.peer.ranksBefore(g.config.Self)
		if ranksBefore {
			fleet.Rank++
		}
		if m.isReady {
			fleet.Ready = append(fleet.Ready, m.peer)
			if ranksBefore && m.peer.AvailabilityZone == g.config.Self.AvailabilityZone {
				fleet.ZoneRank++
			}
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
