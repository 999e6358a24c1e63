// Package acceptor listens for connections, and ends that without resetting those that wait
// to be accepted.
package acceptor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/crocushollow/crocushollow/transport/dialer"
)

const (
	// handshakeTime is the time in which a handshake that is under way completes.
	handshakeTime = 20 * time.Millisecond
	// pollInterval is the time between two checks of the accept queue.
	pollInterval = 2 * time.Millisecond
	// drainTimeout bounds the wait for a server that accepts too slowly.
	drainTimeout = 500 * time.Millisecond
)

// sendBufferBytes limits the memory of the kernel for a response that its caller does not
// read. It allows 25 MB/s to a caller at a distance of 10 ms.
const sendBufferBytes = 256 << 10

// receiveBufferBytes limits the memory of the kernel for what the process has not read yet. It
// allows 6 MB/s from a caller at a distance of 10 ms.
const receiveBufferBytes = 64 << 10

// Listen opens a listener that can be drained. It offers plain TCP only, for which Drain is
// made.
func Listen(ctx context.Context, address string, keepAlive net.KeepAliveConfig) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: keepAlive,
		// Accepted connections inherit the limit.
		Control: func(_, _ string, conn syscall.RawConn) error {
			return errors.Join(dialer.LimitSendBuffer(conn, sendBufferBytes), dialer.LimitReceiveBuffer(conn, receiveBufferBytes))
		},
	}
	config.SetMultipathTCP(false)
	return config.Listen(ctx, "tcp", address)
}

// Drain makes the kernel refuse new connections, and returns once those under way are
// accepted, so that closing the listener resets none. The server must go on accepting
// connections until then. An error means that the listener is unchanged, or that connections
// still waited after drainTimeout or at the end of the context.
func Drain(ctx context.Context, listener net.Listener) error {
	socket, isSocket := listener.(syscall.Conn)
	if !isSocket {
		return errors.ErrUnsupported
	}
	conn, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	if err := refuseConnections(conn); err != nil {
		return fmt.Errorf("refuse connections: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	drainedAt := time.Now().Add(handshakeTime)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		waiting, err := acceptQueueLength(conn)
		if err != nil {
			return fmt.Errorf("read accept queue: %w", err)
		}
		if waiting == 0 && time.Now().After(drainedAt) {
			return nil
		}
	}
}
