package selector

import (
	"time"

	"github.com/crocushollow/crocushollow/catalog"
)

// hold counts a request on an upstream. The caller holds mu.
func (s *Selector) hold(c *candidate, need *Need, now time.Time) *Hold {
	h := &Hold{
		Upstream: *c.upstream,
		selector: s,
		owner:    c,
		waiting:  c.newTokens(need),
		cache:    need.PromptTokens + need.OutputTokens,
	}
	c.own.InFlight++
	c.own.WaitingTokens += h.waiting
	c.own.CacheTokens += h.cache
	c.kept.add(need.Parts)
	s.noteChange(c)
	if service := s.service(need.Service); service != nil && service.ColdRateLimit > 0 {
		c.recentColdSends(now)
		c.coldSends = append(c.coldSends, now)
	}
	return h
}

// Hold is a request's place on an upstream.
type Hold struct {
	Upstream catalog.Upstream
	selector *Selector
	owner    *candidate
	waiting  float64
	cache    float64
	released bool
}

// Begun tells that the first byte of the answer has come.
func (h *Hold) Begun() {
	h.selector.mu.Lock()
	defer h.selector.mu.Unlock()
	h.owner.own.WaitingTokens = max(h.owner.own.WaitingTokens-h.waiting, 0)
	h.waiting = 0
	h.selector.noteChange(h.owner)
}

// Release ends the request's place with what it showed of the upstream.
func (h *Hold) Release(outcome Outcome, now time.Time) {
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
