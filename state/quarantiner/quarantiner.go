// Package quarantiner remembers requests whose upstream broke off while it ran
// them, so that a request that crashes upstreams is refused after a few.
package quarantiner

import (
	"sync"
	"time"
)

// Bounds of the memory.
const (
	// MaxCrashes is the number of upstreams that one request may break.
	MaxCrashes = 2
	// memory is how long a crash counts after the last one.
	memory = 60 * time.Second
	// recent is how long a crash is told to other instances.
	recent = 5 * time.Second
	// capacity bounds the requests that are remembered.
	capacity = 4096
)

// Fingerprint identifies a request that comes again: its workspace, its path
// and its body.
type Fingerprint uint64

// CrashCount is the number of upstreams that a request has broken at one instance.
type CrashCount struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Count       int         `cbor:"2,keyasint"`
}

// entry is what is known of one request.
type entry struct {
	own    int
	peers  map[string]int
	latest time.Time
}

// Quarantiner is safe for concurrent use.
type Quarantiner struct {
	mu      sync.Mutex
	entries map[Fingerprint]*entry
}

// New returns a suspector without suspicions.
func New() *Quarantiner { return &Quarantiner{entries: make(map[Fingerprint]*entry)} }

// RecordCrash counts an upstream that broke off while it ran a request.
func (s *Quarantiner) RecordCrash(fingerprint Fingerprint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(fingerprint, now)
	e.own++
	e.latest = now
}

// RecordPeerCrashes takes what another instance has counted.
func (s *Quarantiner) RecordPeerCrashes(instance string, crashes []CrashCount, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, crash := range crashes {
		e := s.entry(crash.Fingerprint, now)
		if e.peers[instance] < crash.Count {
			e.peers[instance] = crash.Count
			e.latest = now
		}
	}
}

// entry returns the entry of a request. The caller holds mu.
func (s *Quarantiner) entry(fingerprint Fingerprint, now time.Time) *entry {
	e := s.entries[fingerprint]
	if e != nil {
		return e
	}
	if len(s.entries) >= capacity {
		s.forget(now)
	}
	e = &entry{peers: make(map[string]int), latest: now}
	s.entries[fingerprint] = e
	return e
}

// forget drops old entries, and any until a quarter of the memory is free.
func (s *Quarantiner) forget(now time.Time) {
	for fingerprint, e := range s.entries {
		if now.Sub(e.latest) > memory || len(s.entries) > capacity*3/4 {
			delete(s.entries, fingerprint)
		}
	}
}

// Crashes returns the number of upstreams that a request has broken.
func (s *Quarantiner) Crashes(fingerprint Fingerprint, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[fingerprint]
	if e == nil || now.Sub(e.latest) > memory {
		return 0
	}
	total := e.own
	for _, count := range e.peers {
		total += count
	}
	return total
}

// RecentCrashes returns the instance's own counts that are new, up to a number.
func (s *Quarantiner) RecentCrashes(limit int, now time.Time) []CrashCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	var crashes []CrashCount
	for fingerprint, e := range s.entries {
		if len(crashes) < limit && e.own > 0 && now.Sub(e.latest) < recent {
			crashes = append(crashes, CrashCount{Fingerprint: fingerprint, Count: e.own})
		}
	}
	return crashes
}
