package resolver_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/state/resolver"
)

func TestResolver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "resolver")
}

// fleet returns instances in zones z0, z1, ..., of which every third has twice the
// capacity of the others.
func fleet(zones, perZone int) []resolver.Instance {
	var instances []resolver.Instance
	for zone := range zones {
		for i := range perZone {
			capacity := 0.4
			if i%3 == 0 {
				capacity = 0.8
			}
			instances = append(instances, resolver.Instance{
				Address: fmt.Sprintf("10.%d.0.%d:1", zone, i), AvailabilityZone: fmt.Sprint("z", zone), Capacity: capacity,
			})
		}
	}
	return instances
}

func remove(instances []resolver.Instance, address string) []resolver.Instance {
	return slices.DeleteFunc(slices.Clone(instances), func(i resolver.Instance) bool { return i.Address == address })
}

var _ = Describe("Resolve", func() {
	It("returns all instances of a small fleet, sorted", func() {
		addresses := resolver.Resolve(fleet(3, 8), "z1")
		Expect(addresses).To(HaveLen(24))
		Expect(slices.IsSorted(addresses)).To(BeTrue())
	})

	It("returns the strongest instances of the caller's zone in a large fleet", func() {
		addresses := resolver.Resolve(fleet(5, 39), "z3")
		Expect(len(addresses)).To(And(BeNumerically(">=", 12), BeNumerically("<=", resolver.MaxAddresses)))
		Expect(addresses).To(HaveEach(HavePrefix("10.3.")))
		Expect(addresses).To(ContainElements("10.3.0.0:1", "10.3.0.3:1", "10.3.0.36:1"))
	})

	It("spreads the callers of all zones over all zones", func() {
		instances := fleet(15, 42)
		seen := make(map[string]int)
		for zone := range 15 {
			for _, address := range resolver.Resolve(instances, fmt.Sprint("z", zone)) {
				seen[address]++
			}
		}
		Expect(len(seen)).To(BeNumerically(">=", 15*12))
		Expect(seen).To(HaveEach(1))
	})

	It("changes one address when an instance leaves", func() {
		instances := fleet(5, 39)
		before := resolver.Resolve(instances, "z2")
		after := resolver.Resolve(remove(instances, before[0]), "z2")
		Expect(after).NotTo(ContainElement(before[0]))
		kept := slices.DeleteFunc(slices.Clone(after), func(address string) bool { return !slices.Contains(before, address) })
		Expect(len(before) - len(kept)).To(BeNumerically("<=", 2))
	})

	It("fills up with instances of other zones, different ones for each zone", func() {
		instances := slices.DeleteFunc(fleet(5, 39), func(i resolver.Instance) bool {
			return i.AvailabilityZone == "z0" && i.Address != "10.0.0.7:1" || i.AvailabilityZone == "z1"
		})
		first, second := resolver.Resolve(instances, "z0"), resolver.Resolve(instances, "z1")
		Expect(first).To(HaveLen(12))
		Expect(first).To(ContainElement("10.0.0.7:1"))
		Expect(second).To(HaveLen(12))
		Expect(first).NotTo(Equal(second))
	})

	It("returns at most as many addresses as callers accept", func() {
		instances := fleet(1, 400)
		Expect(resolver.Resolve(instances, "z0")).To(HaveLen(resolver.MaxAddresses))
		Expect(resolver.Resolve(instances, "unknown")).To(HaveLen(12))
	})
})
