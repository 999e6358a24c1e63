// Package orderer carries out the planning duty: it gives engines the orders
// that bring weights to where they are asked for.
//
// Each order names the number of orders that the engine has accepted, so that
// an engine carries out none that was decided on an older state, however late
// it arrives. The holder's right is asked for right before each order.
package orderer

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/stocker"
)

// Order tells an engine to load or unload weights.
type Order struct {
	// Unload tells that the weights are to be unloaded, not loaded.
	Unload bool
	Model  string
	// Adapter is empty for the model itself.
	Adapter string
	// ExpectedOrders is the number of orders that the engine must have accepted.
	ExpectedOrders int64
	// Fence is the holder's fencing number.
	Fence int64
}

// Answer is an engine's answer to an order.
type Answer int

// The answers.
const (
	// Accepted means that the order is being carried out.
	Accepted Answer = iota
	// AlreadyDone means that the engine is in the ordered state.
	AlreadyDone
	// Conflict means that another order is being carried out or that the number
	// of accepted orders differs.
	Conflict
	// Fenced means that a holder with a higher fencing number has given orders.
	Fenced
	// Rejected means that the engine does not take the order.
	Rejected
)

// String implements fmt.Stringer.
func (a Answer) String() string {
	return [...]string{"accepted", "already_done", "conflict", "fenced", "rejected"}[a]
}

// Engines carries orders to engines.
type Engines interface {
	// Order returns an error if there was no answer; the order may then still
	// be carried out.
	Order(ctx context.Context, upstream *catalog.Upstream, order Order) (Answer, error)
	// Report returns what an engine says of itself.
	Report(ctx context.Context, upstream *catalog.Upstream) (*catalog.Upstream, error)
}

// Duty tells whether orders may be given now.
type Duty interface {
	Fence() (int64, bool)
}

// Site is what the orderer sees of the site.
type Site struct {
	Catalog   *catalog.Catalog
	Upstreams map[string]*catalog.Upstream
	ZonesOut  map[string]bool
}

// Config configures an Orderer. All fields are required.
type Config struct {
	Engines Engines
	Duty    Duty
	Site    func() Site
	// Demand returns the engine time per second that each model is asked for
	// over all instances.
	Demand func() map[string]float64
	// Placed is told what an engine holds after an order or a report.
	Placed func(upstream *catalog.Upstream)
	Logger zerolog.Logger
	Now    func() time.Time
}

// Timing of orders.
const (
	// planPeriod is the time between two plans.
	planPeriod = 100 * time.Millisecond
	// orderTimeout bounds the wait for the answer to an order.
	orderTimeout = 700 * time.Millisecond
	// pollPeriod is the time between two reports while weights are loaded and
	// should be there.
	pollPeriod = 150 * time.Millisecond
	// reportPeriod is the time between two reports of an engine that gets no
	// orders. It finds out about orders that came late.
	reportPeriod = 3 * time.Second
	// reportTimeout bounds one report.
	reportTimeout = 300 * time.Millisecond
	// conflictPause is how long an engine is left alone that did not take an
	// order. Its next announcement comes within a heartbeat.
	conflictPause = 400 * time.Millisecond
	// storeBurst is the number of loads that the weight store may begin at once
	// beyond its rate. The operators' bound is 3.
	storeBurst = 3.0
	// wantCapacity bounds the wants that wait for the control goroutine.
	wantCapacity = 256
	// shortMemory and longMemory are the halving times of demand.
	shortMemory = 1500 * time.Millisecond
	longMemory  = 20 * time.Second
	// longWeight is the weight of the long memory of demand.
	longWeight = 0.25
)

// Orderer is safe for concurrent use. Done is closed when Run has returned.
type Orderer struct {
	config  Config
	wants   chan Want
	results chan result
	done    chan struct{}

	// The rest belongs to the control goroutine.
	engines map[string]*engine
	demand  demandMemory
	permits permits
	// uses numbers the wants, so that the adapter wanted longest ago gives way.
	uses    map[adapterKey]int64
	useSeq  int64
	wanted  map[Want]time.Time
	holding bool
}

// New returns an orderer. Run starts it.
func New(config Config) *Orderer {
	return &Orderer{
		config:  config,
		wants:   make(chan Want, wantCapacity),
		results: make(chan result, wantCapacity),
		done:    make(chan struct{}),
		engines: make(map[string]*engine),
		uses:    make(map[adapterKey]int64),
		wanted:  make(map[Want]time.Time),
	}
}

// Done is closed when Run has returned.
func (o *Orderer) Done() <-chan struct{} { return o.done }

// Run gives orders until the context ends.
func (o *Orderer) Run(ctx context.Context) error {
	defer close(o.done)
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case want := <-o.wants:
			o.takeWant(ctx, want)
		case r := <-o.results:
			o.takeResult(ctx, r)
		case <-ticker.C:
			o.tick(ctx)
		}
	}
}

// tick plans the next orders if the duty is held.
func (o *Orderer) tick(ctx context.Context) {
	now := o.config.Now()
	o.demand.observe(o.config.Demand(), now)
	_, isHolder := o.config.Duty.Fence()
	if !isHolder {
		if o.holding {
			o.holding = false
			clear(o.engines)
			clear(o.uses)
			clear(o.wanted)
		}
		return
	}
	site := o.config.Site()
	if site.Catalog == nil {
		return
	}
	if !o.holding {
		o.holding = true
		o.permits = permits{at: now}
	}
	o.adopt(site)
	o.poll(ctx, now)
	for name, service := range site.Catalog.Services() {
		if service.Engine != nil {
			o.plan(ctx, site, name, service.Engine, now)
			o.fill(ctx, site, name, service.Engine, now)
		}
	}
	for want, at := range o.wanted {
		if now.Sub(at) > time.Second {
			delete(o.wanted, want)
			continue
		}
		o.placeAdapter(ctx, want, now)
	}
}

// plan gives the orders of a plan for one service.
func (o *Orderer) plan(ctx context.Context, site Site, service string, spec *catalog.EngineSpec, now time.Time) {
	steps := stocker.Plan(stocker.Input{
		Engines:          o.plannable(site, service, spec, now),
		Models:           spec.Models,
		Demand:           o.demand.perModel(),
		StoreLoadPermits: o.permits.available(spec.LoadRateLimit, now),
	})
	for _, step := range steps {
		e := o.engines[step.Engine]
		if e == nil {
			continue
		}
		if step.FromStore {
			o.permits.spend()
		}
		o.send(ctx, e, Order{Unload: step.Unload, Model: step.Model}, spec)
	}
}

// send gives an order in a goroutine of its own, if the duty is still held.
func (o *Orderer) send(ctx context.Context, e *engine, order Order, spec *catalog.EngineSpec) {
	fence, isHolder := o.config.Duty.Fence()
	if !isHolder {
		return
	}
	order.Fence = fence
	order.ExpectedOrders = e.state.AcceptedOrders
	e.inFlight = true
	upstream := e.state
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		r := result{id: upstream.ID, born: upstream.StartUnixMilli, order: order, spec: spec}
		r.answer, r.err = o.config.Engines.Order(callCtx, &upstream, order)
		o.deliver(ctx, r)
	}()
}

// ErrOtherLife reports an answer of another life of an engine.
var ErrOtherLife = errors.New("another life of the engine answers")
