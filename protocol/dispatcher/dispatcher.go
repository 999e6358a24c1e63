// Package dispatcher assigns requests to upstreams. A request that finds no free
// upstream waits in its model's queue until an upstream is free, the owner of a
// limit grants more permits, or the wait times out.
package dispatcher

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/balancer"
	"github.com/crocushollow/crocushollow/state/detector"
	"github.com/crocushollow/crocushollow/state/limiter"
	"github.com/crocushollow/crocushollow/state/placer"
	"github.com/crocushollow/crocushollow/state/scheduler"
)

// Health reports which upstreams are failing.
type Health interface {
	InBackoff(upstream string, now time.Time) bool
	Status(upstream string) detector.Status
}

// LimitClient requests permits from the owner of a limit.
type LimitClient interface {
	RequestQuota(key limiter.ResourceKey, shortfall float64) <-chan struct{}
}

// Config configures a Dispatcher.
type Config struct {
	// State returns the current state.
	State func() *applier.State
	// Limits holds the instance's shares of the fleet-wide limits.
	Limits      *limiter.Registry
	LimitClient LimitClient
	Health      Health
	Policy      balancer.Policy
	// NewQueue returns a new queue for a model or a route.
	NewQueue func() scheduler.Queue[*QueuedRequest]
	// AvailabilityZone is the zone of this instance.
	AvailabilityZone string
	// MaxWait is the maximum time that a request of each class waits.
	MaxWait map[scheduler.Class]time.Duration
}

// Request describes a request that needs an upstream.
type Request struct {
	Workspace crocushollow.Workspace
	// Queue is the name of the queue of a base model or a route.
	Queue string
	// Weights is the name of the model or adapter. It is empty for services.
	Weights string
	// Upstreams lists the IDs of the services that can serve the request.
	Upstreams []string
	Class     scheduler.Class
	// Tokens is the expected cost in tokens.
	Tokens float64
	// PrefixHash is a hash of the prompt's prefix.
	PrefixHash uint64
	// Tried lists the upstreams that must not be chosen again.
	Tried []string
}

// QueuedRequest is a request that waits in a queue.
type QueuedRequest struct {
	request Request
	// lease receives the lease once an upstream is assigned.
	lease chan *Lease
}

// Lease is a permit to send one request to an upstream. It must be released exactly
// once.
type Lease struct {
	Upstream     crocushollow.Upstream
	requestQueue *requestQueue
	permits      *limiter.Semaphore
	tokens       float64
	// weights is empty for services. fencingToken is the token of their placement.
	weights      string
	fencingToken uint64
}

// Dispatcher assigns requests to upstreams. It is safe for concurrent use.
type Dispatcher struct {
	config Config
	wake   chan struct{}
	done   chan struct{}

	mu     sync.Mutex
	queues map[string]*requestQueue
}

// requestQueue is the queue of one model or route with its statistics.
type requestQueue struct {
	mu    sync.Mutex
	queue scheduler.Queue[*QueuedRequest]
	// inFlight is the number of running requests. throughput is measured in
	// tokens.
	inFlight        int
	throughput      rateMeter
	candidateBuffer []balancer.Candidate
	targets         targetCache
	absences        map[absenceKey]absence
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

// Done returns a channel that is closed when Run has returned.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

// Wake makes the dispatcher check the waiting requests soon.
func (d *Dispatcher) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// pollInterval is the time between two passes over the waiting requests when
// nothing wakes the dispatcher.
const pollInterval = 25 * time.Millisecond

// Run assigns upstreams to waiting requests until the context is canceled.
func (d *Dispatcher) Run(ctx context.Context) {
	defer close(d.done)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.assignAll(true)
		case <-d.wake:
			d.assignAll(false)
		}
	}
}

func (d *Dispatcher) assignAll(requestMore bool) {
	for _, q := range d.allQueues() {
		d.assign(q, requestMore)
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

func (d *Dispatcher) queueFor(queue string) *requestQueue {
	d.mu.Lock()
	defer d.mu.Unlock()
	q, found := d.queues[queue]
	if !found {
		q = &requestQueue{queue: d.config.NewQueue(), absences: make(map[absenceKey]absence)}
		d.queues[queue] = q
	}
	return q
}

// assign assigns free upstreams to waiting requests. If requestMore is set and some
// still wait, it requests permits for the next of them.
func (d *Dispatcher) assign(q *requestQueue, requestMore bool) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queue.Len() == 0 {
		return
	}
	assigned := true
	for assigned {
		assigned = q.queue.Next(now, func(_ scheduler.Item, queued *QueuedRequest) bool {
			lease := d.choose(q, &queued.request, now)
			if lease == nil {
				return false
			}
			queued.lease <- lease
			return true
		})
	}
	if q.queue.Len() == 0 {
		q.throughput.stop()
		return
	}
	if requestMore {
		q.queue.Next(now, func(_ scheduler.Item, queued *QueuedRequest) bool {
			d.requestPermits(q, &queued.request, now)
			return false
		})
	}
}

// Acquire waits for an upstream. The error is an *rejecter.Error or the context's
// cause.
func (d *Dispatcher) Acquire(ctx context.Context, request Request) (*Lease, error) {
	q := d.queueFor(request.Queue)
	queued, lease, err := d.enqueue(q, request)
	if err != nil || lease != nil {
		return lease, err
	}
	timer := time.NewTimer(d.config.MaxWait[request.Class])
	defer timer.Stop()
	select {
	case lease := <-queued.lease:
		return lease, nil
	case <-ctx.Done():
		d.cancel(q, queued)
		return nil, context.Cause(ctx)
	case <-timer.C:
		d.cancel(q, queued)
		return nil, rejecter.New(http.StatusServiceUnavailable, rejecter.Overloaded,
			"no upstream was free in time").WithRetryAfter(time.Second)
	}
}

// enqueue returns a lease at once if an upstream is free and no request waits.
// Otherwise it adds the request to the queue.
func (d *Dispatcher) enqueue(q *requestQueue, request Request) (*QueuedRequest, *Lease, error) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.hasUntried(d.targets(q, &request), &request, now) {
		return nil, nil, rejecter.New(http.StatusServiceUnavailable, rejecter.NoUpstream,
			"no upstream is available to serve the request").WithRetryAfter(time.Second)
	}
	if q.queue.Len() == 0 {
		if lease := d.choose(q, &request, now); lease != nil {
			return nil, lease, nil
		}
	}
	if wait := q.expectedWait(now); wait > d.config.MaxWait[request.Class] {
		return nil, nil, rejecter.New(http.StatusServiceUnavailable, rejecter.Overloaded,
			"the expected wait in the model's queue is too long").WithRetryAfter(wait - d.config.MaxWait[request.Class])
	}
	queued := &QueuedRequest{request: request, lease: make(chan *Lease, 1)}
	item := scheduler.Item{
		Workspace:  request.Workspace.ID,
		Weight:     max(request.Workspace.Weight, 1),
		Class:      request.Class,
		Tokens:     request.Tokens,
		EnqueuedAt: now,
	}
	if !q.queue.Push(item, queued) {
		return nil, nil, rejecter.New(http.StatusServiceUnavailable, rejecter.Overloaded,
			"the model's queue is full").WithRetryAfter(max(q.expectedWait(now), time.Second))
	}
	q.throughput.start(now)
	d.requestPermits(q, &request, now)
	return queued, nil, nil
}

// expectedWait returns the time to process the waiting tokens at the recent
// throughput, or 0 if that is unknown.
func (q *requestQueue) expectedWait(now time.Time) time.Duration {
	throughput := q.throughput.perSecond(now)
	if throughput == 0 {
		return 0
	}
	return time.Duration(q.queue.Tokens() / throughput * float64(time.Second))
}

// cancel removes a request from the queue, or releases the lease that it received
// in the meantime.
func (d *Dispatcher) cancel(q *requestQueue, queued *QueuedRequest) {
	q.mu.Lock()
	removed := q.queue.Remove(func(other *QueuedRequest) bool { return other == queued })
	q.mu.Unlock()
	if !removed {
		d.Release(<-queued.lease)
	}
}

// Release ends a lease and frees its permit.
func (d *Dispatcher) Release(lease *Lease) {
	lease.permits.Release()
	q := lease.requestQueue
	q.mu.Lock()
	q.inFlight--
	q.throughput.add(lease.tokens, time.Now())
	q.mu.Unlock()
	d.Wake()
}

// choose returns a lease on the best upstream for which the instance has a free
// permit, or nil if there is none. If it has none for the best upstream of all, it
// requests one more for later requests. The caller must hold the queue's lock.
func (d *Dispatcher) choose(q *requestQueue, request *Request, now time.Time) *Lease {
	targets := d.targets(q, request)
	candidates := d.candidates(q, targets, request, now)
	best := d.config.Policy.Choose(candidates, request.PrefixHash)
	if best < 0 {
		return nil
	}
	if lease := d.tryLease(q, &targets[best], request); lease != nil {
		return lease
	}
	if t := &targets[best]; now.Sub(t.requestedAt) >= minRequestInterval {
		t.requestedAt = now
		d.config.LimitClient.RequestQuota(t.key, 1)
	}
	for i := range candidates {
		candidates[i].Available = candidates[i].Available && targets[i].permits.Free() > 0
	}
	for {
		chosen := d.config.Policy.Choose(candidates, request.PrefixHash)
		if chosen < 0 {
			return nil
		}
		if lease := d.tryLease(q, &targets[chosen], request); lease != nil {
			return lease
		}
		candidates[chosen].Available = false
	}
}

// tryLease returns a lease on a target if the instance has a free permit for it.
func (d *Dispatcher) tryLease(q *requestQueue, t *target, request *Request) *Lease {
	if !t.permits.Acquire() {
		return nil
	}
	q.inFlight++
	return &Lease{
		Upstream: t.upstream, requestQueue: q, permits: t.permits, tokens: request.Tokens,
		weights: request.Weights, fencingToken: t.fencingToken,
	}
}

// candidates fills the queue's buffer with the targets of a request, whether or not
// the instance has permits for them.
func (d *Dispatcher) candidates(q *requestQueue, targets []target, request *Request, now time.Time) []balancer.Candidate {
	candidates := q.candidateBuffer[:0]
	for i := range targets {
		t := &targets[i]
		candidates = append(candidates, balancer.Candidate{
			ID:        t.upstream.ID,
			Hash:      t.hash,
			Load:      d.load(t),
			SameZone:  t.upstream.AvailabilityZone == d.config.AvailabilityZone,
			Available: !slices.Contains(request.Tried, t.upstream.ID) && !d.config.Health.InBackoff(t.upstream.ID, now) && !q.lacksWeights(t, request, now),
		})
	}
	q.candidateBuffer = candidates
	return candidates
}

// load returns the fraction of an upstream's limit that is in use. The upstream's
// own report lags behind, so the requests of this instance count if they are more.
func (d *Dispatcher) load(t *target) float64 {
	inFlight := max(d.config.Health.Status(t.upstream.ID).InFlight, t.permits.Used())
	return float64(inFlight) / float64(t.upstream.MaxInFlight)
}

// requestPermits requests permits for the upstreams that suit a request best. It
// requests them for several upstreams at once, so that an exhausted limit of one
// does not delay the request.
func (d *Dispatcher) requestPermits(q *requestQueue, request *Request, now time.Time) {
	targets := d.targets(q, request)
	candidates := d.candidates(q, targets, request, now)
	for range maxRequestedUpstreams {
		chosen := d.config.Policy.Choose(candidates, request.PrefixHash)
		if chosen < 0 {
			return
		}
		candidates[chosen].Available = false
		d.config.LimitClient.RequestQuota(targets[chosen].key, float64(min(q.queue.Len(), maxRequestedPermits)))
	}
}

// minRequestInterval is the minimum time between two requests for permits of an
// upstream that is preferred but not needed.
const minRequestInterval = 100 * time.Millisecond

// Limits of one call of requestPermits.
const (
	maxRequestedUpstreams = 2
	maxRequestedPermits   = 4
)

// Demand returns the number of running and waiting requests of each queue.
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
