package hosted

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/crocushollow/crocushollow/protocol/proxy"
	"github.com/crocushollow/crocushollow/transport/acceptor"
)

// shutDown shuts the instance down gracefully: it removes the instance from service
// discovery, accepts new connections for drainDelay, and then waits for the calls in
// flight. Calls that arrive meanwhile are served if they will end in time. Those that arrive
// last are rejected for lingerTime: http.Server.Shutdown would drop them.
func (i *Instance) shutDown(ctx context.Context, listener net.Listener) {
	now := time.Now()
	grace := time.Duration(i.bounds.Load().Grace)
	endsAt := now.Add(grace - killMargin)
	ctx, cancel := context.WithDeadline(ctx, endsAt)
	defer cancel()
	i.shutdown.Store(&shutdownTimes{
		beganAt: now, callersMoveBy: now.Add(addressLifetime - signalDelay), earlyUntil: now.Add(grace / earlyDivisor),
		runsUntil: now.Add(grace - max(killMargin, signalDelay)), endsAt: endsAt,
	})
	i.draining.Store(true)
	i.logger.Info().Msg("shutdown begins")
	i.gossiper.Broadcast(i.buildHeartbeat())
	timer := time.NewTimer(drainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if err := acceptor.Drain(ctx, listener); err != nil {
		i.logger.Warn().Err(err).Msg("connections that wait to be accepted may be reset")
	}
	_ = listener.Close()
	// The first requests on connections that were accepted until now are still served.
	time.Sleep(requestReadDelay)
	if err := i.calls.close(ctx); err != nil {
		i.logger.Warn().Err(err).Msg("grace period expired with requests in flight")
		i.abortCalls()
		return
	}
	linger := time.NewTimer(lingerTime)
	defer linger.Stop()
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
}

// abortCalls ends the calls in flight. Those that have no response yet get an error.
func (i *Instance) abortCalls() {
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	i.abort()
	if err := i.calls.close(ctx); err != nil {
		i.logger.Warn().Err(err).Int("calls", i.calls.count()).Msg("calls have not ended")
	}
}

// shutdownTimes are the times of a shutdown that has begun.
type shutdownTimes struct{ beganAt, callersMoveBy, earlyUntil, runsUntil, endsAt time.Time }

// shutdownState implements proxy.Config.Shutdown.
func (i *Instance) shutdownState() proxy.Shutdown {
	times := i.shutdown.Load()
	if times == nil {
		return proxy.Shutdown{}
	}
	fleet := i.gossiper.Fleet()
	state := proxy.Shutdown{
		BeganAt: times.beganAt, CallersMoveBy: times.callersMoveBy, EarlyUntil: times.earlyUntil,
		RunsUntil: times.runsUntil, EndsAt: times.endsAt,
		RetryAfter:     restartRetryAfter,
		OthersReady:    len(fleet.Ready) > 0,
		NearlyAllReady: len(fleet.Ready) > 0 && len(fleet.Ready) >= minReadyPerDraining*len(fleet.Draining),
	}
	if state.OthersReady {
		state.RetryAfter = drainRetryAfter
	}
	return state
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

// listenAll opens a listener for each server. If one fails, it closes the others and
// returns the error.
func listenAll(ctx context.Context, servers map[string]*http.Server) (map[*http.Server]net.Listener, error) {
	listeners := make(map[*http.Server]net.Listener, len(servers))
	for address, server := range servers {
		listener, err := acceptor.Listen(ctx, address, tcpKeepAlive)
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
