// Package scheduler decides in which order the requests that wait for a model
// are served.
package scheduler

import (
	"time"
)

// Class is the priority class of a request.
type Class int

// The priority classes.
const (
	// Interactive requests need their first token within a deadline.
	Interactive Class = iota
	// Batch requests may wait but must not starve.
	Batch
)

// Item describes a waiting request.
type Item struct {
	Workspace string
	// Weight is the fair-queueing weight of the workspace. It must be greater
	// than 0.
	Weight int64
	Class  Class
	// Tokens is the expected cost of the request in tokens.
	Tokens float64
	// EnqueuedAt is the time at which the request began to wait.
	EnqueuedAt time.Time
	// finish is the virtual time at which a fair server would finish the request.
	finish float64
}

// Queue holds waiting requests of type T. It is not safe for concurrent use.
type Queue[T any] interface {
	// Push adds a request. It returns false if the queue has no room for it.
	Push(item Item, value T) bool
	// Next calls try for the first few requests in service order, until try
	// returns true. It removes the request that try has accepted, and returns
	// false if there is none.
	Next(now time.Time, try func(Item, T) bool) bool
	// Remove removes the first request that matches. It returns false if there is
	// none.
	Remove(match func(T) bool) bool
	// Len returns the number of waiting requests.
	Len() int
	// Tokens returns the expected cost of all waiting requests in tokens.
	Tokens() float64
}

// ageLimit is the wait after which a batch request is treated as interactive, so
// that it does not starve.
const ageLimit = 20 * time.Second

// maxTried bounds the requests that one call of Next tries, so that a long queue
// costs no more than a short one when no upstream has capacity.
const maxTried = 8

type waiting[T any] struct {
	Item
	value T
}

// FairQueue shares tokens between workspaces in proportion to their weights. It
// serves interactive requests before batch requests that have waited for less
// than ageLimit. Within a class it uses start-time fair queueing (Goyal, Vin and
// Cheng, 1996).
type FairQueue[T any] struct {
	capacity int
	items    []waiting[T]
	tokens   float64
	// virtual is the virtual time, the highest finish tag of a served request.
	virtual float64
	// finishes holds the latest finish tag of each workspace.
	finishes map[string]float64
}

// NewFairQueue returns an empty queue with room for capacity requests.
func NewFairQueue[T any](capacity int) *FairQueue[T] {
	return &FairQueue[T]{capacity: capacity, finishes: make(map[string]float64)}
}

// Push implements Queue. A workspace may use at most half of the capacity, so
// that one that floods the queue leaves room for others.
func (q *FairQueue[T]) Push(item Item, value T) bool {
	if len(q.items) >= q.capacity || q.places(item.Workspace) >= max(q.capacity/2, 1) {
		return false
	}
	start := max(q.virtual, q.finishes[item.Workspace])
	item.finish = start + item.Tokens/float64(item.Weight)
	q.finishes[item.Workspace] = item.finish
	q.items = append(q.items, waiting[T]{Item: item, value: value})
	q.tokens += item.Tokens
	return true
}

// places returns the number of waiting requests of a workspace.
func (q *FairQueue[T]) places(workspace string) int {
	count := 0
	for i := range q.items {
		if q.items[i].Workspace == workspace {
			count++
		}
	}
	return count
}

// Next implements Queue.
func (q *FairQueue[T]) Next(now time.Time, try func(Item, T) bool) bool {
	tried := make(map[int]bool)
	for len(tried) < min(len(q.items), maxTried) {
		first := q.first(now, tried)
		if try(q.items[first].Item, q.items[first].value) {
			q.virtual = max(q.virtual, q.items[first].finish)
			q.removeAt(first)
			return true
		}
		tried[first] = true
	}
	return false
}

// first returns the index of the next request in service order that has not been
// tried.
func (q *FairQueue[T]) first(now time.Time, tried map[int]bool) int {
	first := -1
	for i := range q.items {
		if !tried[i] && (first < 0 || q.before(&q.items[i].Item, &q.items[first].Item, now)) {
			first = i
		}
	}
	return first
}

// before reports whether a is served before b.
func (q *FairQueue[T]) before(a, b *Item, now time.Time) bool {
	if ca, cb := effectiveClass(a, now), effectiveClass(b, now); ca != cb {
		return ca < cb
	}
	return a.finish < b.finish
}

// effectiveClass returns the class of a request, which is interactive once the
// request has waited for ageLimit.
func effectiveClass(item *Item, now time.Time) Class {
	if now.Sub(item.EnqueuedAt) >= ageLimit {
		return Interactive
	}
	return item.Class
}

// Remove implements Queue.
func (q *FairQueue[T]) Remove(match func(T) bool) bool {
	for i := range q.items {
		if match(q.items[i].value) {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// removeAt removes a request. It resets the virtual time when the queue becomes
// empty.
func (q *FairQueue[T]) removeAt(i int) {
	q.tokens -= q.items[i].Tokens
	q.items = append(q.items[:i], q.items[i+1:]...)
	if len(q.items) == 0 {
		q.tokens = 0
		clear(q.finishes)
		q.virtual = 0
	}
}

// Len implements Queue.
func (q *FairQueue[T]) Len() int { return len(q.items) }

// Tokens implements Queue.
func (q *FairQueue[T]) Tokens() float64 { return q.tokens }

// FIFOQueue serves requests in the order of their arrival. It is a baseline for
// comparison.
type FIFOQueue[T any] struct {
	capacity int
	items    []waiting[T]
	tokens   float64
}

// NewFIFOQueue returns an empty queue with room for capacity requests.
func NewFIFOQueue[T any](capacity int) *FIFOQueue[T] { return &FIFOQueue[T]{capacity: capacity} }

// Push implements Queue.
func (q *FIFOQueue[T]) Push(item Item, value T) bool {
	if len(q.items) >= q.capacity {
		return false
	}
	q.items = append(q.items, waiting[T]{Item: item, value: value})
	q.tokens += item.Tokens
	return true
}

// Next implements Queue. It tries only the oldest request.
func (q *FIFOQueue[T]) Next(_ time.Time, try func(Item, T) bool) bool {
	if len(q.items) == 0 || !try(q.items[0].Item, q.items[0].value) {
		return false
	}
	q.tokens -= q.items[0].Tokens
	q.items = q.items[1:]
	return true
}

// Remove implements Queue.
func (q *FIFOQueue[T]) Remove(match func(T) bool) bool {
	for i := range q.items {
		if match(q.items[i].value) {
			q.tokens -= q.items[i].Tokens
			q.items = append(q.items[:i:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}

// Len implements Queue.
func (q *FIFOQueue[T]) Len() int { return len(q.items) }

// Tokens implements Queue.
func (q *FIFOQueue[T]) Tokens() float64 { return q.tokens }
