package hosted

import (
	"fmt"
	"slices"
	"testing"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/state/pinner"
)

func namedPeers(from, until int) []gossiper.Peer {
	var peers []gossiper.Peer
	for n := from; n < until; n++ {
		peers = append(peers, gossiper.Peer{Instance: fmt.Sprint("node-", n), Incarnation: crocushollow.Incarnation(n + 1)})
	}
	return peers
}

// Guards against instances that disagree on the holders because they list their peers in
// another order.
func TestHoldersDoNotDependOnTheOrderOfPeers(t *testing.T) {
	peers := namedPeers(0, 40)
	forward := newHolderRanking(&gossiper.Fleet{Alive: slices.Clone(peers)})
	slices.Reverse(peers)
	backward := newHolderRanking(&gossiper.Fleet{Alive: peers})
	if !forward.hasSamePeers(backward) {
		t.Error("rankings of the same peers differ")
	}
	held := make(map[string]int)
	for stream := range pinner.Stream(4000) {
		stream *= 0x2545f4914f6cdd1d
		holders := forward.holders(stream)
		if !slices.Equal(holders, backward.holders(stream)) || len(holders) != pinHolders {
			t.Fatalf("holders %v and %v", holders, backward.holders(stream))
		}
		for _, holder := range holders {
			held[holder.Instance]++
		}
	}
	for name, count := range held {
		if count < 150 || count > 450 {
			t.Errorf("%s holds %d of 12000 pins, expected about 300", name, count)
		}
	}
}

// Guards against streams without holders while other instances shut down.
func TestPeersThatShutDownHoldPinsIfThereAreTooFewOthers(t *testing.T) {
	ranking := newHolderRanking(&gossiper.Fleet{Alive: namedPeers(0, 1), Draining: namedPeers(1, 6)})
	holders := ranking.holders(7)
	if len(holders) != pinHolders || holders[0].Instance != "node-0" {
		t.Errorf("holders %v", holders)
	}
	enough := newHolderRanking(&gossiper.Fleet{Alive: namedPeers(0, 3), Draining: namedPeers(3, 6)})
	for _, holder := range enough.holders(7) {
		if slices.Contains(namedPeers(3, 6), holder) {
			t.Errorf("%s shuts down and holds a pin", holder.Instance)
		}
	}
}

// Guards against holders that are never told a pin: instances that have started again under
// the same name, and those that take the place of one that has ended.
func TestHoldersThatLackAPinAreTheNewProcesses(t *testing.T) {
	peers := namedPeers(0, 3)
	before := newHolderRanking(&gossiper.Fleet{Alive: slices.Clone(peers)})
	peers[1].Incarnation = 99
	after := newHolderRanking(&gossiper.Fleet{Alive: peers})
	if before.hasSamePeers(after) {
		t.Error("a restart is not seen")
	}
	if lacking := after.holdersMissingIn(before, 7); len(lacking) != 1 || lacking[0].Incarnation != 99 {
		t.Errorf("lacking %v", lacking)
	}
	if lacking := after.holdersMissingIn(&holderRanking{}, 7); len(lacking) != pinHolders {
		t.Errorf("lacking at first %v", lacking)
	}
}

// BenchmarkHoldersAfterAStart finds the pins to tell after one of 630 instances has started.
func BenchmarkHoldersAfterAStart(b *testing.B) {
	const instances, pins = 630, 600
	before := newHolderRanking(&gossiper.Fleet{Alive: namedPeers(0, instances)})
	fleet := &gossiper.Fleet{Alive: namedPeers(0, instances+1)}
	for b.Loop() {
		after := newHolderRanking(fleet)
		lacking := 0
		for stream := range pinner.Stream(pins) {
			lacking += len(after.holdersMissingIn(before, stream*0x2545f4914f6cdd1d))
		}
		b.ReportMetric(float64(lacking), "pins/op")
	}
}
