package requester

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection of a Transport.
//
// The kernel reports the reset of a connection once. If a write gets the error, the reads after
// it return io.EOF, as if the peer had closed the connection. Conn returns the error of the write
// to them.
//
// Conn also checks the heads of responses, of which net/http returns only what it has parsed.
type Conn struct {
	net.Conn

	// mu guards head and headErr.
	mu   sync.Mutex
	head headChecker
	// headErr is the error of the first broken head. Reads return it from then on.
	headErr error

	// writing is held during a write. It guards lost.
	writing sync.Mutex
	// lost is the error with which the kernel reported to a write that the connection is lost. It
	// is nil while there is none.
	lost error
}

// NetConn returns the connection that DialContext has returned.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.lost == nil && isLoss(err) {
		c.lost = err
	}
	return n, err
}

// isLoss reports whether the kernel returned the error of a connection that is lost. It returns
// EPIPE instead if the peer had closed its side before, and after the first error.
func isLoss(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Read implements net.Conn. The error of a response whose head is broken is a *HeadError.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.headError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if lost := c.endWrites(); lost != nil {
			err = lost
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sound, headErr := c.head.check(p[:n])
	if headErr != nil {
		c.headErr = headErr
		return sound, headErr
	}
	return n, err
}

// expectHead makes the next byte that is read the first one of a response.
func (c *Conn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headChecker{statusLine: c.head.statusLine[:0]}
}

// headError returns the error of a response whose head was broken, or nil.
func (c *Conn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headErr
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// endWrites ends the writes after the end of what the peer has sent, and returns the error of a
// lost connection. net/http closes a connection that it has read to its end.
func (c *Conn) endWrites() error {
	// A write may have received the error and not returned yet, or may wait for a peer that does
	// not read. The deadline cannot be set if the connection is closed, which ends writes too.
	_ = c.SetWriteDeadline(longAgo)
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.lost
}
