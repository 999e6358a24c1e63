package controller

import (
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/applier"
)

// View is an immutable snapshot of the control state for request handlers.
type View struct {
	State *applier.State
	// Self is the current incarnation of this instance.
	Self crocushollow.Member
	// LeaseExpiresAt is the time after which the instance must not use the
	// quotas and shards that it holds.
	LeaseExpiresAt time.Time
	// UpToDateAt is the latest time at which the state was known to be up to
	// date with the log.
	UpToDateAt time.Time
	// Draining is true while the instance is shutting down.
	Draining bool
	// Unavailable holds the IDs of the instances that discovery must not
	// return.
	Unavailable map[string]bool
	// Superseded is closed when a view with a newer state is available.
	Superseded chan struct{}
}

// HasValidLease reports whether the instance may use the quotas and shards that
// it holds.
func (v *View) HasValidLease(now time.Time) bool { return now.Before(v.LeaseExpiresAt) }

// IsReady reports whether the instance has joined the fleet and its lease is
// valid.
func (v *View) IsReady(now time.Time) bool {
	return v.State.IsJoined(v.Self.MemberID()) && v.HasValidLease(now)
}

// View returns the current view.
func (c *Controller) View() *View { return c.view.Load() }

func (c *Controller) publishView() {
	previous := c.view.Load()
	view := &View{
		State:          c.state(),
		Self:           c.self,
		LeaseExpiresAt: c.tracker.LeaseExpiresAt(),
		UpToDateAt:     time.Now().Add(-c.tracker.LogAge(time.Now())),
		Draining:       c.drain.active,
		Unavailable:    c.unavailable(),
		Superseded:     make(chan struct{}),
	}
	if previous != nil && previous.State == view.State {
		view.Superseded = previous.Superseded
		c.view.Store(view)
		return
	}
	c.view.Store(view)
	if previous == nil {
		return
	}
	close(previous.Superseded)
	c.config.OnStateChange()
}

// unavailable returns the IDs of the members that this instance knows to be
// shutting down or suspects to have failed.
func (c *Controller) unavailable() map[string]bool {
	now := time.Now()
	unavailable := make(map[string]bool)
	for _, member := range c.tracker.Suspects(now) {
		unavailable[member.ID] = true
	}
	for _, member := range c.state().Members() {
		if c.isDraining(member) {
			unavailable[member.ID] = true
		}
	}
	return unavailable
}

func (c *Controller) isDraining(member crocushollow.Member) bool {
	if member.ID == c.self.ID && c.drain.active {
		return true
	}
	return member.Draining || c.tracker.IsDraining(member.MemberID()) || c.listedInstances[member.ID].Draining
}
