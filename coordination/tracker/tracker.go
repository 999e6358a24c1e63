// Package tracker decides which members are alive and how far this instance
// may trust its own view of the log.
//
// Two facts carry every decision of ownership. A member acts only while it is
// assured: within the last lease it has either learned where the head of the
// log is, from the log or from a peer, or been in contact with a majority of
// the members it probes, none of which knew of a later record. A member that
// is silent to its watchers is declared departed by a record in the log, and
// what it held is used by others only a lease later. Times are taken from the
// monotonic clock of one process and never compared between processes.
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
	// Self is the instance's life.
	Self crocushollow.MemberID
	// Lease is how long an assurance holds.
	Lease time.Duration
	// ProbeInterval is the time between two probes of the same watched member.
	ProbeInterval time.Duration
	// SuspectAfter is how long a watched member may be silent.
	SuspectAfter time.Duration
	// Watched is the number of members that the instance probes for their
	// liveness. As many more are probed at random to spread records.
	Watched int
	// Random draws the members probed at random.
	Random *rand.Rand
}

// peer is what is known of another member.
type peer struct {
	// probedAt is when the latest probe was sent.
	probedAt time.Time
	// heardAt is when the latest answered probe was sent.
	heardAt time.Time
	// watchedSince is when the instance began to watch the member.
	watchedSince time.Time
	draining     bool
}

// Tracker belongs to the control goroutine.
type Tracker struct {
	config Config
	state  *applier.State
	peers  map[crocushollow.MemberID]*peer
	// watched lists the members that this instance watches.
	watched []crocushollow.Member
	// freshAt is a time at which the applied offset was the head of the log.
	freshAt time.Time
	// knownOffset is the largest offset that any peer has applied.
	knownOffset uint64
}

// New returns a tracker that knows no other member.
func New(config Config) *Tracker {
	return &Tracker{config: config, state: applier.New(), peers: make(map[crocushollow.MemberID]*peer)}
}

// Update takes a new state.
func (t *Tracker) Update(state *applier.State, now time.Time) {
	changed := state.MembershipVersion() != t.state.MembershipVersion()
	t.state = state
	if !changed {
		return
	}
	for life := range t.peers {
		if !state.IsJoined(life) {
			delete(t.peers, life)
		}
	}
	t.watched = watchedBy(t.config.Self, state.Members(), t.config.Watched)
	for _, member := range t.watched {
		p := t.peer(member.MemberID())
		if p.watchedSince.IsZero() {
			p.watchedSince = now
		}
	}
}

// watchedBy returns the members that follow an instance on the ring of all
// members. In a small fleet these are all others.
func watchedBy(self crocushollow.MemberID, members []crocushollow.Member, count int) []crocushollow.Member {
	start := slices.IndexFunc(members, func(m crocushollow.Member) bool { return m.MemberID() == self })
	if start < 0 {
		return nil
	}
	ring := slices.Concat(members[start+1:], members[:start])
	return ring[:min(len(ring), count)]
}

func (t *Tracker) peer(life crocushollow.MemberID) *peer {
	p, found := t.peers[life]
	if !found {
		p = &peer{}
		t.peers[life] = p
	}
	return p
}

// Due returns the members to probe now and notes the probes as sent.
func (t *Tracker) Due(now time.Time) []crocushollow.Member {
	var due []crocushollow.Member
	for _, member := range t.watched {
		if now.Sub(t.peer(member.MemberID()).probedAt) >= t.config.ProbeInterval {
			due = append(due, member)
		}
	}
	if len(due) > 0 && t.state.MemberCount() > len(t.watched)+1 {
		due = append(due, t.drawRandom()...)
	}
	for _, member := range due {
		t.peer(member.MemberID()).probedAt = now
	}
	return due
}

func (t *Tracker) drawRandom() []crocushollow.Member {
	members := t.state.Members()
	var drawn []crocushollow.Member
	for range t.config.Watched {
		member := members[t.config.Random.IntN(len(members))]
		if member.MemberID() != t.config.Self && !slices.Contains(t.watched, member) {
			drawn = append(drawn, member)
		}
	}
	return drawn
}

// Answer is what a probed member says about itself.
type Answer struct {
	// Offset is the next offset that the member will apply.
	Offset uint64
	// LogAge is how long ago the offset was known to be the head of the log.
	LogAge time.Duration
	// Draining tells that the member is shutting down.
	Draining bool
}

// Heard notes the answer to a probe sent at a time. The times are taken before
// the probe, so that a delayed answer proves no more than it should.
func (t *Tracker) Heard(life crocushollow.MemberID, sentAt time.Time, answer Answer) {
	p := t.peer(life)
	if sentAt.After(p.heardAt) {
		p.heardAt = sentAt
	}
	p.draining = answer.Draining
	t.knownOffset = max(t.knownOffset, answer.Offset)
	if answer.Offset == t.state.NextOffset() {
		t.NoteFresh(sentAt.Add(-answer.LogAge))
	}
}

// NoteFresh records that the applied offset was the head of the log at a time.
func (t *Tracker) NoteFresh(at time.Time) {
	if at.After(t.freshAt) {
		t.freshAt = at
	}
}

// LogAge returns how long ago the applied offset was known to be the head.
func (t *Tracker) LogAge(now time.Time) time.Duration { return now.Sub(t.freshAt) }

// IsDraining reports whether a member has said that it is shutting down.
func (t *Tracker) IsDraining(life crocushollow.MemberID) bool {
	p, found := t.peers[life]
	return found && p.draining
}

// AssuredUntil returns the time up to which the instance may act on what it
// holds and honour keys.
func (t *Tracker) AssuredUntil() time.Time {
	if !t.state.IsJoined(t.config.Self) {
		return time.Time{}
	}
	until := t.freshAt.Add(t.config.Lease)
	if t.knownOffset > t.state.NextOffset() {
		return until
	}
	if quorum := t.quorumAt().Add(t.config.Lease); quorum.After(until) {
		return quorum
	}
	return until
}

// quorumAt returns the latest time since which a majority of the probed
// members, this one included, has answered.
func (t *Tracker) quorumAt() time.Time {
	var latest time.Time
	for _, p := range t.peers {
		if p.probedAt.After(latest) {
			latest = p.probedAt
		}
	}
	var heard []time.Time
	for _, p := range t.peers {
		if latest.Sub(p.probedAt) <= t.config.Lease {
			heard = append(heard, p.heardAt)
		}
	}
	needed := (len(heard) + 1) / 2
	if needed == 0 {
		return time.Time{}
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	return heard[needed-1]
}

// HasMajority reports whether a majority of the probed members has answered
// within the lease.
func (t *Tracker) HasMajority(now time.Time) bool {
	return t.state.MemberCount() <= 1 || now.Sub(t.quorumAt()) <= t.config.Lease
}

// Suspects returns the watched members that have been silent for too long.
func (t *Tracker) Suspects(now time.Time) []crocushollow.Member {
	var suspects []crocushollow.Member
	for _, member := range t.watched {
		p := t.peer(member.MemberID())
		last := p.heardAt
		if last.IsZero() {
			last = p.watchedSince
		}
		if now.Sub(last) > t.config.SuspectAfter {
			suspects = append(suspects, member)
		}
	}
	return suspects
}

// HeardWithin reports whether a member has answered a probe within a time.
func (t *Tracker) HeardWithin(life crocushollow.MemberID, within time.Duration, now time.Time) bool {
	p, found := t.peers[life]
	return found && now.Sub(p.heardAt) <= within
}

// Confirmers returns up to count members that can be asked about a suspect.
func (t *Tracker) Confirmers(suspect crocushollow.MemberID, count int, now time.Time) []crocushollow.Member {
	var confirmers []crocushollow.Member
	for _, member := range t.state.Members() {
		life := member.MemberID()
		if life != suspect && life != t.config.Self && t.HeardWithin(life, t.config.Lease, now) {
			confirmers = append(confirmers, member)
		}
	}
	t.config.Random.Shuffle(len(confirmers), func(i, j int) {
		confirmers[i], confirmers[j] = confirmers[j], confirmers[i]
	})
	return confirmers[:min(len(confirmers), count)]
}
