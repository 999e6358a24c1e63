package hosted

import "github.com/crocushollow/crocushollow/state/throttler"

// logRateLimit logs that an upstream has changed or ended its rate limit.
func (i *Instance) logRateLimit(statement throttler.Statement) {
	i.logger.Warn().Str("upstream", statement.Upstream).Int64("start", statement.StartUnixMilli).
		Bool("limited", statement.Limit.IsActive).Float64("requests_per_second", statement.Limit.PerSecond).
		Msg("rate limit of upstream changed")
}
