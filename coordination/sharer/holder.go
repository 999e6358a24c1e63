package sharer

import (
	"math"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/limiter"
)

// resendAfter is how long an exchange waits for its answer before it is sent
// again with the same number.
const resendAfter = 400 * time.Millisecond

// RefusedPause is the time after which a refused exchange is sent again.
const RefusedPause = 25 * time.Millisecond

// Envelope is an exchange with the member that it goes to.
type Envelope struct {
	To       crocushollow.Member
	Exchange Exchange
}

// session is the exchange of one shard with its owner in one term.
type session struct {
	term       uint64
	sequence   uint64
	registered bool
	// pending is the exchange without an answer, nil if there is none.
	pending *ShardExchange
	sentAt  time.Time
}

// need is what an instance's part lacks beyond its steady demand.
type need struct {
	shortfall float64
	// keep is the owner's last word on how many units to hold.
	keep    int64
	hasKeep bool
	// reported is the demand that the owner knows, as of reportedAt.
	reported   float64
	reportedAt time.Time
}

// A demand is reported again after reportAgain, or when it has changed by more
// than reportChange of itself.
const (
	reportAgain  = time.Second
	reportChange = 0.25
)

// isNews reports whether the owner should hear of a demand.
func (n need) isNews(demand float64, now time.Time) bool {
	change := math.Abs(demand - n.reported)
	return now.Sub(n.reportedAt) >= reportAgain || change > reportChange*max(n.reported, 1)
}

// Holder is an instance's side of the exchange. It belongs to the control
// goroutine; the parts in the registry are shared with the traffic.
type Holder struct {
	self     crocushollow.MemberID
	parts    *limiter.Registry
	health   Health
	sessions map[crocushollow.Shard]*session
	needs    map[limiter.ResourceKey]need
}

// NewHolder returns the side of an instance with the given parts.
func NewHolder(self crocushollow.MemberID, parts *limiter.Registry, health Health) *Holder {
	return &Holder{
		self:     self,
		parts:    parts,
		health:   health,
		sessions: make(map[crocushollow.Shard]*session),
		needs:    make(map[limiter.ResourceKey]need),
	}
}

// Want records that a request lacks tokens or units of a limit right now.
func (h *Holder) Want(key limiter.ResourceKey, shortfall float64) {
	n := h.needs[key]
	n.shortfall += shortfall
	h.needs[key] = n
}

// Poll returns the exchanges to send now: new ones for shards with something
// to say and repeated ones that have waited too long.
func (h *Holder) Poll(state *applier.State, now time.Time) []Envelope {
	return h.poll(state, h.partsByShard(func(limiter.ResourceKey) bool { return true }), now)
}

// PollUrgent is Poll for what is wanted right now.
func (h *Holder) PollUrgent(state *applier.State, now time.Time) []Envelope {
	return h.poll(state, h.partsByShard(func(key limiter.ResourceKey) bool { return h.needs[key].shortfall > 0 }), now)
}

func (h *Holder) poll(state *applier.State, byShard map[crocushollow.Shard]map[limiter.ResourceKey]limiter.Share, now time.Time) []Envelope {
	envelopes := make(map[crocushollow.MemberID]*Envelope)
	for shard := range crocushollow.Shard(crocushollow.ShardCount) {
		holding := state.Holding(shard)
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

// partsByShard returns the parts that matter, by shard.
func (h *Holder) partsByShard(matters func(limiter.ResourceKey) bool) map[crocushollow.Shard]map[limiter.ResourceKey]limiter.Share {
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

// pollShard returns the exchange to send for one shard, or nil.
func (h *Holder) pollShard(shard crocushollow.Shard, term uint64, parts map[limiter.ResourceKey]limiter.Share, now time.Time) *ShardExchange {
	s := h.sessions[shard]
	if s == nil || s.term != term {
		// Units on their way to or from an earlier owner are lost; the new
		// owner finds them missing from every account.
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
		// Everything held is listed, also by an urgent exchange.
		parts = h.partsByShard(func(key limiter.ResourceKey) bool { return key.Shard() == shard })[shard]
	}
	for key, part := range parts {
		if report, worth := h.report(key, part, exchange.Register, now); worth {
			exchange.Parts = append(exchange.Parts, report)
		}
	}
	if len(exchange.Parts) == 0 && !exchange.Register {
		return nil
	}
	s.sequence++
	s.pending, s.sentAt = exchange, now
	return exchange
}

// report returns what there is to say about a part. When registering, nothing
// is returned and everything held is listed.
func (h *Holder) report(key limiter.ResourceKey, part limiter.Share, register bool, now time.Time) (PartReport, bool) {
	report := PartReport{Key: key}
	if register {
		report.Held = part.Units()
		return report, report.Held > 0
	}
	n := h.needs[key]
	report.Request.Demand, report.Request.LargestRequest = part.Demand(now)
	report.Request.Shortfall = n.shortfall
	report.Suspected = key.Kind == limiter.UpstreamInFlight && h.health.IsColdStartSuspected(key.ID)
	n.shortfall = 0
	if excess := part.Units() - n.keep; n.hasKeep && excess > 0 && report.Request.Shortfall == 0 {
		report.Returned = part.Debit(excess, now)
	}
	urgent := report.Request.Shortfall > 0 || report.Suspected || !report.Returned.IsZero()
	inUse := part.Units() > 0 || report.Request.Demand > 0
	worth := urgent || inUse && n.isNews(report.Request.Demand, now)
	if worth {
		n.reported, n.reportedAt = report.Request.Demand, now
	}
	h.needs[key] = n
	return report, worth
}

// Accept takes an answer and returns the keys whose parts the owner has
// decided on. Answers to anything but the pending exchange are ignored.
func (h *Holder) Accept(reply ExchangeReply, now time.Time) []limiter.ResourceKey {
	var decided []limiter.ResourceKey
	for _, shard := range reply.Shards {
		s := h.sessions[shard.Shard]
		if s == nil || s.pending == nil || s.term != shard.Term || s.sequence != shard.Sequence {
			continue
		}
		if shard.Refused {
			// The new owner has not read its own claim yet.
			s.sentAt = now.Add(RefusedPause - resendAfter)
			continue
		}
		s.pending = nil
		s.registered = true
		for _, grant := range shard.Parts {
			h.credit(grant, now)
			decided = append(decided, grant.Key)
		}
	}
	return decided
}

func (h *Holder) credit(grant PartGrant, now time.Time) {
	if part, found := h.parts.Find(grant.Key); found {
		part.Credit(grant.Granted, now)
	}
	if grant.Status != nil {
		h.noteStatus(grant)
	}
	n := h.needs[grant.Key]
	n.keep, n.hasKeep = grant.Keep, true
	h.needs[grant.Key] = n
}

// noteStatus follows what the owner says of an upstream. During a cold start
// no more units than the owner allows may be in use, also before the others are
// given back.
func (h *Holder) noteStatus(grant PartGrant) {
	h.health.RecordStatus(grant.Key.ID, *grant.Status)
	semaphore := h.parts.Semaphore(grant.Key)
	if grant.Status.Cold {
		semaphore.Clamp(grant.Keep)
		return
	}
	semaphore.Unclamp()
}

// IsIdle reports whether every part is given back and no exchange waits for
// its answer.
func (h *Holder) IsIdle() bool {
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

// GiveBack lets every part be returned to its owner at the next polls, as
// before a planned stop.
func (h *Holder) GiveBack() {
	for key := range h.parts.Shares {
		h.needs[key] = need{hasKeep: true}
	}
}
