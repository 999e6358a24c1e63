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

// publishPlacement applies the models that an engine has loaded, and queues them
// for the peers.
func (i *Instance) publishPlacement(upstream *catalog.Upstream) {
	placement := gossiper.Placement{
		Upstream: upstream.ID, StartUnixMilli: upstream.StartUnixMilli, AcceptedOrders: upstream.AcceptedOrders, LoadedModels: upstream.LoadedModels,
	}
	i.site.addPlacements(placement)
	i.placementQueue.add(placement)
}

// placementBatchDelay is the time during which placements are batched before
// they are broadcast. One message per order to each instance of a large fleet would
// saturate the network link of a small machine.
const placementBatchDelay = 25 * time.Millisecond

// maxPlacementsPerHeartbeat keeps a heartbeat well below the maximum size of a
// datagram.
const maxPlacementsPerHeartbeat = 40

// placementQueue holds the latest placement of each engine until it is broadcast.
// It is safe for concurrent use.
type placementQueue struct {
	mu      sync.Mutex
	pending map[string]gossiper.Placement
	// added has one element while placements may be pending.
	added chan struct{}
}

func newPlacementQueue() *placementQueue {
	return &placementQueue{pending: make(map[string]gossiper.Placement), added: make(chan struct{}, 1)}
}

// add replaces the pending placement of an engine.
func (q *placementQueue) add(placement gossiper.Placement) {
	q.mu.Lock()
	q.pending[placement.Upstream] = placement
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// drain removes and returns the pending placements.
func (q *placementQueue) drain() []gossiper.Placement {
	q.mu.Lock()
	defer q.mu.Unlock()
	placements := slices.Collect(maps.Values(q.pending))
	clear(q.pending)
	return placements
}

// broadcastPlacements sends queued placements to all peers until ctx ends.
func (i *Instance) broadcastPlacements(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-i.placementQueue.added:
		}
		time.Sleep(placementBatchDelay)
		for placements := range slices.Chunk(i.placementQueue.drain(), maxPlacementsPerHeartbeat) {
			heartbeat := gossiper.NewPartial()
			heartbeat.Placements = placements
			i.gossiper.Broadcast(heartbeat)
		}
	}
}
