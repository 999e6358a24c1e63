// Package keeper holds a duty that one instance at a time may carry out.
//
// A group of the platform names the holder. The fencing number comes from an
// append of the holder's own: its offset grows and is never given twice, so
// that it differs between any two holders and any two terms of one. A new
// holder rests until the one before, which may not know yet that it has lost
// the duty, has stopped and its last order is old enough.
package keeper

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Group names the holder of the duty.
type Group interface {
	// Join enters the group or stays in it, and reports whether the duty is the
	// member's.
	Join(ctx context.Context, ttl time.Duration) (bool, error)
	// Leave gives the duty up.
	Leave(ctx context.Context) error
	// NextFence returns a number greater than all before.
	NextFence(ctx context.Context) (int64, error)
}

// Clock returns the time since an arbitrary moment. It goes on while the
// machine is suspended.
type Clock func() time.Duration

// Config configures a Keeper. All fields are required.
type Config struct {
	Group Group
	// TTL is how long the group waits for a member that is silent.
	TTL time.Duration
	// Rest is how long after the last order of a holder the next one's first
	// may come.
	Rest time.Duration
	// IsFirstStart tells that there was no holder before.
	IsFirstStart bool
	Clock        Clock
	// IsCandidate tells whether the instance should stand for the duty. It is
	// asked before each join of an instance that does not hold the duty.
	IsCandidate func() bool
	Logger      zerolog.Logger
}

// Parts of the group's TTL.
const (
	// renewals is the number of joins within a TTL.
	renewals = 4
	// validity is the part of the TTL for which an answered join counts, from
	// before it was sent. The rest covers clocks that run at different speeds.
	validity = 0.75
	// stopTimeout bounds the call that leaves the group.
	stopTimeout = 500 * time.Millisecond
)

// term is a time for which the duty is held.
type term struct {
	fence int64
	// from and until bound the time in which orders may be given.
	from  time.Duration
	until time.Duration
}

// Keeper is safe for concurrent use. Done is closed when Run has returned.
type Keeper struct {
	config Config
	term   atomic.Pointer[term]
	done   chan struct{}
}

// New returns a keeper that does not hold the duty. Run starts it.
func New(config Config) *Keeper {
	return &Keeper{config: config, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (k *Keeper) Done() <-chan struct{} { return k.done }

// Fence returns the fencing number if the duty may be carried out now. It has to
// be asked right before each order.
func (k *Keeper) Fence() (int64, bool) {
	t := k.term.Load()
	if t == nil {
		return 0, false
	}
	now := k.config.Clock()
	return t.fence, now >= t.from && now < t.until
}

// Holder returns the fencing number of a duty that is held, also during the
// rest at its beginning, and 0 otherwise.
func (k *Keeper) Holder() int64 {
	t := k.term.Load()
	if t == nil || k.config.Clock() >= t.until {
		return 0
	}
	return t.fence
}

// Run holds the duty whenever the group names the instance, until the context
// ends, and then leaves the group.
func (k *Keeper) Run(ctx context.Context) error {
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
		k.config.Logger.Warn().Err(err).Msg("group of the planning duty not left")
	}
	return nil
}

// renew joins the group and extends or ends a term, or begins one if it may.
func (k *Keeper) renew(ctx context.Context, sentAt time.Duration, isFirst bool) {
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
		k.end(current, "given to another instance")
	case !isHolder:
	case current == nil || sentAt >= current.until:
		k.begin(callCtx, sentAt, valid, isFirst)
	default:
		next := *current
		next.until = sentAt + valid
		k.term.Store(&next)
	}
}

func (k *Keeper) end(current *term, reason string) {
	k.term.Store(nil)
	k.config.Logger.Info().Int64("fence", current.fence).Str("reason", reason).Msg("planning duty lost")
}

// begin takes the duty up with a new fencing number.
func (k *Keeper) begin(ctx context.Context, sentAt, valid time.Duration, isFirst bool) {
	fence, err := k.config.Group.NextFence(ctx)
	if err != nil {
		k.config.Logger.Warn().Err(err).Msg("no fencing number for the planning duty")
		return
	}
	next := &term{fence: fence, from: sentAt, until: sentAt + valid}
	// The first holder of a new site has nobody to wait for.
	if !isFirst || fence > firstFence {
		next.from = k.config.Clock() + valid + k.config.Rest
	}
	k.term.Store(next)
	k.config.Logger.Info().Int64("fence", fence).Dur("rest", next.from-sentAt).Msg("planning duty taken")
}

// firstFence is the number that the first holder of a site gets.
const firstFence = 1
