package placer_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/standin/propertytester"
	"github.com/crocushollow/crocushollow/state/placer"
)

func TestPlacer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placer")
}

func model(i int, memory int64) crocushollow.Model {
	return crocushollow.Model{ID: fmt.Sprintf("m%d", i), Version: "1", MemoryBytes: memory, MinReplicas: 1, DefaultMaxTokens: 1}
}

func host(i int, memory int64, zones int) placer.Host {
	return placer.Host{InService: true, Upstream: crocushollow.Upstream{
		ID: fmt.Sprintf("u%d", i), AvailabilityZone: fmt.Sprintf("z%d", i%zones), MemoryBytes: memory, MaxInFlight: 10,
	}}
}

// applyPlan returns the input of the next plan as if all of this plan had been
// carried out.
func applyPlan(in placer.Input, plan map[string][]crocushollow.Weights) placer.Input {
	for i := range in.Hosts {
		h := &in.Hosts[i]
		h.Target = plan[h.Upstream.ID]
		h.Resident = make(map[string]bool)
		for _, weights := range h.Target {
			h.Resident[weights.Label()] = true
		}
	}
	return in
}

func hostsOf(plan map[string][]crocushollow.Weights, name string) []string {
	var hosts []string
	for id, list := range plan {
		for _, weights := range list {
			if weights.Name == name {
				hosts = append(hosts, id)
			}
		}
	}
	return hosts
}

var _ = Describe("AdaptivePlanner", func() {
	It("places every model at least once and within memory for any model sizes", func() {
		propertytester.Check(GinkgoT(), func(t *rapid.T) {
			in := placer.Input{Demand: placer.Demand{}}
			hosts := rapid.IntRange(2, 6).Draw(t, "hosts")
			for i := range hosts {
				in.Hosts = append(in.Hosts, host(i, 100, 3))
			}
			for i := range rapid.IntRange(1, 3*hosts).Draw(t, "models") {
				in.Models = append(in.Models, model(i, int64(rapid.IntRange(5, 30).Draw(t, "memory"))))
			}
			for range 3 {
				for i := range in.Models {
					in.Demand[in.Models[i].ID] = float64(rapid.IntRange(0, 200).Draw(t, "demand"))
				}
				plan := placer.AdaptivePlanner{}.Plan(in)
				for id, list := range plan {
					var used int64
					for _, weights := range list {
						used += weights.MemoryBytes
					}
					if used > 100 {
						t.Fatalf("%s needs %d bytes of 100 bytes of memory", id, used)
					}
				}
				for _, m := range in.Models {
					if len(hostsOf(plan, m.ID)) == 0 {
						t.Fatalf("%s has no replica", m.ID)
					}
				}
				in = applyPlan(in, plan)
			}
		})
	})

	It("changes nothing while demand stays the same", func() {
		in := placer.Input{Demand: placer.Demand{"m0": 30}}
		for i := range 4 {
			in.Hosts = append(in.Hosts, host(i, 100, 2))
		}
		for i := range 6 {
			in.Models = append(in.Models, model(i, 20))
		}
		for range 5 {
			in = applyPlan(in, placer.AdaptivePlanner{}.Plan(in))
		}
		settled := placer.AdaptivePlanner{}.Plan(in)
		Expect(placer.AdaptivePlanner{}.Plan(applyPlan(in, settled))).To(Equal(settled))
	})

	It("adds replicas of a model whose demand grows tenfold and keeps the others reachable", func() {
		in := placer.Input{Demand: placer.Demand{"m0": 3}}
		for i := range 6 {
			in.Hosts = append(in.Hosts, host(i, 60, 3))
		}
		for i := range 9 {
			in.Models = append(in.Models, model(i, 20))
		}
		in = applyPlan(in, placer.AdaptivePlanner{}.Plan(in))
		before := len(hostsOf(placer.AdaptivePlanner{}.Plan(in), "m0"))
		in.Demand["m0"] = 30
		var plan map[string][]crocushollow.Weights
		for range 5 {
			plan = placer.AdaptivePlanner{}.Plan(in)
			in = applyPlan(in, plan)
		}
		Expect(len(hostsOf(plan, "m0"))).To(BeNumerically(">", before))
		for _, m := range in.Models {
			Expect(hostsOf(plan, m.ID)).NotTo(BeEmpty())
		}
	})

	It("evicts no replica while the other replicas are still being loaded", func() {
		in := placer.Input{Demand: placer.Demand{"m0": 100}}
		in.Hosts = []placer.Host{host(0, 40, 2), host(1, 40, 2)}
		in.Models = []crocushollow.Model{model(0, 20), model(1, 20)}
		in.Models[0].MinReplicas, in.Models[1].MinReplicas = 1, 1
		in = applyPlan(in, placer.AdaptivePlanner{}.Plan(in))
		in.Models = append(in.Models, model(2, 20))
		for i := range in.Hosts {
			// Only the first host serves m1 so far.
			in.Hosts[i].Resident["m1@1"] = i == 0
		}
		plan := placer.AdaptivePlanner{}.Plan(in)
		Expect(hostsOf(plan, "m1")).To(ContainElement("u0"))
		Expect(hostsOf(plan, "m2")).To(HaveLen(1))
	})

	It("keeps the old version until the new version serves", func() {
		in := placer.Input{Demand: placer.Demand{}, Models: []crocushollow.Model{model(0, 20)}}
		in.Hosts = []placer.Host{host(0, 100, 2), host(1, 100, 2)}
		in = applyPlan(in, placer.AdaptivePlanner{}.Plan(in))
		in.Models[0].Version = "2"
		plan := placer.AdaptivePlanner{}.Plan(in)
		Expect(hostsOf(plan, "m0")).To(HaveLen(4), "both versions on both hosts")
		Expect(hostsOf(placer.AdaptivePlanner{}.Plan(applyPlan(in, plan)), "m0")).To(HaveLen(2))
	})

	It("places the models of a zone out of service in other zones", func() {
		in := placer.Input{Demand: placer.Demand{}}
		for i := range 4 {
			in.Hosts = append(in.Hosts, host(i, 100, 2))
		}
		in.Models = []crocushollow.Model{model(0, 60), model(1, 60)}
		in = applyPlan(in, placer.AdaptivePlanner{}.Plan(in))
		for i := range in.Hosts {
			in.Hosts[i].InService = in.Hosts[i].Upstream.AvailabilityZone != "z0"
		}
		plan := placer.AdaptivePlanner{}.Plan(in)
		for _, m := range in.Models {
			Expect(hostsOf(plan, m.ID)).To(ContainElement(BeElementOf("u1", "u3")))
		}
	})
})

// BenchmarkPlan plans 300 models on 500 upstreams.
func BenchmarkPlan(b *testing.B) {
	in := placer.Input{Demand: placer.Demand{}}
	for i := range 500 {
		in.Hosts = append(in.Hosts, host(i, 80, 15))
	}
	for i := range 300 {
		in.Models = append(in.Models, model(i, 20))
		in.Demand[fmt.Sprintf("m%d", i)] = float64(i % 40)
	}
	in = applyPlan(in, placer.AdaptivePlanner{}.Plan(in))
	b.ResetTimer()
	for range b.N {
		placer.AdaptivePlanner{}.Plan(in)
	}
}
