// Package claimer decides which shards an instance claims.
//
// A claim does not expire and is never renewed. It ends when its owner departs
// or releases the shard, which are both records in the log. An idle fleet
// therefore appends nothing.
package claimer

import (
	"hash/fnv"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/applier"
)

// Eligible reports whether a member may acquire shards.
type Eligible func(crocushollow.Member) bool

// Claims returns the claims that an instance should publish: one for each
// vacant shard whose preferred owner among the eligible members is the
// instance.
func Claims(state *applier.State, self crocushollow.MemberID, eligible Eligible) []crocushollow.ShardClaim {
	vacant := vacantShards(state)
	if len(vacant) == 0 {
		return nil
	}
	candidates := eligibleMembers(state, eligible)
	var claims []crocushollow.ShardClaim
	for _, shard := range vacant {
		if PreferredOwner(shard, candidates) != self {
			continue
		}
		claims = append(claims, crocushollow.ShardClaim{
			Shard:        shard,
			Owner:        self,
			PreviousTerm: state.Ownership(shard).Term,
		})
	}
	return claims
}

func vacantShards(state *applier.State) []crocushollow.Shard {
	var vacant []crocushollow.Shard
	for shard := range crocushollow.Shard(crocushollow.ShardCount) {
		if state.IsVacant(shard) {
			vacant = append(vacant, shard)
		}
	}
	return vacant
}

// Releases returns the releases of all shards that an instance owns.
func Releases(state *applier.State, self crocushollow.MemberID) []crocushollow.ShardClaim {
	var releases []crocushollow.ShardClaim
	for shard := range crocushollow.Shard(crocushollow.ShardCount) {
		if state.IsOwner(self, shard) {
			releases = append(releases, crocushollow.ShardClaim{
				Shard:        shard,
				Owner:        self,
				PreviousTerm: state.Ownership(shard).Term,
			})
		}
	}
	return releases
}

func eligibleMembers(state *applier.State, eligible Eligible) []crocushollow.Member {
	var members []crocushollow.Member
	for _, member := range state.Members() {
		if !member.Draining && eligible(member) {
			members = append(members, member)
		}
	}
	return members
}

// PreferredOwner returns the preferred owner of a shard by rendezvous hashing
// (Thaler and Ravishankar, 1998). The result is zero if there are no members.
func PreferredOwner(shard crocushollow.Shard, members []crocushollow.Member) crocushollow.MemberID {
	var best crocushollow.MemberID
	var bestScore uint64
	for _, member := range members {
		if score := score(shard, member.ID); best.IsZero() || score > bestScore {
			best, bestScore = member.MemberID(), score
		}
	}
	return best
}

// score returns the rendezvous hash of a shard and an instance ID.
func score(shard crocushollow.Shard, id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte{byte(shard), byte(shard >> 8)})
	_, _ = hash.Write([]byte(id))
	// FNV-1a mixes the last input bytes poorly into the high bits, so part of
	// the MurmurHash3 finalizer is applied.
	h := hash.Sum64()
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
