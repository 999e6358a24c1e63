// Package faultproxy forwards TCP connections and injects faults into them.
package faultproxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Fault is what happens to connections.
type Fault int

// The faults.
const (
	// Forward forwards bytes.
	Forward Fault = iota
	// Blackhole takes bytes and forwards none, on open and new connections.
	Blackhole
	// Refuse closes connections.
	Refuse
	// DropResponses forwards what clients send and drops what they are answered.
	DropResponses
)

// Proxy forwards connections to one target. Each source, told by its IP
// number, can have a fault of its own.
type Proxy struct {
	target   string
	listener net.Listener

	mu       sync.Mutex
	faults   map[netip.Addr]Fault
	fallback Fault
	delay    time.Duration
	links    map[*link]struct{}
}

// link is one forwarded connection.
type link struct {
	source   netip.Addr
	client   net.Conn
	upstream net.Conn
	// silenced links stay silent for good.
	silenced bool
}

// Start returns a proxy that listens on an address.
func Start(address, target string) (*Proxy, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		target:   target,
		listener: listener,
		faults:   make(map[netip.Addr]Fault),
		links:    make(map[*link]struct{}),
	}
	go p.accept()
	return p, nil
}

// Address returns the address to connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.CloseOpenConnections()
}

// SetTarget changes where new connections are forwarded to.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetSourceFault changes the fault of one source.
func (p *Proxy) SetSourceFault(source netip.Addr, fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[source] = fault
}

// SetDefaultFault changes the fault of all sources without one of their own.
func (p *Proxy) SetDefaultFault(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fallback = fault
}

// SetDelay holds every chunk back.
func (p *Proxy) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// BlackholeOpenConnections makes the open connections silent for good, while new ones work.
func (p *Proxy) BlackholeOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silenced = true
	}
}

// CloseOpenConnections closes the open connections.
func (p *Proxy) CloseOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		_ = l.client.Close()
		_ = l.upstream.Close()
	}
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.open(client)
	}
}

func (p *Proxy) open(client net.Conn) {
	dialer := net.Dialer{Timeout: time.Second}
	source := sourceOf(client)
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	if fault, _ := p.state(&link{source: source}); fault == Refuse {
		_ = client.Close()
		return
	}
	upstream, err := dialer.DialContext(context.Background(), "tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{source: source, client: client, upstream: upstream}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	go p.pump(l, upstream, client)
	p.pump(l, client, upstream)
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

func sourceOf(conn net.Conn) netip.Addr {
	address, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr()
}

// state returns the fault and the delay of a connection.
func (p *Proxy) state(l *link) (Fault, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.silenced {
		return Blackhole, 0
	}
	if fault, found := p.faults[l.source]; found {
		return fault, p.delay
	}
	return p.fallback, p.delay
}

// pump copies bytes in one direction until either end closes.
func (p *Proxy) pump(l *link, from, to net.Conn) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		fault, delay := p.state(l)
		time.Sleep(delay)
		switch fault {
		case Blackhole:
			continue
		case DropResponses:
			if from == l.upstream {
				continue
			}
		case Refuse:
			return
		case Forward:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
