package elector

import (
	"sync"
	"time"
)

// Timing of campaigns.
const (
	// startupDelay is how long after its start an instance waits for the first
	// heartbeats of its peers before it campaigns.
	startupDelay = 700 * time.Millisecond
	// escalationPeriod is the time without a leader after which the instance of
	// the next rank campaigns too, since the ones before it may be cut off from
	// the store.
	escalationPeriod = time.Second
)

// CampaignPolicy decides whether an instance campaigns for leadership. No
// instance campaigns while there is a leader: each member that joins or leaves
// makes the group assign leadership again, and a new leader has to wait for the
// takeover delay.
type CampaignPolicy struct {
	startedAt time.Time

	mu sync.Mutex
	// leaderlessSince is when the instance first noticed that there is no leader. It
	// is zero while there is one.
	leaderlessSince time.Time
}

// NewCampaignPolicy returns the policy of an instance that started at the given
// time.
func NewCampaignPolicy(startedAt time.Time) *CampaignPolicy {
	return &CampaignPolicy{startedAt: startedAt}
}

// ShouldCampaign reports whether the instance campaigns for leadership. The rank
// is the number of instances that take precedence over it.
func (p *CampaignPolicy) ShouldCampaign(rank int, hasLeader bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if hasLeader {
		p.leaderlessSince = time.Time{}
		return false
	}
	if now.Sub(p.startedAt) < startupDelay {
		return false
	}
	if p.leaderlessSince.IsZero() {
		p.leaderlessSince = now
	}
	return rank <= int(now.Sub(p.leaderlessSince)/escalationPeriod)
}
