package allotter

import (
	"math"
	"time"
)

// Demand is averaged over the newest parts of time.
const (
	askedBuckets = 10
	askedPeriod  = 200 * time.Millisecond
)

// account is what the instance knows of one workspace's limit.
type account struct {
	// rate is what the bucket gains per second, 0 until the limit is known, and
	// capacity what it holds.
	rate, capacity float64
	// level is the estimate at the time at. It is at most capacity.
	level float64
	at    time.Time
	// unused is what the bucket could not take of late because it was full. A
	// window has room for it.
	unused float64
	// spent is the own use since the start, and untold the part of it that the
	// others do not know yet. burned is what lost draws have cost since then.
	spent, untold, burned float64
	asked                 [askedBuckets]float64
	// newest is the number of the newest bucket of asked since the start.
	newest int64
	// told is the own demand that the others were told last. Shares are computed
	// from it, so that they add up at all instances while demand grows.
	told float64
	// othersAsked is the sum of what the peers asked.
	othersAsked float64
	// granted is the integral over time, in seconds, of the part of the demand
	// that the limit lets instances use.
	granted float64
	peers   map[string]*peerUse
	// isAdopted tells that the level was taken over from an older instance.
	isAdopted bool
}

// peerUse is what another instance has told about one workspace.
type peerUse struct {
	spent, asked float64
	// assumed is what it was taken to use after it told, and since the value of
	// the account's granted up to which that is counted.
	assumed, since float64
}

// advance brings the account up to date. Peers are taken to go on as they told.
// What the full bucket loses is forgotten within memory, in seconds.
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

// demand returns what all instances ask, in units per second.
func (o *account) demand() float64 { return o.told + o.othersAsked }

// askedRate returns the own demand in units per second.
func (o *account) askedRate() float64 {
	var sum float64
	for _, asked := range o.asked {
		sum += asked
	}
	return sum / (askedBuckets * askedPeriod.Seconds())
}

func (o *account) spend(cost float64) {
	o.spent += cost
	o.untold = max(o.untold+cost, 0)
	o.level = min(o.level-cost, o.capacity)
}

// assume counts what a peer was taken to use until now, and lets it go on with
// another demand.
func (o *account) assume(p *peerUse, asked float64) {
	p.assumed += p.asked * (o.granted - p.since)
	p.since = o.granted
	o.othersAsked += asked - p.asked
	p.asked = asked
}

// mirror takes a silent peer to have asked and used no less than the instance
// itself since it told the others last.
func (o *account) mirror(p *peerUse) {
	before := p.assumed
	o.assume(p, max(p.asked, o.told))
	if missing := o.untold - (p.assumed - before); missing > 0 {
		p.assumed += missing
		o.level -= missing
	}
}

// setPeer replaces what a peer was taken to use by what it tells. Of the first
// bulletin of a life, the use counts unless the peer is older than the instance.
func (o *account) setPeer(instance string, use Use, counts, isSameLife bool) {
	p := o.peers[instance]
	if p == nil {
		p = &peerUse{since: o.granted}
		o.peers[instance] = p
	}
	if counts && !isSameLife {
		// What its life before used after its last bulletin is not told any more.
		o.mirror(p)
	}
	o.assume(p, use.Asked)
	switch {
	case isSameLife:
		o.level += p.assumed - (use.Spent - p.spent)
	case counts:
		o.level -= use.Spent
	}
	o.level = min(o.level, o.capacity)
	p.spent, p.assumed = use.Spent, 0
}

func (o *account) dropPeer(instance string) {
	if p := o.peers[instance]; p != nil {
		o.othersAsked = max(o.othersAsked-p.asked, 0)
		delete(o.peers, instance)
	}
}
