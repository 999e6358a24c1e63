package executor

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Retry budget of a workspace: the fraction of its requests that may be tried
// again, and how many tries can be saved up.
const (
	retryFraction = 0.1
	maxRetries    = 20.0
)

// budgets limits repeated attempts, so that a failing availability zone does
// not multiply the load on the others. It is safe for concurrent use.
type budgets struct {
	mu     sync.Mutex
	tokens map[string]float64
}

func newBudgets() *budgets { return &budgets{tokens: make(map[string]float64)} }

// earn notes a request of a workspace.
func (b *budgets) earn(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, found := b.tokens[workspace]
	if !found {
		tokens = maxRetries
	}
	b.tokens[workspace] = min(tokens+retryFraction, maxRetries)
}

// spend takes one repeated attempt from a workspace's budget.
func (b *budgets) spend(workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[workspace] < 1 {
		return false
	}
	b.tokens[workspace]--
	return true
}

// Pauses between attempts.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// backoff returns a random pause before the given attempt, counted from 1.
func backoff(attempt int) time.Duration {
	ceiling := min(minBackoff<<min(attempt, 8), maxBackoff)
	return time.Duration(rand.Int64N(int64(ceiling)))
}
