package hosted

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/state/selector"
	"github.com/crocushollow/crocushollow/state/throttler"
)

// limitedFleet simulates instances that send requests to one limited upstream.
type limitedFleet struct {
	random    *rand.Rand
	limit     throttler.Limit
	selectors []*selector.Selector
	// hasChanges marks the instances whose load has changes that are not reported yet.
	hasChanges []bool
	// loadedAt holds when each instance last had a load.
	loadedAt []time.Time
	names    []string
	// groups holds the group of each instance. Instances of different groups are cut off
	// from each other. views holds the fleet as each instance knows it.
	groups []int
	views  []*gossiper.Fleet
	// delay is the maximum delay of a report, and lossRate the fraction that is lost.
	delay    time.Duration
	lossRate float64
	// pending holds the reports that are being delivered, in order of their time.
	pending []loadReport
	sentAt  []time.Time
}

// idleReportTime is how long an instance without a load still reports that it has none.
const idleReportTime = 2 * time.Second

type loadReport struct {
	at      time.Time
	from    int
	changes map[string]selector.Load
}

func newLimitedFleet(size int, perSecond float64, delay time.Duration, lossRate float64, seed uint64) *limitedFleet {
	f := &limitedFleet{
		random: rand.New(rand.NewPCG(seed, 1)), limit: throttler.Limit{IsActive: true, PerSecond: perSecond},
		groups: make([]int, size), hasChanges: make([]bool, size), loadedAt: make([]time.Time, size), delay: delay, lossRate: lossRate,
	}
	for n := range size {
		f.names = append(f.names, fmt.Sprint("n", n))
	}
	f.partition(func(int) int { return 0 })
	for n := range size {
		s := selector.New(selector.Config{
			OnLoadChange: func() { f.hasChanges[n] = true }, OnHealthChange: func(selector.HealthChange) {},
			RandFloat64: f.random.Float64,
			RateLimit:   func(*catalog.Upstream) throttler.Limit { return f.limit },
			QuotaShare: func(upstream string, requests int) selector.QuotaShare {
				return divideQuota(f.names[n], f.views[n], upstream, requests)
			},
		})
		s.SetTopology(selector.Topology{Upstreams: map[string]*catalog.Upstream{"e1": {ID: "e1", Service: "s", Slots: 1 << 20}}})
		f.selectors = append(f.selectors, s)
	}
	return f
}

// partition cuts instances of different groups off from each other.
func (f *limitedFleet) partition(group func(n int) int) {
	f.views = nil
	sizes := make(map[int]int)
	for n := range f.groups {
		f.groups[n] = group(n)
		sizes[group(n)]++
	}
	for _, group := range f.groups {
		f.views = append(f.views, &gossiper.Fleet{Size: len(f.names), Names: f.names, Alive: make([]gossiper.Peer, sizes[group]-1)})
	}
}

// try has an instance send a request if the limit allows it.
func (f *limitedFleet) try(n int, isWaiting bool, now time.Time) {
	reservation, _ := f.selectors[n].Choose(&selector.Request{Service: "s", IsWaiting: isWaiting}, now)
	if reservation != nil {
		f.sentAt = append(f.sentAt, now)
		reservation.Release(selector.Served, now)
	}
}

// step delivers the reports that are due, and sends those about changed loads.
func (f *limitedFleet) step(now time.Time, isHeartbeat bool) {
	for len(f.pending) > 0 && !f.pending[0].at.After(now) {
		report := f.pending[0]
		f.pending = f.pending[1:]
		for to, s := range f.selectors {
			if to != report.from && f.groups[to] == f.groups[report.from] && f.random.Float64() >= f.lossRate {
				s.UpdatePeerLoads(f.names[report.from], report.changes, now)
			}
		}
	}
	for from, s := range f.selectors {
		if !f.hasChanges[from] && !isHeartbeat {
			continue
		}
		f.hasChanges[from] = false
		changes := s.LoadChanges()
		if isHeartbeat {
			changes = s.Loads(now)
			if _, found := changes["e1"]; found {
				f.loadedAt[from] = now
			} else if now.Sub(f.loadedAt[from]) < idleReportTime {
				changes = map[string]selector.Load{"e1": {}}
			}
		}
		if len(changes) > 0 {
			f.pending = append(f.pending, loadReport{at: now.Add(f.delay), from: from, changes: changes})
		}
	}
}

// run plays demand for a time. Waiting requests are tried at every instance again and
// again, as in an overloaded fleet.
func (f *limitedFleet) run(duration time.Duration, demandPerSecond float64, hasWaiting bool, from time.Time) time.Time {
	const tick = 5 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < duration; elapsed += tick {
		now := from.Add(elapsed)
		f.step(now, elapsed%(250*time.Millisecond) == 0)
		for arrivals := demandPerSecond * tick.Seconds(); arrivals > 0; arrivals-- {
			if f.random.Float64() < arrivals {
				f.try(f.random.IntN(len(f.selectors)), false, now)
			}
		}
		if hasWaiting && elapsed%(20*time.Millisecond) == 0 {
			for n := range f.selectors {
				f.try(n, true, now)
			}
		}
	}
	return from.Add(duration)
}

// maxSends returns the most requests within a sliding window.
func (f *limitedFleet) maxSends(window time.Duration) int {
	first, most := 0, 0
	for last, at := range f.sentAt {
		for at.Sub(f.sentAt[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// operatorWindow is the time over which operators count the requests to a limited
// upstream. They tolerate one and a half times what the limit allows, and 5 more.
const operatorWindow = 4 * time.Second

func (f *limitedFleet) checkBound(t *testing.T, what string) {
	t.Helper()
	tolerated := int(1.5*f.limit.PerSecond*operatorWindow.Seconds()) + 5
	if got := f.maxSends(operatorWindow); got > tolerated {
		t.Errorf("%s: %d requests in %v, tolerated %d", what, got, operatorWindow, tolerated)
	}
}

// fleetShape is a size of the fleet with the delay of its reports: directly between
// instances, or through aggregators.
type fleetShape struct {
	size  int
	delay time.Duration
}

var fleetShapes = []fleetShape{{1, 0}, {8, 15 * time.Millisecond}, {24, 15 * time.Millisecond}, {80, 80 * time.Millisecond}}

// TestRateLimitBindsAllInstances guards against instances that together send more than an
// upstream accepts, whether requests are sent as they arrive or wait at every instance,
// and against a limit that is not used.
func TestRateLimitBindsAllInstances(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, shape := range fleetShapes {
		for _, perSecond := range []float64{0, 0.3, 1, 1.5, 4, 20} {
			for seed := range uint64(3) {
				for _, hasWaiting := range []bool{false, true} {
					f := newLimitedFleet(shape.size, perSecond, shape.delay, 0.01, seed)
					demand := 20 + 3*perSecond
					end := f.run(12*time.Second, demand, hasWaiting, start)
					what := fmt.Sprintf("%d instances, %g a second, waiting %t, seed %d", shape.size, perSecond, hasWaiting, seed)
					f.checkBound(t, what)
					if used := float64(len(f.sentAt)) / end.Sub(start).Seconds(); used < perSecond/2 {
						t.Errorf("%s: only %.2f a second are used", what, used)
					}
				}
			}
		}
	}
}

// TestRateLimitBindsInstancesThatAreCutOff guards against instances that, when they no
// longer hear each other, each use the whole limit.
func TestRateLimitBindsInstancesThatAreCutOff(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, groups := range []int{2, 4, 8} {
		for seed := range uint64(10) {
			f := newLimitedFleet(8, 1, 15*time.Millisecond, 0.01, seed)
			now := f.run(6*time.Second, 20, seed%2 == 0, start)
			f.partition(func(n int) int { return n % groups })
			now = f.run(10*time.Second, 20, seed%2 == 0, now)
			f.partition(func(int) int { return 0 })
			f.run(6*time.Second, 20, seed%2 == 0, now)
			f.checkBound(t, fmt.Sprintf("%d groups, seed %d", groups, seed))
		}
	}
}

// TestRateLimitFollowsChanges guards against a limit that is not lifted once the upstream
// no longer asks for it, and against counts of an earlier limit that bind a later one.
func TestRateLimitFollowsChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newLimitedFleet(8, 1, 15*time.Millisecond, 0.01, 1)
	now = f.run(10*time.Second, 40, false, now)
	f.limit.PerSecond = 10
	f.sentAt = nil
	now = f.run(4*time.Second, 40, false, now)
	f.checkBound(t, "a higher limit")
	if len(f.sentAt) < 20 {
		t.Errorf("%d requests in 4 s after the limit has risen to 10 a second", len(f.sentAt))
	}
	f.limit = throttler.Limit{}
	f.sentAt = nil
	now = f.run(2*time.Second, 40, false, now)
	if len(f.sentAt) < 60 {
		t.Errorf("%d of 80 requests in 2 s without a limit", len(f.sentAt))
	}
	f.limit = throttler.Limit{IsActive: true, PerSecond: 1}
	now = f.run(time.Second, 40, false, now)
	f.sentAt = nil
	f.run(10*time.Second, 40, false, now)
	f.checkBound(t, "a limit that is back")
}
