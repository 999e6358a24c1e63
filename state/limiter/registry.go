package limiter

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Share is an instance's share of a limit. Package sharer calls it a quota.
type Share interface {
	// Units returns the number of units held.
	Units() int64
	// Debit removes up to the given number of units for a transfer.
	Debit(units int64, now time.Time) Transfer
	// Credit adds the units of a transfer.
	Credit(transfer Transfer, now time.Time)
	// Drop removes all units.
	Drop(now time.Time)
	// Demand returns the demand since the last call and the largest request.
	Demand(now time.Time) (demand, largest float64)
}

// Registry holds the shares of one instance. Lookups take no lock.
type Registry struct {
	mu         sync.Mutex
	buckets    atomic.Pointer[map[ResourceKey]*Bucket]
	semaphores atomic.Pointer[map[ResourceKey]*Semaphore]
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	registry := &Registry{}
	registry.buckets.Store(&map[ResourceKey]*Bucket{})
	registry.semaphores.Store(&map[ResourceKey]*Semaphore{})
	return registry
}

// Bucket returns the share of a token bucket and creates it when needed.
func (r *Registry) Bucket(key ResourceKey, limit RateLimit, now time.Time) *Bucket {
	if bucket, found := (*r.buckets.Load())[key]; found {
		return bucket
	}
	return getOrAdd(&r.mu, &r.buckets, key, func() *Bucket { return NewBucket(limit, now) })
}

// Semaphore returns the share of a concurrency limit and creates it when needed.
func (r *Registry) Semaphore(key ResourceKey) *Semaphore {
	if semaphore, found := (*r.semaphores.Load())[key]; found {
		return semaphore
	}
	return getOrAdd(&r.mu, &r.semaphores, key, NewSemaphore)
}

// getOrAdd looks up a share again under the lock. If it is missing, getOrAdd
// replaces the map by a copy that includes a new share.
func getOrAdd[S any](mu *sync.Mutex, shares *atomic.Pointer[map[ResourceKey]*S], key ResourceKey, create func() *S) *S {
	mu.Lock()
	defer mu.Unlock()
	current := *shares.Load()
	if share, found := current[key]; found {
		return share
	}
	copied := maps.Clone(current)
	share := create()
	copied[key] = share
	shares.Store(&copied)
	return share
}

// Find returns the share with the given key, whether a bucket or a semaphore.
func (r *Registry) Find(key ResourceKey) (Share, bool) {
	if bucket, found := (*r.buckets.Load())[key]; found {
		return bucket, true
	}
	if semaphore, found := (*r.semaphores.Load())[key]; found {
		return semaphore, true
	}
	return nil, false
}

// Remove removes the share of a limit whose row was deleted.
func (r *Registry) Remove(key ResourceKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	buckets := maps.Clone(*r.buckets.Load())
	delete(buckets, key)
	r.buckets.Store(&buckets)
	semaphores := maps.Clone(*r.semaphores.Load())
	delete(semaphores, key)
	r.semaphores.Store(&semaphores)
}

// Shares calls yield for every share until yield returns false.
func (r *Registry) Shares(yield func(ResourceKey, Share) bool) {
	for key, bucket := range *r.buckets.Load() {
		if !yield(key, bucket) {
			return
		}
	}
	for key, semaphore := range *r.semaphores.Load() {
		if !yield(key, semaphore) {
			return
		}
	}
}
