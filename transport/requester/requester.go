// Package requester sends HTTP/1.1 requests and returns no broken response as a whole one. It
// finds what net/http passes over.
package requester

import (
	"context"
	"net"
	"net/http"
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

// RoundTrip implements http.RoundTripper. A read of the body returns an error other than io.EOF
// if the connection was reset.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	return t.base.RoundTrip(request)
}

// CloseIdleConnections closes the connections that no request uses. http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
