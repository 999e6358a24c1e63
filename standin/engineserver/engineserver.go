// Package engineserver is a test server that simulates a model engine. It
// simulates continuous batching, a prefix cache, request priorities, resumed
// streams and orders to load and unload weights. It crashes if it receives too
// many requests during its cold start.
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
	// Slots is the number of concurrent requests. Further requests are queued.
	Slots int
	// TokenInterval is the time between two tokens of a request that runs alone.
	// It doubles if the batch is full.
	TokenInterval time.Duration
	// PrefillTimePerToken is the time to process one uncached prompt token.
	PrefillTimePerToken time.Duration
	// MaxCachedPrefixes bounds the prefix cache.
	MaxCachedPrefixes int
	// ColdStartDuration is how long a cold start takes. The engine crashes if more
	// than ColdMaxInFlight requests are in flight during that time.
	ColdStartDuration time.Duration
	ColdMaxInFlight   int
	// ChecksFencingToken makes the engine reject orders with a stale fencing token.
	ChecksFencingToken bool
	// ReportDelay is the age of the load in reports.
	ReportDelay time.Duration
	// StoreAddress is the address of the weight store.
	StoreAddress string
	// PoisonText crashes the engine if a request body contains it.
	PoisonText string
}

// Stats counts the events in an engine that only the test can see.
type Stats struct {
	// Overcommits counts how often weights exceeded the memory.
	Overcommits int
	// ColdStartCrashes counts the crashes from overload during a cold start.
	ColdStartCrashes int
	// PoisonCrashes counts the crashes caused by a poison request.
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

	mu              sync.Mutex
	incarnation     string
	sequence        uint64
	startedAt       time.Time
	restarted       chan struct{}
	loaded          map[string]crocushollow.Weights
	loading         map[string]crocushollow.Weights
	maxFencingToken uint64
	orders          map[crocushollow.ID]bool
	running         int
	queue           []*waiter
	prefixCache     []uint64
	cacheEvents     []crocushollow.CacheEvent
	reports         []timestampedReport
	stats           Stats
}

type waiter struct {
	priority int
	granted  chan struct{}
}

type timestampedReport struct {
	at     time.Time
	report crocushollow.EngineReport
}

// New returns an engine that has completed its cold start.
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

// start resets the engine to a new incarnation. The caller holds mu or is the only
// goroutine that uses the engine.
func (s *Server) start(at time.Time) {
	s.incarnation = crocushollow.NewID().String()
	s.startedAt = at
	s.restarted = make(chan struct{})
	s.loaded = make(map[string]crocushollow.Weights)
	s.loading = make(map[string]crocushollow.Weights)
	s.orders = make(map[crocushollow.ID]bool)
	s.running = 0
	s.queue = nil
	s.prefixCache = nil
	s.reports = nil
}

// Restart aborts all requests and cold-starts the engine. Its weights are lost
// unless keepWeights is set.
func (s *Server) Restart(keepWeights bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restart(keepWeights)
}

func (s *Server) restart(keepWeights bool) {
	loaded := s.loaded
	close(s.restarted)
	s.start(time.Now())
	if keepWeights {
		s.loaded = loaded
	}
	s.sequence++
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// LoadedLabels returns the sorted labels of the loaded weights.
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

// getReport returns the current state, with a load that is ReportDelay old.
func (s *Server) getReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	now := time.Now()
	s.reports = append(s.reports, timestampedReport{at: now, report: s.report()})
	for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= s.config.ReportDelay {
		s.reports = s.reports[1:]
	}
	load := s.reports[0].report
	current := s.report()
	current.InFlight = load.InFlight
	s.cacheEvents = nil
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(current)
}

// report returns the engine's current state. The caller holds mu.
func (s *Server) report() crocushollow.EngineReport {
	report := crocushollow.EngineReport{
		Incarnation: s.incarnation,
		Sequence:    s.sequence,
		Cold:        s.isCold(),
		InFlight:    int64(s.running + len(s.queue)),
		CacheEvents: s.cacheEvents,
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
	if s.config.ChecksFencingToken && order.FencingToken < s.maxFencingToken {
		http.Error(w, "stale fencing token", http.StatusConflict)
		return
	}
	s.maxFencingToken = max(s.maxFencingToken, order.FencingToken)
	s.sequence++
	if order.Unload {
		delete(s.loaded, order.Weights.Label())
		delete(s.loading, order.Weights.Label())
		return
	}
	s.load(order.Weights)
}

// load starts loading weights in the background. The caller holds mu.
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
		s.stats.Overcommits++
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

// fetchTimeout bounds a fetch from the weight store.
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

// acquireSlot waits for a slot. It returns a channel that is closed when the engine
// restarts, or nil if the request was rejected.
func (s *Server) acquireSlot(w http.ResponseWriter, r *http.Request, model, body string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests++
	if r.Header.Get("Authorization") != "" {
		s.stats.LeakedCredentials++
	}
	w.Header().Set("X-Engine-Incarnation", s.incarnation)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if !s.hasModel(model) {
		http.Error(w, "model not loaded", http.StatusNotFound)
		return nil
	}
	if s.config.PoisonText != "" && containsText(body, s.config.PoisonText) {
		s.stats.PoisonCrashes++
		s.restart(false)
		panic(http.ErrAbortHandler)
	}
	if s.isCold() && s.running+len(s.queue) >= s.config.ColdMaxInFlight {
		s.stats.ColdStartCrashes++
		s.restart(false)
		panic(http.ErrAbortHandler)
	}
	restarted := s.restarted
	s.stats.PeakInFlight = max(s.stats.PeakInFlight, s.running+len(s.queue)+1)
	if s.running < s.config.Slots {
		s.running++
		return restarted
	}
	if !s.waitForSlot(r, restarted) {
		panic(http.ErrAbortHandler)
	}
	return restarted
}

// waitForSlot queues for a slot by priority. The caller holds mu, which is released
// during the wait. It reports whether the request got a slot.
func (s *Server) waitForSlot(r *http.Request, restarted chan struct{}) bool {
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	self := &waiter{priority: priority, granted: make(chan struct{})}
	s.queue = append(s.queue, self)
	slices.SortStableFunc(s.queue, func(a, b *waiter) int { return a.priority - b.priority })
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-self.granted:
		return true
	case <-restarted:
		return false
	case <-r.Context().Done():
		s.mu.Lock()
		s.queue = slices.DeleteFunc(s.queue, func(o *waiter) bool { return o == self })
		s.mu.Unlock()
		select {
		case <-self.granted:
			// The slot was granted concurrently. The caller must release it.
			return true
		default:
			return false
		}
	}
}

// releaseSlot passes the slot on to the next queued request or frees it.
func (s *Server) releaseSlot(restarted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restarted != restarted {
		return
	}
	if len(s.queue) > 0 {
		close(s.queue[0].granted)
		s.queue = s.queue[1:]
		return
	}
	s.running--
}

// hasModel reports whether any version of a model is loaded. The caller holds mu.
func (s *Server) hasModel(model string) bool {
	for _, weights := range s.loaded {
		if weights.Name == model {
			return true
		}
	}
	return false
}

// tokenInterval returns the time to the next token at the current batch size.
func (s *Server) tokenInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	filled := float64(s.running) / float64(s.config.Slots)
	return time.Duration(float64(s.config.TokenInterval) * (1 + filled))
}

// prefill adds the prompt's prefix to the cache and returns the time to process
// the prompt. A cached prefix takes a tenth of the time.
func (s *Server) prefill(prefix uint64, tokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := time.Duration(tokens) * s.config.PrefillTimePerToken
	if i := slices.Index(s.prefixCache, prefix); i >= 0 {
		s.prefixCache = append(slices.Delete(s.prefixCache, i, i+1), prefix)
		return full / 10
	}
	s.prefixCache = append(s.prefixCache, prefix)
	s.cacheEvents = append(s.cacheEvents, crocushollow.CacheEvent{Sequence: s.sequence, Prefix: prefix})
	if len(s.prefixCache) > s.config.MaxCachedPrefixes {
		s.prefixCache = s.prefixCache[1:]
	}
	return full
}
