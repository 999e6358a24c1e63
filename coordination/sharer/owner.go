package sharer

import (
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/limiter"
)

// connectionDrainTime is how long an upstream may take to detect that the
// connections of a departed instance are closed.
const connectionDrainTime = 2 * time.Second

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	Self crocushollow.MemberID
	// FencingPeriod is how long a departed instance may still use its quotas,
	// counted from when its departure is read from the log.
	FencingPeriod time.Duration
	// StaticPartitions is the number of equal partitions that each limit is
	// divided into. With 0, limits are divided by demand.
	StaticPartitions int64
	// Health reports how many concurrent requests each upstream accepts now.
	Health UpstreamHealth
}

// Owner keeps the ledgers of the shards that this instance owns. It is used
// only by the control goroutine.
type Owner struct {
	config  OwnerConfig
	state   *applier.State
	ledgers map[crocushollow.Shard]*ledger
	// lastDeparture is when the latest unclean departure was read from the log.
	lastDeparture time.Time
	// released holds the terms that were released locally, before the release
	// is applied from the log.
	released map[crocushollow.Shard]uint64
}

// ledger holds the quota accounts of one shard in one term.
type ledger struct {
	term uint64
	// initialTable is the table at the start of the term. No member holds units
	// of limits whose rows were created later, unless this ledger granted them.
	initialTable *crocushollow.Table
	// isFirstTerm is true if the shard had no owner before, so that no member
	// can hold units from an earlier term.
	isFirstTerm bool
	// unregistered holds the members that may hold units unknown to the ledger.
	unregistered map[crocushollow.MemberID]struct{}
	// fencedUntil is the time after which no departed member can use units
	// unknown to the ledger.
	fencedUntil time.Time
	// recovered is true once the units that no member holds have been
	// reclaimed.
	recovered   bool
	recoveredAt time.Time
	sessions    map[crocushollow.MemberID]*memberSession
	pools       map[limiter.ResourceKey]*limiter.Pool
	// withheld holds units that must not be granted yet.
	withheld []withheldUnits
}

// memberSession is the last exchange with a member and its reply.
type memberSession struct {
	sequence uint64
	reply    ShardReply
}

// withheldUnits are units of a limit that a departed member may still use until
// a given time.
type withheldUnits struct {
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

// Update applies a new state. It opens ledgers for newly owned shards, drops
// those of shards no longer owned and fences the units of departed members.
func (o *Owner) Update(state *applier.State, now time.Time) {
	o.handleDepartures(state, now)
	o.state = state
	for shard := range crocushollow.Shard(crocushollow.ShardCount) {
		ownership := state.Ownership(shard)
		if !state.IsOwner(o.config.Self, shard) || o.released[shard] == ownership.Term {
			delete(o.ledgers, shard)
			continue
		}
		if l := o.ledgers[shard]; l == nil || l.term != ownership.Term {
			o.ledgers[shard] = o.openLedger(ownership, now)
		}
	}
	o.Tick(now)
}

// ReleaseShard drops the ledger of a shard before the shard's release is
// published. After that the owner grants nothing more in the term.
func (o *Owner) ReleaseShard(shard crocushollow.Shard) {
	o.released[shard] = o.state.Ownership(shard).Term
	delete(o.ledgers, shard)
}

func (o *Owner) openLedger(ownership crocushollow.ShardOwnership, now time.Time) *ledger {
	l := &ledger{
		term:         ownership.Term,
		initialTable: o.state.Table(),
		isFirstTerm:  ownership.PreviousTerm == 0,
		unregistered: make(map[crocushollow.MemberID]struct{}),
		sessions:     make(map[crocushollow.MemberID]*memberSession),
		pools:        make(map[limiter.ResourceKey]*limiter.Pool),
	}
	if l.isFirstTerm {
		l.recovered, l.recoveredAt = true, now
		return l
	}
	for _, member := range o.state.Members() {
		l.unregistered[member.MemberID()] = struct{}{}
	}
	l.fencedUntil = o.lastDeparture.Add(o.config.FencingPeriod)
	return l
}

// handleDepartures closes the accounts of members that have departed since the
// last state. A clean departure frees their units without a fencing period.
func (o *Owner) handleDepartures(state *applier.State, now time.Time) {
	if state.MembershipVersion() == o.state.MembershipVersion() {
		return
	}
	for _, member := range o.state.Members() {
		id := member.MemberID()
		switch {
		case state.IsJoined(id):
		case state.DepartedCleanly(id):
			o.closeAccounts(id, now)
		default:
			o.lastDeparture = now
			o.closeAccounts(id, now.Add(o.config.FencingPeriod))
		}
	}
}

// closeAccounts closes the accounts of a departed member that may use its units
// until the given time.
func (o *Owner) closeAccounts(id crocushollow.MemberID, until time.Time) {
	for _, l := range o.ledgers {
		delete(l.sessions, id)
		if _, unknown := l.unregistered[id]; unknown {
			delete(l.unregistered, id)
			l.fencedUntil = laterOf(l.fencedUntil, until)
		}
		for key, pool := range l.pools {
			if units := pool.RemoveMember(id); units > 0 {
				l.withheld = append(l.withheld, withheldUnits{key: key, units: units, until: until.Add(drainTime(key))})
			}
		}
	}
}

// drainTime returns how long a use of the limit may outlast the member that
// started it.
func drainTime(key limiter.ResourceKey) time.Duration {
	if key.Kind == limiter.TokenRate || key.Kind == limiter.WeightStoreRate {
		return 0
	}
	return connectionDrainTime
}

// Tick frees the units of departed members whose fencing period is over and
// applies changed rows.
func (o *Owner) Tick(now time.Time) {
	for _, l := range o.ledgers {
		l.recover(now)
		o.releaseWithheld(l, now)
		for key, pool := range l.pools {
			o.updatePool(l, key, pool, now)
		}
	}
}

// updatePool applies the current row of a limit to its pool, and drops the pool
// if the row is gone.
func (o *Owner) updatePool(l *ledger, key limiter.ResourceKey, pool *limiter.Pool, now time.Time) {
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
	resource.EvenShares = o.config.StaticPartitions
	return resource, found
}

// recover reclaims the units that no member holds, once all members have
// registered and the fencing period of departed ones is over.
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

// withhold withholds the units that no member holds, since requests of departed
// members may still use them. releaseWithheld makes them available again.
func (l *ledger) withhold(key limiter.ResourceKey, pool *limiter.Pool, now time.Time) {
	if l.isFirstTerm || drainTime(key) == 0 {
		return
	}
	if units := pool.WithholdFree(now); units > 0 {
		l.withheld = append(l.withheld, withheldUnits{key: key, units: units, until: l.fencedUntil.Add(drainTime(key))})
	}
}

// releaseWithheld makes withheld units available again once their time has passed
// and the upstream's own report shows that they are not in use.
func (o *Owner) releaseWithheld(l *ledger, now time.Time) {
	remaining := l.withheld[:0]
	for _, withheld := range l.withheld {
		pool, found := l.pools[withheld.key]
		switch {
		case !found:
		case now.Before(withheld.until) || o.isStillUsed(pool, withheld):
			remaining = append(remaining, withheld)
		default:
			pool.ReleaseWithheld(withheld.units, now)
		}
	}
	l.withheld = remaining
}

// isStillUsed reports whether the in-flight count that an upstream reports
// shows that withheld units may still be in use. The requests of a paused
// instance keep running at the upstream, however long the pause, so a timeout
// alone does not suffice.
func (o *Owner) isStillUsed(pool *limiter.Pool, withheld withheldUnits) bool {
	if withheld.key.Kind != limiter.UpstreamInFlight {
		return false
	}
	return o.config.Health.Status(withheld.key.ID).InFlight > max(pool.Resource().Total-withheld.units, 0)
}

// HandleExchange processes an exchange and returns the reply.
func (o *Owner) HandleExchange(exchange Exchange, now time.Time) ExchangeReply {
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
	for _, report := range exchange.Reports {
		if grant, decided := o.decide(l, from, report, now); decided {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	l.sessions[from] = &memberSession{sequence: exchange.Sequence, reply: reply}
	return reply
}

// register records the units that a member holds.
func (o *Owner) register(l *ledger, from crocushollow.MemberID, exchange ShardExchange, now time.Time) {
	for _, report := range exchange.Reports {
		if pool := o.pool(l, report.Key, now); pool != nil {
			pool.Register(from, report.HeldUnits, now)
		}
	}
	delete(l.unregistered, from)
	l.recover(now)
}

// decide processes a member's report about one limit. The second result is
// false if the limit does not exist.
func (o *Owner) decide(l *ledger, from crocushollow.MemberID, report QuotaReport, now time.Time) (QuotaGrant, bool) {
	pool := o.pool(l, report.Key, now)
	if pool == nil {
		return QuotaGrant{}, false
	}
	if report.ColdStartSuspected {
		o.config.Health.SuspectColdStart(report.Key.ID)
		o.updatePool(l, report.Key, pool, now)
	}
	if !report.Returned.IsZero() {
		pool.AcceptReturn(from, report.Returned, now)
	}
	granted, maxUnits := pool.Allocate(from, report.Request, now)
	if !l.recovered {
		maxUnits = pool.HeldBy(from)
	}
	grant := QuotaGrant{Key: report.Key, Granted: granted, MaxUnits: maxUnits}
	if report.Key.Kind == limiter.UpstreamInFlight {
		status := o.config.Health.Status(report.Key.ID)
		grant.Status = &status
	}
	return grant, true
}

// pool returns the ledger's pool for a limit and creates it if needed. It
// returns nil if the table has no such limit.
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
	_, existed := limiter.ResourceOf(l.initialTable, resource.Key, o.config.Health)
	if l.isFirstTerm || !existed {
		return limiter.NewPool(resource, resource.RateLimit.Burst, now)
	}
	if !l.recovered {
		return limiter.NewRecoveringPool(resource, now)
	}
	// No member has held units of the limit since the ledger recovered, so the
	// bucket has refilled since then.
	refilled := resource.RateLimit.PerSecond * now.Sub(l.recoveredAt).Seconds()
	pool := limiter.NewPool(resource, min(refilled, resource.RateLimit.Burst), now)
	l.withhold(resource.Key, pool, now)
	return pool
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
