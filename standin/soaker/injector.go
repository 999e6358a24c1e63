package soaker

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
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
	// maxStops is the number of stops in a series of one process, and minUptime and maxUptime
	// bound its time from a start to the next stop.
	maxStops  = 3
	minUptime = 500 * time.Millisecond
	maxUptime = 2 * time.Second
	// closeTime is the time within which both ends of a connection see that it is closed.
	closeTime = 500 * time.Millisecond
	// stopGrace is the time between SIGTERM and SIGKILL in a planned stop.
	stopGrace = platformtest.StopGrace
	// rewriteDelay is the time from the return of a restored store until the operators'
	// records are written again.
	rewriteDelay = time.Second
	// rateLimitTime is how long an upstream names a rate limit, and maxRateLimit the
	// highest one in requests per second.
	rateLimitTime = 9 * time.Second
	maxRateLimit  = 6.0
	// minBrokenTime and maxBrokenTime bound how long an upstream answers every request badly.
	minBrokenTime = 3 * time.Second
	maxBrokenTime = 9 * time.Second
	// drainServeTime is how long a draining upstream still serves requests.
	drainServeTime = 2500 * time.Millisecond
)

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
	// behave draws how an upstream that is not broken handles a request.
	behave func(platformtest.Execution) platformtest.Behaviour

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
	i.behave = func(platformtest.Execution) platformtest.Behaviour { return randomBehaviour(draw()) }
	i.soaker.site.SetBehaviour(i.behave)
}

// randomBehaviour maps a random number in [0, 1) to the behaviour of an upstream.
// All failures are equally likely.
func randomBehaviour(draw float64) platformtest.Behaviour {
	// probability applies to each failure.
	const probability = 0.006
	choices := []platformtest.Behaviour{
		platformtest.Reject, platformtest.Crash, platformtest.ResetMidStream, platformtest.ServerError, platformtest.WrongRequestID, platformtest.Hang,
		platformtest.RejectTwice, platformtest.RejectTwice, platformtest.RejectTwice, platformtest.ResetMidStream,
		platformtest.RejectTwiceWithoutID, platformtest.RejectTwiceWithoutID, platformtest.RejectTwiceAnytime, platformtest.RejectTwiceAnytime, platformtest.RefuseExecuted,
	}
	index := int(draw / probability)
	switch {
	case index < len(choices):
		return choices[index]
	case index == len(choices):
		part := draw/probability - float64(index)
		return endlessBehaviours[int(part*float64(len(endlessBehaviours)))]
	}
	return platformtest.Serve
}

// endlessBehaviours are drawn together as often as each other failure. After EndlessRest a
// caller gets a response of the upstream that is not its own.
var endlessBehaviours = slices.DeleteFunc(slices.Clone(platformtest.EndlessBehaviours), func(b platformtest.Behaviour) bool {
	return b == platformtest.EndlessRest
})

// injectFault starts one random fault. Faults that are listed twice are twice as
// likely.
func (i *injector) injectFault() {
	faults := []func(){
		i.killProcess, i.killProcess, i.pauseProcess, i.pauseProcess, i.stopProcess, i.stopProcess, i.rollProcesses, i.rollProcesses,
		i.cutStoreLink, i.cutStoreLink, i.degradeStore, i.degradeStore, i.compactStore, i.moveLeadership,
		i.degradeLink, i.degradeLink, i.blackholeLink, i.crashUpstream, i.drainUpstream,
		i.editTable, i.editTable, i.takeZoneOut, i.limitUpstream, i.limitUpstream, i.restoreStore, i.breakControl,
		i.breakUpstream, i.breakUpstream, i.stopRepeatedly, i.stopRepeatedly, i.reloadProcess, i.reloadProcess,
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
