package balancer_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/state/balancer"
)

func TestBalancer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "balancer")
}

func candidates(count int) []balancer.Candidate {
	list := make([]balancer.Candidate, count)
	for i := range list {
		list[i] = balancer.Candidate{ID: fmt.Sprint(i), Hash: balancer.CombineHashes(uint64(i), 7), Available: true}
	}
	return list
}

var _ = Describe("PrefixAffinity", func() {
	It("sends the same prefix to the same upstream from every instance", func() {
		for prefix := range uint64(50) {
			first := balancer.PrefixAffinity{}.Choose(candidates(6), prefix)
			Expect(balancer.PrefixAffinity{}.Choose(candidates(6), prefix)).To(Equal(first))
		}
	})

	It("spreads prefixes over the upstreams", func() {
		chosen := make(map[int]int)
		for prefix := range uint64(600) {
			chosen[balancer.PrefixAffinity{}.Choose(candidates(6), prefix)]++
		}
		for i := range 6 {
			Expect(chosen[i]).To(BeNumerically("~", 100, 40))
		}
	})

	It("avoids a preferred upstream that is much more loaded than the others", func() {
		list := candidates(6)
		preferred := balancer.PrefixAffinity{}.Choose(list, 3)
		list[preferred].Load = 0.3
		Expect(balancer.PrefixAffinity{}.Choose(list, 3)).To(Equal(preferred))
		list[preferred].Load = 0.9
		Expect(balancer.PrefixAffinity{}.Choose(list, 3)).NotTo(Equal(preferred))
	})

	It("chooses no candidate when none is available", func() {
		list := candidates(2)
		list[0].Available, list[1].Available = false, false
		Expect(balancer.PrefixAffinity{}.Choose(list, 3)).To(Equal(-1))
		Expect(balancer.LeastLoaded{}.Choose(list, 3)).To(Equal(-1))
		Expect((&balancer.RoundRobin{}).Choose(list, 3)).To(Equal(-1))
	})
})

// BenchmarkAffinity measures a choice among the 25 replicas of a model.
func BenchmarkAffinity(b *testing.B) { benchmarkAffinity(b, 25) }

// BenchmarkAffinityAll measures a choice among 500 upstreams that have all loaded
// the model.
func BenchmarkAffinityAll(b *testing.B) { benchmarkAffinity(b, 500) }

func benchmarkAffinity(b *testing.B, count int) {
	list := candidates(count)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if (balancer.PrefixAffinity{}).Choose(list, uint64(i)) < 0 {
			b.Fatal("none")
		}
	}
}
