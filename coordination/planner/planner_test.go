package planner_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/coordination/planner"
)

func TestPlanner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "planner")
}

// Limits of the fake engines. Three models fit into one engine.
const (
	memoryMB     = 200000.0
	modelMB      = 65000.0
	adapterSlots = 2
	storeRate    = 20.0
	loadTime     = 40 * time.Millisecond
)

// fakeEngine is an engine that executes orders as the platform's engines do.
type fakeEngine struct {
	orders   int64
	fence    int64
	holdings map[string][]string
	loading  string
	ready    time.Time
}

// fakeFleet implements planner.EngineClient over fake engines. It records the
// violations of their limits, and can lose responses and delay orders.
type fakeFleet struct {
	mu      sync.Mutex
	random  *rand.Rand
	engines map[string]*fakeEngine
	faults  []string
	loads   []time.Time
	// areAdaptersBusy keeps an unloaded adapter loaded, as if its requests were
	// still running.
	areAdaptersBusy bool
	// lossy loses orders and responses, and executes some orders late.
	lossy bool
}

var errLost = errors.New("no response")

func newFakeFleet(seed uint64, ids ...string) *fakeFleet {
	f := &fakeFleet{random: rand.New(rand.NewPCG(seed, 1)), engines: make(map[string]*fakeEngine)}
	for _, id := range ids {
		f.engines[id] = &fakeEngine{holdings: make(map[string][]string)}
	}
	return f
}

func (f *fakeFleet) SendOrder(_ context.Context, upstream *catalog.Upstream, order planner.Order) (planner.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lossy {
		switch f.random.IntN(6) {
		case 0:
			return 0, errLost
		case 1:
			f.carryOut(upstream.ID, order)
			return 0, errLost
		case 2:
			late := time.Duration(f.random.IntN(400)) * time.Millisecond
			time.AfterFunc(late, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.carryOut(upstream.ID, order)
			})
			return 0, errLost
		}
	}
	return f.carryOut(upstream.ID, order), nil
}

// execute applies an order if the engine accepts it. The caller must hold mu.
func (f *fakeFleet) carryOut(id string, order planner.Order) planner.Outcome {
	e := f.engines[id]
	e.settle()
	switch {
	case order.FencingToken < e.fence:
		return planner.Fenced
	case e.loading != "" || order.ExpectedOrders != e.orders:
		return planner.Conflict
	}
	e.fence = order.FencingToken
	e.orders++
	switch {
	case order.Unload && order.Adapter == "":
		delete(e.holdings, order.Model)
	case order.Unload && f.areAdaptersBusy:
		return planner.Accepted
	case order.Unload:
		e.holdings[order.Model] = slices.DeleteFunc(e.holdings[order.Model], func(a string) bool { return a == order.Adapter })
		return planner.AlreadyDone
	case order.Adapter == "":
		e.loading, e.ready = order.Model, time.Now().Add(loadTime)
		f.loads = append(f.loads, time.Now())
	default:
		e.holdings[order.Model] = append(e.holdings[order.Model], order.Adapter)
	}
	f.check(id, e)
	return planner.Accepted
}

func (e *fakeEngine) settle() {
	if e.loading != "" && time.Now().After(e.ready) {
		e.holdings[e.loading] = nil
		e.loading = ""
	}
}

func (f *fakeFleet) check(id string, e *fakeEngine) {
	models, adapters := len(e.holdings), 0
	if e.loading != "" {
		models++
	}
	for _, names := range e.holdings {
		adapters += len(names)
	}
	if float64(models)*modelMB > memoryMB || adapters > adapterSlots {
		f.faults = append(f.faults, fmt.Sprintf("%s holds %d models and %d adapters", id, models, adapters))
	}
}

func (f *fakeFleet) Report(_ context.Context, upstream *catalog.Upstream) (*catalog.Upstream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[upstream.ID]
	e.settle()
	report := *upstream
	report.AcceptedOrders, report.IsExecutingOrder, report.LoadedModels = e.orders, e.loading != "", nil
	for model, adapters := range e.holdings {
		report.LoadedModels = append(report.LoadedModels, catalog.LoadedModel{Model: model, Adapters: slices.Clone(adapters)})
	}
	return &report, nil
}

func (f *fakeFleet) holds(model, adapter string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		e.settle()
		if adapters, found := e.holdings[model]; found && (adapter == "" || slices.Contains(adapters, adapter)) {
			return true
		}
	}
	return false
}

// leadership implements planner.Leadership. This instance is the leader while
// the token is positive.
type duty struct {
	mu    sync.Mutex
	fence int64
}

func (d *duty) FencingToken() (int64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fence, d.fence > 0
}

func (d *duty) set(fence int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fence = fence
}

// fixture is a planner with fake engines.
type fixture struct {
	*fakeFleet
	duty    *duty
	orderer *planner.Planner
	mu      sync.Mutex
	demand  map[string]float64
	// published holds the last published placement of each engine.
	placed map[string]catalog.Upstream
}

// publishedAdapters returns the number of adapters in the published placements.
func (f *fixture) told() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, upstream := range f.placed {
		for _, holding := range upstream.LoadedModels {
			count += len(holding.Adapters)
		}
	}
	return count
}

func start(fleet *fakeFleet) *fixture {
	models := make(map[string]catalog.Model)
	for i := range 6 {
		name := fmt.Sprint("m", i)
		models[name] = catalog.Model{Name: name, MemoryMB: modelMB, StoreLoadTime: loadTime, Adapters: []string{"a1", "a2", "a3"}, AdapterMemoryMB: 40}
	}
	table, err := catalog.New(catalog.Config{Services: []catalog.Service{{
		Name:   "writer",
		Engine: &catalog.EngineSpec{MemoryMB: memoryMB, AdapterSlots: adapterSlots, LoadRateLimit: storeRate, Models: models},
	}}})
	Expect(err).NotTo(HaveOccurred())
	upstreams := make(map[string]*catalog.Upstream)
	for id := range fleet.engines {
		upstreams[id] = &catalog.Upstream{ID: id, Service: "writer", StartUnixMilli: 1, Slots: 8}
	}
	f := &fixture{fakeFleet: fleet, duty: &duty{}, demand: make(map[string]float64), placed: make(map[string]catalog.Upstream)}
	f.orderer = planner.New(planner.Config{
		Engines: fleet, Leadership: f.duty, PublishPlacement: f.notePlaced, Logger: zerolog.Nop(), Now: time.Now,
		Site: func() planner.Site { return planner.Site{Catalog: table, Upstreams: upstreams} },
		Demand: func() map[string]float64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return map[string]float64{"m0": f.demand["m0"], "m5": f.demand["m5"]}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = f.orderer.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		<-f.orderer.Done()
	})
	return f
}

func (f *fixture) notePlaced(upstream *catalog.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placed[upstream.ID] = *upstream
}

func (f *fixture) setDemand(model string, engines float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demand[model] = engines
}

// runLossy runs a planner for 3 s while responses are lost, orders arrive late
// and the leader changes. It returns a copy of the fleet's records, and the time
// that has passed.
func playLossy(seed uint64) (*fakeFleet, time.Duration) {
	GinkgoHelper()
	f := start(newFakeFleet(seed, "e1", "e2", "e3"))
	f.lossy = true
	random := rand.New(rand.NewPCG(seed, 2))
	began := time.Now()
	for fence := int64(1); time.Since(began) < 3*time.Second; {
		f.duty.set(fence)
		f.setDemand("m0", random.Float64()*3)
		f.setDemand("m5", random.Float64()*3)
		for range 5 {
			f.orderer.RequestAdapter(planner.AdapterRequest{
				Service: "writer", Model: fmt.Sprint("m", random.IntN(6)), Adapter: fmt.Sprint("a", 1+random.IntN(3)),
			})
			time.Sleep(30 * time.Millisecond)
		}
		if random.IntN(8) == 0 {
			fence++
		}
	}
	f.duty.set(0)
	took := time.Since(began)
	f.fakeFleet.mu.Lock()
	defer f.fakeFleet.mu.Unlock()
	return &fakeFleet{faults: slices.Clone(f.faults), loads: slices.Clone(f.loads)}, took
}

var _ = Describe("Planner", func() {
	It("sends no orders without leadership", func() {
		f := start(newFakeFleet(1, "e1", "e2"))
		Consistently(func() int { f.fakeFleet.mu.Lock(); defer f.fakeFleet.mu.Unlock(); return len(f.loads) }, "500ms").Should(BeZero())
	})

	It("loads every model and a requested adapter", func() {
		f := start(newFakeFleet(1, "e1", "e2", "e3"))
		f.duty.set(1)
		for i := range 6 {
			Eventually(func() bool { return f.holds(fmt.Sprint("m", i), "") }, "5s").Should(BeTrue())
		}
		Eventually(func() bool {
			f.orderer.RequestAdapter(planner.AdapterRequest{Service: "writer", Model: "m2", Adapter: "a3"})
			return f.holds("m2", "a3")
		}, "5s", "50ms").Should(BeTrue())
		Expect(f.faults).To(BeEmpty())
	})

	It("does not publish an adapter that is being unloaded while its requests still run", func() {
		f := start(newFakeFleet(1, "e1", "e2"))
		f.areAdaptersBusy = true
		f.duty.set(1)
		Eventually(f.told, "8s", "20ms").Should(Equal(2 * adapterSlots))
		// All adapter slots are taken, so that an adapter must be evicted.
		Eventually(func() int {
			for _, adapter := range []string{"a1", "a2", "a3"} {
				f.orderer.RequestAdapter(planner.AdapterRequest{Service: "writer", Model: "m2", Adapter: adapter})
			}
			return f.told()
		}, "5s", "50ms").Should(BeNumerically("<", 2*adapterSlots))
	})

	It("stays within memory, adapter slots and the store's rate while responses are lost, orders arrive late and the leader changes", func() {
		for seed := range uint64(3) {
			f, took := playLossy(seed)
			Expect(f.faults).To(BeEmpty(), fmt.Sprint("seed ", seed))
			Expect(float64(len(f.loads))).To(BeNumerically("<=", storeRate*took.Seconds()+3))
		}
	})

	It("keeps loading models while responses are lost, orders arrive late and the leader changes", Label("known-red"), func() {
		for seed := range uint64(3) {
			f, _ := playLossy(seed)
			Expect(len(f.loads)).To(BeNumerically(">", 3))
		}
	})

	It("is tested against fake engines that detect violations of their limits", func() {
		fleet := newFakeFleet(1, "e1")
		for n := range int64(4) {
			fleet.carryOut("e1", planner.Order{Model: fmt.Sprint("m", n), ExpectedOrders: n, FencingToken: 1})
			time.Sleep(loadTime + time.Millisecond)
		}
		Expect(fleet.faults).NotTo(BeEmpty())
	})
})
