package hosted

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/coordination/gossiper"
)

// placed tells all instances what an engine holds.
func (i *Instance) placed(upstream *catalog.Upstream) {
	placement := gossiper.Placement{
		Upstream: upstream.ID, StartUnixMilli: upstream.StartUnixMilli, AcceptedOrders: upstream.AcceptedOrders, LoadedModels: upstream.LoadedModels,
	}
	i.sites.place(placement)
	i.placements.add(placement)
}

// placementPause gathers placements before they are told. The link of a small
// machine is soon full with a message per order to each instance of a large
// fleet.
const placementPause = 25 * time.Millisecond

// placementsPerBulletin keeps a bulletin well below the size of a datagram.
const placementsPerBulletin = 40

// placementTeller gathers what engines hold until it is told.
type placementTeller struct {
	mu      sync.Mutex
	pending map[string]gossiper.Placement
	// added has one element while some are pending.
	added chan struct{}
}

func newPlacementTeller() *placementTeller {
	return &placementTeller{pending: make(map[string]gossiper.Placement), added: make(chan struct{}, 1)}
}

func (t *placementTeller) add(placement gossiper.Placement) {
	t.mu.Lock()
	t.pending[placement.Upstream] = placement
	t.mu.Unlock()
	select {
	case t.added <- struct{}{}:
	default:
	}
}

// take returns what is pending.
func (t *placementTeller) take() []gossiper.Placement {
	t.mu.Lock()
	defer t.mu.Unlock()
	placements := slices.Collect(maps.Values(t.pending))
	clear(t.pending)
	return placements
}

// tellPlacements tells the other instances what engines hold after orders.
func (i *Instance) tellPlacements(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-i.placements.added:
		}
		time.Sleep(placementPause)
		for placements := range slices.Chunk(i.placements.take(), placementsPerBulletin) {
			bulletin := gossiper.NewPartial()
			bulletin.Placements = placements
			i.gossiper.Broadcast(bulletin)
		}
	}
}
