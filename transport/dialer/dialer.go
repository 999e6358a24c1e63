// Package dialer opens TCP connections from a chosen local address, with options
// that detect dead peers.
package dialer

import (
	"net"
	"net/netip"
	"syscall"
	"time"
)

// Config configures a dialer.
type Config struct {
	// SourceAddress is the local address of connections. If it is the zero Addr,
	// the operating system chooses the address.
	SourceAddress netip.Addr
	// Timeout limits the time to open a connection.
	Timeout time.Duration
	// KeepAlive is the idle time before the first TCP keep-alive probe, and the
	// interval between probes.
	KeepAlive time.Duration
	// UserTimeout limits how long sent data may stay unacknowledged before the
	// connection fails (TCP_USER_TIMEOUT). Zero keeps the system default.
	UserTimeout time.Duration
	// ReceiveBufferBytes limits the memory of the kernel for bytes that nobody has read. Zero
	// lets the kernel choose.
	ReceiveBufferBytes int
}

// keepAliveProbes is the number of unanswered probes after which a connection fails.
const keepAliveProbes = 3

// New returns a dialer.
func New(config Config) *net.Dialer {
	dialer := &net.Dialer{
		Timeout: config.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     config.KeepAlive,
			Interval: config.KeepAlive,
			Count:    keepAliveProbes,
		},
	}
	if config.SourceAddress.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(config.SourceAddress, 0))
	}
	dialer.Control = func(_, _ string, conn syscall.RawConn) error {
		if config.SourceAddress.IsValid() {
			if err := bindWithoutPort(conn); err != nil {
				return err
			}
		}
		if err := LimitReceiveBuffer(conn, config.ReceiveBufferBytes); err != nil {
			return err
		}
		return setUserTimeout(conn, config.UserTimeout)
	}
	return dialer
}
