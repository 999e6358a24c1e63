// Package dispatcher assigns requests to upstreams. A request that finds no
// free upstream waits in its model's queue until one is free, a limit's owner
// grants more of it, or the request's deadline passes.
package dispatcher

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/protocol/apierror"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/balancer"
	"github.com/crocushollow/crocushollow/state/detector"
	"github.com/crocushollow/crocushollow/state/limiter"
	"github.com/crocushollow/crocushollow/state/placer"
	"github.com/crocushollow/crocushollow/state/scheduler"
)

// Health tells which upstreams fail.
type Health interface {
	IsAvoided(upstream string, now time.Time) bool
	Status(upstream string) detector.Status
}

// LimitClient asks the owner of a limit for units.
type LimitClient interface {
	Want(key limiter.ResourceKey, shortfall float64) <-chan struct{}
}

// Config configures a Dispatcher.
type Config struct {
	// State returns the current state.
	State       func() *applier.State
	Limits      *limiter.Registry
	LimitClient LimitClient
	Health      Health
	Policy      balancer.Policy
	// NewQueue returns the queue of a model.
	NewQueue func() scheduler.Queue[*QueuedRequest]
	// AvailabilityZone is the instance's own.
	AvailabilityZone string
	// MaxWait bounds how long a request of each class waits.
	MaxWait map[scheduler.Class]time.Duration
}

// Request is what an upstream is needed for.
type Request struct {
	Workspace crocushollow.Workspace
	// Queue names the queue to wait in: that of a base model or of a route.
	Queue string
	// Weights is the name of the model or adapter, empty for a service.
	Weights string
	// Upstreams lists the services that could take the request.
	Upstreams []string
	Class     scheduler.Class
	// Tokens is the expected cost.
	Tokens float64
	// PrefixHash is a hash of the beginning of the prompt.
	PrefixHash uint64
	// Tried lists the upstreams that the request must not meet again.
	Tried []string
}

// QueuedRequest is a request that waits.
type QueuedRequest struct {
	request Request
	// lease takes the upstream once there is one.
	lease chan *Lease
}

// Lease is the right to send one request to an upstream. It must be released
// once.
type Lease struct {
	Upstream     crocushollow.Upstream
	requestQueue *requestQueue
	flight       *limiter.Semaphore
	tokens       float64
}

// Dispatcher is safe for concurrent use. Done is closed when Run has returned.
type Dispatcher struct {
	config Config
	wake   chan struct{}
	done   chan struct{}

	mu     sync.Mutex
	queues map[string]*requestQueue
}

// requestQueue is the queue of one model with what is known of its service.
type requestQueue struct {
	mu    sync.Mutex
	queue scheduler.Queue[*QueuedRequest]
	// inFlight and served describe the demand and the speed of service.
	inFlight int
	served   rateMeter
	scratch  []balancer.Candidate
	routes   routeCache
}

// New returns a dispatcher. Run starts it.
func New(config Config) *Dispatcher {
	return &Dispatcher{
		config: config,
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),
		queues: make(map[string]*requestQueue),
	}
}

// Done is closed when Run has returned.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

// Wake lets waiting requests be looked at soon.
func (d *Dispatcher) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// retryInterval is the time between two looks at waiting requests when nothing
// wakes the dispatcher.
const retryInterval = 25 * time.Millisecond

// Run serves waiting requests until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	defer close(d.done)
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.serveAll(true)
		case <-d.wake:
			d.serveAll(false)
		}
	}
}

func (d *Dispatcher) serveAll(borrow bool) {
	for _, q := range d.allQueues() {
		d.serve(q, borrow)
	}
}

func (d *Dispatcher) allQueues() []*requestQueue {
	d.mu.Lock()
	defer d.mu.Unlock()
	queues := make([]*requestQueue, 0, len(d.queues))
	for _, q := range d.queues {
		queues = append(queues, q)
	}
	return queues
}

func (d *Dispatcher) requestQueue(queue string) *requestQueue {
	d.mu.Lock()
	defer d.mu.Unlock()
	q, found := d.queues[queue]
	if !found {
		q = &requestQueue{queue: d.config.NewQueue()}
		d.queues[queue] = q
	}
	return q
}

// serve hands free upstreams to waiting requests, and asks for more of the
// upstreams if some still wait.
func (d *Dispatcher) serve(q *requestQueue, borrow bool) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queue.Len() == 0 {
		return
	}
	served := true
	for served {
		served = q.queue.Next(now, func(_ scheduler.Item, t *QueuedRequest) bool {
			lease := d.choose(q, &t.request, now)
			if lease == nil {
				return false
			}
			t.lease <- lease
			return true
		})
	}
	if q.queue.Len() == 0 {
		q.served.stop()
		return
	}
	if borrow {
		q.queue.Next(now, func(_ scheduler.Item, t *QueuedRequest) bool {
			d.borrow(q, &t.request, now)
			return false
		})
	}
}

// Acquire waits for an upstream. The error is an *apierror.Error or the
// context's cause.
func (d *Dispatcher) Acquire(ctx context.Context, request Request) (*Lease, error) {
	q := d.requestQueue(request.Queue)
	ticket, lease, err := d.enqueue(q, request)
	if err != nil || lease != nil {
		return lease, err
	}
	timer := time.NewTimer(d.config.MaxWait[request.Class])
	defer timer.Stop()
	select {
	case lease := <-ticket.lease:
		return lease, nil
	case <-ctx.Done():
		d.abandon(q, ticket)
		return nil, context.Cause(ctx)
	case <-timer.C:
		d.abandon(q, ticket)
		return nil, apierror.New(http.StatusServiceUnavailable, apierror.Overloaded,
			"no upstream was free in time").WithRetryAfter(time.Second)
	}
}

// enqueue returns a lease at once if an upstream is free and nobody waits, and
// a ticket otherwise.
func (d *Dispatcher) enqueue(q *requestQueue, request Request) (*QueuedRequest, *Lease, error) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if !hasUntried(d.routes(q, &request), request.Tried) {
		return nil, nil, apierror.New(http.StatusServiceUnavailable, apierror.NoUpstream,
			"no upstream is there to serve the request").WithRetryAfter(time.Second)
	}
	if q.queue.Len() == 0 {
		if lease := d.choose(q, &request, now); lease != nil {
			return nil, lease, nil
		}
	}
	if wait := q.expectedWait(now); wait > d.config.MaxWait[request.Class] {
		return nil, nil, apierror.New(http.StatusServiceUnavailable, apierror.Overloaded,
			"the model's queue is too long").WithRetryAfter(wait - d.config.MaxWait[request.Class])
	}
	ticket := &QueuedRequest{request: request, lease: make(chan *Lease, 1)}
	item := scheduler.Item{
		Workspace: request.Workspace.ID,
		Weight:    max(request.Workspace.Weight, 1),
		Class:     request.Class,
		Tokens:    request.Tokens,
		Arrived:   now,
	}
	if !q.queue.Push(item, ticket) {
		return nil, nil, apierror.New(http.StatusServiceUnavailable, apierror.Overloaded,
			"the model's queue is full").WithRetryAfter(max(q.expectedWait(now), time.Second))
	}
	q.served.start(now)
	d.borrow(q, &request, now)
	return ticket, nil, nil
}

// expectedWait returns how long the waiting tokens take at the recent speed, 0
// if that is not known.
func (q *requestQueue) expectedWait(now time.Time) time.Duration {
	speed := q.served.perSecond(now)
	if speed == 0 {
		return 0
	}
	return time.Duration(q.queue.Tokens() / speed * float64(time.Second))
}

// abandon takes a ticket out of the queue, or releases the lease it has got in
// the meantime.
func (d *Dispatcher) abandon(q *requestQueue, ticket *QueuedRequest) {
	q.mu.Lock()
	removed := q.queue.Remove(func(t *QueuedRequest) bool { return t == ticket })
	q.mu.Unlock()
	if !removed {
		d.Release(<-ticket.lease)
	}
}

// Release ends a lease.
func (d *Dispatcher) Release(lease *Lease) {
	lease.flight.Release()
	q := lease.requestQueue
	q.mu.Lock()
	q.inFlight--
	q.served.add(lease.tokens, time.Now())
	q.mu.Unlock()
	d.Wake()
}

// choose returns a lease of the best upstream, or nil if none is free. If the
// instance holds no free unit of the best one, it asks for more of that for the
// requests to come and takes the best of the others. The caller holds the
// queue's lock.
func (d *Dispatcher) choose(q *requestQueue, request *Request, now time.Time) *Lease {
	routes := d.routes(q, request)
	candidates := d.candidates(q, routes, request, now)
	best := d.config.Policy.Choose(candidates, request.PrefixHash)
	if best < 0 {
		return nil
	}
	if lease := d.take(q, &routes[best], request); lease != nil {
		return lease
	}
	if r := &routes[best]; now.Sub(r.wantedAt) >= preferInterval {
		r.wantedAt = now
		d.config.LimitClient.Want(r.key, 1)
	}
	for i := range candidates {
		candidates[i].Free = candidates[i].Free && routes[i].flight.Free() > 0
	}
	for {
		chosen := d.config.Policy.Choose(candidates, request.PrefixHash)
		if chosen < 0 {
			return nil
		}
		if lease := d.take(q, &routes[chosen], request); lease != nil {
			return lease
		}
		candidates[chosen].Free = false
	}
}

// take returns a lease of a route if the instance holds a free unit of it.
func (d *Dispatcher) take(q *requestQueue, r *route, request *Request) *Lease {
	if !r.flight.Acquire() {
		return nil
	}
	q.inFlight++
	return &Lease{Upstream: r.upstream, requestQueue: q, flight: r.flight, tokens: request.Tokens}
}

// candidates fills the queue's scratch space with the routes that a request
// may take, whether or not the instance holds units of them.
func (d *Dispatcher) candidates(q *requestQueue, routes []route, request *Request, now time.Time) []balancer.Candidate {
	candidates := q.scratch[:0]
	for i := range routes {
		r := &routes[i]
		candidates = append(candidates, balancer.Candidate{
			ID:    r.upstream.ID,
			Hash:  r.hash,
			Load:  d.load(r),
			Local: r.upstream.AvailabilityZone == d.config.AvailabilityZone,
			Free:  !slices.Contains(request.Tried, r.upstream.ID) && !d.config.Health.IsAvoided(r.upstream.ID, now),
		})
	}
	q.scratch = candidates
	return candidates
}

// load returns the fraction of an upstream's limit that is in use: what the
// upstream has reported, which lags, or the instance's own requests if these
// are more already.
func (d *Dispatcher) load(r *route) float64 {
	inFlight := max(d.config.Health.Status(r.upstream.ID).InFlight, r.flight.Used())
	return float64(inFlight) / float64(r.upstream.MaxInFlight)
}

// borrow asks for units of the upstreams that suit a request best. A few are
// asked at once, so that one whose limit is used up does not hold the request
// back.
func (d *Dispatcher) borrow(q *requestQueue, request *Request, now time.Time) {
	routes := d.routes(q, request)
	candidates := d.candidates(q, routes, request, now)
	for range borrowFrom {
		chosen := d.config.Policy.Choose(candidates, request.PrefixHash)
		if chosen < 0 {
			return
		}
		candidates[chosen].Free = false
		d.config.LimitClient.Want(routes[chosen].key, float64(min(q.queue.Len(), maxBorrow)))
	}
}

// preferInterval is the least time between two questions for more units of an
// upstream that requests would prefer but can do without.
const preferInterval = 100 * time.Millisecond

// Bounds of what is asked for at once.
const (
	borrowFrom = 2
	maxBorrow  = 4
)

// Demand returns the requests that run or wait, by queue.
func (d *Dispatcher) Demand() placer.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	demand := make(placer.Demand)
	for queue, q := range d.queues {
		q.mu.Lock()
		if requests := q.inFlight + q.queue.Len(); requests > 0 {
			demand[queue] = float64(requests)
		}
		q.mu.Unlock()
	}
	return demand
}
