// Package connector speaks the protocols of the platform and of the engines.
// Each file adapts one of them; no decision depends on the protocol.
package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/crocushollow/crocushollow/coordination/follower"
	"github.com/crocushollow/crocushollow/transport/dialer"
)

// Bounds of connections to the platform and the engines' control side.
const (
	dialTimeout      = 300 * time.Millisecond
	idleTimeout      = 30 * time.Second
	maxResponseBytes = 64 << 20
)

// newClient returns an HTTP client whose deadlines come from each context and
// whose connections come from a source address.
func newClient(source netip.Addr) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.New(dialer.Config{SourceAddress: source, Timeout: dialTimeout, KeepAlive: time.Second}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     idleTimeout,
	}}
}

// StatusError reports an answer with an unexpected status.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.URL, e.Status, e.Body)
}

// maxErrorBytes bounds the body of an error answer that is kept.
const maxErrorBytes = 512

// callJSON sends a request and decodes the JSON answer into out unless it is
// nil. A connection whose call has failed is not used again.
func callJSON(ctx context.Context, client *http.Client, method, target string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		client.CloseIdleConnections()
		return err
	}
	defer response.Body.Close()
	limited := io.LimitReader(response.Body, maxResponseBytes)
	if response.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(limited, maxErrorBytes))
		return &StatusError{URL: target, Status: response.StatusCode, Body: string(text)}
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(limited).Decode(out)
}

// LogClient reads and appends to the platform's log over HTTP:
//
//	POST /append                      body: the entry     -> {"offset": 7}
//	GET  /read?from=7&wait_ms=200     -> {"first": 0, "head": 9, "entries": [{"offset": 7, "data": "base64"}]}
type LogClient struct {
	base   string
	client *http.Client
}

// NewLogClient returns a client of the log at an address.
func NewLogClient(address string, source netip.Addr) *LogClient {
	return &LogClient{base: "http://" + address, client: newClient(source)}
}

// Append implements publisher.Appender.
func (l *LogClient) Append(ctx context.Context, batch []byte) (uint64, error) {
	var answer struct {
		Offset uint64 `json:"offset"`
	}
	err := callJSON(ctx, l.client, http.MethodPost, l.base+"/append", batch, &answer)
	return answer.Offset, err
}

// Read implements follower.Log.
func (l *LogClient) Read(ctx context.Context, from uint64, wait time.Duration) (follower.Segment, error) {
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var answer struct {
		First   uint64           `json:"first"`
		Head    uint64           `json:"head"`
		Entries []follower.Entry `json:"entries"`
	}
	err := callJSON(ctx, l.client, http.MethodGet, l.base+"/read?"+query.Encode(), nil, &answer)
	return follower.Segment{First: answer.First, Head: answer.Head, Entries: answer.Entries}, err
}
