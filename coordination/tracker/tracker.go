// Package tracker detects failed members and decides how long this instance may
// trust its own copy of the log.
//
// Ownership is safe because of two rules. First, a member uses its quotas and
// shards only while its lease is valid: within the last lease duration it has
// either confirmed that it has applied the log up to its head, with the log or
// with a peer, or received replies from a majority of the members that it
// probes, none of which has applied a later record. Second, a member that does
// not answer the members that monitor it is declared departed by a record in
// the log, and its quotas and shards are reused at least one lease duration
// later. Times come from the monotonic clock of one process and are never
// compared across processes.
package tracker

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/applier"
)

// Config configures a Tracker.
type Config struct {
	Self crocushollow.MemberID
	// Lease is the duration of the lease, counted from the last confirmation
	// that the applied log is up to date.
	Lease time.Duration
	// ProbeInterval is the time between two probes of the same monitored
	// member.
	ProbeInterval time.Duration
	// SuspectAfter is the time without a probe reply after which a monitored
	// member is suspected to have failed.
	SuspectAfter time.Duration
	// MonitoredMembers is the number of members that the instance monitors by
	// probing them. The instance probes up to as many more at random, so that
	// new records spread through the fleet.
	MonitoredMembers int
	// Random selects the members that are probed at random.
	Random *rand.Rand
}

// peer is the probe state of another member.
type peer struct {
	// probedAt is when the latest probe was sent.
	probedAt time.Time
	// aliveAt is when the latest probe that got a reply was sent.
	aliveAt time.Time
	// monitoredSince is when the instance began to monitor the member.
	monitoredSince time.Time
	draining       bool
}

// Tracker tracks the liveness of peers and the age of the applied log. It is
// used only by the control goroutine.
type Tracker struct {
	config Config
	state  *applier.State
	peers  map[crocushollow.MemberID]*peer
	// monitored lists the members that this instance monitors.
	monitored []crocushollow.Member
	// upToDateAt is the latest time at which the applied offset was known to be
	// the head of the log.
	upToDateAt time.Time
	// maxPeerOffset is the largest offset that any peer is known to have
	// applied.
	maxPeerOffset uint64
}

// New returns a tracker that knows of no other member.
func New(config Config) *Tracker {
	return &Tracker{config: config, state: applier.New(), peers: make(map[crocushollow.MemberID]*peer)}
}

// Update applies a new state. If the members have changed, it selects the
// members to monitor again.
func (t *Tracker) Update(state *applier.State, now time.Time) {
	changed := state.MembershipVersion() != t.state.MembershipVersion()
	t.state = state
	if !changed {
		return
	}
	for id := range t.peers {
		if !state.IsJoined(id) {
			delete(t.peers, id)
		}
	}
	t.monitored = successors(t.config.Self, state.Members(), t.config.MonitoredMembers)
	for _, member := range t.monitored {
		p := t.peer(member.MemberID())
		if p.monitoredSince.IsZero() {
			p.monitoredSince = now
		}
	}
}

// successors returns up to count members that follow an instance on the ring of
// all members. In a small fleet these are all other members.
func successors(self crocushollow.MemberID, members []crocushollow.Member, count int) []crocushollow.Member {
	start := slices.IndexFunc(members, func(m crocushollow.Member) bool { return m.MemberID() == self })
	if start < 0 {
		return nil
	}
	ring := slices.Concat(members[start+1:], members[:start])
	return ring[:min(len(ring), count)]
}

func (t *Tracker) peer(id crocushollow.MemberID) *peer {
	p, found := t.peers[id]
	if !found {
		p = &peer{}
		t.peers[id] = p
	}
	return p
}

// DueProbes returns the members to probe now and records the probes as sent.
func (t *Tracker) DueProbes(now time.Time) []crocushollow.Member {
	var due []crocushollow.Member
	for _, member := range t.monitored {
		if now.Sub(t.peer(member.MemberID()).probedAt) >= t.config.ProbeInterval {
			due = append(due, member)
		}
	}
	if len(due) > 0 && t.state.MemberCount() > len(t.monitored)+1 {
		due = append(due, t.selectRandom()...)
	}
	for _, member := range due {
		t.peer(member.MemberID()).probedAt = now
	}
	return due
}

// selectRandom selects members to probe at random. It may return fewer than
// configured.
func (t *Tracker) selectRandom() []crocushollow.Member {
	members := t.state.Members()
	var selected []crocushollow.Member
	for range t.config.MonitoredMembers {
		member := members[t.config.Random.IntN(len(members))]
		if member.MemberID() != t.config.Self && !slices.Contains(t.monitored, member) {
			selected = append(selected, member)
		}
	}
	return selected
}

// ProbeResult is the content of a probe reply.
type ProbeResult struct {
	// Offset is the offset of the next log entry that the member will apply.
	Offset uint64
	// LogAge is the time since Offset was known to be the head of the log.
	LogAge time.Duration
	// Draining is true if the member is shutting down.
	Draining bool
}

// RecordReply records the reply to a probe sent at the given time. Liveness
// counts from when the probe was sent, so that a delayed reply does not extend
// a lease too far.
func (t *Tracker) RecordReply(id crocushollow.MemberID, sentAt time.Time, result ProbeResult) {
	p := t.peer(id)
	if sentAt.After(p.aliveAt) {
		p.aliveAt = sentAt
	}
	p.draining = result.Draining
	t.maxPeerOffset = max(t.maxPeerOffset, result.Offset)
	if result.Offset == t.state.NextOffset() {
		t.MarkUpToDate(sentAt.Add(-result.LogAge))
	}
}

// MarkUpToDate records that the applied offset was the head of the log at the
// given time.
func (t *Tracker) MarkUpToDate(at time.Time) {
	if at.After(t.upToDateAt) {
		t.upToDateAt = at
	}
}

// LogAge returns the time since the applied offset was known to be the head of
// the log.
func (t *Tracker) LogAge(now time.Time) time.Duration { return now.Sub(t.upToDateAt) }

// IsDraining reports whether a member has reported that it is shutting down.
func (t *Tracker) IsDraining(id crocushollow.MemberID) bool {
	p, found := t.peers[id]
	return found && p.draining
}

// LeaseExpiresAt returns when the lease of the instance expires. Until then it
// may use its quotas and shards and accept API keys. The result is zero if the
// instance has not joined.
func (t *Tracker) LeaseExpiresAt() time.Time {
	if !t.state.IsJoined(t.config.Self) {
		return time.Time{}
	}
	until := t.upToDateAt.Add(t.config.Lease)
	if t.maxPeerOffset > t.state.NextOffset() {
		return until
	}
	if quorum := t.quorumAt().Add(t.config.Lease); quorum.After(until) {
		return quorum
	}
	return until
}

// quorumAt returns the latest time such that a majority of the recently probed
// members, counting this instance, has answered a probe sent at that time or
// later.
func (t *Tracker) quorumAt() time.Time {
	var latest time.Time
	for _, p := range t.peers {
		if p.probedAt.After(latest) {
			latest = p.probedAt
		}
	}
	var aliveTimes []time.Time
	for _, p := range t.peers {
		if latest.Sub(p.probedAt) <= t.config.Lease {
			aliveTimes = append(aliveTimes, p.aliveAt)
		}
	}
	needed := (len(aliveTimes) + 1) / 2
	if needed == 0 {
		return time.Time{}
	}
	slices.SortFunc(aliveTimes, func(a, b time.Time) int { return b.Compare(a) })
	return aliveTimes[needed-1]
}

// HasQuorum reports whether a majority of the probed members has answered
// within the lease duration.
func (t *Tracker) HasQuorum(now time.Time) bool {
	return t.state.MemberCount() <= 1 || now.Sub(t.quorumAt()) <= t.config.Lease
}

// Suspects returns the monitored members that have not answered for longer than
// SuspectAfter.
func (t *Tracker) Suspects(now time.Time) []crocushollow.Member {
	var suspects []crocushollow.Member
	for _, member := range t.monitored {
		p := t.peer(member.MemberID())
		last := p.aliveAt
		if last.IsZero() {
			last = p.monitoredSince
		}
		if now.Sub(last) > t.config.SuspectAfter {
			suspects = append(suspects, member)
		}
	}
	return suspects
}

// RespondedWithin reports whether a member has answered a probe that was sent
// within the given duration.
func (t *Tracker) RespondedWithin(id crocushollow.MemberID, within time.Duration, now time.Time) bool {
	p, found := t.peers[id]
	return found && now.Sub(p.aliveAt) <= within
}

// Confirmers returns up to count random reachable members that can confirm a
// suspicion.
func (t *Tracker) Confirmers(suspect crocushollow.MemberID, count int, now time.Time) []crocushollow.Member {
	var confirmers []crocushollow.Member
	for _, member := range t.state.Members() {
		id := member.MemberID()
		if id != suspect && id != t.config.Self && t.RespondedWithin(id, t.config.Lease, now) {
			confirmers = append(confirmers, member)
		}
	}
	t.config.Random.Shuffle(len(confirmers), func(i, j int) {
		confirmers[i], confirmers[j] = confirmers[j], confirmers[i]
	})
	return confirmers[:min(len(confirmers), count)]
}
