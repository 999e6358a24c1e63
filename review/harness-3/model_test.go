//go:build review

package player

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// modelMB is the size of the weights of each model, and engineMB the memory of an engine.
	modelMB  = 65500
	engineMB = 200000
	// loadTime is the time of a load from an engine's own disk, storeLoadTime from the store.
	loadTime      = 1200 * time.Millisecond
	storeLoadTime = 5800 * time.Millisecond
	// prefillTime is the time before the first event.
	prefillTime = 70 * time.Millisecond
	// silentHeartbeats is the number of heartbeat intervals after which the entry of a silent
	// engine is removed.
	silentHeartbeats = 3
)

// modelHost is the place of a model engine: an address, a disk, and the process that runs there.
type modelHost struct {
	name, service, zone, address string
	store                        *store
	record                       *record
	// backAfter is the time from a crash to the next start.
	backAfter time.Duration
	// version is that of its software. events and interval describe its streams.
	version  string
	events   int
	interval time.Duration
	// crashingPart is the part of a prompt on which a process ends that begins an answer.
	crashingPart string

	mu      sync.Mutex
	starts  int
	onDisk  []string
	crashes []time.Time
	// isLeaving means that the process says that it leaves, and isOver that none runs any more.
	isLeaving, isOver bool
	process           *modelProcess
}

// modelProcess is one incarnation of a model engine, with an ID of its own.
type modelProcess struct {
	host   *modelHost
	id     string
	born   int64
	server *http.Server
	ended  chan struct{}
	// wake makes it register at once.
	wake chan struct{}

	mu       sync.Mutex
	held     []string
	loading  string
	seq      int64
	fence    int64
	reported int64
	inFlight int
}

// start starts a process that holds models.
func (h *modelHost) start(models []string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isOver {
		return nil
	}
	listener, err := net.Listen("tcp", h.address)
	if err != nil {
		return err
	}
	h.starts++
	p := &modelProcess{
		host: h, id: fmt.Sprintf("i-%s%02d", h.name, h.starts), born: time.Now().UnixMilli(),
		ended: make(chan struct{}), wake: make(chan struct{}, 1), held: slices.Clone(models),
	}
	h.onDisk = append(h.onDisk, models...)
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = p.server.Serve(listener) }()
	h.process = p
	h.record.printf("engine %s starts with models %v", p.id, models)
	go p.register()
	return nil
}

// drain makes the process say that it leaves.
func (h *modelHost) drain() {
	h.mu.Lock()
	p := h.process
	h.isLeaving = true
	h.mu.Unlock()
	h.record.printf("engine %s leaves", p.id)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// crash ends a process with all its connections. Another one is back after some seconds.
func (h *modelHost) crash(p *modelProcess, cause string) {
	h.mu.Lock()
	if h.process != p || p == nil {
		h.mu.Unlock()
		return
	}
	h.process = nil
	h.crashes = append(h.crashes, time.Now())
	h.mu.Unlock()
	h.record.printf("engine %s crashes on %s", p.id, cause)
	close(p.ended)
	_ = p.server.Close()
	time.AfterFunc(silentHeartbeats*heartbeatInterval, func() { h.store.Delete("keyed.servers", p.id) })
	time.AfterFunc(h.backAfter, func() {
		if err := h.start(nil); err != nil {
			h.record.printf("engine at %s does not start: %v", h.address, err)
		}
	})
}

// close ends the host for good.
func (h *modelHost) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isOver = true
	if h.process != nil {
		close(h.process.ended)
		_ = h.process.server.Close()
		h.process = nil
	}
}

func (h *modelHost) crashTimes() []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.crashes)
}

// status returns what a process says of its models. The caller holds mu.
func (p *modelProcess) status() map[string]any {
	models := make([]map[string]any, 0, len(p.held))
	for _, name := range p.held {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	p.host.mu.Lock()
	defer p.host.mu.Unlock()
	return map[string]any{
		"stage": "prefill_decode", "models": models, "busy": p.loading != "", "born": p.born,
		"available": map[string]any{"inMemory": []string{}, "onDisk": p.host.onDisk},
	}
}

func (h *modelHost) state() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isLeaving {
		return "draining"
	}
	return "ready"
}

func (p *modelProcess) register() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		p.mu.Lock()
		p.reported++
		entry := p.status()
		entry["service"], entry["address"], entry["zone"], entry["version"] = p.host.service, p.host.address, p.host.zone, p.host.version
		entry["slots"], entry["state"], entry["coldLeftMs"], entry["seq"] = 64, p.host.state(), 0, p.reported
		p.mu.Unlock()
		text, _ := json.Marshal(entry)
		p.host.store.put("keyed.servers", p.id, text)
		select {
		case <-ticker.C:
		case <-p.wake:
		case <-p.ended:
			return
		}
	}
}

func (p *modelProcess) serve(w http.ResponseWriter, request *http.Request) {
	header := w.Header()
	id := request.Header.Get("X-Request-Id")
	if id != "" {
		header.Set("X-Request-Id", id)
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != p.id {
		p.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/report":
		p.mu.Lock()
		report := p.status()
		report["seq"], report["queueDepth"], report["inflight"] = p.seq, 0, p.inFlight
		report["kvUsed"], report["kvTotal"], report["handles"] = 0, 141146, 0
		p.mu.Unlock()
		header.Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
	case "/order":
		w.WriteHeader(p.order(request))
	default:
		p.generate(w, request, id)
	}
}

func (p *modelProcess) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// order carries out an order and returns the status.
func (p *modelProcess) order(request *http.Request) int {
	var o struct {
		Op     string `json:"op"`
		Model  string `json:"model"`
		Holder string `json:"holder"`
		Expect *int64 `json:"expect"`
		Fence  *int64 `json:"fence"`
	}
	if err := json.NewDecoder(request.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == nil {
		return http.StatusBadRequest
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	holds := slices.Contains(p.held, o.Model)
	switch {
	case *o.Fence < p.fence:
		return http.StatusPreconditionFailed
	case p.loading != "" || o.Expect != nil && *o.Expect != p.seq:
		return http.StatusConflict
	case o.Op == "model_load" && holds || o.Op == "model_unload" && !holds:
		return http.StatusOK
	}
	p.fence = *o.Fence
	p.seq++
	p.host.record.printf("engine %s is ordered by %s to %s %s", p.id, o.Holder, o.Op, o.Model)
	if o.Op == "model_unload" {
		p.held = slices.DeleteFunc(p.held, func(name string) bool { return name == o.Model })
		return http.StatusAccepted
	}
	if (len(p.held)+1)*modelMB > engineMB {
		go p.host.crash(p, "an order beyond its memory")
		return http.StatusAccepted
	}
	p.loading = o.Model
	duration := storeLoadTime
	p.host.mu.Lock()
	if slices.Contains(p.host.onDisk, o.Model) {
		duration = loadTime
	} else {
		p.host.onDisk = append(p.host.onDisk, o.Model)
	}
	p.host.mu.Unlock()
	time.AfterFunc(duration, func() { p.endLoad(o.Model) })
	return http.StatusAccepted
}

func (p *modelProcess) endLoad(model string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held, p.loading = append(p.held, model), ""
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// generate sends a stream of events. The process ends when it begins one on the crashing part.
func (p *modelProcess) generate(w http.ResponseWriter, request *http.Request, id string) {
	model := request.Header.Get("X-Model")
	p.mu.Lock()
	isHeld := slices.Contains(p.held, model)
	if isHeld {
		p.inFlight++
	}
	p.mu.Unlock()
	if !isHeld {
		p.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.inFlight--
	}()
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	p.host.record.printf("engine %s (%s) runs %s after event %d", p.id, p.host.version, id, after)
	w.Header().Set("X-Response-Stamp", "stamp-"+p.id)
	w.Header().Set("Content-Type", "text/event-stream")
	wait := prefillTime
	for event := after + 1; event <= p.host.events; event++ {
		select {
		case <-time.After(wait):
		case <-request.Context().Done():
			return
		case <-p.ended:
			panic(http.ErrAbortHandler)
		}
		wait = p.host.interval
		if part := p.host.crashingPart; part != "" && strings.Contains(request.Header.Get("X-Prompt-Prefix"), part+":") {
			p.host.crash(p, "request "+id)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", event, p.host.version, id)
		_ = http.NewResponseController(w).Flush()
	}
}
