package messenger

import (
	"context"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server serves the RPCs of peers.
type Server struct {
	server *drpcserver.Server
	done   chan struct{}
}

// NewServer returns a server for a handler.
func NewServer(handler Handler) (*Server, error) {
	mux := drpcmux.New()
	if err := mux.Register(&service{handler: handler}, newServiceDescription()); err != nil {
		return nil, err
	}
	return &Server{server: drpcserver.New(mux), done: make(chan struct{})}, nil
}

// Done returns a channel that is closed when Serve returns.
func (s *Server) Done() <-chan struct{} { return s.done }

// Serve accepts connections until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	defer close(s.done)
	return s.server.Serve(ctx, countingListener{Listener: listener})
}

// countingListener counts the bytes of accepted connections.
type countingListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn}, nil
}
