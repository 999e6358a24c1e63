package integration_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// hostedAnswer returns the bytes of an answer, for the request ID and the stamp that it names.
type hostedAnswer func(id, stamp string) string

// hostedAnswerWith returns an answer with a length that names the request and has the stamp.
func hostedAnswerWith(status, contentType, body string) hostedAnswer {
	return func(id, stamp string) string {
		return platformtest.ResponseHead(status, id, stamp) +
			fmt.Sprintf("Content-Type: %s\r\nContent-Length: %d\r\n\r\n%s", contentType, len(body), body)
	}
}

func hostedAnswerEvents(body string) hostedAnswer {
	return hostedAnswerWith("200 OK", "text/event-stream", body)
}

// hostedContinuationAnswers are answers of an engine that are no continuation of a stream after
// its first event.
var hostedContinuationAnswers = map[string]hostedAnswer{
	"status 101": func(id, stamp string) string {
		return platformtest.ResponseHead("101 Switching Protocols", id, stamp) + "\r\n" + errorPage
	},
	"status 103 and then 400": func(id, stamp string) string {
		return "HTTP/1.1 103 Early Hints\r\nX-Request-Id: " + id + "\r\n\r\n" + hostedAnswerWith("400 Bad Request", "application/json", errorJSON)(id, stamp)
	},
	"status 201 with events": hostedAnswerWith("201 Created", "text/event-stream", "id: 2\ndata: FAULT\n\n"),
	"status 204":             hostedAnswerWith("204 No Content", "text/plain", ""),
	"status 206 with events": hostedAnswerWith("206 Partial Content", "text/event-stream", "id: 2\ndata: FAULT\n\n"),
	"status 302":             hostedAnswerWith("302 Found\r\nLocation: /FAULT", "text/html", errorPage),
	"status 304":             hostedAnswerWith("304 Not Modified", "text/plain", ""),
	"status 400":             hostedAnswerWith("400 Bad Request", "application/json", errorJSON),
	"status 404":             hostedAnswerWith("404 Not Found", "application/json", errorJSON),
	"status 408":             hostedAnswerWith("408 Request Timeout", "application/json", errorJSON),
	"status 421":             hostedAnswerWith("421 Misdirected Request", "application/json", errorJSON),
	"status 429":             hostedAnswerWith("429 Too Many Requests", "application/json", errorJSON),
	"status 500":             hostedAnswerWith("500 Internal Server Error", "application/json", errorJSON),
	"status 500 as events":   hostedAnswerWith("500 Internal Server Error", "text/event-stream", "id: 2\ndata: FAULT\n\n"),
	"status 500 without an ID": func(_, stamp string) string {
		return hostedAnswerWith("500 Internal Server Error", "text/html", errorPage)("", stamp)
	},
	"status 502 without a stamp":  func(id, _ string) string { return hostedAnswerWith("502 Bad Gateway", "text/html", errorPage)(id, "") },
	"status 503":                  hostedAnswerWith("503 Service Unavailable", "text/html", errorPage),
	"status 503 that has not run": hostedAnswerWith("503 Service Unavailable\r\n"+platformtest.NotExecutedField, "text/html", errorPage),
	"status 500 in chunks with a trailer": func(id, stamp string) string {
		return platformtest.ResponseHead("500 Internal Server Error", id, stamp) +
			"Transfer-Encoding: chunked\r\nTrailer: X-Error\r\n\r\n5\r\nFAULT\r\n0\r\nX-Error: FAULT\r\n\r\n"
	},
	"a part of a head":              func(string, string) string { return "HTTP/1.1 500 Internal Server Error\r\nX-Error: FAULT" },
	"no head":                       func(string, string) string { return errorPage },
	"status 200 with JSON":          hostedAnswerWith("200 OK", "application/json", errorJSON),
	"status 200 with a page":        hostedAnswerWith("200 OK", "text/html", errorPage),
	"status 200 without a stamp":    func(id, _ string) string { return hostedAnswerEvents("id: 2\ndata: FAULT\n\n")(id, "") },
	"status 200 of another request": func(_, stamp string) string { return hostedAnswerEvents("id: 2\ndata: FAULT\n\n")("another", stamp) },
	"compressed events": func(id, stamp string) string {
		return hostedAnswerWith("200 OK\r\nContent-Encoding: gzip", "text/event-stream", "\x1f\x8bFAULT\n\nFAULT\n\n")(id, stamp)
	},
	"a head as an event":          hostedAnswerEvents(errorHead + errorJSON + "\n\n"),
	"a head without a blank line": hostedAnswerEvents("HTTP/1.1 500 Internal Server Error\r\nX-Error: FAULT\r\n\r\n"),
	"an event without an ID":      hostedAnswerEvents(errorEvent),
	"an event without an ID in chunks": func(id, stamp string) string {
		return platformtest.ResponseHead("200 OK", id, stamp) +
			"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(errorEvent), errorEvent)
	},
	"an event without an ID and the next ones": hostedAnswerEvents(errorEvent + "id: 2\ndata: FAULT\n\n"),
	"an event of the type error":               hostedAnswerEvents("event: error\ndata: FAULT\n\n"),
	"the stream from its first event":          hostedAnswerEvents("id: 1\ndata: FAULT\n\nid: 2\ndata: FAULT\n\n"),
	"no events, without a length": func(id, stamp string) string {
		return platformtest.ResponseHead("200 OK", id, stamp) + "Content-Type: text/event-stream\r\n\r\n"
	},
	"a part of an event": hostedAnswerEvents("id: 2\ndata: FAULT"),
}

// hostedStream is what the caller of a stream has received.
type hostedStream struct {
	status     int
	body       string
	isComplete bool
}

// streamRequest returns a request for a stream whose prompt shares no part with others.
func streamRequest(id string) platformtest.Request {
	return platformtest.Request{
		ID: id, Path: platformtest.ResumablePath + "1", Model: platformtest.Model, PromptParts: []string{"own-" + id},
		APIKey: platformtest.APIKey, Body: id, Header: map[string]string{"Connection": "close"},
	}
}

// requestStream sends a request for a stream to an instance with a version of HTTP.
func (f *hostedFleet) requestStream(n int, version string, request platformtest.Request) hostedStream {
	GinkgoHelper()
	conn, err := net.Dial("tcp", f.Instances[n].Settings.Listen.Callers)
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	_, err = io.WriteString(conn, request.Text("HTTP/"+version))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return hostedStream{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return hostedStream{response.StatusCode, string(body), err == nil}
}

var _ = Describe("A stream that broke off and whose next engine does not continue it", Ordered, ContinueOnFailure, func() {
	var f *hostedFleet
	var answers atomic.Int64
	var current atomic.Pointer[hostedAnswer]

	BeforeAll(func() {
		f = startHostedFleet(2)
		f.replaceEngines(6, false, func(execution platformtest.Execution) platformtest.Behaviour {
			if execution.IsContinuation() {
				return platformtest.Answer
			}
			return platformtest.ResetMidStream
		})
		for _, upstream := range f.Upstreams() {
			upstream.SetAnswer(func(execution platformtest.Execution, stamp string) string {
				answers.Add(1)
				return (*current.Load())(execution.ID, stamp)
			})
		}
	})

	// requestUntilAnswered requests streams until one has got the answer, as engines are left
	// alone for a time after a failure. It returns what the caller of that one has received.
	requestUntilAnswered := func(name string, request func(id string) hostedStream) hostedStream {
		GinkgoHelper()
		answer := hostedContinuationAnswers[name]
		current.Store(&answer)
		for n := range 40 {
			before := answers.Load()
			stream := request(strings.ReplaceAll(fmt.Sprint(name, "-", n), " ", "-"))
			if answers.Load() > before {
				return stream
			}
			time.Sleep(100 * time.Millisecond)
		}
		Fail("no engine was asked to continue a stream")
		return hostedStream{}
	}

	entries := func() []any {
		var entries []any
		for _, name := range slices.Sorted(maps.Keys(hostedContinuationAnswers)) {
			entries = append(entries, Entry(name, name))
		}
		return entries
	}

	// Guards against the text of an error in the middle of a stream, and against a part of a
	// stream that looks complete.
	DescribeTable("has no bytes of the answer and does not look complete", append([]any{func(name string) {
		for n, version := range []string{"1.1", "1.0"} {
			stream := requestUntilAnswered(name, func(id string) hostedStream { return f.requestStream(n, version, streamRequest(version+id)) })
			Expect(stream.status).To(Equal(http.StatusOK))
			Expect(stream.body).To(MatchRegexp(`^id: 1\ndata: [^\n]*\n\n$`))
			Expect(stream.isComplete).To(BeFalse())
		}
	}}, entries()...)...)

	// Guards against an answer that looks like the rest of a stream to a caller that takes it
	// up.
	DescribeTable("does not look complete to a caller that takes it up", append([]any{func(name string) {
		for n, version := range []string{"1.1", "1.0"} {
			stream := requestUntilAnswered(name, func(id string) hostedStream {
				none := hostedAnswer(func(string, string) string { return "" })
				current.Store(&none)
				f.requestStream(n, version, streamRequest(version+"begun-"+id))
				answer := hostedContinuationAnswers[name]
				before := answers.Load()
				current.Store(&answer)
				stream := f.requestStream(n, version, streamRequest(version+id).WithTakeUp(version+"begun-"+id, 1))
				if answers.Load() == before {
					return hostedStream{}
				}
				return stream
			})
			if stream.status == http.StatusOK {
				Expect(stream.body).NotTo(ContainSubstring(errorText))
				Expect(stream.isComplete).To(BeFalse())
			}
		}
	}}, entries()...)...)

	// Guards against bytes of an answer that get into another stream.
	It("has no bytes of any answer while many streams break off at once", func() {
		names := slices.Sorted(maps.Keys(hostedContinuationAnswers))
		var next atomic.Int64
		answer := hostedAnswer(func(id, stamp string) string {
			return hostedContinuationAnswers[names[int(next.Add(1))%len(names)]](id, stamp)
		})
		current.Store(&answer)
		const count = 60
		streams := make([]hostedStream, count)
		for round := range 3 {
			var callers sync.WaitGroup
			for n := range count {
				callers.Go(func() {
					defer GinkgoRecover()
					streams[n] = f.requestStream(n%2, []string{"1.1", "1.0"}[n/2%2], streamRequest(fmt.Sprint("load-", round, "-", n)))
				})
			}
			callers.Wait()
			for _, stream := range streams {
				Expect(stream.body).NotTo(ContainSubstring(errorText))
				if stream.status == http.StatusOK {
					Expect(stream.body).To(MatchRegexp(`^id: 1\ndata: [^\n]*\n\n$`))
					Expect(stream.isComplete).To(BeFalse())
				}
			}
			time.Sleep(failureTime)
		}
		AddReportEntry("result", fmt.Sprintf("%d answers to %d streams", next.Load(), 3*count))
		Expect(next.Load()).To(BeNumerically(">", 0))
	})
})

var _ = Describe("A response that is no stream and broke off", func() {
	// Guards against bytes of two responses in one.
	DescribeTable("has no bytes in the response of the next upstream", func(broken hostedAnswer, next hostedAnswer, status int) {
		f := startHostedFleet(1)
		var executions atomic.Int64
		f.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.Answer })
		for _, upstream := range f.Upstreams() {
			upstream.SetAnswer(func(execution platformtest.Execution, stamp string) string {
				if executions.Add(1) == 1 {
					return broken(execution.ID, stamp)
				}
				return next(execution.ID, stamp)
			})
		}
		response := f.send(stockRequest())
		Expect(executions.Load()).To(Equal(int64(2)))
		Expect(response.Complete).To(BeTrue())
		Expect(response.Status).To(Equal(status))
		Expect(response.Body).NotTo(ContainSubstring("begun"))
		if response.UpstreamID() != "" {
			Expect(response.Body).To(Equal("whole"))
		}
	},
		Entry("with a length, before a whole one", brokenBody("Content-Length: 20\r\n\r\nbegun"), hostedAnswerWith("200 OK", "text/plain", "whole"), 200),
		Entry("in chunks, before a whole one", brokenBody("Transfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n"), hostedAnswerWith("200 OK", "text/plain", "whole"), 200),
		Entry("with a length, before an error", brokenBody("Content-Length: 20\r\n\r\nbegun"), hostedAnswerWith("500 Internal Server Error", "text/plain", "whole"), 500),
		Entry("in chunks, before an error", brokenBody("Transfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n"), hostedAnswerWith("404 Not Found", "text/plain", "whole"), 404),
		Entry("in chunks, before another one", brokenBody("Transfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n"), brokenBody("Content-Length: 20\r\n\r\nbegun"), 502),
		Entry("with a head in a chunk", brokenBody("Transfer-Encoding: chunked\r\n\r\n20\r\nbegunHTTP/1.1 500 Error\r\n\r\n"), hostedAnswerWith("200 OK", "text/plain", "whole"), 200),
	)
})

// brokenBody returns an answer with status 200 that ends with its connection.
func brokenBody(rest string) hostedAnswer {
	return func(id, stamp string) string {
		return platformtest.ResponseHead("200 OK", id, stamp) + rest
	}
}
