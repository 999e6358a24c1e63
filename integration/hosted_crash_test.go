package integration_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

const (
	// crashingPart is the prompt part on which each engine ends that begins to respond.
	crashingPart = "bad0bad0"
	// stableTime is the operators' time until the fleet has settled after an event.
	stableTime = 3 * time.Second
	// toleratedCrashes is the number of engines that one part may end, and
	// toleratedRequests the number of requests with it that may be sent afterwards.
	toleratedCrashes  = 5
	toleratedRequests = 3
	// registrationInterval is the time between two registrations of an upstream.
	registrationInterval = 200 * time.Millisecond
)

// engineConfig returns the configuration of an engine whose streams take some time.
func engineConfig(number int, isCloseDelimited bool) platformtest.UpstreamConfig {
	return platformtest.UpstreamConfig{
		ID: fmt.Sprint("i-engine-", number), Service: platformtest.ModelService, Zone: []string{"za", "zb"}[number%2], Slots: 8,
		Models: []string{platformtest.Model}, MemoryMB: 200000, ModelMemoryMB: 65000, AdapterSlots: 2, LoadTime: 100 * time.Millisecond,
		EventsPerStream: 4, EventInterval: 20 * time.Millisecond, IsCloseDelimited: isCloseDelimited,
	}
}

// replaceEngines replaces the engines of the platform.
func (f *hostedFleet) replaceEngines(count int, isCloseDelimited bool, behaviour func(platformtest.Execution) platformtest.Behaviour) {
	for n := range count {
		f.StartUpstream(engineConfig(n, isCloseDelimited)).SetBehaviour(behaviour)
	}
	f.DeregisterUpstream("i-a")
	f.DeregisterUpstream("i-b")
	time.Sleep(time.Second)
}

// startCrashingFleet starts a fleet with eight engines, each of which ends on
// crashingPart.
func startCrashingFleet(isCloseDelimited bool) *hostedFleet {
	GinkgoHelper()
	f := startHostedFleet(4)
	f.replaceEngines(8, isCloseDelimited, func(execution platformtest.Execution) platformtest.Behaviour {
		if execution.HasPromptPart(crashingPart) {
			return platformtest.EndEngine
		}
		return platformtest.Serve
	})
	return f
}

// flood is a series of requests with their responses.
type flood struct {
	mu        sync.Mutex
	responses []floodResponse
	done      sync.WaitGroup
}

type floodResponse struct {
	platformtest.Response
	sentAt time.Time
}

// startFlood sends requests to one instance after the other until the context ends.
func (f *hostedFleet) startFlood(ctx context.Context, interval time.Duration, next func(number int) platformtest.Request) *flood {
	result := &flood{}
	result.done.Go(func() {
		for number := 0; ctx.Err() == nil; number++ {
			request := next(number)
			request.APIKey = platformtest.APIKey
			address := f.Instances[number%len(f.Instances)].Settings.Listen.Callers
			result.done.Go(func() {
				sentAt := time.Now()
				response, _ := platformtest.Send(context.Background(), address, request)
				result.mu.Lock()
				defer result.mu.Unlock()
				result.responses = append(result.responses, floodResponse{response, sentAt})
			})
			time.Sleep(interval)
		}
	})
	return result
}

// served returns the number of requests sent after a time, and how many of them were
// served.
func (f *flood) served(after time.Time) (sent, served int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.responses {
		if f.responses[i].sentAt.After(after) {
			sent++
			if f.responses[i].Status == 200 && f.responses[i].Complete && len(f.responses[i].EventIDs()) == 4 {
				served++
			}
		}
	}
	return sent, served
}

// crashingArrivals returns how many requests with the crashing part have reached engines
// after a time.
func (f *hostedFleet) crashingArrivals(after time.Time) int {
	count := 0
	for _, u := range f.AllUpstreams() {
		for _, arrival := range u.Arrivals() {
			if arrival.At.After(after) && arrival.HasPromptPart(crashingPart) {
				count++
			}
		}
	}
	return count
}

// lastToleratedCrash returns the time of the crash after which the part must be known,
// or of the last one.
func (f *hostedFleet) lastToleratedCrash() time.Time {
	GinkgoHelper()
	crashes := f.EndedAt()
	Expect(crashes).NotTo(BeEmpty())
	return crashes[min(toleratedCrashes, len(crashes))-1]
}

var _ = Describe("Requests that share a prompt part that ends engines", func() {
	// startPoisonedFleet starts a fleet with eight engines, each of which ends on a request.
	startPoisonedFleet := func() (*hostedFleet, platformtest.Request) {
		GinkgoHelper()
		const poison = "ends each engine"
		f := startHostedFleet(3)
		f.replaceEngines(8, false, func(execution platformtest.Execution) platformtest.Behaviour {
			if execution.Body == poison {
				return platformtest.EndEngine
			}
			return platformtest.Serve
		})
		request := notesRequest()
		request.Body = poison
		return f, request
	}

	// Guards against a request that each instance sends on again after its restart, although all
	// others refuse it.
	It("are refused by instances that were restarted, if the whole request is the same", func() {
		f, request := startPoisonedFleet()
		for number := range 12 {
			f.sendTo(number%len(f.Instances), request)
			time.Sleep(100 * time.Millisecond)
		}
		before := len(f.EndedAt())
		for n := range 3 {
			Expect(f.Instances[n].Kill()).To(Succeed())
			f.startReadyInstance()
			time.Sleep(stableTime)
			for range 4 {
				f.sendTo(len(f.Instances)-1, request)
				time.Sleep(300 * time.Millisecond)
			}
		}
		Expect(len(f.EndedAt()) - before).To(BeZero())
		Expect(f.sendTo(len(f.Instances)-1, notesRequest()).Status).To(Equal(200))
	})

	// Guards against an instance that was cut off while the others heard of the crashes.
	It("are refused by instances that were cut off, if the whole request is the same", func() {
		f, request := startPoisonedFleet()
		f.Instances[2].CutFromPeers(true)
		for number := range 12 {
			f.sendTo(number%2, request)
			time.Sleep(100 * time.Millisecond)
		}
		before := len(f.EndedAt())
		time.Sleep(2 * stableTime)
		f.Instances[2].CutFromPeers(false)
		time.Sleep(stableTime)
		for range 4 {
			f.sendTo(2, request)
			time.Sleep(300 * time.Millisecond)
		}
		Expect(len(f.EndedAt()) - before).To(BeZero())
		Expect(f.sendTo(2, notesRequest()).Status).To(Equal(200))
	})

	// Guards against refusing sound requests for long since their responses were lost.
	It("are told from requests with a common part whose responses are lost", func() {
		f := startHostedFleet(4)
		var isLosing atomic.Bool
		f.replaceEngines(4, false, func(platformtest.Execution) platformtest.Behaviour {
			if isLosing.Load() {
				return platformtest.Crash
			}
			return platformtest.Serve
		})
		send := func(number int) int {
			r := notesRequest()
			r.Body, r.PromptParts = fmt.Sprint("lost ", number), []string{"aa00", "bb00"}
			return f.sendTo(number%len(f.Instances), r).Status
		}
		isLosing.Store(true)
		for number := range 12 {
			Expect(send(number)).NotTo(Equal(200))
			time.Sleep(2 * registrationInterval)
		}
		isLosing.Store(false)
		time.Sleep(stableTime)
		for number := range 8 {
			Expect(send(100 + number)).To(Equal(200))
		}
	})

	// startSlowEngine starts a fleet whose only engine sends its first event late enough that
	// all requests that it runs are suspected when it ends.
	startSlowEngine := func(behaviour func(platformtest.Execution) platformtest.Behaviour) (*hostedFleet, string) {
		GinkgoHelper()
		f := startHostedFleet(3)
		config := engineConfig(0, false)
		config.EventInterval = 150 * time.Millisecond
		f.StartUpstream(config).SetBehaviour(behaviour)
		f.DeregisterUpstream("i-a")
		f.DeregisterUpstream("i-b")
		time.Sleep(time.Second)
		return f, config.ID
	}
	// sessionRequest returns a sound request of one of many sessions, which all have the first
	// part of their prompt in common.
	sessionRequest := func(number int) platformtest.Request {
		return platformtest.Request{
			Path: platformtest.StreamingPath, Model: platformtest.Model, Body: fmt.Sprint("sound ", number),
			PromptParts: []string{"aa00", fmt.Sprintf("bb%02d", number%40)},
		}
	}

	// Guards against refusing all requests with a common part, and thereby all that could clear
	// it, since requests with it ran beside those that ended the engine.
	DescribeTable("are told from sound requests that ran beside them at the only engine with their model", func(soundRequest func(int) platformtest.Request) {
		f, _ := startSlowEngine(func(execution platformtest.Execution) platformtest.Behaviour {
			if execution.HasPromptPart(crashingPart) {
				return platformtest.EndEngine
			}
			return platformtest.Serve
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		sound := f.startFlood(ctx, 120*time.Millisecond, soundRequest)
		time.Sleep(2 * time.Second)
		poison := f.startFlood(ctx, 100*time.Millisecond, func(number int) platformtest.Request {
			return platformtest.Request{
				Path: platformtest.StreamingPath, Model: platformtest.Model, Body: fmt.Sprint("crash ", number), PromptParts: []string{"aa00", crashingPart},
			}
		})
		time.Sleep(5 * stableTime)
		cancel()
		sound.done.Wait()
		poison.done.Wait()
		fifth := f.lastToleratedCrash()
		Expect(f.crashingArrivals(fifth.Add(stableTime))).To(BeNumerically("<=", toleratedRequests))
		sent, served := sound.served(fifth.Add(2 * stableTime))
		Expect(sent).To(BeNumerically(">=", 20))
		Expect(served).To(BeNumerically(">=", sent/2))
	},
		Entry("in many sessions", sessionRequest),
		Entry("with equal bodies", func(int) platformtest.Request { return sessionRequest(0) }),
	)

	// Guards against refusing sound requests for good after the only engine with their model has
	// ended three times by itself.
	It("do not share it if the only engine with their model ends by itself", func() {
		f, engine := startSlowEngine(func(platformtest.Execution) platformtest.Behaviour { return platformtest.Serve })
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		sound := f.startFlood(ctx, 60*time.Millisecond, sessionRequest)
		time.Sleep(2 * time.Second)
		for range 3 {
			Eventually(func() []platformtest.Execution { return f.Upstreams()[engine].Executions() }, "10s", "5ms").ShouldNot(BeEmpty())
			time.Sleep(100 * time.Millisecond)
			f.CrashUpstream(engine)
		}
		endedAt := time.Now()
		time.Sleep(5 * stableTime)
		cancel()
		sound.done.Wait()
		sent, served := sound.served(endedAt.Add(2 * stableTime))
		Expect(sent).To(BeNumerically(">=", 20))
		Expect(served).To(BeNumerically(">=", sent/2))
	})

	// Guards against requests that end one engine after the other since no two of them
	// are alike, and against refusing sound requests that share other parts with them.
	DescribeTable("stop reaching engines, and requests with their other parts stay served",
		func(isCloseDelimited bool, path string, crashing func(number int) []string) {
			f := startCrashingFleet(isCloseDelimited)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			sound := f.startFlood(ctx, 20*time.Millisecond, func(number int) platformtest.Request {
				parts := []string{"aa00", fmt.Sprintf("bb%02d", number%6)}
				return platformtest.Request{Path: path, Model: platformtest.Model, Body: fmt.Sprint("sound ", number), PromptParts: parts}
			})
			time.Sleep(time.Second)
			var crashes atomic.Int64
			poison := f.startFlood(ctx, 170*time.Millisecond, func(number int) platformtest.Request {
				crashes.Add(1)
				return platformtest.Request{Path: path, Model: platformtest.Model, Body: fmt.Sprint("crash ", number), PromptParts: crashing(number)}
			})
			time.Sleep(4*stableTime + 2*time.Second)
			cancel()
			sound.done.Wait()
			poison.done.Wait()
			fifth := f.lastToleratedCrash()
			GinkgoWriter.Println("crashes", len(f.EndedAt()), "requests sent", crashes.Load())
			Expect(f.crashingArrivals(fifth.Add(stableTime))).To(BeNumerically("<=", toleratedRequests))
			sent, served := sound.served(fifth.Add(2 * stableTime))
			Expect(sent).To(BeNumerically(">=", 20))
			Expect(served).To(BeNumerically(">=", sent/2))
		},
		Entry("as the second part, after a common first one", false, platformtest.StreamingPath,
			func(int) []string { return []string{"aa00", crashingPart} }),
		Entry("as the second part, after different first ones", false, platformtest.StreamingPath,
			func(number int) []string { return []string{fmt.Sprintf("aa%02d", number%3), crashingPart} }),
		Entry("as the first part", false, platformtest.StreamingPath,
			func(number int) []string { return []string{crashingPart, fmt.Sprintf("bb%02d", number%6)} }),
		Entry("in streams that may be resumed", false, platformtest.ResumablePath,
			func(int) []string { return []string{"aa00", crashingPart} }),
		Entry("in responses that end with their connection", true, platformtest.StreamingPath,
			func(int) []string { return []string{"aa00", crashingPart} }),
	)
})
