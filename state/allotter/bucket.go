package allotter

import (
	"math"
	"time"
)

// Demand is averaged over the newest time slots.
const (
	demandSlotCount    = 10
	demandSlotDuration = 200 * time.Millisecond
)

// bucket is this instance's estimate of the token bucket that enforces one
// workspace's limit across all instances.
type bucket struct {
	// refillRate is the number of tokens added per second, 0 until the limit is
	// known. capacity is the maximum number of tokens in the bucket.
	refillRate, capacity float64
	// level is the estimated number of tokens at updatedAt, at most capacity.
	level     float64
	updatedAt time.Time
	// overflow is the number of tokens recently lost because the bucket was full.
	// It decays over time. The sliding window still has room for these tokens.
	overflow float64
	// consumed is this instance's consumption since its start. unreported is the
	// part of it that has not been sent to peers yet. forfeited is the credit
	// given up in unsuccessful random draws since the last report.
	consumed, unreported, forfeited float64
	// toldUntil is when the last of the requests that this instance has refused was told to
	// come back. The tokens that return until then are promised.
	toldUntil time.Time
	// demandSlots is a ring of the demand in the newest time slots, in tokens.
	demandSlots [demandSlotCount]float64
	// newestSlot is the number of the newest time slot since the start.
	newestSlot int64
	// reportedDemand is this instance's demand in its last report to peers.
	// Shares are computed from it, so that they add up across all instances
	// while demand grows.
	reportedDemand float64
	// peerDemand is the sum of the demand that the peers reported.
	peerDemand float64
	// grantedSeconds is the integral over time, in seconds, of the fraction of
	// the total demand that the limit permits.
	grantedSeconds float64
	peers          map[string]*peerUsage
	// levelAdopted means that the level was copied from an instance that has been
	// running longer.
	levelAdopted bool
}

// peerUsage is what a peer has reported about its usage of one workspace's limit.
type peerUsage struct {
	consumed, demand float64
	// estimated is the consumption assumed since the peer's last report.
	// estimatedUntil is the value of the bucket's grantedSeconds up to which
	// it is counted.
	estimated, estimatedUntil float64
}

// advance updates the bucket to the current time. It assumes that peers continue
// at the rate they reported. The overflow decays with the time constant
// overflowDecay, in seconds.
func (b *bucket) advance(now time.Time, slot int64, overflowDecay float64) {
	for steps := min(slot-b.newestSlot, demandSlotCount); steps > 0; steps-- {
		b.demandSlots[(slot-steps+1)%demandSlotCount] = 0
	}
	b.newestSlot = max(slot, b.newestSlot)
	elapsed := now.Sub(b.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	if b.refillRate == 0 {
		return
	}
	fraction := 1.0
	if demand := b.totalDemand(); demand > b.refillRate {
		fraction = b.refillRate / demand
	}
	b.grantedSeconds += fraction * elapsed
	b.level += (b.refillRate - fraction*b.peerDemand) * elapsed
	b.overflow = b.overflow*math.Exp(-elapsed/overflowDecay) + max(b.level-b.capacity, 0)
	b.level = min(b.level, b.capacity)
}

// totalDemand returns the demand of all instances, in tokens per second.
func (b *bucket) totalDemand() float64 { return b.reportedDemand + b.peerDemand }

// ownDemand returns this instance's average demand, in tokens per second.
func (b *bucket) ownDemand() float64 {
	var sum float64
	for _, demand := range b.demandSlots {
		sum += demand
	}
	return sum / (demandSlotCount * demandSlotDuration.Seconds())
}

// consume takes tokens from the bucket. A negative cost returns them.
func (b *bucket) consume(cost float64) {
	b.consumed += cost
	b.unreported = max(b.unreported+cost, 0)
	b.level = min(b.level-cost, b.capacity)
}

// setPeerDemand adds the peer's estimated consumption up to now and then assumes
// a new demand for it.
func (b *bucket) setPeerDemand(p *peerUsage, demand float64) {
	p.estimated += p.demand * (b.grantedSeconds - p.estimatedUntil)
	p.estimatedUntil = b.grantedSeconds
	b.peerDemand += demand - p.demand
	p.demand = demand
}

// estimateSilentPeer assumes that the demand of a silent peer, and its
// consumption since this instance's last report, are at least this instance's
// own.
func (b *bucket) estimateSilentPeer(p *peerUsage) {
	before := p.estimated
	b.setPeerDemand(p, max(p.demand, b.reportedDemand))
	if missing := b.unreported - (p.estimated - before); missing > 0 {
		p.estimated += missing
		b.level -= missing
	}
}

// applyPeerUsage replaces the estimate of a peer's consumption by its report. If
// the peer is new or has restarted, countsInitial says whether the consumption in
// the report is subtracted from the level.
func (b *bucket) applyPeerUsage(instance string, usage Usage, countsInitial, sameIncarnation bool) {
	p := b.peers[instance]
	if p == nil {
		p = &peerUsage{estimatedUntil: b.grantedSeconds}
		b.peers[instance] = p
	}
	if countsInitial && !sameIncarnation {
		// The previous incarnation's consumption after its last heartbeat is
		// never reported, so it is estimated.
		b.estimateSilentPeer(p)
	}
	b.setPeerDemand(p, usage.Demand)
	switch {
	case sameIncarnation:
		b.level += p.estimated - (usage.Consumed - p.consumed)
	case countsInitial:
		b.level -= usage.Consumed
	}
	b.level = min(b.level, b.capacity)
	p.consumed, p.estimated = usage.Consumed, 0
}

func (b *bucket) removePeer(instance string) {
	if p := b.peers[instance]; p != nil {
		b.peerDemand = max(b.peerDemand-p.demand, 0)
		delete(b.peers, instance)
	}
}
