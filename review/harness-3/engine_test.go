//go:build review

package player

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is the time between two registrations of an engine (heartbeatMs).
const heartbeatInterval = 1200 * time.Millisecond

// engine is a stand-in of a server of the operators. Its process may end and start again under
// the same ID and address.
type engine struct {
	id, service, zone, address string
	store                      *store
	// events and interval describe its streams.
	events   int
	interval time.Duration
	record   *record

	mu      sync.Mutex
	process *process
}

// writeRetryDelay is the time between two tries of an engine to write to the store.
const writeRetryDelay = 200 * time.Millisecond

// process is one incarnation of an engine.
type process struct {
	engine        *engine
	version       string
	born          int64
	server        *http.Server
	ended         context.Context
	end           context.CancelFunc
	registrations int64
}

// newEngine returns an engine that is not running, with an address of its own.
func newEngine(id, service, zone string, store *store, rec *record) *engine {
	return &engine{
		id: id, service: service, zone: zone, address: freeAddress(), store: store, record: rec,
		events: 8, interval: 350 * time.Millisecond,
	}
}

// start starts a process with a version of the software. It registers at once.
func (e *engine) start(version string) error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	p := &process{engine: e, version: version, born: time.Now().UnixMilli()}
	p.ended, p.end = context.WithCancel(context.Background())
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = p.server.Serve(listener) }()
	e.mu.Lock()
	e.process = p
	e.mu.Unlock()
	e.record.printf("engine %s starts with version %s", e.id, version)
	go p.register()
	return nil
}

// crash ends the process with all its connections.
func (e *engine) crash() {
	e.mu.Lock()
	p := e.process
	e.process = nil
	e.mu.Unlock()
	if p != nil {
		e.record.printf("engine %s (%s) crashes", e.id, p.version)
		p.end()
		_ = p.server.Close()
	}
}

func (p *process) register() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for p.ended.Err() == nil {
		p.registrations++
		text, _ := json.Marshal(map[string]any{
			"service": p.engine.service, "address": p.engine.address, "zone": p.engine.zone, "version": p.version,
			"slots": 64, "state": "ready", "coldLeftMs": 0, "born": p.born, "seq": p.registrations, "models": []string{},
		})
		for !p.engine.store.put("keyed.servers", p.engine.id, text) && p.ended.Err() == nil {
			time.Sleep(writeRetryDelay)
		}
		select {
		case <-ticker.C:
		case <-p.ended.Done():
		}
	}
}

func (p *process) serve(w http.ResponseWriter, request *http.Request) {
	header := w.Header()
	id := request.Header.Get("X-Request-Id")
	if id != "" {
		header.Set("X-Request-Id", id)
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != p.engine.id {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/report":
		header.Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"models": []string{}, "busy": false, "seq": 0, "born": p.born})
	case "/health":
		header.Set("X-Instance-Id", p.engine.id)
	default:
		p.stream(w, request, id)
	}
}

// stream sends the events of a stream, from the one after Last-Event-Id on.
func (p *process) stream(w http.ResponseWriter, request *http.Request, id string) {
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	p.engine.record.printf("engine %s (%s) runs %s after event %d", p.engine.id, p.version, id, after)
	w.Header().Set("X-Response-Stamp", "stamp-"+p.engine.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := after + 1; event <= p.engine.events; event++ {
		select {
		case <-time.After(p.engine.interval):
		case <-request.Context().Done():
			return
		case <-p.ended.Done():
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", event, p.version, id)
		_ = http.NewResponseController(w).Flush()
	}
}
