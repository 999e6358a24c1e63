package proxy_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/proxy"
	"github.com/crocushollow/crocushollow/state/selector"
)

// heldSender tells which workspace each attempt is for, and answers as often as it is told.
type heldSender struct {
	begun  chan string
	answer chan struct{}
}

func (s *heldSender) Send(_ context.Context, attempt proxy.Attempt) (*proxy.Response, error) {
	s.begun <- attempt.Workspace
	<-s.answer
	return &proxy.Response{
		Status: http.StatusOK, Verified: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("")),
	}, nil
}

var _ = Describe("Waiting calls", func() {
	// Guards against workspaces whose priority takes precedence over the route's, and that wait
	// behind those with less.
	It("are served by the priority of their workspace", func() {
		sender := &heldSender{begun: make(chan string, 4), answer: make(chan struct{}, 4)}
		p := startProxy(sender, serveOneByOne)
		ended := make(chan struct{}, 3)
		send := func(workspace string) {
			p.Serve(context.Background(), &proxy.Call{
				ID: workspace, Host: "h", Method: http.MethodPost, Path: "/a/", Target: "/a/",
				Header: http.Header{}, APIKey: workspace, ArrivedAt: time.Now(),
			}, &recordingWriter{})
			ended <- struct{}{}
		}
		go send("first")
		Eventually(sender.begun).Should(Receive(Equal("first")))
		go send("patient")
		time.Sleep(50 * time.Millisecond)
		go send("urgent")
		Consistently(sender.begun, 100*time.Millisecond).ShouldNot(Receive())
		for _, next := range []string{"urgent", "patient"} {
			sender.answer <- struct{}{}
			Eventually(sender.begun).Should(Receive(Equal(next)))
		}
		sender.answer <- struct{}{}
		for range 3 {
			Eventually(ended).Should(Receive())
		}
	})
})

// serveOneByOne gives the proxy one upstream with one slot and three workspaces.
func serveOneByOne(config *proxy.Config) {
	table := catalog.Config{
		Version: 1, Services: []catalog.Service{{Name: "s"}}, Keys: make(map[crocushollow.Digest]string),
		Routes: []catalog.Route{{
			Name: "a", Host: "h", PathPrefix: "/a/", Kind: catalog.NonIdempotent, Timeout: 20 * time.Second, MaxAttempts: 1,
			Priority: 1, WeightedServices: []catalog.WeightedService{{Service: "s", Weight: 1}},
		}},
	}
	for priority, name := range []string{"urgent", "first", "patient"} {
		table.Workspaces = append(table.Workspaces, catalog.Workspace{Name: name, Priority: priority})
		table.Keys[crocushollow.DigestKey(name)] = name
	}
	current, err := catalog.New(table)
	Expect(err).NotTo(HaveOccurred())
	config.Catalog = func() *catalog.Catalog { return current }
	config.Selector.SetTopology(selector.Topology{Catalog: current, Upstreams: map[string]*catalog.Upstream{
		"only": {ID: "only", Service: "s", Address: "127.0.0.1:1", Slots: 1, StartUnixMilli: 1, SoftwareVersion: "v1"},
	}})
}
