// Package elector elects a leader among the instances, so that at most one of
// them sends orders at a time.
//
// A group of the platform names the leader. At the start of each term the leader
// appends a record to a log, and the record's position becomes the term's fencing
// token. Positions grow and are never reused, also when the log is restored from a
// copy, so that no two terms have the same token. The previous leader may not know
// yet that it has lost leadership. A new leader therefore waits until that one has
// stopped and the takeover delay has passed since its last order.
package elector

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Group is a membership group that names one of its members the leader.
type Group interface {
	// Join adds this instance to the group or renews its membership. It reports
	// whether this instance is the leader.
	Join(ctx context.Context, ttl time.Duration) (bool, error)
	// Leave removes this instance from the group and gives up leadership.
	Leave(ctx context.Context) error
	// NextFencingToken returns a token that is greater than all earlier ones.
	NextFencingToken(ctx context.Context) (Token, error)
}

// Token is a fencing token of a term.
type Token struct {
	// Number is positive.
	Number int64
	// IsFirst means that there was no term before.
	IsFirst bool
}

// Clock returns the time since an arbitrary starting point. It keeps running
// while the machine is suspended.
type Clock func() time.Duration

// Config configures an Elector. All fields are required.
type Config struct {
	Group Group
	// TTL is the time without a join after which the group removes a member.
	TTL time.Duration
	// TakeoverDelay is the minimum time between the last order of a leader and
	// the first order of the next one.
	TakeoverDelay time.Duration
	// IsFirstStart is set at the first start of a site, when there was no leader
	// before.
	IsFirstStart bool
	Clock        Clock
	// IsCandidate reports whether this instance should campaign for leadership.
	// It is called before each join while this instance is not the leader.
	IsCandidate func() bool
	Logger      zerolog.Logger
}

// Timing of group membership.
const (
	// renewalsPerTTL is the number of joins within a TTL.
	renewalsPerTTL = 4
	// validFraction is the fraction of the TTL for which a successful join
	// extends the term, counted from before the join was sent. The remainder
	// covers clocks that run at different speeds.
	validFraction = 0.75
	// leaveTimeout bounds the call that leaves the group.
	leaveTimeout = 500 * time.Millisecond
)

// term is a period of leadership.
type term struct {
	token int64
	// validFrom and validUntil bound the time in which the leader may send orders.
	validFrom  time.Duration
	validUntil time.Duration
}

// Elector campaigns for leadership and tracks the terms of this instance. It is
// safe for concurrent use.
type Elector struct {
	config Config
	term   atomic.Pointer[term]
	done   chan struct{}
}

// New returns an elector that is not running. Run starts it.
func New(config Config) *Elector {
	return &Elector{config: config, done: make(chan struct{})}
}

// Done returns a channel that is closed when Run has returned.
func (e *Elector) Done() <-chan struct{} { return e.done }

// FencingToken returns the fencing token of the current term, and whether this
// instance may send orders now. Call it right before each order.
func (e *Elector) FencingToken() (int64, bool) {
	t := e.term.Load()
	if t == nil {
		return 0, false
	}
	now := e.config.Clock()
	return t.token, now >= t.validFrom && now < t.validUntil
}

// LeaderToken returns the fencing token of the current term, or 0 if this
// instance is not the leader. Unlike FencingToken, it includes the takeover delay
// at the start of a term.
func (e *Elector) LeaderToken() int64 {
	t := e.term.Load()
	if t == nil || e.config.Clock() >= t.validUntil {
		return 0
	}
	return t.token
}

// Run campaigns for leadership and renews it until the context ends, and then
// leaves the group.
func (e *Elector) Run(ctx context.Context) error {
	defer close(e.done)
	period := e.config.TTL / renewalsPerTTL
	isFirst := e.config.IsFirstStart
	for ctx.Err() == nil {
		sentAt := e.config.Clock()
		if e.term.Load() != nil || e.config.IsCandidate() {
			e.renew(ctx, sentAt, isFirst)
		}
		timer := time.NewTimer(max(period-(e.config.Clock()-sentAt), period/10))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	e.term.Store(nil)
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if err := e.config.Group.Leave(leaveCtx); err != nil {
		e.config.Logger.Warn().Err(err).Msg("failed to leave the group of planner candidates")
	}
	return nil
}

// renew joins the group. Depending on the response it starts, extends or ends a
// term.
func (e *Elector) renew(ctx context.Context, sentAt time.Duration, isFirst bool) {
	valid := time.Duration(float64(e.config.TTL) * validFraction)
	callCtx, cancel := context.WithTimeout(ctx, valid)
	defer cancel()
	isLeader, err := e.config.Group.Join(callCtx, e.config.TTL)
	current := e.term.Load()
	if err != nil {
		if current != nil && e.config.Clock() >= current.validUntil {
			e.endTerm(current, "join failed")
		}
		return
	}
	switch {
	case !isLeader && current != nil:
		e.endTerm(current, "assigned to another instance")
	case !isLeader:
	case current == nil || sentAt >= current.validUntil:
		e.startTerm(callCtx, sentAt, valid, isFirst)
	default:
		next := *current
		next.validUntil = sentAt + valid
		e.term.Store(&next)
	}
}

// endTerm ends the current term and logs the reason.
func (e *Elector) endTerm(current *term, reason string) {
	e.term.Store(nil)
	e.config.Logger.Info().Int64("fence", current.token).Str("reason", reason).Msg("planning duty lost")
}

// startTerm starts a term with a new fencing token.
func (e *Elector) startTerm(ctx context.Context, sentAt, valid time.Duration, isFirst bool) {
	token, err := e.config.Group.NextFencingToken(ctx)
	if err != nil {
		e.config.Logger.Warn().Err(err).Msg("failed to get a fencing token for planner leadership")
		return
	}
	next := &term{token: token.Number, validFrom: sentAt, validUntil: sentAt + valid}
	// The first leader of a new site has no previous leader to wait for.
	if !isFirst || !token.IsFirst {
		next.validFrom = e.config.Clock() + valid + e.config.TakeoverDelay
	}
	e.term.Store(next)
	e.config.Logger.Info().Int64("fence", token.Number).Dur("rest", next.validFrom-sentAt).Msg("planning duty taken")
}
