package hosted

import (
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/coordination/elector"
	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/coordination/observer"
	"github.com/crocushollow/crocushollow/coordination/planner"
	"github.com/crocushollow/crocushollow/platform"
	"github.com/crocushollow/crocushollow/protocol/bounder"
	"github.com/crocushollow/crocushollow/protocol/proxy"
	"github.com/crocushollow/crocushollow/state/allotter"
	"github.com/crocushollow/crocushollow/state/budgeter"
	"github.com/crocushollow/crocushollow/state/equalizer"
	"github.com/crocushollow/crocushollow/state/estimator"
	"github.com/crocushollow/crocushollow/state/hedger"
	"github.com/crocushollow/crocushollow/state/selector"
)

// assembleControlPlane builds the parts that coordinate with peers, the platform and
// engines.
func (i *Instance) assembleControlPlane(store *platform.Store, link gossiper.Link) {
	bounds := &i.settings.Bounds
	i.selector = selector.New(selector.Config{
		AvailabilityZone: i.self.AvailabilityZone,
		ColdRateShare:    i.coldRateShare,
		OnLoadChange:     func() { signal(i.loadChanged) },
		OnHealthChange:   i.reporter.HealthChanged,
		RateLimit:        i.throttler.Limit,
		QuotaShare:       i.quotaShare,
		IsPinnable:       i.isPinnable,
		RandFloat64:      rand.Float64,
	})
	i.site = newSiteTracker(i.selector, time.Now)
	i.observer = observer.New(observer.Config{
		Operators: platform.NewOperatorFeed(store),
		Upstreams: platform.NewUpstreamFeed(store, time.Now),
		OnChange:  i.site.setView,
		IsWatcher: i.isWatcher,
		ReadDelay: i.readDelay,
		Relay:     i.relayBatch,
		Logger:    i.logger,
		Now:       time.Now,
	})
	i.gossiper = gossiper.New(gossiper.Config{
		Self:            i.self,
		Link:            link,
		Registry:        platform.NewInstanceRegistry(store),
		BuildHeartbeat:  i.buildHeartbeat,
		OnHeartbeat:     i.handleHeartbeat,
		OnSums:          i.handleSums,
		OnSourceRemoved: i.removeSource,
		Logger:          i.logger,
		Now:             time.Now,
	})
	i.assembleOrigins(store)
	i.elector = elector.New(elector.Config{
		Group:         platform.NewConsumerGroup(store, i.self.Instance),
		TTL:           max(time.Duration(i.settings.Store.MinTTL), minGroupTTL),
		TakeoverDelay: time.Duration(bounds.Lease) + leaseMargin,
		IsFirstStart:  i.settings.Instance.FirstStart,
		Clock:         timeSinceBoot,
		IsCandidate:   i.isCandidate,
		Logger:        i.logger,
	})
	i.assembleEngineClients()
	i.planner = planner.New(planner.Config{
		Engines:          i.orders,
		Leadership:       i.elector,
		Site:             i.plannedSite,
		Demand:           i.demand.total,
		PublishPlacement: i.publishPlacement,
		Logger:           i.logger,
		Now:              time.Now,
	})
}

// assembleEngineClients builds the clients of upstreams.
func (i *Instance) assembleEngineClients() {
	egressConfig := platform.EgressConfig{
		DialTimeout:             dialTimeout,
		IdleTimeout:             upstreamIdleTimeout,
		TCPUserTimeout:          tcpUserTimeout,
		MaxIdleConnsPerUpstream: maxIdlePerUpstream,
	}
	i.egress = platform.NewEgress(egressConfig)
	buffered := bounder.NewBudget(i.memory() / bufferedMemoryDivisor)
	i.engines = platform.NewEngineClient(i.self.Instance, egressConfig, buffered)
	egressConfig.IdleTimeout = orderIdleTimeout
	i.orders = platform.NewEngineClient(i.self.Instance, egressConfig, buffered)
}

// assembleDataPlane builds the parts that serve calls.
func (i *Instance) assembleDataPlane() {
	bounds := &i.settings.Bounds
	instanceCount := func() int { return i.gossiper.Fleet().Size }
	i.allotter = allotter.New(allotter.Config{
		Window:        time.Duration(bounds.QuotaWindow),
		Slack:         bounds.QuotaSlack,
		InstanceCount: instanceCount,
		IsFirstStart:  i.settings.Instance.FirstStart,
		StartTime:     i.startedAt,
		RandFloat64:   rand.Float64,
	})
	i.equalizer = equalizer.New()
	i.proxy = proxy.New(proxy.Config{
		Catalog:  i.site.catalog,
		Selector: i.selector,
		Allotter: i.allotter,
		Budgeter: budgeter.New(budgeter.Config{
			RetryRatio:   bounds.RetryRatio,
			ExtraRetries: bounds.RetryExtra,
			Window:       time.Duration(bounds.RetryWindow),
			Instances:    instanceCount,
			StartTime:    i.startedAt,
		}),
		Hedger: hedger.New(hedger.Config{
			MaxExtra:   i.settings.Hedging.MaxExtra,
			Percentile: i.settings.Hedging.Percentile,
			Window:     time.Duration(bounds.RetryWindow),
			StartTime:  i.startedAt,
		}),
		Quarantiner: i.quarantiner,
		Parts:       i.parts,
		Throttler:   i.throttler,
		Estimator:   estimator.New(),
		Equalizer:   i.equalizer,
		Shutdown:    i.shutdownState,
		Sender:      i.egress,
		Origins:     i.origins,
		HasEnded:    i.engines.HasEnded,

		ConfirmIncarnation: i.engines.ConfirmIncarnation,

		AreRegistrationsCurrent: i.site.areRegistrationsCurrent,

		RequestAdapter: i.requestAdapter,
		AddDemand:      i.demand.add,
		RecordUsage:    i.recordUsage,
		Observer:       i.reporter,
		Now:            time.Now,

		MaxBufferedBytes: i.memory() / bufferedMemoryDivisor,
	})
	i.site.onChange = i.handleSiteChange
}

// memory returns the memory of the machine in bytes.
func (i *Instance) memory() int64 {
	memory := i.settings.Limits.MemoryMB
	if memory <= 0 {
		memory = defaultMemoryMB
	}
	return memory << 20
}

// registerGauges registers the metrics whose values are read when they are scraped.
func (i *Instance) registerGauges(store *platform.Store) {
	gauges := map[string]func() float64{
		"crocushollow_table_version": func() float64 {
			if table := i.site.catalog(); table != nil {
				return float64(table.Version())
			}
			return 0
		},
		"crocushollow_table_age_seconds": func() float64 {
			return time.Since(i.site.current.Load().view.OperatorsReadAt).Seconds()
		},
		"crocushollow_upstreams_age_seconds": func() float64 {
			return time.Since(i.site.current.Load().view.UpstreamsReadAt).Seconds()
		},
		"crocushollow_ready_peers": func() float64 { return float64(len(i.gossiper.Fleet().Ready)) },
		"crocushollow_is_aggregator": func() float64 {
			if i.gossiper.Fleet().IsAggregator {
				return 1
			}
			return 0
		},
		"crocushollow_pinned_streams":    func() float64 { return float64(i.origins.pinner.Len()) },
		"crocushollow_store_era":         func() float64 { return float64(store.Era()) },
		"crocushollow_limited_upstreams": func() float64 { return float64(i.throttler.ActiveLimits()) },
		"crocushollow_ejected_upstreams": func() float64 { return float64(i.selector.EjectedUpstreams()) },
		"crocushollow_slow_upstreams":    func() float64 { return float64(i.selector.SlowUpstreams(time.Now())) },
		"crocushollow_length_discount":   func() float64 { return i.equalizer.HighestDiscount() },
		"crocushollow_planning_fence":    func() float64 { return float64(i.elector.LeaderToken()) },
	}
	for name, read := range gauges {
		i.reporter.set.NewGauge(name, read)
	}
}

// isCandidate reports whether this instance should campaign for planner leadership.
func (i *Instance) isCandidate() bool {
	fleet := i.gossiper.Fleet()
	return i.campaign.ShouldCampaign(fleet.Rank, fleet.PlannerAddress != "", time.Now())
}

// timeSinceBoot returns the time since the machine booted, including the time that
// it was suspended. If that clock cannot be read, it returns the Unix time.
func timeSinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(now.Nano())
}

// coldRateShare returns the number of requests per second that this instance may
// send to a cold upstream. If the limit is smaller than the number of instances,
// those that rank first for the upstream may send one each.
func (i *Instance) coldRateShare(service *catalog.Service, upstream string) int {
	bounds := i.bounds.Load()
	limit := int(usableColdFraction * (service.ColdRateLimit*bounds.ColdOvershoot + bounds.ColdSlack))
	fleet := i.gossiper.Fleet()
	if share := limit / max(fleet.Size, 1); share > 0 {
		return share
	}
	if rendezvousRank(i.self.Instance, fleet.Names, upstream) < limit {
		return 1
	}
	return 0
}

// usableColdFraction is the fraction of the rate limit of a cold upstream that is
// used. The rest covers requests that take longer to arrive than others, so that
// more of them reach the upstream within a second than were sent in it.
const usableColdFraction = 0.8
