package controller

import (
	"context"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/claimer"
	"github.com/crocushollow/crocushollow/coordination/tracker"
	"github.com/crocushollow/crocushollow/state/applier"
)

// confirmerCount is the number of members that are asked to confirm a suspicion
// before the suspect is declared departed.
const confirmerCount = 3

// republishAfter is how long to wait for a membership record or shard claim to
// be applied before it is published again.
const republishAfter = 2 * time.Second

// probe sends probes to the members that are due for one.
func (c *Controller) probe(now time.Time) {
	for _, member := range c.tracker.DueProbes(now) {
		request := ProbeRequest{From: c.self.MemberID(), To: member.MemberID(), Offset: c.state().NextOffset()}
		c.runAsync(c.config.Timing.CallTimeout, func(ctx context.Context) event {
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
	c.tracker.RecordReply(e.member.MemberID(), e.sentAt, tracker.ProbeResult{
		Offset:   e.reply.Offset,
		LogAge:   e.reply.LogAge,
		Draining: e.reply.Draining,
	})
	if e.reply.Offset > c.state().NextOffset() {
		c.fetch(e.member)
	}
}

// HandleProbe answers a probe. The second result is false if the probe is
// addressed to another incarnation of the instance.
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
		LogAge:   time.Since(view.UpToDateAt),
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

// fetch requests the log entries that a peer has applied and this instance has
// not.
func (c *Controller) fetch(from crocushollow.Member) {
	if c.fetching {
		return
	}
	c.fetching = true
	request := FetchLogRequest{From: c.state().NextOffset()}
	c.runAsync(c.config.Timing.CallTimeout, func(ctx context.Context) event {
		reply, err := c.config.Peers.FetchLog(ctx, from, request)
		return fetchAnswered{reply: reply, err: err}
	})
}

type fetchAnswered struct {
	reply FetchLogReply
	err   error
}

func (e fetchAnswered) apply(c *Controller) {
	c.fetching = false
	if e.err != nil {
		return
	}
	if len(e.reply.State) > 0 {
		c.installState(e.reply.State)
	}
	c.replay(e.reply.Entries)
	c.publishView()
}

// installState installs the full state of a peer.
func (c *Controller) installState(encoded []byte) {
	state, err := applier.DecodeState(encoded)
	if err != nil {
		c.config.Logger.Warn().Err(err).Msg("failed to decode the state of a peer")
		return
	}
	before := c.state()
	if c.replayer.InstallState(state) {
		c.stateChanged(before)
	}
}

// HandleFetchLog returns log entries to a peer that is behind, or the full
// state if the entries are no longer retained.
func (c *Controller) HandleFetchLog(ctx context.Context, request FetchLogRequest) (FetchLogReply, error) {
	e := fetchReceived{request: request, answer: make(chan fetchAnswer, 1)}
	answer, err := postAndWait(ctx, c, e.answer, e)
	if err != nil {
		return FetchLogReply{}, err
	}
	if answer.state == nil {
		return answer.reply, nil
	}
	encoded, err := answer.state.Encode()
	return FetchLogReply{State: encoded}, err
}

type fetchAnswer struct {
	reply FetchLogReply
	// state is set if the entries are no longer retained.
	state *applier.State
}

type fetchReceived struct {
	request FetchLogRequest
	answer  chan fetchAnswer
}

func (e fetchReceived) apply(c *Controller) {
	entries, err := c.replayer.RetainedEntries(e.request.From)
	if err != nil {
		e.answer <- fetchAnswer{state: c.state()}
		return
	}
	e.answer <- fetchAnswer{reply: FetchLogReply{Entries: entries}}
}

// HandleCheckSuspect reports whether a suspect has recently answered a probe of
// this instance.
func (c *Controller) HandleCheckSuspect(ctx context.Context, request CheckSuspectRequest) (CheckSuspectReply, error) {
	e := checkReceived{request: request, answer: make(chan CheckSuspectReply, 1)}
	return postAndWait(ctx, c, e.answer, e)
}

type checkReceived struct {
	request CheckSuspectRequest
	answer  chan CheckSuspectReply
}

func (e checkReceived) apply(c *Controller) {
	alive := c.tracker.RespondedWithin(e.request.Suspect, c.config.Timing.SuspectAfter, time.Now())
	e.answer <- CheckSuspectReply{Alive: alive}
}

// maintainMembership joins the fleet and starts to confirm suspected members.
// Without a quorum or an up-to-date log it acts on no suspicion.
func (c *Controller) maintainMembership(now time.Time) {
	self := c.self.MemberID()
	if !c.state().IsJoined(self) {
		c.joinFleet(now)
		return
	}
	if !c.tracker.HasQuorum(now) || c.tracker.LogAge(now) > c.config.Timing.Lease {
		return
	}
	for _, suspect := range c.tracker.Suspects(now) {
		if !c.confirming[suspect.MemberID()] {
			c.confirmSuspect(suspect, now)
		}
	}
}

func (c *Controller) joinFleet(now time.Time) {
	caughtUp := c.tracker.LogAge(now) <= c.config.Timing.Lease
	if c.drain.active || !caughtUp || now.Sub(c.lastRun.join) < republishAfter {
		return
	}
	c.lastRun.join = now
	c.publish(crocushollow.Record{Joins: []crocushollow.Member{c.self}}, ignoreResult)
}

// confirmSuspect asks other members whether they can reach a suspect and
// declares it departed if none can.
func (c *Controller) confirmSuspect(suspect crocushollow.Member, now time.Time) {
	c.confirming[suspect.MemberID()] = true
	confirmers := c.tracker.Confirmers(suspect.MemberID(), confirmerCount, now)
	c.runAsync(c.config.Timing.CallTimeout, func(ctx context.Context) event {
		replies := make(chan bool, len(confirmers))
		for _, member := range confirmers {
			go func() {
				reply, err := c.config.Peers.CheckSuspect(ctx, member, CheckSuspectRequest{Suspect: suspect.MemberID()})
				replies <- err == nil && reply.Alive
			}()
		}
		alive := false
		for range confirmers {
			alive = <-replies || alive
		}
		return suspectChecked{suspect: suspect, alive: alive}
	})
}

type suspectChecked struct {
	suspect crocushollow.Member
	alive   bool
}

func (e suspectChecked) apply(c *Controller) {
	suspect := e.suspect.MemberID()
	if e.alive || c.tracker.RespondedWithin(suspect, c.config.Timing.SuspectAfter, time.Now()) {
		delete(c.confirming, suspect)
		return
	}
	c.config.Logger.Warn().Str("member", suspect.Instance).Msg("unresponsive instance declared departed")
	c.publish(crocushollow.Record{Departures: []crocushollow.MemberID{suspect}}, func(error) event {
		return departurePublished{suspect: suspect}
	})
}

type departurePublished struct {
	suspect crocushollow.MemberID
}

func (e departurePublished) apply(c *Controller) { delete(c.confirming, e.suspect) }

// maintainClaims claims the vacant shards for which this instance is the
// preferred owner.
func (c *Controller) maintainClaims(now time.Time) {
	if !c.state().IsJoined(c.self.MemberID()) || c.drain.active || now.Before(c.lastRun.nextClaim) {
		return
	}
	if c.tracker.LogAge(now) > c.config.Timing.Lease {
		return
	}
	claims := claimer.Claims(c.state(), c.self.MemberID(), func(member crocushollow.Member) bool {
		return !c.isDraining(member) && (member.ID == c.self.ID || !c.isSuspect(member, now))
	})
	if len(claims) == 0 {
		return
	}
	c.lastRun.nextClaim = now.Add(republishAfter)
	c.publish(crocushollow.Record{ShardClaims: claims}, func(error) event { return claimsPublished{} })
}

func (c *Controller) isSuspect(member crocushollow.Member, now time.Time) bool {
	for _, suspect := range c.tracker.Suspects(now) {
		if suspect.MemberID() == member.MemberID() {
			return true
		}
	}
	return false
}

type claimsPublished struct{}

func (claimsPublished) apply(c *Controller) { c.lastRun.nextClaim = time.Time{} }

// listInterval is the time between two reads of the platform's list of
// instances.
const listInterval = time.Second

// maintainList refreshes the platform's list of instances. Only the instances
// that read the log do so.
func (c *Controller) maintainList(now time.Time) {
	if now.Sub(c.lastRun.list) < listInterval || !c.readsLog(now) {
		return
	}
	c.lastRun.list = now
	c.runAsync(listInterval, func(ctx context.Context) event {
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
	c.listedInstances = make(map[string]ListedInstance, len(e.instances))
	for _, instance := range e.instances {
		c.listedInstances[instance.ID] = instance
	}
	if c.state().NextOffset() == 0 {
		c.bootstrap()
	}
}

// bootstrap fetches the state from any listed instance, in case the log is
// unavailable when this instance starts.
func (c *Controller) bootstrap() {
	for id, instance := range c.listedInstances {
		if id != c.self.ID && !instance.Draining {
			c.fetch(crocushollow.Member{ID: id, PeerAddress: instance.PeerAddress})
			return
		}
	}
}
