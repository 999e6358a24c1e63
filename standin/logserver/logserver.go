// Package logserver stands in for the platform's append-only log.
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

// maxEntryBytes bounds an entry.
const maxEntryBytes = 4 << 20

// maxReadEntries and maxReadBytes bound the entries in one answer.
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

// Faults are what goes wrong with the log.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// LostResponseFraction is the fraction of appends that take effect without an
	// answer.
	LostResponseFraction float64 `json:"lost_answers"`
	// Delay holds every call back.
	Delay time.Duration `json:"delay"`
}

// Server implements http.Handler.
type Server struct {
	mux *http.ServeMux
	// appendsPerSecond bounds the rate of appends.
	appendsPerSecond float64
	retention        time.Duration

	mu      sync.Mutex
	entries []Entry
	head    uint64
	changed chan struct{}
	faults  Faults
	// allowance is the number of appends that may start now.
	allowance float64
	refilled  time.Time
	appends   uint64
}

// New returns an empty log that takes a bounded rate of appends and keeps
// entries for a time.
func New(appendsPerSecond float64, retention time.Duration) *Server {
	s := &Server{
		mux:              http.NewServeMux(),
		appendsPerSecond: appendsPerSecond,
		retention:        retention,
		changed:          make(chan struct{}),
		allowance:        appendsPerSecond,
		refilled:         time.Now(),
	}
	s.mux.HandleFunc("POST /append", s.append)
	s.mux.HandleFunc("GET /read", s.read)
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults changes what goes wrong.
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

// TruncateTail loses the latest entries, as a log that comes back from an older
// copy.
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

// pass applies the faults and reports whether the call may go on.
func (s *Server) pass(w http.ResponseWriter) bool {
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
	if err != nil || !s.pass(w) {
		return
	}
	offset, taken, lost := s.add(data)
	switch {
	case !taken:
		http.Error(w, "too many appends", http.StatusTooManyRequests)
	case lost:
		panic(http.ErrAbortHandler)
	default:
		_ = json.NewEncoder(w).Encode(map[string]uint64{"offset": offset})
	}
}

// add appends an entry if the rate allows it, and tells whether the answer is
// to be lost.
func (s *Server) add(data []byte) (offset uint64, taken, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.allowance += now.Sub(s.refilled).Seconds() * s.appendsPerSecond
	s.allowance = min(s.allowance, s.appendsPerSecond)
	s.refilled = now
	if s.allowance < 1 {
		return 0, false, false
	}
	s.allowance--
	s.appends++
	offset = s.head
	s.entries = append(s.entries, Entry{Offset: offset, Data: data, at: now})
	s.head++
	for len(s.entries) > 0 && now.Sub(s.entries[0].at) > s.retention {
		s.entries = s.entries[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, true, rand.Float64() < s.faults.LostResponseFraction
}

// segment is the answer to a read.
type segment struct {
	First   uint64  `json:"first"`
	Head    uint64  `json:"head"`
	Entries []Entry `json:"entries"`
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	if !s.pass(w) {
		return
	}
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		answer, changed := s.from(from)
		if len(answer.Entries) > 0 || answer.Head < from {
			_ = json.NewEncoder(w).Encode(answer)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			if s.pass(w) {
				answer, _ = s.from(from)
				_ = json.NewEncoder(w).Encode(answer)
			}
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) from(offset uint64) (segment, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.head - uint64(len(s.entries))
	answer := segment{First: first, Head: s.head}
	if offset >= s.head {
		return answer, s.changed
	}
	start := int(max(offset, first) - first)
	size := 0
	for _, entry := range s.entries[start:min(start+maxReadEntries, len(s.entries))] {
		if size += len(entry.Data); size > maxReadBytes && len(answer.Entries) > 0 {
			break
		}
		answer.Entries = append(answer.Entries, entry)
	}
	return answer, s.changed
}
