package hosted

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// shutDown leaves the directory, serves callers that still come, and lets
// requests in flight end.
func (i *Instance) shutDown(ctx context.Context, callers *http.Server, listener net.Listener) {
	i.leaving.Store(true)
	i.logger.Info().Msg("shutdown begins")
	i.gossiper.Broadcast(i.compose())
	ctx, cancel := context.WithTimeout(ctx, time.Duration(i.bounds.Load().Grace)-stopMargin)
	defer cancel()
	timer := time.NewTimer(drainTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	// The server drops requests that it reads after its shutdown has begun, so
	// that those of connections accepted until now are read before.
	_ = listener.Close()
	time.Sleep(settleTime)
	if err := callers.Shutdown(ctx); err != nil {
		i.logger.Warn().Err(err).Msg("requests cut at the end of the grace period")
	}
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       keepAliveIdle,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// keepAlive finds callers' connections that have gone silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	return config.Listen(ctx, "tcp", address)
}

// listenAll opens the listener of each server, or none.
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

// serve serves until the server is shut down or its listener closed.
func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
