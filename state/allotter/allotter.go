// Package allotter enforces the token rate limits of workspaces across all
// instances.
//
// A limit is a token bucket that all instances share. The bucket refills at the
// rate that uses up the rate and the burst within a window. Its capacity is a
// fraction of the overshoot that operators tolerate, so that usage exceeds the bound
// in no window. Every instance estimates the level of the bucket: it knows its
// own consumption exactly, learns that of its peers from their heartbeats, and
// assumes that they continue at the reported rate until the next heartbeat. It
// consumes the part of the level that corresponds to its share of the total
// demand. These parts add up to the level, so that instances that admit requests
// concurrently stay within the limit without any coordination.
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
	toleratedOvershoot = 0.1
	// capacityFraction is the fraction of the allowed excess that the bucket holds.
	// reserveFraction is the fraction that instances may use together while demand
	// is below the rate. The rest covers late heartbeats.
	capacityFraction = 0.3
	reserveFraction  = 0.2
	// singleRequestFraction is the fraction of the level and the reserve that a
	// single request may use between two heartbeats. It lets an instance with
	// little demand admit a large request.
	singleRequestFraction = 0.5
	// harmlessDemandFraction is the demand per second, as a fraction of the
	// allowed excess in a window, below which a sudden increase cannot exceed
	// the bound.
	harmlessDemandFraction = 0.9
	// calmSurgeFactor is the factor by which the demand of all instances may grow
	// until their reports show it, while the free part of the limit covers it.
	// reportDelaySeconds is the time in seconds until the reports arrive.
	// calmFraction is the part of the free tokens that one instance may use then.
	calmSurgeFactor    = 4.0
	reportDelaySeconds = 0.6
	calmFraction       = 1.0 / 8
	// surgeSeconds is the time in seconds for which an instance may use its share
	// of the refill in advance while demand exceeds the rate.
	surgeSeconds = 0.4
	// overflowDecayFraction is the time constant with which the overflow decays,
	// as a fraction of the window.
	overflowDecayFraction = 1.0 / 3
	// equalShareFactor limits what an instance may use between two heartbeats, as
	// a multiple of an equal share of the level and the reserve.
	equalShareFactor = 1.5
	// startupSeconds is the time in seconds from the start of an instance until it
	// has reports of all instances.
	startupSeconds = 1.0
	// settleSeconds is the time in seconds in which a nonzero level is brought
	// back to 0. It is longer than the time until heartbeats arrive.
	settleSeconds = 2.0
	// silentPeerExpiry is how long a silent peer counts. It may be partitioned
	// rather than stopped, and then continues to use its share.
	silentPeerExpiry = 20 * time.Second
	// silenceThreshold is the time without a heartbeat after which a peer may be
	// partitioned: three heartbeat intervals between zones.
	silenceThreshold = 1500 * time.Millisecond
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
	incarnation     crocushollow.Incarnation
	lastHeartbeatAt time.Time
}

// Allotter limits the usage of workspaces. It is safe for concurrent use.
type Allotter struct {
	config Config

	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]peer
}

// New returns an Allotter.
func New(config Config) *Allotter {
	return &Allotter{config: config, buckets: make(map[string]*bucket), peers: make(map[string]peer)}
}

// Take charges a workspace and reports whether its limit admits the request. If
// not, it returns the time after which a retry may succeed.
func (a *Allotter) Take(workspace *catalog.Workspace, cost float64, now time.Time) (bool, time.Duration) {
	if workspace.Rate <= 0 {
		return true, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucket(workspace.Name, now)
	a.updateLimit(b, workspace)
	b.demandSlots[b.newestSlot%demandSlotCount] += cost
	if a.hasHeadroom(b, cost) || a.winsDraw(b, cost) {
		b.consume(cost)
		return true, 0
	}
	return false, a.retryDelay(b, cost, now)
}

// hasHeadroom reports whether this instance may consume the cost regardless of
// what its peers do.
func (a *Allotter) hasHeadroom(b *bucket, cost float64) bool {
	if cost <= a.credit(b) {
		return true
	}
	if b.totalDemand() > b.refillRate {
		return false
	}
	free := b.level + b.unreported + b.overflow + a.reserve(b)
	if a.isStarting(b) {
		return b.consumed == 0 && cost <= singleRequestFraction*free ||
			b.consumed+cost <= equalShareFactor*free/a.instanceCount()
	}
	if b.totalDemand()*calmSurgeFactor*reportDelaySeconds <= free && b.unreported+cost <= calmFraction*free {
		// Several requests that arrive at one instance between two reports say
		// nothing about the fleet's demand.
		return true
	}
	if b.unreported == 0 && cost <= singleRequestFraction*free {
		return true
	}
	return b.unreported+cost <= equalShareFactor*free/a.instanceCount()
}

// isStarting reports whether the usage and the demand of the other instances may not
// be known yet, since this instance has just started and no older one has reported.
func (a *Allotter) isStarting(b *bucket) bool {
	age := b.updatedAt.Sub(a.config.StartTime).Seconds()
	return !a.config.IsFirstStart && !b.levelAdopted && age < startupSeconds
}

// winsDraw decides at random whether to admit a request that costs more than this
// instance's credit. On average exactly the credit is consumed, even if it is
// smaller than any request.
func (a *Allotter) winsDraw(b *bucket, cost float64) bool {
	if b.totalDemand() > b.refillRate {
		// All requests have the same chance, even if an instance receives too few
		// for its share. The surge allowance limits a sudden increase in demand.
		return b.unreported <= a.surgeAllowance(b) && a.config.RandFloat64()*b.totalDemand() < b.refillRate+b.level/settleSeconds
	}
	credit := a.credit(b)
	if credit <= 0 {
		return false
	}
	if a.config.RandFloat64()*cost < credit {
		return true
	}
	b.forfeited += credit
	return false
}

// surgeAllowance returns the number of tokens that this instance may consume
// until its next report while demand exceeds the rate.
func (a *Allotter) surgeAllowance(b *bucket) float64 {
	if b.totalDemand() < harmlessDemandFraction*a.allowedExcess(b.refillRate) {
		return math.Inf(1)
	}
	return a.share(b) * max(b.level+b.unreported+b.refillRate*surgeSeconds, 0)
}

// credit returns the part of the level that this instance may consume now.
func (a *Allotter) credit(b *bucket) float64 {
	return a.share(b)*(b.level+b.unreported) - b.unreported - b.forfeited
}

// share returns this instance's share of the limit. It is an equal one while the
// demand of the others is not known.
func (a *Allotter) share(b *bucket) float64 {
	least := minShare
	if len(a.peers) == 0 {
		least = 1
	}
	share := least / a.instanceCount()
	if total := b.totalDemand(); total > 0 && !a.isStarting(b) {
		share = max(share, b.reportedDemand/total)
	}
	return share
}

// reserve returns the number of tokens beyond the limit that instances may
// consume together. It is halved while this instance does not know what was
// consumed before its start.
func (a *Allotter) reserve(b *bucket) float64 {
	allowed := a.allowedExcess(b.refillRate)
	if !a.config.IsFirstStart && !b.levelAdopted && b.updatedAt.Sub(a.config.StartTime) < a.config.Window {
		allowed /= 2
	}
	return reserveFraction * allowed
}

// allowedExcess returns the number of tokens beyond the limit that may be
// consumed in a window.
func (a *Allotter) allowedExcess(rate float64) float64 {
	return toleratedOvershoot*rate*a.config.Window.Seconds() + a.config.Slack
}

func (a *Allotter) instanceCount() float64 { return float64(max(a.config.InstanceCount(), 1)) }

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
	b := a.bucket(workspace.Name, now)
	return LimitState{
		Level: b.level, Rate: b.refillRate, Demand: b.totalDemand(), Share: a.share(b), InstanceCount: a.config.InstanceCount(),
	}
}

// IsOverLimit reports whether a workspace asks for more than its limit, over all instances.
func (a *Allotter) IsOverLimit(workspace *catalog.Workspace, now time.Time) bool {
	if workspace.Rate <= 0 {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucket(workspace.Name, now)
	return b.refillRate > 0 && b.totalDemand() > b.refillRate
}

// Bounds of the retry delay that is returned with a refused request.
const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 4 * time.Second
)

// retryDelay returns when a refused request may come back: when the tokens that it misses have
// returned to this instance, after those that the requests refused before it were told of.
// Requests that would have to wait for longer than maxRetryDelay are spread over the last
// half of it.
func (a *Allotter) retryDelay(b *bucket, cost float64, now time.Time) time.Duration {
	rate := b.refillRate * a.share(b)
	if b.toldUntil.Before(now) {
		b.toldUntil = now.Add(secondsDuration(max(-a.credit(b), 0)/rate, maxRetryDelay))
	}
	b.toldUntil = b.toldUntil.Add(secondsDuration(cost/rate, maxRetryDelay))
	delay := b.toldUntil.Sub(now)
	if delay > maxRetryDelay {
		b.toldUntil = now.Add(maxRetryDelay)
		delay = time.Duration((1 + a.config.RandFloat64()) / 2 * float64(maxRetryDelay))
	}
	return max(delay, minRetryDelay)
}

// secondsDuration converts seconds to a duration of at most limit.
func secondsDuration(seconds float64, limit time.Duration) time.Duration {
	return time.Duration(min(seconds, limit.Seconds()) * float64(time.Second))
}

// Refund returns the tokens charged for a request that did not run.
func (a *Allotter) Refund(workspace *catalog.Workspace, cost float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket(workspace.Name, now).consume(-cost)
}

// SetPeerUsage replaces the usage that a peer has reported. The incarnation
// changes when the peer restarts, and uptime is the time since its start.
func (a *Allotter) SetPeerUsage(instance string, incarnation crocushollow.Incarnation, uptime time.Duration, usages map[string]Usage, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, isKnown := a.peers[instance]
	a.setUsage(instance, incarnation, uptime, usages, isKnown || a.isUsageUnseen(uptime, now), now)
}

// SetAggregateUsage replaces the usage of all instances that an aggregator counts
// together. The term changes when another aggregator takes over and counts from 0
// again. The consumption between two terms stays as estimated. uptime is the time
// since the aggregator's start.
func (a *Allotter) SetAggregateUsage(name string, term crocushollow.Incarnation, uptime time.Duration, usages map[string]Usage, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setUsage(name, term, uptime, usages, false, now)
}

// setUsage replaces the usage of a peer. countsInitial says whether the consumption
// in the first report of an incarnation is subtracted from the levels. The caller
// must lock mu.
func (a *Allotter) setUsage(instance string, incarnation crocushollow.Incarnation, uptime time.Duration, usages map[string]Usage, countsInitial bool, now time.Time) {
	known, isKnown := a.peers[instance]
	sameIncarnation := isKnown && known.incarnation == incarnation
	wasSilent := isKnown && now.Sub(known.lastHeartbeatAt) > silenceThreshold
	a.peers[instance] = peer{incarnation: incarnation, lastHeartbeatAt: now}
	for name, usage := range usages {
		b := a.bucket(name, now)
		before := b.level
		b.applyPeerUsage(instance, usage, countsInitial, sameIncarnation)
		if wasSilent {
			// Most of the peer's consumption is older than the window and no
			// longer counts, so the peer's own estimate is used if it is higher.
			b.level = max(b.level, min(before, usage.Level))
		}
		if uptime > a.config.Window && a.mayAdoptLevel(b, now) {
			b.level, b.levelAdopted = usage.Level, true
		}
	}
	for name, b := range a.buckets {
		if _, reported := usages[name]; !reported && b.peers[instance] != nil {
			b.applyPeerUsage(instance, Usage{}, countsInitial, sameIncarnation)
		}
	}
}

// isUsageUnseen reports whether none of the consumption of a peer is counted yet.
// The peer has just sent its first heartbeat to this instance.
func (a *Allotter) isUsageUnseen(uptime time.Duration, now time.Time) bool {
	age := now.Sub(a.config.StartTime)
	return uptime < a.config.Window && uptime <= age+time.Second && (age < a.config.Window || uptime < silenceThreshold)
}

// mayAdoptLevel reports whether this instance takes over the level from a peer
// that has been running longer, since it does not know what was consumed before
// its own start.
func (a *Allotter) mayAdoptLevel(b *bucket, now time.Time) bool {
	return b.refillRate > 0 && !a.config.IsFirstStart && !b.levelAdopted && now.Sub(a.config.StartTime) < a.config.Window
}

// ReportUsage returns the usage to send to peers, by workspace, and marks it as
// reported.
func (a *Allotter) ReportUsage(now time.Time) map[string]Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireSilentPeers(now)
	usages := make(map[string]Usage, len(a.buckets))
	for name := range a.buckets {
		b := a.bucket(name, now)
		b.reportedDemand, b.unreported, b.forfeited = b.ownDemand(), 0, 0
		if b.consumed != 0 || b.reportedDemand != 0 {
			usages[name] = Usage{Consumed: math.Round(b.consumed), Demand: math.Round(b.reportedDemand), Level: math.Round(b.level)}
		}
	}
	return usages
}

// expireSilentPeers assumes that peers that may be partitioned have the same
// demand and consumption as this instance, so that the shares on both sides add
// up. It forgets peers that stay silent.
func (a *Allotter) expireSilentPeers(now time.Time) {
	for instance, p := range a.peers {
		silence := now.Sub(p.lastHeartbeatAt)
		if silence <= silenceThreshold {
			continue
		}
		for name := range a.buckets {
			b := a.bucket(name, now)
			known := b.peers[instance]
			switch {
			case silence > silentPeerExpiry:
				b.removePeer(instance)
			case known != nil:
				b.estimateSilentPeer(known)
			}
		}
		if silence > silentPeerExpiry {
			delete(a.peers, instance)
		}
	}
}

// ForgetPeer drops the usage of a peer that has stopped for good.
func (a *Allotter) ForgetPeer(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.peers, instance)
	for _, b := range a.buckets {
		b.removePeer(instance)
	}
}

// bucket returns a workspace's bucket, updated to the current time.
func (a *Allotter) bucket(workspace string, now time.Time) *bucket {
	age := now.Sub(a.config.StartTime)
	b := a.buckets[workspace]
	if b == nil {
		b = &bucket{updatedAt: now, newestSlot: int64(age / demandSlotDuration), peers: make(map[string]*peerUsage)}
		a.buckets[workspace] = b
	}
	b.advance(now, int64(age/demandSlotDuration), overflowDecayFraction*a.config.Window.Seconds())
	return b
}

// SetLimits applies the limits of a table from now on, so that peers' usage is
// tracked before this instance's own first request.
func (a *Allotter) SetLimits(workspaces map[string]*catalog.Workspace, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, workspace := range workspaces {
		if workspace.Rate > 0 {
			a.updateLimit(a.bucket(name, now), workspace)
		}
	}
}

// updateLimit applies a workspace's current limit to its bucket. Unless this is
// the first start, consumption before the start is unknown, so the bucket is
// empty at the start and refills from then on.
func (a *Allotter) updateLimit(b *bucket, workspace *catalog.Workspace) {
	isNew := b.refillRate == 0
	b.refillRate = workspace.Rate + workspace.Burst/a.config.Window.Seconds()
	b.capacity = capacityFraction * a.allowedExcess(b.refillRate)
	if isNew {
		b.level = b.capacity
		if !a.config.IsFirstStart {
			b.level = b.refillRate * b.updatedAt.Sub(a.config.StartTime).Seconds()
		}
	}
	b.level = min(b.level, b.capacity)
}
