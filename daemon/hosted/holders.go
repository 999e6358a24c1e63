package hosted

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/state/pinner"
)

// pinHolders is the number of instances that are told the origin of a stream.
const pinHolders = 3

// holderRanking ranks the instances that may hold the pin of a stream, by rendezvous hashing.
// All instances that know the same peers agree on the holders, but each leaves itself out.
// It is immutable.
type holderRanking struct {
	fleet *gossiper.Fleet
	// lasting holds the peers that are alive, and draining those that are shutting down,
	// which hold pins only if there are too few others.
	lasting, draining hashedPeers
}

// hashedPeers are peers, sorted by name, with the hashes of their names.
type hashedPeers struct {
	peers  []gossiper.Peer
	hashes []uint64
}

func newHolderRanking(fleet *gossiper.Fleet) *holderRanking {
	return &holderRanking{fleet: fleet, lasting: hashPeers(fleet.Alive), draining: hashPeers(fleet.Draining)}
}

func hashPeers(peers []gossiper.Peer) hashedPeers {
	hashed := hashedPeers{peers: slices.Clone(peers), hashes: make([]uint64, 0, len(peers))}
	slices.SortFunc(hashed.peers, func(a, b gossiper.Peer) int { return strings.Compare(a.Instance, b.Instance) })
	for _, peer := range hashed.peers {
		hashed.hashes = append(hashed.hashes, xxhash.Sum64String(peer.Instance))
	}
	return hashed
}

// holders returns the peers that hold the pin of a stream.
func (r *holderRanking) holders(stream pinner.Stream) []gossiper.Peer {
	holders := r.lasting.appendBest(make([]gossiper.Peer, 0, pinHolders), stream)
	return r.draining.appendBest(holders, stream)
}

// appendBest appends the peers with the highest scores for a stream until there are
// pinHolders.
func (h *hashedPeers) appendBest(holders []gossiper.Peer, stream pinner.Stream) []gossiper.Peer {
	var best [pinHolders]int
	var scores [pinHolders]uint64
	wanted, count := pinHolders-len(holders), 0
	if wanted == 0 {
		return holders
	}
	for index, hash := range h.hashes {
		score := (hash ^ uint64(stream)) * 0x9e3779b97f4a7c15
		if count == wanted && score <= scores[wanted-1] {
			continue
		}
		place := min(count, wanted-1)
		for place > 0 && scores[place-1] < score {
			place--
		}
		count = min(count+1, wanted)
		copy(best[place+1:count], best[place:count-1])
		copy(scores[place+1:count], scores[place:count-1])
		best[place], scores[place] = index, score
	}
	for _, index := range best[:count] {
		holders = append(holders, h.peers[index])
	}
	return holders
}

// holdersMissingIn returns the holders of a stream's pin that do not hold it by an earlier
// ranking, or have started again since then.
func (r *holderRanking) holdersMissingIn(earlier *holderRanking, stream pinner.Stream) []gossiper.Peer {
	known := earlier.holders(stream)
	return slices.DeleteFunc(r.holders(stream), func(holder gossiper.Peer) bool {
		return slices.ContainsFunc(known, func(other gossiper.Peer) bool { return isSameProcess(holder, other) })
	})
}

// hasSamePeers reports whether both rankings have the same holders for each stream.
func (r *holderRanking) hasSamePeers(other *holderRanking) bool {
	return r == other || slices.EqualFunc(r.lasting.peers, other.lasting.peers, isSameProcess) &&
		slices.EqualFunc(r.draining.peers, other.draining.peers, isSameProcess)
}

func isSameProcess(a, b gossiper.Peer) bool {
	return a.Instance == b.Instance && a.Incarnation == b.Incarnation
}
