package crocushollow

import (
	"hash/fnv"
)

// Shard is a partition of the resources. Each shard has at most one owner, which
// does the fleet-wide accounting for the resources in it and sends orders to
// their upstreams.
type Shard uint16

// ShardCount is the number of shards, and so the largest number of instances
// among which the accounting can be split.
const ShardCount = 64

// PlannerShard is the shard whose owner plans placement for the fleet.
const PlannerShard Shard = 0

// ShardOf returns the shard that a resource belongs to.
func ShardOf(resource string) Shard {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(resource))
	return Shard(hash.Sum32() % ShardCount)
}

// ShardClaim makes a member the owner of a shard. The first claim in the log whose
// PreviousTerm is the shard's current term wins. Its own term, the log offset plus
// 1, is the fencing token of the owner's writes.
type ShardClaim struct {
	Shard Shard `json:"shard"`
	// Owner is the member that claims the shard.
	Owner MemberID `json:"holder"`
	// PreviousTerm is the term that the claim succeeds. It is 0 for the first claim.
	PreviousTerm uint64 `json:"follows"`
}

// ShardOwnership is a claim that has won.
type ShardOwnership struct {
	Shard Shard    `json:"shard"`
	Owner MemberID `json:"holder"`
	// Term is the log offset of the claim plus 1. It increases with each owner
	// of the shard and serves as fencing token.
	Term uint64 `json:"term"`
	// PreviousTerm is the term before this one. It is 0 if the shard never had
	// an owner before.
	PreviousTerm uint64 `json:"follows,omitempty"`
	// Released reports that the owner has released the shard.
	Released bool `json:"released,omitempty"`
}
