package soaker

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
	"github.com/crocushollow/crocushollow/standin/faultproxy"
)

// Contents of the table in a run.
const (
	// limitRate is the workspace's limit in tokens per second. It is below the
	// callers' demand, so that the limit takes effect.
	limitRate = 6000.0
	// toggledPath and toggledKey are a route and a key that table edits add and remove.
	toggledPath = "/added/"
	toggledKey  = "key-to-withdraw"
)

// Timing of the faults.
const (
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 700 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 6 * time.Second
	// meanRestartDelay is the mean time from the end of a process to its restart.
	meanRestartDelay = 500 * time.Millisecond
	// minRollGap and maxRollGap bound the time between the stops of two processes in a
	// rolling restart, maxSignalGap the time between two signals to stop a process, and
	// exitPollInterval is the time between two checks whether a process has exited.
	minRollGap       = 200 * time.Millisecond
	maxRollGap       = 1500 * time.Millisecond
	maxSignalGap     = 5 * time.Second
	exitPollInterval = 50 * time.Millisecond
	// closeTime is the time within which both ends of a connection see that it is closed.
	closeTime = 500 * time.Millisecond
	// stopGrace is the time between SIGTERM and SIGKILL in a planned stop.
	stopGrace = 8 * time.Second
	// rewriteDelay is the time from the return of a restored store until the operators'
	// records are written again.
	rewriteDelay = time.Second
	// rateLimitTime is how long an upstream names a rate limit, and maxRateLimit the
	// highest one in requests per second.
	rateLimitTime = 9 * time.Second
	maxRateLimit  = 6.0
	// drainServeTime is how long a draining upstream still serves requests.
	drainServeTime = 2500 * time.Millisecond
)

// upstreamLink is the network path from the instances to one upstream.
type upstreamLink struct{ proxy *faultproxy.Proxy }

// proxyUpstream puts a proxy in front of an upstream. A restarted upstream keeps
// its proxy.
func (s *Soaker) proxyUpstream(id string, engine *platformtest.Upstream) error {
	if known := s.links[id]; known != nil {
		known.proxy.SetTarget(engine.Address())
		engine.SetAdvertisedAddress(known.proxy.Address())
		return nil
	}
	proxy, err := faultproxy.Start("127.0.0.1:0", engine.Address())
	if err != nil {
		return err
	}
	s.links[id] = &upstreamLink{proxy: proxy}
	engine.SetAdvertisedAddress(proxy.Address())
	return nil
}

// injector starts faults at random times and ends them.
type injector struct {
	soaker *Soaker
	random *rand.Rand
	// scheduled holds the pending ends of faults. Only the goroutine of run uses it.
	scheduled []scheduledAction
	// busy marks the processes that are down or paused, the draining upstreams,
	// and the faults of which only one may run at a time.
	busy  map[string]bool
	table platformtest.Table

	mu sync.Mutex
	// storeFault affects the fraction storeFaultRate of the calls to the store.
	storeFault     platformtest.Fault
	storeFaultRate float64
}

type scheduledAction struct {
	at  time.Time
	end func()
}

func newInjector(s *Soaker, random *rand.Rand) *injector {
	return &injector{soaker: s, random: random, busy: make(map[string]bool), table: s.site.Table()}
}

// run injects faults for the given duration and waits until all of them have ended.
func (i *injector) run(ctx context.Context, duration time.Duration) error {
	i.enableRandomFaults()
	until := time.Now().Add(duration)
	next := time.Now()
	// Faults that are active at the end keep their full duration, so that no
	// planned stop is cut short before its grace period.
	for now := time.Now(); now.Before(until) || len(i.scheduled) > 0; now = time.Now() {
		if now.Before(until) && !now.Before(next) {
			i.injectFault()
			next = now.Add(time.Duration(i.random.ExpFloat64() * float64(meanFaultInterval)))
		}
		i.runDue(now)
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	i.mu.Lock()
	i.storeFaultRate = 0
	i.mu.Unlock()
	i.soaker.site.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.Serve })
	return nil
}

// enableRandomFaults makes the store and the upstreams fail calls at random.
func (i *injector) enableRandomFaults() {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(i.soaker.config.Seed, 1<<32))
	draw := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
	i.soaker.site.Store.SetFault(func(platformtest.StoreCall) platformtest.Fault {
		i.mu.Lock()
		defer i.mu.Unlock()
		if draw() < i.storeFaultRate {
			return i.storeFault
		}
		return platformtest.NoFault
	})
	i.soaker.site.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return randomBehaviour(draw()) })
}

// randomBehaviour maps a random number in [0, 1) to the behaviour of an upstream.
// All failures are equally likely.
func randomBehaviour(draw float64) platformtest.Behaviour {
	// probability applies to each failure.
	const probability = 0.006
	choices := []platformtest.Behaviour{
		platformtest.Reject, platformtest.Crash, platformtest.ResetMidStream, platformtest.ServerError, platformtest.WrongRequestID, platformtest.Hang,
		platformtest.RejectTwice, platformtest.RejectTwice, platformtest.RejectTwice, platformtest.ResetMidStream,
	}
	if index := int(draw / probability); index < len(choices) {
		return choices[index]
	}
	return platformtest.Serve
}

// injectFault starts one random fault. Faults that are listed twice are twice as
// likely.
func (i *injector) injectFault() {
	faults := []func(){
		i.killProcess, i.killProcess, i.pauseProcess, i.pauseProcess, i.stopProcess, i.stopProcess, i.rollProcesses, i.rollProcesses,
		i.cutStoreLink, i.cutStoreLink, i.degradeStore, i.degradeStore, i.compactStore, i.moveLeadership,
		i.degradeLink, i.degradeLink, i.blackholeLink, i.crashUpstream, i.drainUpstream,
		i.editTable, i.editTable, i.takeZoneOut, i.limitUpstream, i.limitUpstream, i.restoreStore,
	}
	faults[i.random.IntN(len(faults))]()
}

// scheduleEnd ends a fault after a random duration and returns the time of the end.
func (i *injector) scheduleEnd(end func()) time.Time {
	at := time.Now().Add(minFaultDuration + time.Duration(i.random.Float64()*float64(maxFaultDuration-minFaultDuration)))
	i.scheduled = append(i.scheduled, scheduledAction{at, end})
	return at
}

func (i *injector) runDue(now time.Time) {
	due := make([]func(), 0, len(i.scheduled))
	i.scheduled = slices.DeleteFunc(i.scheduled, func(e scheduledAction) bool {
		if e.at.After(now) {
			return false
		}
		due = append(due, e.end)
		return true
	})
	for _, end := range due {
		end()
	}
}

// pickProcess returns a random running process, or nil if a fault in it would
// leave no process running.
func (i *injector) pickProcess() *process {
	var up []*process
	for _, p := range i.soaker.fleet {
		if !i.busy[p.name] {
			up = append(up, p)
		}
	}
	if len(up) < 2 {
		return nil
	}
	return up[i.random.IntN(len(up))]
}

// scheduleRestart restarts a process after a random delay.
func (i *injector) scheduleRestart(p *process, from time.Time) {
	until := time.Now().Add(time.Duration(i.random.ExpFloat64() * float64(meanRestartDelay)))
	i.scheduled = append(i.scheduled, scheduledAction{until, func() {
		p.kill()
		if err := p.start(false); err == nil {
			i.busy[p.name] = false
		}
		i.soaker.history.addInstanceFault(p.name, from, time.Now())
	}})
}

// restartAfterExit restarts a process that was told to stop, once it has exited or its
// grace period is over.
func (i *injector) restartAfterExit(p *process, stoppedAt time.Time) {
	i.scheduled = append(i.scheduled, scheduledAction{time.Now().Add(exitPollInterval), func() {
		if !p.hasExited() && time.Since(stoppedAt) < stopGrace {
			i.restartAfterExit(p, stoppedAt)
			return
		}
		now := time.Now()
		i.soaker.history.addPlannedStop(p.name, interval{stoppedAt, now})
		i.scheduleRestart(p, now)
	}})
}

// killProcess kills a process with SIGKILL and restarts it.
func (i *injector) killProcess() {
	if p := i.pickProcess(); p != nil {
		i.busy[p.name] = true
		from := time.Now()
		i.soaker.history.addInstanceFault(p.name, from, from.Add(maxFaultDuration))
		p.signal(syscall.SIGKILL)
		i.scheduleRestart(p, from)
	}
}

// pauseProcess suspends a process with SIGSTOP for a random duration.
func (i *injector) pauseProcess() {
	p := i.pickProcess()
	if p == nil {
		return
	}
	i.busy[p.name] = true
	from := time.Now()
	p.signal(syscall.SIGSTOP)
	at := i.scheduleEnd(func() {
		p.signal(syscall.SIGCONT)
		i.busy[p.name] = false
		i.soaker.history.addInstanceFault(p.name, from, time.Now())
	})
	i.soaker.history.addInstanceFault(p.name, from, at)
}

// stopProcess shuts a process down gracefully and restarts it.
func (i *injector) stopProcess() {
	p := i.pickProcess()
	if p == nil {
		return
	}
	i.terminate(p)
}

// terminate sends SIGTERM to a process, half of the time twice, and restarts it after its
// exit.
func (i *injector) terminate(p *process) {
	i.busy[p.name] = true
	from := time.Now()
	p.signal(syscall.SIGTERM)
	if i.random.IntN(2) == 0 {
		incarnation := p.incarnation()
		again := from.Add(time.Duration(i.random.Float64() * float64(maxSignalGap)))
		i.scheduled = append(i.scheduled, scheduledAction{again, func() {
			if p.incarnation() == incarnation {
				p.signal(syscall.SIGTERM)
			}
		}})
	}
	i.restartAfterExit(p, from)
}

// rollProcesses stops all running processes, one after the other.
func (i *injector) rollProcesses() {
	if i.busy["roll"] {
		return
	}
	i.busy["roll"] = true
	gap := minRollGap + time.Duration(i.random.Float64()*float64(maxRollGap-minRollGap))
	at := time.Now()
	for _, p := range i.soaker.fleet {
		i.scheduled = append(i.scheduled, scheduledAction{at, func() {
			if !i.busy[p.name] {
				i.terminate(p)
			}
		}})
		at = at.Add(gap)
	}
	i.scheduled = append(i.scheduled, scheduledAction{at, func() { i.busy["roll"] = false }})
}

// cutStoreLink cuts the connection of one instance to the store.
func (i *injector) cutStoreLink() {
	p := i.soaker.fleet[i.random.IntN(len(i.soaker.fleet))]
	choices := []faultproxy.Fault{faultproxy.Blackhole, faultproxy.Refuse, faultproxy.DropResponses}
	from := time.Now()
	p.store.SetDefaultFault(choices[i.random.IntN(len(choices))])
	if i.random.IntN(2) == 0 {
		p.store.CloseOpenConnections()
	}
	at := i.scheduleEnd(func() {
		p.store.SetDefaultFault(faultproxy.Forward)
		p.store.CloseOpenConnections()
		i.soaker.history.addStoreLinkFault(p.name, from, time.Now())
	})
	i.soaker.history.addStoreLinkFault(p.name, from, at)
}

// degradeStore makes the store fail a random fraction of all calls.
func (i *injector) degradeStore() {
	choices := []platformtest.Fault{
		platformtest.Unavailable, platformtest.Throttled, platformtest.ConnectionReset, platformtest.NoResponse, platformtest.LostResponse,
	}
	i.mu.Lock()
	i.storeFault, i.storeFaultRate = choices[i.random.IntN(len(choices))], 0.2+0.8*i.random.Float64()
	i.mu.Unlock()
	from := time.Now()
	at := i.scheduleEnd(func() {
		i.mu.Lock()
		i.storeFaultRate = 0
		i.mu.Unlock()
		i.soaker.history.addStoreFault(from, time.Now())
	})
	i.soaker.history.addStoreFault(from, at)
}

// compactStore drops the store's history of the table and of the upstreams.
func (i *injector) compactStore() { i.soaker.site.CompactTopics() }

// moveLeadership gives planner leadership to another instance.
func (i *injector) moveLeadership() { i.soaker.site.MovePlannerLeadership() }

// pickUpstream returns the ID of a random upstream that isn't draining, or an
// empty string if there is none.
func (i *injector) pickUpstream() string {
	var ids []string
	for id := range i.soaker.site.Upstreams() {
		if !i.busy[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	if len(ids) == 0 {
		return ""
	}
	return ids[i.random.IntN(len(ids))]
}

// degradeLink blocks or delays the connections to one upstream.
func (i *injector) degradeLink() {
	id := i.pickUpstream()
	link := i.soaker.links[id]
	if link == nil {
		return
	}
	choices := []faultproxy.Fault{faultproxy.Blackhole, faultproxy.Refuse, faultproxy.DropResponses, faultproxy.Forward}
	fault := choices[i.random.IntN(len(choices))]
	link.proxy.SetDefaultFault(fault)
	if fault == faultproxy.Forward {
		link.proxy.SetDelay(time.Duration(i.random.IntN(200)) * time.Millisecond)
	}
	from := time.Now()
	at := i.scheduleEnd(func() {
		link.proxy.SetDefaultFault(faultproxy.Forward)
		link.proxy.SetDelay(0)
		if fault == faultproxy.Refuse {
			i.soaker.history.addLinkFault(id, from, time.Now())
		}
	})
	if fault == faultproxy.Refuse {
		i.soaker.history.addLinkFault(id, from, at)
	}
	// Connections that have lost bytes stay silent afterwards.
	i.soaker.history.addLinkDisruption(from, at.Add(longCallTimeout))
}

// blackholeLink blackholes the open connections of one proxy, without an end.
func (i *injector) blackholeLink() {
	if i.random.IntN(2) == 0 {
		p := i.soaker.fleet[i.random.IntN(len(i.soaker.fleet))]
		p.store.BlackholeOpenConnections()
		i.soaker.history.addInstanceFault(p.name, time.Now(), time.Now())
		return
	}
	if link := i.soaker.links[i.pickUpstream()]; link != nil {
		link.proxy.BlackholeOpenConnections()
		i.soaker.history.addLinkDisruption(time.Now(), time.Now().Add(longCallTimeout))
	}
}

// crashUpstream crashes an upstream, which restarts under the same ID.
func (i *injector) crashUpstream() {
	id := i.pickUpstream()
	if id == "" {
		return
	}
	engine := i.soaker.site.CrashUpstream(id)
	_ = i.soaker.proxyUpstream(id, engine)
	i.soaker.links[id].proxy.CloseOpenConnections()
	i.soaker.history.addLinkFault(id, time.Now(), time.Now().Add(closeTime))
	engine.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.Serve })
}

// drainUpstream makes a plain upstream announce that it drains. It restarts under
// the same ID afterwards.
func (i *injector) drainUpstream() {
	id := i.pickUpstream()
	engine := i.soaker.site.Upstreams()[id]
	if engine == nil || engine.IsModelEngine() || i.busy["leaving"] {
		return
	}
	i.busy[id], i.busy["leaving"] = true, true
	i.soaker.site.DrainUpstream(id)
	i.soaker.history.addDrain(id+"/"+engine.Address(), time.Now())
	i.scheduled = append(i.scheduled, scheduledAction{time.Now().Add(drainServeTime), func() {
		_ = i.soaker.proxyUpstream(id, i.soaker.site.CrashUpstream(id))
		i.busy[id], i.busy["leaving"] = false, false
	}})
}

// editTable publishes a table in which the toggled route and the toggled key are
// each present or absent at random.
func (i *injector) editTable() {
	i.table.Version += 1 + i.random.IntN(3)
	i.table.ExtraIdempotentPaths, i.table.APIKeys = nil, []string{platformtest.APIKey}
	if i.random.IntN(2) == 0 {
		i.table.ExtraIdempotentPaths = []string{toggledPath}
	}
	if i.random.IntN(2) == 0 {
		i.table.APIKeys = append(i.table.APIKeys, toggledKey)
	}
	i.soaker.site.PutTable(i.table)
	i.soaker.history.addEdit(edit{at: time.Now(), paths: i.table.ExtraIdempotentPaths, keys: i.table.APIKeys})
}

// takeZoneOut takes one zone out of service temporarily. The outage lasts
// longer than zoneTimeLimit.
func (i *injector) takeZoneOut() {
	if i.busy["zone"] {
		return
	}
	i.busy["zone"] = true
	zone := []string{"za", "zb"}[i.random.IntN(2)]
	i.soaker.site.EvacuateZone(zone)
	from := time.Now()
	i.scheduled = append(i.scheduled, scheduledAction{from.Add(maxFaultDuration + 2*time.Second), func() {
		i.soaker.history.addZoneOutage(zone, interval{from, time.Now()})
		i.soaker.site.RestoreZone(zone)
		i.busy["zone"] = false
	}})
}

// limitUpstream makes an upstream name a rate limit in its responses.
func (i *injector) limitUpstream() {
	id := i.pickUpstream()
	engine := i.soaker.site.Upstreams()[id]
	if engine == nil || i.busy["limit "+id] {
		return
	}
	i.busy["limit "+id] = true
	perSecond := i.random.Float64() * maxRateLimit
	engine.SetRateLimit(perSecond)
	from := time.Now()
	i.scheduled = append(i.scheduled, scheduledAction{from.Add(rateLimitTime), func() {
		engine.RemoveRateLimit()
		i.soaker.history.addRateLimit(rateLimit{incarnation: id + "/" + engine.Address(), perSecond: perSecond, interval: interval{from, time.Now()}})
		i.busy["limit "+id] = false
	}})
}

// restoreStore has the store return from a copy of some seconds before. What was written
// since then is lost until it is written again.
func (i *injector) restoreStore() {
	if i.busy["copy"] {
		return
	}
	i.busy["copy"] = true
	earlier := i.soaker.site.Store.Copy()
	i.scheduleEnd(func() {
		from := time.Now()
		i.soaker.site.Store.Restore(earlier)
		i.soaker.history.addStoreFault(from, from.Add(rewriteDelay))
		i.scheduled = append(i.scheduled, scheduledAction{from.Add(rewriteDelay), func() {
			i.soaker.site.RewriteOperatorRecords()
			i.soaker.history.addStoreFault(from, time.Now())
			i.busy["copy"] = false
		}})
	})
}
