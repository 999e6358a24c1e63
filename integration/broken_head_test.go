package integration_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// brokenHeadBody is the body of responses with a broken head. It is a whole stream too.
const brokenHeadBody = "id: 1\ndata: " + brokenMark + "\n\ndata: [DONE]\n\n"

// brokenMark is a part of brokenHeadBody.
const brokenMark = `{"broken":true}`

// brokenHead returns a response whose status line and fields are inserted into a head that is
// otherwise sound.
func brokenHead(name, status, fields string) cutForm {
	return cutForm{name: name, text: "HTTP/1.1 " + status + "\r\nContent-Type: text/event-stream\r\nX-Request-Id: %ID\r\n" +
		fields + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(brokenHeadBody)) + brokenHeadBody}
}

// brokenStatuses returns responses whose status is none of HTTP, or none of a final response.
func brokenStatuses() []cutForm {
	var forms []cutForm
	for _, status := range []string{"000", "+20 OK", "101 Switching Protocols", "999 X"} {
		forms = append(forms, brokenHead("status "+status, status, ""))
	}
	return forms
}

// brokenNames returns responses with a field whose name is invalid.
func brokenNames() []cutForm {
	var forms []cutForm
	for _, line := range []string{"X Bad: 1", " X-Bad: 1", "X-Bad : 1", "X\tBad: 1", "X\x01Bad: 1"} {
		forms = append(forms, brokenHead(fmt.Sprintf("line %q", line), "200 OK", line+"\r\n"))
	}
	chunked := cutForm{name: "a blank after the name of the transfer coding", text: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
		"X-Request-Id: %ID\r\nTransfer-Encoding : chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(brokenHeadBody), brokenHeadBody)}
	interim := brokenHead("a blank in a name of an interim response", "200 OK", "")
	interim.text = "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\n" + interim.text
	return append(forms, chunked, interim)
}

// brokenHeads returns responses with a broken head.
func brokenHeads() []cutForm { return append(brokenStatuses(), brokenNames()...) }

// isBroken reports whether a caller got something else than a response of the instance or a sound
// one of an upstream.
func isBroken(status int, body string, err error) bool {
	return err != nil || status < http.StatusOK || status > http.StatusGatewayTimeout || strings.Contains(body, brokenMark)
}

var _ = Describe("Responses with a broken head, on the platform", func() {
	// Guards against a broken response that a caller gets as an answer, or that resets its
	// connection.
	DescribeTable("are not passed on", func(request platformtest.Request, expected ...int) {
		f := startHostedFleet(1)
		path := request.Path
		var wrong []string
		for n, form := range brokenHeads() {
			request.ID = fmt.Sprintf("head-%d", n)
			// Calls that are alike are refused after some failures.
			if request.Path = path + "-" + request.ID; request.Body != "" {
				request.Body = request.ID
			}
			for _, upstream := range f.AllUpstreams() {
				upstream.SetCutResponse(platformtest.WithStamp(form.text), false)
			}
			f.SetBehaviour(onFirst(platformtest.CutResponse))
			played := 0
			for end := time.Now().Add(8 * time.Second); played == 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				status, body, err := f.sendRaw(request, cutCallers[0])
				for _, upstream := range f.AllUpstreams() {
					played += countExecutionsOf(upstream, request.ID)
				}
				if isBroken(status, body, err) {
					wrong = append(wrong, fmt.Sprintf("%s: status %d, body %q, error %v", form.name, status, body, err))
				} else if played > 0 {
					Expect(expected).To(ContainElement(status), "%s: %q", form.name, body)
				}
			}
			Expect(played).To(BeNumerically(">", 0), form.name)
		}
		Expect(wrong).To(BeEmpty())
	},
		Entry("orders", orderRequest(), http.StatusBadGateway),
		Entry("lookups", stockRequest(), http.StatusOK),
		Entry("streams", notesRequest(), http.StatusBadGateway),
		Entry("streams that may be continued", adviceRequest(), http.StatusOK),
	)
})

var _ = Describe("an instance whose upstreams send a broken head", func() {
	// Guards against a broken response that a caller gets as an answer, or that resets its
	// connection.
	DescribeTable("passes no such response on", func(kind string) {
		f := startFleet(1)
		forms := brokenHeads()
		played := f.cutUpstreams(forms)
		address := f.running()[0].callerAddress
		var wrong []string
		for n, form := range forms {
			call := newCutCall(kind, n)
			// An upstream that has failed gets no requests for some time.
			for end, try := time.Now().Add(8*time.Second), 1; time.Now().Before(end) && !played.has(call.name); try++ {
				if kind == "keyed" {
					call.header = fmt.Sprintf("Idempotency-Key: %s%d\r\n", call.name, try)
				}
				status, body, err := call.send(address, f.apiKeys["hives"], cutCallers[0])
				if isBroken(status, body, err) {
					wrong = append(wrong, fmt.Sprintf("%s: status %d, body %q, error %v", form.name, status, body, err))
				}
				time.Sleep(20 * time.Millisecond)
			}
			Expect(played.has(call.name)).To(BeTrue(), form.name)
		}
		Expect(wrong).To(BeEmpty())
	},
		Entry("orders", "order"),
		Entry("orders with a key", "keyed"),
		Entry("lookups", "lookup"),
		Entry("completions", "completion"),
		Entry("streams", "stream"),
	)
})
