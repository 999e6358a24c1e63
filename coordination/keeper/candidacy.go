package keeper

import (
	"sync"
	"time"
)

// Timing of a candidacy.
const (
	// acquaintance is how long after its start an instance waits for the others'
	// first bulletins before it stands for a duty.
	acquaintance = 700 * time.Millisecond
	// nextRankAfter is the time without a holder after which one more instance
	// stands for the duty. The first ones may be cut off from the store.
	nextRankAfter = time.Second
)

// Candidacy decides whether an instance stands for a duty. While somebody holds
// the duty nobody else does: each member that joins or leaves makes the group
// deal the duty anew, and a new holder has to rest.
type Candidacy struct {
	startedAt time.Time

	mu sync.Mutex
	// vacantSince is when the duty was first seen without a holder.
	vacantSince time.Time
}

// NewCandidacy returns the candidacy of an instance that has started.
func NewCandidacy(startedAt time.Time) *Candidacy { return &Candidacy{startedAt: startedAt} }

// Stands reports whether the instance stands for the duty. Rank is the number of
// instances that come before it.
func (c *Candidacy) Stands(rank int, hasHolder bool, now time.Time) bool {
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
