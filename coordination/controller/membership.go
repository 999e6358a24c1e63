package controller

import (
	"context"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/claimer"
	"github.com/crocushollow/crocushollow/coordination/tracker"
	"github.com/crocushollow/crocushollow/state/applier"
)

// confirmers is the number of members asked before one is declared departed.
const confirmers = 3

// republishAfter is how long a record of membership may take to appear before
// it is published again.
const republishAfter = 2 * time.Second

// probe sends the probes that are due.
func (c *Controller) probe(now time.Time) {
	for _, member := range c.tracker.Due(now) {
		request := ProbeRequest{From: c.self.MemberID(), To: member.MemberID(), Offset: c.state().NextOffset()}
		c.start(c.config.Timing.CallTimeout, func(ctx context.Context) event {
			reply, err := c.config.Peers.Probe(ctx, member, request)
			if err != nil {
				return nil
			}
			return probeAnswered{member: member, sentAt: now, reply: reply}
		})
	}
}

type probeAnswered struct {
	member crocushollow.Member
	sentAt time.Time
	reply  ProbeReply
}

func (e probeAnswered) apply(c *Controller) {
	c.tracker.Heard(e.member.MemberID(), e.sentAt, tracker.Answer{
		Offset:   e.reply.Offset,
		LogAge:   e.reply.LogAge,
		Draining: e.reply.Draining,
	})
	if e.reply.Offset > c.state().NextOffset() {
		c.fetch(e.member)
	}
}

// HandleProbe answers a probe. The second result is false if another life was
// meant.
func (c *Controller) HandleProbe(ctx context.Context, request ProbeRequest) (ProbeReply, bool, error) {
	view := c.View()
	if request.To != view.Self.MemberID() {
		return ProbeReply{}, false, nil
	}
	if request.Offset > view.State.NextOffset() {
		_ = c.post(ctx, laterOffsetSeen{from: request.From})
	}
	return ProbeReply{
		Offset:   view.State.NextOffset(),
		LogAge:   time.Since(view.FreshAt),
		Draining: view.Draining,
	}, true, nil
}

type laterOffsetSeen struct {
	from crocushollow.MemberID
}

func (e laterOffsetSeen) apply(c *Controller) {
	if member, found := c.state().Member(e.from.Instance); found {
		c.fetch(member)
	}
}

// fetch gets the entries that a peer has and this instance lacks.
func (c *Controller) fetch(from crocushollow.Member) {
	if c.fetching {
		return
	}
	c.fetching = true
	request := FetchRequest{From: c.state().NextOffset()}
	c.start(c.config.Timing.CallTimeout, func(ctx context.Context) event {
		reply, err := c.config.Peers.Fetch(ctx, from, request)
		return fetched{reply: reply, err: err}
	})
}

type fetched struct {
	reply FetchReply
	err   error
}

func (e fetched) apply(c *Controller) {
	c.fetching = false
	if e.err != nil {
		return
	}
	if len(e.reply.State) > 0 {
		c.restore(e.reply.State)
	}
	c.replay(e.reply.Entries)
	c.publishView()
}

// restore takes over the whole state of a peer.
func (c *Controller) restore(encoded []byte) {
	state, err := applier.DecodeState(encoded)
	if err != nil {
		c.config.Logger.Warn().Err(err).Msg("state of a peer not readable")
		return
	}
	before := c.state()
	if c.replayer.Restore(state) {
		c.stateChanged(before)
	}
}

// HandleFetch answers a peer that lacks entries.
func (c *Controller) HandleFetch(ctx context.Context, request FetchRequest) (FetchReply, error) {
	e := fetchAsked{request: request, answer: make(chan fetchAnswer, 1)}
	answer, err := ask(ctx, c, e.answer, e)
	if err != nil {
		return FetchReply{}, err
	}
	if answer.state == nil {
		return answer.reply, nil
	}
	encoded, err := answer.state.Encode()
	return FetchReply{State: encoded}, err
}

type fetchAnswer struct {
	reply FetchReply
	// state is set if the entries are no longer kept.
	state *applier.State
}

type fetchAsked struct {
	request FetchRequest
	answer  chan fetchAnswer
}

func (e fetchAsked) apply(c *Controller) {
	entries, err := c.replayer.Tail(e.request.From)
	if err != nil {
		e.answer <- fetchAnswer{state: c.state()}
		return
	}
	e.answer <- fetchAnswer{reply: FetchReply{Entries: entries}}
}

// HandleCheck tells whether a member has answered this instance just now.
func (c *Controller) HandleCheck(ctx context.Context, request CheckRequest) (CheckReply, error) {
	e := checkAsked{request: request, answer: make(chan CheckReply, 1)}
	return ask(ctx, c, e.answer, e)
}

type checkAsked struct {
	request CheckRequest
	answer  chan CheckReply
}

func (e checkAsked) apply(c *Controller) {
	alive := c.tracker.HeardWithin(e.request.Suspect, c.config.Timing.SuspectAfter, time.Now())
	e.answer <- CheckReply{Alive: alive}
}

// maintainMembership joins the fleet and declares silent members departed.
func (c *Controller) maintainMembership(now time.Time) {
	life := c.self.MemberID()
	if !c.state().IsJoined(life) {
		c.joinFleet(now)
		return
	}
	if !c.tracker.HasMajority(now) || c.tracker.LogAge(now) > c.config.Timing.Lease {
		return
	}
	for _, suspect := range c.tracker.Suspects(now) {
		if !c.accusing[suspect.MemberID()] {
			c.accuse(suspect, now)
		}
	}
}

func (c *Controller) joinFleet(now time.Time) {
	caughtUp := c.tracker.LogAge(now) <= c.config.Timing.Lease
	if c.drain.active || !caughtUp || now.Sub(c.rounds.join) < republishAfter {
		return
	}
	c.rounds.join = now
	c.publish(crocushollow.Record{Joins: []crocushollow.Member{c.self}}, nothing)
}

// accuse asks other members about a silent one and declares it departed if
// none has heard from it either.
func (c *Controller) accuse(suspect crocushollow.Member, now time.Time) {
	c.accusing[suspect.MemberID()] = true
	asked := c.tracker.Confirmers(suspect.MemberID(), confirmers, now)
	c.start(c.config.Timing.CallTimeout, func(ctx context.Context) event {
		replies := make(chan bool, len(asked))
		for _, member := range asked {
			go func() {
				reply, err := c.config.Peers.Check(ctx, member, CheckRequest{Suspect: suspect.MemberID()})
				replies <- err == nil && reply.Alive
			}()
		}
		alive := false
		for range asked {
			alive = <-replies || alive
		}
		return accusationChecked{suspect: suspect, alive: alive}
	})
}

type accusationChecked struct {
	suspect crocushollow.Member
	alive   bool
}

func (e accusationChecked) apply(c *Controller) {
	life := e.suspect.MemberID()
	if e.alive || c.tracker.HeardWithin(life, c.config.Timing.SuspectAfter, time.Now()) {
		delete(c.accusing, life)
		return
	}
	c.config.Logger.Warn().Str("member", life.Instance).Msg("silent instance declared departed")
	c.publish(crocushollow.Record{Departures: []crocushollow.MemberID{life}}, func(error) event {
		return accusationEnded{life: life}
	})
}

type accusationEnded struct {
	life crocushollow.MemberID
}

func (e accusationEnded) apply(c *Controller) { delete(c.accusing, e.life) }

// maintainClaims claims the vacant shards that fall to this instance.
func (c *Controller) maintainClaims(now time.Time) {
	if !c.state().IsJoined(c.self.MemberID()) || c.drain.active || now.Before(c.rounds.claim) {
		return
	}
	if c.tracker.LogAge(now) > c.config.Timing.Lease {
		return
	}
	claims := claimer.Claims(c.state(), c.self.MemberID(), func(member crocushollow.Member) bool {
		return !c.isLeaving(member) && (member.ID == c.self.ID || !c.isSilent(member, now))
	})
	if len(claims) == 0 {
		return
	}
	c.rounds.claim = now.Add(republishAfter)
	c.publish(crocushollow.Record{ShardClaims: claims}, func(error) event { return claimsEnded{} })
}

func (c *Controller) isSilent(member crocushollow.Member, now time.Time) bool {
	for _, suspect := range c.tracker.Suspects(now) {
		if suspect.MemberID() == member.MemberID() {
			return true
		}
	}
	return false
}

type claimsEnded struct{}

func (claimsEnded) apply(c *Controller) { c.rounds.claim = time.Time{} }

// listInterval is the time between two readings of the platform's list.
const listInterval = time.Second

// maintainList reads the platform's list of instances.
func (c *Controller) maintainList(now time.Time) {
	if now.Sub(c.rounds.list) < listInterval || !c.readsLog(now) {
		return
	}
	c.rounds.list = now
	c.start(listInterval, func(ctx context.Context) event {
		instances, err := c.config.Lister.List(ctx)
		if err != nil {
			return nil
		}
		return instancesListed{instances: instances}
	})
}

type instancesListed struct {
	instances []ListedInstance
}

func (e instancesListed) apply(c *Controller) {
	c.listed = make(map[string]ListedInstance, len(e.instances))
	for _, instance := range e.instances {
		c.listed[instance.ID] = instance
	}
	if c.state().NextOffset() == 0 {
		c.bootstrap()
	}
}

// bootstrap fetches the state from any listed instance, for the case that the
// log is away when the instance starts.
func (c *Controller) bootstrap() {
	for id, instance := range c.listed {
		if id != c.self.ID && !instance.Leaving {
			c.fetch(crocushollow.Member{ID: id, PeerAddress: instance.PeerAddress})
			return
		}
	}
}
