// Package balancer chooses the upstream for a request.
package balancer

import (
	"math"
	"sync/atomic"
)

// Candidate is an upstream that could take a request.
type Candidate struct {
	ID string
	// Hash is a hash of ID.
	Hash uint64
	// Load is the fraction of the upstream's limit in use, from 0 to 1.
	Load float64
	// SameZone tells that the upstream is in the instance's availability zone.
	SameZone bool
	// Available tells that the instance may send a request now.
	Available bool
}

// Policy chooses one of the candidates.
type Policy interface {
	// Choose returns the index of the chosen candidate, or -1 if none is
	// free. The prefix is the hash of the prompt's prefix.
	Choose(candidates []Candidate, prefix uint64) int
}

// CombineHashes returns a hash of two hashes, by the finalizer of SplitMix64.
func CombineHashes(a, b uint64) uint64 {
	h := a ^ (b * 0x9e3779b97f4a7c15)
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}

// Weights of the affinity policy in fractions of an upstream's limit.
const (
	// affinityGain is how much more load the preferred upstream of a prefix
	// may have before another one is chosen.
	affinityGain = 0.35
	// localGain is the same for an upstream in the own availability zone.
	localGain = 0.1
	// spread is the range of the tie-break, which differs by prefix and keeps
	// instances from choosing the same idle upstream.
	spread = 0.05
)

// PrefixAffinity prefers the upstream that ranks first for the prompt's prefix, as
// long as its load is not much above the others'. It is rendezvous hashing with
// bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018): every instance
// ranks the upstreams alike without any message.
type PrefixAffinity struct{}

// Choose implements Policy.
func (PrefixAffinity) Choose(candidates []Candidate, prefix uint64) int {
	best, bestCost := -1, math.Inf(1)
	first, firstRank := -1, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		rank := CombineHashes(c.Hash, prefix)
		if first < 0 || rank > firstRank {
			first, firstRank = i, rank
		}
		if !c.Available {
			continue
		}
		if cost := c.cost(rank); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if first >= 0 && candidates[first].Available && candidates[first].cost(firstRank)-affinityGain < bestCost {
		return first
	}
	return best
}

// spreadScale turns the low bits of a rank into a fraction of spread.
const (
	spreadMask  = 1<<16 - 1
	spreadScale = spread / (1 << 16)
)

// cost is the load corrected by the zone and the tie-break.
func (c *Candidate) cost(rank uint64) float64 {
	cost := c.Load + spreadScale*float64(rank&spreadMask)
	if c.SameZone {
		cost -= localGain
	}
	return cost
}

// LeastLoaded chooses the free candidate with the least load. It is a baseline.
type LeastLoaded struct{}

// Choose implements Policy.
func (LeastLoaded) Choose(candidates []Candidate, _ uint64) int {
	best := -1
	for i := range candidates {
		if candidates[i].Available && (best < 0 || candidates[i].Load < candidates[best].Load) {
			best = i
		}
	}
	return best
}

// RoundRobin takes the candidates in turn. It is a baseline.
type RoundRobin struct {
	next atomic.Uint64
}

// Choose implements Policy.
func (r *RoundRobin) Choose(candidates []Candidate, _ uint64) int {
	start := r.next.Add(1)
	for i := range candidates {
		index := int((start + uint64(i)) % uint64(len(candidates)))
		if candidates[index].Available {
			return index
		}
	}
	return -1
}
