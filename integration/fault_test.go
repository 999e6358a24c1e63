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
	It("is replaced instance by instance without a failed request", func() {
		f := startFleet(3)
		d := &discoveryCache{fleet: f}
		finish := f.startLoad(8, 20, d.address)
		for _, old := range f.running() {
			f.startInstance(old.zone)
			f.awaitReady()
			old.session.Signal(syscall.SIGTERM)
			Eventually(old.session, "20s").Should(gexec.Exit(0))
			f.remove(old)
		}
		t := finish()
		Expect(t.failed).To(BeEmpty())
		Expect(t.mismatched).To(BeEmpty())
		Expect(t.rejected).To(BeEmpty())
		Expect(t.completed).To(BeNumerically(">", 100))
	})

	It("serves on when an instance is killed, and its shards are taken over", func() {
		f := startFleet(4)
		victim := f.running()[0]
		survivors := f.running()[1:]
		finish := f.startLoad(6, 20, func(i int) string { return survivors[i%len(survivors)].callerAddress })
		time.Sleep(time.Second)
		f.kill(victim)
		time.Sleep(4 * time.Second)
		t := finish()
		Expect(t.failed).To(BeEmpty())
		Expect(t.mismatched).To(BeEmpty())
		Expect(t.rejected).To(BeEmpty())
		status, err := f.consoleClient().Status(contextWithTimeout(5 * time.Second))
		Expect(err).NotTo(HaveOccurred())
		shards := 0
		for _, instance := range status.Instances {
			shards += instance.Shards
		}
		Expect(shards).To(Equal(crocushollow.ShardCount))
	})

	It("resumes streams whose upstream connections go silent for good", Label("known-red"), func() {
		f := startFleet(3)
		finish := f.startLoad(6, 400, func(i int) string { return f.running()[i%3].callerAddress })
		time.Sleep(time.Second)
		for _, proxy := range f.upstreamProxies {
			proxy.SilenceOpen()
		}
		time.Sleep(6 * time.Second)
		t := finish()
		Expect(t.failed).To(BeEmpty())
		Expect(t.mismatched).To(BeEmpty())
		Expect(t.completed).To(BeNumerically(">=", 6))
	})

	It("loses at most two upstreams to a request that crashes them, however often it is sent", func() {
		f := startFleet(3)
		content := "take this: " + poisonText
		Eventually(func() int { return f.countPoisonRejections(content, 1) }, "20s", "200ms").Should(Equal(3))
		Expect(f.countPoisonRejections(content, 4)).To(Equal(12))
		Expect(f.countEngineCrashes()).To(BeNumerically("<=", 2))
	})

	It("resumes the other requests on upstreams that a request has crashed", func() {
		f := startFleet(3)
		finish := f.startLoad(6, 60, func(i int) string { return f.running()[i%3].callerAddress })
		time.Sleep(500 * time.Millisecond)
		f.countPoisonRejections("take this: "+poisonText, 1)
		time.Sleep(2 * time.Second)
		t := finish()
		Expect(t.mismatched).To(BeEmpty())
		Expect(t.failed).To(BeEmpty())
	})

	It("serves on and gives a true answer to calls that must not run twice while the log is away", func() {
		f := startFleet(3)
		finish := f.startLoad(4, 20, func(i int) string { return f.running()[i%3].callerAddress })
		f.site.Log.SetFaults(logserver.Faults{Outage: true})
		time.Sleep(4 * time.Second)
		reply := f.sendOrder(f.running()[0], "away")
		Expect(reply.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(reply.Outcome()).To(Equal("not_run"))
		f.site.Log.SetFaults(logserver.Faults{})
		Eventually(func() int { return f.sendOrder(f.running()[1], "back").Status }, "10s").Should(Equal(http.StatusOK))
		t := finish()
		Expect(t.failed).To(BeEmpty())
		Expect(t.rejected).To(BeEmpty())
		Expect(f.countExecutions("away")).To(BeZero())
		Expect(f.countExecutions("back")).To(Equal(1))
	})

	It("gives no new work to a zone taken out, and work again when it is back", Label("known-red"), func() {
		f := startFleet(3)
		finish := f.startLoad(6, 10, func(i int) string { return f.running()[i%3].callerAddress })
		time.Sleep(500 * time.Millisecond)
		zone := crocushollow.RowRef{Table: crocushollow.AvailabilityZoneTable, ID: f.zoneServing("letters")}
		inService := func(text string) {
			Expect(stager.SetCells(contextWithTimeout(5*time.Second), f.consoleClient(), zone,
				crocushollow.Cell{Column: "in_service", Text: text})).To(Succeed())
		}
		requests := func() int {
			sum := 0
			for _, engine := range f.site.Engines {
				if engine.Zone == zone.ID {
					sum += engine.Server.Observe().Requests
				}
			}
			return sum
		}
		inService("false")
		time.Sleep(4 * time.Second)
		before := requests()
		time.Sleep(time.Second)
		Expect(requests()).To(Equal(before))
		inService("true")
		Eventually(requests, "10s").Should(BeNumerically(">", before))
		t := finish()
		Expect(t.failed).To(BeEmpty())
		Expect(t.rejected).To(BeEmpty())
	})
})

// countPoisonRejections sends a request to every instance a number of times and returns how
// often it was refused as harmful.
func (f *fleet) countPoisonRejections(content string, rounds int) int {
	GinkgoHelper()
	harmful := 0
	for range rounds {
		for _, p := range f.running() {
			reply, err := caller.New(f.apiKeys["shoes"]).Complete(context.Background(), p.callerAddress,
				caller.Prompt{Model: "letters", Content: content, Tokens: 5})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Status).NotTo(Equal(http.StatusOK))
			if reply.Code() == "request_crashes_upstreams" && reply.Status == http.StatusUnprocessableEntity {
				harmful++
			}
		}
	}
	return harmful
}

// countEngineCrashes returns how often engines were crashed by a request.
func (f *fleet) countEngineCrashes() int {
	crashes := 0
	for _, engine := range f.site.Engines {
		crashes += engine.Server.Observe().Crashes
	}
	return crashes
}

// zoneServing returns an availability zone that serves a model.
func (f *fleet) zoneServing(model string) string {
	for _, engine := range f.site.Engines {
		if slices.Contains(engine.Server.Loaded(), model+"@1") {
			return engine.Zone
		}
	}
	return ""
}

// sendOrder sends an sendOrder with an idempotency key.
func (f *fleet) sendOrder(p *daemonProcess, key string) caller.Reply {
	header := http.Header{"Idempotency-Key": {key}}
	reply, err := caller.New(f.apiKeys["hives"]).Send(context.Background(), http.MethodPost, p.callerAddress, "/orders", header, `{"pairs":1}`)
	if err != nil {
		return caller.Reply{}
	}
	return reply
}

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
	answers := func(f *fleet, p *daemonProcess) int {
		c := caller.New(f.apiKeys["hives"])
		c.Client.Timeout = 2 * time.Second
		reply, err := c.Complete(context.Background(), p.callerAddress, caller.Prompt{Model: "letters", Content: "x", Tokens: 1})
		if err != nil {
			return 0
		}
		return reply.Status
	}

	It("stops honouring keys within seconds when it is cut off alone, and serves again when it is back", func() {
		f := startFleet(4)
		alone := f.running()[3]
		Expect(answers(f, alone)).To(Equal(http.StatusOK))
		f.isolate(alone, faultproxy.Silent)
		Eventually(func() int { return answers(f, alone) }, "4s", "100ms").Should(Equal(http.StatusServiceUnavailable))
		Consistently(func() int { return answers(f, alone) }, "1s", "200ms").Should(Equal(http.StatusServiceUnavailable))
		Expect(answers(f, f.running()[0])).To(Equal(http.StatusOK))
		f.isolate(alone, faultproxy.Pass)
		Eventually(func() int { return answers(f, alone) }, "10s", "100ms").Should(Equal(http.StatusOK))
	})

	It("does nothing with what it held when it wakes from a pause", func() {
		f := startFleet(4)
		paused := f.running()[0]
		paused.session.Signal(syscall.SIGSTOP)
		others := f.running()[1:]
		Eventually(func() int {
			status, err := consoleClientOf(others[0]).Status(contextWithTimeout(time.Second))
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
		Eventually(func() int { return answers(f, paused) }, "10s", "100ms").Should(Equal(http.StatusOK))
		status, err := consoleClientOf(others[0]).Status(contextWithTimeout(time.Second))
		Expect(err).NotTo(HaveOccurred())
		for _, instance := range status.Instances {
			if instance.ID == paused.id {
				Expect(instance.Shards).To(BeZero())
			}
		}
	})
})

var _ = Describe("a call with an idempotency key", func() {
	It("runs at most once although answers are lost, callers repeat it everywhere and an instance dies", func() {
		f := startFleet(4)
		for _, service := range f.site.Services {
			service.Server.SetFaults(plainserver.Faults{LostAnswers: 0.3, Delay: 20 * time.Millisecond})
		}
		f.site.Log.SetFaults(logserver.Faults{LostAnswers: 0.2})
		const keys, repeats = 20, 4
		outcomes := make([][]caller.Reply, keys)
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
					outcomes[k] = append(outcomes[k], reply)
				})
			}
		}
		time.Sleep(500 * time.Millisecond)
		f.kill(f.running()[0])
		group.Wait()
		for k := range keys {
			runs := f.countExecutions(fmt.Sprint("order-", k))
			Expect(runs).To(BeNumerically("<=", 1))
			for _, reply := range outcomes[k] {
				if reply.Status == http.StatusOK {
					Expect(runs).To(Equal(1))
				}
				if runs == 1 && reply.Outcome() == "not_run" {
					// Only a repeat may be told so, never all of them.
					Expect(outcomes[k]).To(ContainElement(Not(HaveField("Outcome()", "not_run"))))
				}
			}
		}
	})
})
