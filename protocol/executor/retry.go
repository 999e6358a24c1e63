package executor

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Retry budget of a workspace: the fraction of its requests that may be retried and
// the maximum number of retries that it can save up.
const (
	retryRatio      = 0.1
	maxSavedRetries = 20.0
)

// retryBudgets limits the retries of each workspace, so that a failing availability
// zone does not multiply the load on the other zones. It is safe for concurrent use.
type retryBudgets struct {
	mu     sync.Mutex
	tokens map[string]float64
}

func newRetryBudgets() *retryBudgets { return &retryBudgets{tokens: make(map[string]float64)} }

// deposit adds the share of one request to a workspace's budget.
func (b *retryBudgets) deposit(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, found := b.tokens[workspace]
	if !found {
		tokens = maxSavedRetries
	}
	b.tokens[workspace] = min(tokens+retryRatio, maxSavedRetries)
}

// tryWithdraw takes one retry from a workspace's budget and reports whether there
// was one.
func (b *retryBudgets) tryWithdraw(workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[workspace] < 1 {
		return false
	}
	b.tokens[workspace]--
	return true
}

// Delays between attempts.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// backoff returns a random delay before the next attempt. The argument is the number
// of the attempt that failed, counted from 1.
func backoff(attempt int) time.Duration {
	ceiling := min(minBackoff<<min(attempt, 8), maxBackoff)
	return time.Duration(rand.Int64N(int64(ceiling)))
}
