// Package quarantiner counts the upstreams that crash or close the connection
// while they execute a request, so that a request that crashes upstreams can be
// refused.
package quarantiner

import (
	"sync"
	"time"
)

const (
	// MaxCrashes is the number of upstreams that one request may crash.
	MaxCrashes = 2
	// crashRetention is how long the crashes of a request count after the last
	// one.
	crashRetention = 60 * time.Second
	// reportPeriod is how long a crash is reported to peers.
	reportPeriod = 5 * time.Second
	// maxEntries bounds the requests whose crashes are counted.
	maxEntries = 4096
)

// Fingerprint identifies a request across retries by a hash of its workspace, its
// path and its body.
type Fingerprint uint64

// CrashCount is the number of upstreams that a request has crashed, as one
// instance has counted them.
type CrashCount struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Count       int         `cbor:"2,keyasint"`
}

// entry holds the counts of one request: of this instance and of each peer.
type entry struct {
	own    int
	peers  map[string]int
	latest time.Time
}

// Quarantiner counts crashes by request. It is safe for concurrent use.
type Quarantiner struct {
	mu      sync.Mutex
	entries map[Fingerprint]*entry
}

// New returns a quarantiner without any crashes.
func New() *Quarantiner { return &Quarantiner{entries: make(map[Fingerprint]*entry)} }

// RecordCrash counts an upstream that crashed or closed the connection while it
// executed a request.
func (q *Quarantiner) RecordCrash(fingerprint Fingerprint, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.entry(fingerprint, now)
	e.own++
	e.latest = now
}

// RecordPeerCrashes merges the counts of a peer. Counts that are not higher than
// before have no effect.
func (q *Quarantiner) RecordPeerCrashes(instance string, crashes []CrashCount, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, crash := range crashes {
		e := q.entry(crash.Fingerprint, now)
		if e.peers[instance] < crash.Count {
			e.peers[instance] = crash.Count
			e.latest = now
		}
	}
}

// entry returns the entry of a request and creates it when needed. The caller must
// lock mu.
func (q *Quarantiner) entry(fingerprint Fingerprint, now time.Time) *entry {
	e := q.entries[fingerprint]
	if e != nil {
		return e
	}
	if len(q.entries) >= maxEntries {
		q.evict(now)
	}
	e = &entry{peers: make(map[string]int), latest: now}
	q.entries[fingerprint] = e
	return e
}

// evict removes expired entries, and arbitrary entries while less than a quarter
// of the capacity is free.
func (q *Quarantiner) evict(now time.Time) {
	for fingerprint, e := range q.entries {
		if now.Sub(e.latest) > crashRetention || len(q.entries) > maxEntries*3/4 {
			delete(q.entries, fingerprint)
		}
	}
}

// Crashes returns the number of upstreams that a request has crashed, over all
// instances.
func (q *Quarantiner) Crashes(fingerprint Fingerprint, now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.entries[fingerprint]
	if e == nil || now.Sub(e.latest) > crashRetention {
		return 0
	}
	total := e.own
	for _, count := range e.peers {
		total += count
	}
	return total
}

// RecentCrashes returns at most limit counts of this instance, for requests with
// a recent crash.
func (q *Quarantiner) RecentCrashes(limit int, now time.Time) []CrashCount {
	q.mu.Lock()
	defer q.mu.Unlock()
	var crashes []CrashCount
	for fingerprint, e := range q.entries {
		if len(crashes) < limit && e.own > 0 && now.Sub(e.latest) < reportPeriod {
			crashes = append(crashes, CrashCount{Fingerprint: fingerprint, Count: e.own})
		}
	}
	return crashes
}
