package integration_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/standin/caller"
	"github.com/crocushollow/crocushollow/standin/engineserver"
	"github.com/crocushollow/crocushollow/standin/stager"
)

// tokensBeforeBreak is the number of tokens of a stream before it breaks off.
const tokensBeforeBreak = 3

// continuationFault lets each stream break off, and answers the first attempt to continue it
// with bytes that are no continuation. It serves everything else.
type continuationFault struct {
	// answers holds the functions that return the bytes for the ID of the attempt, by the
	// names that the prompts of the streams begin with.
	answers map[string]func(attemptID string) string

	mu sync.Mutex
	// answered counts the streams that have got the bytes, by the names.
	answered map[string]int
	// prompts holds the prompts of these streams.
	prompts map[string]bool
}

// nameSeparator ends the name of an answer in a prompt.
const nameSeparator = " #"

// takeAnswer returns the answer to an attempt to continue a stream, or nil if the stream has
// got it before.
func (c *continuationFault) takeAnswer(prompt string) func(attemptID string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, _, _ := strings.Cut(prompt, nameSeparator)
	if c.prompts[prompt] || c.answers[name] == nil {
		return nil
	}
	c.prompts[prompt] = true
	c.answered[name]++
	return c.answers[name]
}

// missing returns the names of the answers that no stream has got.
func (c *continuationFault) missing() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(c.answers)), func(name string) bool { return c.answered[name] > 0 })
}

// startContinuationFaults puts a faulty server in front of each engine of a fleet. The fault
// that is set applies to all engines.
func (f *fleet) startContinuationFaults() *atomic.Pointer[continuationFault] {
	current := &atomic.Pointer[continuationFault]{}
	for _, engine := range f.site.Engines {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			if fault := current.Load(); fault == nil || !fault.serve(w, request, engine) {
				engine.Server.ServeHTTP(w, request)
			}
		}))
		DeferCleanup(server.Close)
		proxy := f.upstreamProxies[engine.ID]
		proxy.SetTarget(server.Listener.Addr().String())
		proxy.CloseOpenConnections()
	}
	return current
}

// serve reports whether it has answered a request.
func (c *continuationFault) serve(w http.ResponseWriter, request *http.Request, engine *stager.Engine) bool {
	if request.URL.Path != "/v1/chat/completions" {
		return false
	}
	body, _ := io.ReadAll(request.Body)
	request.Body = io.NopCloser(bytes.NewReader(body))
	var parsed struct {
		Stream   bool
		Messages json.RawMessage
	}
	var messages []struct{ Content string }
	if json.Unmarshal(body, &parsed) != nil || !parsed.Stream || json.Unmarshal(parsed.Messages, &messages) != nil {
		return false
	}
	if request.Header.Get("X-Resume-From") != "" {
		answer := c.takeAnswer(messages[0].Content)
		if answer == nil {
			return false
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, answer(request.Header.Get("X-Request-Id")))
			_ = conn.Close()
		}
		return true
	}
	if len(engine.Server.LoadedLabels()) == 0 {
		return false
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	for index := range tokensBeforeBreak {
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", engineserver.Token(parsed.Messages, index))
	}
	_, _ = io.WriteString(w, `data: {"choices":[{"ind`)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// errorText is a text in all answers that are no continuation.
const errorText = "FAULT"

// answerWith returns an answer that names the attempt and the position, with a length.
func answerWith(status, contentType, body string) func(string) string {
	return func(attemptID string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Resume-From: %d\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
			status, attemptID, tokensBeforeBreak, contentType, len(body), body)
	}
}

// answerEvents returns a stream that names the attempt.
func answerEvents(body string) func(string) string {
	return answerWith("200 OK", "text/event-stream", body)
}

const (
	errorJSON  = `{"error":{"message":"` + errorText + `","code":"fault"}}`
	errorPage  = "<p>\n\n" + errorText + "\n\n</p>\n\n"
	errorEvent = "data: " + errorJSON + "\n\n"
	doneEvent  = "data: [DONE]\n\n"
	errorHead  = "HTTP/1.1 500 Internal Server Error\nX-Error: " + errorText + "\n\n"
)

// continuationAnswers are answers that are no continuation of a stream: with another status, or
// broken off.
var continuationAnswers = map[string]func(attemptID string) string{
	"status 201":                  answerWith("201 Created", "application/json", errorJSON),
	"status 202 with blank lines": answerWith("202 Accepted", "text/html", errorPage),
	"status 204":                  answerWith("204 No Content", "text/plain", ""),
	"status 206 with events":      answerWith("206 Partial Content", "text/event-stream", errorEvent+doneEvent),
	"status 301":                  answerWith("301 Moved Permanently\r\nLocation: /FAULT", "text/html", errorPage),
	"status 302 without a body":   answerWith("302 Found\r\nLocation: /FAULT", "text/plain", ""),
	"status 304":                  answerWith("304 Not Modified", "text/plain", ""),
	"status 400":                  answerWith("400 Bad Request", "application/json", errorJSON),
	"status 400 without an ID": func(string) string {
		return answerWith("400 Bad Request", "application/json", errorJSON)("")
	},
	"status 400 without a length": func(id string) string {
		return "HTTP/1.1 400 Bad Request\r\nX-Resume-From: 3\r\nX-Request-Id: " + id + "\r\n\r\n" + errorPage
	},
	"status 400 in chunks with a trailer": func(id string) string {
		return "HTTP/1.1 400 Bad Request\r\nX-Resume-From: 3\r\nX-Request-Id: " + id + "\r\nTransfer-Encoding: chunked\r\nTrailer: X-Error\r\n\r\n" +
			"5\r\nFAULT\r\n0\r\nX-Error: FAULT\r\n\r\n"
	},
	"status 400 as events":          answerWith("400 Bad Request", "text/event-stream", errorEvent+doneEvent),
	"status 400 with an empty body": answerWith("400 Bad Request", "text/plain", ""),
	"status 401":                    answerWith("401 Unauthorized", "application/json", errorJSON),
	"status 404":                    answerWith("404 Not Found", "application/json", errorJSON),
	"status 409":                    answerWith("409 Conflict", "application/json", errorJSON),
	"status 421":                    answerWith("421 Misdirected Request", "application/json", errorJSON),
	"status 422":                    answerWith("422 Unprocessable Entity", "application/json", errorJSON),
	"status 429":                    answerWith("429 Too Many Requests", "application/json", errorJSON),
	"status 500":                    answerWith("500 Internal Server Error", "application/json", errorJSON),
	"status 500 as events":          answerWith("500 Internal Server Error", "text/event-stream", errorEvent+doneEvent),
	"status 502 without an ID":      func(string) string { return answerWith("502 Bad Gateway", "text/html", errorPage)("") },
	"status 503":                    answerWith("503 Service Unavailable", "text/html", errorPage),
	"status 101": func(id string) string {
		return "HTTP/1.1 101 Switching Protocols\r\nX-Resume-From: 3\r\nX-Request-Id: " + id + "\r\n\r\n" + errorPage
	},
	"status 103 and then 400": func(id string) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: FAULT\r\n\r\n" + answerWith("400 Bad Request", "application/json", errorJSON)(id)
	},
	"a part of a head":          func(string) string { return "HTTP/1.1 400 Bad Request\r\nX-Error: FAULT" },
	"no head":                   func(string) string { return errorPage },
	"the ID of another attempt": func(string) string { return answerEvents(errorEvent + doneEvent)("another") },
	"no events, with a length":  answerEvents(""),
	"no events, without a length": func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Resume-From: 3\r\nX-Request-Id: " + id + "\r\nContent-Type: text/event-stream\r\n\r\n"
	},
	"comments":           answerEvents(": keep-alive\n\n"),
	"a part of an event": answerEvents(`data: {"error":"FAULT"`),
}

// otherBodies are answers with status 200 that are no continuation of a stream.
var otherBodies = map[string]func(attemptID string) string{
	"status 200 with JSON":              answerWith("200 OK", "application/json", errorJSON),
	"status 200 with a page":            answerWith("200 OK", "text/html", errorPage),
	"status 200 with a page and [DONE]": answerWith("200 OK", "text/html", errorPage+doneEvent),
	"status 200 without a type": func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Resume-From: 3\r\nX-Request-Id: " + id + "\r\n\r\n" + errorPage
	},
	"compressed events": func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Resume-From: 3\r\nX-Request-Id: " + id + "\r\nContent-Type: text/event-stream\r\nContent-Encoding: gzip\r\n\r\n\x1f\x8bFAULT\n\nFAULT\n\n"
	},
	"a head as an event": answerEvents(errorHead + errorJSON + "\n\n"),
	"a page as events":   answerEvents(errorPage),
}

// errorEvents are streams of an error.
var errorEvents = map[string]func(attemptID string) string{
	"an error event":             answerEvents(errorEvent),
	"an error event and [DONE]":  answerEvents(errorEvent + doneEvent),
	"an event of the type error": answerEvents("event: error\ndata: FAULT\n\n" + doneEvent),
}

// sendStreamRequest sends a request for a stream with a version of HTTP over a new connection.
func (f *fleet) sendStreamRequest(p *daemonProcess, version string, prompt caller.Prompt) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", p.callerAddress)
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.SetDeadline(time.Now().Add(30 * time.Second))).To(Succeed())
	body := fmt.Sprintf(`{"model":"letters","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, prompt.Tokens, prompt.Content)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/%s\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		version, f.apiKeys["hives"], len(body), body)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// requestStream sends a request for a stream and returns the status and the body of the response
// as they were sent.
func (f *fleet) requestStream(p *daemonProcess, version string, prompt caller.Prompt) (int, string) {
	GinkgoHelper()
	conn := f.sendStreamRequest(p, version, prompt)
	defer conn.Close()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(received)
}

// findStreamFault returns what is wrong with a response to a stream request: bytes of another
// response, or an end that looks complete before the last token. A part of the stream that
// ends with an error event of the instance is allowed.
func findStreamFault(body, expected string) string {
	text, isDone, isFailed := "", false, false
	for event := range strings.SplitSeq(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		data, isData := strings.CutPrefix(event, "data: ")
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
			Error   struct{ Code string }
		}
		switch {
		case isDone || isFailed:
			return "an event after the last one"
		case event == "data: [DONE]":
			isDone = true
		case event == ": keep-alive":
		case !isData || json.Unmarshal([]byte(data), &chunk) != nil:
			return "no event"
		case chunk.Error.Code != "":
			isFailed = true
		case len(chunk.Choices) > 0:
			text += chunk.Choices[0].Delta.Content
		}
	}
	switch {
	case strings.Contains(body, errorText):
		return "the text of an error"
	case !strings.HasPrefix(expected, text):
		return "another text"
	case isDone && text != expected:
		return "a final event before the last token"
	case !isDone && !isFailed:
		return "neither a final event nor an error event"
	}
	return ""
}

// checkStreams requests streams with the named answers at once, every other one with HTTP/1.0,
// and returns what is wrong with them.
func (f *fleet) checkStreams(names []string) []string {
	GinkgoHelper()
	const tokens = 8
	var mu sync.Mutex
	var faults []string
	var callers sync.WaitGroup
	for n, name := range names {
		callers.Go(func() {
			defer GinkgoRecover()
			prompt := caller.Prompt{Model: "letters", Content: name + nameSeparator + fmt.Sprint(streamCount.Add(1)), Tokens: tokens}
			status, body := f.requestStream(f.running()[0], []string{"1.1", "1.0"}[n%2], prompt)
			fault := findStreamFault(body, prompt.ExpectedText())
			if status != http.StatusOK {
				fault = fmt.Sprint("status ", status)
			}
			if fault != "" {
				mu.Lock()
				defer mu.Unlock()
				faults = append(faults, name+": "+fault+": "+body)
			}
		})
	}
	callers.Wait()
	return faults
}

// streamCount makes the prompts of streams different.
var streamCount atomic.Int64

// earnRetries sends requests that succeed, as retries are limited to a tenth of them.
func (f *fleet) earnRetries(retries int) {
	GinkgoHelper()
	const requestsPerRetry = 10
	c := caller.New(f.apiKeys["hives"])
	defer c.Client.CloseIdleConnections()
	var callers sync.WaitGroup
	for range requestsPerRetry {
		callers.Go(func() {
			defer GinkgoRecover()
			for range retries {
				_, err := c.Complete(context.Background(), f.running()[0].callerAddress, caller.Prompt{Model: "letters", Content: "sound", Tokens: 1})
				Expect(err).NotTo(HaveOccurred())
			}
		})
	}
	callers.Wait()
}

var _ = Describe("a stream that broke off and whose next engine does not continue it", Ordered, ContinueOnFailure, func() {
	var f *fleet
	var current *atomic.Pointer[continuationFault]

	BeforeAll(func() {
		f = startFleet(1)
		current = f.startContinuationFaults()
	})

	// setAnswers makes the engines give the answers, until the spec ends.
	setAnswers := func(answers map[string]func(string) string) *continuationFault {
		fault := &continuationFault{answers: answers, answered: make(map[string]int), prompts: make(map[string]bool)}
		current.Store(fault)
		DeferCleanup(func() { current.Store(nil) })
		return fault
	}

	// checkAnswers requests two streams with each of the answers, and more with those that no
	// engine has given, because the limit of retries did not allow another attempt.
	checkAnswers := func(answers map[string]func(string) string) {
		GinkgoHelper()
		const maxRounds = 5
		fault := setAnswers(answers)
		var faults []string
		for range maxRounds {
			for names := range slices.Chunk(fault.missing(), 5) {
				f.earnRetries(20)
				faults = append(faults, f.checkStreams(append(names, names...))...)
			}
		}
		Expect(faults).To(BeEmpty())
		Expect(fault.missing()).To(BeEmpty())
	}

	// Guards against the text of an error in the middle of a stream, and against a part of a
	// stream that looks complete.
	It("has no bytes of an answer with another status and does not look complete", func() {
		checkAnswers(continuationAnswers)
	})

	// Guards against a response that ends after the answer of the second engine, although
	// another one could go on.
	It("is continued by another engine after status 400", func() {
		fault := setAnswers(continuationAnswers)
		prompt := caller.Prompt{Model: "letters", Content: "status 400" + nameSeparator + "continued", Tokens: 8}
		status, body := f.requestStream(f.running()[0], "1.1", prompt)
		Expect(status).To(Equal(http.StatusOK))
		Expect(findStreamFault(body, prompt.ExpectedText())).To(BeEmpty())
		Expect(body).To(HaveSuffix(doneEvent))
		Expect(fault.answered).To(Equal(map[string]int{"status 400": 1}))
	})

	// Guards against the bytes of a page, or of a compressed body, that count as events since
	// they have blank lines.
	It("has no bytes of another body with status 200", func() { checkAnswers(otherBodies) })

	// Guards against tokens that come twice or are missing, because an engine begins the stream
	// again or goes on elsewhere.
	It("has no tokens of an engine that goes on after another token", func() {
		events := func(position, first int) func(string) string {
			return func(id string) string {
				var body strings.Builder
				for index := first; index < tokensBeforeBreak+2; index++ {
					fmt.Fprintf(&body, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"FAULT %d\"}}]}\n\n", index)
				}
				body.WriteString(doneEvent)
				return strings.Replace(answerEvents(body.String())(id), fmt.Sprintf("X-Resume-From: %d\r\n", tokensBeforeBreak),
					fmt.Sprintf("X-Resume-From: %d\r\n", position), 1)
			}
		}
		checkAnswers(map[string]func(string) string{
			"from the first token": events(0, 0), "one token early": events(tokensBeforeBreak-1, tokensBeforeBreak-1),
			"one token late": events(tokensBeforeBreak+1, tokensBeforeBreak+1),
			"without a position": func(id string) string {
				return strings.Replace(events(0, 0)(id), "X-Resume-From: 0\r\n", "", 1)
			},
		})
	})

	// Guards against an error event that counts as a token: the stream goes on after it with a
	// token missing, or looks complete.
	It("has no error event of an engine", func() { checkAnswers(errorEvents) })

	// Guards against bytes of an answer that get into another stream.
	It("has no bytes of any answer while many streams break off at once", Label("known-red"), func() {
		answers := maps.Clone(continuationAnswers)
		maps.Copy(answers, otherBodies)
		maps.Copy(answers, errorEvents)
		fault := setAnswers(answers)
		names := slices.Sorted(maps.Keys(answers))
		for range 2 {
			f.earnRetries(20)
			Expect(f.checkStreams(append(names, names...))).To(BeEmpty())
		}
		AddReportEntry("result", fmt.Sprintf("%d of %d answers given", len(fault.answered), len(answers)))
		Expect(fault.answered).NotTo(BeEmpty())
	})

	// Guards against a stream that is given up and looks complete to its caller.
	It("does not look complete to a caller that closes its side of the connection", func() {
		setAnswers(continuationAnswers)
		for _, name := range []string{"status 400", "status 204", "status 500", "no events, with a length"} {
			prompt := caller.Prompt{Model: "letters", Content: name + nameSeparator + "half-closed", Tokens: 8}
			conn := f.sendStreamRequest(f.running()[0], "1.1", prompt)
			DeferCleanup(conn.Close)
			Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				continue
			}
			DeferCleanup(response.Body.Close)
			body, err := io.ReadAll(response.Body)
			if err == nil && response.StatusCode == http.StatusOK {
				Expect(findStreamFault(string(body), prompt.ExpectedText())).To(BeEmpty())
			}
		}
	})
})

var _ = Describe("a response of a service that broke off", func() {
	// Guards against bytes of two responses in one.
	It("has no bytes in the response of the next service", func() {
		f := startFleet(1)
		var requests atomic.Int64
		var answers [2]func(string) string
		for _, service := range f.site.Services {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = io.WriteString(conn, answers[min(requests.Add(1), 2)-1](request.Header.Get("X-Request-Id")))
					_ = conn.Close()
				}
			}))
			DeferCleanup(server.Close)
			f.upstreamProxies[service.ID].SetTarget(server.Listener.Addr().String())
			f.upstreamProxies[service.ID].CloseOpenConnections()
		}
		c := caller.New(f.apiKeys["hives"])
		for _, broken := range []string{"Content-Length: 20\r\n\r\nFAULT", "Transfer-Encoding: chunked\r\n\r\n5\r\nFAULT\r\n"} {
			for status, next := range map[int]func(string) string{
				200: answerWith("200 OK", "text/plain", "whole"), 404: answerWith("404 Not Found", "text/plain", "whole"),
				500: answerWith("500 Internal Server Error", "text/plain", "whole"),
			} {
				answers = [2]func(string) string{func(id string) string {
					return "HTTP/1.1 200 OK\r\nX-Resume-From: 3\r\nX-Request-Id: " + id + "\r\n" + broken
				}, next}
				requests.Store(0)
				response, err := c.Send(context.Background(), http.MethodGet, f.running()[0].callerAddress, "/orders", nil, "")
				Expect(err).NotTo(HaveOccurred())
				Expect(requests.Load()).To(Equal(int64(2)))
				Expect(response.Status).To(Equal(status))
				Expect(string(response.Body)).To(Equal("whole"))
			}
		}
	})
})
