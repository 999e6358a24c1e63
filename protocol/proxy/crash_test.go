package proxy_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/proxy"
)

// crashSender is an upstream that loses the first response, and ends the connection of the
// second one in its middle, and so on.
type crashSender struct{ sent int }

func (s *crashSender) Send(_ context.Context, _ proxy.Attempt) (*proxy.Response, error) {
	s.sent++
	if s.sent%2 == 1 {
		return nil, &proxy.SendError{Err: errors.New("reset"), MayHaveRun: true}
	}
	return &proxy.Response{
		Status: http.StatusOK, Header: http.Header{}, Verified: true, EndsWithConnection: true, Body: io.NopCloser(strings.NewReader("cut of")),
	}, nil
}

var _ = Describe("A request that crashes upstreams", func() {
	// Guards against evidence that is dropped for a response that only looks complete.
	It("is not released by a response that ends with its connection", func() {
		sender := &crashSender{}
		p := startProxy(sender, func(c *proxy.Config) {
			c.HasEnded = func(context.Context, *catalog.Upstream) bool { return false }
		})
		for range 6 {
			serve(p, "/plain/a", "")
		}
		Expect(sender.sent).To(BeNumerically("<", 6))
	})
})
