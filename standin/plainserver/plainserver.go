// Package plainserver is a test server that simulates a plain service, such as one
// that accepts orders. It records every execution.
package plainserver

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Execution is a request that the service has executed.
type Execution struct {
	// Key is the idempotency key.
	Key       string
	Workspace string
	Body      string
	// LeakedCredentials is set if the request carried a caller's credentials.
	LeakedCredentials bool
	Header            http.Header
}

// Faults are the injected faults of the service.
type Faults struct {
	// LostResponseFraction is the fraction of requests that are executed but get no
	// response.
	LostResponseFraction float64
	// Delay is the execution time of a request.
	Delay time.Duration
}

// Server implements http.Handler.
type Server struct {
	mu         sync.Mutex
	executions []Execution
	faults     Faults
}

// New returns a service without faults.
func New() *Server { return &Server{} }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Executions returns the executed requests in order.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// response is the body of a response.
type response struct {
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
	count, faults := len(s.executions), s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	if rand.Float64() < faults.LostResponseFraction {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	_ = json.NewEncoder(w).Encode(response{
		Accepted: true, Execution: count, Workspace: execution.Workspace, Echo: execution.Body,
	})
}
