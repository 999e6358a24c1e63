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
	acceptedOrders int64
	fencingToken   int64
	models         map[string][]string
	loadingModel   string
	loadedAt       time.Time
}

// fakeFleet implements planner.EngineClient over fake engines. It records the
// violations of their limits, and can lose responses and delay orders.
type fakeFleet struct {
	mu         sync.Mutex
	random     *rand.Rand
	engines    map[string]*fakeEngine
	violations []string
	loadStarts []time.Time
	// areAdaptersBusy keeps an unloaded adapter loaded, as if its requests were
	// still running.
	areAdaptersBusy bool
	// lossy loses orders and responses, and executes some orders late.
	lossy bool
}

var errNoResponse = errors.New("no response")

func newFakeFleet(seed uint64, ids ...string) *fakeFleet {
	f := &fakeFleet{random: rand.New(rand.NewPCG(seed, 1)), engines: make(map[string]*fakeEngine)}
	for _, id := range ids {
		f.engines[id] = &fakeEngine{models: make(map[string][]string)}
	}
	return f
}

func (f *fakeFleet) SendOrder(_ context.Context, upstream *catalog.Upstream, order planner.Order) (planner.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lossy {
		switch f.random.IntN(6) {
		case 0:
			return 0, errNoResponse
		case 1:
			f.execute(upstream.ID, order)
			return 0, errNoResponse
		case 2:
			delay := time.Duration(f.random.IntN(400)) * time.Millisecond
			time.AfterFunc(delay, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.execute(upstream.ID, order)
			})
			return 0, errNoResponse
		}
	}
	return f.execute(upstream.ID, order), nil
}

// execute applies an order if the engine accepts it. The caller must hold mu.
func (f *fakeFleet) execute(id string, order planner.Order) planner.Outcome {
	e := f.engines[id]
	e.finishLoad()
	switch {
	case order.FencingToken < e.fencingToken:
		return planner.Fenced
	case e.loadingModel != "" || order.ExpectedOrders != e.acceptedOrders:
		return planner.Conflict
	}
	e.fencingToken = order.FencingToken
	e.acceptedOrders++
	switch {
	case order.Unload && order.Adapter == "":
		delete(e.models, order.Model)
	case order.Unload && f.areAdaptersBusy:
		return planner.Accepted
	case order.Unload:
		e.models[order.Model] = slices.DeleteFunc(e.models[order.Model], func(a string) bool { return a == order.Adapter })
		return planner.AlreadyDone
	case order.Adapter == "":
		e.loadingModel, e.loadedAt = order.Model, time.Now().Add(loadTime)
		f.loadStarts = append(f.loadStarts, time.Now())
	default:
		e.models[order.Model] = append(e.models[order.Model], order.Adapter)
	}
	f.checkLimits(id, e)
	return planner.Accepted
}

func (e *fakeEngine) finishLoad() {
	if e.loadingModel != "" && time.Now().After(e.loadedAt) {
		e.models[e.loadingModel] = nil
		e.loadingModel = ""
	}
}

func (f *fakeFleet) checkLimits(id string, e *fakeEngine) {
	models, adapters := len(e.models), 0
	if e.loadingModel != "" {
		models++
	}
	for _, names := range e.models {
		adapters += len(names)
	}
	if float64(models)*modelMB > memoryMB || adapters > adapterSlots {
		f.violations = append(f.violations, fmt.Sprintf("%s holds %d models and %d adapters", id, models, adapters))
	}
}

func (f *fakeFleet) Report(_ context.Context, upstream *catalog.Upstream) (*catalog.Upstream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[upstream.ID]
	e.finishLoad()
	report := *upstream
	report.AcceptedOrders, report.IsExecutingOrder, report.LoadedModels = e.acceptedOrders, e.loadingModel != "", nil
	for model, adapters := range e.models {
		report.LoadedModels = append(report.LoadedModels, catalog.LoadedModel{Model: model, Adapters: slices.Clone(adapters)})
	}
	return &report, nil
}

func (f *fakeFleet) serves(model, adapter string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		e.finishLoad()
		if adapters, found := e.models[model]; found && (adapter == "" || slices.Contains(adapters, adapter)) {
			return true
		}
	}
	return false
}

// enginesServing returns the engines that hold a model, and that adapter of it unless
// it is empty.
func (f *fakeFleet) enginesServing(name catalog.AdapterName) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id, e := range f.engines {
		e.finishLoad()
		if adapters, found := e.models[name.Model]; found && (name.Adapter == "" || slices.Contains(adapters, name.Adapter)) {
			ids = append(ids, id)
		}
	}
	return ids
}

// leadership implements planner.Leadership. This instance is the leader while
// the token is positive.
type leadership struct {
	mu    sync.Mutex
	token int64
}

func (l *leadership) FencingToken() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.token > 0
}

func (l *leadership) setToken(token int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token = token
}

// fixture is a planner with fake engines.
type fixture struct {
	*fakeFleet
	leadership *leadership
	planner    *planner.Planner
	mu         sync.Mutex
	demand     map[string]float64
	// limited holds the engines that ask for fewer requests.
	limited map[string]bool
	// published holds the last published placement of each engine.
	published map[string]catalog.Upstream
}

// publishedAdapters returns the number of adapters in the published placements.
func (f *fixture) publishedAdapters() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, upstream := range f.published {
		for _, model := range upstream.LoadedModels {
			count += len(model.Adapters)
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
	f := &fixture{fakeFleet: fleet, leadership: &leadership{}, demand: make(map[string]float64), published: make(map[string]catalog.Upstream)}
	f.planner = planner.New(planner.Config{
		Engines: fleet, Leadership: f.leadership, PublishPlacement: f.recordPlacement, Logger: zerolog.Nop(), Now: time.Now,
		Site: func() planner.Site {
			f.mu.Lock()
			defer f.mu.Unlock()
			return planner.Site{Catalog: table, Upstreams: upstreams, LimitedUpstreams: f.limited}
		},
		Demand: func() map[string]float64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return map[string]float64{"m0": f.demand["m0"], "m5": f.demand["m5"]}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = f.planner.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		<-f.planner.Done()
	})
	return f
}

func (f *fixture) recordPlacement(upstream *catalog.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.published[upstream.ID] = *upstream
}

func (f *fixture) setDemand(model string, engines float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demand[model] = engines
}

// runLossy runs a planner for 3 s while responses are lost, orders arrive late
// and the leader changes. It returns a copy of the fleet's records, and the time
// that has passed.
func runLossy(seed uint64) (*fakeFleet, time.Duration) {
	GinkgoHelper()
	f := start(newFakeFleet(seed, "e1", "e2", "e3"))
	f.lossy = true
	random := rand.New(rand.NewPCG(seed, 2))
	began := time.Now()
	for token := int64(1); time.Since(began) < 3*time.Second; {
		f.leadership.setToken(token)
		f.setDemand("m0", random.Float64()*3)
		f.setDemand("m5", random.Float64()*3)
		for range 5 {
			f.planner.RequestAdapter(planner.AdapterRequest{
				Service: "writer", Model: fmt.Sprint("m", random.IntN(6)), Adapter: fmt.Sprint("a", 1+random.IntN(3)),
			})
			time.Sleep(30 * time.Millisecond)
		}
		if random.IntN(8) == 0 {
			token++
		}
	}
	f.leadership.setToken(0)
	elapsed := time.Since(began)
	f.fakeFleet.mu.Lock()
	defer f.fakeFleet.mu.Unlock()
	return &fakeFleet{violations: slices.Clone(f.violations), loadStarts: slices.Clone(f.loadStarts)}, elapsed
}

var _ = Describe("Planner", func() {
	It("sends no orders without leadership", func() {
		f := start(newFakeFleet(1, "e1", "e2"))
		Consistently(func() int { f.fakeFleet.mu.Lock(); defer f.fakeFleet.mu.Unlock(); return len(f.loadStarts) }, "500ms").Should(BeZero())
	})

	It("loads every model and a requested adapter", func() {
		f := start(newFakeFleet(1, "e1", "e2", "e3"))
		f.leadership.setToken(1)
		for i := range 6 {
			Eventually(func() bool { return f.serves(fmt.Sprint("m", i), "") }, "5s").Should(BeTrue())
		}
		Eventually(func() bool {
			f.planner.RequestAdapter(planner.AdapterRequest{Service: "writer", Model: "m2", Adapter: "a3"})
			return f.serves("m2", "a3")
		}, "5s", "50ms").Should(BeTrue())
		Expect(f.violations).To(BeEmpty())
	})

	// Guards against calls that wait for an adapter which only an engine with a rate limit
	// has loaded, although other engines hold its model.
	It("loads the adapters of limited engines on other engines", func() {
		model, adapter := catalog.AdapterName{Model: "m0"}, catalog.AdapterName{Model: "m0", Adapter: "a3"}
		f := start(newFakeFleet(1, "e1", "e2", "e3", "e4"))
		f.setDemand("m0", 3)
		f.leadership.setToken(1)
		Eventually(func() int { return len(f.enginesServing(model)) }, "5s").Should(BeNumerically(">=", 2))
		request := func() []string {
			f.planner.RequestAdapter(planner.AdapterRequest{Service: "writer", Model: adapter.Model, Adapter: adapter.Adapter})
			return f.enginesServing(adapter)
		}
		Eventually(request, "5s", "50ms").ShouldNot(BeEmpty())
		limited := make(map[string]bool)
		for _, id := range f.enginesServing(adapter) {
			limited[id] = true
		}
		Expect(len(limited)).To(BeNumerically("<", len(f.enginesServing(model))))
		f.mu.Lock()
		f.limited = limited
		f.mu.Unlock()
		isElsewhere := func(id string) bool { return !limited[id] }
		Eventually(func() bool { return slices.ContainsFunc(request(), isElsewhere) }, "2s", "50ms").Should(BeTrue())
	})

	It("does not publish an adapter that is being unloaded while its requests still run", func() {
		f := start(newFakeFleet(1, "e1", "e2"))
		f.areAdaptersBusy = true
		f.leadership.setToken(1)
		Eventually(f.publishedAdapters, "8s", "20ms").Should(Equal(2 * adapterSlots))
		// All adapter slots are taken, so that an adapter must be evicted.
		Eventually(func() int {
			for _, adapter := range []string{"a1", "a2", "a3"} {
				f.planner.RequestAdapter(planner.AdapterRequest{Service: "writer", Model: "m2", Adapter: adapter})
			}
			return f.publishedAdapters()
		}, "5s", "50ms").Should(BeNumerically("<", 2*adapterSlots))
	})

	It("stays within memory, adapter slots and the store's rate while responses are lost, orders arrive late and the leader changes", func() {
		for seed := range uint64(3) {
			f, elapsed := runLossy(seed)
			Expect(f.violations).To(BeEmpty(), fmt.Sprint("seed ", seed))
			Expect(float64(len(f.loadStarts))).To(BeNumerically("<=", storeRate*elapsed.Seconds()+3))
		}
	})

	It("keeps loading models while responses are lost, orders arrive late and the leader changes", Label("known-red"), func() {
		for seed := range uint64(3) {
			f, _ := runLossy(seed)
			Expect(len(f.loadStarts)).To(BeNumerically(">", 3))
		}
	})

	It("is tested against fake engines that detect violations of their limits", func() {
		fleet := newFakeFleet(1, "e1")
		for n := range int64(4) {
			fleet.execute("e1", planner.Order{Model: fmt.Sprint("m", n), ExpectedOrders: n, FencingToken: 1})
			time.Sleep(loadTime + time.Millisecond)
		}
		Expect(fleet.violations).NotTo(BeEmpty())
	})
})
