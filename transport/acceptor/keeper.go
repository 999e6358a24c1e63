package acceptor

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Cause is why a Keeper closed a connection.
type Cause string

// The causes, in the order in which connections are closed.
const (
	// NoRequest means that the first head on the connection was not complete.
	NoRequest Cause = "no_request"
	// SlowBody means that a body was being read on the connection.
	SlowBody Cause = "slow_body"
	// Idle means that no request was on the connection.
	Idle Cause = "idle"
	// Full means that requests were being served on all other connections.
	Full Cause = "full"
)

// KeeperConfig configures a Keeper.
type KeeperConfig struct {
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	// OnClose receives the cause of each connection above the maximum, before it is closed.
	OnClose func(cause Cause)
}

// Keeper bounds the number of connections of an HTTP server. A connection above the maximum
// takes the place of one on which no request is being served. It is safe for concurrent use.
type Keeper struct {
	config KeeperConfig

	mu    sync.Mutex
	conns map[net.Conn]*kept
	// opening, reading and idle hold the connections without a complete first head, those with
	// a body that is being read and those without a request. The first has waited longest.
	opening, reading, idle list.List
}

// kept is a connection. It is in no list while a request is being served on it.
type kept struct {
	conn    net.Conn
	list    *list.List
	element *list.Element
}

// NewKeeper returns a keeper without connections.
func NewKeeper(config KeeperConfig) *Keeper {
	return &Keeper{config: config, conns: make(map[net.Conn]*kept)}
}

// keptKey is the key of a request's connection in its context.
type keptKey struct{}

// Observe makes a server report its connections to the keeper. The hooks that the server has
// are still called.
func (k *Keeper) Observe(server *http.Server) {
	connContext, connState := server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return context.WithValue(ctx, keptKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if connState != nil {
			connState(conn, state)
		}
		k.changeState(conn, state)
	}
}

func (k *Keeper) changeState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		k.add(conn)
	case http.StateActive:
		k.move(conn, nil)
	case http.StateIdle:
		k.move(conn, &k.idle)
	case http.StateHijacked, http.StateClosed:
		k.mu.Lock()
		defer k.mu.Unlock()
		k.remove(conn)
	}
}

// add adds a connection and closes another one, or itself, if there are too many.
func (k *Keeper) add(conn net.Conn) {
	k.mu.Lock()
	victim, cause := conn, Full
	isFull := len(k.conns) >= k.config.MaxConnections
	if isFull {
		if other, otherCause := k.dispensable(); other != nil {
			victim, cause = other, otherCause
		}
		k.remove(victim)
	}
	if !isFull || victim != conn {
		added := &kept{conn: conn}
		k.conns[conn] = added
		added.place(&k.opening)
	}
	k.mu.Unlock()
	if isFull {
		k.config.OnClose(cause)
		_ = victim.Close()
	}
}

// dispensable returns the connection that is closed next for another one, or nil.
func (k *Keeper) dispensable() (net.Conn, Cause) {
	for _, candidate := range []struct {
		list  *list.List
		cause Cause
	}{{&k.opening, NoRequest}, {&k.reading, SlowBody}, {&k.idle, Idle}} {
		if front := candidate.list.Front(); front != nil {
			conn, _ := front.Value.(net.Conn)
			return conn, candidate.cause
		}
	}
	return nil, Full
}

// move moves a connection to the end of a list, or out of all lists.
func (k *Keeper) move(conn net.Conn, target *list.List) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if moved := k.conns[conn]; moved != nil {
		moved.place(target)
	}
}

func (k *Keeper) remove(conn net.Conn) {
	if removed := k.conns[conn]; removed != nil {
		removed.place(nil)
		delete(k.conns, conn)
	}
}

func (c *kept) place(target *list.List) {
	if target != nil && c.list == target {
		target.MoveToBack(c.element)
		return
	}
	if c.list != nil {
		c.list.Remove(c.element)
	}
	c.list, c.element = target, nil
	if target != nil {
		c.element = target.PushBack(c.conn)
	}
}

// Len returns the number of open connections.
func (k *Keeper) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.conns)
}

// BodyProgressed records that bytes of a request's body have arrived or are awaited.
func (k *Keeper) BodyProgressed(ctx context.Context) {
	if conn, ok := ctx.Value(keptKey{}).(net.Conn); ok {
		k.move(conn, &k.reading)
	}
}

// BodyEnded records that no more of a request's body is read.
func (k *Keeper) BodyEnded(ctx context.Context) {
	if conn, ok := ctx.Value(keptKey{}).(net.Conn); ok {
		k.move(conn, nil)
	}
}

// IgnoreBodies returns a handler of requests that need no body. If a request has one, its
// connection is closed after the response, and the body is not read.
func IgnoreBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.ContentLength != 0 {
			CloseUnread(w)
		}
		next.ServeHTTP(w, request)
	})
}

// CloseUnread makes a server close the connection after the response, although the body of the
// request has not been read. Without the deadline the server would wait for the body.
func CloseUnread(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}
