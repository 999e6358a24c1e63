// Package dialer opens TCP connections from a chosen address.
package dialer

import (
	"net"
	"net/netip"
	"syscall"
	"time"
)

// Config configures a dialer.
type Config struct {
	// SourceAddress is where connections come from; its zero value leaves it to the
	// system.
	SourceAddress netip.Addr
	// Timeout bounds the time to open a connection.
	Timeout time.Duration
	// KeepAlive is the time after which an idle connection is probed, and
	// between two probes. Three lost probes end the connection.
	KeepAlive time.Duration
	// UserTimeout bounds how long sent bytes may go unacknowledged before the
	// connection ends; 0 leaves it to the system.
	UserTimeout time.Duration
}

// lostProbes is the number of unanswered probes that end a connection.
const lostProbes = 3

// New returns a dialer.
func New(config Config) *net.Dialer {
	dialer := &net.Dialer{
		Timeout: config.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     config.KeepAlive,
			Interval: config.KeepAlive,
			Count:    lostProbes,
		},
	}
	if config.SourceAddress.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(config.SourceAddress, 0))
	}
	dialer.Control = func(_, _ string, conn syscall.RawConn) error {
		if config.SourceAddress.IsValid() {
			if err := bindLate(conn); err != nil {
				return err
			}
		}
		return setUserTimeout(conn, config.UserTimeout)
	}
	return dialer
}
