package limiter

import (
	"time"

	"github.com/crocushollow/crocushollow"
)

const (
	// headroom is the ratio of the units an instance may hold to its demand.
	headroom = 1.25
	// demandMemory is how long a demand still counts after it has fallen.
	demandMemory = 2 * time.Second
)

// Resource describes a limit that is divided among instances.
type Resource struct {
	// Key is unique among all resources.
	Key ResourceKey
	// Total is the number of units over all instances together.
	Total int64
	// RateLimit is set for a token bucket and zero for a semaphore.
	RateLimit RateLimit
	// EvenShares is the number of equal shares in which the limit is divided
	// regardless of demand, as a baseline for comparison. At 0 the limit is
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
	// wanted is the number of units that cover the demand of the instance.
	wanted   int64
	wantedAt time.Time
}

// Pool is the ledger of one limit, kept by its owner. It is not safe for
// concurrent use.
type Pool struct {
	resource Resource
	accounts map[crocushollow.MemberID]account
	// store holds the units that can be granted. Neither store nor accounts
	// include the units that a departed instance could still use.
	store *Bucket
	// lost is the number of units that no account shows but that departed
	// instances could still use. They cannot be granted yet.
	lost int64
	// recovering is true while instances may hold units that no account shows.
	// No units can be granted in this state.
	recovering bool
}

// NewPool returns a ledger in which all units are free. The level of a token
// bucket starts at the given number of tokens.
func NewPool(resource Resource, level float64, now time.Time) *Pool {
	pool := &Pool{
		resource: resource,
		accounts: make(map[crocushollow.MemberID]account),
		store:    NewBucket(resource.RateLimit, now),
	}
	pool.store.Credit(Transfer{Units: resource.Total, Level: level}, now)
	return pool
}

// NewRecoveringPool returns a ledger for a limit whose shares are not known yet.
// It grants nothing until FinishRecovery is called.
func NewRecoveringPool(resource Resource, now time.Time) *Pool {
	pool := NewPool(resource, 0, now)
	pool.store.Drop(now)
	pool.recovering = true
	return pool
}

// Resource returns the current definition of the limit.
func (p *Pool) Resource() Resource { return p.resource }

// Free returns the number of units that can be granted.
func (p *Pool) Free() int64 { return p.store.Units() }

// HeldBy returns an upper bound of the units that an instance holds.
func (p *Pool) HeldBy(life crocushollow.MemberID) int64 { return p.accounts[life].units }

// heldByAll returns the sum of the units in all accounts.
func (p *Pool) heldByAll() int64 {
	var sum int64
	for _, a := range p.accounts {
		sum += a.units
	}
	return sum
}

// grantable returns the number of units that are neither held nor lost.
func (p *Pool) grantable() int64 {
	if p.recovering {
		return 0
	}
	return max(p.resource.Total-p.heldByAll()-p.lost, 0)
}

// SetResource changes the limit. A lower total reduces the free units first;
// instances return the rest when their share is next decided.
func (p *Pool) SetResource(resource Resource, now time.Time) {
	p.resource = resource
	p.store.SetRateLimit(resource.RateLimit, now)
	p.rebalance(now)
}

// rebalance sets the free units to the total less the held and the lost units.
func (p *Pool) rebalance(now time.Time) {
	free := p.grantable()
	if current := p.store.Units(); current > free {
		p.store.Debit(current-free, now)
	} else if current < free {
		p.store.Credit(Transfer{Units: free - current}, now)
	}
}

// Register records the units that an instance reports to a new ledger.
func (p *Pool) Register(life crocushollow.MemberID, units int64, now time.Time) {
	known := p.accounts[life]
	known.units = units
	p.accounts[life] = known
	p.rebalance(now)
}

// FinishRecovery ends the recovery of a ledger and frees all units that no account
// shows. It may be called only when no instance holds a unit that is missing from
// the accounts.
func (p *Pool) FinishRecovery(now time.Time) {
	p.recovering = false
	p.rebalance(now)
}

// RemoveMember removes the account of a departed instance and returns the number of its
// units. They cannot be granted until the caller knows that the instance has
// stopped using them and calls ReleaseWithheld.
func (p *Pool) RemoveMember(life crocushollow.MemberID) int64 {
	units := p.accounts[life].units
	delete(p.accounts, life)
	p.lost += units
	return units
}

// WithholdFree makes all free units unavailable until ReleaseWithheld, and returns their
// number.
func (p *Pool) WithholdFree(now time.Time) int64 {
	units := p.store.Debit(p.store.Units(), now).Units
	p.lost += units
	return units
}

// ReleaseWithheld makes the given number of lost units free again.
func (p *Pool) ReleaseWithheld(units int64, now time.Time) {
	p.lost = max(p.lost-units, 0)
	p.rebalance(now)
}

// AcceptReturn credits the units that an instance has returned from its share.
func (p *Pool) AcceptReturn(life crocushollow.MemberID, grant Transfer, now time.Time) {
	a := p.accounts[life]
	returned := min(grant.Units, a.units)
	a.units -= returned
	p.setAccount(life, a)
	credited := min(returned, max(p.grantable()-p.store.Units(), 0))
	p.store.Credit(Transfer{Units: credited, Level: grant.Level}, now)
}

// setAccount stores an account, or removes it if it is empty.
func (p *Pool) setAccount(life crocushollow.MemberID, a account) {
	if a.units == 0 && a.wanted == 0 {
		delete(p.accounts, life)
		return
	}
	p.accounts[life] = a
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
func (p *Pool) Allocate(life crocushollow.MemberID, request DemandReport, now time.Time) (Transfer, int64) {
	a := p.accounts[life]
	p.noteDemand(&a, request, now)
	p.accounts[life] = a
	keep := p.fairPart(a, now)
	grant := p.grantUpTo(max(keep-a.units, p.unitsFor(request.Shortfall, now)), now)
	a.units += grant.Units
	p.setAccount(life, a)
	return grant, max(keep, grant.Units)
}

// noteDemand records the demand of an instance. A lower demand takes effect only
// after demandMemory, so that a short pause does not move units.
func (p *Pool) noteDemand(a *account, request DemandReport, now time.Time) {
	wanted := p.unitsWanted(request)
	if wanted >= a.wanted || now.Sub(a.wantedAt) > demandMemory {
		a.wanted, a.wantedAt = wanted, now
	}
}

// unitsWanted returns the number of units that cover a demand.
func (p *Pool) unitsWanted(request DemandReport) int64 {
	if request.Demand == 0 && request.Shortfall == 0 {
		return 0
	}
	if !p.resource.isBucket() {
		return int64(request.Demand*headroom) + 1
	}
	share := max(request.Demand*headroom/p.resource.RateLimit.PerSecond, request.LargestRequest/p.resource.RateLimit.Burst)
	return int64(min(share, 1) * float64(p.resource.Total))
}

// fairPart returns the number of units that an instance should keep: the units
// that cover its demand, scaled down when the demand of all instances exceeds the
// total.
func (p *Pool) fairPart(a account, now time.Time) int64 {
	if p.resource.EvenShares > 0 {
		return p.resource.Total / p.resource.EvenShares
	}
	var sum int64
	for _, other := range p.accounts {
		if now.Sub(other.wantedAt) <= 2*demandMemory {
			sum += other.wanted
		}
	}
	if sum <= p.resource.Total {
		return a.wanted
	}
	return int64(float64(a.wanted) / float64(sum) * float64(p.resource.Total))
}

// unitsFor returns the number of free units that cover a shortfall. A share of a
// bucket must cover it with both its level and its burst.
func (p *Pool) unitsFor(shortfall float64, now time.Time) int64 {
	if shortfall <= 0 || p.resource.EvenShares > 0 {
		return 0
	}
	if !p.resource.isBucket() {
		return int64(shortfall)
	}
	free, level := p.store.Units(), p.store.Level(now)
	if level <= 0 || free == 0 {
		return 0
	}
	byLevel := shortfall / level * float64(free)
	byBurst := shortfall / p.resource.RateLimit.Burst * float64(p.resource.Total)
	return int64(min(max(byLevel, byBurst), float64(free))) + 1
}

// grantUpTo debits at most the given number of free units.
func (p *Pool) grantUpTo(units int64, now time.Time) Transfer {
	if units <= 0 {
		return Transfer{}
	}
	return p.store.Debit(units, now)
}
