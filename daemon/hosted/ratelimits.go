package hosted

import (
	"context"
	"time"

	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/coordination/planner"
	"github.com/crocushollow/crocushollow/state/selector"
	"github.com/crocushollow/crocushollow/state/throttler"
)

// rateLimitReportInterval is the time between two reports about the rate limits of
// upstreams. News is reported at once.
const rateLimitReportInterval = 500 * time.Millisecond

// broadcastRateLimits tells all peers about the rate limits of upstreams. In an aggregated
// fleet only aggregators repeat them.
func (i *Instance) broadcastRateLimits(ctx context.Context) error {
	ticker := time.NewTicker(rateLimitReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-i.rateLimitsChanged:
		case <-ticker.C:
		}
		fleet := i.gossiper.Fleet()
		statements := i.throttler.Report(!fleet.IsAggregated || fleet.IsAggregator, time.Now())
		if len(statements) == 0 {
			continue
		}
		heartbeat := gossiper.NewPartial()
		heartbeat.RateLimits = statements
		i.gossiper.Broadcast(heartbeat)
	}
}

// quotaShare returns the part of this instance and its peers in the requests to an upstream.
func (i *Instance) quotaShare(upstream string, requests int) selector.QuotaShare {
	return divideQuota(i.self.Instance, i.gossiper.Fleet(), upstream, requests)
}

// divideQuota divides a number of requests to an upstream among the instances. What does
// not divide evenly goes to the instances that rank first for the upstream.
func divideQuota(self string, fleet *gossiper.Fleet, upstream string, requests int) selector.QuotaShare {
	size := max(fleet.Size, 1)
	share := selector.QuotaShare{Own: requests / size}
	if rendezvousRank(self, fleet.Names, upstream) < requests%size {
		share.Own++
	}
	heard := len(fleet.Alive) + 1
	share.Reachable = max((requests*heard+size/2)/size, share.Own)
	return share
}

// plannedSite returns the site that the planner works on.
func (i *Instance) plannedSite() planner.Site {
	site := i.site.registeredSite()
	site.LeavingUpstreams = i.selector.LeavingUpstreams()
	if i.throttler.ActiveLimits() == 0 {
		return site
	}
	site.LimitedUpstreams = make(map[string]bool)
	for id, upstream := range site.Upstreams {
		site.LimitedUpstreams[id] = i.throttler.Limit(upstream).IsActive
	}
	return site
}

// isRegistered reports whether an incarnation of an upstream is registered.
func (i *Instance) isRegistered(upstream string, startUnixMilli int64) bool {
	registered := i.site.current.Load().upstreams[upstream]
	return registered != nil && registered.StartUnixMilli == startUnixMilli
}

// logRateLimit logs that an upstream has changed or ended its rate limit.
func (i *Instance) logRateLimit(statement throttler.Statement) {
	i.logger.Warn().Str("upstream", statement.Upstream).Int64("start", statement.StartUnixMilli).
		Uint32("version", statement.Version).Bool("limited", statement.Limit.IsActive).
		Float64("requests_per_second", statement.Limit.PerSecond).Msg("rate limit of upstream changed")
}
