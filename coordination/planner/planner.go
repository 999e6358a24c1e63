// Package planner orders engines to load and unload weights so that they follow
// demand. Every instance runs a planner, but only the planner leader sends
// orders.
//
// Each order carries the number of orders that the engine is expected to have
// accepted. An engine thus rejects an order that was planned on an older state,
// however late the order arrives. Leadership is checked right before each order
// is sent.
package planner

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/stocker"
)

// Order instructs an engine to load or unload weights.
type Order struct {
	// Unload selects unloading in place of loading.
	Unload bool
	Model  string
	// Adapter is empty for the model itself.
	Adapter string
	// ExpectedOrders is the number of orders that the engine must have accepted
	// before this one. Otherwise it rejects the order.
	ExpectedOrders int64
	// FencingToken is the fencing token of the sender's leadership term.
	FencingToken int64
}

// Outcome is an engine's response to an order.
type Outcome int

// Outcomes of an order.
const (
	// Accepted means that the engine executes the order.
	Accepted Outcome = iota
	// AlreadyDone means that the engine is already in the requested state.
	AlreadyDone
	// Conflict means that the engine executes another order or that its number
	// of accepted orders differs from the expected one.
	Conflict
	// Fenced means that the engine has received an order with a higher fencing
	// token.
	Fenced
	// Rejected means that the engine refuses the order for another reason.
	Rejected
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"accepted", "already_done", "conflict", "fenced", "rejected"}[o]
}

// EngineClient sends orders to engines and reads their state.
type EngineClient interface {
	// SendOrder returns an error if the engine did not respond. The engine may
	// still execute the order then.
	SendOrder(ctx context.Context, upstream *catalog.Upstream, order Order) (Outcome, error)
	// Report returns the current state of an engine.
	Report(ctx context.Context, upstream *catalog.Upstream) (*catalog.Upstream, error)
}

// Leadership reports whether this instance may send orders.
type Leadership interface {
	// FencingToken returns the token of the current term, and whether orders may
	// be sent now.
	FencingToken() (int64, bool)
}

// Site is the state of the site that the planner works on.
type Site struct {
	Catalog   *catalog.Catalog
	Upstreams map[string]*catalog.Upstream
	// ZonesOutOfService holds the availability zones that get no new work.
	ZonesOutOfService map[string]bool
	// LimitedUpstreams holds the upstreams that ask for fewer requests.
	LimitedUpstreams map[string]bool
	// LeavingUpstreams holds the upstreams that have said that they leave.
	LeavingUpstreams map[string]bool
}

// Config configures a Planner. All fields are required.
type Config struct {
	Engines    EngineClient
	Leadership Leadership
	Site       func() Site
	// Demand returns the demand for each model over all instances, in seconds of
	// engine time per second.
	Demand func() map[string]float64
	// PublishPlacement is called after an order or a report with the models and
	// adapters that an engine serves.
	PublishPlacement func(upstream *catalog.Upstream)
	Logger           zerolog.Logger
	Now              func() time.Time
}

// Timing of orders.
const (
	// planPeriod is the interval between two plans.
	planPeriod = 100 * time.Millisecond
	// orderTimeout bounds the wait for the response to an order.
	orderTimeout = 700 * time.Millisecond
	// pollPeriod is the interval between two report requests to an engine whose
	// load or unload is due or whose state is unknown.
	pollPeriod = 150 * time.Millisecond
	// idlePollPeriod is the interval between two report requests to an engine
	// that gets no orders. They detect orders that the engine received late.
	idlePollPeriod = 3 * time.Second
	// reportTimeout bounds one report request.
	reportTimeout = 300 * time.Millisecond
	// orderBackoff is the time without orders to an engine that rejected one or
	// did not respond. The engine's next registration arrives within one
	// heartbeat.
	orderBackoff = 400 * time.Millisecond
	// storeBurst is the number of loads from the weight store that may start at
	// once beyond its rate. The operators' limit is 3.
	storeBurst = 3.0
	// queueCapacity bounds the queue of adapter requests and that of results.
	queueCapacity = 256
)

// Planner plans and sends orders while this instance is the planner leader. It is
// safe for concurrent use.
type Planner struct {
	config   Config
	requests chan AdapterRequest
	results  chan result
	done     chan struct{}

	// The fields below are used only by the goroutine that executes Run.
	engines     map[string]*engine
	demand      demandForecast
	storeTokens tokenBucket
	// requestedLoads holds, for each adapter on an engine, the sequence number of
	// its last load that followed a request. The lowest one is evicted first.
	requestedLoads map[adapterKey]int64
	loadSeq        int64
	// pendingRequests holds the arrival times of requests that are not fulfilled.
	pendingRequests map[AdapterRequest]time.Time
	// wasLeader is set if this instance was the planner leader at the last tick.
	wasLeader bool
}

// New returns a planner that is not running. Run starts it.
func New(config Config) *Planner {
	return &Planner{
		config:          config,
		requests:        make(chan AdapterRequest, queueCapacity),
		results:         make(chan result, queueCapacity),
		done:            make(chan struct{}),
		engines:         make(map[string]*engine),
		requestedLoads:  make(map[adapterKey]int64),
		pendingRequests: make(map[AdapterRequest]time.Time),
	}
}

// Done returns a channel that is closed when Run has returned.
func (p *Planner) Done() <-chan struct{} { return p.done }

// Run plans and sends orders until the context ends.
func (p *Planner) Run(ctx context.Context) error {
	defer close(p.done)
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-p.requests:
			p.handleAdapterRequest(ctx, request)
		case r := <-p.results:
			p.handleResult(ctx, r)
		case <-ticker.C:
			p.tick(ctx)
		}
	}
}

// tick updates the demand averages and, on the planner leader, plans and sends
// the next orders. When leadership is lost, it discards the planning state.
func (p *Planner) tick(ctx context.Context) {
	now := p.config.Now()
	p.demand.update(p.config.Demand(), now)
	_, isLeader := p.config.Leadership.FencingToken()
	if !isLeader {
		if p.wasLeader {
			p.wasLeader = false
			clear(p.engines)
			clear(p.requestedLoads)
			clear(p.pendingRequests)
		}
		return
	}
	site := p.config.Site()
	if site.Catalog == nil {
		return
	}
	if !p.wasLeader {
		p.wasLeader = true
		p.storeTokens = tokenBucket{refilledAt: now}
	}
	p.syncUpstreams(site)
	p.pollEngines(ctx, now)
	for name, service := range site.Catalog.Services() {
		if service.Engine != nil {
			p.plan(ctx, site, name, service.Engine, now)
			p.fillAdapterSlots(ctx, site, name, service.Engine, now)
		}
	}
	for request, at := range p.pendingRequests {
		if now.Sub(at) > time.Second {
			delete(p.pendingRequests, request)
			continue
		}
		p.placeAdapter(ctx, request, now)
	}
}

// plan computes a plan for one service and sends its orders.
func (p *Planner) plan(ctx context.Context, site Site, service string, spec *catalog.EngineSpec, now time.Time) {
	steps := stocker.Plan(stocker.Input{
		Engines:          p.availableEngines(site, service, spec, now),
		Models:           spec.Models,
		Demand:           p.demand.perModel(),
		StoreLoadPermits: p.storeTokens.available(spec.LoadRateLimit, now),
	})
	for _, step := range steps {
		e := p.engines[step.Engine]
		if e == nil {
			continue
		}
		if step.FromStore {
			p.storeTokens.take()
		}
		p.send(ctx, e, Order{Unload: step.Unload, Model: step.Model}, spec)
	}
}

// send sends an order in a separate goroutine, if this instance is still the
// planner leader.
func (p *Planner) send(ctx context.Context, e *engine, order Order, spec *catalog.EngineSpec) {
	token, isLeader := p.config.Leadership.FencingToken()
	if !isLeader {
		return
	}
	order.FencingToken = token
	order.ExpectedOrders = e.state.AcceptedOrders
	e.inFlight = true
	upstream := e.state
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		r := result{id: upstream.ID, startUnixMilli: upstream.StartUnixMilli, order: order, spec: spec}
		r.outcome, r.err = p.config.Engines.SendOrder(callCtx, &upstream, order)
		p.deliver(ctx, r)
	}()
}

// ErrIncarnationMismatch reports that a response came from another incarnation of
// an engine than the registered one.
var ErrIncarnationMismatch = errors.New("response from another incarnation of the engine")
