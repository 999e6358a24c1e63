package selector

import (
	"math"
	"time"

	"github.com/crocushollow/crocushollow/state/throttler"
)

const (
	// minQuotaRequests is the minimum number of requests that a quota allows at once,
	// unless its window would exceed maxQuotaWindow.
	minQuotaRequests = 2.0
	// maxQuotaWindow bounds the window of a quota. An upstream that accepts no requests
	// still gets one in this time, since only a response can end its limit.
	maxQuotaWindow = 10 * time.Second
	// maxQuotaRate bounds the requests per second that are counted.
	maxQuotaRate = 10000.0
	// The acceptance of an upstream falls by overshootFactor at each heartbeat at which
	// more has been sent than the quota allows, and rises by undershootFactor at each one
	// at which less has been sent.
	overshootFactor  = 0.9
	undershootFactor = 1.1
	minAcceptance    = 0.01
)

// quota is the number of requests that all instances together may send to an upstream
// within any window of time.
type quota struct {
	requests int
	window   time.Duration
}

// newQuota returns the quota for a rate limit.
func newQuota(limit throttler.Limit) quota {
	rate := min(limit.PerSecond, maxQuotaRate)
	requests := max(math.Ceil(rate), minQuotaRequests)
	if requests > rate*maxQuotaWindow.Seconds() {
		return quota{requests: max(int(rate*maxQuotaWindow.Seconds()), 1), window: maxQuotaWindow}
	}
	return quota{requests: int(requests), window: time.Duration(requests / rate * float64(time.Second))}
}

// QuotaShare is a division of a quota among the instances.
type QuotaShare struct {
	// Reachable is the part of this instance and of all peers that it hears. The rest is
	// left to instances that it does not hear.
	Reachable int
	// Own is the part of this instance alone, at most Reachable.
	Own int
}

// rateLimitAllows reports whether the rate limit of an upstream allows another request.
//
// All instances share the quota, and each counts what the others report. What they have
// sent within the delay of a report may come in addition. With a high demand and a long
// delay this is more than the quota itself, so that only a fraction of the requests, the
// acceptance, is considered. Since waiting requests would be sent by all instances at the
// moment at which the quota allows one, they may use only the part of their instance.
func (s *Selector) rateLimitAllows(c *candidate, request *Request, now time.Time) bool {
	limit := s.config.RateLimit(c.upstream)
	if !limit.IsActive {
		s.setLimitedSends(c, nil)
		return true
	}
	quota := newQuota(limit)
	s.forgetLimitedSends(c, now.Add(-quota.window))
	share := s.config.QuotaShare(c.upstream.ID, quota.requests)
	own := len(c.limitedSends)
	if own+c.peerLoad.LimitedSends >= share.Reachable {
		return false
	}
	if request.IsWaiting {
		return own < share.Own
	}
	return c.acceptance >= 1 || s.config.RandFloat64() < c.acceptance
}

// adaptAcceptance lowers the acceptance while the quota is exceeded and raises it while
// the quota is not used up.
func (c *candidate) adaptAcceptance(quota quota) {
	switch used := len(c.limitedSends) + c.peerLoad.LimitedSends; {
	case used > quota.requests:
		c.acceptance = max(c.acceptance*overshootFactor, minAcceptance)
	case used < quota.requests:
		c.acceptance = min(c.acceptance*undershootFactor, 1)
	}
}

// recordLimitedSend counts a request to an upstream with a rate limit.
func (s *Selector) recordLimitedSend(c *candidate, now time.Time) {
	if s.config.RateLimit(c.upstream).IsActive {
		s.setLimitedSends(c, append(c.limitedSends, now))
	}
}

// forgetLimitedSends stops counting the requests before a time.
func (s *Selector) forgetLimitedSends(c *candidate, before time.Time) {
	expired := 0
	for expired < len(c.limitedSends) && c.limitedSends[expired].Before(before) {
		expired++
	}
	if expired > 0 {
		s.setLimitedSends(c, c.limitedSends[expired:])
	}
}

// updateQuotas stops counting requests that are no longer in the window of their
// upstream's quota, so that peers learn of it, and adapts the acceptance of each limited
// upstream.
func (s *Selector) updateQuotas(now time.Time) {
	for _, c := range s.candidates {
		if limit := s.config.RateLimit(c.upstream); limit.IsActive {
			quota := newQuota(limit)
			s.forgetLimitedSends(c, now.Add(-quota.window))
			c.adaptAcceptance(quota)
		} else {
			s.setLimitedSends(c, nil)
			c.acceptance = 1
		}
	}
}

// setLimitedSends replaces the times of the requests that count towards the quota.
func (s *Selector) setLimitedSends(c *candidate, sends []time.Time) {
	c.limitedSends = sends
	if c.ownLoad.LimitedSends != len(sends) {
		c.ownLoad.LimitedSends = len(sends)
		s.markChanged(c)
	}
}

// RateLimitDelay returns the time in which one of the limited upstreams that could
// serve a request accepts the next one, or 0 if none is limited.
func (s *Selector) RateLimitDelay(request *Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fastest time.Duration
	for _, c := range s.byService[request.Service] {
		if request.Model != "" && !c.upstream.Serves(request.Model, request.Adapter) {
			continue
		}
		if limit := s.config.RateLimit(c.upstream); limit.IsActive {
			quota := newQuota(limit)
			delay := quota.window / time.Duration(quota.requests)
			if fastest == 0 || delay < fastest {
				fastest = delay
			}
		}
	}
	return fastest
}
