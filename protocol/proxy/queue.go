package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/state/selector"
)

// Intervals and limits of waiting calls.
const (
	// pollInterval is the time between two passes over the waiting calls when
	// nothing wakes the queue.
	pollInterval = 20 * time.Millisecond
	// adapterRequestInterval is the minimum time between two requests to load
	// the same adapter.
	adapterRequestInterval = 100 * time.Millisecond
	// objectiveWaitFraction is the fraction of the latency objective for which a
	// call may wait for an upstream. The rest is for the first token.
	objectiveWaitFraction = 0.5
	// deadlineWaitFraction is the fraction of the time until the deadline for
	// which a call may wait for an upstream.
	deadlineWaitFraction = 0.5
)

// waiter is a call that waits for an upstream.
type waiter struct {
	request *selector.Request
	// deadline is when the call stops waiting.
	deadline time.Time
	// priority orders the waiting calls. Lower values come first.
	priority int
	// reservation receives the reservation once an upstream is chosen, or nil if no
	// upstream will accept the call soon.
	reservation chan *selector.Reservation
	// result is the result of the last selection for this call, or for the call ahead of it
	// that needs the same upstreams.
	result selector.Result
}

// queue holds the calls that wait for an upstream.
type queue struct {
	config Config
	wake   chan struct{}
	done   chan struct{}

	mu                 sync.Mutex
	waiters            []*waiter
	adapterRequestedAt map[string]time.Time
}

func newQueue(config Config) *queue {
	return &queue{
		config:             config,
		wake:               make(chan struct{}, 1),
		done:               make(chan struct{}),
		adapterRequestedAt: make(map[string]time.Time),
	}
}

func (q *queue) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) run(ctx context.Context) error {
	defer close(q.done)
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-q.wake:
		case <-timer.C:
		}
		if q.dispatch() {
			timer.Reset(pollInterval)
		}
	}
}

// dispatch assigns free upstreams to waiting calls and reports whether any call
// still waits.
func (q *queue) dispatch() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.config.Now()
	// blocked holds the results for the first waiting calls of each kind.
	blocked := make(map[waitKey]selector.Result)
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		key := keyOf(w.request)
		if result, isBlocked := blocked[key]; isBlocked {
			w.result = result
			return false
		}
		reservation, result := q.config.Selector.Choose(w.request, now)
		w.result = result
		if reservation != nil || q.isFinal(w, result, now) {
			w.reservation <- reservation
			return true
		}
		blocked[key] = result
		q.requestAdapter(w.request, result, now)
		return false
	})
	return len(q.waiters) > 0
}

// requestAdapter requests the load of an absent adapter, at most once in each
// adapterRequestInterval.
func (q *queue) requestAdapter(request *selector.Request, result selector.Result, now time.Time) {
	if result != selector.AdapterAbsent {
		return
	}
	key := request.Model + "/" + request.Adapter
	if now.Sub(q.adapterRequestedAt[key]) < adapterRequestInterval {
		return
	}
	q.adapterRequestedAt[key] = now
	q.config.RequestAdapter(request.Service, request.Model, request.Adapter)
}

// enqueue returns a reservation at once if an upstream is free and no call for the
// same service, model and adapter waits. It returns no waiter and no reservation if the
// upstreams accept no more requests. Otherwise it adds the call to the queue.
func (q *queue) enqueue(request *selector.Request, deadline time.Time, priority int) (*waiter, *selector.Reservation, selector.Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.config.Now()
	w := &waiter{request: request, deadline: deadline, priority: priority, reservation: make(chan *selector.Reservation, 1)}
	request.IsWaiting = false
	if ahead := q.waiterFor(request); ahead != nil {
		w.result = ahead.result
	} else {
		reservation, result := q.config.Selector.Choose(request, now)
		if reservation != nil || q.isFinal(w, result, now) {
			return nil, reservation, result
		}
		w.result = result
		q.requestAdapter(request, result, now)
	}
	request.IsWaiting = true
	index, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	q.waiters = slices.Insert(q.waiters, index, w)
	q.notify()
	return w, nil, w.result
}

// waitKey identifies calls that the same upstreams can serve. Such calls are served in
// the order of the queue.
type waitKey struct {
	service, model, adapter string
	softwareVersion         catalog.SoftwareVersion
}

func keyOf(request *selector.Request) waitKey {
	return waitKey{request.Service, request.Model, request.Adapter, request.SoftwareVersion}
}

// isFinal reports whether waiting cannot change the result of a selection in time: the
// upstreams are rate-limited, cannot answer within the objective or pause for too long, or none
// is left that could continue the stream.
func (q *queue) isFinal(w *waiter, result selector.Result, now time.Time) bool {
	switch result {
	case selector.RateLimited, selector.Full:
		return true
	case selector.Paused:
		return now.Add(q.config.Selector.PauseDelay(w.request, now)).After(w.deadline)
	case selector.NoUpstream:
		return w.request.SoftwareVersion.IsKnown()
	default:
		return false
	}
}

// compareWaiters orders calls by priority, then by deadline.
func compareWaiters(a, b *waiter) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	return a.deadline.Compare(b.deadline)
}

// waiterFor returns the first waiting call that needs the same upstreams as a request, or nil.
// The caller must lock mu.
func (q *queue) waiterFor(request *selector.Request) *waiter {
	for _, w := range q.waiters {
		if keyOf(w.request) == keyOf(request) {
			return w
		}
	}
	return nil
}

// hasWaiter reports whether a call waits for the upstreams that a request needs.
func (q *queue) hasWaiter(request *selector.Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiterFor(request) != nil
}

// remove removes a waiter from the queue, or returns the reservation that it
// received in the meantime.
func (q *queue) remove(w *waiter) *selector.Reservation {
	q.mu.Lock()
	defer q.mu.Unlock()
	index := slices.Index(q.waiters, w)
	if index >= 0 {
		q.waiters = slices.Delete(q.waiters, index, index+1)
		return nil
	}
	return <-w.reservation
}

// acquire waits for a free upstream.
func (r *run) acquire(ctx context.Context) (*selector.Reservation, selector.Result) {
	config := &r.proxy.config
	startedAt := config.Now()
	defer func() { r.record.QueueTime += config.Now().Sub(startedAt) }()
	w, reservation, result := r.proxy.queue.enqueue(&r.request, r.queueDeadline(), r.priority())
	if w == nil {
		return reservation, result
	}
	timer := time.NewTimer(w.deadline.Sub(startedAt))
	defer timer.Stop()
	select {
	case reservation := <-w.reservation:
		return reservation, w.result
	case <-timer.C:
	case <-ctx.Done():
	}
	if reservation := r.proxy.queue.remove(w); reservation != nil {
		if ctx.Err() == nil {
			return reservation, selector.Chosen
		}
		reservation.Release(selector.Abandoned, config.Now())
	}
	return nil, w.result
}

// priority returns the priority of the call: that of its workspace if it has one.
func (r *run) priority() int {
	if r.workspace != nil && r.workspace.Priority >= 0 {
		return r.workspace.Priority
	}
	return r.route.Priority
}

// continuationWait is how long a stream that broke off waits for an upstream that can
// continue it. Callers give up on a stream that pauses for 2 s.
const continuationWait = time.Second

// queueDeadline returns when the call stops waiting for an upstream.
func (r *run) queueDeadline() time.Time {
	if r.stream.softwareVersion.IsKnown() {
		return r.proxy.config.Now().Add(continuationWait)
	}
	timeout := r.deadline.Sub(r.call.ArrivedAt)
	wait := time.Duration(deadlineWaitFraction * float64(timeout))
	if objective := r.route.LatencyObjective; objective > 0 && r.route.Kind == catalog.Streaming {
		wait = min(wait, time.Duration(objectiveWaitFraction*float64(objective)))
	}
	return r.call.ArrivedAt.Add(wait)
}

// maxRateLimitRetryAfter bounds the delay after which a caller may retry a call that all
// upstreams are too limited for. By then the planner may have loaded the model elsewhere.
const maxRateLimitRetryAfter = 1500 * time.Millisecond

// retryAfterByResult is the delay after which a caller may retry a call that no
// upstream was found for.
var retryAfterByResult = map[selector.Result]time.Duration{
	selector.Busy:          500 * time.Millisecond,
	selector.AdapterAbsent: 200 * time.Millisecond,
	selector.ModelAbsent:   1500 * time.Millisecond,
	selector.NoUpstream:    700 * time.Millisecond,
}

// noUpstreamError returns the error of a call that no upstream was found for.
func (r *run) noUpstreamError(result selector.Result) *rejecter.Error {
	r.record.Cause, r.record.Unplaced = errors.New(result.String()), result
	if result == selector.Busy && r.request.Model != "" {
		shortage := r.proxy.config.Selector.Shortage(&r.request, r.proxy.config.Now())
		r.record.Shortage = &shortage
	}
	if r.mayHaveRun {
		return errUpstreamFailed
	}
	if result == selector.RateLimited {
		return errRateLimited.WithRetryAfter(min(r.proxy.config.Selector.RateLimitDelay(&r.request), maxRateLimitRetryAfter))
	}
	if result == selector.Paused {
		return errPaused.WithRetryAfter(r.proxy.config.Selector.PauseDelay(&r.request, r.proxy.config.Now()))
	}
	if result == selector.Full {
		return errFull.WithRetryAfter(r.fullRetryAfter())
	}
	return rejecter.New(http.StatusServiceUnavailable, rejecter.Overloaded,
		"no upstream was free in time: "+result.String()).WithRetryAfter(retryAfterByResult[result])
}

// minFullRetryAfter is the least delay after which a caller may retry a call that no upstream
// could answer in time.
const minFullRetryAfter = 50 * time.Millisecond

// fullRetryAfter returns when a call that no upstream could answer in time may come back:
// when a slot is free again, and up to twice as late, so that callers do not return together.
func (r *run) fullRetryAfter() time.Duration {
	config := &r.proxy.config
	delay := max(config.Selector.PlainDelay(&r.request, config.Now()), minFullRetryAfter)
	return time.Duration((1 + hashFraction(r.call.ID)) * float64(delay))
}

// hashFraction maps a request ID to a number in [0, 1).
func hashFraction(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / float64(1<<53)
}
