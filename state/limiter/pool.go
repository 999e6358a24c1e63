package limiter

import (
	"time"

	"github.com/crocushollow/crocushollow"
)

const (
	// demandHeadroom is the ratio of the units an instance may hold to the units
	// that its demand requires.
	demandHeadroom = 1.25
	// demandRetention is how long a demand still counts after it has fallen.
	demandRetention = 2 * time.Second
)

// Resource describes a limit that is divided among instances.
type Resource struct {
	// Key is unique among all resources.
	Key ResourceKey
	// Total is the number of units over all instances together.
	Total int64
	// RateLimit is set for a token bucket and zero for a semaphore.
	RateLimit RateLimit
	// EvenShares is the number of equal shares into which the limit is divided
	// regardless of demand, as a baseline for comparison. If it is 0, the limit is
	// divided by demand.
	EvenShares int64
}

// isBucket reports whether the resource is a token bucket rather than a
// semaphore.
func (r Resource) isBucket() bool { return r.RateLimit.PerSecond > 0 }

// account records the share of one instance.
type account struct {
	// units is an upper bound of the units that the instance holds.
	units int64
	// wantedUnits is the number of units that cover the demand of the instance.
	wantedUnits int64
	wantedAt    time.Time
}

// Pool is the ledger of one limit, kept by its owner. It is not safe for
// concurrent use.
type Pool struct {
	resource Resource
	accounts map[crocushollow.MemberID]account
	// freeUnits holds the units that can be granted. Neither freeUnits nor
	// accounts include the units that a departed instance could still use.
	freeUnits *Bucket
	// withheld is the number of units that no account shows but that departed
	// instances could still use. They cannot be granted yet.
	withheld int64
	// recovering is true while instances may hold units that no account shows.
	// No units can be granted in this state.
	recovering bool
}

// NewPool returns a ledger in which all units are free. The level of a token
// bucket starts at the given number of tokens.
func NewPool(resource Resource, level float64, now time.Time) *Pool {
	pool := &Pool{
		resource:  resource,
		accounts:  make(map[crocushollow.MemberID]account),
		freeUnits: NewBucket(resource.RateLimit, now),
	}
	pool.freeUnits.Credit(Transfer{Units: resource.Total, Level: level}, now)
	return pool
}

// NewRecoveringPool returns a ledger for a limit whose shares are not known yet.
// It grants nothing until FinishRecovery is called.
func NewRecoveringPool(resource Resource, now time.Time) *Pool {
	pool := NewPool(resource, 0, now)
	pool.freeUnits.Drop(now)
	pool.recovering = true
	return pool
}

// Resource returns the current definition of the limit.
func (p *Pool) Resource() Resource { return p.resource }

// Free returns the number of units that can be granted.
func (p *Pool) Free() int64 { return p.freeUnits.Units() }

// HeldBy returns an upper bound of the units that an instance holds.
func (p *Pool) HeldBy(member crocushollow.MemberID) int64 { return p.accounts[member].units }

// heldByAll returns the sum of the units in all accounts.
func (p *Pool) heldByAll() int64 {
	var sum int64
	for _, a := range p.accounts {
		sum += a.units
	}
	return sum
}

// unallocated returns the number of units that are neither held nor withheld.
func (p *Pool) unallocated() int64 {
	if p.recovering {
		return 0
	}
	return max(p.resource.Total-p.heldByAll()-p.withheld, 0)
}

// SetResource changes the limit. A lower total reduces the free units first;
// instances return the rest after their next call of Allocate.
func (p *Pool) SetResource(resource Resource, now time.Time) {
	p.resource = resource
	p.freeUnits.SetRateLimit(resource.RateLimit, now)
	p.rebalance(now)
}

// rebalance sets the free units to the total less the held and the withheld
// units.
func (p *Pool) rebalance(now time.Time) {
	free := p.unallocated()
	if current := p.freeUnits.Units(); current > free {
		p.freeUnits.Debit(current-free, now)
	} else if current < free {
		p.freeUnits.Credit(Transfer{Units: free - current}, now)
	}
}

// Register records the units that an instance reports to a new ledger.
func (p *Pool) Register(member crocushollow.MemberID, units int64, now time.Time) {
	a := p.accounts[member]
	a.units = units
	p.accounts[member] = a
	p.rebalance(now)
}

// FinishRecovery ends the recovery of a ledger and frees all units that no
// account shows. It may be called only when no instance holds a unit that is
// missing from the accounts.
func (p *Pool) FinishRecovery(now time.Time) {
	p.recovering = false
	p.rebalance(now)
}

// RemoveMember removes the account of a departed instance and returns the number
// of its units. They are withheld until the caller knows that the instance has
// stopped using them and calls ReleaseWithheld.
func (p *Pool) RemoveMember(member crocushollow.MemberID) int64 {
	units := p.accounts[member].units
	delete(p.accounts, member)
	p.withheld += units
	return units
}

// WithholdFree withholds all free units until ReleaseWithheld, and returns their
// number.
func (p *Pool) WithholdFree(now time.Time) int64 {
	units := p.freeUnits.Debit(p.freeUnits.Units(), now).Units
	p.withheld += units
	return units
}

// ReleaseWithheld makes the given number of withheld units free again.
func (p *Pool) ReleaseWithheld(units int64, now time.Time) {
	p.withheld = max(p.withheld-units, 0)
	p.rebalance(now)
}

// AcceptReturn credits the units that an instance has returned from its share.
func (p *Pool) AcceptReturn(member crocushollow.MemberID, transfer Transfer, now time.Time) {
	a := p.accounts[member]
	returned := min(transfer.Units, a.units)
	a.units -= returned
	p.setAccount(member, a)
	credited := min(returned, max(p.unallocated()-p.freeUnits.Units(), 0))
	p.freeUnits.Credit(Transfer{Units: credited, Level: transfer.Level}, now)
}

// setAccount stores an account, or removes it if it is empty.
func (p *Pool) setAccount(member crocushollow.MemberID, a account) {
	if a.units == 0 && a.wantedUnits == 0 {
		delete(p.accounts, member)
		return
	}
	p.accounts[member] = a
}

// DemandReport is the demand of an instance for a share of a limit.
type DemandReport struct {
	// Demand is in tokens per second for a token bucket, and in concurrent uses
	// for a semaphore.
	Demand float64 `cbor:"1,keyasint,omitempty" json:"demand,omitempty"`
	// LargestRequest is the largest single request in tokens.
	LargestRequest float64 `cbor:"2,keyasint,omitempty" json:"largest,omitempty"`
	// Shortfall is the number of tokens or permits that waiting requests lack.
	Shortfall float64 `cbor:"3,keyasint,omitempty" json:"shortfall,omitempty"`
}

// Allocate grants free units to an instance. It also returns the number of units
// above which the instance should return its units.
func (p *Pool) Allocate(member crocushollow.MemberID, report DemandReport, now time.Time) (Transfer, int64) {
	a := p.accounts[member]
	p.recordDemand(&a, report, now)
	p.accounts[member] = a
	keep := p.fairShare(a, now)
	transfer := p.debitFree(max(keep-a.units, p.unitsForShortfall(report.Shortfall, now)), now)
	a.units += transfer.Units
	p.setAccount(member, a)
	return transfer, max(keep, transfer.Units)
}

// recordDemand records the demand of an instance. A lower demand takes effect
// only after demandRetention, so that a short pause does not move units.
func (p *Pool) recordDemand(a *account, report DemandReport, now time.Time) {
	wanted := p.unitsForDemand(report)
	if wanted >= a.wantedUnits || now.Sub(a.wantedAt) > demandRetention {
		a.wantedUnits, a.wantedAt = wanted, now
	}
}

// unitsForDemand returns the number of units that cover a demand with
// demandHeadroom.
func (p *Pool) unitsForDemand(report DemandReport) int64 {
	if report.Demand == 0 && report.Shortfall == 0 {
		return 0
	}
	if !p.resource.isBucket() {
		return int64(report.Demand*demandHeadroom) + 1
	}
	share := max(report.Demand*demandHeadroom/p.resource.RateLimit.PerSecond, report.LargestRequest/p.resource.RateLimit.Burst)
	return int64(min(share, 1) * float64(p.resource.Total))
}

// fairShare returns the number of units that an instance should keep: the units
// that cover its demand, scaled down when the demand of all instances exceeds the
// total.
func (p *Pool) fairShare(a account, now time.Time) int64 {
	if p.resource.EvenShares > 0 {
		return p.resource.Total / p.resource.EvenShares
	}
	var sum int64
	for _, other := range p.accounts {
		if now.Sub(other.wantedAt) <= 2*demandRetention {
			sum += other.wantedUnits
		}
	}
	if sum <= p.resource.Total {
		return a.wantedUnits
	}
	return int64(float64(a.wantedUnits) / float64(sum) * float64(p.resource.Total))
}

// unitsForShortfall returns the number of free units that cover a shortfall. For
// a bucket, both the level and the burst of these units must cover it.
func (p *Pool) unitsForShortfall(shortfall float64, now time.Time) int64 {
	if shortfall <= 0 || p.resource.EvenShares > 0 {
		return 0
	}
	if !p.resource.isBucket() {
		return int64(shortfall)
	}
	free, level := p.freeUnits.Units(), p.freeUnits.Level(now)
	if level <= 0 || free == 0 {
		return 0
	}
	byLevel := shortfall / level * float64(free)
	byBurst := shortfall / p.resource.RateLimit.Burst * float64(p.resource.Total)
	return int64(min(max(byLevel, byBurst), float64(free))) + 1
}

// debitFree debits at most the given number of free units.
func (p *Pool) debitFree(units int64, now time.Time) Transfer {
	if units <= 0 {
		return Transfer{}
	}
	return p.freeUnits.Debit(units, now)
}
