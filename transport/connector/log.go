// Package connector implements the clients of the platform and of the control API
// of engines. Each file implements one protocol, and no decision in other packages
// depends on it.
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
	"github.com/crocushollow/crocushollow/protocol/bounder"
	"github.com/crocushollow/crocushollow/transport/dialer"
	"github.com/crocushollow/crocushollow/transport/requester"
)

// Limits on connections to the platform and to the control API of engines.
const (
	dialTimeout      = 300 * time.Millisecond
	idleTimeout      = 30 * time.Second
	maxResponseBytes = 64 << 20
	// maxEngineResponseBytes is the maximum size of a response of an engine. A report names
	// its models and adapters, in less than 100 bytes each.
	maxEngineResponseBytes = 256 << 10
	// maxResponseHeaderBytes bounds the header of a response. It has less than 1 KB.
	maxResponseHeaderBytes = 64 << 10
)

// newClient returns an HTTP client that opens connections from a source address.
// The context of each request sets its deadline.
func newClient(source netip.Addr) *http.Client {
	return &http.Client{Transport: requester.New(&http.Transport{
		DialContext:         dialer.New(dialer.Config{SourceAddress: source, Timeout: dialTimeout, KeepAlive: time.Second}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	})}
}

// StatusError reports an HTTP response with an unexpected status.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: unexpected status %d: %s", e.URL, e.Status, e.Body)
}

// maxErrorBodyBytes limits how much of an error response a StatusError keeps.
const maxErrorBodyBytes = 512

// doJSON sends a request and decodes the JSON response into out, unless out is
// nil. If the request fails, it closes the idle connections, so that a dead
// connection is not reused.
func doJSON(ctx context.Context, client *http.Client, method, target string, body []byte, out any) error {
	return doLimitedJSON(ctx, client, method, target, body, maxResponseBytes, out)
}

// doLimitedJSON is like doJSON, for responses up to a size.
func doLimitedJSON(ctx context.Context, client *http.Client, method, target string, body []byte, limit int64, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		client.CloseIdleConnections()
		return bounder.LimitError(err)
	}
	defer response.Body.Close()
	limitedBody := io.LimitReader(response.Body, limit)
	if response.StatusCode/100 != 2 {
		message, _ := io.ReadAll(io.LimitReader(limitedBody, maxErrorBodyBytes))
		return &StatusError{URL: target, Status: response.StatusCode, Body: string(message)}
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(limitedBody).Decode(out)
}

// LogClient reads the platform's log and appends to it, over HTTP:
//
//	POST /append                      body: the entry     -> {"offset": 7}
//	GET  /read?from=7&wait_ms=200     -> {"first": 0, "head": 9, "entries": [{"offset": 7, "data": "base64"}]}
type LogClient struct {
	baseURL string
	client  *http.Client
}

// NewLogClient returns a client of the log at an address.
func NewLogClient(address string, source netip.Addr) *LogClient {
	return &LogClient{baseURL: "http://" + address, client: newClient(source)}
}

// Append implements publisher.Appender.
func (c *LogClient) Append(ctx context.Context, batch []byte) (uint64, error) {
	var response struct {
		Offset uint64 `json:"offset"`
	}
	err := doJSON(ctx, c.client, http.MethodPost, c.baseURL+"/append", batch, &response)
	return response.Offset, err
}

// Read implements follower.Log.
func (c *LogClient) Read(ctx context.Context, from uint64, wait time.Duration) (follower.Segment, error) {
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var response struct {
		First   uint64           `json:"first"`
		Head    uint64           `json:"head"`
		Entries []follower.Entry `json:"entries"`
	}
	err := doJSON(ctx, c.client, http.MethodGet, c.baseURL+"/read?"+query.Encode(), nil, &response)
	return follower.Segment{First: response.First, Head: response.Head, Entries: response.Entries}, err
}
