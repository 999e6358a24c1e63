// Package throttler tracks the request rates to which upstreams ask to be limited.
//
// An upstream names such a limit in its responses, and the limit holds for all
// instances together until a response no longer names it.
package throttler

import (
	"sync"
	"sync/atomic"

	"github.com/crocushollow/crocushollow/catalog"
)

// Limit is a limit of the requests to an upstream, over all instances.
type Limit struct {
	// IsActive is false if the upstream has no limit.
	IsActive bool `cbor:"1,keyasint,omitempty"`
	// PerSecond is the rate in requests per second. It is finite and not negative, and 0
	// if there is no limit.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
}

// Statement is what an upstream has said about its limit.
type Statement struct {
	Upstream string `cbor:"1,keyasint"`
	// StartUnixMilli identifies the incarnation of the upstream.
	StartUnixMilli int64 `cbor:"2,keyasint"`
	Limit          Limit `cbor:"3,keyasint"`
}

// Config configures a Throttler. All fields are required.
type Config struct {
	// OnChange is called when the limit of an upstream has changed. It must not block,
	// and not call the Throttler.
	OnChange func(statement Statement)
}

// Throttler holds the limits of upstreams. It is safe for concurrent use.
type Throttler struct {
	config Config
	mu     sync.Mutex
	// statements holds the latest statement of each upstream that has named a limit. The
	// map is replaced at each change, so that readers need no lock.
	statements atomic.Pointer[map[string]Statement]
}

// New returns a throttler without limits.
func New(config Config) *Throttler {
	t := &Throttler{config: config}
	t.statements.Store(&map[string]Statement{})
	return t
}

// Limit returns the limit of an incarnation of an upstream.
func (t *Throttler) Limit(upstream *catalog.Upstream) Limit {
	statement := (*t.statements.Load())[upstream.ID]
	if statement.StartUnixMilli != upstream.StartUnixMilli {
		return Limit{}
	}
	return statement.Limit
}

// ActiveLimits returns the number of upstreams that are limited.
func (t *Throttler) ActiveLimits() int {
	count := 0
	for _, statement := range *t.statements.Load() {
		if statement.Limit.IsActive {
			count++
		}
	}
	return count
}

// Observe records what a response of an upstream says about its limit.
func (t *Throttler) Observe(upstream *catalog.Upstream, limit Limit) {
	if t.Limit(upstream) == limit {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Limit(upstream) == limit {
		return
	}
	t.set(Statement{Upstream: upstream.ID, StartUnixMilli: upstream.StartUnixMilli, Limit: limit})
}

// set replaces the statement of an upstream. The caller must lock mu.
func (t *Throttler) set(statement Statement) {
	next := make(map[string]Statement)
	for upstream, other := range *t.statements.Load() {
		next[upstream] = other
	}
	next[statement.Upstream] = statement
	t.statements.Store(&next)
	t.config.OnChange(statement)
}
