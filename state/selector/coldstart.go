package selector

import (
	"time"

	"github.com/crocushollow/crocushollow/catalog"
)

// isCold reports whether an upstream may be in cold start, when it accepts only
// a limited rate of requests.
func (s *Selector) isCold(c *candidate, service *catalog.Service, now time.Time) bool {
	if service == nil || service.ColdRateLimit <= 0 {
		return false
	}
	restoredAt, found := s.topology.ZonesRestoredAt[c.upstream.AvailabilityZone]
	return now.Before(c.upstream.ColdUntil) || found && now.Before(restoredAt.Add(service.ColdStart+coldReportDelay))
}

// coldReportDelay is the delay until the registration of a cold upstream is
// known: the upstream's heartbeat interval plus one read of the registrations.
const coldReportDelay = 1700 * time.Millisecond

// coldWindow is the sliding window over which requests to a cold upstream are
// limited.
const coldWindow = time.Second

// coldLimitAllows reports whether the cold start limit of an upstream allows
// another request.
func (s *Selector) coldLimitAllows(c *candidate, service *catalog.Service, now time.Time) bool {
	if !s.isCold(c, service, now) {
		return true
	}
	return c.coldSendsInWindow(now) < s.config.ColdRateShare(service, c.upstream.ID)
}

// coldSendsInWindow removes the times of requests older than coldWindow and
// returns the number of those that remain.
func (c *candidate) coldSendsInWindow(now time.Time) int {
	for len(c.coldSends) > 0 && now.Sub(c.coldSends[0]) > coldWindow {
		c.coldSends = c.coldSends[1:]
	}
	return len(c.coldSends)
}
