// Package merger combines what engines announce, which comes late, with what
// the planner's orders have made of them.
package merger

import (
	"sync"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
)

// preferredFor is how long a placement goes before announcements. An
// announcement may be as old as a heartbeat of 1.2 s, 0.8 s on its way and the
// time between two reads.
const preferredFor = 2600 * time.Millisecond

// Placement is what an engine holds after an order.
type Placement struct {
	Upstream       string
	StartUnixMilli int64
	// AcceptedOrders is the number of orders that the engine has accepted.
	AcceptedOrders int64
	LoadedModels   []catalog.LoadedModel
}

// placed is a placement with the time at which it was learned.
type placed struct {
	Placement
	at time.Time
}

// Merger is safe for concurrent use.
type Merger struct {
	mu         sync.Mutex
	placements map[string]placed
}

// New returns a merger without placements.
func New() *Merger { return &Merger{placements: make(map[string]placed)} }

// Place takes a placement unless a newer one is known, and reports whether it
// was taken.
func (m *Merger) Place(placement Placement, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, found := m.placements[placement.Upstream]
	if found && known.StartUnixMilli == placement.StartUnixMilli && known.AcceptedOrders > placement.AcceptedOrders {
		return false
	}
	m.placements[placement.Upstream] = placed{Placement: placement, at: now}
	return true
}

// Merge returns the upstreams with what placements add. The given map is not
// changed.
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
		if now.Sub(p.at) < preferredFor {
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
