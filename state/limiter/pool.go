package limiter

import (
	"time"

	"github.com/crocushollow/crocushollow"
)

// Tuning of how a pool divides a limit.
const (
	// headroom is how much more than its demand an instance may hold.
	headroom = 1.25
	// demandMemory is how long a demand keeps its weight after it has ended.
	demandMemory = 2 * time.Second
)

// Resource describes a limit that is divided among instances.
type Resource struct {
	// Key is unique among all resources.
	Key ResourceKey
	// Total is the number of units over all instances together.
	Total int64
	// Rate is set for a token bucket and zero for a semaphore.
	Rate Rate
	// EvenParts divides the limit into this many equal parts that follow no
	// demand, as a baseline. It is 0 for a division by demand.
	EvenParts int64
}

// isBucket tells token buckets from semaphores.
func (r Resource) isBucket() bool { return r.Rate.PerSecond > 0 }

// account is what the owner of a pool knows of one instance's part.
type account struct {
	// units is an upper bound of what the instance holds.
	units int64
	// wanted is the number of units that the instance's demand calls for.
	wanted   int64
	wantedAt time.Time
}

// Pool is the owner's ledger of one limit. It is not safe for concurrent use.
type Pool struct {
	resource Resource
	accounts map[crocushollow.MemberID]account
	// store holds the units that no instance holds, as far as they may be
	// granted. Units that a departed instance could still use are in neither.
	store *Bucket
	// lost is the number of units of departed instances that cannot be
	// granted yet.
	lost int64
	// recovering is true while instances may hold units that accounts do not
	// show. Nothing is free then.
	recovering bool
}

// NewPool returns a ledger with no unit granted. The level of a token bucket
// starts at the given number of tokens.
func NewPool(resource Resource, level float64, now time.Time) *Pool {
	pool := &Pool{
		resource: resource,
		accounts: make(map[crocushollow.MemberID]account),
		store:    NewBucket(resource.Rate, now),
	}
	pool.store.Receive(Grant{Units: resource.Total, Level: level}, now)
	return pool
}

// NewRecoveringPool returns a ledger for a limit whose parts are unknown. It
// grants nothing until Reclaim is called.
func NewRecoveringPool(resource Resource, now time.Time) *Pool {
	pool := NewPool(resource, 0, now)
	pool.store.Drop(now)
	pool.recovering = true
	return pool
}

// Resource returns the limit as last set.
func (p *Pool) Resource() Resource { return p.resource }

// Free returns the number of units that can be granted.
func (p *Pool) Free() int64 { return p.store.Units() }

// Held returns the upper bound of the units that an instance holds.
func (p *Pool) Held(life crocushollow.MemberID) int64 { return p.accounts[life].units }

// heldByAll returns the sum of all accounts.
func (p *Pool) heldByAll() int64 {
	var sum int64
	for _, a := range p.accounts {
		sum += a.units
	}
	return sum
}

// grantable returns the units that are neither held nor lost.
func (p *Pool) grantable() int64 {
	if p.recovering {
		return 0
	}
	return max(p.resource.Total-p.heldByAll()-p.lost, 0)
}

// SetResource changes the limit. A lower total is first taken from the free
// units and then called back from the instances.
func (p *Pool) SetResource(resource Resource, now time.Time) {
	p.resource = resource
	p.store.SetRate(resource.Rate, now)
	p.rebalance(now)
}

// rebalance makes the free units match the total, the accounts and the losses.
func (p *Pool) rebalance(now time.Time) {
	free := p.grantable()
	if current := p.store.Units(); current > free {
		p.store.Give(current-free, now)
	} else if current < free {
		p.store.Receive(Grant{Units: free - current}, now)
	}
}

// Register records what an instance says it holds when the ledger is new.
func (p *Pool) Register(life crocushollow.MemberID, units int64, now time.Time) {
	known := p.accounts[life]
	known.units = units
	p.accounts[life] = known
	p.rebalance(now)
}

// Reclaim frees all units that no account shows. It may be called only when
// no instance holds a unit that the ledger does not know of.
func (p *Pool) Reclaim(now time.Time) {
	p.recovering = false
	p.rebalance(now)
}

// Lose closes the account of a departed instance and returns the number of
// units that have to stay unused until the instance certainly uses them no
// more. ReturnLost ends that.
func (p *Pool) Lose(life crocushollow.MemberID) int64 {
	units := p.accounts[life].units
	delete(p.accounts, life)
	p.lost += units
	return units
}

// Withhold makes all free units lost and returns their number.
func (p *Pool) Withhold(now time.Time) int64 {
	units := p.store.Give(p.store.Units(), now).Units
	p.lost += units
	return units
}

// ReturnLost makes lost units free again.
func (p *Pool) ReturnLost(units int64, now time.Time) {
	p.lost = max(p.lost-units, 0)
	p.rebalance(now)
}

// Accept takes back units that an instance has debited from its part.
func (p *Pool) Accept(life crocushollow.MemberID, grant Grant, now time.Time) {
	a := p.accounts[life]
	returned := min(grant.Units, a.units)
	a.units -= returned
	p.setAccount(life, a)
	credited := min(returned, max(p.grantable()-p.store.Units(), 0))
	p.store.Receive(Grant{Units: credited, Level: grant.Level}, now)
}

// setAccount stores an account, or removes it if it says nothing.
func (p *Pool) setAccount(life crocushollow.MemberID, a account) {
	if a.units == 0 && a.wanted == 0 {
		delete(p.accounts, life)
		return
	}
	p.accounts[life] = a
}

// Request is what an instance needs of a limit.
type Request struct {
	// Demand is in tokens per second, or in uses at once for a semaphore.
	Demand float64 `cbor:"1,keyasint,omitempty" json:"demand,omitempty"`
	// Largest is the largest single request in tokens.
	Largest float64 `cbor:"2,keyasint,omitempty" json:"largest,omitempty"`
	// Shortfall is what is missing right now, in tokens or uses.
	Shortfall float64 `cbor:"3,keyasint,omitempty" json:"shortfall,omitempty"`
}

// Decide grants free units to an instance and returns how many it should keep
// at the most.
func (p *Pool) Decide(life crocushollow.MemberID, request Request, now time.Time) (Grant, int64) {
	a := p.accounts[life]
	p.noteDemand(&a, request, now)
	p.accounts[life] = a
	keep := p.fairPart(a, now)
	grant := p.grantUpTo(max(keep-a.units, p.unitsFor(request.Shortfall, now)), now)
	a.units += grant.Units
	p.setAccount(life, a)
	return grant, max(keep, grant.Units)
}

// noteDemand records the demand of an instance. A falling demand is forgotten
// slowly, so that a short pause does not move units.
func (p *Pool) noteDemand(a *account, request Request, now time.Time) {
	wanted := p.unitsWanted(request)
	if wanted >= a.wanted || now.Sub(a.wantedAt) > demandMemory {
		a.wanted, a.wantedAt = wanted, now
	}
}

// unitsWanted returns the units that a demand calls for.
func (p *Pool) unitsWanted(request Request) int64 {
	if request.Demand == 0 && request.Shortfall == 0 {
		return 0
	}
	if !p.resource.isBucket() {
		return int64(request.Demand*headroom) + 1
	}
	share := max(request.Demand*headroom/p.resource.Rate.PerSecond, request.Largest/p.resource.Rate.Burst)
	return int64(min(share, 1) * float64(p.resource.Total))
}

// fairPart returns the units that an instance should keep: what it wants,
// scaled down when all instances together want more than there is.
func (p *Pool) fairPart(a account, now time.Time) int64 {
	if p.resource.EvenParts > 0 {
		return p.resource.Total / p.resource.EvenParts
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

// unitsFor returns the free units that cover a shortfall.
func (p *Pool) unitsFor(shortfall float64, now time.Time) int64 {
	if shortfall <= 0 || p.resource.EvenParts > 0 {
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
	byBurst := shortfall / p.resource.Rate.Burst * float64(p.resource.Total)
	return int64(min(max(byLevel, byBurst), float64(free))) + 1
}

func (p *Pool) grantUpTo(units int64, now time.Time) Grant {
	if units <= 0 {
		return Grant{}
	}
	return p.store.Give(units, now)
}
