package integration_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// hostedFleet is a group of instances on a simulated platform.
type hostedFleet struct {
	*platformtest.Cluster
}

// startHostedFleet starts a simulated platform with instances and waits until they
// are ready.
func startHostedFleet(count int) *hostedFleet {
	GinkgoHelper()
	f, err := platformtest.StartCluster(count, zerolog.New(GinkgoWriter))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.Close)
	return &hostedFleet{f}
}

// send sends a request to the first instance. See sendTo.
func (f *hostedFleet) send(r platformtest.Request) platformtest.Response {
	GinkgoHelper()
	return f.sendTo(0, r)
}

// sendTo sends a request to an instance, with the API key of the workspace unless
// the request has one.
func (f *hostedFleet) sendTo(n int, r platformtest.Request) platformtest.Response {
	GinkgoHelper()
	if r.APIKey == "" {
		r.APIKey = platformtest.APIKey
	}
	answer, err := platformtest.Send(context.Background(), f.Instances[n].Settings.Listen.Callers, r)
	Expect(err).NotTo(HaveOccurred())
	return answer
}

func notesRequest() platformtest.Request {
	return platformtest.Request{Path: platformtest.StreamingPath + "1", Model: platformtest.Model, Body: "prompt"}
}

func adviceRequest() platformtest.Request {
	return platformtest.Request{Path: platformtest.ResumablePath + "1", Model: platformtest.Model, Body: "prompt"}
}

func orderRequest() platformtest.Request {
	return platformtest.Request{Path: platformtest.NonIdempotentPath + "1?n=2", Body: "ten frames"}
}

func stockRequest() platformtest.Request {
	return platformtest.Request{Path: platformtest.IdempotentPath + "1"}
}

var _ = Describe("An instance on the platform", func() {
	// Guards against callers that set headers which only instances may set, such as
	// X-Tenant, and against hop-by-hop headers and API keys that reach an upstream.
	It("forwards streams, orders and lookups unchanged, except for reserved headers", func() {
		f := startHostedFleet(2)
		answer := f.send(notesRequest())
		Expect(answer.Status).To(Equal(200))
		Expect(answer.EventIDs()).To(Equal([]int{1, 2, 3, 4, 5, 6}))
		Expect(answer.Complete).To(BeTrue())
		Expect(f.sendTo(1, stockRequest()).Status).To(Equal(200))
		r := orderRequest()
		r.Header = map[string]string{
			"X-Tenant": "another", "X-Pin-Ms": "100", "X-Kv-Backup": "1.2.3.4:5", "X-Queue-Hold": "h",
			"X-Own": "kept", "Connection": "X-Hop", "X-Hop": "1",
		}
		Expect(f.send(r).Status).To(Equal(200))
		var run platformtest.Execution
		for _, candidate := range f.Executions(platformtest.PlainService) {
			if candidate.Body != "" {
				run = candidate
			}
		}
		Expect(run.Target).To(Equal("/order/1?n=2"))
		Expect(run.Body).To(Equal("ten frames"))
		Expect(run.Header.Get("X-Tenant")).To(Equal(platformtest.Workspace))
		Expect(run.Header.Get("X-Own")).To(Equal("kept"))
		for _, name := range []string{"Authorization", "X-Pin-Ms", "X-Kv-Backup", "X-Queue-Hold", "X-Hop"} {
			Expect(run.Header).NotTo(HaveKey(name))
		}
	})

	// Guards against requests that reach an upstream without a route or a valid key.
	It("rejects unknown paths and keys and runs nothing", func() {
		f := startHostedFleet(1)
		Expect(f.send(platformtest.Request{Path: "/nowhere/"}).Status).To(Equal(404))
		r := orderRequest()
		r.APIKey = "wrong"
		Expect(f.send(r).Status).To(Equal(401))
		Expect(f.Executions(platformtest.PlainService)).To(BeEmpty())
	})

	// Guards against a retry after the upstream crashes or returns the response to
	// another request, and against passing on such a response.
	It("sends a non-idempotent request only once, whichever way its upstream fails", func() {
		f := startHostedFleet(1)
		f.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.Crash })
		Expect(f.send(orderRequest()).Status).To(Equal(502))
		Expect(f.Executions(platformtest.PlainService)).To(HaveLen(1))
		f.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.WrongRequestID })
		r := orderRequest()
		r.Body = "crossed"
		answer := f.send(r)
		Expect(answer.Status).To(Equal(502))
		Expect(answer.Body).NotTo(ContainSubstring("another request"))
		Expect(f.Executions(platformtest.PlainService)).To(HaveLen(2))
	})

	// Guards against a response that leaves open whether the request ran.
	It("responds with 503 and Retry-After if upstreams reject a request without running it", func() {
		f := startHostedFleet(1)
		f.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.Reject })
		answer := f.send(orderRequest())
		Expect(answer.Status).To(Equal(503))
		Expect(answer.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.Executions(platformtest.PlainService)).To(BeEmpty())
	})

	// Guards against an error for the caller although another attempt can succeed.
	It("retries an idempotent request after an upstream failure", func() {
		f := startHostedFleet(1)
		f.SetBehaviour(failFirst(platformtest.ServerError))
		Expect(f.send(stockRequest()).Status).To(Equal(200))
		f.SetBehaviour(failFirst(platformtest.Crash))
		Expect(f.send(platformtest.Request{Path: platformtest.IdempotentPath + "2"}).Status).To(Equal(200))
	})

	// Guards against a second run of a stream that may run at most once, and
	// against lost or duplicate events in a stream that is resumed.
	It("resumes a resumable stream within one response and ends another stream early", func() {
		f := startHostedFleet(1)
		f.SetBehaviour(failFirst(platformtest.ResetMidStream))
		answer := f.send(adviceRequest())
		Expect(answer.EventIDs()).To(Equal([]int{1, 2, 3, 4, 5, 6}))
		Expect(answer.Complete).To(BeTrue())
		f.SetBehaviour(failFirst(platformtest.ResetMidStream))
		answer = f.send(notesRequest())
		Expect(answer.Complete).To(BeFalse())
		Expect(answer.EventIDs()).To(Equal([]int{1}))
	})

	// Guards against a caller that waits for as long as an upstream hangs.
	It("responds at the route's timeout if an upstream hangs", func() {
		f := startHostedFleet(1)
		f.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.Hang })
		answer := f.send(orderRequest())
		Expect(answer.Status).To(Equal(504))
		Expect(answer.Duration).To(BeNumerically("~", 2*time.Second, 400*time.Millisecond))
	})

	// Guards against rejections without Retry-After of calls that other calls were ahead of
	// for as long as they waited.
	It("names a time to retry when it rejects calls that waited behind others", func() {
		f := startHostedFleet(1)
		f.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.Hang })
		rejected := 0
		for _, answer := range f.sendConcurrently(30, stockRequest()) {
			if answer.Status == 503 {
				rejected++
				Expect(answer.Header.Get("Retry-After")).NotTo(BeEmpty(), answer.Body)
			}
		}
		Expect(rejected).To(BeNumerically(">", 10))
	})

	// Guards against a request that crashes one upstream after another. Other
	// requests must still succeed.
	It("rejects a request on every instance after it crashes two upstreams", func() {
		f := startHostedFleet(2)
		f.SetBehaviour(func(run platformtest.Execution) platformtest.Behaviour {
			if run.Body == "poison" {
				return platformtest.Crash
			}
			return platformtest.Serve
		})
		r := notesRequest()
		r.Body = "poison"
		f.send(r)
		f.sendTo(1, r)
		Eventually(func() int { return f.sendTo(0, r).Status }, "3s").Should(Equal(503))
		Eventually(func() int { return f.sendTo(1, r).Status }, "3s").Should(Equal(503))
		runCount := len(f.Executions(platformtest.ModelService))
		f.sendTo(0, r)
		f.sendTo(1, r)
		Expect(f.Executions(platformtest.ModelService)).To(HaveLen(runCount))
		Expect(f.send(notesRequest()).Status).To(Equal(200))
	})

	// Guards against a retry when the canceled attempt counts as a failure.
	It("does not repeat a request after its caller disconnects", func() {
		f := startHostedFleet(1)
		f.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.Hang })
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		r := stockRequest()
		r.APIKey = platformtest.APIKey
		_, err := platformtest.Send(ctx, f.Instances[0].Settings.Listen.Callers, r)
		Expect(err).To(HaveOccurred())
		Consistently(func() int { return len(f.Executions(platformtest.PlainService)) }, "600ms").Should(Equal(1))
	})

	// Guards against orders that exceed an engine's slots. Requests use more
	// adapters than an engine can hold.
	It("loads requested adapters within the adapter slots of an engine", func() {
		f := startHostedFleet(2)
		for n := range 8 {
			r := notesRequest()
			r.Model = fmt.Sprintf("%s/a%d", platformtest.Model, n%5+1)
			Eventually(func() int { return f.sendTo(n%2, r).Status }, "5s").Should(Equal(200))
		}
		for id, engine := range f.Upstreams() {
			Expect(engine.LimitViolations()).To(BeEmpty(), id)
		}
	})

	// Guards against a model that stays unavailable because no engine has it loaded.
	It("loads a requested model", func() {
		f := startHostedFleet(1)
		r := adviceRequest()
		r.Model = platformtest.OtherModel
		Eventually(func() int { return f.send(r).Status }, "5s").Should(Equal(200))
	})

	// Guards against requests that use up the memory of an instance or an upstream.
	It("rejects a request with an oversized body or header before it reaches an upstream", func() {
		f := startHostedFleet(1)
		r := orderRequest()
		r.Body = strings.Repeat("x", 70000)
		Expect(f.send(r).Status).To(Equal(413))
		r = orderRequest()
		r.Header = map[string]string{"X-Big": strings.Repeat("x", 64<<10)}
		Expect(f.send(r).Status).To(Equal(431))
		Expect(f.Executions(platformtest.PlainService)).To(BeEmpty())
	})

	// Guards against an instance that closes callers' connections when it stops,
	// and against one that reports itself as ready while it stops.
	It("completes a running request before it shuts down", func() {
		f := startHostedFleet(2)
		f.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour {
			time.Sleep(700 * time.Millisecond)
			return platformtest.Serve
		})
		answers := make(chan platformtest.Response)
		go func() {
			defer GinkgoRecover()
			answers <- f.send(orderRequest())
		}()
		time.Sleep(100 * time.Millisecond)
		f.Instances[0].Stop()
		Expect((<-answers).Status).To(Equal(200))
		Eventually(func() bool { return f.Instances[0].IsReady(context.Background()) }, "1s").Should(BeFalse())
		Eventually(f.Instances[0].Done(), "8s").Should(BeClosed())
	})
})

// failFirst applies a behaviour to the first request and serves all others.
func failFirst(behaviour platformtest.Behaviour) func(platformtest.Execution) platformtest.Behaviour {
	first := make(chan struct{}, 1)
	first <- struct{}{}
	return func(platformtest.Execution) platformtest.Behaviour {
		select {
		case <-first:
			return behaviour
		default:
			return platformtest.Serve
		}
	}
}
