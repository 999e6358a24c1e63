// Package scheduler orders the requests that wait for a model.
package scheduler

import (
	"time"
)

// Class tells how urgent a request is.
type Class int

// The classes.
const (
	// Interactive requests need their first token within a deadline.
	Interactive Class = iota
	// Batch requests may wait but must be served.
	Batch
)

// Item is a waiting request.
type Item struct {
	Workspace string
	// Weight is the workspace's weight. It is greater than 0.
	Weight int64
	Class  Class
	// Tokens is the expected cost of the request.
	Tokens float64
	// Arrived is when the request began to wait.
	Arrived time.Time
	// finish is the virtual time at which fair service would end.
	finish float64
}

// Queue holds waiting requests of type T. It is not safe for concurrent use.
type Queue[T any] interface {
	// Push adds a request and reports false if the queue is full.
	Push(item Item, value T) bool
	// Next calls try for the first few requests in the order of service until
	// it returns true for one, which is then removed. Next reports whether there
	// was one.
	Next(now time.Time, try func(Item, T) bool) bool
	// Remove takes a request out and reports whether it was waiting.
	Remove(match func(T) bool) bool
	// Len returns the number of waiting requests.
	Len() int
	// Tokens returns the expected cost of all waiting requests.
	Tokens() float64
}

// ageLimit is how long a batch request waits before it is served like an
// interactive one, so that it is never starved.
const ageLimit = 20 * time.Second

// maxTried bounds the requests that are offered in one round, so that a long
// queue costs no more than a short one when no upstream is free.
const maxTried = 8

type waiting[T any] struct {
	Item
	value T
}

// Fair serves workspaces by weight in tokens, interactive requests before
// batch requests until those are old. It is start-time fair queueing (Goyal,
// Vin and Cheng, 1996) within each class.
type Fair[T any] struct {
	capacity int
	items    []waiting[T]
	tokens   float64
	// virtual is the virtual time: the finish tag of the request served last.
	virtual float64
	// finishes holds the latest finish tag of each workspace that is above
	// the virtual time.
	finishes map[string]float64
}

// NewFair returns a queue for up to capacity requests.
func NewFair[T any](capacity int) *Fair[T] {
	return &Fair[T]{capacity: capacity, finishes: make(map[string]float64)}
}

// Push implements Queue. No workspace gets more than half of the places, so that
// one that floods the queue leaves room for others.
func (q *Fair[T]) Push(item Item, value T) bool {
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

func (q *Fair[T]) places(workspace string) int {
	count := 0
	for i := range q.items {
		if q.items[i].Workspace == workspace {
			count++
		}
	}
	return count
}

// Next implements Queue.
func (q *Fair[T]) Next(now time.Time, try func(Item, T) bool) bool {
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

// first returns the index of the request to serve first among those not tried.
func (q *Fair[T]) first(now time.Time, tried map[int]bool) int {
	first := -1
	for i := range q.items {
		if !tried[i] && (first < 0 || q.before(&q.items[i].Item, &q.items[first].Item, now)) {
			first = i
		}
	}
	return first
}

func (q *Fair[T]) before(a, b *Item, now time.Time) bool {
	if ca, cb := effectiveClass(a, now), effectiveClass(b, now); ca != cb {
		return ca < cb
	}
	return a.finish < b.finish
}

func effectiveClass(item *Item, now time.Time) Class {
	if now.Sub(item.Arrived) >= ageLimit {
		return Interactive
	}
	return item.Class
}

// Remove implements Queue.
func (q *Fair[T]) Remove(match func(T) bool) bool {
	for i := range q.items {
		if match(q.items[i].value) {
			q.removeAt(i)
			return true
		}
	}
	return false
}

func (q *Fair[T]) removeAt(i int) {
	q.tokens -= q.items[i].Tokens
	q.items = append(q.items[:i], q.items[i+1:]...)
	if len(q.items) == 0 {
		q.tokens = 0
		clear(q.finishes)
		q.virtual = 0
	}
}

// Len implements Queue.
func (q *Fair[T]) Len() int { return len(q.items) }

// Tokens implements Queue.
func (q *Fair[T]) Tokens() float64 { return q.tokens }

// FIFO serves requests in the order of their arrival. It is a baseline.
type FIFO[T any] struct {
	capacity int
	items    []waiting[T]
	tokens   float64
}

// NewFIFO returns a queue for up to capacity requests.
func NewFIFO[T any](capacity int) *FIFO[T] { return &FIFO[T]{capacity: capacity} }

// Push implements Queue.
func (q *FIFO[T]) Push(item Item, value T) bool {
	if len(q.items) >= q.capacity {
		return false
	}
	q.items = append(q.items, waiting[T]{Item: item, value: value})
	q.tokens += item.Tokens
	return true
}

// Next implements Queue.
func (q *FIFO[T]) Next(_ time.Time, try func(Item, T) bool) bool {
	if len(q.items) == 0 || !try(q.items[0].Item, q.items[0].value) {
		return false
	}
	q.tokens -= q.items[0].Tokens
	q.items = q.items[1:]
	return true
}

// Remove implements Queue.
func (q *FIFO[T]) Remove(match func(T) bool) bool {
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
func (q *FIFO[T]) Len() int { return len(q.items) }

// Tokens implements Queue.
func (q *FIFO[T]) Tokens() float64 { return q.tokens }
