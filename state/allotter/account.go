package allotter

import (
	"math"
	"time"
)

// Demand is averaged over the newest time slots.
const (
	askedBuckets = 10
	askedPeriod  = 200 * time.Millisecond
)

// bucket is this instance's estimate of the token bucket that enforces one
// workspace's limit across all instances.
type account struct {
	// refillRate is the number of tokens added per second, 0 until the limit is
	// known. capacity is the maximum number of tokens in the bucket.
	rate, capacity float64
	// level is the estimated number of tokens at updatedAt, at most capacity.
	level float64
	at    time.Time
	// overflow is the number of tokens recently lost because the bucket was full.
	// It decays over time. Until then the sliding window still has room for
	// these tokens.
	unused float64
	// consumed is this instance's consumption since its start. unreported is the
	// part of it that has not been sent to peers yet. forfeited is the credit
	// given up in unsuccessful random draws since the last report.
	spent, untold, burned float64
	asked                 [askedBuckets]float64
	// newestSlot is the number of the newest slot of demandSlots since the start.
	newest int64
	// reportedDemand is this instance's demand in its last report to peers.
	// Shares are computed from it, so that they add up across all instances
	// while demand grows.
	told float64
	// peerDemand is the sum of the demand that the peers reported.
	othersAsked float64
	// grantedSeconds is the integral over time, in seconds, of the fraction of
	// the total demand that the limit permits.
	granted float64
	peers   map[string]*peerUse
	// levelAdopted means that the level was copied from an instance that has been
	// running longer.
	isAdopted bool
}

// peerUsage is what a peer has reported about its usage of one workspace's limit.
type peerUse struct {
	spent, asked float64
	// estimated is the consumption assumed since the peer's last report.
	// estimatedUntil is the value of the bucket's grantedSeconds up to which
	// it is counted.
	assumed, since float64
}

// advance updates the bucket to the current time. It assumes that peers continue
// at the rate they reported. The overflow decays with the time constant
// overflowDecay, in seconds.
func (o *account) advance(now time.Time, bucket int64, memory float64) {
	for steps := min(bucket-o.newest, askedBuckets); steps > 0; steps-- {
		o.asked[(bucket-steps+1)%askedBuckets] = 0
	}
	o.newest = max(bucket, o.newest)
	elapsed := now.Sub(o.at).Seconds()
	if elapsed <= 0 {
		return
	}
	o.at = now
	if o.rate == 0 {
		return
	}
	part := 1.0
	if demand := o.demand(); demand > o.rate {
		part = o.rate / demand
	}
	o.granted += part * elapsed
	o.level += (o.rate - part*o.othersAsked) * elapsed
	o.unused = o.unused*math.Exp(-elapsed/memory) + max(o.level-o.capacity, 0)
	o.level = min(o.level, o.capacity)
}

// totalDemand returns the demand of all instances, in tokens per second.
func (o *account) demand() float64 { return o.told + o.othersAsked }

// ownDemand returns this instance's average demand, in tokens per second.
func (o *account) askedRate() float64 {
	var sum float64
	for _, asked := range o.asked {
		sum += asked
	}
	return sum / (askedBuckets * askedPeriod.Seconds())
}

// consume takes tokens from the bucket. A negative cost returns them.
func (o *account) spend(cost float64) {
	o.spent += cost
	o.untold = max(o.untold+cost, 0)
	o.level = min(o.level-cost, o.capacity)
}

// setPeerDemand adds the peer's estimated consumption up to now and then assumes
// a new demand for it.
func (o *account) assume(p *peerUse, asked float64) {
	p.assumed += p.asked * (o.granted - p.since)
	p.since = o.granted
	o.othersAsked += asked - p.asked
	p.asked = asked
}

// estimateSilentPeer assumes that the demand of a silent peer, and its
// consumption since this instance's last report, are at least this instance's
// own.
func (o *account) mirror(p *peerUse) {
	before := p.assumed
	o.assume(p, max(p.asked, o.told))
	if missing := o.untold - (p.assumed - before); missing > 0 {
		p.assumed += missing
		o.level -= missing
	}
}

// applyPeerUsage replaces the estimate of a peer's consumption by its report. If
// the report is the first one of the peer's incarnation, all consumption in it is
// subtracted if countsInitial is set.
func (o *account) setPeer(instance string, use Usage, counts, isSameLife bool) {
	p := o.peers[instance]
	if p == nil {
		p = &peerUse{since: o.granted}
		o.peers[instance] = p
	}
	if counts && !isSameLife {
		// The previous incarnation's consumption after its last heartbeat is
		// never reported, so it is estimated.
		o.mirror(p)
	}
	o.assume(p, use.Demand)
	switch {
	case isSameLife:
		o.level += p.assumed - (use.Consumed - p.spent)
	case counts:
		o.level -= use.Consumed
	}
	o.level = min(o.level, o.capacity)
	p.spent, p.assumed = use.Consumed, 0
}

func (o *account) dropPeer(instance string) {
	if p := o.peers[instance]; p != nil {
		o.othersAsked = max(o.othersAsked-p.asked, 0)
		delete(o.peers, instance)
	}
}
