package sharer

import (
	"math"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/limiter"
)

// resendAfter is how long to wait for the reply to an exchange before it is sent
// again with the same sequence number.
const resendAfter = 400 * time.Millisecond

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

// need is the demand for one limit and what the owner knows of it.
type need struct {
	// shortfall is the amount that waiting requests lack right now.
	shortfall float64
	// keep is the number of units to hold at most, as the owner last decided.
	keep    int64
	hasKeep bool
	// reported is the demand last reported to the owner, at reportedAt.
	reported   float64
	reportedAt time.Time
}

// Demand is reported again after reportAgain, or as soon as it has changed by
// more than the fraction reportChange of the last report.
const (
	reportAgain  = time.Second
	reportChange = 0.25
)

// isNews reports whether the demand must be reported to the owner.
func (n need) isNews(demand float64, now time.Time) bool {
	change := math.Abs(demand - n.reported)
	return now.Sub(n.reportedAt) >= reportAgain || change > reportChange*max(n.reported, 1)
}

// Client requests and returns the quotas of one instance. It is used only by the
// control goroutine; the quotas in the registry are shared with request handlers.
type Client struct {
	self     crocushollow.MemberID
	parts    *limiter.Registry
	health   UpstreamHealth
	sessions map[crocushollow.Shard]*session
	needs    map[limiter.ResourceKey]need
}

// NewClient returns a Holder for the quotas in the given registry.
func NewClient(self crocushollow.MemberID, parts *limiter.Registry, health UpstreamHealth) *Client {
	return &Client{
		self:     self,
		parts:    parts,
		health:   health,
		sessions: make(map[crocushollow.Shard]*session),
		needs:    make(map[limiter.ResourceKey]need),
	}
}

// RecordShortfall records that a request lacks tokens or permits of a limit right now.
func (h *Client) RecordShortfall(key limiter.ResourceKey, shortfall float64) {
	n := h.needs[key]
	n.shortfall += shortfall
	h.needs[key] = n
}

// Poll returns the exchanges to send now: new ones for shards with something to
// report, and retries of those whose reply is overdue.
func (h *Client) Poll(state *applier.State, now time.Time) []Envelope {
	return h.poll(state, h.partsByShard(func(limiter.ResourceKey) bool { return true }), now)
}

// PollShortfalls is Poll restricted to the limits with a shortfall.
func (h *Client) PollShortfalls(state *applier.State, now time.Time) []Envelope {
	return h.poll(state, h.partsByShard(func(key limiter.ResourceKey) bool { return h.needs[key].shortfall > 0 }), now)
}

func (h *Client) poll(state *applier.State, byShard map[crocushollow.Shard]map[limiter.ResourceKey]limiter.Share, now time.Time) []Envelope {
	envelopes := make(map[crocushollow.MemberID]*Envelope)
	for shard := range crocushollow.Shard(crocushollow.ShardCount) {
		holding := state.Ownership(shard)
		if state.IsVacant(shard) {
			continue
		}
		owner, _ := state.Member(holding.Owner.Instance)
		exchange := h.pollShard(shard, holding.Term, byShard[shard], now)
		if exchange == nil {
			continue
		}
		envelope, found := envelopes[holding.Owner]
		if !found {
			envelope = &Envelope{To: owner, Exchange: Exchange{From: h.self}}
			envelopes[holding.Owner] = envelope
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

// partsByShard returns the matching quotas, grouped by shard.
func (h *Client) partsByShard(matters func(limiter.ResourceKey) bool) map[crocushollow.Shard]map[limiter.ResourceKey]limiter.Share {
	byShard := make(map[crocushollow.Shard]map[limiter.ResourceKey]limiter.Share)
	for key, part := range h.parts.Shares {
		if !matters(key) {
			continue
		}
		shard := key.Shard()
		if byShard[shard] == nil {
			byShard[shard] = make(map[limiter.ResourceKey]limiter.Share)
		}
		byShard[shard][key] = part
	}
	return byShard
}

// pollShard returns the exchange to send for one shard, or nil if there is none.
func (h *Client) pollShard(shard crocushollow.Shard, term uint64, parts map[limiter.ResourceKey]limiter.Share, now time.Time) *ShardExchange {
	s := h.sessions[shard]
	if s == nil || s.term != term {
		// Units in transit to or from the previous owner are lost. The new owner
		// reclaims them, as no member registers them.
		s = &session{term: term}
		h.sessions[shard] = s
	}
	if s.pending != nil {
		if now.Sub(s.sentAt) < resendAfter {
			return nil
		}
		s.sentAt = now
		return s.pending
	}
	exchange := &ShardExchange{Shard: shard, Term: term, Sequence: s.sequence + 1, Register: !s.registered}
	if exchange.Register {
		// A registration lists all quotas held, even in an urgent exchange.
		parts = h.partsByShard(func(key limiter.ResourceKey) bool { return key.Shard() == shard })[shard]
	}
	for key, part := range parts {
		if report, worth := h.report(key, part, exchange.Register, now); worth {
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
func (h *Client) report(key limiter.ResourceKey, part limiter.Share, register bool, now time.Time) (QuotaReport, bool) {
	report := QuotaReport{Key: key}
	if register {
		report.HeldUnits = part.Units()
		return report, report.HeldUnits > 0
	}
	n := h.needs[key]
	report.Request.Demand, report.Request.LargestRequest = part.Demand(now)
	report.Request.Shortfall = n.shortfall
	report.ColdStartSuspected = key.Kind == limiter.UpstreamInFlight && h.health.IsColdStartSuspected(key.ID)
	n.shortfall = 0
	if excess := part.Units() - n.keep; n.hasKeep && excess > 0 && report.Request.Shortfall == 0 {
		report.Returned = part.Debit(excess, now)
	}
	urgent := report.Request.Shortfall > 0 || report.ColdStartSuspected || !report.Returned.IsZero()
	inUse := part.Units() > 0 || report.Request.Demand > 0
	worth := urgent || inUse && n.isNews(report.Request.Demand, now)
	if worth {
		n.reported, n.reportedAt = report.Request.Demand, now
	}
	h.needs[key] = n
	return report, worth
}

// HandleReply applies a reply and returns the keys of the limits that the owner has
// decided on. It ignores replies to anything but the pending exchange.
func (h *Client) HandleReply(reply ExchangeReply, now time.Time) []limiter.ResourceKey {
	var decided []limiter.ResourceKey
	for _, shard := range reply.Shards {
		s := h.sessions[shard.Shard]
		if s == nil || s.pending == nil || s.term != shard.Term || s.sequence != shard.Sequence {
			continue
		}
		if shard.Refused {
			// The new owner has not applied its own claim yet.
			s.sentAt = now.Add(RefusalRetryDelay - resendAfter)
			continue
		}
		s.pending = nil
		s.registered = true
		for _, grant := range shard.Grants {
			h.credit(grant, now)
			decided = append(decided, grant.Key)
		}
	}
	return decided
}

// credit adds the granted units to the local quota.
func (h *Client) credit(grant QuotaGrant, now time.Time) {
	if part, found := h.parts.Find(grant.Key); found {
		part.Credit(grant.Granted, now)
	}
	if grant.Status != nil {
		h.noteStatus(grant)
	}
	n := h.needs[grant.Key]
	n.keep, n.hasKeep = grant.MaxUnits, true
	h.needs[grant.Key] = n
}

// noteStatus applies the upstream status reported by the owner. During a cold
// start no more permits than the owner allows may be in use, even before the
// excess ones are returned.
func (h *Client) noteStatus(grant QuotaGrant) {
	h.health.RecordStatus(grant.Key.ID, *grant.Status)
	semaphore := h.parts.Semaphore(grant.Key)
	if grant.Status.Cold {
		semaphore.Clamp(grant.MaxUnits)
		return
	}
	semaphore.Unclamp()
}

// IsIdle reports whether all quotas have been returned and no exchange is
// pending.
func (h *Client) IsIdle() bool {
	for _, s := range h.sessions {
		if s.pending != nil {
			return false
		}
	}
	for _, part := range h.parts.Shares {
		if part.Units() > 0 {
			return false
		}
	}
	return true
}

// ReturnAll makes the next polls return all quotas to their owners. It is used
// during a graceful shutdown.
func (h *Client) ReturnAll() {
	for key := range h.parts.Shares {
		h.needs[key] = need{hasKeep: true}
	}
}
