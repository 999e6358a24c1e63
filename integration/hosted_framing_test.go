package integration_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// onFirst returns a function that gives the first execution a behaviour, and serves the
// others.
func onFirst(first platformtest.Behaviour) func(platformtest.Execution) platformtest.Behaviour {
	var executions atomic.Int64
	return func(platformtest.Execution) platformtest.Behaviour {
		if executions.Add(1) == 1 {
			return first
		}
		return platformtest.Serve
	}
}

var _ = Describe("Responses with neither a length nor chunks", func() {
	const plain = "i-plain"

	startPlain := func(behaviour func(platformtest.Execution) platformtest.Behaviour) *hostedFleet {
		GinkgoHelper()
		f := startHostedFleet(2)
		f.StartUpstream(platformtest.UpstreamConfig{
			ID: plain, Service: platformtest.PlainService, Zone: "za", Slots: 4, IsCloseDelimited: true,
		}).SetBehaviour(behaviour)
		f.DeregisterUpstream("i-c")
		f.DeregisterUpstream("i-d")
		Eventually(func() map[string]bool { return f.respondingUpstreams(stockRequest(), 8) }, drainTimeout).
			Should(And(HaveLen(1), HaveKey(plain)))
		return f
	}

	serve := func(platformtest.Execution) platformtest.Behaviour { return platformtest.Serve }

	It("are forwarded whole when the connection ends", func() {
		f := startPlain(serve)
		for n := range 2 {
			answer := f.sendTo(n, stockRequest())
			Expect(answer.Status).To(Equal(200))
			Expect(answer.Complete).To(BeTrue())
			Expect(answer.Body).To(Equal(platformtest.PlainResponseBody(answer.ID)))
		}
		f.replaceEngines(2, true, serve)
		for n := range 2 {
			answer := f.sendTo(n, notesRequest())
			Expect(answer.Complete).To(BeTrue())
			Expect(answer.EventIDs()).To(Equal([]int{1, 2, 3, 4}))
		}
	})

	// Guards against a part of a response that reaches the caller as a success.
	It("are not forwarded when the connection is reset", func() {
		f := startPlain(serve)
		f.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.ResetMidBody })
		Expect(f.send(orderRequest()).Status).To(Equal(502))
		Expect(f.sendTo(1, stockRequest()).Status).To(Equal(502))
	})

	// Guards against a part of a response that looks complete because its upstream was killed.
	It("are not forwarded when their upstream has ended", func() {
		f := startPlain(serve)
		f.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.EndEngine })
		Expect(f.send(orderRequest()).Status).To(Equal(502))
	})

	// Guards against a part of a response that looks complete because its upstream was killed
	// within its answer to the question whether it runs.
	It("are not forwarded when their upstream ends within its report", func() {
		f := startPlain(serve)
		f.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.EndWithinReport })
		answer := f.send(orderRequest())
		Expect(answer.Status).To(Equal(502), answer.Body)
	})

	// Guards against a stream that breaks off and reaches the caller as complete.
	DescribeTable("are streams that were broken off if they end inside an event or before the first one",
		func(behaviour platformtest.Behaviour) {
			f := startHostedFleet(2)
			f.replaceEngines(2, true, onFirst(behaviour))
			resumed := f.send(adviceRequest())
			Expect(resumed.Status).To(Equal(200))
			Expect(resumed.Complete).To(BeTrue())
			Expect(resumed.EventIDs()).To(Equal([]int{1, 2, 3, 4}))
			f.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return behaviour })
			for n := range 2 {
				broken := f.sendTo(n, notesRequest())
				Expect(broken.Status == 200 && broken.Complete).To(BeFalse())
			}
		},
		Entry("inside an event", platformtest.ResetMidStream),
		Entry("before the first event", platformtest.CloseBeforeFirstEvent),
	)

	// Guards against a stream that ends as complete after a part of its events, because the
	// engine that was to continue it has ended before it sent any.
	It("are streams that were broken off if they end before the first event of a continuation", func() {
		f := startHostedFleet(2)
		f.replaceEngines(4, true, func(execution platformtest.Execution) platformtest.Behaviour {
			if !execution.IsContinuation() {
				return platformtest.ResetMidStream
			}
			return platformtest.CloseBeforeFirstEvent
		})
		broken := f.send(adviceRequest())
		Expect(broken.EventIDs()).To(Equal([]int{1}))
		Expect(broken.Complete).To(BeFalse())
		takenUp := f.sendTo(1, adviceRequest().WithTakeUp(broken.ID, 1))
		Expect(takenUp.Status == 200 && takenUp.Complete).To(BeFalse())
	})

	// Guards against a part of a stream that looks complete because its engine was killed
	// between two events.
	It("are streams that were broken off if their engine has ended", func() {
		f := startHostedFleet(1)
		for n := range 2 {
			config := engineConfig(n, true)
			config.EventInterval = 300 * time.Millisecond
			f.StartUpstream(config)
		}
		f.DeregisterUpstream("i-a")
		f.DeregisterUpstream("i-b")
		time.Sleep(time.Second)
		responses := f.killEngineDuring(adviceRequest(), notesRequest())
		Expect(responses[0].Complete).To(BeTrue())
		Expect(responses[0].EventIDs()).To(Equal([]int{1, 2, 3, 4}))
		Expect(responses[1].EventIDs()).NotTo(BeEmpty())
		Expect(responses[1].Complete).To(BeFalse())
	})
})

// killEngineDuring sends requests one after the other, and kills the engine of each after its
// first event.
func (f *hostedFleet) killEngineDuring(requests ...platformtest.Request) []platformtest.Response {
	GinkgoHelper()
	responses := make([]platformtest.Response, len(requests))
	for n, request := range requests {
		request.ID = fmt.Sprint("killed-", n)
		done := make(chan struct{})
		go func() {
			defer close(done)
			responses[n] = f.send(request)
		}()
		var engine string
		Eventually(func() string {
			for id, upstream := range f.Upstreams() {
				if slices.ContainsFunc(upstream.Executions(), func(e platformtest.Execution) bool { return e.ID == request.ID }) {
					engine = id
				}
			}
			return engine
		}).ShouldNot(BeEmpty())
		time.Sleep(450 * time.Millisecond)
		f.CrashUpstream(engine)
		Eventually(done, 5*time.Second).Should(BeClosed())
	}
	return responses
}
