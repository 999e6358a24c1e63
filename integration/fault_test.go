package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/standin/caller"
	"github.com/crocushollow/crocushollow/standin/faultproxy"
	"github.com/crocushollow/crocushollow/standin/logserver"
	"github.com/crocushollow/crocushollow/standin/plainserver"
	"github.com/crocushollow/crocushollow/standin/stager"
)

var _ = Describe("a fleet under load", func() {
	// Guards against requests that fail during a rolling replacement. Callers find
	// instances through discovery, which must list the new instance and drop the
	// old one before the old one stops accepting requests.
	It("completes every request while its instances are replaced one by one", Label("known-red"), func() {
		f := startFleet(3)
		discovery := &discoveryCache{fleet: f}
		stopLoad := f.startLoad(8, 20, discovery.address)
		for _, old := range f.running() {
			f.startInstance(old.zone)
			f.awaitReady()
			old.session.Signal(syscall.SIGTERM)
			Eventually(old.session, "20s").Should(gexec.Exit(0))
			f.remove(old)
		}
		results := stopLoad()
		Expect(results.failed).To(BeEmpty())
		Expect(results.mismatched).To(BeEmpty())
		Expect(results.rejected).To(BeEmpty())
		Expect(results.completed).To(BeNumerically(">", 100))
	})

	// Guards against shards that have no owner after an instance dies without a
	// shutdown, and against errors for callers of the surviving instances.
	It("keeps serving when an instance is killed and reassigns its shards", func() {
		f := startFleet(4)
		killed := f.running()[0]
		survivors := f.running()[1:]
		stopLoad := f.startLoad(6, 20, func(i int) string { return survivors[i%len(survivors)].callerAddress })
		time.Sleep(time.Second)
		f.kill(killed)
		time.Sleep(4 * time.Second)
		results := stopLoad()
		Expect(results.failed).To(BeEmpty())
		Expect(results.mismatched).To(BeEmpty())
		Expect(results.rejected).To(BeEmpty())
		status, err := f.consoleClient().Status(contextWithTimeout(5 * time.Second))
		Expect(err).NotTo(HaveOccurred())
		shards := 0
		for _, instance := range status.Instances {
			shards += instance.Shards
		}
		Expect(shards).To(Equal(crocushollow.ShardCount))
	})

	// Guards against streams that hang when open connections to upstreams stop
	// delivering data but aren't closed. New connections work.
	It("resumes streams whose upstream connections go silent for good", Label("known-red"), func() {
		f := startFleet(3)
		stopLoad := f.startLoad(6, 400, func(i int) string { return f.running()[i%3].callerAddress })
		time.Sleep(time.Second)
		for _, proxy := range f.upstreamProxies {
			proxy.BlackholeOpenConnections()
		}
		time.Sleep(6 * time.Second)
		results := stopLoad()
		Expect(results.failed).To(BeEmpty())
		Expect(results.mismatched).To(BeEmpty())
		Expect(results.completed).To(BeNumerically(">=", 6))
	})

	// Guards against a request that crashes one upstream after another, because
	// the fleet retries it or because callers repeat it on other instances.
	It("loses at most two upstreams to a request that crashes them, however often it is repeated", func() {
		f := startFleet(3)
		content := "take this: " + poisonText
		Eventually(func() int { return f.countPoisonRejections(content, 1) }, "20s", "200ms").Should(Equal(3))
		Expect(f.countPoisonRejections(content, 4)).To(Equal(12))
		Expect(f.countEngineCrashes()).To(BeNumerically("<=", 2))
	})

	// Guards against requests that crash one upstream after another since no two of them
	// are alike, although they have a message in common, and against refusing sound
	// requests that share their other messages.
	It("loses few upstreams to different requests with a message in common that crashes them", func() {
		f := startFleet(3)
		shoes := caller.New(f.apiKeys["shoes"])
		send := func(number int, messages ...string) int {
			body := `{"model":"letters","max_tokens":5,"messages":[`
			for _, content := range append([]string{"be brief"}, messages...) {
				body += fmt.Sprintf(`{"role":"system","content":%q},`, content)
			}
			body += fmt.Sprintf(`{"role":"user","content":"question %d"}]}`, number)
			reply, err := shoes.Send(context.Background(), http.MethodPost, f.running()[number%3].callerAddress, "/v1/chat/completions", nil, body)
			Expect(err).NotTo(HaveOccurred())
			return reply.Status
		}
		for number := range 12 {
			// The engines that have crashed load the model again.
			Eventually(send, "20s", "50ms").WithArguments(number).Should(Equal(http.StatusOK))
			Expect(send(number, poisonText)).NotTo(Equal(http.StatusOK))
		}
		Expect(f.countEngineCrashes()).To(BeNumerically("<=", toleratedCrashes+toleratedRequests))
		for number := range 6 {
			Expect(send(number)).To(Equal(http.StatusOK))
		}
	})

	// Guards against requests that are rejected while an upstream is free: one that has
	// restarted without its weights was chosen again for each of them, until the retries of
	// the workspace were used up.
	It("serves every request while an upstream that has restarted loads its model again", func() {
		f := startFleet(3)
		shoes := caller.New(f.apiKeys["shoes"])
		send := func(number int) caller.Response {
			body := fmt.Sprintf(`{"model":"letters","max_tokens":5,"messages":[{"role":"user","content":"question %d"}]}`, number)
			reply, err := shoes.Send(context.Background(), http.MethodPost, f.running()[0].callerAddress, "/v1/chat/completions", nil, body)
			Expect(err).NotTo(HaveOccurred())
			return reply
		}
		restart := func(engines []*stager.Engine) {
			for _, engine := range engines {
				engine.Server.Restart(false)
			}
		}
		awaitReplicas := func() {
			GinkgoHelper()
			Eventually(func() int { return len(f.enginesServing("letters")) }, "20s", "20ms").Should(BeNumerically(">=", 2))
			time.Sleep(time.Second) // The instances learn of the replicas through the log.
		}
		awaitReplicas()
		// The workspace uses up its retries while no engine has the model.
		restart(f.enginesServing("letters"))
		for number := range 60 {
			send(number)
		}
		awaitReplicas()
		restart(f.enginesServing("letters")[1:])
		for number := range 100 {
			reply := send(number)
			Expect(reply.Status).To(Equal(http.StatusOK), "request %d: %s", number, reply.Body)
		}
	})

	// Guards against failed streams of other callers. The crash of an upstream
	// closes the connections of all its streams.
	It("resumes the other streams of an upstream that a request crashes", func() {
		f := startFleet(3)
		stopLoad := f.startLoad(6, 60, func(i int) string { return f.running()[i%3].callerAddress })
		time.Sleep(500 * time.Millisecond)
		f.countPoisonRejections("take this: "+poisonText, 1)
		time.Sleep(2 * time.Second)
		results := stopLoad()
		Expect(results.mismatched).To(BeEmpty())
		Expect(results.failed).To(BeEmpty())
	})

	// Guards against a call that runs although no claim for it can be written to
	// the log, and against a log outage that fails requests to models.
	It("keeps serving during a log outage and reports calls with an idempotency key as not run", func() {
		f := startFleet(3)
		stopLoad := f.startLoad(4, 20, func(i int) string { return f.running()[i%3].callerAddress })
		f.site.Log.SetFaults(logserver.Faults{Outage: true})
		time.Sleep(4 * time.Second)
		reply := f.sendOrder(f.running()[0], "away")
		Expect(reply.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(reply.Outcome()).To(Equal("not_run"))
		f.site.Log.SetFaults(logserver.Faults{})
		Eventually(func() int { return f.sendOrder(f.running()[1], "back").Status }, "10s").Should(Equal(http.StatusOK))
		results := stopLoad()
		Expect(results.failed).To(BeEmpty())
		Expect(results.rejected).To(BeEmpty())
		Expect(f.countExecutions("away")).To(BeZero())
		Expect(f.countExecutions("back")).To(Equal(1))
	})

	// Guards against requests that still reach a zone after an operator takes it
	// out of service, and against a zone that stays idle after its return. Requests are
	// refused if no other zone has the model.
	It("gives no new work to a zone taken out, and work again when it is back", func() {
		f := startFleet(3)
		for _, p := range f.running() {
			Eventually(func() int { return len(zonesServing(p, "letters")) }, "10s", "20ms").Should(BeNumerically(">=", 2), p.id)
		}
		stopLoad := f.startLoad(6, 10, func(i int) string { return f.running()[i%3].callerAddress })
		time.Sleep(500 * time.Millisecond)
		zone := crocushollow.RowRef{Table: crocushollow.AvailabilityZoneTable, ID: f.zoneServing("letters")}
		setInService := func(text string) {
			Expect(stager.SetCells(contextWithTimeout(5*time.Second), f.consoleClient(), zone,
				crocushollow.Cell{Column: "in_service", Text: text})).To(Succeed())
		}
		countRequests := func() int {
			sum := 0
			for _, engine := range f.site.Engines {
				if engine.Zone == zone.ID {
					sum += engine.Server.Stats().Requests
				}
			}
			return sum
		}
		setInService("false")
		time.Sleep(4 * time.Second)
		before := countRequests()
		time.Sleep(time.Second)
		Expect(countRequests()).To(Equal(before))
		setInService("true")
		Eventually(countRequests, "10s").Should(BeNumerically(">", before))
		results := stopLoad()
		Expect(results.failed).To(BeEmpty())
		Expect(results.rejected).To(BeEmpty())
	})
})

// countPoisonRejections sends a request to every instance once per round. It
// returns the number of responses that reject the request because it crashes
// upstreams.
func (f *fleet) countPoisonRejections(content string, rounds int) int {
	GinkgoHelper()
	rejections := 0
	for range rounds {
		for _, p := range f.running() {
			reply, err := caller.New(f.apiKeys["shoes"]).Complete(context.Background(), p.callerAddress,
				caller.Prompt{Model: "letters", Content: content, Tokens: 5})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Status).NotTo(Equal(http.StatusOK))
			if reply.Code() == "request_crashes_upstreams" && reply.Status == http.StatusUnprocessableEntity {
				rejections++
			}
		}
	}
	return rejections
}

// countEngineCrashes returns how many times a request has crashed an engine.
func (f *fleet) countEngineCrashes() int {
	crashes := 0
	for _, engine := range f.site.Engines {
		crashes += engine.Server.Stats().PoisonCrashes
	}
	return crashes
}

// enginesServing returns the engines that have a model loaded.
func (f *fleet) enginesServing(model string) []*stager.Engine {
	var engines []*stager.Engine
	for _, engine := range f.site.Engines {
		if slices.Contains(engine.Server.LoadedLabels(), model+"@1") {
			engines = append(engines, engine)
		}
	}
	return engines
}

// zoneServing returns the availability zone of an engine that has a model loaded,
// or an empty string.
func (f *fleet) zoneServing(model string) string {
	if engines := f.enginesServing(model); len(engines) > 0 {
		return engines[0].Zone
	}
	return ""
}

// zonesServing returns the availability zones in which an instance knows an engine that has a
// model loaded.
func zonesServing(p *daemonProcess, model string) map[string]bool {
	zones := make(map[string]bool)
	status, err := consoleClientOf(p).Status(contextWithTimeout(time.Second))
	if err != nil {
		return zones
	}
	for _, upstream := range status.Upstreams {
		if slices.Contains(upstream.Weights, model+"@1 resident") {
			zones[upstream.AvailabilityZone] = true
		}
	}
	return zones
}

// sendOrder sends an order with an idempotency key. It returns a zero Reply if no
// response arrives.
func (f *fleet) sendOrder(p *daemonProcess, key string) caller.Response {
	header := http.Header{"Idempotency-Key": {key}}
	reply, err := caller.New(f.apiKeys["hives"]).Send(context.Background(), http.MethodPost, p.callerAddress, "/orders", header, `{"pairs":1}`)
	if err != nil {
		return caller.Response{}
	}
	return reply
}

// countExecutions returns how many times services have run the order with an
// idempotency key.
func (f *fleet) countExecutions(key string) int {
	count := 0
	for _, service := range f.site.Services {
		for _, execution := range service.Server.Executions() {
			if execution.Key == key {
				count++
			}
		}
	}
	return count
}

var _ = Describe("an instance", func() {
	completionStatus := func(f *fleet, p *daemonProcess) int {
		c := caller.New(f.apiKeys["hives"])
		c.Client.Timeout = 2 * time.Second
		reply, err := c.Complete(context.Background(), p.callerAddress, caller.Prompt{Model: "letters", Content: "x", Tokens: 1})
		if err != nil {
			return 0
		}
		return reply.Status
	}

	// Guards against an isolated instance that accepts API keys which have been
	// withdrawn in the meantime. It can't learn of the withdrawal.
	It("stops accepting API keys within seconds of losing its network and accepts them again once it is back", func() {
		f := startFleet(4)
		isolated := f.running()[3]
		Expect(completionStatus(f, isolated)).To(Equal(http.StatusOK))
		f.isolate(isolated, faultproxy.Blackhole)
		Eventually(func() int { return completionStatus(f, isolated) }, "4s", "100ms").Should(Equal(http.StatusServiceUnavailable))
		Consistently(func() int { return completionStatus(f, isolated) }, "1s", "200ms").Should(Equal(http.StatusServiceUnavailable))
		Expect(completionStatus(f, f.running()[0])).To(Equal(http.StatusOK))
		f.isolate(isolated, faultproxy.Forward)
		Eventually(func() int { return completionStatus(f, isolated) }, "10s", "100ms").Should(Equal(http.StatusOK))
	})

	// Guards against an instance that acts as the owner of its shards after a long
	// pause of its process. Its peers own the shards by then.
	It("gives up its shards when it resumes after a pause", func() {
		f := startFleet(4)
		paused := f.running()[0]
		paused.session.Signal(syscall.SIGSTOP)
		peers := f.running()[1:]
		Eventually(func() int {
			status, err := consoleClientOf(peers[0]).Status(contextWithTimeout(time.Second))
			if err != nil {
				return 0
			}
			shards := 0
			for _, instance := range status.Instances {
				shards += instance.Shards
			}
			if len(status.Instances) != 3 {
				return 0
			}
			return shards
		}, "6s", "50ms").Should(Equal(crocushollow.ShardCount))
		paused.session.Signal(syscall.SIGCONT)
		Eventually(func() int { return completionStatus(f, paused) }, "10s", "100ms").Should(Equal(http.StatusOK))
		status, err := consoleClientOf(peers[0]).Status(contextWithTimeout(time.Second))
		Expect(err).NotTo(HaveOccurred())
		for _, instance := range status.Instances {
			if instance.ID == paused.id {
				Expect(instance.Shards).To(BeZero())
			}
		}
	})
})

var _ = Describe("a call with an idempotency key", func() {
	// Guards against a call that runs twice and against a response that reports a
	// false outcome. The service and the log carry out requests whose responses
	// are lost, callers retry on several instances, and an instance dies while it
	// processes calls.
	It("runs at most once although responses are lost, callers repeat it on all instances and one is killed", func() {
		f := startFleet(4)
		for _, service := range f.site.Services {
			service.Server.SetFaults(plainserver.Faults{LostResponseFraction: 0.3, Delay: 20 * time.Millisecond})
		}
		f.site.Log.SetFaults(logserver.Faults{LostResponseFraction: 0.2})
		const keys, repeats = 20, 4
		replies := make([][]caller.Response, keys)
		var group sync.WaitGroup
		var mu sync.Mutex
		for k := range keys {
			for r := range repeats {
				group.Go(func() {
					time.Sleep(time.Duration(k*60+r*25) * time.Millisecond)
					processes := f.running()
					reply := f.sendOrder(processes[(k+r)%len(processes)], fmt.Sprint("order-", k))
					mu.Lock()
					defer mu.Unlock()
					replies[k] = append(replies[k], reply)
				})
			}
		}
		time.Sleep(500 * time.Millisecond)
		f.kill(f.running()[0])
		group.Wait()
		for k := range keys {
			executions := f.countExecutions(fmt.Sprint("order-", k))
			Expect(executions).To(BeNumerically("<=", 1))
			for _, reply := range replies[k] {
				if reply.Status == http.StatusOK {
					Expect(executions).To(Equal(1))
				}
				if executions == 1 && reply.Outcome() == "not_run" {
					// A repeated call may report not_run, but not every attempt may.
					Expect(replies[k]).To(ContainElement(Not(HaveField("Outcome()", "not_run"))))
				}
			}
		}
	})
})
