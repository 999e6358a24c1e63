package gossiper

import (
	"slices"
	"strings"
	"time"
)

// LargeFleetSize is the number of instances above which messages between all of them
// are made fewer.
const LargeFleetSize = 24

// member is another instance.
type member struct {
	peer    Peer
	heardAt time.Time
	ready   bool
	leaving bool
	fence   int64
}

// Fleet is what is known of the instances. It is immutable.
type Fleet struct {
	// Alive lists the other instances that are alive and not leaving.
	Alive []Peer
	// Ready lists those of them that serve.
	Ready []Peer
	// Size is the number of instances that may use shares of limits, with the
	// own one.
	Size int
	// Names lists the names of these instances in order.
	Names []string
	// ZoneRank is the number of ready instances of the own availability zone that
	// come before this one by capacity and name.
	ZoneRank int
	// Rank is the number of instances alive that come before this one by capacity
	// and name.
	Rank int
	// PlannerAddress is the address of the instance that holds the planning duty,
	// empty if none is known.
	PlannerAddress string
}

// Fleet returns what is known of the instances.
func (g *Gossiper) Fleet() *Fleet { return g.fleet.Load() }

// meet adds a listed instance. An unheard one keeps a zero heardAt.
func (g *Gossiper) meet(members map[string]*member, peer Peer) {
	known := members[peer.Instance]
	if peer.Instance == g.config.Self.Instance || known != nil {
		return
	}
	members[peer.Instance] = &member{peer: peer}
}

func (g *Gossiper) forgetSilent(members map[string]*member) {
	now := g.config.Now()
	for name, m := range members {
		isSilent := !m.heardAt.IsZero() && now.Sub(m.heardAt) > forgetAfter
		hasEnded := m.leaving && now.Sub(m.heardAt) > aliveFor
		if isSilent || hasEnded {
			delete(members, name)
			g.config.OnPeerRemoved(name)
			g.config.Logger.Info().Str("peer", name).Bool("had_announced", m.leaving).Msg("instance forgotten")
		}
	}
}

// summarize returns what is known of the instances.
func (g *Gossiper) summarize(members map[string]*member) *Fleet {
	now := g.config.Now()
	fleet := &Fleet{Names: []string{g.config.Self.Instance}}
	var fence int64
	for name, m := range members {
		if m.heardAt.IsZero() {
			continue
		}
		fleet.Names = append(fleet.Names, name)
		if now.Sub(m.heardAt) > aliveFor || m.leaving {
			continue
		}
		fleet.Alive = append(fleet.Alive, m.peer)
		comesBefore := m.peer.comesBefore(g.config.Self)
		if comesBefore {
			fleet.Rank++
		}
		if m.ready {
			fleet.Ready = append(fleet.Ready, m.peer)
			if comesBefore && m.peer.AvailabilityZone == g.config.Self.AvailabilityZone {
				fleet.ZoneRank++
			}
		}
		if m.fence > fence {
			fence, fleet.PlannerAddress = m.fence, m.peer.Address
		}
	}
	fleet.Size = len(fleet.Names)
	slices.Sort(fleet.Names)
	slices.SortFunc(fleet.Ready, func(a, b Peer) int { return strings.Compare(a.Instance, b.Instance) })
	return fleet
}
