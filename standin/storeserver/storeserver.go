// Package storeserver is a test server that simulates the platform's weight store,
// which limits the rate of loads.
package storeserver

import (
	"net/http"
	"sync"
	"time"
)

// Config describes the capacity of the store.
type Config struct {
	// Rate is the number of loads per second, and Burst the number of loads that
	// may start at once.
	Rate  float64
	Burst float64
	// MaxInFlight is the number of concurrent loads at full speed. More loads slow
	// each other down.
	MaxInFlight int
	// LoadTime is the duration of a load at full speed.
	LoadTime time.Duration
}

// Server implements http.Handler.
type Server struct {
	config Config

	mu       sync.Mutex
	inFlight int
	tokens   float64
	refilled time.Time
	loads    int
	refused  int
	outage   bool
}

// New returns a store whose full burst is available.
func New(config Config) *Server {
	return &Server{config: config, tokens: config.Burst, refilled: time.Now()}
}

// SetRate changes the rate limit of loads.
func (s *Server) SetRate(rate, burst float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Rate, s.config.Burst = rate, burst
	s.tokens = min(s.tokens, burst)
}

// Counts returns the number of accepted loads, and of loads that were refused
// because of the rate limit or an outage.
func (s *Server) Counts() (loads, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads, s.refused
}

// SetOutage makes the store refuse every load.
func (s *Server) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

// admit reports whether a load may start and how long it takes.
func (s *Server) admit() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.tokens = min(s.tokens+now.Sub(s.refilled).Seconds()*s.config.Rate, s.config.Burst)
	s.refilled = now
	if s.tokens < 1 || s.outage {
		s.refused++
		return 0, false
	}
	s.tokens--
	s.loads++
	s.inFlight++
	slowdown := max(float64(s.inFlight)/float64(s.config.MaxInFlight), 1)
	return time.Duration(float64(s.config.LoadTime) * slowdown), true
}

// ServeHTTP implements http.Handler. It treats every path as a set of weights.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	duration, allowed := s.admit()
	if !allowed {
		http.Error(w, "too many loads", http.StatusTooManyRequests)
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inFlight--
	}()
	select {
	case <-time.After(duration):
		w.WriteHeader(http.StatusOK)
	case <-r.Context().Done():
	}
}
