// Package requestertest simulates upstreams that respond before they have read a request.
package requestertest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// UploadBytes is the size of the body of an upload. It does not fit into the buffers of a
// connection.
const UploadBytes = 1 << 20

// Body is the body of the responses. They have no length.
var Body = strings.Repeat("part ", 100)

// Config describes an EarlyUpstream.
type Config struct {
	// Head returns the head of the response to a request, without the empty line at its end.
	Head func(request *http.Request) string
	// End ends a connection after the response.
	End func(conn *net.TCPConn)
}

// EarlyUpstream responds to each request before it has read its body.
type EarlyUpstream struct {
	listener *net.TCPListener
	config   Config
}

// StartEarlyUpstream starts an upstream on loopback.
func StartEarlyUpstream(config Config) (*EarlyUpstream, error) {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	u := &EarlyUpstream{listener: listener, config: config}
	go func() {
		for conn, err := listener.AcceptTCP(); err == nil; conn, err = listener.AcceptTCP() {
			go u.serve(conn)
		}
	}()
	return u, nil
}

// Close stops accepting connections.
func (u *EarlyUpstream) Close() error { return u.listener.Close() }

// Address returns the IP address and port of the upstream.
func (u *EarlyUpstream) Address() string { return u.listener.Addr().String() }

func (u *EarlyUpstream) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, u.config.Head(request)+"\r\n"+Body)
	u.config.End(conn)
}

// CountWhole sends uploads from several senders, and returns how many of them end without an
// error. Send gets the number of the upload.
func CountWhole(uploads int, send func(n int) error) int {
	const senders = 8
	var whole, next atomic.Int64
	var group sync.WaitGroup
	for range senders {
		group.Go(func() {
			for n := int(next.Add(1)); n <= uploads; n = int(next.Add(1)) {
				if send(n) == nil {
					whole.Add(1)
				}
			}
		})
	}
	group.Wait()
	return int(whole.Load())
}
