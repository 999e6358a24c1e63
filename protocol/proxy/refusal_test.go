package proxy_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/protocol/proxy"
)

// fixedSender returns the same response to all attempts, and records them.
type fixedSender struct {
	response proxy.Response
	attempts []proxy.Attempt
}

func (s *fixedSender) Send(_ context.Context, attempt proxy.Attempt) (*proxy.Response, error) {
	s.attempts = append(s.attempts, attempt)
	response := s.response
	response.Header, response.Body = http.Header{}, io.NopCloser(strings.NewReader(""))
	return &response, nil
}

// causeObserver keeps the causes of attempts.
type causeObserver struct {
	discardObserver
	causes []string
}

func (o *causeObserver) AttemptEnded(record proxy.AttemptRecord) {
	o.causes = append(o.causes, record.Cause.Error())
}

var _ = Describe("Refusals of upstreams", func() {
	// Guards against refusals whose reason nobody can see afterwards: an engine without the model
	// looks like one that is full.
	It("are recorded with their status", func() {
		observer := &causeObserver{}
		sender := &fixedSender{response: proxy.Response{Status: http.StatusMisdirectedRequest, NotRun: true}}
		serve(startProxy(sender, func(config *proxy.Config) { config.Observer = observer }), "/plain/a", "")
		Expect(observer.causes).To(ContainElement(ContainSubstring("421")))
	})

	// Guards against a late copy of a refusal that is believed because the engine that sent
	// it has registered again under another ID: connections are shared by address.
	It("are counted by address when a call is sent again", func() {
		sender := &fixedSender{response: proxy.Response{Status: http.StatusOK, Verified: true}}
		p := startProxy(sender)
		for range 20 {
			// Retries are a share of the calls.
			serve(p, "/plain/a", "")
		}
		sender.attempts, sender.response = nil, proxy.Response{Status: http.StatusMisdirectedRequest, NotRun: true}
		Expect(serve(p, "/plain/a", "").status).To(Equal(http.StatusServiceUnavailable))
		Expect(sender.attempts).To(HaveLen(2))
		Expect(sender.attempts[0].Upstream.ID).NotTo(Equal(sender.attempts[1].Upstream.ID))
		Expect(sender.attempts[1].Repeat).To(Equal(1), "the address is the same")
	})

	// Guards against calls that wait for upstreams which want no requests for longer than the
	// calls may wait, and against requests to them.
	It("that ask for a pause are followed, and further calls rejected at once", func() {
		sender := &fixedSender{response: proxy.Response{
			Status: http.StatusServiceUnavailable, NotRun: true, Availability: &proxy.Availability{PauseFor: 30 * time.Second},
		}}
		p := startProxy(sender)
		for range 2 * upstreamCount {
			serve(p, "/plain/a", "")
		}
		sender.attempts = nil
		began := time.Now()
		writer := serve(p, "/plain/b", "")
		Expect(writer.status).To(Equal(http.StatusServiceUnavailable))
		Expect(writer.err.RetryAfter).To(BeNumerically("~", 30*time.Second, 5*time.Second))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(sender.attempts).To(BeEmpty())
	})

	// Guards against a status that tells the caller that the call was not run, though the
	// upstream did not state it.
	DescribeTable("are not passed on unless they state that the call was not run",
		func(status int) {
			sender := &fixedSender{response: proxy.Response{Status: status, Verified: true}}
			writer := serve(startProxy(sender), "/plain/a", "")
			Expect(writer.status).To(Equal(http.StatusBadGateway))
			Expect(writer.err).NotTo(BeNil(), "the error is the instance's own")
			Expect(sender.attempts).To(HaveLen(1), "the call may have run")
		},
		Entry("timeout", http.StatusRequestTimeout),
		Entry("misdirected", http.StatusMisdirectedRequest),
		Entry("rate limit", http.StatusTooManyRequests),
		Entry("overload", http.StatusServiceUnavailable),
	)
})
