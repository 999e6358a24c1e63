package selector

import (
	"time"

	"github.com/crocushollow/crocushollow/catalog"
)

// reserve adds a request to the load of an upstream. The caller must lock mu.
func (s *Selector) reserve(c *candidate, request *Request, now time.Time) *Reservation {
	r := &Reservation{
		Upstream:      *c.upstream,
		selector:      s,
		candidate:     c,
		attempt:       request.attempt(now),
		waitingTokens: c.uncachedTokens(request),
		cacheTokens:   request.PromptTokens + request.OutputTokens,
		isTrial:       c.health.beginTrial(),
		model:         request.Model,
	}
	r.attempt.firstBytes = c.health.firstBytes
	c.ownLoad.InFlight++
	r.inFlight = c.inFlight()
	c.ownLoad.WaitingTokens += r.waitingTokens
	c.arrivedTokens += r.waitingTokens
	c.ownLoad.CacheTokens += r.cacheTokens
	if s.isLongStream(request) {
		r.longStreams = 1
	}
	c.ownLoad.LongStreams += r.longStreams
	c.cachedPrefixes.add(request.Prefixes)
	s.markChanged(c)
	if service := s.service(request.Service); service != nil && service.ColdRateLimit > 0 {
		c.coldSendsInWindow(now)
		c.coldSends = append(c.coldSends, now)
	}
	s.recordLimitedSend(c, now)
	return r
}

// Reservation is the load that a request in flight adds to an upstream. It must
// be released once.
type Reservation struct {
	Upstream  catalog.Upstream
	selector  *Selector
	candidate *candidate
	attempt   attempt
	// waitingTokens is the number of prompt tokens that still wait for prefill.
	waitingTokens float64
	// cacheTokens is the space in the KV cache that the request needs.
	cacheTokens float64
	// inFlight is the number of requests at the upstream when this one was sent, with it.
	inFlight int
	// isTrial means that the request is a trial that has not ended.
	isTrial  bool
	released bool
	model    string
	// longStreams is 1 if the output is long, or else 0.
	longStreams int
	progress    progress
}

// MarkFirstByte records that the first byte of the response has arrived. The
// request's prompt tokens no longer count as waiting.
func (r *Reservation) MarkFirstByte() {
	r.selector.mu.Lock()
	defer r.selector.mu.Unlock()
	r.candidate.ownLoad.WaitingTokens = max(r.candidate.ownLoad.WaitingTokens-r.waitingTokens, 0)
	r.waitingTokens = 0
	r.candidate.health.firstBytes++
	r.endTrial(true)
	r.selector.markChanged(r.candidate)
}

// restartReportDelay is the time after which the registrations show an upstream that has started
// again: its heartbeat interval and the delay of the registrations.
const restartReportDelay = 3 * time.Second

// MayHaveRestarted reports whether another process may have taken the place of the upstream
// without its registration being known, since a connection to it has failed recently.
func (r *Reservation) MayHaveRestarted(now time.Time) bool {
	r.selector.mu.Lock()
	defer r.selector.mu.Unlock()
	return !r.candidate.brokenAt.IsZero() && now.Sub(r.candidate.brokenAt) < restartReportDelay
}

// endTrial ends the trial if the request is one. The caller must lock mu.
func (r *Reservation) endTrial(hasResponse bool) {
	if r.isTrial {
		r.isTrial = false
		if r.candidate.health.endTrial(hasResponse) {
			r.selector.config.OnHealthChange(HealthChange{Upstream: r.Upstream.ID})
		}
	}
}

// Release removes the request from the load of the upstream and records its
// outcome. Further calls have no effect.
func (r *Reservation) Release(outcome Outcome, now time.Time) {
	r.selector.mu.Lock()
	defer r.selector.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	c := r.candidate
	c.ownLoad.InFlight--
	c.ownLoad.LongStreams -= r.longStreams
	c.ownLoad.WaitingTokens = max(c.ownLoad.WaitingTokens-r.waitingTokens, 0)
	c.ownLoad.CacheTokens = max(c.ownLoad.CacheTokens-r.cacheTokens, 0)
	r.endTrial(outcome == Served)
	if r.attempt.kind.model == "" {
		r.selector.learnPlain(r, outcome, now)
	}
	if outcome == Unreachable || outcome == Broken {
		c.brokenAt = now
	}
	r.selector.sharePace(c, now)
	if r.selector.recordOutcome(c, &r.attempt, outcome, now) {
		r.selector.config.OnHealthChange(HealthChange{
			Upstream: r.Upstream.ID, IsEjected: true, Failures: c.health.failureCount, Backoff: c.health.ejectedUntil.Sub(now),
		})
	}
	r.selector.markChanged(c)
}
