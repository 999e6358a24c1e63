package crocushollow

import (
	"hash/fnv"
)

// Shard is a unit of ownership. Each shard has at most one holder, which keeps
// the fleet-wide accounts of the resources in it and orders their upstreams.
type Shard uint16

// ShardCount is the number of shards. It bounds the number of instances that
// share the accounts.
const ShardCount = 64

// PlannerShard is the shard whose holder plans placement for the fleet.
const PlannerShard Shard = 0

// ShardOf returns the shard that a resource belongs to.
func ShardOf(resource string) Shard {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(resource))
	return Shard(hash.Sum32() % ShardCount)
}

// ShardClaim makes a member the holder of a shard. The first claim in the log that
// follows the shard's current one wins. Its log offset is the fencing number of
// the holder's orders.
type ShardClaim struct {
	Shard Shard `json:"shard"`
	// Owner is the claiming member.
	Owner MemberID `json:"holder"`
	// PreviousTerm is the term that the claim succeeds, 0 for the first claim.
	PreviousTerm uint64 `json:"follows"`
}

// ShardOwnership is a claim that won.
type ShardOwnership struct {
	Shard Shard    `json:"shard"`
	Owner MemberID `json:"holder"`
	// Term is the log offset of the claim plus 1. It grows with each holder of
	// the shard and serves as fencing number.
	Term uint64 `json:"term"`
	// PreviousTerm is the term before this one, 0 if the shard had no holder ever.
	PreviousTerm uint64 `json:"follows,omitempty"`
	// Released tells that the holder has handed the shard back.
	Released bool `json:"released,omitempty"`
}
