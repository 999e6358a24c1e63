// Package storeserver stands in for the platform's weight store, which bears a
// limited rate of loads.
package storeserver

import (
	"net/http"
	"sync"
	"time"
)

// Config describes what the store bears.
type Config struct {
	// Rate is the number of loads a second and Burst the number at once.
	Rate  float64
	Burst float64
	// MaxInFlight bounds loads in progress. Beyond it they get slower.
	MaxInFlight int
	// LoadTime is how long one load takes.
	LoadTime time.Duration
}

// Server implements http.Handler.
type Server struct {
	config Config

	mu       sync.Mutex
	inFlight int
	level    float64
	refilled time.Time
	loads    int
	refused  int
	outage   bool
}

// New returns a store.
func New(config Config) *Server {
	return &Server{config: config, level: config.Burst, refilled: time.Now()}
}

// SetRate changes the rate of loads that the store bears.
func (s *Server) SetRate(rate, burst float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Rate, s.config.Burst = rate, burst
	s.level = min(s.level, burst)
}

// Counts returns the loads that were served and those refused for their rate.
func (s *Server) Counts() (loads, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads, s.refused
}

// SetOutage lets the store refuse every load.
func (s *Server) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

// begin reports whether a load may start and how long it takes.
func (s *Server) begin() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.level = min(s.level+now.Sub(s.refilled).Seconds()*s.config.Rate, s.config.Burst)
	s.refilled = now
	if s.level < 1 || s.outage {
		s.refused++
		return 0, false
	}
	s.level--
	s.loads++
	s.inFlight++
	slowdown := max(float64(s.inFlight)/float64(s.config.MaxInFlight), 1)
	return time.Duration(float64(s.config.LoadTime) * slowdown), true
}

// ServeHTTP implements http.Handler. Every path is a set of weights.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	takes, allowed := s.begin()
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
	case <-time.After(takes):
		w.WriteHeader(http.StatusOK)
	case <-r.Context().Done():
	}
}
