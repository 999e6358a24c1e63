// Package resolver chooses the instances that callers connect to.
//
// In a small fleet these are all ready instances. In a large fleet a caller gets the
// strongest ones of its availability zone: traffic on fewer instances reuses
// connections to upstreams, and each of them knows more of the load first hand.
package resolver

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxAddresses is the number of addresses that callers accept.
	MaxAddresses = 64
	// minInstances is the number of instances that callers get if there are as many,
	// so that they have others when some are lost.
	minInstances = 12
	// capacityFraction is the fraction of the capacity of a caller's zone that the
	// chosen instances have together.
	capacityFraction = 0.5
)

// Instance is a ready instance.
type Instance struct {
	// Address accepts connections of callers.
	Address          string
	AvailabilityZone string
	// Capacity is the CPU capacity in cores, or 0 if it is unknown.
	Capacity float64
}

// Resolve returns the addresses for a caller in an availability zone, sorted. The
// choice depends on the ready instances only, so all instances answer alike.
func Resolve(ready []Instance, zone string) []string {
	chosen := slices.Clone(ready)
	if len(chosen) > MaxAddresses {
		chosen = choose(chosen, zone)
	}
	addresses := make([]string, 0, len(chosen))
	for _, instance := range chosen {
		addresses = append(addresses, instance.Address)
	}
	slices.Sort(addresses)
	return addresses
}

// choose returns the strongest instances of the zone. Instances of other zones fill
// up the answer if the zone has too few.
func choose(ready []Instance, zone string) []Instance {
	slices.SortFunc(ready, func(a, b Instance) int { return compare(a, b, zone) })
	local := slices.IndexFunc(ready, func(i Instance) bool { return i.AvailabilityZone != zone })
	if local < 0 {
		local = len(ready)
	}
	capacity, count := totalCapacity(ready[:local]), 0
	for used := 0.0; count < local && used < capacityFraction*capacity; count++ {
		used += ready[count].Capacity
	}
	return ready[:min(max(count, minInstances), MaxAddresses)]
}

// compare orders the instances of the caller's zone before others, and stronger
// ones before weaker ones. The hash gives callers of different zones different
// instances of other zones.
func compare(a, b Instance, zone string) int {
	if isLocal := a.AvailabilityZone == zone; isLocal != (b.AvailabilityZone == zone) {
		if isLocal {
			return -1
		}
		return 1
	}
	if a.Capacity != b.Capacity {
		return cmp.Compare(b.Capacity, a.Capacity)
	}
	if byHash := cmp.Compare(xxhash.Sum64String(zone+a.Address), xxhash.Sum64String(zone+b.Address)); byHash != 0 {
		return byHash
	}
	return strings.Compare(a.Address, b.Address)
}

func totalCapacity(instances []Instance) float64 {
	total := 0.0
	for _, instance := range instances {
		total += instance.Capacity
	}
	return total
}
