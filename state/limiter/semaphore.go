package limiter

import (
	"sync"
	"time"
)

// Semaphore is an instance's part of a limit on uses in progress. One unit
// allows one use. It is safe for concurrent use.
type Semaphore struct {
	mu sync.Mutex
	// units is what the instance holds.
	units int64
	// clamp bounds the units that may be used; it is at most units.
	clamp int64
	// used is the number of uses in progress. It exceeds units only while
	// units are being taken away.
	used int64
	// peak is the largest number of uses, granted or not, since the last call
	// of Demand.
	peak int64
}

// unclamped lets all units be used.
const unclamped = int64(1) << 62

// NewSemaphore returns a part without units.
func NewSemaphore() *Semaphore { return &Semaphore{clamp: unclamped} }

// Acquire starts a use and reports whether a unit was free.
func (s *Semaphore) Acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peak = max(s.peak, s.used+1)
	if s.used >= min(s.units, s.clamp) {
		return false
	}
	s.used++
	return true
}

// Release ends a use.
func (s *Semaphore) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
}

// Free returns the number of uses that could start now.
func (s *Semaphore) Free() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(s.units, s.clamp) - s.used
}

// Used returns the number of uses in progress.
func (s *Semaphore) Used() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// Units returns the number of units held.
func (s *Semaphore) Units() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.units
}

// Clamp bounds the units in use without giving any away.
func (s *Semaphore) Clamp(units int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clamp = units
}

// Unclamp lets all units be used again.
func (s *Semaphore) Unclamp() { s.Clamp(unclamped) }

// Give debits units that are not in use.
func (s *Semaphore) Give(units int64, _ time.Time) Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	units = max(min(units, s.units-s.used), 0)
	s.units -= units
	return Grant{Units: units}
}

// Receive credits units that another instance has debited.
func (s *Semaphore) Receive(grant Grant, _ time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.units += grant.Units
}

// Drop removes all units. Uses in progress go on.
func (s *Semaphore) Drop(time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.units = 0
}

// Demand returns the largest number of uses wanted at once since the last
// call.
func (s *Semaphore) Demand(time.Time) (peak, largest float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peak = float64(s.peak)
	s.peak = s.used
	return peak, 1
}
