package hosted

import (
	"testing"

	"github.com/crocushollow/crocushollow/coordination/gossiper"
)

// TestPlacementsOfManyOrdersAreToldOnce gives 200 orders to ten engines at once:
// each engine is told of once, as the last order has left it.
func TestPlacementsOfManyOrdersAreToldOnce(t *testing.T) {
	teller := newPlacementTeller()
	for order := range int64(200) {
		teller.add(gossiper.Placement{Upstream: string(rune('a' + order%10)), AcceptedOrders: order})
	}
	placements := teller.take()
	if len(placements) != 10 {
		t.Fatalf("%d placements told, not 10", len(placements))
	}
	for _, placement := range placements {
		if placement.AcceptedOrders < 190 {
			t.Errorf("%s is told as of order %d", placement.Upstream, placement.AcceptedOrders)
		}
	}
	if len(teller.take()) != 0 {
		t.Error("placements told twice")
	}
}
