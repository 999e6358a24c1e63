// Package hosted assembles an instance that runs on the operators' platform.
package hosted

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/coordination/elector"
	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/coordination/observer"
	"github.com/crocushollow/crocushollow/coordination/planner"
	"github.com/crocushollow/crocushollow/platform"
	"github.com/crocushollow/crocushollow/protocol/proxy"
	"github.com/crocushollow/crocushollow/state/allotter"
	"github.com/crocushollow/crocushollow/state/budgeter"
	"github.com/crocushollow/crocushollow/state/quarantiner"
	"github.com/crocushollow/crocushollow/state/selector"
)

// Timing of the instance.
const (
	// directoryTTL is how long callers may keep the addresses. Some keep them
	// three times as long, which has to fit into the grace of a shutdown.
	directoryTTL = time.Second
	// drainTime is how long callers may still come after a shutdown has begun.
	drainTime = 3500 * time.Millisecond
	// settleTime is how long a connection may take from its acceptance until its
	// request is read.
	settleTime = 100 * time.Millisecond
	// stopMargin is the time before the kill at which the process ends.
	stopMargin = 700 * time.Millisecond
	// leaseMargin covers the way of an order.
	leaseMargin = 150 * time.Millisecond
	// dialTimeout bounds the opening of a connection to an upstream, many times
	// the way there and back of 2.8 ms.
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is how long a connection to an upstream is kept.
	idleTimeout = 4 * time.Second
	// silenceTimeout bounds how long an upstream may leave bytes
	// unacknowledged.
	silenceTimeout = time.Second
	// maxIdlePerUpstream bounds the kept connections to one upstream.
	maxIdlePerUpstream = 16
	// headerTimeout and keepAliveIdle bound what callers may take. They are
	// above the operators' limits of 3 s and 15 s.
	headerTimeout = 5 * time.Second
	keepAliveIdle = 20 * time.Second
	// maxHeaderBytes is above the operators' limit of 16 KiB.
	maxHeaderBytes = 32 << 10
	// maxCrashesTold bounds the crashes in one bulletin.
	maxCrashesTold = 8
	// groupTTL is the least time after which a silent planner is replaced.
	groupTTL = 1500 * time.Millisecond
)

// Instance is an instance on the platform. Done is closed when Run has returned.
type Instance struct {
	settings Settings
	// bounds are those of the settings that were loaded last.
	bounds    atomic.Pointer[BoundSettings]
	logger    zerolog.Logger
	startedAt time.Time
	done      chan struct{}
	leaving   atomic.Bool
	// changed has one element while the own work on upstreams has changed.
	changed chan struct{}
	// limitsVersion is that of the table whose limits the allotter knows. It
	// belongs to siteChanged, which is called one at a time.
	limitsVersion int64

	self      gossiper.Peer
	sites     *siteKeeper
	selector  *selector.Selector
	allotter  *allotter.Allotter
	suspector *quarantiner.Quarantiner
	demand    *demandMeter
	reporter  *reporter
	observer  *observer.Observer
	gossiper  *gossiper.Gossiper
	keeper    *elector.Elector
	candidacy *elector.CampaignPolicy
	orderer   *planner.Planner
	proxy     *proxy.Proxy
	egress    *platform.Egress
	// placements is what the other instances are to be told of engines.
	placements *placementTeller
}

// New assembles an instance. The link takes the other instances' datagrams.
func New(settings Settings, link gossiper.Link, logger zerolog.Logger) *Instance {
	i := &Instance{
		settings:  settings,
		logger:    logger.With().Str("instance", settings.Instance.ID).Logger(),
		startedAt: time.Now(),
		done:      make(chan struct{}),
		changed:   make(chan struct{}, 1),
		suspector: quarantiner.New(),

		placements: newPlacementTeller(),
		demand:     newDemandMeter(time.Now),
		candidacy:  elector.NewCampaignPolicy(time.Now()),
		self: gossiper.Peer{
			Instance:         settings.Instance.ID,
			Incarnation:      crocushollow.Incarnation(rand.Uint64() | 1),
			Address:          settings.Listen.Peers,
			CallerAddress:    settings.Listen.Callers,
			AvailabilityZone: settings.Instance.AvailabilityZone,
			Capacity:         settings.Limits.Cores,
		},
	}
	i.bounds.Store(&settings.Bounds)
	i.reporter = newReporter(i.logger, time.Now)
	i.addGauges()
	store := platform.NewStore(settings.Store.Address)
	i.assembleCoordination(store, link)
	i.assembleTraffic()
	return i
}

// Reload takes settings that have changed. The bounds of cold upstreams and of a
// shutdown are in force at once; what else differs needs a new start.
func (i *Instance) Reload(settings Settings) {
	i.bounds.Store(&settings.Bounds)
	needsStart := settings
	needsStart.Bounds, needsStart.Logging = i.settings.Bounds, i.settings.Logging
	i.logger.Info().Bool("needs_start", needsStart != i.settings).Msg("settings reloaded")
}

// addGauges adds what is read when the metrics are written.
func (i *Instance) addGauges() {
	gauges := map[string]func() float64{
		"crocushollow_table_version": func() float64 {
			if table := i.sites.catalog(); table != nil {
				return float64(table.Version())
			}
			return 0
		},
		"crocushollow_table_age_seconds": func() float64 {
			return time.Since(i.sites.current.Load().view.OperatorsReadAt).Seconds()
		},
		"crocushollow_upstreams_age_seconds": func() float64 {
			return time.Since(i.sites.current.Load().view.UpstreamsReadAt).Seconds()
		},
		"crocushollow_ready_peers":    func() float64 { return float64(len(i.gossiper.Fleet().Ready)) },
		"crocushollow_planning_fence": func() float64 { return float64(i.keeper.LeaderToken()) },
	}
	for name, read := range gauges {
		i.reporter.set.NewGauge(name, read)
	}
}

// Done is closed when Run has returned.
func (i *Instance) Done() <-chan struct{} { return i.done }

func (i *Instance) assembleCoordination(store *platform.Store, link gossiper.Link) {
	bounds := &i.settings.Bounds
	i.selector = selector.New(selector.Config{
		AvailabilityZone: i.self.AvailabilityZone,
		ColdRateShare:    i.coldShare,
		OnLoadChange:     i.loadChanged,
	})
	i.sites = newSiteKeeper(i.selector, time.Now)
	i.observer = observer.New(observer.Config{
		Operators: platform.NewOperatorFeed(store),
		Upstreams: platform.NewUpstreamFeed(store, time.Now),
		OnChange:  i.sites.setView,
		IsWatcher: i.isReader,
		Relay:     i.relay,
		Logger:    i.logger,
		Now:       time.Now,
	})
	i.gossiper = gossiper.New(gossiper.Config{
		Self:           i.self,
		Link:           link,
		Registry:       platform.NewInstanceRegistry(store),
		BuildHeartbeat: i.compose,
		OnHeartbeat:    i.received,
		OnPeerRemoved:  i.peerGone,
		Logger:         i.logger,
		Now:            time.Now,
	})
	i.keeper = elector.New(elector.Config{
		Group:         platform.NewConsumerGroup(store, i.self.Instance),
		TTL:           max(time.Duration(i.settings.Store.MinTTL), groupTTL),
		TakeoverDelay: time.Duration(bounds.Lease) + leaseMargin,
		IsFirstStart:  i.settings.Instance.FirstStart,
		Clock:         bootTime,
		IsCandidate:   i.isCandidate,
		Logger:        i.logger,
	})
	i.egress = platform.NewEgress(platform.EgressConfig{
		DialTimeout:             dialTimeout,
		IdleTimeout:             idleTimeout,
		TCPUserTimeout:          silenceTimeout,
		MaxIdleConnsPerUpstream: maxIdlePerUpstream,
	})
	i.orderer = planner.New(planner.Config{
		Engines:          platform.NewEngineClient(i.self.Instance, i.egress),
		Leadership:       i.keeper,
		Site:             i.sites.announced,
		Demand:           i.demand.total,
		PublishPlacement: i.placed,
		Logger:           i.logger,
		Now:              time.Now,
	})
}

func (i *Instance) assembleTraffic() {
	bounds := &i.settings.Bounds
	instances := func() int { return i.gossiper.Fleet().Size }
	i.allotter = allotter.New(allotter.Config{
		Window:        time.Duration(bounds.QuotaWindow),
		Slack:         bounds.QuotaSlack,
		InstanceCount: instances,
		IsFirstStart:  i.settings.Instance.FirstStart,
		StartTime:     i.startedAt,
		RandFloat64:   rand.Float64,
	})
	i.proxy = proxy.New(proxy.Config{
		Catalog:  i.sites.catalog,
		Selector: i.selector,
		Allotter: i.allotter,
		Budgeter: budgeter.New(budgeter.Config{
			RetryRatio:   bounds.RetryRatio,
			ExtraRetries: bounds.RetryExtra,
			Window:       time.Duration(bounds.RetryWindow),
			Instances:    instances,
			StartTime:    i.startedAt,
		}),
		Suspector:      i.suspector,
		Sender:         i.egress,
		RequestAdapter: i.wantAdapter,
		AddDemand:      i.demand.add,
		Observer:       i.reporter,
		Now:            time.Now,
	})
	i.sites.changed = i.siteChanged
}

// isCandidate reports whether the instance stands for the planning duty.
func (i *Instance) isCandidate() bool {
	fleet := i.gossiper.Fleet()
	return i.candidacy.ShouldCampaign(fleet.Rank, fleet.PlannerAddress != "", time.Now())
}

// bootTime returns the time since the machine's start, with the time that it was
// suspended.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(now.Nano())
}

// coldShare returns the requests that this instance may send to a cold upstream
// within a second. Where the bound is smaller than the fleet, the instances that
// rank first for the upstream may send one each.
func (i *Instance) coldShare(service *catalog.Service, upstream string) int {
	bounds := i.bounds.Load()
	bound := int(coldFraction * (service.ColdRateLimit*bounds.ColdOvershoot + bounds.ColdSlack))
	fleet := i.gossiper.Fleet()
	if even := bound / max(fleet.Size, 1); even > 0 {
		return even
	}
	if rankOf(i.self.Instance, fleet.Names, upstream) < bound {
		return 1
	}
	return 0
}

// coldFraction is the part of the cold bound that is used. The rest covers
// requests that are under way longer than others.
const coldFraction = 0.8

func (i *Instance) isReady() bool { return !i.leaving.Load() && i.sites.catalog() != nil }

// resolve returns the addresses that callers may use.
func (i *Instance) resolve(string) []string {
	var addresses []string
	if i.isReady() {
		addresses = append(addresses, i.self.CallerAddress)
	}
	for _, peer := range i.gossiper.Fleet().Ready {
		addresses = append(addresses, peer.CallerAddress)
	}
	slices.Sort(addresses)
	return addresses
}

// ServeCall implements platform.CallHandler.
func (i *Instance) ServeCall(request *http.Request, call *proxy.Call, caller proxy.ResponseWriter) {
	i.proxy.Serve(request.Context(), call, caller)
}

// limits returns the operators' bounds for callers.
func (i *Instance) limits() catalog.RequestLimits {
	if table := i.sites.catalog(); table != nil {
		return table.Limits()
	}
	return catalog.RequestLimits{}
}

// Run serves until stop ends, which begins a graceful shutdown, or ctx ends,
// which stops at once.
func (i *Instance) Run(ctx, stop context.Context) error {
	defer close(i.done)
	callers := newServer(platform.NewIngress(platform.IngressConfig{
		Handler: i, Limits: i.limits, IsDraining: i.leaving.Load, Now: time.Now,
	}))
	servers := map[string]*http.Server{
		i.settings.Listen.Callers:   callers,
		i.settings.Listen.Readiness: newServer(platform.NewReadinessHandler(i.isReady)),
		i.settings.Listen.Discovery: newServer(platform.NewDiscoveryHandler(i.resolve, directoryTTL)),
	}
	if i.settings.Listen.Metrics != "" {
		servers[i.settings.Listen.Metrics] = newServer(i.reporter)
	}
	listeners, err := listenAll(ctx, servers)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	duty, endDuty := context.WithCancel(ctx)
	defer endDuty()
	group, ctx := errgroup.WithContext(ctx)
	for server, listener := range listeners {
		group.Go(func() error { return serve(server, listener) })
	}
	group.Go(func() error { return i.observer.Run(ctx) })
	group.Go(func() error { return i.gossiper.Run(ctx) })
	group.Go(func() error { return i.keeper.Run(duty) })
	group.Go(func() error { return i.orderer.Run(ctx) })
	group.Go(func() error { return i.proxy.Run(ctx) })
	group.Go(func() error { return i.tellChanges(ctx) })
	group.Go(func() error { return i.tellPlacements(ctx) })
	group.Go(func() error {
		select {
		case <-stop.Done():
			endDuty()
			i.shutDown(ctx, callers, listeners[callers])
		case <-ctx.Done():
		}
		cancel()
		for _, server := range servers {
			_ = server.Close()
		}
		return nil
	})
	i.logger.Info().Str("callers", i.settings.Listen.Callers).Bool("first_start", i.settings.Instance.FirstStart).Msg("instance started")
	err = group.Wait()
	i.egress.Close()
	i.logger.Info().AnErr("cause", err).Msg("instance stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
