// Package balancer implements load balancing policies, which choose the upstream
// for a request from a list of candidates.
package balancer

import (
	"math"
	"sync/atomic"
)

// Candidate is an upstream that can serve a request.
type Candidate struct {
	ID string
	// Hash is a hash of ID.
	Hash uint64
	// Load is the fraction of the upstream's limit in use, from 0 to 1.
	Load float64
	// SameZone is set if the upstream is in the availability zone of this instance.
	SameZone bool
	// Available is set if this instance may send the upstream a request now.
	Available bool
}

// Policy chooses one of the candidates.
type Policy interface {
	// Choose returns the index of the chosen candidate, or -1 if none is
	// available. prefix is the hash of the prompt's prefix.
	Choose(candidates []Candidate, prefix uint64) int
}

// CombineHashes returns a hash of two hashes. It uses the finalizer of
// SplitMix64.
func CombineHashes(a, b uint64) uint64 {
	h := a ^ (b * 0x9e3779b97f4a7c15)
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}

// Weights of the prefix affinity policy, as fractions of an upstream's limit.
const (
	// affinityLoadBonus is the extra load that the preferred upstream of a prefix
	// may have before another one is chosen.
	affinityLoadBonus = 0.35
	// sameZoneLoadBonus is the extra load that an upstream in the same
	// availability zone may have before one in another zone is chosen.
	sameZoneLoadBonus = 0.1
	// tieBreakRange is the range of the tie-break. The tie-break differs by
	// prefix, so that instances do not all choose the same idle upstream.
	tieBreakRange = 0.05
)

// PrefixAffinity prefers the upstream with the highest rank for the prompt's
// prefix, unless its load is much higher than the load of the others. It is
// rendezvous hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
// 2018): all instances compute the same ranks without communication.
type PrefixAffinity struct{}

// Choose implements Policy.
func (PrefixAffinity) Choose(candidates []Candidate, prefix uint64) int {
	best, bestCost := -1, math.Inf(1)
	preferred, preferredRank := -1, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		rank := CombineHashes(c.Hash, prefix)
		if preferred < 0 || rank > preferredRank {
			preferred, preferredRank = i, rank
		}
		if !c.Available {
			continue
		}
		if cost := c.cost(rank); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if preferred >= 0 && candidates[preferred].Available && candidates[preferred].cost(preferredRank)-affinityLoadBonus < bestCost {
		return preferred
	}
	return best
}

// The tie-break scales the low bits of a rank to tieBreakRange.
const (
	tieBreakMask  = 1<<16 - 1
	tieBreakScale = tieBreakRange / (1 << 16)
)

// cost returns the load, adjusted for the zone and the tie-break.
func (c *Candidate) cost(rank uint64) float64 {
	cost := c.Load + tieBreakScale*float64(rank&tieBreakMask)
	if c.SameZone {
		cost -= sameZoneLoadBonus
	}
	return cost
}

// LeastLoaded chooses the available candidate with the lowest load. It is a
// baseline for comparison.
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

// RoundRobin chooses the available candidates in turn. It is a baseline for
// comparison.
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
