// Package registryserver is a test server that simulates the platform's registry of
// instances. It polls the readiness endpoint of each instance, so its list lags
// behind.
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

// Instance is an entry of the registry.
type Instance struct {
	ID            string `json:"id"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	Leaving       bool   `json:"leaving"`
}

// Server implements http.Handler. Run must be running for the list to be refreshed.
type Server struct {
	refreshInterval time.Duration
	done            chan struct{}

	mu        sync.Mutex
	instances map[string]Instance
	// listed holds the instances that responded to the last poll.
	listed []Instance
}

// New returns an empty registry that polls instances at the given interval.
func New(refreshInterval time.Duration) *Server {
	return &Server{refreshInterval: refreshInterval, done: make(chan struct{}), instances: make(map[string]Instance)}
}

// Done returns a channel that is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Add adds an instance to the polled instances.
func (s *Server) Add(instance Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[instance.ID] = instance
}

// Remove removes an instance from the polled instances.
func (s *Server) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.instances, id)
}

// Run polls the instances until the context ends.
func (s *Server) Run(ctx context.Context) {
	defer close(s.done)
	client := &http.Client{Timeout: s.refreshInterval}
	ticker := time.NewTicker(s.refreshInterval)
	defer ticker.Stop()
	for {
		s.refresh(ctx, client)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) refresh(ctx context.Context, client *http.Client) {
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
