package integration_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// cutForm is a response that an upstream begins and does not end. %ID stands for the ID of the
// request.
type cutForm struct {
	name, text string
	// isReset makes its connection end with a reset.
	isReset bool
}

const (
	cutStatusLine = "HTTP/1.1 200 OK\r\n"
	cutNamed      = cutStatusLine + "Content-Type: application/json\r\nX-Request-Id: %ID\r\n"
	cutInterim    = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	cutBody       = `{"accepted":tr`
)

// cutForms returns the responses that break off, each with the end of its connection and with
// a reset.
func cutForms() []cutForm {
	var forms []cutForm
	for _, form := range []cutForm{
		{name: "inside the body, without a length", text: cutNamed + "\r\n" + cutBody},
		{name: "after the head, without a length", text: cutNamed + "\r\n"},
		{name: "before the first byte"},
		{name: "inside the status line", text: "HTTP/1.1 20"},
		{name: "after the status", text: "HTTP/1.1 200 OK"},
		{name: "after the status line", text: cutStatusLine},
		{name: "inside a name", text: cutNamed + "Content-Le"},
		{name: "inside the length", text: cutNamed + "Content-Length: 1"},
		{name: "after the length", text: cutNamed + "Content-Length: 17\r\n"},
		{name: "inside the blank line", text: cutNamed + "Content-Length: 17\r\n\r"},
		{name: "before the length", text: cutNamed},
		{name: "inside the transfer coding", text: cutNamed + "Transfer-Encoding: chu"},
		{name: "after the transfer coding", text: cutNamed + "Transfer-Encoding: chunked\r\n"},
		{name: "without line ends", text: "HTTP/1.1 200 OK X-Request-Id: %ID Content-Length: 2"},
		{name: "with line feeds only", text: "HTTP/1.1 200 OK\nX-Request-Id: %ID\n"},
		{name: "of HTTP/1.0", text: "HTTP/1.0 200 OK\r\nX-Request-Id: %ID\r\n"},
		{name: "inside an interim response", text: "HTTP/1.1 103 Early Hints\r\nLin"},
		{name: "after an interim response", text: cutInterim},
		{name: "after an interim response and inside a name", text: cutInterim + cutNamed + "Cont"},
		{name: "with a part of a body in the place of the blank line", text: cutNamed + cutBody},
		{name: "with half an event in the place of the blank line", text: cutNamed + "data: {\"choi"},
		{name: "after the head, with a length", text: cutNamed + "Content-Length: 17\r\n\r\n"},
		{name: "inside the body, with a length", text: cutNamed + "Content-Length: 17\r\n\r\n" + cutBody},
		{name: "after the head, in chunks", text: cutNamed + "Transfer-Encoding: chunked\r\n\r\n"},
		{name: "inside a chunk", text: cutNamed + "Transfer-Encoding: chunked\r\n\r\n11\r\n" + cutBody},
		{name: "between chunks", text: cutNamed + "Transfer-Encoding: chunked\r\n\r\ne\r\n" + cutBody + "\r\n"},
		{name: "inside the last chunk", text: cutNamed + "Transfer-Encoding: chunked\r\n\r\ne\r\n" + cutBody + "\r\n0"},
		{name: "inside a trailer", text: cutNamed + "Transfer-Encoding: chunked\r\n\r\ne\r\n" + cutBody + "\r\n0\r\nName: va"},
	} {
		forms = append(forms, form)
		form.name, form.isReset = form.name+", with a reset", true
		forms = append(forms, form)
	}
	return forms
}

// cutProxy answers the first attempt of each call with the form that the call names. It passes
// all other requests on to an upstream.
type cutProxy struct {
	upstream *httputil.ReverseProxy
	forms    []cutForm
	played   *playedCalls
}

// playedCalls holds the calls that were answered with their form.
type playedCalls struct {
	mu    sync.Mutex
	calls map[string]bool
}

// add adds a call and reports whether it is new.
func (p *playedCalls) add(call string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew := !p.calls[call]
	p.calls[call] = true
	return isNew
}

func (p *playedCalls) has(call string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[call]
}

// callName matches the name of a call, which has the number of its form.
var callName = regexp.MustCompile(`form-(\d+)-[a-z]+\.`)

// ServeHTTP implements http.Handler.
func (c *cutProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	name := callName.FindStringSubmatch(r.RequestURI + string(body))
	if name == nil || !c.played.add(name[0]) {
		r.Body = io.NopCloser(bytes.NewReader(body))
		c.upstream.ServeHTTP(w, r)
		return
	}
	number, _ := strconv.Atoi(name[1])
	form := c.forms[number]
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, strings.ReplaceAll(form.text, "%ID", r.Header.Get("X-Request-Id")))
	if form.isReset {
		// The bytes before a reset are received if the peer reads them in time.
		time.Sleep(2 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// cutUpstreams puts a cutProxy in front of each upstream.
func (f *fleet) cutUpstreams(forms []cutForm) *playedCalls {
	GinkgoHelper()
	targets := make(map[string]string)
	for _, engine := range f.site.Engines {
		targets[engine.ID] = engine.Address
	}
	for _, service := range f.site.Services {
		targets[service.ID] = service.Address
	}
	played := &playedCalls{calls: make(map[string]bool)}
	for id, target := range targets {
		upstream := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
		upstream.FlushInterval = -1
		server := httptest.NewServer(&cutProxy{upstream, forms, played})
		DeferCleanup(server.Close)
		f.upstreamProxies[id].SetTarget(server.Listener.Addr().String())
		f.upstreamProxies[id].CloseOpenConnections()
	}
	return played
}

// cutCall is a request that is sent to an instance as the bytes of a connection.
type cutCall struct {
	name, method, target, header, body string
	// isStream means that a whole response ends with a final event.
	isStream bool
}

// newCutCall returns a call of a kind that is answered with a form.
func newCutCall(kind string, form int) cutCall {
	name := fmt.Sprintf("form-%d-%s.", form, kind)
	call := cutCall{name: name, method: http.MethodPost}
	switch kind {
	case "order":
		call.target, call.body = "/orders", name
	case "keyed":
		call.target, call.body = "/orders", name
	case "lookup":
		call.method, call.target = http.MethodGet, "/stock/"+name
	default:
		call.isStream = kind == "stream"
		call.target = "/v1/chat/completions"
		call.body = fmt.Sprintf(`{"model":"letters","stream":%t,"max_tokens":5,"messages":[{"role":"user","content":"%s"}]}`, call.isStream, name)
	}
	return call
}

// cutCaller is a kind of caller.
type cutCaller struct {
	name, protocol string
	// isHalfClosed means that it closes its side of the connection after its request.
	isHalfClosed bool
	// closeDelay is the time from its request until it closes its side.
	closeDelay time.Duration
}

// closeDelayStep is the time by which callers close their side later with each try. The first
// try closes it at once, so that an instance under load may not have sent the call by then.
const closeDelayStep = 2 * time.Millisecond

// withCloseDelay returns the caller as it is in a try, counted from 0.
func (c cutCaller) withCloseDelay(try int) cutCaller {
	c.closeDelay = time.Duration(try) * closeDelayStep
	return c
}

// halfClose closes the caller's side of the connection if it is one that does so.
func (c cutCaller) halfClose(conn net.Conn) error {
	if !c.isHalfClosed {
		return nil
	}
	time.Sleep(c.closeDelay)
	return conn.(*net.TCPConn).CloseWrite()
}

var cutCallers = []cutCaller{
	{name: "HTTP/1.1", protocol: "HTTP/1.1"},
	{name: "HTTP/1.0", protocol: "HTTP/1.0"},
	{name: "half-closed", protocol: "HTTP/1.1", isHalfClosed: true},
}

// send sends a call over a new connection and returns the status and the body of the response,
// and an error if it is not whole.
func (c *cutCall) send(address, key string, kind cutCaller) (int, string, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	_, err = fmt.Fprintf(conn, "%s %s %s\r\nHost: h\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		c.method, c.target, kind.protocol, key, c.header, len(c.body), c.body)
	if err != nil {
		return 0, "", err
	}
	if err := kind.halfClose(conn); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// isPart reports whether a caller takes a response for a whole success that it is not.
func (c *cutCall) isPart(status int, body string, err error) bool {
	if err != nil || status >= http.StatusBadRequest {
		return false
	}
	if c.isStream {
		return strings.Contains(body, "data: [DONE]") && strings.Count(body, `"content"`) < 5
	}
	return !json.Valid([]byte(body))
}

var _ = Describe("an instance whose upstreams begin a response and do not end it", func() {
	// Guards against a success with an empty or a short body for a response of which the head
	// or the body has broken off.
	DescribeTable("passes no part of a response on as a whole one", func(kind string, step int) {
		f := startFleet(1)
		forms := cutForms()
		played := f.cutUpstreams(forms)
		address := f.running()[0].callerAddress
		results := make(map[string]int)
		var wrong []string
		for n := 0; n < len(forms); n += step {
			form, from := forms[n], cutCallers[n/step%len(cutCallers)]
			if kind == "keyed" && from.isHalfClosed {
				// Its key is not claimed in time, so no upstream gets the call.
				from = cutCallers[0]
			}
			call := newCutCall(kind, n)
			// An upstream that has failed gets no requests for some time.
			for end, try := time.Now().Add(8*time.Second), 1; time.Now().Before(end) && !played.has(call.name); try++ {
				if kind == "keyed" {
					call.header = fmt.Sprintf("Idempotency-Key: %s%d\r\n", call.name, try)
				}
				status, body, err := call.send(address, f.apiKeys["hives"], from.withCloseDelay(try-1))
				if call.isPart(status, body, err) {
					wrong = append(wrong, fmt.Sprintf("%s, %s: status %d, body %q", form.name, from.name, status, body))
				}
				if played.has(call.name) {
					results[fmt.Sprintf("status %d, broken off %t", status, err != nil)]++
				}
				time.Sleep(20 * time.Millisecond)
			}
			Expect(played.has(call.name)).To(BeTrue(), "%s, %s", form.name, from.name)
			// A call with a key gets the response that is stored for it.
			status, body, err := call.send(address, f.apiKeys["hives"], cutCallers[0])
			if call.isPart(status, body, err) {
				wrong = append(wrong, fmt.Sprintf("%s, %s, again: status %d, body %q", form.name, from.name, status, body))
			}
		}
		AddReportEntry("results", fmt.Sprint(results))
		Expect(wrong).To(BeEmpty())
	},
		Entry("orders", "order", 1),
		Entry("orders with a key", "keyed", 6),
		Entry("lookups", "lookup", 1),
		Entry("completions", "completion", 1),
		Entry("streams", "stream", 1),
	)
})
