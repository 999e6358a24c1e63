// Package elector elects a leader among the instances, so that at most one of
// them sends orders at a time.
//
// A group of the platform names the leader. At the start of each term the leader
// appends a record to a log, and the record's offset becomes the term's fencing
// token. Offsets grow and are never reused, so that no two terms have the same
// token. The previous leader may not know yet that it has lost leadership. A new
// leader therefore waits until that one has stopped and its last order has
// expired.
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
	NextFencingToken(ctx context.Context) (int64, error)
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
	renewals = 4
	// validFraction is the fraction of the TTL for which a successful join
	// extends the term, counted from before the join was sent. The remainder
	// covers clocks that run at different speeds.
	validity = 0.75
	// leaveTimeout bounds the call that leaves the group.
	stopTimeout = 500 * time.Millisecond
)

// term is a period of leadership.
type term struct {
	fence int64
	// from and until bound the time in which the leader may send orders.
	from  time.Duration
	until time.Duration
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
func (k *Elector) Done() <-chan struct{} { return k.done }

// FencingToken returns the fencing token of the current term, and whether this
// instance may send orders now. Call it right before each order.
func (k *Elector) FencingToken() (int64, bool) {
	t := k.term.Load()
	if t == nil {
		return 0, false
	}
	now := k.config.Clock()
	return t.fence, now >= t.from && now < t.until
}

// LeaderToken returns the fencing token of the current term, or 0 if this
// instance is not the leader. Unlike FencingToken, it includes the takeover delay
// at the start of a term.
func (k *Elector) LeaderToken() int64 {
	t := k.term.Load()
	if t == nil || k.config.Clock() >= t.until {
		return 0
	}
	return t.fence
}

// Run campaigns for leadership and renews it until the context ends, and then
// leaves the group.
func (k *Elector) Run(ctx context.Context) error {
	defer close(k.done)
	period := k.config.TTL / renewals
	isFirst := k.config.IsFirstStart
	for ctx.Err() == nil {
		sentAt := k.config.Clock()
		if k.term.Load() != nil || k.config.IsCandidate() {
			k.renew(ctx, sentAt, isFirst)
		}
		timer := time.NewTimer(max(period-(k.config.Clock()-sentAt), period/10))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	k.term.Store(nil)
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := k.config.Group.Leave(leaveCtx); err != nil {
		k.config.Logger.Warn().Err(err).Msg("failed to leave the group of planner candidates")
	}
	return nil
}

// renew joins the group. Depending on the response it starts, extends or ends a
// term.
func (k *Elector) renew(ctx context.Context, sentAt time.Duration, isFirst bool) {
	valid := time.Duration(float64(k.config.TTL) * validity)
	callCtx, cancel := context.WithTimeout(ctx, valid)
	defer cancel()
	isHolder, err := k.config.Group.Join(callCtx, k.config.TTL)
	current := k.term.Load()
	if err != nil {
		if current != nil && k.config.Clock() >= current.until {
			k.end(current, "join failed")
		}
		return
	}
	switch {
	case !isHolder && current != nil:
		k.end(current, "assigned to another instance")
	case !isHolder:
	case current == nil || sentAt >= current.until:
		k.begin(callCtx, sentAt, valid, isFirst)
	default:
		next := *current
		next.until = sentAt + valid
		k.term.Store(&next)
	}
}

func (k *Elector) end(current *term, reason string) {
	k.term.Store(nil)
	k.config.Logger.Info().Int64("fence", current.fence).Str("reason", reason).Msg("planning duty lost")
}

// startTerm starts a term with a new fencing token.
func (k *Elector) begin(ctx context.Context, sentAt, valid time.Duration, isFirst bool) {
	fence, err := k.config.Group.NextFencingToken(ctx)
	if err != nil {
		k.config.Logger.Warn().Err(err).Msg("failed to get a fencing token for planner leadership")
		return
	}
	next := &term{fence: fence, from: sentAt, until: sentAt + valid}
	// The first leader of a new site has no previous leader to wait for.
	if !isFirst || fence > firstFence {
		next.from = k.config.Clock() + valid + k.config.TakeoverDelay
	}
	k.term.Store(next)
	k.config.Logger.Info().Int64("fence", fence).Dur("rest", next.from-sentAt).Msg("planning duty taken")
}

// firstToken is the fencing token of the first term at a site.
const firstFence = 1
