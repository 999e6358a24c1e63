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
	// finishTag is the virtual time at which a fair server would finish the
	// request.
	finishTag float64
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

// batchPromotionAge is the wait after which a batch request is treated as
// interactive, so that it does not starve.
const batchPromotionAge = 20 * time.Second

// maxTriesPerCall bounds the requests that one call of Next tries, so that a long
// queue costs no more than a short one when no upstream has capacity.
const maxTriesPerCall = 8

type entry[T any] struct {
	Item
	value T
}

// FairQueue shares tokens between workspaces in proportion to their weights. It
// serves interactive requests before batch requests that have waited for less
// than batchPromotionAge. Within a class it uses start-time fair queueing (Goyal,
// Vin and Cheng, 1996).
type FairQueue[T any] struct {
	capacity int
	entries  []entry[T]
	tokens   float64
	// virtualTime is the highest finish tag of a served request.
	virtualTime float64
	// finishTags holds the latest finish tag of each workspace.
	finishTags map[string]float64
}

// NewFairQueue returns an empty queue with room for capacity requests.
func NewFairQueue[T any](capacity int) *FairQueue[T] {
	return &FairQueue[T]{capacity: capacity, finishTags: make(map[string]float64)}
}

// Push implements Queue. A workspace may use at most half of the capacity, so
// that one that floods the queue leaves room for others.
func (q *FairQueue[T]) Push(item Item, value T) bool {
	if len(q.entries) >= q.capacity || q.countWaiting(item.Workspace) >= max(q.capacity/2, 1) {
		return false
	}
	start := max(q.virtualTime, q.finishTags[item.Workspace])
	item.finishTag = start + item.Tokens/float64(item.Weight)
	q.finishTags[item.Workspace] = item.finishTag
	q.entries = append(q.entries, entry[T]{Item: item, value: value})
	q.tokens += item.Tokens
	return true
}

// countWaiting returns the number of waiting requests of a workspace.
func (q *FairQueue[T]) countWaiting(workspace string) int {
	count := 0
	for i := range q.entries {
		if q.entries[i].Workspace == workspace {
			count++
		}
	}
	return count
}

// Next implements Queue.
func (q *FairQueue[T]) Next(now time.Time, try func(Item, T) bool) bool {
	tried := make(map[int]bool)
	for len(tried) < min(len(q.entries), maxTriesPerCall) {
		index := q.firstUntried(now, tried)
		if try(q.entries[index].Item, q.entries[index].value) {
			q.virtualTime = max(q.virtualTime, q.entries[index].finishTag)
			q.removeAt(index)
			return true
		}
		tried[index] = true
	}
	return false
}

// firstUntried returns the index of the next request in service order that has
// not been tried.
func (q *FairQueue[T]) firstUntried(now time.Time, tried map[int]bool) int {
	first := -1
	for i := range q.entries {
		if !tried[i] && (first < 0 || q.isBefore(&q.entries[i].Item, &q.entries[first].Item, now)) {
			first = i
		}
	}
	return first
}

// isBefore reports whether a is served before b.
func (q *FairQueue[T]) isBefore(a, b *Item, now time.Time) bool {
	if ca, cb := effectiveClass(a, now), effectiveClass(b, now); ca != cb {
		return ca < cb
	}
	return a.finishTag < b.finishTag
}

// effectiveClass returns the class of a request, which is interactive once the
// request has waited for batchPromotionAge.
func effectiveClass(item *Item, now time.Time) Class {
	if now.Sub(item.EnqueuedAt) >= batchPromotionAge {
		return Interactive
	}
	return item.Class
}

// Remove implements Queue.
func (q *FairQueue[T]) Remove(match func(T) bool) bool {
	for i := range q.entries {
		if match(q.entries[i].value) {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// removeAt removes a request. It resets the virtual time when the queue becomes
// empty.
func (q *FairQueue[T]) removeAt(i int) {
	q.tokens -= q.entries[i].Tokens
	q.entries = append(q.entries[:i], q.entries[i+1:]...)
	if len(q.entries) == 0 {
		q.tokens = 0
		clear(q.finishTags)
		q.virtualTime = 0
	}
}

// Len implements Queue.
func (q *FairQueue[T]) Len() int { return len(q.entries) }

// Tokens implements Queue.
func (q *FairQueue[T]) Tokens() float64 { return q.tokens }

// FIFOQueue serves requests in the order of their arrival. It is a baseline for
// comparison.
type FIFOQueue[T any] struct {
	capacity int
	entries  []entry[T]
	tokens   float64
}

// NewFIFOQueue returns an empty queue with room for capacity requests.
func NewFIFOQueue[T any](capacity int) *FIFOQueue[T] { return &FIFOQueue[T]{capacity: capacity} }

// Push implements Queue.
func (q *FIFOQueue[T]) Push(item Item, value T) bool {
	if len(q.entries) >= q.capacity {
		return false
	}
	q.entries = append(q.entries, entry[T]{Item: item, value: value})
	q.tokens += item.Tokens
	return true
}

// Next implements Queue. It tries only the oldest request.
func (q *FIFOQueue[T]) Next(_ time.Time, try func(Item, T) bool) bool {
	if len(q.entries) == 0 || !try(q.entries[0].Item, q.entries[0].value) {
		return false
	}
	q.tokens -= q.entries[0].Tokens
	q.entries = q.entries[1:]
	return true
}

// Remove implements Queue.
func (q *FIFOQueue[T]) Remove(match func(T) bool) bool {
	for i := range q.entries {
		if match(q.entries[i].value) {
			q.tokens -= q.entries[i].Tokens
			q.entries = append(q.entries[:i:i], q.entries[i+1:]...)
			return true
		}
	}
	return false
}

// Len implements Queue.
func (q *FIFOQueue[T]) Len() int { return len(q.entries) }

// Tokens implements Queue.
func (q *FIFOQueue[T]) Tokens() float64 { return q.tokens }
