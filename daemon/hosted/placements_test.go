package hosted

import (
	"testing"

	"github.com/crocushollow/crocushollow/coordination/gossiper"
)

// TestPlacementQueueKeepsLatestPerEngine queues the placements of 200 orders for
// ten engines. It guards against one message per order: each engine must be drained
// once, with its latest placement.
func TestPlacementQueueKeepsLatestPerEngine(t *testing.T) {
	queue := newPlacementQueue()
	for order := range int64(200) {
		queue.add(gossiper.Placement{Upstream: string(rune('a' + order%10)), AcceptedOrders: order})
	}
	placements := queue.drain()
	if len(placements) != 10 {
		t.Fatalf("drained %d placements, want 10", len(placements))
	}
	for _, placement := range placements {
		if placement.AcceptedOrders < 190 {
			t.Errorf("placement of engine %s is from order %d, want 190 or later", placement.Upstream, placement.AcceptedOrders)
		}
	}
	if len(queue.drain()) != 0 {
		t.Error("placements drained twice")
	}
}
