// Package requester sends HTTP/1.1 requests and returns no broken response as a whole one. It
// finds what net/http passes over.
package requester

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper. It is safe for concurrent use.
type Transport struct{ base *http.Transport }

// New returns a Transport that sends requests with base, which has a DialContext. The Transport
// owns base from then on.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper. The error of a response whose head is broken is a
// *HeadError. A read of the body returns an error other than io.EOF if the connection was reset.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used *Conn
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			used = conn
			conn.expectHead()
		}
	}})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	if err == nil || used == nil {
		return response, err
	}
	// The error of net/http may be that of the part of the head that it has received.
	if headErr := used.headError(); headErr != nil {
		return nil, headErr
	}
	return nil, err
}

// CloseIdleConnections closes the connections that no request uses. http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
