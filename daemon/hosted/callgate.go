package hosted

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// callGate counts the calls in flight and rejects calls once it is closed. A call ends when the
// server has written the end of its response, which is after its handler has returned.
type callGate struct {
	mu sync.Mutex
	// inFlight holds the connections with a call in flight. HTTP/1 allows one on each.
	inFlight map[net.Conn]struct{}
	isClosed bool
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// observe makes a server report the connections of its requests to the gate.
func (g *callGate) observe(server *http.Server) {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		switch state {
		case http.StateIdle, http.StateHijacked, http.StateClosed:
			g.leave(conn)
		case http.StateNew, http.StateActive:
		}
	}
}

// enter admits the call of a request. It returns false if the gate is closed.
func (g *callGate) enter(request *http.Request) bool {
	conn, _ := request.Context().Value(connKey{}).(net.Conn)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isClosed {
		return false
	}
	if g.inFlight == nil {
		g.inFlight = make(map[net.Conn]struct{})
	}
	g.inFlight[conn] = struct{}{}
	return true
}

func (g *callGate) leave(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inFlight, conn)
}

// count returns the number of calls in flight.
func (g *callGate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.inFlight)
}

// closeIfIdle closes the gate if no call is in flight, and reports whether it did.
func (g *callGate) closeIfIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isClosed = g.isClosed || len(g.inFlight) == 0
	return g.isClosed
}

// close closes the gate once no call is in flight. It returns an error if the context ends
// before.
func (g *callGate) close(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for !g.closeIfIdle() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
