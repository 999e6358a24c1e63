// Package faultproxy is a TCP proxy that injects faults into connections.
package faultproxy

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Fault is a fault of connections.
type Fault int

// The faults.
const (
	// Forward forwards all bytes, without a fault.
	Forward Fault = iota
	// Blackhole accepts connections and bytes but forwards nothing, on open and new
	// connections. Those whose bytes it has dropped stay silent after it.
	Blackhole
	// Refuse closes new connections at once and open ones when bytes arrive.
	Refuse
	// DropResponses forwards what clients send and drops what the target sends, also after
	// it on connections whose bytes it has dropped.
	DropResponses
)

// Proxy forwards connections to one target. Each source IP address can have its
// own fault.
type Proxy struct {
	target   string
	listener net.Listener

	mu           sync.Mutex
	faults       map[netip.Addr]Fault
	defaultFault Fault
	delay        time.Duration
	connections  map[*connection]struct{}
}

// connection is one forwarded connection.
type connection struct {
	source   netip.Addr
	client   net.Conn
	upstream net.Conn
	// isBlackholed makes the connection drop all further bytes permanently.
	isBlackholed bool
}

// Start returns a proxy that listens on an address.
func Start(address, target string) (*Proxy, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		target:      target,
		listener:    listener,
		faults:      make(map[netip.Addr]Fault),
		connections: make(map[*connection]struct{}),
	}
	go p.acceptLoop()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.CloseOpenConnections()
}

// SetTarget changes the target of new connections.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetSourceFault sets the fault of one source.
func (p *Proxy) SetSourceFault(source netip.Addr, fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[source] = fault
}

// SetDefaultFault sets the fault of all sources without their own fault.
func (p *Proxy) SetDefaultFault(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.defaultFault = fault
}

// SetDelay sets a delay for every forwarded chunk.
func (p *Proxy) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// BlackholeOpenConnections permanently drops all bytes of the open connections. New
// connections are not affected.
func (p *Proxy) BlackholeOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.isBlackholed = true
	}
}

// CloseOpenConnections closes the open connections.
func (p *Proxy) CloseOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		_ = c.client.Close()
		_ = c.upstream.Close()
	}
}

func (p *Proxy) acceptLoop() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *Proxy) forward(client net.Conn) {
	dialer := net.Dialer{Timeout: time.Second}
	source := sourceOf(client)
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	if fault, _ := p.faultOf(&connection{source: source}); fault == Refuse {
		_ = client.Close()
		return
	}
	upstream, err := dialer.DialContext(context.Background(), "tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &connection{source: source, client: client, upstream: upstream}
	p.mu.Lock()
	p.connections[c] = struct{}{}
	p.mu.Unlock()
	go p.copyBytes(c, upstream, client)
	p.copyBytes(c, client, upstream)
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

func sourceOf(conn net.Conn) netip.Addr {
	address, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr()
}

// faultOf returns the current fault and delay of a connection.
func (p *Proxy) faultOf(c *connection) (Fault, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.isBlackholed {
		return Blackhole, 0
	}
	if fault, found := p.faults[c.source]; found {
		return fault, p.delay
	}
	return p.defaultFault, p.delay
}

// copyBytes forwards bytes in one direction until either end closes the connection.
func (p *Proxy) copyBytes(c *connection, from, to net.Conn) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	// A connection that has lost bytes delivers none of those after them, as TCP does.
	hasLostBytes := false
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if errors.Is(err, syscall.ECONNRESET) {
			reset(to)
		}
		if err != nil {
			return
		}
		fault, delay := p.faultOf(c)
		time.Sleep(delay)
		if fault == Refuse {
			return
		}
		hasLostBytes = hasLostBytes || fault == Blackhole || fault == DropResponses && from == c.upstream
		if hasLostBytes {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// reset closes a connection so that the peer does not take it for the end of the bytes.
func reset(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
