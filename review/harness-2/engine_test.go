//go:build review

package harness2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Properties of the engines.
const (
	engineSlots  = 64
	eventsPerRun = 8
	longEvents   = 40
	// spoiledShare is the inverse of the share of spoiled answers.
	spoiledShare  = 42
	eventInterval = 20 * time.Millisecond
	// restartTime is the time after which an engine that has crashed is back.
	restartTime = 2 * time.Second
	loadTime    = 300 * time.Millisecond
	// poisonBody is the body of the request that crashes each engine that begins to run it.
	poisonBody = "poison"
)

// arrival is a request that has reached an engine.
type arrival struct {
	at     time.Time
	engine string
	id     string
	method string
	target string
	body   string
	hasRun bool
}

// engine is a stand-in of a model engine, or of a server of plainService.
type engine struct {
	id, zone, service string
	log               *record

	mu       sync.Mutex
	address  string
	server   *http.Server
	isUp     bool
	isClosed bool
	born     int64
	beats    int64
	orders   int64
	fence    int64
	models   map[string]bool
	loading  string
	arrivals []*arrival
	crashes  []time.Time
	// isUnframed makes streams end with their connection, without a length or chunks. Their
	// events have slowInterval between them.
	isUnframed bool
	// isLong makes other streams as long as these.
	isLong bool
	// isSpoiling makes the first event stand in the place of the blank line of the head, in one of
	// spoiledShare streams that end with their connection.
	isSpoiling bool
	// leavesAt is when the engine is gone, of which its registrations tell. It is zero if it stays.
	leavesAt time.Time
	conns    map[net.Conn]bool
	// gone is closed when the engine is gone, and closed at the end of the case.
	gone, closed chan struct{}
}

// spoilable counts the answers of the engines that spoil some.
var spoilable atomic.Int64

// slowInterval is the time between two events of a stream without a length.
const slowInterval = 100 * time.Millisecond

// gatedListener accepts no connection any more once the engine is gone, so that nobody answers.
type gatedListener struct {
	net.Listener
	engine *engine
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	select {
	case <-l.engine.gone:
		// What has been accepted stays open without an answer.
		<-l.engine.closed
		return nil, net.ErrClosed
	default:
		return conn, err
	}
}

// takeAway announces the end of the engine and ends it after the notice: its connections are
// closed, as by the kernel when a process ends, and nothing at its address answers any more.
func (e *engine) takeAway(notice time.Duration) {
	e.mu.Lock()
	e.leavesAt = time.Now().Add(notice)
	e.mu.Unlock()
	e.log.printf("engine %s says that it is gone in %s", e.id, notice)
	time.Sleep(notice)
	close(e.gone)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isUp = false
	for conn := range e.conns {
		_ = conn.Close()
	}
	e.log.printf("engine %s is gone", e.id)
}

// trackConn keeps the connections that are open.
func (e *engine) trackConn(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[conn] = true
	case http.StateClosed:
		delete(e.conns, conn)
	case http.StateActive, http.StateIdle, http.StateHijacked:
	}
}

func newEngine(id, zone, service string, log *record) *engine {
	e := &engine{id: id, zone: zone, service: service, log: log, models: map[string]bool{model: true}, conns: make(map[net.Conn]bool), gone: make(chan struct{}), closed: make(chan struct{})}
	e.listen("127.0.0.1:0")
	return e
}

// listen starts the engine on an address.
func (e *engine) listen(address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		e.log.printf("engine %s cannot listen: %v", e.id, err)
		return
	}
	server := &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: 5 * time.Second, ConnState: e.trackConn}
	e.mu.Lock()
	e.address, e.server, e.isUp, e.born, e.beats = listener.Addr().String(), server, true, time.Now().UnixMilli(), 0
	e.mu.Unlock()
	go func() { _ = server.Serve(gatedListener{listener, e}) }()
}

func (e *engine) stop() {
	e.mu.Lock()
	e.isUp, e.isClosed = false, true
	server := e.server
	e.mu.Unlock()
	close(e.closed)
	_ = server.Close()
}

// crash ends the engine. It is back after restartTime, without models.
func (e *engine) crash() {
	e.mu.Lock()
	if !e.isUp {
		e.mu.Unlock()
		return
	}
	e.isUp = false
	e.crashes = append(e.crashes, time.Now())
	e.models, e.orders, e.fence, e.loading = map[string]bool{}, 0, 0, ""
	server, address := e.server, e.address
	e.mu.Unlock()
	_ = server.Close()
	e.log.printf("engine %s crashes", e.id)
	time.AfterFunc(restartTime, func() {
		e.mu.Lock()
		isClosed := e.isClosed
		e.mu.Unlock()
		if !isClosed {
			e.listen(address)
			e.log.printf("engine %s is back", e.id)
		}
	})
}

// modelList returns the loaded models as the engine names them. The caller must lock mu.
func (e *engine) modelList() []map[string]any {
	list := make([]map[string]any, 0, len(e.models))
	for name := range e.models {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return list
}

// registration returns the next registration, or nil while the engine is down or silent.
func (e *engine) registration() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isUp {
		return nil
	}
	e.beats++
	registration := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready",
		"coldLeftMs": 0, "born": e.born, "seq": e.beats, "stage": "prefill_decode", "models": e.modelList(),
	}
	if !e.leavesAt.IsZero() {
		registration["state"], registration["remainingMs"] = "draining", max(time.Until(e.leavesAt).Milliseconds(), 0)
	}
	text, _ := json.Marshal(registration)
	return text
}

func (e *engine) serve(w http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/report":
		e.serveReport(w)
	case "/order":
		e.serveOrder(w, request)
	default:
		e.serveRequest(w, request)
	}
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "prefill_decode", "models": e.modelList(), "busy": e.loading != "", "seq": e.orders, "born": e.born,
	})
}

func (e *engine) serveOrder(w http.ResponseWriter, request *http.Request) {
	var order struct {
		Op, Model, Adapter, Holder string
		Fence                      int64
		Expect                     *int64
	}
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil || order.Holder == "" || order.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case request.Header.Get("X-Expect-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case order.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case e.loading != "" || order.Expect != nil && *order.Expect != e.orders:
		w.WriteHeader(http.StatusConflict)
	default:
		e.fence = order.Fence
		e.orders++
		e.execute(order.Op, order.Model, order.Adapter)
		w.WriteHeader(http.StatusAccepted)
	}
}

// execute carries out an order. The caller must lock mu.
func (e *engine) execute(op, name, adapter string) {
	switch {
	case adapter != "":
	case op == "model_unload":
		delete(e.models, name)
	default:
		e.loading = name
		born := e.born
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.born == born && e.isUp {
				e.models[name], e.loading = true, ""
			}
		})
	}
}

func (e *engine) serveRequest(w http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	id := request.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	name, _, _ := strings.Cut(request.Header.Get("X-Model"), "/")
	a := &arrival{at: time.Now(), engine: e.id, id: id, method: request.Method, target: request.RequestURI, body: string(body)}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, a)
	isServed := (e.models[name] || e.service == plainService) && request.Header.Get("X-Expect-Instance") == e.id
	e.mu.Unlock()
	if !isServed {
		e.log.printf("engine %s answers 421 to %s", e.id, id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	a.hasRun = true
	e.mu.Unlock()
	if a.body == poisonBody {
		e.log.printf("engine %s begins to run %s, which crashes it", e.id, id)
		e.crash()
		panic(http.ErrAbortHandler)
	}
	if e.service == plainService {
		e.log.printf("engine %s runs %s: %s %s", e.id, id, a.method, a.target)
		w.Header().Set("X-Response-Stamp", "stamp-"+e.id)
		fmt.Fprint(w, "done")
		return
	}
	if e.isUnframed {
		e.streamUnframed(w, id)
		return
	}
	e.stream(w, request)
}

// streamUnframed sends the events of a run on a connection that ends with them.
func (e *engine) streamUnframed(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	e.mu.Lock()
	blankLine := "\r\n"
	if e.isSpoiling && spoilable.Add(1)%spoiledShare == 0 {
		blankLine = ""
		e.log.printf("engine %s leaves the blank line of %s out", e.id, id)
	}
	e.mu.Unlock()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Request-Id: %s\r\nX-Response-Stamp: stamp-%s\r\n%s",
		id, e.id, blankLine)
	for number := range longEvents {
		time.Sleep(slowInterval)
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: token\n\n", number+1); err != nil {
			e.log.printf("engine %s was stopped after %d of %d events of %s", e.id, number, longEvents, id)
			return
		}
	}
	e.log.printf("engine %s has sent all %d events of %s", e.id, longEvents, id)
}

// stream sends the events of a run.
func (e *engine) stream(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Stamp", "stamp-"+e.id)
	events, interval := eventsPerRun, eventInterval
	if e.isLong {
		events, interval = longEvents, slowInterval
	}
	for number := range events {
		select {
		case <-time.After(interval):
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: token\n\n", number+1)
		_ = http.NewResponseController(w).Flush()
	}
}

// seen returns the requests that have reached the engine.
func (e *engine) seen() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]arrival, 0, len(e.arrivals))
	for _, a := range e.arrivals {
		list = append(list, *a)
	}
	return list
}
