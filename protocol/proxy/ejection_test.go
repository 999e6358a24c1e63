package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/proxy"
	"github.com/crocushollow/crocushollow/state/selector"
	"github.com/crocushollow/crocushollow/state/throttler"
)

// badSender is a sound upstream, and a faulty one that fails at each request in the same way.
type badSender struct {
	fail func(ctx context.Context) (*proxy.Response, error)
	// sent counts the requests to the faulty upstream.
	sent atomic.Int64
}

func (s *badSender) Send(ctx context.Context, attempt proxy.Attempt) (*proxy.Response, error) {
	if attempt.Upstream.ID == "faulty" {
		s.sent.Add(1)
		return s.fail(ctx)
	}
	time.Sleep(20 * time.Millisecond)
	return respond(http.StatusOK, true, strings.NewReader(soundBody(attempt.Call.Path))), nil
}

func respond(status int, isVerified bool, body io.Reader) *proxy.Response {
	return &proxy.Response{Status: status, Header: http.Header{}, Verified: isVerified, Body: io.NopCloser(body)}
}

// silentBody is a response whose body never begins.
type silentBody struct{ ctx context.Context }

func (b silentBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// endlessReader returns bytes without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// withTwoUpstreams lets a proxy choose between a sound upstream, which runs one request at a
// time, and a faulty one.
func withTwoUpstreams(c *proxy.Config) {
	upstreams := make(map[string]*catalog.Upstream)
	for id, slots := range map[string]int{"sound": 1, "faulty": 100} {
		upstreams[id] = &catalog.Upstream{ID: id, Service: "s", Address: id, Slots: slots, StartUnixMilli: 1, SoftwareVersion: "v1"}
	}
	c.Selector = selector.New(selector.Config{
		IsPinnable:    func(string, catalog.SoftwareVersion) bool { return true },
		ColdRateShare: func(*catalog.Service, string) int { return 1 },
		OnLoadChange:  func() {}, OnHealthChange: func(selector.HealthChange) {},
		RateLimit: func(*catalog.Upstream) throttler.Limit { return throttler.Limit{} },
	})
	c.Selector.SetTopology(selector.Topology{Catalog: c.Catalog(), Upstreams: upstreams})
	c.HasEnded = func(context.Context, *catalog.Upstream) bool { return false }
}

var _ = Describe("An upstream that fails at each request", func() {
	const (
		calls    = 150
		interval = 10 * time.Millisecond
		timeout  = 200 * time.Millisecond
		// maxSent allows for the calls that are sent before the first of them times out.
		maxSent = 45
	)

	// Guards against a faulty upstream that gets requests for as long as it fails, because
	// its failures are of a kind that ejects no upstream.
	DescribeTable("gets few of them",
		func(path string, fail func(context.Context) (*proxy.Response, error)) {
			sender := &badSender{fail: fail}
			p := startProxy(sender, withTwoUpstreams)
			var group sync.WaitGroup
			for i := range calls {
				group.Go(func() {
					target := fmt.Sprint(path, i)
					p.Serve(context.Background(), &proxy.Call{
						ID: target, Host: "h", Method: http.MethodPost, Path: target, Target: target, Header: http.Header{},
						ArrivedAt: time.Now(), CallerTimeout: timeout,
					}, &recordingWriter{})
				})
				time.Sleep(interval)
			}
			group.Wait()
			AddReportEntry("requests to the faulty upstream", sender.sent.Load())
			Expect(sender.sent.Load()).To(BeNumerically("<=", maxSent))
		},
		Entry("if it responds to other requests", "/plain/", func(context.Context) (*proxy.Response, error) {
			return respond(http.StatusOK, false, strings.NewReader("complete")), nil
		}),
		Entry("if it refuses them and does not state that it has not run them", "/plain/", func(context.Context) (*proxy.Response, error) {
			return respond(http.StatusServiceUnavailable, true, strings.NewReader("")), nil
		}),
		Entry("if it responds with errors", "/plain/", func(context.Context) (*proxy.Response, error) {
			return respond(http.StatusInternalServerError, true, strings.NewReader("")), nil
		}),
		Entry("if it closes its connections", "/plain/", func(context.Context) (*proxy.Response, error) {
			return nil, &proxy.SendError{Err: io.EOF, MayHaveRun: true}
		}),
		Entry("if it breaks off its responses", "/plain/", func(context.Context) (*proxy.Response, error) {
			return respond(http.StatusOK, true, io.MultiReader(strings.NewReader("com"), &failingReader{errors.New("reset")})), nil
		}),
		Entry("if it breaks off its streams", "/stream/", func(context.Context) (*proxy.Response, error) {
			return respond(http.StatusOK, true, io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\n"), &failingReader{errors.New("reset")})), nil
		}),
		Entry("if its responses are too large", "/plain/", func(context.Context) (*proxy.Response, error) {
			return respond(http.StatusOK, true, endlessReader{}), nil
		}),
		Entry("if it does not respond", "/plain/", func(ctx context.Context) (*proxy.Response, error) {
			<-ctx.Done()
			return nil, &proxy.SendError{Err: ctx.Err(), MayHaveRun: true}
		}),
		Entry("if it is silent after the header", "/plain/", func(ctx context.Context) (*proxy.Response, error) {
			return respond(http.StatusOK, true, silentBody{ctx}), nil
		}),
		Entry("if it is silent after the header of a stream", "/stream/", func(ctx context.Context) (*proxy.Response, error) {
			return respond(http.StatusOK, true, silentBody{ctx}), nil
		}),
	)
})

// failingReader returns an error.
type failingReader struct{ err error }

func (r *failingReader) Read([]byte) (int, error) { return 0, r.err }
