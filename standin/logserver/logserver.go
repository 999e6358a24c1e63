// Package logserver is a test server that simulates the platform's append-only log.
package logserver

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxEntryBytes bounds the size of an entry.
const maxEntryBytes = 4 << 20

// maxReadEntries and maxReadBytes bound the entries in one response.
const (
	maxReadEntries = 1000
	maxReadBytes   = 8 << 20
)

// Entry is an entry of the log.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`

	at time.Time
}

// Faults are the injected faults of the log.
type Faults struct {
	// Outage rejects every request.
	Outage bool `json:"outage"`
	// LostResponseFraction is the fraction of appends that take effect but get no
	// response.
	LostResponseFraction float64 `json:"lost_answers"`
	// Delay is added to every request.
	Delay time.Duration `json:"delay"`
}

// Server implements http.Handler.
type Server struct {
	mux *http.ServeMux
	// appendsPerSecond is the rate limit of appends.
	appendsPerSecond float64
	retention        time.Duration

	mu       sync.Mutex
	entries  []Entry
	head     uint64
	appended chan struct{}
	faults   Faults
	// availableAppends is the number of appends that the rate limit allows now.
	availableAppends float64
	refilled         time.Time
	appends          uint64
}

// New returns an empty log with a rate limit for appends and a retention time for
// entries.
func New(appendsPerSecond float64, retention time.Duration) *Server {
	s := &Server{
		mux:              http.NewServeMux(),
		appendsPerSecond: appendsPerSecond,
		retention:        retention,
		appended:         make(chan struct{}),
		availableAppends: appendsPerSecond,
		refilled:         time.Now(),
	}
	s.mux.HandleFunc("POST /append", s.append)
	s.mux.HandleFunc("GET /read", s.read)
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Appends returns the number of appends that took effect.
func (s *Server) Appends() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// TruncateTail drops the latest entries, like a log that is restored from an older
// backup.
func (s *Server) TruncateTail(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count = min(count, len(s.entries))
	s.entries = s.entries[:len(s.entries)-count]
	s.head -= uint64(count)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

// applyFaults delays or rejects a request and reports whether it may continue.
func (s *Server) applyFaults(w http.ResponseWriter) bool {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEntryBytes))
	if err != nil || !s.applyFaults(w) {
		return
	}
	offset, accepted, lost := s.appendEntry(data)
	switch {
	case !accepted:
		http.Error(w, "too many appends", http.StatusTooManyRequests)
	case lost:
		panic(http.ErrAbortHandler)
	default:
		_ = json.NewEncoder(w).Encode(map[string]uint64{"offset": offset})
	}
}

// appendEntry appends an entry if the rate limit allows it. lost reports whether
// the response must be dropped.
func (s *Server) appendEntry(data []byte) (offset uint64, accepted, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.availableAppends += now.Sub(s.refilled).Seconds() * s.appendsPerSecond
	s.availableAppends = min(s.availableAppends, s.appendsPerSecond)
	s.refilled = now
	if s.availableAppends < 1 {
		return 0, false, false
	}
	s.availableAppends--
	s.appends++
	offset = s.head
	s.entries = append(s.entries, Entry{Offset: offset, Data: data, at: now})
	s.head++
	for len(s.entries) > 0 && now.Sub(s.entries[0].at) > s.retention {
		s.entries = s.entries[1:]
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return offset, true, rand.Float64() < s.faults.LostResponseFraction
}

// readResponse is the response to a read.
type readResponse struct {
	First   uint64  `json:"first"`
	Head    uint64  `json:"head"`
	Entries []Entry `json:"entries"`
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w) {
		return
	}
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		response, appended := s.readFrom(from)
		if len(response.Entries) > 0 || response.Head < from {
			_ = json.NewEncoder(w).Encode(response)
			return
		}
		select {
		case <-appended:
		case <-deadline.C:
			if s.applyFaults(w) {
				response, _ = s.readFrom(from)
				_ = json.NewEncoder(w).Encode(response)
			}
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) readFrom(offset uint64) (readResponse, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.head - uint64(len(s.entries))
	response := readResponse{First: first, Head: s.head}
	if offset >= s.head {
		return response, s.appended
	}
	start := int(max(offset, first) - first)
	size := 0
	for _, entry := range s.entries[start:min(start+maxReadEntries, len(s.entries))] {
		if size += len(entry.Data); size > maxReadBytes && len(response.Entries) > 0 {
			break
		}
		response.Entries = append(response.Entries, entry)
	}
	return response, s.appended
}
