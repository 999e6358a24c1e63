// Package hosted builds and runs an instance on the operators' platform. The instance
// coordinates with its peers through heartbeats and the platform's store.
package hosted

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/coordination/dutyholder"
	"github.com/crocushollow/crocushollow/coordination/elector"
	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/coordination/observer"
	"github.com/crocushollow/crocushollow/coordination/planner"
	"github.com/crocushollow/crocushollow/coordination/registrar"
	"github.com/crocushollow/crocushollow/platform"
	"github.com/crocushollow/crocushollow/protocol/bounder"
	"github.com/crocushollow/crocushollow/protocol/proxy"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/state/allotter"
	"github.com/crocushollow/crocushollow/state/equalizer"
	"github.com/crocushollow/crocushollow/state/quarantiner"
	"github.com/crocushollow/crocushollow/state/resolver"
	"github.com/crocushollow/crocushollow/state/selector"
	"github.com/crocushollow/crocushollow/state/throttler"
	"github.com/crocushollow/crocushollow/transport/acceptor"
)

// Timing and limits of an instance.
const (
	// discoveryTTL is how long callers may cache the addresses of instances. Some
	// cache them for three times as long, addressLifetime, which must fit into drainDelay
	// and into the grace period of a shutdown.
	discoveryTTL    = time.Second
	addressLifetime = 3 * discoveryTTL
	// signalDelay is how late a busy instance may handle SIGTERM. As this instance counts,
	// callers that learn of the stop from others have moved so much earlier, and the grace
	// period ends so much earlier.
	signalDelay = 300 * time.Millisecond
	// drainDelay is how long the instance accepts new connections after a shutdown has
	// begun.
	drainDelay = 3500 * time.Millisecond
	// requestReadDelay is the time from accepting a connection until its first request is
	// read.
	requestReadDelay = 100 * time.Millisecond
	// lingerTime is how long an instance rejects calls before it stops, so that those on
	// connections accepted until then get a response.
	lingerTime = 200 * time.Millisecond
	// idlePollInterval is the time between two checks whether all calls have ended.
	idlePollInterval = 20 * time.Millisecond
	// drainRetryAfter and restartRetryAfter are the times after which a caller may retry
	// a request that an instance rejects while it shuts down: if another instance is
	// ready, and if none is.
	drainRetryAfter   = 50 * time.Millisecond
	restartRetryAfter = time.Second
	// minReadyPerDraining is the number of ready instances for each one that shuts down from
	// which on the retry of a rejected call is taken to reach a ready one.
	minReadyPerDraining = 10
	// killMargin is the time between the end of a graceful shutdown and the end of
	// the grace period, when the process is killed. All that is left to do then is to end
	// the calls in flight and to write the log.
	killMargin = 150 * time.Millisecond
	// earlyDivisor is the inverse of the fraction of the grace period in which calls are
	// accepted of whose route little is known.
	earlyDivisor = 4
	// abortTimeout bounds the wait for aborted calls to end.
	abortTimeout = 100 * time.Millisecond
	// leaseMargin covers the network latency of an order.
	leaseMargin = 150 * time.Millisecond
	// dialTimeout bounds the opening of a connection to an upstream. It is many
	// times the round-trip time of 2.8 ms.
	dialTimeout = 250 * time.Millisecond
	// upstreamIdleTimeout is how long an idle connection to an upstream is kept.
	upstreamIdleTimeout = 4 * time.Second
	// orderIdleTimeout is how long an idle connection for orders is kept. Only the planner
	// leader has some, and an engine gets an order every few seconds.
	orderIdleTimeout = 20 * time.Second
	// tcpUserTimeout is how long bytes sent to an upstream may remain
	// unacknowledged.
	tcpUserTimeout = time.Second
	// maxIdlePerUpstream is the maximum number of idle connections to one upstream.
	maxIdlePerUpstream = 16
	// readHeaderTimeout bounds the time that a caller takes to send the request
	// header, and keepAliveTimeout the time that a caller's connection stays idle.
	// They are above the operators' limits of 3 s and 15 s.
	readHeaderTimeout = 5 * time.Second
	keepAliveTimeout  = 20 * time.Second
	// maxHeaderBytes is above the operators' limit of 16 KiB.
	maxHeaderBytes = 32 << 10
	// maxReportedCrashes is the maximum number of crashes, and of completions, in a heartbeat.
	maxReportedCrashes = 8
	// bufferedMemoryDivisor is the inverse of the fraction of the memory that the responses
	// to calls may use, and of that for responses to orders and reports. defaultMemoryMB is
	// the memory if the settings give none.
	bufferedMemoryDivisor = 8
	defaultMemoryMB       = 256
	// minGroupTTL is the minimum time after which a silent planner leader is
	// replaced.
	minGroupTTL = 1500 * time.Millisecond
)

// Instance is an instance that runs on the operators' platform.
type Instance struct {
	settings Settings
	// bounds holds the bounds of the last loaded settings.
	bounds    atomic.Pointer[BoundSettings]
	logger    zerolog.Logger
	startedAt time.Time
	done      chan struct{}
	draining  atomic.Bool
	// shutdown is nil before the shutdown.
	shutdown atomic.Pointer[shutdownTimes]
	// calls admits calls until the instance stops. Those in flight end once aborted is done.
	calls   callGate
	aborted context.Context
	abort   context.CancelFunc
	// loadChanged has one element while this instance's load on upstreams has
	// changes that are not broadcast yet.
	loadChanged chan struct{}
	// partsChanged has one element while there is news about prompt parts that crash
	// upstreams.
	partsChanged chan struct{}
	// rateLimitsChanged has one element while there is news about the rate limits of
	// upstreams.
	rateLimitsChanged chan struct{}
	// limitsTableVersion is the version of the table whose limits the allotter
	// uses. Only handleSiteChange accesses it, whose calls do not overlap.
	limitsTableVersion int64

	self        gossiper.Peer
	site        *siteTracker
	selector    *selector.Selector
	allotter    *allotter.Allotter
	equalizer   *equalizer.Equalizer
	quarantiner *quarantiner.Quarantiner
	parts       *quarantiner.PartQuarantiner
	throttler   *throttler.Throttler
	registrar   *registrar.Registrar
	origins     *streamOrigins
	demand      *demandMeter
	reporter    *reporter
	observer    *observer.Observer
	gossiper    *gossiper.Gossiper
	elector     *elector.Elector
	campaign    *elector.CampaignPolicy
	planner     *planner.Planner
	// usage is nil unless the operators want usage reports.
	usage *usageDuty
	// scale is nil unless the operators want this fleet to order engines.
	scale  *dutyholder.ScaleHolder
	proxy  *proxy.Proxy
	egress *platform.Egress
	// engines checks engines for calls, and orders is the planner's client.
	engines, orders *platform.EngineClient
	// bodies is the memory of callers' bodies, and callerConnections bounds their connections.
	bodies            *bounder.Intake
	callerConnections *acceptor.Keeper
	// assembler is used by the control goroutine of the gossiper only.
	assembler assembler
	// placementQueue holds the placements to send to peers.
	placementQueue *placementQueue
}

// New returns an instance that is not running. The link exchanges datagrams with
// its peers.
func New(settings Settings, link gossiper.Link, logger zerolog.Logger) *Instance {
	i := &Instance{
		settings:          settings,
		logger:            logger.With().Str("instance", settings.Instance.ID).Logger(),
		startedAt:         time.Now(),
		done:              make(chan struct{}),
		loadChanged:       make(chan struct{}, 1),
		partsChanged:      make(chan struct{}, 1),
		rateLimitsChanged: make(chan struct{}, 1),

		placementQueue: newPlacementQueue(),
		demand:         newDemandMeter(time.Now),
		campaign:       elector.NewCampaignPolicy(time.Now()),
		self: gossiper.Peer{
			Instance:         settings.Instance.ID,
			Incarnation:      crocushollow.Incarnation(rand.Uint64() | 1),
			Address:          settings.Listen.Peers,
			CallerAddress:    settings.Listen.Callers,
			AvailabilityZone: settings.Instance.AvailabilityZone,
			Capacity:         settings.Limits.Cores,
		},
	}
	i.aborted, i.abort = context.WithCancel(context.Background())
	i.parts = quarantiner.NewParts(quarantiner.PartsConfig{OnNews: func() { signal(i.partsChanged) }, OnChange: i.logPart, OnTrial: i.logPartTrial})
	i.quarantiner = quarantiner.New(quarantiner.Config{
		IsExplained: func(incarnation quarantiner.Incarnation, fingerprint quarantiner.Fingerprint) bool {
			return i.parts.Explains(uint64(incarnation), uint64(fingerprint))
		},
	})
	i.throttler = throttler.New(throttler.Config{
		IsRegistered: i.isRegistered, OnNews: func() { signal(i.rateLimitsChanged) }, OnChange: i.logRateLimit,
	})
	i.bounds.Store(&settings.Bounds)
	i.reporter = newReporter(i.logger, time.Now)
	store := platform.NewStore(settings.Store.Address)
	i.registerGauges(store)
	i.assembleIntake()
	i.assembleControlPlane(store, link)
	i.assembleDuties(store)
	i.assembleDataPlane()
	return i
}

// Reload applies changed settings. The bounds of cold upstreams and the grace period
// of a shutdown apply at once. Other changes need a restart.
func (i *Instance) Reload(settings Settings) {
	i.bounds.Store(&settings.Bounds)
	// Bounds and Logging are excluded from the comparison.
	normalized := settings
	normalized.Bounds, normalized.Logging = i.settings.Bounds, i.settings.Logging
	i.logger.Info().Bool("needs_start", !reflect.DeepEqual(normalized, i.settings)).Msg("settings reloaded")
}

// Done returns a channel that is closed when Run has returned.
func (i *Instance) Done() <-chan struct{} { return i.done }

// isReady reports whether callers may use this instance.
func (i *Instance) isReady() bool { return !i.draining.Load() && i.site.isComplete() }

// resolve returns the addresses of instances for a caller in an availability zone.
func (i *Instance) resolve(zone string) []string {
	var ready []resolver.Instance
	if i.isReady() {
		ready = append(ready, resolvable(i.self))
	}
	for _, peer := range i.gossiper.Fleet().Ready {
		ready = append(ready, resolvable(peer))
	}
	return resolver.Resolve(ready, zone)
}

func resolvable(peer gossiper.Peer) resolver.Instance {
	return resolver.Instance{Address: peer.CallerAddress, AvailabilityZone: peer.AvailabilityZone, Capacity: peer.Capacity}
}

// errStopping rejects a call that arrives after the last one that the instance serves.
var errStopping = rejecter.New(http.StatusServiceUnavailable, rejecter.InstanceShuttingDown, "the instance is stopping")

// ServeCall implements platform.CallHandler.
func (i *Instance) ServeCall(request *http.Request, call *proxy.Call, caller proxy.ResponseWriter) {
	if !i.calls.enter(request) {
		caller.WriteError(errStopping.WithRetryAfter(i.shutdownState().RetryAfter))
		return
	}
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	stop := context.AfterFunc(i.aborted, func() { cancel(proxy.ErrStopped) })
	defer stop()
	i.proxy.Serve(ctx, call, caller)
}

// requestLimits returns the operators' limits on the requests of callers. They are
// zero until the first table was received.
func (i *Instance) requestLimits() catalog.RequestLimits {
	if table := i.site.catalog(); table != nil {
		return table.Limits()
	}
	return catalog.RequestLimits{}
}

// Run serves until stop or ctx ends. The end of stop begins a graceful shutdown, and
// the end of ctx stops the instance at once.
func (i *Instance) Run(ctx, stop context.Context) error {
	defer close(i.done)
	callers, servers := i.newServers()
	listeners, err := listenAll(ctx, servers)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	electionCtx, stopElection := context.WithCancel(ctx)
	defer stopElection()
	group, ctx := errgroup.WithContext(ctx)
	for server, listener := range listeners {
		group.Go(func() error { return serve(server, listener) })
	}
	group.Go(func() error { return i.observer.Run(ctx) })
	group.Go(func() error { return i.gossiper.Run(ctx) })
	group.Go(func() error { return i.elector.Run(electionCtx) })
	group.Go(func() error { return i.planner.Run(ctx) })
	group.Go(func() error { return i.proxy.Run(ctx) })
	group.Go(func() error { return i.registrar.Run(ctx) })
	group.Go(func() error { return i.runDuties(ctx) })
	group.Go(func() error { return i.origins.run(ctx) })
	group.Go(func() error { return i.broadcastLoadChanges(ctx) })
	group.Go(func() error { return i.broadcastPlacements(ctx) })
	group.Go(func() error { return i.broadcastQuarantines(ctx) })
	group.Go(func() error { return i.broadcastRateLimits(ctx) })
	group.Go(func() error {
		select {
		case <-stop.Done():
			stopElection()
			i.shutDown(ctx, listeners[callers])
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
	i.engines.Close()
	i.orders.Close()
	i.logger.Info().AnErr("cause", err).Msg("instance stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
