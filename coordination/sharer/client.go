package sharer

import (
	"math"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/limiter"
)

// resendDelay is how long to wait for the reply to an exchange before it is
// sent again with the same sequence number.
const resendDelay = 400 * time.Millisecond

// RefusalRetryDelay is the delay before a refused exchange is sent again.
const RefusalRetryDelay = 25 * time.Millisecond

// Envelope is an exchange with its recipient.
type Envelope struct {
	To       crocushollow.Member
	Exchange Exchange
}

// session is the state of the exchanges about one shard with its owner in one
// term.
type session struct {
	term       uint64
	sequence   uint64
	registered bool
	// pending is the exchange that has not been answered yet, or nil.
	pending *ShardExchange
	sentAt  time.Time
}

// demandState is the demand for one limit and what the owner knows of it.
type demandState struct {
	// shortfall is the amount that waiting requests lack right now.
	shortfall float64
	// maxUnits is the maximum number of units to hold, as last set by the
	// owner.
	maxUnits    int64
	hasMaxUnits bool
	// reported is the demand last reported to the owner, at reportedAt.
	reported   float64
	reportedAt time.Time
}

// Demand is reported again after reportInterval, or as soon as it has changed
// by more than the fraction reportThreshold of the last report.
const (
	reportInterval  = time.Second
	reportThreshold = 0.25
)

// needsReport reports whether the demand must be reported to the owner.
func (d demandState) needsReport(demand float64, now time.Time) bool {
	change := math.Abs(demand - d.reported)
	return now.Sub(d.reportedAt) >= reportInterval || change > reportThreshold*max(d.reported, 1)
}

// Client requests and returns the quotas of one instance. It is used only by
// the control goroutine; the quotas in the registry are shared with request
// handlers.
type Client struct {
	self     crocushollow.MemberID
	quotas   *limiter.Registry
	health   UpstreamHealth
	sessions map[crocushollow.Shard]*session
	demands  map[limiter.ResourceKey]demandState
}

// NewClient returns a Client for the quotas in the given registry.
func NewClient(self crocushollow.MemberID, quotas *limiter.Registry, health UpstreamHealth) *Client {
	return &Client{
		self:     self,
		quotas:   quotas,
		health:   health,
		sessions: make(map[crocushollow.Shard]*session),
		demands:  make(map[limiter.ResourceKey]demandState),
	}
}

// RecordShortfall records that a request lacks tokens or permits of a limit
// right now.
func (c *Client) RecordShortfall(key limiter.ResourceKey, shortfall float64) {
	d := c.demands[key]
	d.shortfall += shortfall
	c.demands[key] = d
}

// Poll returns the exchanges to send now: new ones for shards with something to
// report, and retries of those whose reply is overdue.
func (c *Client) Poll(state *applier.State, now time.Time) []Envelope {
	return c.poll(state, c.quotasByShard(func(limiter.ResourceKey) bool { return true }), now)
}

// PollShortfalls is Poll restricted to the limits with a shortfall.
func (c *Client) PollShortfalls(state *applier.State, now time.Time) []Envelope {
	return c.poll(state, c.quotasByShard(func(key limiter.ResourceKey) bool { return c.demands[key].shortfall > 0 }), now)
}

func (c *Client) poll(state *applier.State, byShard map[crocushollow.Shard]map[limiter.ResourceKey]limiter.Share, now time.Time) []Envelope {
	envelopes := make(map[crocushollow.MemberID]*Envelope)
	for shard := range crocushollow.Shard(crocushollow.ShardCount) {
		ownership := state.Ownership(shard)
		if state.IsVacant(shard) {
			continue
		}
		owner, _ := state.Member(ownership.Owner.Instance)
		exchange := c.pollShard(shard, ownership.Term, byShard[shard], now)
		if exchange == nil {
			continue
		}
		envelope, found := envelopes[ownership.Owner]
		if !found {
			envelope = &Envelope{To: owner, Exchange: Exchange{From: c.self}}
			envelopes[ownership.Owner] = envelope
		}
		envelope.Exchange.Shards = append(envelope.Exchange.Shards, *exchange)
	}
	return collect(envelopes)
}

func collect(envelopes map[crocushollow.MemberID]*Envelope) []Envelope {
	collected := make([]Envelope, 0, len(envelopes))
	for _, envelope := range envelopes {
		collected = append(collected, *envelope)
	}
	return collected
}

// quotasByShard returns the matching quotas, grouped by shard.
func (c *Client) quotasByShard(match func(limiter.ResourceKey) bool) map[crocushollow.Shard]map[limiter.ResourceKey]limiter.Share {
	byShard := make(map[crocushollow.Shard]map[limiter.ResourceKey]limiter.Share)
	for key, quota := range c.quotas.Shares {
		if !match(key) {
			continue
		}
		shard := key.Shard()
		if byShard[shard] == nil {
			byShard[shard] = make(map[limiter.ResourceKey]limiter.Share)
		}
		byShard[shard][key] = quota
	}
	return byShard
}

// pollShard returns the exchange to send for one shard, or nil if there is
// none.
func (c *Client) pollShard(shard crocushollow.Shard, term uint64, quotas map[limiter.ResourceKey]limiter.Share, now time.Time) *ShardExchange {
	s := c.sessions[shard]
	if s == nil || s.term != term {
		// Units in transit to or from the previous owner are lost. The new
		// owner reclaims them, as no member registers them.
		s = &session{term: term}
		c.sessions[shard] = s
	}
	if s.pending != nil {
		if now.Sub(s.sentAt) < resendDelay {
			return nil
		}
		s.sentAt = now
		return s.pending
	}
	exchange := &ShardExchange{Shard: shard, Term: term, Sequence: s.sequence + 1, Register: !s.registered}
	if exchange.Register {
		// A registration lists all quotas held, even in an urgent exchange.
		quotas = c.quotasByShard(func(key limiter.ResourceKey) bool { return key.Shard() == shard })[shard]
	}
	for key, quota := range quotas {
		if report, needed := c.report(key, quota, exchange.Register, now); needed {
			exchange.Reports = append(exchange.Reports, report)
		}
	}
	if len(exchange.Reports) == 0 && !exchange.Register {
		return nil
	}
	s.sequence++
	s.pending, s.sentAt = exchange, now
	return exchange
}

// report returns the report about one quota and whether it is worth sending. A
// registration lists the units held and returns none.
func (c *Client) report(key limiter.ResourceKey, quota limiter.Share, register bool, now time.Time) (QuotaReport, bool) {
	report := QuotaReport{Key: key}
	if register {
		report.HeldUnits = quota.Units()
		return report, report.HeldUnits > 0
	}
	d := c.demands[key]
	report.Request.Demand, report.Request.LargestRequest = quota.Demand(now)
	report.Request.Shortfall = d.shortfall
	report.ColdStartSuspected = key.Kind == limiter.UpstreamInFlight && c.health.IsColdStartSuspected(key.ID)
	d.shortfall = 0
	if excess := quota.Units() - d.maxUnits; d.hasMaxUnits && excess > 0 && report.Request.Shortfall == 0 {
		report.Returned = quota.Debit(excess, now)
	}
	urgent := report.Request.Shortfall > 0 || report.ColdStartSuspected || !report.Returned.IsZero()
	inUse := quota.Units() > 0 || report.Request.Demand > 0
	needed := urgent || inUse && d.needsReport(report.Request.Demand, now)
	if needed {
		d.reported, d.reportedAt = report.Request.Demand, now
	}
	c.demands[key] = d
	return report, needed
}

// HandleReply applies a reply and returns the keys of the limits that the owner
// has decided on. It ignores replies to anything but the pending exchange.
func (c *Client) HandleReply(reply ExchangeReply, now time.Time) []limiter.ResourceKey {
	var decided []limiter.ResourceKey
	for _, shard := range reply.Shards {
		s := c.sessions[shard.Shard]
		if s == nil || s.pending == nil || s.term != shard.Term || s.sequence != shard.Sequence {
			continue
		}
		if shard.Refused {
			// The new owner has not applied its own claim yet.
			s.sentAt = now.Add(RefusalRetryDelay - resendDelay)
			continue
		}
		s.pending = nil
		s.registered = true
		for _, grant := range shard.Grants {
			c.credit(grant, now)
			decided = append(decided, grant.Key)
		}
	}
	return decided
}

// credit adds the granted units to the local quota and applies the owner's
// decisions.
func (c *Client) credit(grant QuotaGrant, now time.Time) {
	if quota, found := c.quotas.Find(grant.Key); found {
		quota.Credit(grant.Granted, now)
	}
	if grant.Status != nil {
		c.applyStatus(grant)
	}
	d := c.demands[grant.Key]
	d.maxUnits, d.hasMaxUnits = grant.MaxUnits, true
	c.demands[grant.Key] = d
}

// applyStatus applies the upstream status reported by the owner. During a cold
// start no more permits than the owner allows may be in use, even before the
// excess ones are returned.
func (c *Client) applyStatus(grant QuotaGrant) {
	c.health.RecordStatus(grant.Key.ID, *grant.Status)
	semaphore := c.quotas.Semaphore(grant.Key)
	if grant.Status.Cold {
		semaphore.Clamp(grant.MaxUnits)
		return
	}
	semaphore.Unclamp()
}

// IsIdle reports whether no quota is held and no exchange is pending.
func (c *Client) IsIdle() bool {
	for _, s := range c.sessions {
		if s.pending != nil {
			return false
		}
	}
	for _, quota := range c.quotas.Shares {
		if quota.Units() > 0 {
			return false
		}
	}
	return true
}

// ReturnAll makes the next polls return all quotas to their owners. It is used
// during a graceful shutdown.
func (c *Client) ReturnAll() {
	for key := range c.quotas.Shares {
		c.demands[key] = demandState{hasMaxUnits: true}
	}
}
