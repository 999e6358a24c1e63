package selector

import (
	"time"

	"github.com/crocushollow/crocushollow/catalog"
)

// isCold reports whether an upstream bears only few requests.
func (s *Selector) isCold(c *candidate, service *catalog.Service, now time.Time) bool {
	if service == nil || service.ColdRateLimit <= 0 {
		return false
	}
	back, found := s.site.ZonesBackAt[c.upstream.AvailabilityZone]
	return now.Before(c.upstream.ColdUntil) || found && now.Before(back.Add(service.ColdStart+coldNoticeLag))
}

// coldNoticeLag is how late an upstream's announcement that it is cold may be
// known: a heartbeat and a read of the announcements.
const coldNoticeLag = 1700 * time.Millisecond

// coldWindow is the window in which requests to a cold upstream count.
const coldWindow = time.Second

// mayMeetCold reports whether the cold limit leaves room for a request.
func (s *Selector) mayMeetCold(c *candidate, service *catalog.Service, now time.Time) bool {
	if !s.isCold(c, service, now) {
		return true
	}
	return c.recentColdSends(now) < s.config.ColdShare(service, c.upstream.ID)
}

func (c *candidate) recentColdSends(now time.Time) int {
	for len(c.coldSends) > 0 && now.Sub(c.coldSends[0]) > coldWindow {
		c.coldSends = c.coldSends[1:]
	}
	return len(c.coldSends)
}
