// Package allotter keeps workspaces within their fleet-wide limits.
//
// A limit is a token bucket that all instances share. It fills at the rate that
// uses up rate and burst in a window, and holds a part of what operators tolerate
// beyond that, so that no window exceeds the bound. Every instance estimates its
// level: it knows its own use exactly and that of the others from their
// bulletins, and takes each of the others to go on as it told until it tells
// anew. Of the level it spends the part that matches its share of the demand.
// The parts add up to the level, so that instances which decide at the same
// moment stay within the limit without asking each other.
package allotter

import (
	"math"
	"sync"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/catalog"
)

// Config configures an Allotter. All fields are required but IsFirstStart.
type Config struct {
	// Window is the length of the sliding window of the operators' bound.
	Window time.Duration
	// Slack is what may be used beyond the limit in a window over all
	// instances, in units.
	Slack float64
	// Instances returns the number of instances that share the limits.
	Instances func() int
	// IsFirstStart tells that nothing was used before the instance started.
	IsFirstStart bool
	// Started is when the instance started.
	Started time.Time
	// Draw returns a random number from [0, 1).
	Draw func() float64
}

// Tuning of the shares.
const (
	// minShare is the least share of an instance relative to an even one.
	minShare = 0.5
	// overshoot is the part of the limit that the operators allow beyond it.
	overshoot = 0.1
	// capacityFraction is the part of what is allowed beyond the limit that the
	// bucket holds, and reserveFraction the part that instances may use together
	// while demand is below the rate. The rest covers bulletins that come late.
	capacityFraction = 0.3
	reserveFraction  = 0.2
	// loneFraction is the part of the level and the reserve that a single
	// request may take between two bulletins. An instance with little demand can
	// then serve a large request.
	loneFraction = 0.5
	// sparseDemand is the demand in a second, as a part of what is allowed beyond
	// the limit in a window, up to which a sudden rise does no harm.
	sparseDemand = 0.9
	// guardTime is the time in seconds for which an instance may use its part
	// ahead while demand is above the rate.
	guardTime = 0.4
	// unusedMemory is the part of a window after which little of what the full
	// bucket has lost counts any more.
	unusedMemory = 1.0 / 3
	// evenFactor is how many times an even part of the level and the reserve an
	// instance may use between two bulletins.
	evenFactor = 1.5
	// settleTime is the time in seconds in which a level that is not 0 is used up,
	// longer than the time after which bulletins have come.
	settleTime = 2.0
	// silentUse is how long an instance that is silent counts. It may be cut off
	// rather than gone, and goes on using its share.
	silentUse = 20 * time.Second
	// silentAfter is the time without a bulletin after which an instance may be
	// cut off, three periods of bulletins between zones.
	silentAfter = 1500 * time.Millisecond
)

// Use is what an instance tells of its use of a workspace's limit.
type Use struct {
	// Spent is the use since the instance's start, in units.
	Spent float64 `cbor:"1,keyasint"`
	// Asked is the demand in units per second.
	Asked float64 `cbor:"2,keyasint"`
	// Level is the estimated level of the bucket in units.
	Level float64 `cbor:"3,keyasint"`
}

// peer is another instance.
type peer struct {
	incarnation crocushollow.Incarnation
	heardAt     time.Time
}

// Allotter is safe for concurrent use.
type Allotter struct {
	config Config

	mu       sync.Mutex
	accounts map[string]*account
	peers    map[string]peer
}

// New returns an allotter.
func New(config Config) *Allotter {
	return &Allotter{config: config, accounts: make(map[string]*account), peers: make(map[string]peer)}
}

// Take charges a workspace and reports whether its limit leaves room. If not, it
// returns when that may be the case.
func (a *Allotter) Take(workspace *catalog.Workspace, cost float64, now time.Time) (bool, time.Duration) {
	if workspace.Rate <= 0 {
		return true, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	own := a.account(workspace.Name, now)
	a.limit(own, workspace)
	own.asked[own.newest%askedBuckets] += cost
	if a.hasRoom(own, cost) || a.wins(own, cost) {
		own.spend(cost)
		return true, 0
	}
	return false, waitFor(cost-a.credit(own), own.rate*a.share(own))
}

// hasRoom reports whether the instance may use the cost whatever the others do.
func (a *Allotter) hasRoom(own *account, cost float64) bool {
	if cost <= a.credit(own) {
		return true
	}
	if own.demand() > own.rate {
		return false
	}
	free := own.level + own.untold + own.unused + a.reserve(own)
	if own.untold == 0 && cost <= loneFraction*free {
		return true
	}
	return own.untold+cost <= evenFactor*free/a.instances()
}

// wins draws whether a request is served that costs more than the instance's
// part. On average just the part is used, also where it is smaller than any
// request.
func (a *Allotter) wins(own *account, cost float64) bool {
	if own.demand() > own.rate {
		// All requests have the same chance, also where an instance has too few of
		// them for its share. A sudden rise of the demand meets the guard.
		return own.untold <= a.guard(own) && a.config.Draw()*own.demand() < own.rate+own.level/settleTime
	}
	credit := a.credit(own)
	if credit <= 0 {
		return false
	}
	if a.config.Draw()*cost < credit {
		return true
	}
	own.burned += credit
	return false
}

// guard returns what the instance may use until the others are told anew while
// demand is above the rate.
func (a *Allotter) guard(own *account) float64 {
	if own.demand() < sparseDemand*a.allowedBeyond(own.rate) {
		return math.Inf(1)
	}
	return a.share(own) * max(own.level+own.untold+own.rate*guardTime, 0)
}

// credit returns the part of the level that the instance may use now.
func (a *Allotter) credit(own *account) float64 {
	return a.share(own)*(own.level+own.untold) - own.untold - own.burned
}

// share returns the instance's part of the limit.
func (a *Allotter) share(own *account) float64 {
	least := minShare
	if len(a.peers) == 0 {
		least = 1
	}
	share := least / a.instances()
	if total := own.demand(); total > 0 {
		share = max(share, own.told/total)
	}
	return share
}

// reserve returns what instances may use together beyond the limit. An instance
// that does not know what was used before its start leaves half of it.
func (a *Allotter) reserve(own *account) float64 {
	allowed := a.allowedBeyond(own.rate)
	if !a.config.IsFirstStart && !own.isAdopted && own.at.Sub(a.config.Started) < a.config.Window {
		allowed /= 2
	}
	return reserveFraction * allowed
}

// allowedBeyond returns what may be used in a window beyond the limit.
func (a *Allotter) allowedBeyond(rate float64) float64 {
	return overshoot*rate*a.config.Window.Seconds() + a.config.Slack
}

func (a *Allotter) instances() float64 { return float64(max(a.config.Instances(), 1)) }

// State is what decides about a workspace's requests.
type State struct {
	// Level is the estimated level of the bucket in units, negative after more
	// was used than the limit allows.
	Level float64
	// Rate is the rate and the burst spread over a window, and Demand that of all
	// instances, both in units per second.
	Rate   float64
	Demand float64
	// Share is the instance's part of the limit.
	Share float64
	// Instances is the number of instances that share it.
	Instances int
}

// State returns what decides about a workspace's requests now.
func (a *Allotter) State(workspace *catalog.Workspace, now time.Time) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	own := a.account(workspace.Name, now)
	return State{
		Level: own.level, Rate: own.rate, Demand: own.demand(), Share: a.share(own), Instances: a.config.Instances(),
	}
}

// Bounds of the time that a refused request is told to wait.
const (
	minWait = 200 * time.Millisecond
	maxWait = 4 * time.Second
)

func waitFor(missing, rate float64) time.Duration {
	return min(max(time.Duration(min(missing/rate, maxWait.Seconds())*float64(time.Second)), minWait), maxWait)
}

// Refund returns what a request was charged that has not run.
func (a *Allotter) Refund(workspace *catalog.Workspace, cost float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account(workspace.Name, now).spend(-cost)
}

// SetPeerUse replaces what another instance has told. The incarnation tells its
// lives apart, and uptime is the time since its start.
func (a *Allotter) SetPeerUse(instance string, incarnation crocushollow.Incarnation, uptime time.Duration, uses map[string]Use, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, isKnown := a.peers[instance]
	isSameLife := isKnown && known.incarnation == incarnation
	wasSilent := isKnown && now.Sub(known.heardAt) > silentAfter
	a.peers[instance] = peer{incarnation: incarnation, heardAt: now}
	for name, use := range uses {
		own := a.account(name, now)
		before := own.level
		own.setPeer(instance, use, isKnown || a.isNewHere(uptime, now), isSameLife)
		if wasSilent {
			// Much of what it used is older than the window. It knows the level.
			own.level = max(own.level, min(before, use.Level))
		}
		if uptime > a.config.Window && a.mayAdopt(own, now) {
			own.level, own.isAdopted = use.Level, true
		}
	}
	for name, own := range a.accounts {
		if _, told := uses[name]; !told && own.peers[instance] != nil {
			own.setPeer(instance, Use{}, isKnown, isSameLife)
		}
	}
}

// isNewHere reports whether all that a peer has used since its start is new to
// the instance, which has not heard of it before.
func (a *Allotter) isNewHere(uptime time.Duration, now time.Time) bool {
	age := now.Sub(a.config.Started)
	return uptime < a.config.Window && uptime <= age+time.Second && (age < a.config.Window || uptime < silentAfter)
}

// mayAdopt reports whether an instance takes over the level from an older one,
// since it does not know what was used before its own start.
func (a *Allotter) mayAdopt(own *account, now time.Time) bool {
	return own.rate > 0 && !a.config.IsFirstStart && !own.isAdopted && now.Sub(a.config.Started) < a.config.Window
}

// Uses returns what the others are told about each workspace.
func (a *Allotter) Uses(now time.Time) map[string]Use {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetSilent(now)
	uses := make(map[string]Use, len(a.accounts))
	for name := range a.accounts {
		own := a.account(name, now)
		own.told, own.untold, own.burned = own.askedRate(), 0, 0
		if own.spent != 0 || own.told != 0 {
			uses[name] = Use{Spent: math.Round(own.spent), Asked: math.Round(own.told), Level: math.Round(own.level)}
		}
	}
	return uses
}

// forgetSilent takes instances that may be cut off to have the own demand and
// use, so that the parts on both sides add up, and forgets them in the end.
func (a *Allotter) forgetSilent(now time.Time) {
	for instance, p := range a.peers {
		silence := now.Sub(p.heardAt)
		if silence <= silentAfter {
			continue
		}
		for name := range a.accounts {
			own := a.account(name, now)
			known := own.peers[instance]
			switch {
			case silence > silentUse:
				own.dropPeer(instance)
			case known != nil:
				own.mirror(known)
			}
		}
		if silence > silentUse {
			delete(a.peers, instance)
		}
	}
}

// ForgetPeer drops what an instance has told that has stopped for good.
func (a *Allotter) ForgetPeer(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.peers, instance)
	for _, own := range a.accounts {
		own.dropPeer(instance)
	}
}

// account returns a workspace's account, brought up to date.
func (a *Allotter) account(workspace string, now time.Time) *account {
	age := now.Sub(a.config.Started)
	own := a.accounts[workspace]
	if own == nil {
		own = &account{at: now, newest: int64(age / askedPeriod), peers: make(map[string]*peerUse)}
		a.accounts[workspace] = own
	}
	own.advance(now, int64(age/askedPeriod), unusedMemory*a.config.Window.Seconds())
	return own
}

// SetLimits takes the limits of a table into account from now on, so that the
// others' use of them is followed before the instance's own first request.
func (a *Allotter) SetLimits(workspaces map[string]*catalog.Workspace, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, workspace := range workspaces {
		if workspace.Rate > 0 {
			a.limit(a.account(name, now), workspace)
		}
	}
}

// limit brings an account's limit up to date. What was used before the start is
// not known, so that the bucket begins empty there.
func (a *Allotter) limit(own *account, workspace *catalog.Workspace) {
	isNew := own.rate == 0
	own.rate = workspace.Rate + workspace.Burst/a.config.Window.Seconds()
	own.capacity = capacityFraction * a.allowedBeyond(own.rate)
	if isNew {
		own.level = own.capacity
		if !a.config.IsFirstStart {
			own.level = own.rate * own.at.Sub(a.config.Started).Seconds()
		}
	}
	own.level = min(own.level, own.capacity)
}
