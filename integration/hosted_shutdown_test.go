package integration_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/platform/platformtest"
	"github.com/crocushollow/crocushollow/standin/stager"
)

// shutdownCall is a call to an instance that is being stopped.
type shutdownCall struct {
	platformtest.Response
	// after is the time from the stop of the instance until the call was sent.
	after time.Duration
	err   error
}

// callUntilGone sends a request to an instance at each interval, over connections that are
// kept open, until its process refuses connections.
func (f *hostedFleet) callUntilGone(n int, interval time.Duration, r platformtest.Request) []shutdownCall {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	calls := callLoop{client: client, interval: interval, next: func(time.Duration) platformtest.Request { return r }}
	return calls.untilGone(f.Instances[n].Settings.Listen.Callers, f.Instances[n].Stop)
}

// callLoop sends requests to an instance that is being stopped.
type callLoop struct {
	client   *http.Client
	interval time.Duration
	// next returns the request to send at a time after the stop.
	next func(after time.Duration) platformtest.Request
}

// untilGone stops the instance at an address and sends requests to it until it refuses
// connections.
func (l *callLoop) untilGone(address string, stop func()) []shutdownCall {
	stoppedAt := time.Now()
	stop()
	var mu sync.Mutex
	var calls []shutdownCall
	var pending sync.WaitGroup
	var isGone atomic.Bool
	for !isGone.Load() && time.Since(stoppedAt) < 10*time.Second {
		pending.Go(func() {
			call := shutdownCall{after: time.Since(stoppedAt)}
			r := l.next(call.after)
			r.APIKey = platformtest.APIKey
			call.Response, call.err = platformtest.SendWith(context.Background(), l.client, address, r)
			if errors.Is(call.err, syscall.ECONNREFUSED) {
				isGone.Store(true)
			}
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, call)
		})
		time.Sleep(l.interval)
	}
	pending.Wait()
	return calls
}

// startPacedFleet starts two instances with two engines, which wait for an interval before each
// of the ten events of a stream, and for another one if its path says that it is slow.
func startPacedFleet(interval, slowInterval time.Duration) *hostedFleet {
	GinkgoHelper()
	f := startHostedFleet(2)
	table := f.Table()
	table.Version, table.TimeoutMs = table.Version+1, 15000
	f.PutTable(table)
	for _, id := range []string{"i-paced-1", "i-paced-2"} {
		config := versionedEngine(id, "v1")
		config.EventInterval, config.SlowEventInterval, config.Slots = interval, slowInterval, 128
		f.StartUpstream(config)
	}
	f.DeregisterUpstream("i-a")
	f.DeregisterUpstream("i-b")
	time.Sleep(time.Second)
	return f
}

var _ = Describe("Instances that are stopped one after the other", func() {
	const (
		eventInterval = 430 * time.Millisecond
		// excusedTime is the time after the stop up to which a request may be cut at the
		// end of the grace period.
		excusedTime = 3 * time.Second
	)

	startSlowFleet := func() *hostedFleet {
		GinkgoHelper()
		return startPacedFleet(eventInterval, eventInterval)
	}
	stream := notesRequest()
	stream.Timeout = 15 * time.Second

	// Guards against requests that an instance accepts when too little of the grace period
	// is left for them, and cuts at its end.
	It("complete the streams that they accept late, and reject the others as not run", func() {
		f := startSlowFleet()
		// The instances learn how long streams take.
		for _, response := range f.sendConcurrently(140, stream) {
			Expect(response.Complete).To(BeTrue())
		}
		results := make([][]shutdownCall, len(f.Instances))
		var pending sync.WaitGroup
		for n := range f.Instances {
			pending.Go(func() { results[n] = f.callUntilGone(n, 60*time.Millisecond, stream) })
			time.Sleep(time.Second)
		}
		pending.Wait()
		runs := make(map[string]bool)
		for _, execution := range f.Executions(platformtest.ModelService) {
			runs[execution.ID] = true
		}
		for _, calls := range results {
			served := 0
			for _, call := range calls {
				switch {
				case call.Status == http.StatusOK && call.Complete:
					served++
				case call.Status == http.StatusOK:
					Expect(call.after).To(BeNumerically("<", excusedTime), "stream cut after %d events", len(call.EventIDs()))
				case call.Status == http.StatusServiceUnavailable:
					Expect(runs).NotTo(HaveKey(call.ID))
					Expect(call.Header.Get("Retry-After")).NotTo(BeEmpty())
				default:
					Expect(call.err).To(HaveOccurred())
					Expect(runs).NotTo(HaveKey(call.ID))
				}
			}
			// Streams that begin in the first second have over 6 s left and need 4.3 s.
			Expect(served).To(BeNumerically(">=", 10))
		}
	})

	// Guards against an instance that knows of no duration and accepts streams in the last
	// seconds.
	It("reject late streams of a route that they have not served before", func() {
		f := startSlowFleet()
		late := 0
		for _, call := range f.callUntilGone(0, 100*time.Millisecond, stream) {
			if call.after < excusedTime {
				continue
			}
			late++
			Expect(call.Status).To(Or(Equal(0), Equal(http.StatusServiceUnavailable)))
		}
		Expect(late).To(BeNumerically(">", 2))
	})
})

var _ = Describe("An instance that is stopped while another is ready", func() {
	const (
		// excusedTime is the time after the stop up to which a request may be cut at the end
		// of the grace period.
		excusedTime  = 3 * time.Second
		callInterval = 20 * time.Millisecond
	)

	// startMixedFleet starts two instances with engines whose streams take 150 ms, and 6 s if
	// their paths say so.
	startMixedFleet := func() *hostedFleet {
		GinkgoHelper()
		return startPacedFleet(15*time.Millisecond, 600*time.Millisecond)
	}
	// streamFrom returns streams of which those that are sent from a time after the stop on
	// are slow.
	streamFrom := func(slowFrom time.Duration) func(after time.Duration) platformtest.Request {
		return func(after time.Duration) platformtest.Request {
			r := notesRequest()
			r.Timeout = 15 * time.Second
			if after >= slowFrom {
				r.Path += platformtest.SlowSuffix
			}
			return r
		}
	}
	expectNoLateCut := func(calls []shutdownCall) {
		GinkgoHelper()
		late := 0
		for _, call := range calls {
			if call.after <= excusedTime {
				continue
			}
			late++
			Expect(call.Status == http.StatusOK && !call.Complete).To(BeFalse(),
				"stream sent after %s cut after %s and %d events", call.after, call.Duration, len(call.EventIDs()))
		}
		Expect(late).To(BeNumerically(">", 10))
	}

	// openConnections returns a client with connections to an instance that are kept open.
	openConnections := func(address string) *http.Client {
		const connections = 400
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
		DeferCleanup(client.CloseIdleConnections)
		var pending sync.WaitGroup
		for range connections {
			pending.Go(func() {
				r := streamFrom(time.Hour)(0)
				r.APIKey = platformtest.APIKey
				_, _ = platformtest.SendWith(context.Background(), client, address, r)
			})
		}
		pending.Wait()
		return client
	}
	// keepAtWork keeps an instance at work until its end, by an order without an answer. It
	// returns a function that waits for that order to end.
	keepAtWork := func(f *hostedFleet, address string) (wait func()) {
		f.SetBehaviour(func(e platformtest.Execution) platformtest.Behaviour {
			if e.Body == orderRequest().Body {
				return platformtest.Hang
			}
			return platformtest.Serve
		})
		var pending sync.WaitGroup
		pending.Go(func() {
			r := orderRequest()
			r.APIKey, r.Timeout = platformtest.APIKey, 14*time.Second
			_, _ = platformtest.Send(context.Background(), address, r)
		})
		time.Sleep(100 * time.Millisecond)
		return pending.Wait
	}

	// startBusyInstance starts another instance as a process, and returns its address and a
	// function that stops it as the platform does. The process handles SIGTERM late.
	startBusyInstance := func(f *hostedFleet) (callers string, stop func()) {
		GinkgoHelper()
		const (
			signalDelay = 250 * time.Millisecond
			grace       = 8 * time.Second
		)
		text, readiness, callers := hostedSettings(f.Platform)
		session, _ := startHostedDaemon(strings.Replace(text, `"node-1"`, `"node-busy"`, 1))
		Eventually(isInstanceReady(readiness), "5s").Should(BeTrue())
		time.Sleep(time.Second)
		return callers, func() {
			session.Signal(syscall.SIGSTOP)
			session.Signal(syscall.SIGTERM)
			time.AfterFunc(signalDelay, func() { session.Signal(syscall.SIGCONT) })
			time.AfterFunc(grace, func() { session.Signal(syscall.SIGKILL) })
		}
	}

	// Guards against streams that an instance accepts late, because all of their route that
	// have ended were shorter, and cuts.
	It("cuts no stream that is sent when its callers know the other one", func() {
		f := startMixedFleet()
		calls := callLoop{client: &http.Client{}, interval: callInterval, next: streamFrom(excusedTime)}
		expectNoLateCut(calls.untilGone(f.Instances[0].Settings.Listen.Callers, f.Instances[0].Stop))
	})

	// Guards against short streams that an instance accepts on open connections until shortly
	// before its end, and cuts if they take longer than usual.
	It("cuts no stream that is sent on an open connection", func() {
		f := startMixedFleet()
		address := f.Instances[0].Settings.Listen.Callers
		client := openConnections(address)
		wait := keepAtWork(f, address)
		calls := callLoop{client: client, interval: callInterval, next: streamFrom(6500 * time.Millisecond)}
		expectNoLateCut(calls.untilGone(address, f.Instances[0].Stop))
		wait()
	})

	// Guards against streams that an instance accepts late by an estimate, because no other
	// instance is ready, and cuts.
	It("cuts no stream that is sent late if the other one stops too", func() {
		f := startMixedFleet()
		for _, response := range f.sendConcurrently(90, streamFrom(time.Hour)(0)) {
			Expect(response.Complete).To(BeTrue())
		}
		calls := callLoop{client: &http.Client{}, interval: callInterval, next: streamFrom(excusedTime)}
		expectNoLateCut(calls.untilGone(f.Instances[0].Settings.Listen.Callers, func() {
			f.Instances[1].Stop()
			f.Instances[0].Stop()
		}))
	})

	// Guards against late streams that count as early since a busy instance handles SIGTERM
	// late.
	It("cuts no stream that is sent late if it handles SIGTERM late", func() {
		f := startMixedFleet()
		callers, stop := startBusyInstance(f)
		calls := callLoop{client: &http.Client{}, interval: callInterval, next: streamFrom(excusedTime)}
		expectNoLateCut(calls.untilGone(callers, stop))
	})

	// Guards against streams that a busy instance accepts, because their deadline comes before
	// the end of its shutdown, and that end before their deadline when the process is killed.
	It("cuts no stream that is sent late before its deadline if it handles SIGTERM late", func() {
		const timeout = 2 * time.Second
		f := startMixedFleet()
		callers, stop := startBusyInstance(f)
		client := openConnections(callers)
		wait := keepAtWork(f, callers)
		slowStream := func(after time.Duration) platformtest.Request {
			r := streamFrom(5500 * time.Millisecond)(after)
			r.Timeout = timeout
			return r
		}
		calls := callLoop{client: client, interval: callInterval, next: slowStream}
		late := 0
		for _, call := range calls.untilGone(callers, stop) {
			if call.after <= 5500*time.Millisecond || call.Status != http.StatusOK {
				continue
			}
			late++
			// Callers and instances count the timeout from different moments.
			Expect(call.Duration).To(BeNumerically(">", timeout-10*time.Millisecond), "stream sent after %s cut", call.after)
		}
		Expect(late).To(BeNumerically(">", 5))
		wait()
	})
})

var _ = Describe("The end of the grace period", func() {
	const grace = 8 * time.Second

	// stopDuring stops an instance while it serves a request that was sent before. It returns
	// the response.
	stopDuring := func(f *hostedFleet, r platformtest.Request) (platformtest.Response, error) {
		time.Sleep(time.Second)
		r.APIKey, r.Timeout = platformtest.APIKey, 14*time.Second
		type result struct {
			response platformtest.Response
			err      error
		}
		results := make(chan result)
		go func() {
			response, err := platformtest.Send(context.Background(), f.Instances[0].Settings.Listen.Callers, r)
			results <- result{response, err}
		}()
		time.Sleep(100 * time.Millisecond)
		stoppedAt := time.Now()
		f.Instances[0].Stop()
		end := <-results
		Eventually(f.Instances[0].Done(), "9s").Should(BeClosed())
		// The platform kills the process then.
		Expect(time.Since(stoppedAt)).To(BeNumerically("<", grace))
		return end.response, end.err
	}
	patientFleet := func() *hostedFleet {
		f := startHostedFleet(1)
		table := f.Table()
		table.Version, table.TimeoutMs = table.Version+1, 15000
		f.PutTable(table)
		return f
	}

	// Guards against streams that are cut earlier than the process is killed.
	It("cuts no stream that ends before the process is killed", func() {
		f := patientFleet()
		config := versionedEngine("i-slow", "v1")
		config.EventsPerStream, config.EventInterval = 4, 1900*time.Millisecond
		f.StartUpstream(config)
		f.DeregisterUpstream("i-a")
		f.DeregisterUpstream("i-b")
		response, err := stopDuring(f, notesRequest())
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Complete).To(BeTrue())
		Expect(response.EventIDs()).To(HaveLen(4))
	})

	// Guards against requests that may have run and whose connection ends without an answer.
	It("answers the requests that have no response yet", func() {
		f := patientFleet()
		f.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.Hang })
		response, err := stopDuring(f, orderRequest())
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(http.StatusBadGateway))
		Expect(response.Complete).To(BeTrue())
		Expect(response.Body).To(ContainSubstring("instance_shutting_down"))
	})
})

var _ = Describe("An instance that stops to accept connections", func() {
	// Guards against a closing listener that resets connections which wait to be accepted.
	It("resets no connection that was established", func() {
		f := startHostedFleet(2)
		f.Instances[0].Stop()
		time.Sleep(3 * time.Second)
		Expect(connectUntilRefused(f.Instances[0].Settings.Listen.Callers)).To(BeEmpty())
	})

	// Guards against the same in the project's own surroundings.
	It("resets no connection that was established, in a site with a log", func() {
		site := startSite(2, func(*stager.Config) {})
		stopped := site.Instances()[0]
		go stopped.Stop()
		Expect(connectUntilRefused(stopped.Callers)).To(BeEmpty())
	})
})

// connectUntilRefused sends requests on new connections until they are refused. It returns
// the errors of the connections that were established.
func connectUntilRefused(address string) []error {
	var mu sync.Mutex
	var lost []error
	var callers sync.WaitGroup
	for range 48 {
		callers.Go(func() {
			for {
				isConnected, err := exchange(address)
				if errors.Is(err, syscall.ECONNREFUSED) {
					return
				}
				if err != nil && (isConnected || errors.Is(err, syscall.ECONNRESET)) {
					mu.Lock()
					lost = append(lost, err)
					mu.Unlock()
				}
			}
		})
	}
	callers.Wait()
	return lost
}

// exchange sends a request on a new connection. It returns whether the connection was
// established, and the error.
func exchange(address string) (isConnected bool, err error) {
	conn, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: none\r\nConnection: close\r\n\r\n"); err != nil {
		return true, err
	}
	_, err = io.ReadAll(conn)
	return true, err
}
