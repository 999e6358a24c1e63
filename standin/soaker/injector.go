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

// The table of a run.
const (
	// limitRate is the workspace's limit in tokens per second, below what the
	// callers ask for.
	limitRate = 6000.0
	// addedPath is a route that comes and goes, and withdrawnKey such a key.
	addedPath    = "/added/"
	withdrawnKey = "key-to-withdraw"
)

// Timing of the faults.
const (
	// faultPause is the mean time between the begins of two faults.
	faultPause = 700 * time.Millisecond
	// minFault and maxFault bound how long a fault lasts.
	minFault = 200 * time.Millisecond
	maxFault = 6 * time.Second
	// restartPause is the mean time that a process that ended stays away.
	restartPause = 500 * time.Millisecond
	// stopGrace is the operators' time from the signal to stop until the kill.
	stopGrace = 8 * time.Second
	// leaveTime is how long a back end serves that has announced its leaving.
	leaveTime = 2500 * time.Millisecond
)

// link is the way from the instances to one back end.
type link struct{ proxy *faultproxy.Proxy }

// front puts a proxy before a back end.
func (s *Soaker) front(id string, engine *platformtest.Upstream) error {
	if known := s.links[id]; known != nil {
		known.proxy.SetTarget(engine.Address())
		engine.SetAdvertisedAddress(known.proxy.Address())
		return nil
	}
	proxy, err := faultproxy.Start("127.0.0.1:0", engine.Address())
	if err != nil {
		return err
	}
	s.links[id] = &link{proxy: proxy}
	engine.SetAdvertisedAddress(proxy.Address())
	return nil
}

// injector begins faults at random moments and ends them again.
type injector struct {
	soaker *Soaker
	random *rand.Rand
	// ends are the pending ends of faults. They belong to the goroutine of run.
	ends []pendingEnd
	// busy marks processes that are down or paused, and back ends that leave.
	busy  map[string]bool
	table platformtest.Table

	mu sync.Mutex
	// storeFault is what the store does to a part of the calls.
	storeFault platformtest.Fault
	storeShare float64
}

type pendingEnd struct {
	at  time.Time
	end func()
}

func newInjector(s *Soaker, random *rand.Rand) *injector {
	return &injector{soaker: s, random: random, busy: make(map[string]bool), table: s.site.Table()}
}

// run injects faults for a time and ends them all.
func (i *injector) run(ctx context.Context, duration time.Duration) error {
	i.install()
	until := time.Now().Add(duration)
	next := time.Now()
	// Faults that are under way at the end take their time, so that no planned
	// stop ends before its grace.
	for now := time.Now(); now.Before(until) || len(i.ends) > 0; now = time.Now() {
		if now.Before(until) && !now.Before(next) {
			i.begin()
			next = now.Add(time.Duration(i.random.ExpFloat64() * float64(faultPause)))
		}
		i.endDue(now)
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	i.mu.Lock()
	i.storeShare = 0
	i.mu.Unlock()
	i.soaker.site.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.Serve })
	return nil
}

// install lets the store and the back ends misbehave at random.
func (i *injector) install() {
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
		if draw() < i.storeShare {
			return i.storeFault
		}
		return platformtest.NoFault
	})
	i.soaker.site.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return misbehaviour(draw()) })
}

// misbehaviour returns one of the ways in which a back end fails a request.
func misbehaviour(draw float64) platformtest.Behaviour {
	const each = 0.006
	ways := []platformtest.Behaviour{
		platformtest.Reject, platformtest.Crash, platformtest.ResetMidStream, platformtest.ServerError, platformtest.WrongRequestID, platformtest.Hang,
	}
	if number := int(draw / each); number < len(ways) {
		return ways[number]
	}
	return platformtest.Serve
}

// begin begins one fault.
func (i *injector) begin() {
	faults := []func(){
		i.killProcess, i.killProcess, i.pauseProcess, i.pauseProcess, i.stopProcess, i.stopProcess,
		i.cutStore, i.cutStore, i.harmStore, i.harmStore, i.forgetHistory, i.redealDuty,
		i.harmLink, i.harmLink, i.silenceLink, i.crashBackEnd, i.leave,
		i.editTable, i.editTable, i.takeZoneOut,
	}
	faults[i.random.IntN(len(faults))]()
}

// during lets a fault end after a random time, which it returns.
func (i *injector) during(end func()) time.Time {
	at := time.Now().Add(minFault + time.Duration(i.random.Float64()*float64(maxFault-minFault)))
	i.ends = append(i.ends, pendingEnd{at, end})
	return at
}

func (i *injector) endDue(now time.Time) {
	due := make([]func(), 0, len(i.ends))
	i.ends = slices.DeleteFunc(i.ends, func(e pendingEnd) bool {
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

// idleProcess returns a process that is up, or nil if that would leave none.
func (i *injector) idleProcess() *process {
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

// again starts a process some time after its end.
func (i *injector) again(p *process, from time.Time) {
	until := time.Now().Add(time.Duration(i.random.ExpFloat64() * float64(restartPause)))
	i.ends = append(i.ends, pendingEnd{until, func() {
		p.kill()
		if err := p.start(false); err == nil {
			i.busy[p.name] = false
		}
		i.soaker.history.disturb(p.name, from, time.Now())
	}})
}

func (i *injector) killProcess() {
	if p := i.idleProcess(); p != nil {
		i.busy[p.name] = true
		from := time.Now()
		i.soaker.history.disturb(p.name, from, from.Add(maxFault))
		p.signal(syscall.SIGKILL)
		i.again(p, from)
	}
}

func (i *injector) pauseProcess() {
	p := i.idleProcess()
	if p == nil {
		return
	}
	i.busy[p.name] = true
	from := time.Now()
	p.signal(syscall.SIGSTOP)
	at := i.during(func() {
		p.signal(syscall.SIGCONT)
		i.busy[p.name] = false
		i.soaker.history.disturb(p.name, from, time.Now())
	})
	i.soaker.history.disturb(p.name, from, at)
}

// stopProcess lets a process shut down as planned, and starts it again.
func (i *injector) stopProcess() {
	p := i.idleProcess()
	if p == nil {
		return
	}
	i.busy[p.name] = true
	from := time.Now()
	p.signal(syscall.SIGTERM)
	i.ends = append(i.ends, pendingEnd{from.Add(stopGrace), func() {
		i.soaker.history.stop(p.name, span{from, time.Now()})
		i.again(p, from.Add(stopGrace))
	}})
}

// cutStore cuts one instance off from the store.
func (i *injector) cutStore() {
	p := i.soaker.fleet[i.random.IntN(len(i.soaker.fleet))]
	ways := []faultproxy.Fault{faultproxy.Silent, faultproxy.Refuse, faultproxy.OneWay}
	from := time.Now()
	p.store.SetAll(ways[i.random.IntN(len(ways))])
	if i.random.IntN(2) == 0 {
		p.store.Cut()
	}
	at := i.during(func() {
		p.store.SetAll(faultproxy.Pass)
		p.store.Cut()
		i.soaker.history.disturb(p.name, from, time.Now())
	})
	i.soaker.history.disturb(p.name, from, at)
}

// harmStore lets the store fail a part of all calls.
func (i *injector) harmStore() {
	ways := []platformtest.Fault{
		platformtest.Unavailable, platformtest.Throttled, platformtest.ConnectionReset, platformtest.NoResponse, platformtest.LostResponse,
	}
	i.mu.Lock()
	i.storeFault, i.storeShare = ways[i.random.IntN(len(ways))], 0.2+0.8*i.random.Float64()
	i.mu.Unlock()
	from := time.Now()
	at := i.during(func() {
		i.mu.Lock()
		i.storeShare = 0
		i.mu.Unlock()
		i.soaker.history.harmStore(from, time.Now())
	})
	i.soaker.history.harmStore(from, at)
}

func (i *injector) forgetHistory() { i.soaker.site.CompactTopics() }

func (i *injector) redealDuty() { i.soaker.site.MovePlannerLeadership() }

// backEndID returns a back end that does not leave.
func (i *injector) backEndID() string {
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

// harmLink harms the way to one back end.
func (i *injector) harmLink() {
	l := i.soaker.links[i.backEndID()]
	if l == nil {
		return
	}
	ways := []faultproxy.Fault{faultproxy.Silent, faultproxy.Refuse, faultproxy.OneWay, faultproxy.Pass}
	way := ways[i.random.IntN(len(ways))]
	l.proxy.SetAll(way)
	if way == faultproxy.Pass {
		l.proxy.SetDelay(time.Duration(i.random.IntN(200)) * time.Millisecond)
	}
	i.during(func() {
		l.proxy.SetAll(faultproxy.Pass)
		l.proxy.SetDelay(0)
	})
}

// silenceLink makes open connections silent for good.
func (i *injector) silenceLink() {
	if i.random.IntN(2) == 0 {
		p := i.soaker.fleet[i.random.IntN(len(i.soaker.fleet))]
		p.store.SilenceOpen()
		i.soaker.history.disturb(p.name, time.Now(), time.Now())
		return
	}
	if l := i.soaker.links[i.backEndID()]; l != nil {
		l.proxy.SilenceOpen()
	}
}

// crashBackEnd ends a back end, which starts again under its name.
func (i *injector) crashBackEnd() {
	id := i.backEndID()
	if id == "" {
		return
	}
	engine := i.soaker.site.CrashUpstream(id)
	_ = i.soaker.front(id, engine)
	i.soaker.links[id].proxy.Cut()
	engine.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.Serve })
}

// leave lets a plain back end announce its leaving and come back under its name
// after that.
func (i *injector) leave() {
	id := i.backEndID()
	engine := i.soaker.site.Upstreams()[id]
	if engine == nil || engine.IsModelEngine() || i.busy["leaving"] {
		return
	}
	i.busy[id], i.busy["leaving"] = true, true
	i.soaker.site.DrainUpstream(id)
	i.soaker.history.leave(id+"/"+engine.Address(), time.Now())
	i.ends = append(i.ends, pendingEnd{time.Now().Add(leaveTime), func() {
		_ = i.soaker.front(id, i.soaker.site.CrashUpstream(id))
		i.busy[id], i.busy["leaving"] = false, false
	}})
}

// editTable lets a route and a key come and go.
func (i *injector) editTable() {
	i.table.Version += 1 + i.random.IntN(3)
	i.table.ExtraIdempotentPaths, i.table.APIKeys = nil, []string{platformtest.APIKey}
	if i.random.IntN(2) == 0 {
		i.table.ExtraIdempotentPaths = []string{addedPath}
	}
	if i.random.IntN(2) == 0 {
		i.table.APIKeys = append(i.table.APIKeys, withdrawnKey)
	}
	i.soaker.site.PutTable(i.table)
	i.soaker.history.addEdit(edit{at: time.Now(), paths: i.table.ExtraIdempotentPaths, keys: i.table.APIKeys})
}

// takeZoneOut takes one zone out of service for a time.
func (i *injector) takeZoneOut() {
	if i.busy["zone"] {
		return
	}
	i.busy["zone"] = true
	zone := []string{"za", "zb"}[i.random.IntN(2)]
	i.soaker.site.EvacuateZone(zone)
	from := time.Now()
	i.ends = append(i.ends, pendingEnd{from.Add(maxFault + 2*time.Second), func() {
		i.soaker.history.zoneOut(zone, span{from, time.Now()})
		i.soaker.site.RestoreZone(zone)
		i.busy["zone"] = false
	}})
}
