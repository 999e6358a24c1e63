// Package merger combines the registrations of engines, which arrive with a
// delay, with the results of the planner's recent orders.
package merger

import (
	"sync"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
)

// placementLifetime is how long a placement takes precedence over registrations.
// A registration may be as old as the heartbeat interval of 1.2 s, plus 0.8 s of
// propagation, plus the time between two reads.
const placementLifetime = 2600 * time.Millisecond

// Placement lists the models that an engine has loaded after an order.
type Placement struct {
	Upstream       string
	StartUnixMilli int64
	// AcceptedOrders is the number of orders that the engine has accepted.
	AcceptedOrders int64
	LoadedModels   []catalog.LoadedModel
}

// receivedPlacement is a placement with the time at which it was received.
type receivedPlacement struct {
	Placement
	receivedAt time.Time
}

// Merger holds the latest placement of each upstream. It is safe for concurrent
// use.
type Merger struct {
	mu         sync.Mutex
	placements map[string]receivedPlacement
}

// New returns a merger without placements.
func New() *Merger { return &Merger{placements: make(map[string]receivedPlacement)} }

// SetPlacement stores a placement unless a newer one is known. It reports whether
// the placement was stored.
func (m *Merger) SetPlacement(placement Placement, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, found := m.placements[placement.Upstream]
	if found && known.StartUnixMilli == placement.StartUnixMilli && known.AcceptedOrders > placement.AcceptedOrders {
		return false
	}
	m.placements[placement.Upstream] = receivedPlacement{Placement: placement, receivedAt: now}
	return true
}

// Merge returns the upstreams with the loaded models of recent placements. It does
// not change the given map, and drops the placements of upstreams that are not in
// it.
func (m *Merger) Merge(upstreams map[string]*catalog.Upstream, now time.Time) map[string]*catalog.Upstream {
	m.mu.Lock()
	defer m.mu.Unlock()
	merged := make(map[string]*catalog.Upstream, len(upstreams))
	for id, upstream := range upstreams {
		merged[id] = upstream
		p, found := m.placements[id]
		if !found || p.StartUnixMilli != upstream.StartUnixMilli {
			continue
		}
		if now.Sub(p.receivedAt) < placementLifetime {
			next := upstream.WithLoadedModels(p.LoadedModels)
			merged[id] = &next
		}
	}
	for id := range m.placements {
		if upstreams[id] == nil {
			delete(m.placements, id)
		}
	}
	return merged
}
