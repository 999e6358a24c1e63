package sharer

import (
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/limiter"
)

// connectionDrain is how long an upstream may take to notice that a departed
// instance's connections are gone.
const connectionDrain = 2 * time.Second

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	// Self is the owner's life.
	Self crocushollow.MemberID
	// Fence is how long a departed instance may still use what it held,
	// counted from when its departure is read from the log.
	Fence time.Duration
	// EvenParts is set to divide limits evenly and not by demand.
	EvenParts int64
	// Health tells how many requests each upstream bears now.
	Health Health
}

// Owner keeps the ledgers of the shards that the instance holds. It belongs to
// the control goroutine.
type Owner struct {
	config  OwnerConfig
	state   *applier.State
	ledgers map[crocushollow.Shard]*ledger
	// lastDeparture is when a departure was last read.
	lastDeparture time.Time
	// released holds the terms given up before their end is in the log.
	released map[crocushollow.Shard]uint64
}

// ledger is the accounts of one shard in one term.
type ledger struct {
	term uint64
	// inherited is the table at the start of the term. Limits of rows created
	// later have no units outside the ledger.
	inherited *crocushollow.Table
	first     bool
	// unregistered holds the members that may hold units unknown to the
	// ledger.
	unregistered map[crocushollow.MemberID]struct{}
	// fencedUntil is when the last departed member has certainly stopped using
	// units unknown to the ledger.
	fencedUntil time.Time
	recovered   bool
	recoveredAt time.Time
	sessions    map[crocushollow.MemberID]*answered
	pools       map[limiter.ResourceKey]*limiter.Pool
	lost        []lostUnits
}

// answered is the last exchange of an instance with its answer.
type answered struct {
	sequence uint64
	reply    ShardReply
}

// lostUnits become free again at a time.
type lostUnits struct {
	key   limiter.ResourceKey
	units int64
	until time.Time
}

// NewOwner returns an owner without ledgers.
func NewOwner(config OwnerConfig) *Owner {
	return &Owner{
		config:   config,
		state:    applier.New(),
		ledgers:  make(map[crocushollow.Shard]*ledger),
		released: make(map[crocushollow.Shard]uint64),
	}
}

// Update takes a new state. It opens ledgers for shards newly held, drops
// those of shards lost and fences the units of departed members.
func (o *Owner) Update(state *applier.State, now time.Time) {
	o.noteDepartures(state, now)
	o.state = state
	for shard := range crocushollow.Shard(crocushollow.ShardCount) {
		holding := state.Holding(shard)
		if !state.IsHolder(o.config.Self, shard) || o.released[shard] == holding.Term {
			delete(o.ledgers, shard)
			continue
		}
		if l := o.ledgers[shard]; l == nil || l.term != holding.Term {
			o.ledgers[shard] = o.openLedger(holding, now)
		}
	}
	o.Tick(now)
}

// Release drops the ledger of a shard before its release is published. The
// owner grants nothing in the term any more.
func (o *Owner) Release(shard crocushollow.Shard) {
	o.released[shard] = o.state.Holding(shard).Term
	delete(o.ledgers, shard)
}

func (o *Owner) openLedger(holding crocushollow.ShardOwnership, now time.Time) *ledger {
	l := &ledger{
		term:         holding.Term,
		inherited:    o.state.Table(),
		first:        holding.PreviousTerm == 0,
		unregistered: make(map[crocushollow.MemberID]struct{}),
		sessions:     make(map[crocushollow.MemberID]*answered),
		pools:        make(map[limiter.ResourceKey]*limiter.Pool),
	}
	if l.first {
		l.recovered, l.recoveredAt = true, now
		return l
	}
	for _, member := range o.state.Members() {
		l.unregistered[member.MemberID()] = struct{}{}
	}
	l.fencedUntil = o.lastDeparture.Add(o.config.Fence)
	return l
}

func (o *Owner) noteDepartures(state *applier.State, now time.Time) {
	if state.MembersChanged() == o.state.MembersChanged() {
		return
	}
	for _, member := range o.state.Members() {
		life := member.MemberID()
		switch {
		case state.IsJoined(life):
		case state.DepartedCleanly(life):
			o.depart(life, now)
		default:
			o.lastDeparture = now
			o.depart(life, now.Add(o.config.Fence))
		}
	}
}

// depart closes the accounts of a member whose units may be in use until a
// time.
func (o *Owner) depart(life crocushollow.MemberID, until time.Time) {
	for _, l := range o.ledgers {
		delete(l.sessions, life)
		if _, unknown := l.unregistered[life]; unknown {
			delete(l.unregistered, life)
			l.fencedUntil = latest(l.fencedUntil, until)
		}
		for key, pool := range l.pools {
			if units := pool.RemoveMember(life); units > 0 {
				l.lost = append(l.lost, lostUnits{key: key, units: units, until: until.Add(drainOf(key))})
			}
		}
	}
}

// drainOf returns how much longer than its holder a use may last.
func drainOf(key limiter.ResourceKey) time.Duration {
	if key.Kind == limiter.TokenRate || key.Kind == limiter.WeightStoreRate {
		return 0
	}
	return connectionDrain
}

// Tick frees the units of departed members when their time has come and
// follows changes of the rows.
func (o *Owner) Tick(now time.Time) {
	for _, l := range o.ledgers {
		l.recover(now)
		o.freeLost(l, now)
		for key, pool := range l.pools {
			o.follow(l, key, pool, now)
		}
	}
}

// follow applies the current rows to a pool and drops it with its row.
func (o *Owner) follow(l *ledger, key limiter.ResourceKey, pool *limiter.Pool, now time.Time) {
	resource, found := o.resource(key)
	if !found {
		delete(l.pools, key)
		return
	}
	if resource != pool.Resource() {
		pool.SetResource(resource, now)
	}
}

func (o *Owner) resource(key limiter.ResourceKey) (limiter.Resource, bool) {
	resource, found := limiter.ResourceOf(o.state.Table(), key, o.config.Health)
	resource.EvenShares = o.config.EvenParts
	return resource, found
}

// recover frees the units that no member holds, once all have registered.
func (l *ledger) recover(now time.Time) {
	if l.recovered || len(l.unregistered) > 0 || now.Before(l.fencedUntil) {
		return
	}
	l.recovered, l.recoveredAt = true, now
	for key, pool := range l.pools {
		pool.FinishRecovery(now)
		l.withhold(key, pool, now)
	}
}

// withhold keeps the units that no member holds from being granted until the
// upstream's report shows that no departed member uses them.
func (l *ledger) withhold(key limiter.ResourceKey, pool *limiter.Pool, now time.Time) {
	if l.first || drainOf(key) == 0 {
		return
	}
	if units := pool.WithholdFree(now); units > 0 {
		l.lost = append(l.lost, lostUnits{key: key, units: units, until: l.fencedUntil.Add(drainOf(key))})
	}
}

func (o *Owner) freeLost(l *ledger, now time.Time) {
	kept := l.lost[:0]
	for _, lost := range l.lost {
		pool, found := l.pools[lost.key]
		switch {
		case !found:
		case now.Before(lost.until) || o.isStillUsed(pool, lost):
			kept = append(kept, lost)
		default:
			pool.ReleaseWithheld(lost.units, now)
		}
	}
	l.lost = kept
}

// isStillUsed reports whether an upstream's own report leaves no room for lost
// units. The requests of a paused instance go on at the upstream, however long
// the pause.
func (o *Owner) isStillUsed(pool *limiter.Pool, lost lostUnits) bool {
	if lost.key.Kind != limiter.UpstreamInFlight {
		return false
	}
	return o.config.Health.Status(lost.key.ID).InFlight > max(pool.Resource().Total-lost.units, 0)
}

// Handle answers an exchange.
func (o *Owner) Handle(exchange Exchange, now time.Time) ExchangeReply {
	var reply ExchangeReply
	for _, shard := range exchange.Shards {
		reply.Shards = append(reply.Shards, o.handleShard(exchange.From, shard, now))
	}
	return reply
}

func (o *Owner) handleShard(from crocushollow.MemberID, exchange ShardExchange, now time.Time) ShardReply {
	reply := ShardReply{Shard: exchange.Shard, Term: exchange.Term, Sequence: exchange.Sequence}
	l := o.ledgers[exchange.Shard]
	if l == nil || l.term != exchange.Term || !o.state.IsJoined(from) {
		reply.Refused = true
		return reply
	}
	s := l.sessions[from]
	if s != nil && s.sequence == exchange.Sequence {
		return s.reply
	}
	if s != nil && s.sequence > exchange.Sequence || s == nil && !exchange.Register {
		reply.Refused = true
		return reply
	}
	if exchange.Register {
		o.register(l, from, exchange, now)
	}
	for _, part := range exchange.Parts {
		if grant, decided := o.decide(l, from, part, now); decided {
			reply.Parts = append(reply.Parts, grant)
		}
	}
	l.sessions[from] = &answered{sequence: exchange.Sequence, reply: reply}
	return reply
}

func (o *Owner) register(l *ledger, from crocushollow.MemberID, exchange ShardExchange, now time.Time) {
	for _, part := range exchange.Parts {
		if pool := o.pool(l, part.Key, now); pool != nil {
			pool.Register(from, part.Held, now)
		}
	}
	delete(l.unregistered, from)
	l.recover(now)
}

func (o *Owner) decide(l *ledger, from crocushollow.MemberID, part PartReport, now time.Time) (PartGrant, bool) {
	pool := o.pool(l, part.Key, now)
	if pool == nil {
		return PartGrant{}, false
	}
	if part.Suspected {
		o.config.Health.SuspectColdStart(part.Key.ID)
		o.follow(l, part.Key, pool, now)
	}
	if !part.Returned.IsZero() {
		pool.AcceptReturn(from, part.Returned, now)
	}
	granted, keep := pool.Allocate(from, part.Request, now)
	if !l.recovered {
		keep = pool.HeldBy(from)
	}
	grant := PartGrant{Key: part.Key, Granted: granted, Keep: keep}
	if part.Key.Kind == limiter.UpstreamInFlight {
		status := o.config.Health.Status(part.Key.ID)
		grant.Status = &status
	}
	return grant, true
}

// pool returns the ledger's pool for a limit and opens it when needed. It
// returns nil if the rows know no such limit.
func (o *Owner) pool(l *ledger, key limiter.ResourceKey, now time.Time) *limiter.Pool {
	if pool, found := l.pools[key]; found {
		return pool
	}
	resource, found := o.resource(key)
	if !found || key.Shard() >= crocushollow.ShardCount {
		return nil
	}
	pool := o.openPool(l, resource, now)
	l.pools[key] = pool
	return pool
}

func (o *Owner) openPool(l *ledger, resource limiter.Resource, now time.Time) *limiter.Pool {
	_, existed := limiter.ResourceOf(l.inherited, resource.Key, o.config.Health)
	if l.first || !existed {
		return limiter.NewPool(resource, resource.RateLimit.Burst, now)
	}
	if !l.recovered {
		return limiter.NewRecoveringPool(resource, now)
	}
	// Nobody has used the limit since the term began.
	refilled := resource.RateLimit.PerSecond * now.Sub(l.recoveredAt).Seconds()
	pool := limiter.NewPool(resource, min(refilled, resource.RateLimit.Burst), now)
	l.withhold(resource.Key, pool, now)
	return pool
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
