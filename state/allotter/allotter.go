// Package allotter enforces the token rate limits of workspaces across all
// instances.
//
// A limit is a token bucket that all instances share. The bucket refills at the
// rate that uses up the rate and the burst within a window. Its capacity is a
// part of the overshoot that operators tolerate, so that usage exceeds the bound
// in no window. Every instance estimates the level of the bucket: it knows its
// own consumption exactly, learns that of its peers from their heartbeats, and
// assumes that they continue at the reported rate until the next heartbeat. It
// consumes the part of the level that corresponds to its share of the total
// demand. These parts add up to the level, so that instances that admit requests
// concurrently stay within the limit without asking each other.
//
// A token is one unit of a workspace's limit: a request, or a model token if the
// workspace counts tokens.
package allotter

import (
	"math"
	"sync"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/catalog"
)

// Config configures an Allotter. All fields except IsFirstStart are required.
type Config struct {
	// Window is the length of the sliding window over which operators check
	// the limit.
	Window time.Duration
	// Slack is the number of tokens that all instances together may consume in
	// a window in addition to the limit and the overshoot.
	Slack float64
	// InstanceCount returns the number of instances that share the limits.
	InstanceCount func() int
	// IsFirstStart means that no tokens were consumed before this instance
	// started.
	IsFirstStart bool
	// StartTime is when this instance started.
	StartTime time.Time
	// RandFloat64 returns a random number from [0, 1).
	RandFloat64 func() float64
}

// Parameters of the shares.
const (
	// minShare is the smallest share of an instance, as a fraction of an equal
	// share.
	minShare = 0.5
	// toleratedOvershoot is the fraction by which operators allow usage to
	// exceed the limit.
	overshoot = 0.1
	// capacityFraction is the part of the allowed excess that the bucket holds.
	// reserveFraction is the part that instances may use together while demand
	// is below the rate. The rest covers late heartbeats.
	capacityFraction = 0.3
	reserveFraction  = 0.2
	// singleRequestFraction is the part of the level and the reserve that a
	// single request may use between two heartbeats. It lets an instance with
	// little demand admit a large request.
	loneFraction = 0.5
	// harmlessDemandFraction is the demand per second, as a fraction of the
	// allowed excess in a window, below which a sudden increase cannot exceed
	// the bound.
	sparseDemand = 0.9
	// surgeSeconds is the time in seconds for which an instance may use its share
	// of the refill in advance while demand exceeds the rate.
	guardTime = 0.4
	// overflowDecayFraction is the time constant with which the overflow decays,
	// as a fraction of the window.
	unusedMemory = 1.0 / 3
	// equalShareFactor limits what an instance may use between two heartbeats, as
	// a multiple of an equal share of the level and the reserve.
	evenFactor = 1.5
	// settleSeconds is the time in seconds in which a nonzero level is brought
	// back to 0. It is longer than the time until heartbeats arrive.
	settleTime = 2.0
	// silentPeerExpiry is how long a silent peer counts. It may be partitioned
	// rather than stopped, and then continues to use its share.
	silentUse = 20 * time.Second
	// silenceThreshold is the time without a heartbeat after which a peer may be
	// partitioned: three heartbeat intervals between zones.
	silentAfter = 1500 * time.Millisecond
)

// Usage is an instance's report about its usage of a workspace's limit.
type Usage struct {
	// Consumed is the number of tokens consumed since the instance's start.
	Consumed float64 `cbor:"1,keyasint"`
	// Demand is the demand in tokens per second.
	Demand float64 `cbor:"2,keyasint"`
	// Level is the estimated level of the bucket in tokens.
	Level float64 `cbor:"3,keyasint"`
}

// peer is another instance.
type peer struct {
	incarnation crocushollow.Incarnation
	heardAt     time.Time
}

// Allotter limits the usage of workspaces. It is safe for concurrent use.
type Allotter struct {
	config Config

	mu       sync.Mutex
	accounts map[string]*account
	peers    map[string]peer
}

// New returns an Allotter.
func New(config Config) *Allotter {
	return &Allotter{config: config, accounts: make(map[string]*account), peers: make(map[string]peer)}
}

// Take charges a workspace and reports whether its limit admits the request. If
// not, it returns the time after which a retry may succeed.
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

// hasHeadroom reports whether this instance may consume the cost regardless of
// what its peers do.
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

// winsDraw decides at random whether to admit a request that costs more than this
// instance's credit. On average exactly the credit is consumed, even if it is
// smaller than any request.
func (a *Allotter) wins(own *account, cost float64) bool {
	if own.demand() > own.rate {
		// All requests have the same chance, even if an instance receives too few
		// for its share. The surge allowance limits a sudden increase in demand.
		return own.untold <= a.guard(own) && a.config.RandFloat64()*own.demand() < own.rate+own.level/settleTime
	}
	credit := a.credit(own)
	if credit <= 0 {
		return false
	}
	if a.config.RandFloat64()*cost < credit {
		return true
	}
	own.burned += credit
	return false
}

// surgeAllowance returns the number of tokens that this instance may consume
// until its next report while demand exceeds the rate.
func (a *Allotter) guard(own *account) float64 {
	if own.demand() < sparseDemand*a.allowedBeyond(own.rate) {
		return math.Inf(1)
	}
	return a.share(own) * max(own.level+own.untold+own.rate*guardTime, 0)
}

// credit returns the part of the level that this instance may consume now.
func (a *Allotter) credit(own *account) float64 {
	return a.share(own)*(own.level+own.untold) - own.untold - own.burned
}

// share returns this instance's share of the limit.
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

// reserve returns the number of tokens beyond the limit that instances may
// consume together. It is halved while this instance does not know what was
// consumed before its start.
func (a *Allotter) reserve(own *account) float64 {
	allowed := a.allowedBeyond(own.rate)
	if !a.config.IsFirstStart && !own.isAdopted && own.at.Sub(a.config.StartTime) < a.config.Window {
		allowed /= 2
	}
	return reserveFraction * allowed
}

// allowedExcess returns the number of tokens beyond the limit that may be
// consumed in a window.
func (a *Allotter) allowedBeyond(rate float64) float64 {
	return overshoot*rate*a.config.Window.Seconds() + a.config.Slack
}

func (a *Allotter) instances() float64 { return float64(max(a.config.InstanceCount(), 1)) }

// LimitState holds the values that decide about a workspace's requests.
type LimitState struct {
	// Level is the estimated level of the bucket in tokens. It is negative after
	// more tokens were consumed than the limit allows.
	Level float64
	// Rate is the rate plus the burst spread over a window. Demand is the
	// demand of all instances. Both are in tokens per second.
	Rate   float64
	Demand float64
	// Share is this instance's share of the limit.
	Share float64
	// InstanceCount is the number of instances that share the limit.
	InstanceCount int
}

// LimitState returns the values that decide about a workspace's requests now.
func (a *Allotter) LimitState(workspace *catalog.Workspace, now time.Time) LimitState {
	a.mu.Lock()
	defer a.mu.Unlock()
	own := a.account(workspace.Name, now)
	return LimitState{
		Level: own.level, Rate: own.rate, Demand: own.demand(), Share: a.share(own), InstanceCount: a.config.InstanceCount(),
	}
}

// Bounds of the retry delay that is returned with a refused request.
const (
	minWait = 200 * time.Millisecond
	maxWait = 4 * time.Second
)

func waitFor(missing, rate float64) time.Duration {
	return min(max(time.Duration(min(missing/rate, maxWait.Seconds())*float64(time.Second)), minWait), maxWait)
}

// Refund returns the tokens charged for a request that did not run.
func (a *Allotter) Refund(workspace *catalog.Workspace, cost float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account(workspace.Name, now).spend(-cost)
}

// SetPeerUsage replaces the usage that a peer has reported. The incarnation
// changes when the peer restarts, and uptime is the time since its start.
func (a *Allotter) SetPeerUsage(instance string, incarnation crocushollow.Incarnation, uptime time.Duration, uses map[string]Usage, now time.Time) {
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
			// Most of the peer's consumption is older than the window. The peer
			// knows the level.
			own.level = max(own.level, min(before, use.Level))
		}
		if uptime > a.config.Window && a.mayAdopt(own, now) {
			own.level, own.isAdopted = use.Level, true
		}
	}
	for name, own := range a.accounts {
		if _, told := uses[name]; !told && own.peers[instance] != nil {
			own.setPeer(instance, Usage{}, isKnown, isSameLife)
		}
	}
}

// isUsageUnseen reports whether this instance has counted nothing yet of what a
// peer that it hears from for the first time has consumed since its start.
func (a *Allotter) isNewHere(uptime time.Duration, now time.Time) bool {
	age := now.Sub(a.config.StartTime)
	return uptime < a.config.Window && uptime <= age+time.Second && (age < a.config.Window || uptime < silentAfter)
}

// mayAdoptLevel reports whether this instance takes over the level from a peer
// that has been running longer, since it does not know what was consumed before
// its own start.
func (a *Allotter) mayAdopt(own *account, now time.Time) bool {
	return own.rate > 0 && !a.config.IsFirstStart && !own.isAdopted && now.Sub(a.config.StartTime) < a.config.Window
}

// ReportUsage returns the usage to send to peers, by workspace, and marks it as
// reported.
func (a *Allotter) ReportUsage(now time.Time) map[string]Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetSilent(now)
	uses := make(map[string]Usage, len(a.accounts))
	for name := range a.accounts {
		own := a.account(name, now)
		own.told, own.untold, own.burned = own.askedRate(), 0, 0
		if own.spent != 0 || own.told != 0 {
			uses[name] = Usage{Consumed: math.Round(own.spent), Demand: math.Round(own.told), Level: math.Round(own.level)}
		}
	}
	return uses
}

// expireSilentPeers assumes that peers that may be partitioned have the same
// demand and consumption as this instance, so that the shares on both sides add
// up. It forgets peers that stay silent.
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

// ForgetPeer drops the usage of a peer that has stopped for good.
func (a *Allotter) ForgetPeer(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.peers, instance)
	for _, own := range a.accounts {
		own.dropPeer(instance)
	}
}

// bucket returns a workspace's bucket, updated to the current time.
func (a *Allotter) account(workspace string, now time.Time) *account {
	age := now.Sub(a.config.StartTime)
	own := a.accounts[workspace]
	if own == nil {
		own = &account{at: now, newest: int64(age / askedPeriod), peers: make(map[string]*peerUse)}
		a.accounts[workspace] = own
	}
	own.advance(now, int64(age/askedPeriod), unusedMemory*a.config.Window.Seconds())
	return own
}

// SetLimits applies the limits of a table from now on, so that peers' usage is
// tracked before this instance's own first request.
func (a *Allotter) SetLimits(workspaces map[string]*catalog.Workspace, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, workspace := range workspaces {
		if workspace.Rate > 0 {
			a.limit(a.account(name, now), workspace)
		}
	}
}

// updateLimit applies a workspace's current limit to its bucket. The bucket
// starts empty because consumption before this instance's start is unknown.
func (a *Allotter) limit(own *account, workspace *catalog.Workspace) {
	isNew := own.rate == 0
	own.rate = workspace.Rate + workspace.Burst/a.config.Window.Seconds()
	own.capacity = capacityFraction * a.allowedBeyond(own.rate)
	if isNew {
		own.level = own.capacity
		if !a.config.IsFirstStart {
			own.level = own.rate * own.at.Sub(a.config.StartTime).Seconds()
		}
	}
	own.level = min(own.level, own.capacity)
}
