package integration_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/standin/caller"
)

var _ = Describe("A refusal by an engine", func() {
	// Guards against a late copy of a refusal that names no request, by which a caller is
	// told that its request has not run.
	DescribeTable("counts as one of the request that it names", func(namesRequest bool, outcome crocushollow.Outcome) {
		f := startFleet(1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if namesRequest {
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		DeferCleanup(server.Close)
		for _, proxy := range f.upstreamProxies {
			proxy.SetTarget(server.Listener.Addr().String())
			proxy.CloseOpenConnections()
		}
		time.Sleep(time.Second)
		c := caller.New(f.apiKeys["hives"])
		DeferCleanup(c.Client.CloseIdleConnections)
		response, err := c.Complete(context.Background(), f.running()[0].callerAddress, caller.Prompt{Model: "letters", Content: "prompt", Tokens: 5})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Outcome()).To(BeEquivalentTo(outcome))
	},
		Entry("with its ID", true, crocushollow.OutcomeNotRun),
		Entry("without an ID", false, crocushollow.OutcomeUnknown),
	)
})
