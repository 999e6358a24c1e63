package selector

import (
	"time"

	"github.com/crocushollow/crocushollow/catalog"
)

// hold adds a request to the load of an upstream. The caller must lock mu.
func (s *Selector) hold(c *candidate, need *Request, now time.Time) *Reservation {
	h := &Reservation{
		Upstream: *c.upstream,
		selector: s,
		owner:    c,
		waiting:  c.newTokens(need),
		cache:    need.PromptTokens + need.OutputTokens,
	}
	c.own.InFlight++
	c.own.WaitingTokens += h.waiting
	c.own.CacheTokens += h.cache
	c.kept.add(need.Prefixes)
	s.noteChange(c)
	if service := s.service(need.Service); service != nil && service.ColdRateLimit > 0 {
		c.recentColdSends(now)
		c.coldSends = append(c.coldSends, now)
	}
	return h
}

// Reservation is the load that a request in flight adds to an upstream. It must be
// released once.
type Reservation struct {
	Upstream catalog.Upstream
	selector *Selector
	owner    *candidate
	// waiting is the number of prompt tokens that still count as waiting.
	waiting float64
	// cache is the number of KV cache tokens that the request needs.
	cache    float64
	released bool
}

// MarkFirstByte records that the first byte of the response has arrived. The
// request's prompt tokens no longer count as waiting.
func (h *Reservation) MarkFirstByte() {
	h.selector.mu.Lock()
	defer h.selector.mu.Unlock()
	h.owner.own.WaitingTokens = max(h.owner.own.WaitingTokens-h.waiting, 0)
	h.waiting = 0
	h.selector.noteChange(h.owner)
}

// Release removes the request from the load of the upstream and records its
// outcome. Further calls have no effect.
func (h *Reservation) Release(outcome Outcome, now time.Time) {
	h.selector.mu.Lock()
	defer h.selector.mu.Unlock()
	if h.released {
		return
	}
	h.released = true
	c := h.owner
	c.own.InFlight--
	c.own.WaitingTokens = max(c.own.WaitingTokens-h.waiting, 0)
	c.own.CacheTokens = max(c.own.CacheTokens-h.cache, 0)
	c.health.note(outcome, now)
	h.selector.noteChange(c)
}
