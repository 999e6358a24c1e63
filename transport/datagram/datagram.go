// Package datagram exchanges messages between instances over UDP.
package datagram

import (
	"net"
	"net/netip"
)

// maxPayloadBytes is an upper bound on the payload of a UDP datagram.
const maxPayloadBytes = 64 << 10

// Link implements gossiper.Link on a UDP socket.
type Link struct {
	conn   *net.UDPConn
	buffer []byte
}

// Listen opens a link on an address of the form IP:port.
func Listen(address string) (*Link, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, err
	}
	return &Link{conn: conn, buffer: make([]byte, maxPayloadBytes)}, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.conn.LocalAddr().String() }

// Send implements gossiper.Link.
func (l *Link) Send(to string, payload []byte) error {
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		return err
	}
	_, err = l.conn.WriteToUDPAddrPort(payload, address)
	return err
}

// Receive implements gossiper.Link.
func (l *Link) Receive() ([]byte, error) {
	n, _, err := l.conn.ReadFromUDPAddrPort(l.buffer)
	return l.buffer[:n], err
}

// Close implements gossiper.Link.
func (l *Link) Close() error { return l.conn.Close() }
