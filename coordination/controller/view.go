package controller

import (
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/applier"
)

// View is what traffic sees of the control state. It is immutable.
type View struct {
	State *applier.State
	// Self is the instance's current life.
	Self crocushollow.Member
	// AssuredUntil is when the instance must stop acting on what it holds.
	AssuredUntil time.Time
	// FreshAt is a time at which the state was up to date with the log.
	FreshAt time.Time
	// Draining tells that the instance is shutting down.
	Draining bool
	// Unavailable holds the instances that discovery must not answer with.
	Unavailable map[string]bool
	// Superseded is closed when a view with a later state is there.
	Superseded chan struct{}
}

// IsAssured reports whether the instance may act on what it holds.
func (v *View) IsAssured(now time.Time) bool { return now.Before(v.AssuredUntil) }

// IsReady reports whether the instance has joined and is assured.
func (v *View) IsReady(now time.Time) bool {
	return v.State.IsJoined(v.Self.MemberID()) && v.IsAssured(now)
}

// View returns the current view.
func (c *Controller) View() *View { return c.view.Load() }

func (c *Controller) publishView() {
	previous := c.view.Load()
	view := &View{
		State:        c.state(),
		Self:         c.self,
		AssuredUntil: c.tracker.AssuredUntil(),
		FreshAt:      time.Now().Add(-c.tracker.LogAge(time.Now())),
		Draining:     c.drain.active,
		Unavailable:  c.unavailable(),
		Superseded:   make(chan struct{}),
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
	c.config.Changed()
}

// unavailable returns the members that are shutting down or silent, as far as
// this instance knows.
func (c *Controller) unavailable() map[string]bool {
	now := time.Now()
	unavailable := make(map[string]bool)
	for _, member := range c.tracker.Suspects(now) {
		unavailable[member.ID] = true
	}
	for _, member := range c.state().Members() {
		if c.isLeaving(member) {
			unavailable[member.ID] = true
		}
	}
	return unavailable
}

func (c *Controller) isLeaving(member crocushollow.Member) bool {
	if member.ID == c.self.ID && c.drain.active {
		return true
	}
	return member.Draining || c.tracker.IsDraining(member.MemberID()) || c.listed[member.ID].Leaving
}
