package limiter

import (
	"sync"
	"time"
)

// Semaphore is an instance's share of a concurrency limit. Each unit is a permit
// for one concurrent use. It is safe for concurrent use.
type Semaphore struct {
	mu sync.Mutex
	// permits is the number of permits that the instance holds.
	permits int64
	// clamp bounds the permits in use. It may exceed permits.
	clamp int64
	// used is the number of permits in use. It exceeds permits only after Drop.
	used int64
	// peak is the largest number of concurrent uses, granted or not, since the
	// last call of Demand.
	peak int64
}

// unclamped is the value of clamp that allows the use of all permits.
const unclamped = int64(1) << 62

// NewSemaphore returns a share without permits.
func NewSemaphore() *Semaphore { return &Semaphore{clamp: unclamped} }

// Acquire takes a permit and reports whether one was free.
func (s *Semaphore) Acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peak = max(s.peak, s.used+1)
	if s.used >= min(s.permits, s.clamp) {
		return false
	}
	s.used++
	return true
}

// Release returns a permit taken with Acquire.
func (s *Semaphore) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
}

// Free returns the number of permits that Acquire could take now.
func (s *Semaphore) Free() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(s.permits, s.clamp) - s.used
}

// Used returns the number of permits in use.
func (s *Semaphore) Used() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// Units returns the number of permits held.
func (s *Semaphore) Units() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permits
}

// Clamp bounds the permits in use without giving any away.
func (s *Semaphore) Clamp(permits int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clamp = permits
}

// Unclamp removes the bound set with Clamp.
func (s *Semaphore) Unclamp() { s.Clamp(unclamped) }

// Debit removes up to the given number of permits that are not in use.
func (s *Semaphore) Debit(permits int64, _ time.Time) Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	permits = max(min(permits, s.permits-s.used), 0)
	s.permits -= permits
	return Transfer{Units: permits}
}

// Credit adds permits that another instance has debited.
func (s *Semaphore) Credit(transfer Transfer, _ time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits += transfer.Units
}

// Drop removes all permits. Uses in progress continue.
func (s *Semaphore) Drop(time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits = 0
}

// Demand returns the largest number of concurrent uses requested since the last
// call. The largest single request is always one permit.
func (s *Semaphore) Demand(time.Time) (peak, largest float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peak = float64(s.peak)
	s.peak = s.used
	return peak, 1
}
