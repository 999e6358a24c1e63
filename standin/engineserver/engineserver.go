// Package engineserver stands in for a model engine: it batches continuously,
// caches prompt prefixes, honours priorities, resumes streams, loads and
// unloads weights on orders and falls over when it gets too much during its cold
// start.
package engineserver

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/crocushollow/crocushollow"
)

// Config describes an engine.
type Config struct {
	MemoryBytes int64
	// Slots is the number of requests that run at once; others wait.
	Slots int
	// TokenInterval is the time between two tokens of a request that runs alone.
	// It doubles with a full batch.
	TokenInterval time.Duration
	// PrefillTimePerToken is the time to read one prompt token that is not cached.
	PrefillTimePerToken time.Duration
	// MaxCachedPrefixes bounds the prefix cache.
	MaxCachedPrefixes int
	// ColdStartDuration is how long a cold start takes and ColdLimit how many requests
	// the engine bears meanwhile.
	ColdStartDuration time.Duration
	ColdMaxInFlight   int
	// ChecksFencingToken lets the engine refuse old fencing numbers.
	ChecksFencingToken bool
	// ReportDelay is how old reports are.
	ReportDelay time.Duration
	// StoreAddress is where weights are loaded from.
	StoreAddress string
	// PoisonText crashes the engine when a body contains it.
	PoisonText string
}

// Stats are what a judge sees of an engine from its inside.
type Stats struct {
	// Overcommits counts the times that weights exceeded the memory.
	Overcommits int
	// ColdStartCrashes counts the falls under load during a cold start.
	ColdStartCrashes int
	// PoisonCrashes counts the crashes by a poisonous request.
	PoisonCrashes int
	// LeakedCredentials counts the requests that carried a caller's credentials.
	LeakedCredentials int
	Requests          int
	PeakInFlight      int
}

// Server implements http.Handler.
type Server struct {
	config Config
	mux    *http.ServeMux

	mu           sync.Mutex
	incarnation  string
	sequence     uint64
	startedAt    time.Time
	restarted    chan struct{}
	loaded       map[string]crocushollow.Weights
	loading      map[string]crocushollow.Weights
	fencing      uint64
	orders       map[crocushollow.ID]bool
	running      int
	waiting      []*waiter
	cache        []uint64
	events       []crocushollow.CacheEvent
	reports      []timedReport
	observations Stats
}

type waiter struct {
	priority int
	granted  chan struct{}
}

type timedReport struct {
	at     time.Time
	report crocushollow.EngineReport
}

// New returns an engine that has long been warm.
func New(config Config) *Server {
	s := &Server{config: config, mux: http.NewServeMux()}
	s.start(time.Now().Add(-config.ColdStartDuration))
	s.mux.HandleFunc("GET /control/report", s.getReport)
	s.mux.HandleFunc("POST /control/orders", s.postOrder)
	s.mux.HandleFunc("POST /v1/chat/completions", s.generate)
	s.mux.HandleFunc("POST /v1/completions", s.generate)
	s.mux.HandleFunc("POST /v1/embeddings", s.embed)
	return s
}

// start begins a new life of the engine. The caller holds mu, or is alone.
func (s *Server) start(at time.Time) {
	s.incarnation = crocushollow.NewID().String()
	s.startedAt = at
	s.restarted = make(chan struct{})
	s.loaded = make(map[string]crocushollow.Weights)
	s.loading = make(map[string]crocushollow.Weights)
	s.orders = make(map[crocushollow.ID]bool)
	s.running = 0
	s.waiting = nil
	s.cache = nil
	s.reports = nil
}

// Restart ends every request and starts the engine cold, with its weights gone
// unless keep is set.
func (s *Server) Restart(keep bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restart(keep)
}

func (s *Server) restart(keep bool) {
	loaded := s.loaded
	close(s.restarted)
	s.start(time.Now())
	if keep {
		s.loaded = loaded
	}
	s.sequence++
}

// Stats returns what happened in the engine so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.observations
}

// LoadedLabels returns the labels of the weights that serve requests.
func (s *Server) LoadedLabels() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	labels := make([]string, 0, len(s.loaded))
	for label := range s.loaded {
		labels = append(labels, label)
	}
	slices.Sort(labels)
	return labels
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) isCold() bool { return time.Since(s.startedAt) < s.config.ColdStartDuration }

// getReport answers with the state as it was a while ago.
func (s *Server) getReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	now := time.Now()
	s.reports = append(s.reports, timedReport{at: now, report: s.report()})
	for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= s.config.ReportDelay {
		s.reports = s.reports[1:]
	}
	load := s.reports[0].report
	current := s.report()
	current.InFlight = load.InFlight
	s.events = nil
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(current)
}

// report describes the engine. The caller holds mu.
func (s *Server) report() crocushollow.EngineReport {
	report := crocushollow.EngineReport{
		Incarnation: s.incarnation,
		Sequence:    s.sequence,
		Cold:        s.isCold(),
		InFlight:    int64(s.running + len(s.waiting)),
		CacheEvents: s.events,
	}
	for _, weights := range s.loaded {
		report.Loaded = append(report.Loaded, weights)
		report.MemoryUsedBytes += weights.MemoryBytes
	}
	for _, weights := range s.loading {
		report.Loading = append(report.Loading, weights)
		report.MemoryUsedBytes += weights.MemoryBytes
	}
	return report
}

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var order crocushollow.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.ChecksFencingToken && order.FencingToken < s.fencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	s.fencing = max(s.fencing, order.FencingToken)
	s.sequence++
	if order.Unload {
		delete(s.loaded, order.Weights.Label())
		delete(s.loading, order.Weights.Label())
		return
	}
	s.load(order.Weights)
}

// load begins to load weights. The caller holds mu.
func (s *Server) load(weights crocushollow.Weights) {
	label := weights.Label()
	if _, isLoaded := s.loaded[label]; isLoaded {
		return
	}
	if _, isLoading := s.loading[label]; isLoading {
		return
	}
	s.loading[label] = weights
	if s.report().MemoryUsedBytes > s.config.MemoryBytes {
		s.observations.Overcommits++
	}
	restarted := s.restarted
	go func() {
		fetched := s.fetch(weights)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.restarted != restarted {
			return
		}
		if _, isWanted := s.loading[label]; !isWanted {
			return
		}
		delete(s.loading, label)
		if fetched {
			s.loaded[label] = weights
		}
		s.sequence++
	}()
}

// fetchTimeout bounds a load from the store.
const fetchTimeout = 30 * time.Second

func (s *Server) fetch(weights crocushollow.Weights) bool {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	target := "http://" + s.config.StoreAddress + "/weights/" + weights.Label()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// enter waits for a slot. It returns the life of the engine that the slot
// belongs to, or nil if the request has been refused.
func (s *Server) enter(w http.ResponseWriter, r *http.Request, model, body string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observations.Requests++
	if r.Header.Get("Authorization") != "" {
		s.observations.LeakedCredentials++
	}
	w.Header().Set("X-Engine-Incarnation", s.incarnation)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if !s.holds(model) {
		http.Error(w, "model not loaded", http.StatusNotFound)
		return nil
	}
	if s.config.PoisonText != "" && contains(body, s.config.PoisonText) {
		s.observations.PoisonCrashes++
		s.restart(false)
		panic(http.ErrAbortHandler)
	}
	if s.isCold() && s.running+len(s.waiting) >= s.config.ColdMaxInFlight {
		s.observations.ColdStartCrashes++
		s.restart(false)
		panic(http.ErrAbortHandler)
	}
	restarted := s.restarted
	s.observations.PeakInFlight = max(s.observations.PeakInFlight, s.running+len(s.waiting)+1)
	if s.running < s.config.Slots {
		s.running++
		return restarted
	}
	if !s.wait(r, restarted) {
		panic(http.ErrAbortHandler)
	}
	return restarted
}

// wait queues for a slot by priority. The caller holds mu, which is released
// meanwhile.
func (s *Server) wait(r *http.Request, restarted chan struct{}) bool {
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	own := &waiter{priority: priority, granted: make(chan struct{})}
	s.waiting = append(s.waiting, own)
	slices.SortStableFunc(s.waiting, func(a, b *waiter) int { return a.priority - b.priority })
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-own.granted:
		return true
	case <-restarted:
		return false
	case <-r.Context().Done():
		s.mu.Lock()
		s.waiting = slices.DeleteFunc(s.waiting, func(o *waiter) bool { return o == own })
		s.mu.Unlock()
		select {
		case <-own.granted:
			// The slot was granted at the same moment and has to be freed.
			return true
		default:
			return false
		}
	}
}

// leave frees a slot.
func (s *Server) leave(restarted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restarted != restarted {
		return
	}
	if len(s.waiting) > 0 {
		close(s.waiting[0].granted)
		s.waiting = s.waiting[1:]
		return
	}
	s.running--
}

// holds reports whether any version of a model is loaded. The caller holds mu.
func (s *Server) holds(model string) bool {
	for _, weights := range s.loaded {
		if weights.Name == model {
			return true
		}
	}
	return false
}

// tokenTime returns the time to the next token at the current batch size.
func (s *Server) tokenTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	filled := float64(s.running) / float64(s.config.Slots)
	return time.Duration(float64(s.config.TokenInterval) * (1 + filled))
}

// readPrompt returns the time to read a prompt and puts its prefix into the
// cache.
func (s *Server) readPrompt(prefix uint64, tokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := time.Duration(tokens) * s.config.PrefillTimePerToken
	if i := slices.Index(s.cache, prefix); i >= 0 {
		s.cache = append(slices.Delete(s.cache, i, i+1), prefix)
		return full / 10
	}
	s.cache = append(s.cache, prefix)
	s.events = append(s.events, crocushollow.CacheEvent{Sequence: s.sequence, Prefix: prefix})
	if len(s.cache) > s.config.MaxCachedPrefixes {
		s.cache = s.cache[1:]
	}
	return full
}
