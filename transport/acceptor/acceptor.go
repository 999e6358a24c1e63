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
	// handshakeTime is the time in which a handshake that is under way completes. It is
	// short, since callers that connect meanwhile wait for their next SYN.
	handshakeTime = 50 * time.Millisecond
	// pollInterval is the time between two checks of the accept queue.
	pollInterval = 2 * time.Millisecond
)

// Config configures the connections that a listener accepts.
type Config struct {
	// KeepAlive is net's default if it is zero.
	KeepAlive net.KeepAliveConfig
	// SendBufferBytes limits the send buffer of each connection. If it is 0, the kernel
	// chooses the limit.
	SendBufferBytes int
}

// Listen opens a listener that can be drained. It does not offer multipath TCP, whose sockets
// take no filter.
func Listen(ctx context.Context, address string, config Config) (net.Listener, error) {
	options := net.ListenConfig{KeepAliveConfig: config.KeepAlive}
	options.SetMultipathTCP(false)
	if config.SendBufferBytes > 0 {
		// Accepted connections inherit the limit.
		options.Control = func(_, _ string, conn syscall.RawConn) error {
			return dialer.LimitSendBuffer(conn, config.SendBufferBytes)
		}
	}
	return options.Listen(ctx, "tcp", address)
}

// Drain makes the kernel ignore new connections, and returns once those under way are
// accepted, so that closing the listener resets none. The server must go on accepting
// connections until then. An error means that the listener is unchanged, or that the context
// has ended.
func Drain(ctx context.Context, listener net.Listener) error {
	socket, isSocket := listener.(syscall.Conn)
	if !isSocket {
		return errors.ErrUnsupported
	}
	conn, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	if err := ignoreHandshakes(conn); err != nil {
		return fmt.Errorf("ignore handshakes: %w", err)
	}
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
