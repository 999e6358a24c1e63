package stocker_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/stocker"
)

func TestStocker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stocker")
}

// fleet simulates engines that execute steps immediately.
type fleet struct {
	engines []*stocker.Engine
	models  map[string]catalog.Model
	demand  map[string]float64
}

func newFleet(engines, models int) *fleet {
	f := &fleet{models: make(map[string]catalog.Model), demand: make(map[string]float64)}
	for i := range models {
		name := fmt.Sprintf("m%02d", i)
		f.models[name] = catalog.Model{Name: name, MemoryMB: 65000}
	}
	for i := range engines {
		f.engines = append(f.engines, &stocker.Engine{
			ID: fmt.Sprintf("e%02d", i), MemoryMB: 200000, AdapterSlots: 8, CachedModels: map[string]bool{},
		})
	}
	return f
}

func (f *fleet) load(engine int, model string) {
	e := f.engines[engine]
	e.LoadedModels = append(e.LoadedModels, catalog.LoadedModel{Model: model})
	e.UsedMB += f.models[model].MemoryMB
}

func (f *fleet) replicas(model string) int {
	count := 0
	for _, e := range f.engines {
		for i := range e.LoadedModels {
			if e.LoadedModels[i].Model == model {
				count++
			}
		}
	}
	return count
}

// run plans and executes steps until there are none or all rounds are done. It
// returns the number of steps.
func (f *fleet) run(rounds int) int {
	total := 0
	for range rounds {
		steps := stocker.Plan(stocker.Input{Engines: f.engines, Models: f.models, Demand: f.demand, StoreLoadPermits: 3})
		if len(steps) == 0 {
			break
		}
		total += len(steps)
		for _, step := range steps {
			f.execute(step)
		}
		for _, e := range f.engines {
			e.IsOccupied = false
		}
	}
	return total
}

func (f *fleet) execute(step stocker.Step) {
	for i, e := range f.engines {
		if e.ID != step.Engine {
			continue
		}
		if !step.Unload {
			f.load(i, step.Model)
			continue
		}
		for j := range e.LoadedModels {
			if e.LoadedModels[j].Model == step.Model {
				e.LoadedModels = append(e.LoadedModels[:j:j], e.LoadedModels[j+1:]...)
				e.UsedMB -= f.models[step.Model].MemoryMB
				break
			}
		}
	}
}

var _ = Describe("Plan", func() {
	// Guards against a model in demand whose only replicas are on engines that ask for
	// fewer requests, and against moving the models without demand too.
	It("loads the models in demand on engines without a rate limit", func() {
		f := newFleet(3, 5)
		f.load(0, "m00")
		f.load(0, "m01")
		for engine := 1; engine < 3; engine++ {
			for _, model := range []string{"m02", "m03", "m04"} {
				f.load(engine, model)
			}
		}
		f.engines[0].IsLimited = true
		f.demand["m00"] = 0.2
		f.run(20)
		Expect(f.replicas("m00")).To(BeNumerically(">", 1))
		Expect(f.replicas("m01")).To(Equal(1))
		Expect(f.engines[0].LoadedModels).To(HaveLen(2))
	})

	It("gives every model a replica", func() {
		f := newFleet(12, 15)
		f.run(100)
		for name := range f.models {
			Expect(f.replicas(name)).To(BeNumerically(">=", 1), name)
		}
	})

	It("gives a model with new demand replicas in place of idle ones", func() {
		f := newFleet(12, 15)
		f.run(100)
		before := f.replicas("m07")
		f.demand["m07"] = 3
		f.run(100)
		Expect(f.replicas("m07")).To(BeNumerically(">=", max(before+2, 4)))
		for name := range f.models {
			Expect(f.replicas(name)).To(BeNumerically(">=", 1), name)
		}
	})

	It("reloads a model in demand before idle ones when its only replicas are lost", func() {
		f := newFleet(12, 15)
		f.demand["m14"] = 1
		steps := stocker.Plan(stocker.Input{Engines: f.engines, Models: f.models, Demand: f.demand, StoreLoadPermits: 1})
		Expect(steps).To(HaveLen(1))
		Expect(steps[0].Model).To(Equal("m14"))
	})

	It("converges to a plan without steps", func() {
		f := newFleet(18, 31)
		f.demand["m03"], f.demand["m04"] = 2.5, 1.2
		f.run(300)
		Expect(f.run(1)).To(Equal(0))
	})

	It("unloads nothing for demand that the existing replicas can serve", func() {
		f := newFleet(12, 15)
		f.run(100)
		f.demand["m07"] = 0.2
		steps := stocker.Plan(stocker.Input{Engines: f.engines, Models: f.models, Demand: f.demand, StoreLoadPermits: 3})
		for _, step := range steps {
			Expect(step.Unload).To(BeFalse())
		}
	})

	It("does not exceed the load permits of the weight store", func() {
		f := newFleet(12, 15)
		steps := stocker.Plan(stocker.Input{Engines: f.engines, Models: f.models, StoreLoadPermits: 2})
		Expect(steps).To(HaveLen(2))
		f.engines[0].CachedModels["m09"] = true
		steps = stocker.Plan(stocker.Input{Engines: newFleet(1, 0).engines, Models: f.models, StoreLoadPermits: 0})
		Expect(steps).To(BeEmpty())
	})

	It("loads a model on an engine that has its weights cached", func() {
		f := newFleet(4, 1)
		f.engines[2].CachedModels["m00"] = true
		steps := stocker.Plan(stocker.Input{Engines: f.engines, Models: f.models, StoreLoadPermits: 1})
		Expect(steps[0]).To(Equal(stocker.Step{Engine: "e02", Model: "m00"}))
	})

	It("keeps the only replica of a model while another one is planned", func() {
		f := newFleet(4, 9)
		// Three engines are full and the fourth one accepts no order. The most urgent step replaces m02 by a second replica of
		// m00, whose first one must stay although m05 has demand and no replica.
		for engine, models := range [][]string{{"m00", "m01", "m03"}, {"m02", "m04", "m06"}, {"m02", "m07", "m08"}} {
			for _, model := range models {
				f.load(engine, model)
			}
		}
		f.engines[3].IsOccupied = true
		f.demand["m00"], f.demand["m05"] = 3, 0.05
		f.run(1)
		Expect(f.replicas("m00")).To(BeNumerically(">=", 1))
	})

	It("leaves one engine of a model free to load its adapters", func() {
		f := newFleet(1, 2)
		model := f.models["m00"]
		model.Adapters = []string{"a1"}
		f.models["m00"] = model
		f.load(0, "m00")
		f.demand["m00"] = 0.5
		Expect(f.run(1)).To(Equal(0))
	})
})

// TestPlanKeepsLimits plans for random fleets and demand. No engine may get more
// than its memory holds, and no step may unload the last replica of a model.
func TestPlanKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 20).Draw(t, "engines"), rapid.IntRange(1, 30).Draw(t, "models"))
		for name, model := range f.models {
			model.MemoryMB = rapid.SampledFrom([]float64{34300, 65100, 65500, 72700}).Draw(t, name)
			f.models[name] = model
		}
		for round := range rapid.IntRange(1, 30).Draw(t, "rounds") {
			for name := range f.models {
				f.demand[name] = rapid.SampledFrom([]float64{0, 0, 0, 0.3, 3}).Draw(t, fmt.Sprint(name, round))
			}
			before := make(map[string]int)
			for name := range f.models {
				before[name] = f.replicas(name)
			}
			f.run(1)
			for name := range f.models {
				if before[name] > 0 && f.replicas(name) == 0 {
					t.Fatalf("the last replica of %s was unloaded", name)
				}
			}
			for _, e := range f.engines {
				if e.UsedMB > e.MemoryMB {
					t.Fatalf("%s holds %.0f MB in %.0f MB of memory", e.ID, e.UsedMB, e.MemoryMB)
				}
			}
		}
	})
}

var _ = Describe("Adapters", func() {
	never := func(string, string, string) int64 { return 0 }

	It("are distributed over the engines that hold the model", func() {
		f := newFleet(4, 1)
		for i := range f.engines {
			f.load(i, "m00")
		}
		chosen := make(map[string]bool)
		for i := range 40 {
			step, ok := stocker.PlaceAdapter(f.engines, f.models["m00"], fmt.Sprint("a", i), never)
			Expect(ok).To(BeTrue())
			chosen[step.Engine] = true
		}
		Expect(chosen).To(HaveLen(4))
	})

	It("evict the least recently used one when all slots are occupied", func() {
		f := newFleet(1, 1)
		f.engines[0].AdapterSlots = 2
		f.load(0, "m00")
		f.engines[0].LoadedModels[0].Adapters = []string{"a1", "a2"}
		used := func(_, _, adapter string) int64 { return map[string]int64{"a1": 5, "a2": 3}[adapter] }
		step, ok := stocker.PlaceAdapter(f.engines, f.models["m00"], "a3", used)
		Expect(ok).To(BeTrue())
		Expect(step.EvictAdapter).To(Equal("a2"))
	})

	It("wait while no engine accepts an order", func() {
		f := newFleet(1, 1)
		f.load(0, "m00")
		f.engines[0].IsOccupied = true
		_, ok := stocker.PlaceAdapter(f.engines, f.models["m00"], "a1", never)
		Expect(ok).To(BeFalse())
	})

	It("are preloaded into free slots, each on one engine", func() {
		f := newFleet(2, 1)
		model := f.models["m00"]
		model.Adapters = []string{"a1", "a2", "a3"}
		f.models["m00"] = model
		f.load(0, "m00")
		f.load(1, "m00")
		steps := stocker.PreloadAdapters(f.engines, f.models)
		Expect(steps).To(HaveLen(2))
		Expect(steps[0].Adapter).NotTo(Equal(steps[1].Adapter))
		f.engines[0].LoadedModels[0].Adapters = model.Adapters
		Expect(stocker.PreloadAdapters(f.engines, f.models)).To(BeEmpty())
	})
})
