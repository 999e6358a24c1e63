package elector

import (
	"sync"
	"time"
)

// Timing of campaigns.
const (
	// startupDelay is how long after its start an instance waits for the first
	// heartbeats of its peers before it campaigns.
	acquaintance = 700 * time.Millisecond
	// escalationPeriod is the time without a leader after which the instance of
	// the next rank campaigns too. The instances of lower ranks may be cut off
	// from the store.
	nextRankAfter = time.Second
)

// CampaignPolicy decides whether an instance campaigns for leadership. No
// instance campaigns while there is a leader: each member that joins or leaves
// makes the group assign leadership again, and a new leader has to wait for the
// takeover delay.
type CampaignPolicy struct {
	startedAt time.Time

	mu sync.Mutex
	// vacantSince is when the instance first noticed that there is no leader. It
	// is zero while there is one.
	vacantSince time.Time
}

// NewCampaignPolicy returns the policy of an instance that started at the given
// time.
func NewCampaignPolicy(startedAt time.Time) *CampaignPolicy {
	return &CampaignPolicy{startedAt: startedAt}
}

// ShouldCampaign reports whether the instance campaigns for leadership. The rank
// is the number of instances that take precedence over it.
func (c *CampaignPolicy) ShouldCampaign(rank int, hasHolder bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hasHolder {
		c.vacantSince = time.Time{}
		return false
	}
	if now.Sub(c.startedAt) < acquaintance {
		return false
	}
	if c.vacantSince.IsZero() {
		c.vacantSince = now
	}
	return rank <= int(now.Sub(c.vacantSince)/nextRankAfter)
}
