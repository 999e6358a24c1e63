// Package plainserver stands in for a plain service, such as one that takes
// orders. It counts every execution.
package plainserver

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Execution is one call that the service has run.
type Execution struct {
	// Key is the caller's idempotency key.
	Key       string
	Workspace string
	Body      string
	// LeakedCredentials tells that the call carried a caller's credentials.
	LeakedCredentials bool
	Header            http.Header
}

// Faults are what goes wrong with the service.
type Faults struct {
	// LostResponseFraction is the fraction of calls that run without an answer.
	LostResponseFraction float64
	// Delay is how long a call takes.
	Delay time.Duration
}

// Server implements http.Handler.
type Server struct {
	mu         sync.Mutex
	executions []Execution
	faults     Faults
}

// New returns a service.
func New() *Server { return &Server{} }

// SetFaults changes what goes wrong.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Executions returns the calls that were run.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// answer is the body of an answer.
type answer struct {
	Accepted  bool   `json:"accepted"`
	Execution int    `json:"execution"`
	Workspace string `json:"workspace"`
	Echo      string `json:"echo"`
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	execution := Execution{
		Key:               r.Header.Get("Idempotency-Key"),
		Workspace:         r.Header.Get("X-Workspace"),
		Body:              string(body),
		LeakedCredentials: r.Header.Get("Authorization") != "",
		Header:            r.Header.Clone(),
	}
	s.mu.Lock()
	s.executions = append(s.executions, execution)
	number, faults := len(s.executions), s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	if rand.Float64() < faults.LostResponseFraction {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	_ = json.NewEncoder(w).Encode(answer{
		Accepted: true, Execution: number, Workspace: execution.Workspace, Echo: execution.Body,
	})
}
