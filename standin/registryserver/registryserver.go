// Package registryserver stands in for the platform's list of instances. It finds
// out about each instance by its readiness endpoint, with a lag.
package registryserver

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Instance is an instance as the platform knows it.
type Instance struct {
	ID            string `json:"id"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	Leaving       bool   `json:"leaving"`
}

// Server implements http.Handler. Done is closed when Run has returned.
type Server struct {
	lag  time.Duration
	done chan struct{}

	mu        sync.Mutex
	instances map[string]Instance
	// listed is what callers see.
	listed []Instance
}

// New returns a list that lags by the given time.
func New(lag time.Duration) *Server {
	return &Server{lag: lag, done: make(chan struct{}), instances: make(map[string]Instance)}
}

// Done is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Add puts an instance under observation.
func (s *Server) Add(instance Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[instance.ID] = instance
}

// Remove ends the observation of an instance.
func (s *Server) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.instances, id)
}

// Run observes the instances until the context ends.
func (s *Server) Run(ctx context.Context) {
	defer close(s.done)
	client := &http.Client{Timeout: s.lag}
	ticker := time.NewTicker(s.lag)
	defer ticker.Stop()
	for {
		s.observe(ctx, client)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) observe(ctx context.Context, client *http.Client) {
	s.mu.Lock()
	instances := make([]Instance, 0, len(s.instances))
	for _, instance := range s.instances {
		instances = append(instances, instance)
	}
	s.mu.Unlock()
	var listed []Instance
	for _, instance := range instances {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instance.CallerAddress+"/readyz", nil)
		if err != nil {
			continue
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		instance.Leaving = response.StatusCode != http.StatusOK
		listed = append(listed, instance)
	}
	slices.SortFunc(listed, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = listed
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(append([]Instance{}, s.listed...))
}
