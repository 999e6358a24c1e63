package hosted

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// shutDown shuts the instance down gracefully: it removes the instance from service
// discovery, serves new requests for drainDelay, and then waits for the requests in
// flight.
func (i *Instance) shutDown(ctx context.Context, callers *http.Server, listener net.Listener) {
	i.draining.Store(true)
	i.logger.Info().Msg("shutdown begins")
	i.gossiper.Broadcast(i.buildHeartbeat())
	ctx, cancel := context.WithTimeout(ctx, time.Duration(i.bounds.Load().Grace)-killMargin)
	defer cancel()
	timer := time.NewTimer(drainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	// The server drops requests that it reads after its Shutdown has begun. The
	// delay lets it first read the requests on connections accepted until now.
	_ = listener.Close()
	time.Sleep(requestReadDelay)
	if err := callers.Shutdown(ctx); err != nil {
		i.logger.Warn().Err(err).Msg("grace period expired with requests in flight")
	}
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// tcpKeepAlive detects dead connections of callers.
var tcpKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: tcpKeepAlive}
	return config.Listen(ctx, "tcp", address)
}

// listenAll opens a listener for each server. If one fails, it closes the others and
// returns the error.
func listenAll(ctx context.Context, servers map[string]*http.Server) (map[*http.Server]net.Listener, error) {
	listeners := make(map[*http.Server]net.Listener, len(servers))
	for address, server := range servers {
		listener, err := listen(ctx, address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, err
		}
		listeners[server] = listener
	}
	return listeners, nil
}

// serve runs a server. It returns nil once the server is shut down or the listener is
// closed.
func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
