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
	"github.com/crocushollow/crocushollow/protocol/apierror"
	"github.com/crocushollow/crocushollow/state/selector"
)

// Timing of waiting calls.
const (
	// lookPeriod is the time between two looks at waiting calls when nothing
	// wakes the queue.
	lookPeriod = 20 * time.Millisecond
	// wantPeriod is the time between two questions for the same adapter.
	wantPeriod = 100 * time.Millisecond
	// waitFraction is the part of the objective that a call waits for an
	// upstream. The rest is for the first token.
	waitFraction = 0.5
	// serveFraction is the part of the time to the deadline after which a call
	// is not begun any more.
	serveFraction = 0.5
)

// waiter is a call that waits for an upstream.
type waiter struct {
	need *selector.Need
	// until is when the call gives up.
	until time.Time
	// rank orders calls that wait, lower first.
	rank    int
	hold    chan *selector.Hold
	verdict selector.Verdict
}

// queue holds the calls that wait for an upstream.
type queue struct {
	config Config
	wake   chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	waiters []*waiter
	wanted  map[string]time.Time
}

func newQueue(config Config) *queue {
	return &queue{
		config: config,
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),
		wanted: make(map[string]time.Time),
	}
}

func (q *queue) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) run(ctx context.Context) error {
	defer close(q.done)
	timer := time.NewTimer(lookPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-q.wake:
		case <-timer.C:
		}
		if q.serve() {
			timer.Reset(lookPeriod)
		}
	}
}

// serve hands upstreams to waiting calls and reports whether some still wait.
func (q *queue) serve() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.config.Now()
	blocked := make(map[string]bool)
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		key := w.need.Service + "\n" + w.need.Model + "\n" + w.need.Adapter
		if blocked[key] {
			return false
		}
		hold, verdict := q.config.Selector.Choose(w.need, now)
		if hold != nil {
			w.hold <- hold
			return true
		}
		w.verdict = verdict
		blocked[key] = true
		q.want(w.need, verdict, now)
		return false
	})
	return len(q.waiters) > 0
}

// want asks for an adapter that is absent, from time to time.
func (q *queue) want(need *selector.Need, verdict selector.Verdict, now time.Time) {
	if verdict != selector.AdapterAbsent {
		return
	}
	key := need.Model + "/" + need.Adapter
	if now.Sub(q.wanted[key]) < wantPeriod {
		return
	}
	q.wanted[key] = now
	q.config.RequestAdapter(need.Service, need.Model, need.Adapter)
}

// enqueue returns a hold at once if an upstream is free and nobody of the same
// kind waits, and a waiter otherwise.
func (q *queue) enqueue(need *selector.Need, until time.Time, rank int) (*waiter, *selector.Hold) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.config.Now()
	w := &waiter{need: need, until: until, rank: rank, hold: make(chan *selector.Hold, 1)}
	if !q.hasSimilar(need) {
		hold, verdict := q.config.Selector.Choose(need, now)
		if hold != nil {
			return nil, hold
		}
		w.verdict = verdict
		q.want(need, verdict, now)
	}
	index, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	q.waiters = slices.Insert(q.waiters, index, w)
	q.wakeUp()
	return w, nil
}

// compareWaiters puts calls first that give up first.
func compareWaiters(a, b *waiter) int {
	if a.rank != b.rank {
		return a.rank - b.rank
	}
	return a.until.Compare(b.until)
}

func (q *queue) hasSimilar(need *selector.Need) bool {
	return slices.ContainsFunc(q.waiters, func(w *waiter) bool {
		return w.need.Service == need.Service && w.need.Model == need.Model && w.need.Adapter == need.Adapter
	})
}

// abandon takes a waiter out, and returns the hold that it has got meanwhile.
func (q *queue) abandon(w *waiter) *selector.Hold {
	q.mu.Lock()
	defer q.mu.Unlock()
	index := slices.Index(q.waiters, w)
	if index >= 0 {
		q.waiters = slices.Delete(q.waiters, index, index+1)
		return nil
	}
	return <-w.hold
}

// acquire waits for an upstream.
func (r *run) acquire(ctx context.Context) (*selector.Hold, selector.Verdict) {
	config := &r.carrier.config
	startedAt := config.Now()
	defer func() { r.record.QueueTime += config.Now().Sub(startedAt) }()
	w, hold := r.carrier.queue.enqueue(&r.need, r.waitUntil(), r.route.Priority)
	if hold != nil {
		return hold, selector.Chosen
	}
	timer := time.NewTimer(w.until.Sub(startedAt))
	defer timer.Stop()
	select {
	case hold := <-w.hold:
		return hold, selector.Chosen
	case <-timer.C:
	case <-ctx.Done():
	}
	if hold := r.carrier.queue.abandon(w); hold != nil {
		if ctx.Err() == nil {
			return hold, selector.Chosen
		}
		hold.Release(selector.Abandoned, config.Now())
	}
	return nil, w.verdict
}

// waitUntil returns when a call that waits gives up.
func (r *run) waitUntil() time.Time {
	patience := r.deadline.Sub(r.call.ArrivedAt)
	wait := time.Duration(serveFraction * float64(patience))
	if objective := r.route.LatencyObjective; objective > 0 && r.route.Kind == catalog.Streaming {
		wait = min(wait, time.Duration(waitFraction*float64(objective)))
	}
	return r.call.ArrivedAt.Add(wait)
}

// retryAfters are the times after which a call may come again that found no
// upstream.
var retryAfters = map[selector.Verdict]time.Duration{
	selector.Busy:          500 * time.Millisecond,
	selector.AdapterAbsent: 200 * time.Millisecond,
	selector.ModelAbsent:   1500 * time.Millisecond,
	selector.NoUpstream:    700 * time.Millisecond,
}

// noUpstream returns the refusal of a call that found no upstream.
func (r *run) noUpstream(verdict selector.Verdict) *apierror.Error {
	r.record.Cause = errors.New(verdict.String())
	if r.hasRun {
		return errFailed
	}
	return apierror.New(http.StatusServiceUnavailable, apierror.Overloaded,
		"no upstream was free in time: "+verdict.String()).WithRetryAfter(retryAfters[verdict])
}

// drawOf turns a request's ID into a number from [0, 1).
func drawOf(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / float64(1<<53)
}
