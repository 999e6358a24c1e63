package messenger

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/controller"
	"github.com/crocushollow/crocushollow/coordination/sharer"
	"github.com/crocushollow/crocushollow/transport/dialer"
)

// Limits on connections to peers.
const (
	maxIdleConnsPerPeer = 4
	maxIdleConns        = 16
	idleConnTimeout     = 10 * time.Second
	dialTimeout         = 300 * time.Millisecond
)

// Client calls peers. It keeps idle connections, and closes a connection when a
// call on it fails, so that at most one call uses a dead connection.
type Client struct {
	dialer *net.Dialer

	mu   sync.Mutex
	idle map[string][]idleConn
	// idleCount is the total number of connections in idle.
	idleCount int
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// NewClient returns a client that opens connections from a source address.
func NewClient(source netip.Addr) *Client {
	return &Client{
		dialer: dialer.New(dialer.Config{SourceAddress: source, Timeout: dialTimeout, KeepAlive: time.Second}),
		idle:   make(map[string][]idleConn),
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idle {
		for _, idle := range conns {
			_ = idle.conn.Close()
		}
		delete(c.idle, address)
	}
	c.idleCount = 0
}

// Probe implements controller.PeerClient.
func (c *Client) Probe(ctx context.Context, to crocushollow.Member, request controller.ProbeRequest) (controller.ProbeReply, error) {
	return invoke[controller.ProbeReply](ctx, c, to.PeerAddress, probeMethod, &request)
}

// Exchange implements controller.PeerClient.
func (c *Client) Exchange(ctx context.Context, to crocushollow.Member, exchange sharer.Exchange) (sharer.ExchangeReply, error) {
	return invoke[sharer.ExchangeReply](ctx, c, to.PeerAddress, exchangeMethod, &exchange)
}

// FetchLog implements controller.PeerClient.
func (c *Client) FetchLog(ctx context.Context, to crocushollow.Member, request controller.FetchLogRequest) (controller.FetchLogReply, error) {
	return invoke[controller.FetchLogReply](ctx, c, to.PeerAddress, fetchLogMethod, &request)
}

// CheckSuspect implements controller.PeerClient.
func (c *Client) CheckSuspect(ctx context.Context, to crocushollow.Member, request controller.CheckSuspectRequest) (controller.CheckSuspectReply, error) {
	return invoke[controller.CheckSuspectReply](ctx, c, to.PeerAddress, checkSuspectMethod, &request)
}

// ReportDemand implements controller.PeerClient.
func (c *Client) ReportDemand(ctx context.Context, to crocushollow.Member, report controller.DemandReport) error {
	_, err := invoke[controller.DemandReply](ctx, c, to.PeerAddress, demandMethod, &report)
	return err
}

// Publish asks a peer to append a batch to the log.
func (c *Client) Publish(ctx context.Context, to crocushollow.Member, request controller.PublishRequest) (controller.PublishReply, error) {
	return invoke[controller.PublishReply](ctx, c, to.PeerAddress, publishMethod, &request)
}

func invoke[Out any](ctx context.Context, c *Client, address, method string, in drpc.Message) (Out, error) {
	var out Out
	conn, err := c.acquire(ctx, address)
	if err != nil {
		return out, err
	}
	if err := conn.Invoke(ctx, method, cborEncoding{}, in, &out); err != nil {
		_ = conn.Close()
		return out, err
	}
	c.release(address, conn)
	return out, nil
}

// acquire returns an idle connection to an address, or opens a new one.
func (c *Client) acquire(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if conn := c.acquireIdle(address); conn != nil {
		return conn, nil
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(countingConn{Conn: conn}), nil
}

func (c *Client) acquireIdle(address string) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	for len(conns) > 0 {
		last := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		c.idle[address] = conns
		c.idleCount--
		if !isClosed(last.conn) && time.Since(last.since) < idleConnTimeout {
			return last.conn
		}
		_ = last.conn.Close()
	}
	delete(c.idle, address)
	return nil
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

func (c *Client) release(address string, conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleCount >= maxIdleConns {
		c.closeExpired()
	}
	if len(c.idle[address]) >= maxIdleConnsPerPeer || c.idleCount >= maxIdleConns {
		_ = conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], idleConn{conn: conn, since: time.Now()})
	c.idleCount++
}

// closeExpired closes the connections whose idle timeout has passed.
func (c *Client) closeExpired() {
	for address, conns := range c.idle {
		kept := conns[:0]
		for _, idle := range conns {
			if time.Since(idle.since) < idleConnTimeout && !isClosed(idle.conn) {
				kept = append(kept, idle)
				continue
			}
			_ = idle.conn.Close()
			c.idleCount--
		}
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}

var bytesTransferred atomic.Uint64

// BytesTransferred returns the number of bytes that this process has sent to and
// received from peers.
func BytesTransferred() uint64 { return bytesTransferred.Load() }

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesTransferred.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesTransferred.Add(uint64(n))
	return n, err
}
