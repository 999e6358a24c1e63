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

// Claim makes a member the holder of a shard. The first claim in the log that
// follows the shard's current one wins. Its log offset is the fencing number of
// the holder's orders.
type Claim struct {
	Shard Shard `json:"shard"`
	// Holder is the claiming member.
	Holder Life `json:"holder"`
	// Follows is the term that the claim succeeds, 0 for the first claim.
	Follows uint64 `json:"follows"`
}

// Holding is a claim that won.
type Holding struct {
	Shard  Shard `json:"shard"`
	Holder Life  `json:"holder"`
	// Term is the log offset of the claim plus 1. It grows with each holder of
	// the shard and serves as fencing number.
	Term uint64 `json:"term"`
	// Follows is the term before this one, 0 if the shard had no holder ever.
	Follows uint64 `json:"follows,omitempty"`
	// Released tells that the holder has handed the shard back.
	Released bool `json:"released,omitempty"`
}
