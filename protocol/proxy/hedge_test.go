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
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/proxy"
	"github.com/crocushollow/crocushollow/state/budgeter"
	"github.com/crocushollow/crocushollow/state/hedger"
	"github.com/crocushollow/crocushollow/state/selector"
	"github.com/crocushollow/crocushollow/state/throttler"
)

const (
	// usualTime is the time that upstreams take to respond, and hedgeDelay that after which the
	// hedger of these specs allows a hedge.
	usualTime  = 10 * time.Millisecond
	hedgeDelay = 2 * usualTime
	// slowTime is the time that a slow upstream takes.
	slowTime = 400 * time.Millisecond
)

// scriptedSender responds to each attempt as the script says, and counts what runs.
type scriptedSender struct {
	// respond returns the response to the attempt with the given number, from 1.
	respond func(ctx context.Context, attempt int) (*proxy.Response, error)

	mu sync.Mutex
	// sent holds the attempts by request ID, in order.
	sent      map[string][]proxy.Attempt
	cancelled atomic.Int64
}

func (s *scriptedSender) Send(ctx context.Context, attempt proxy.Attempt) (*proxy.Response, error) {
	s.mu.Lock()
	if s.sent == nil {
		s.sent = make(map[string][]proxy.Attempt)
	}
	s.sent[attempt.Call.ID] = append(s.sent[attempt.Call.ID], attempt)
	number := len(s.sent[attempt.Call.ID])
	s.mu.Unlock()
	context.AfterFunc(ctx, func() { s.cancelled.Add(1) })
	return s.respond(ctx, number)
}

// attempts returns the attempts of all calls that were sent count times.
func (s *scriptedSender) attempts(count int) [][]proxy.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found [][]proxy.Attempt
	for _, sent := range s.sent {
		if len(sent) == count {
			found = append(found, sent)
		}
	}
	return found
}

// after waits, or returns the error of an attempt that is cancelled.
func after(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return &proxy.SendError{Err: ctx.Err(), MayHaveRun: true}
	}
}

// respondAfter returns a sound response after a time.
func respondAfter(ctx context.Context, duration time.Duration, body string) (*proxy.Response, error) {
	if err := after(ctx, duration); err != nil {
		return nil, err
	}
	return respond(http.StatusOK, true, strings.NewReader(body)), nil
}

// slowFirst is a script in which the first attempt is slow.
func slowFirst(body string) func(context.Context, int) (*proxy.Response, error) {
	return func(ctx context.Context, attempt int) (*proxy.Response, error) {
		duration := usualTime
		if attempt == 1 {
			duration = slowTime
		}
		return respondAfter(ctx, duration, fmt.Sprintf(body, attempt))
	}
}

// hedgeObserver keeps the results of hedges and attempts.
type hedgeObserver struct {
	discardObserver
	mu       sync.Mutex
	hedges   []proxy.HedgeResult
	attempts []proxy.AttemptRecord
	calls    []proxy.CallRecord
}

func (o *hedgeObserver) HedgeChanged(record proxy.HedgeRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hedges = append(o.hedges, record.Result)
}

func (o *hedgeObserver) AttemptEnded(record proxy.AttemptRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts = append(o.attempts, record)
}

func (o *hedgeObserver) CallEnded(record proxy.CallRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls = append(o.calls, record)
}

// hedging lets a proxy send hedges. The times of its routes are known, and requests were sent.
func hedging(observer *hedgeObserver, requests int, upstreams ...catalog.Upstream) func(*proxy.Config) {
	return hedgingAt(0.95, observer, requests, upstreams...)
}

func hedgingAt(percentile float64, observer *hedgeObserver, requests int, upstreams ...catalog.Upstream) func(*proxy.Config) {
	return func(c *proxy.Config) {
		now := time.Now()
		c.Observer = observer
		c.Budgeter = budgeter.New(budgeter.Config{
			RetryRatio: 1, ExtraRetries: 100, Window: 10 * time.Second, Instances: func() int { return 1 }, StartTime: now,
		})
		c.Hedger = hedger.New(hedger.Config{MaxExtra: 0.05, Percentile: percentile, Window: 10 * time.Second, StartTime: now})
		for range requests {
			c.Hedger.RecordSend("s", now)
		}
		for _, name := range []string{"/plain/", "/safe/", "/stream/", "/stream/resumable/", "/stream/persistent/"} {
			for range 100 {
				c.Hedger.Observe(hedger.Route{Name: name, Service: "s"}, usualTime, now)
			}
		}
		if len(upstreams) == 0 {
			for i := range 8 {
				upstreams = append(upstreams, catalog.Upstream{ID: fmt.Sprint("u-", i), Address: fmt.Sprint("a-", i), Slots: 100})
			}
		}
		registered := make(map[string]*catalog.Upstream)
		for _, u := range upstreams {
			u.Service, u.StartUnixMilli, u.SoftwareVersion = "s", 1, "v1"
			registered[u.ID] = &u
		}
		c.Selector = selector.New(selector.Config{
			IsPinnable:    func(string, catalog.SoftwareVersion) bool { return true },
			ColdRateShare: func(*catalog.Service, string) int { return 1 },
			OnLoadChange:  func() {}, OnHealthChange: func(selector.HealthChange) {},
			RateLimit: func(*catalog.Upstream) throttler.Limit { return throttler.Limit{} },
		})
		c.Selector.SetTopology(selector.Topology{Catalog: c.Catalog(), Upstreams: registered})
		c.HasEnded = func(context.Context, *catalog.Upstream) bool { return false }
	}
}

const plenty = 1000

var _ = Describe("A call on a slow upstream", func() {
	var observer *hedgeObserver
	BeforeEach(func() { observer = &hedgeObserver{} })

	// Guards against answers as slow as the slowest of many upstreams.
	DescribeTable("is sent to another one, and the slow attempt is cancelled", func(path, body string) {
		sender := &scriptedSender{respond: slowFirst(body)}
		p := startProxy(sender, hedging(observer, plenty))
		startedAt := time.Now()
		writer := serve(p, path+"a", "")
		Expect(time.Since(startedAt)).To(BeNumerically("<", slowTime/2))
		Expect(writer.status).To(Equal(http.StatusOK))
		Expect(writer.body.String()).To(Equal(fmt.Sprintf(body, 2)))
		Expect(observer.hedges).To(Equal([]proxy.HedgeResult{proxy.HedgeSent, proxy.HedgeWon}))
		sent := sender.attempts(2)
		Expect(sent).To(HaveLen(1))
		Expect(sent[0][1].Upstream.Address).NotTo(Equal(sent[0][0].Upstream.Address))
		Expect(sent[0][1].TimeLeft).To(BeNumerically("<", sent[0][0].TimeLeft))
		Eventually(sender.cancelled.Load).Should(BeNumerically("==", 2))
		Expect(observer.calls[0].Attempts).To(Equal(2))
		Expect(observer.attempts[0].Result).To(Equal("abandoned"))
		Expect(observer.attempts[1].Result).To(Equal("served"))
	},
		Entry("if it is idempotent", "/safe/", "answer %d"),
		Entry("if it is a stream that may be resumed", "/stream/resumable/", "id: 1\ndata: %d\n\nid: 2\ndata: b\n\n"),
	)

	DescribeTable("is sent once", func(path string, settings func() func(*proxy.Config), denied []proxy.HedgeResult) {
		sender := &scriptedSender{respond: slowFirst("id: 1\ndata: %d\n\n")}
		p := startProxy(sender, settings())
		Expect(serve(p, path+"a", "").status).To(Equal(http.StatusOK))
		Expect(sender.attempts(1)).To(HaveLen(1))
		Expect(observer.hedges).To(Equal(denied))
	},
		Entry("if it must not run twice", "/plain/", func() func(*proxy.Config) { return hedging(observer, plenty) }, nil),
		Entry("if its stream cannot be resumed", "/stream/", func() func(*proxy.Config) { return hedging(observer, plenty) }, nil),
		Entry("at the end of the limit", "/safe/", func() func(*proxy.Config) { return hedging(observer, 5) },
			[]proxy.HedgeResult{"denied_budget"}),
		Entry("if the other upstream has the same address", "/safe/", func() func(*proxy.Config) {
			return hedging(observer, plenty, catalog.Upstream{ID: "u-1", Address: "a", Slots: 100}, catalog.Upstream{ID: "u-2", Address: "a", Slots: 100})
		}, []proxy.HedgeResult{"denied_no_other_upstream"}),
		Entry("if the other upstreams are half used", "/safe/", func() func(*proxy.Config) {
			return hedging(observer, plenty, catalog.Upstream{ID: "u-1", Address: "a", Slots: 1}, catalog.Upstream{ID: "u-2", Address: "b", Slots: 1})
		}, []proxy.HedgeResult{"denied_no_other_upstream"}),
		Entry("during a shutdown", "/safe/", func() func(*proxy.Config) {
			return func(c *proxy.Config) {
				hedging(observer, plenty)(c)
				until := time.Now().Add(time.Hour)
				c.Shutdown = func() proxy.Shutdown {
					return proxy.Shutdown{BeganAt: time.Now(), EndsAt: until, RunsUntil: until, EarlyUntil: until}
				}
			}
		}, []proxy.HedgeResult{"denied_not_repeatable"}),
		Entry("if the budget of retries is used up", "/safe/", func() func(*proxy.Config) {
			return func(c *proxy.Config) {
				hedging(observer, plenty)(c)
				c.Budgeter = budgeter.New(budgeter.Config{Window: 10 * time.Second, Instances: func() int { return 1 }, StartTime: time.Now()})
			}
		}, []proxy.HedgeResult{"denied_budget"}),
	)

	It("is sent once by default", func() {
		sender := &scriptedSender{respond: slowFirst("%d")}
		serve(startProxy(sender), "/safe/a", "")
		Expect(sender.attempts(1)).To(HaveLen(1))
	})

	It("is sent as often as the limit allows if all upstreams are slow", func() {
		const calls = 200
		sender := &scriptedSender{respond: func(ctx context.Context, _ int) (*proxy.Response, error) {
			return respondAfter(ctx, slowTime, "answer")
		}}
		p := startProxy(sender, hedging(observer, 0))
		var group sync.WaitGroup
		for range calls {
			group.Go(func() { Expect(serve(p, "/safe/a", "").status).To(Equal(http.StatusOK)) })
		}
		group.Wait()
		Expect(len(sender.attempts(2))).To(BeNumerically("<=", calls*0.05))
	})

	It("waits for the other attempt if one fails", func() {
		sender := &scriptedSender{respond: func(ctx context.Context, attempt int) (*proxy.Response, error) {
			if attempt == 2 {
				return respond(http.StatusInternalServerError, true, strings.NewReader("fault")), nil
			}
			return respondAfter(ctx, 10*usualTime, "answer")
		}}
		writer := serve(startProxy(sender, hedging(observer, plenty)), "/safe/a", "")
		Expect(writer.status).To(Equal(http.StatusOK))
		Expect(writer.body.String()).To(Equal("answer"))
		Expect(observer.hedges).To(Equal([]proxy.HedgeResult{proxy.HedgeSent, proxy.HedgeLost}))
	})

	It("waits for the hedge if the first attempt breaks off meanwhile", func() {
		sender := &scriptedSender{respond: func(ctx context.Context, attempt int) (*proxy.Response, error) {
			if attempt == 2 {
				return respondAfter(ctx, 5*usualTime, "answer")
			}
			_ = after(ctx, hedgeDelay+2*usualTime)
			return respond(http.StatusOK, true, io.MultiReader(strings.NewReader("ans"), &failingReader{errors.New("reset")})), nil
		}}
		writer := serve(startProxy(sender, hedging(observer, plenty)), "/safe/a", "")
		Expect(writer.body.String()).To(Equal("answer"))
		Expect(observer.attempts[0].Result).To(Equal("unreachable"))
	})

	It("fails as after any two attempts if both fail", func() {
		sender := &scriptedSender{respond: func(ctx context.Context, _ int) (*proxy.Response, error) {
			_ = after(ctx, 5*usualTime)
			return nil, &proxy.SendError{Err: io.EOF, MayHaveRun: true}
		}}
		writer := serve(startProxy(sender, hedging(observer, plenty)), "/safe/a", "")
		Expect(writer.status).To(Equal(http.StatusBadGateway))
		Expect(sender.attempts(2)).To(HaveLen(1))
	})

	It("gets an answer of the upstream that no other attempt would change", func() {
		sender := &scriptedSender{respond: func(ctx context.Context, attempt int) (*proxy.Response, error) {
			_ = after(ctx, 5*usualTime)
			if attempt == 2 {
				return nil, &proxy.SendError{Err: io.EOF, MayHaveRun: true}
			}
			return respond(http.StatusNotFound, true, strings.NewReader("none")), nil
		}}
		writer := serve(startProxy(sender, hedging(observer, plenty)), "/safe/a", "")
		Expect(writer.status).To(Equal(http.StatusNotFound))
		Expect(writer.body.String()).To(Equal("none"))
	})

	It("goes on elsewhere if the stream that won breaks off", func() {
		sender := &scriptedSender{respond: func(ctx context.Context, attempt int) (*proxy.Response, error) {
			switch attempt {
			case 1:
				return respondAfter(ctx, slowTime, "id: 1\ndata: slow\n\n")
			case 2:
				body := io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), &failingReader{errors.New("reset")})
				return respond(http.StatusOK, true, body), nil
			}
			return respond(http.StatusOK, true, strings.NewReader("id: 2\ndata: b\n\n")), nil
		}}
		writer := serve(startProxy(sender, hedging(observer, plenty)), "/stream/persistent/a", "")
		sent := sender.attempts(3)
		Expect(sent).To(HaveLen(1))
		Expect(sent[0][2].LastEventID).To(Equal("1"))
		Expect(sent[0][2].Upstream.ID).NotTo(BeElementOf(sent[0][0].Upstream.ID, sent[0][1].Upstream.ID))
		Expect(writer.body.String()).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	})

	// Guards against a call that hangs on an upstream that does not notice the cancellation.
	It("does not wait for an attempt whose cancellation is lost", func() {
		stop := make(chan struct{})
		DeferCleanup(func() { close(stop) })
		sender := &scriptedSender{respond: func(_ context.Context, attempt int) (*proxy.Response, error) {
			if attempt == 1 {
				<-stop
			}
			return respond(http.StatusOK, true, strings.NewReader("answer")), nil
		}}
		Expect(serve(startProxy(sender, hedging(observer, plenty)), "/safe/a", "").body.String()).To(Equal("answer"))
	})

	It("is cancelled at both upstreams when its caller leaves", func() {
		sender := &scriptedSender{respond: func(ctx context.Context, _ int) (*proxy.Response, error) {
			return respondAfter(ctx, time.Minute, "answer")
		}}
		p := startProxy(sender, hedging(observer, plenty))
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(3*hedgeDelay, leave)
		p.Serve(ctx, &proxy.Call{ID: "left", Host: "h", Method: http.MethodGet, Path: "/safe/a", Target: "/safe/a", Header: http.Header{}, ArrivedAt: time.Now()}, &recordingWriter{})
		Expect(sender.attempts(2)).To(HaveLen(1))
		Eventually(sender.cancelled.Load).Should(BeNumerically("==", 2))
		Expect(observer.calls[0].End).To(Equal(proxy.CallerLeft))
		Expect(observer.hedges).To(Equal([]proxy.HedgeResult{proxy.HedgeSent, proxy.HedgeFailed}))
	})
})

// TestHedgedCalls checks with attempts of random times and outcomes that a call that must not run
// twice is sent once, that no other exceeds its attempts, that each gets one whole answer or an
// error, and that all reservations are released.
func TestHedgedCalls(t *testing.T) {
	RegisterFailHandler(func(message string, _ ...int) { t.Fatal(message) })
	observer := &hedgeObserver{}
	sender := &scriptedSender{}
	var plan sync.Map
	sender.respond = func(ctx context.Context, attempt int) (*proxy.Response, error) { return planned(ctx, &plan, attempt) }
	// At a low percentile no number of slow attempts counts as overload.
	p, stop := newProxy(sender, hedgingAt(0.3, observer, 100000))
	defer stop()
	rapid.Check(t, func(t *rapid.T) {
		id := fmt.Sprint("p", callNumber.Add(1))
		path := rapid.SampledFrom([]string{"/plain/", "/safe/", "/stream/", "/stream/resumable/"}).Draw(t, "path")
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) plannedAttempt {
			return plannedAttempt{rapid.SampledFrom(plannedTimes).Draw(t, "time"), rapid.IntRange(0, 4).Draw(t, "fault")}
		}), 4, 4).Draw(t, "attempts")
		ctx := context.WithValue(context.Background(), planKey{}, id)
		plan.Store(id, steps)
		writer := &recordingWriter{}
		p.Serve(ctx, &proxy.Call{ID: id, Host: "h", Method: http.MethodPost, Path: path, Target: path + id, Header: http.Header{}, ArrivedAt: time.Now()}, writer)
		sender.mu.Lock()
		sent := len(sender.sent[id])
		sender.mu.Unlock()
		runs := 0
		for _, step := range steps[:sent] {
			if step.fault != faultNotRun {
				runs++
			}
		}
		if sent > 2 || runs > 1 && (path == "/plain/" || path == "/stream/") {
			t.Fatalf("sent %d times, and run %d times", sent, runs)
		}
		if writer.status == http.StatusOK && !writer.aborted && writer.body.String() != plannedBody {
			t.Fatalf("partial answer %q", writer.body.String())
		}
		if writer.status == 0 && !writer.aborted {
			t.Fatal("no answer")
		}
	})
	observer.mu.Lock()
	defer observer.mu.Unlock()
	sends := 0
	for _, sent := range sender.sent {
		sends += len(sent)
	}
	if sends != len(observer.attempts) {
		t.Fatalf("%d attempts were sent, and %d ended", sends, len(observer.attempts))
	}
	results := make(map[proxy.HedgeResult]int)
	for _, result := range observer.hedges {
		results[result]++
	}
	t.Logf("%d calls, %d sends, hedges: %v", len(observer.calls), sends, results)
	if results[proxy.HedgeSent] == 0 {
		t.Fatal("no hedge was sent")
	}
}

// Faults of planned attempts.
const (
	_ = iota
	faultStatus
	faultReset
	faultCut
	faultNotRun
)

// plannedTimes are mostly short, so that the delay of a hedge stays below the longest.
var plannedTimes = []time.Duration{
	0, 0, time.Millisecond, time.Millisecond, 2 * time.Millisecond, usualTime, 2*hedgeDelay - time.Millisecond, 2 * hedgeDelay, 3 * hedgeDelay,
}

const plannedBody = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

type (
	plannedAttempt struct {
		duration time.Duration
		fault    int
	}
	planKey struct{}
)

func planned(ctx context.Context, plan *sync.Map, attempt int) (*proxy.Response, error) {
	steps, _ := plan.Load(ctx.Value(planKey{}))
	step := steps.([]plannedAttempt)[attempt-1]
	if err := after(ctx, step.duration); err != nil {
		return nil, err
	}
	switch step.fault {
	case faultStatus:
		return respond(http.StatusInternalServerError, true, strings.NewReader("fault")), nil
	case faultReset:
		return nil, &proxy.SendError{Err: io.EOF, MayHaveRun: true}
	case faultCut:
		return respond(http.StatusOK, true, io.MultiReader(strings.NewReader("id: 1"), &failingReader{errors.New("reset")})), nil
	case faultNotRun:
		response := respond(http.StatusServiceUnavailable, true, strings.NewReader(""))
		response.NotRun = true
		return response, nil
	}
	return respond(http.StatusOK, true, strings.NewReader(plannedBody)), nil
}
