// Package daemon builds and runs an instance that coordinates with its peers through
// the platform's log.
package daemon

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/controller"
	"github.com/crocushollow/crocushollow/coordination/publisher"
	"github.com/crocushollow/crocushollow/protocol/admitter"
	"github.com/crocushollow/crocushollow/protocol/authenticator"
	"github.com/crocushollow/crocushollow/protocol/bounder"
	"github.com/crocushollow/crocushollow/protocol/dispatcher"
	"github.com/crocushollow/crocushollow/protocol/executor"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/detector"
	"github.com/crocushollow/crocushollow/state/historian"
	"github.com/crocushollow/crocushollow/state/limiter"
	"github.com/crocushollow/crocushollow/state/placer"
	"github.com/crocushollow/crocushollow/state/scheduler"
	"github.com/crocushollow/crocushollow/transport/acceptor"
	"github.com/crocushollow/crocushollow/transport/connector"
	"github.com/crocushollow/crocushollow/transport/console"
	"github.com/crocushollow/crocushollow/transport/forwarder"
	"github.com/crocushollow/crocushollow/transport/gateway"
	"github.com/crocushollow/crocushollow/transport/messenger"
	"github.com/crocushollow/crocushollow/transport/recorder"
)

// Daemon is one instance.
type Daemon struct {
	settings Settings
	logger   zerolog.Logger
	version  string
	done     chan struct{}
	// stateChanged has one element while enforceRevocations has not checked the newest
	// state.
	stateChanged chan struct{}

	quotas         *limiter.Registry
	detector       *detector.Detector
	historian      *historian.Historian
	recorder       *recorder.Recorder
	activeRequests *authenticator.ActiveRequests
	peers          *messenger.Client
	forwarder      *forwarder.Forwarder
	publisher      *publisher.Publisher
	// directPublisher appends the records of peers. It appends to the log directly and
	// never through another relay.
	directPublisher *publisher.Publisher
	controller      *controller.Controller
	dispatcher      *dispatcher.Dispatcher
	gateway         *gateway.Gateway
	// callerConnections bounds the connections of callers.
	callerConnections *acceptor.Keeper
	console           *console.Console
}

// New returns an instance that is not running.
func New(settings Settings, logger zerolog.Logger, version string) *Daemon {
	d := &Daemon{
		settings:       settings,
		logger:         logger.With().Str("instance", settings.Instance.ID).Logger(),
		version:        version,
		done:           make(chan struct{}),
		stateChanged:   make(chan struct{}, 1),
		quotas:         limiter.NewRegistry(),
		detector:       detector.New(time.Now),
		historian:      historian.New(),
		recorder:       recorder.New(),
		activeRequests: authenticator.NewActiveRequests(),
		peers:          messenger.NewClient(settings.sourceAddr()),
	}
	d.assembleControlPlane()
	d.assembleDataPlane()
	d.registerGauges()
	return d
}

// Done returns a channel that is closed when Run has returned.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// maxBatchBytes is the maximum size of an append to the log. A part of a snapshot
// fits into it.
const maxBatchBytes = 1 << 20

// assembleControlPlane builds the controller and the publishers.
func (d *Daemon) assembleControlPlane() {
	s := d.settings
	log := connector.NewLogClient(s.Platform.Log, s.sourceAddr())
	appender := &relayAppender{log: log, peers: d.peers}
	d.publisher = d.newPublisher(appender)
	d.directPublisher = d.newPublisher(log)
	d.controller = controller.New(controller.Config{
		Member: crocushollow.Member{
			ID:               s.Instance.ID,
			CallerAddress:    cmp.Or(s.Advertise.Callers, s.Listen.Callers),
			PeerAddress:      cmp.Or(s.Advertise.Peers, s.Listen.Peers),
			AvailabilityZone: s.Instance.AvailabilityZone,
		},
		Timing:            s.controllerTiming(),
		Log:               log,
		Publisher:         d.publisher,
		Peers:             d.peers,
		Engines:           connector.NewEngineClient(s.sourceAddr()),
		Lister:            connector.NewInstanceRegistryClient(s.Platform.Instances, s.sourceAddr()),
		Detector:          d.detector,
		Quotas:            d.quotas,
		Planner:           s.placementPlanner(),
		Demand:            func() placer.Demand { return d.dispatcher.Demand() },
		OnStateChange:     d.handleStateChange,
		OnEditsApplied:    d.historian.Add,
		LogReadersPerZone: s.Timing.LogReadersPerZone,
		MonitoredMembers:  s.Timing.MonitoredMembers,
		StaticPartitions:  s.staticPartitions(),
		Logger:            d.logger,
	})
	appender.view = d.controller.View
}

func (d *Daemon) newPublisher(appender publisher.Appender) *publisher.Publisher {
	return publisher.New(publisher.Config{
		Appender:          appender,
		Confirmer:         lazyConfirmer{d},
		AppendTimeout:     4 * time.Duration(d.settings.Timing.CallTimeout),
		MaxBatchBytes:     maxBatchBytes,
		MinAppendInterval: func() time.Duration { return minAppendInterval(d.controller.View()) },
	})
}

// assembleDataPlane builds the parts that serve callers, and the console of operators.
func (d *Daemon) assembleDataPlane() {
	s := d.settings
	d.forwarder = forwarder.New(forwarder.Config{
		SourceAddress:           s.sourceAddr(),
		DialTimeout:             300 * time.Millisecond,
		ChunkTimeout:            time.Duration(s.Calls.ChunkTimeout),
		MaxIdleConnsPerUpstream: 64,
		IdleConnTimeout:         30 * time.Second,
	})
	d.dispatcher = dispatcher.New(dispatcher.Config{
		State:            func() *applier.State { return d.controller.View().State },
		Limits:           d.quotas,
		LimitClient:      d.controller,
		Health:           d.detector,
		Policy:           s.routingPolicy(),
		NewQueue:         s.newQueue,
		AvailabilityZone: s.Instance.AvailabilityZone,
		MaxWait: map[scheduler.Class]time.Duration{
			scheduler.Interactive: time.Duration(s.Calls.InteractiveWait),
			scheduler.Batch:       time.Duration(s.Calls.BatchWait),
		},
	})
	exec := executor.New(executor.Config{
		View:             d.controller.View,
		Admitter:         admitter.New(d.quotas, d.controller),
		Dispatcher:       d.dispatcher,
		Sender:           d.forwarder,
		Health:           d.detector,
		Publisher:        d.publisher,
		Recorder:         d.recorder,
		Logger:           d.logger,
		FirstByteTimeout: time.Duration(s.Calls.FirstByteTimeout),
		CallerTimeout:    time.Duration(s.Calls.CallerTimeout),
		MaxAttempts:      s.Calls.MaxAttempts,
		MaxResponseBytes: s.Calls.MaxResponseBytes,
		MaxBufferedBytes: s.Calls.MaxBufferedBytes,
		MaxStoredBytes:   s.Calls.MaxStoredBytes,
	})
	d.assembleGateway(exec)
	d.console = console.New(console.Config{
		Controller:   d.controller,
		Prober:       d.peers,
		Historian:    d.historian,
		Detector:     d.detector,
		Quotas:       d.quotas,
		WriteMetrics: d.recorder.WriteMetrics,
		Operators:    s.operators(),
		Version:      d.version,
		EditTimeout:  10 * time.Second,
	})
}

// assembleGateway builds the part that serves callers.
func (d *Daemon) assembleGateway(exec *executor.Executor) {
	s := d.settings
	d.callerConnections = acceptor.NewKeeper(acceptor.KeeperConfig{
		MaxConnections: s.Calls.MaxConnections,
		OnClose:        func(cause acceptor.Cause) { d.recorder.ConnectionClosed(string(cause)) },
	})
	d.gateway = gateway.New(gateway.Config{
		Bodies:         bounder.NewIntake(s.Calls.MaxIntakeBytes),
		Connections:    d.callerConnections,
		View:           d.controller.View,
		Executor:       exec,
		ActiveRequests: d.activeRequests,
		Recorder:       d.recorder,
		Logger:         d.logger.Sample(&zerolog.BurstSampler{Burst: 50, Period: time.Second}),
		MaxBodyBytes:   s.Calls.MaxBodyBytes,
		BodyTimeout:    time.Duration(s.Calls.BodyTimeout),
		Discovery:      gateway.DiscoveryConfig{TTL: time.Duration(s.Discovery.TTL), SubsetSize: s.Discovery.Subset},
	})
}

// registerGauges registers the metrics whose values are read when they are scraped.
func (d *Daemon) registerGauges() {
	d.recorder.RegisterGauge("crocushollow_log_offset", func() float64 { return float64(d.controller.View().State.NextOffset()) })
	d.recorder.RegisterGauge("crocushollow_log_age_seconds", func() float64 {
		return time.Since(d.controller.View().UpToDateAt).Seconds()
	})
	d.recorder.RegisterGauge("crocushollow_members", func() float64 { return float64(d.controller.View().State.MemberCount()) })
	d.recorder.RegisterGauge("crocushollow_requests_in_flight", func() float64 { return float64(d.gateway.InFlight()) })
	d.recorder.RegisterGauge("crocushollow_peer_bytes_total", func() float64 { return float64(messenger.BytesTransferred()) })
}

// lazyConfirmer confirms records through the daemon's controller. It lets a publisher
// be created before the controller, which needs the publisher.
type lazyConfirmer struct {
	daemon *Daemon
}

// ConfirmApplied implements publisher.Confirmer.
func (c lazyConfirmer) ConfirmApplied(ctx context.Context, id crocushollow.ID) (bool, error) {
	return c.daemon.controller.ConfirmApplied(ctx, id)
}

// handleStateChange makes the dispatcher and enforceRevocations check the new state.
func (d *Daemon) handleStateChange() {
	d.dispatcher.Wake()
	select {
	case d.stateChanged <- struct{}{}:
	default:
	}
}

// isolationGrace is how long after its lease has expired an instance lets requests run
// whose API keys may have been withdrawn.
const isolationGrace = 2 * time.Second

// leaseCheckInterval is the time between two checks of the lease.
const leaseCheckInterval = 100 * time.Millisecond

// enforceRevocations cancels the requests whose API key is withdrawn. Once the lease
// has expired, the instance may miss withdrawals. It therefore cancels all requests
// that run with an API key after isolationGrace.
func (d *Daemon) enforceRevocations(ctx context.Context) {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	var checkedTable *crocushollow.Table
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.stateChanged:
		}
		view := d.controller.View()
		if table := view.State.Table(); table != checkedTable {
			checkedTable = table
			d.activeRequests.CancelWithdrawn(table)
			d.recorder.RemoveStaleSeries(table)
		}
		if !view.LeaseExpiresAt.IsZero() && time.Since(view.LeaseExpiresAt) > isolationGrace {
			d.activeRequests.CancelAll()
		}
	}
}

// Listeners holds the open listeners of an instance.
type Listeners struct {
	Callers   net.Listener
	Peers     net.Listener
	Operators net.Listener
}

// Listen opens listeners at the addresses of the settings. If one fails, it closes the
// others and returns the error.
func Listen(ctx context.Context, settings ListenSettings) (Listeners, error) {
	var config net.ListenConfig
	var listeners Listeners
	var errs [3]error
	listeners.Callers, errs[0] = acceptor.Listen(ctx, settings.Callers, net.KeepAliveConfig{})
	listeners.Peers, errs[1] = config.Listen(ctx, "tcp", settings.Peers)
	listeners.Operators, errs[2] = config.Listen(ctx, "tcp", settings.Operators)
	if err := errors.Join(errs[:]...); err != nil {
		listeners.Close()
		return Listeners{}, err
	}
	return listeners, nil
}

// Close closes the open listeners.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Callers, l.Peers, l.Operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Limits of the connections of callers and operators.
const (
	readHeaderTimeout = 5 * time.Second
	keepAliveTimeout  = 75 * time.Second
	maxHeaderBytes    = 32 << 10
)

// Run serves until stop or ctx ends. The end of stop begins a graceful shutdown, and
// the end of ctx stops the instance at once.
func (d *Daemon) Run(ctx, stop context.Context, listeners Listeners) error {
	defer close(d.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peerServer, err := messenger.NewServer(peerHandler{Controller: d.controller, daemon: d})
	if err != nil {
		return err
	}
	callers := newServer(d.gateway)
	d.callerConnections.Observe(callers)
	operators := newServer(d.console)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serve(callers, listeners.Callers) })
	group.Go(func() error { return serve(operators, listeners.Operators) })
	group.Go(func() error { return peerServer.Serve(ctx, listeners.Peers) })
	group.Go(func() error { d.controller.Run(ctx); return nil })
	group.Go(func() error { d.publisher.Run(ctx); return nil })
	group.Go(func() error { d.directPublisher.Run(ctx); return nil })
	group.Go(func() error { d.dispatcher.Run(ctx); return nil })
	group.Go(func() error { d.enforceRevocations(ctx); return nil })
	group.Go(func() error {
		select {
		case <-stop.Done():
			d.shutDown(ctx, callers, listeners.Callers)
		case <-ctx.Done():
		}
		cancel()
		_ = callers.Close()
		_ = operators.Close()
		return nil
	})
	d.logger.Info().Str("callers", listeners.Callers.Addr().String()).Str("version", d.version).Msg("instance started")
	err = group.Wait()
	d.peers.Close()
	d.forwarder.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// serve runs a server. It returns nil once the server is shut down.
func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// shutDown shuts the instance down gracefully. It removes the instance from service
// discovery and waits until callers no longer use cached responses that contain it.
// Then it waits for the requests in flight and returns the quotas.
func (d *Daemon) shutDown(ctx context.Context, callers *http.Server, listener net.Listener) {
	d.logger.Info().Msg("shutdown begins")
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Shutdown.Grace))
	defer cancel()
	drainCtx, cancelDrain := context.WithTimeout(ctx, time.Duration(d.settings.Discovery.TTL))
	if err := d.controller.BeginDrain(drainCtx); err != nil {
		d.logger.Warn().Err(err).Msg("drain not recorded in the log")
	}
	cancelDrain()
	sleep(ctx, time.Duration(d.settings.Discovery.TTL)+time.Duration(d.settings.Timing.Lease))
	if err := acceptor.Drain(ctx, listener); err != nil {
		d.logger.Warn().Err(err).Msg("connections that wait to be accepted may be reset")
	}
	if err := callers.Shutdown(ctx); err != nil {
		d.logger.Warn().Err(err).Int64("in_flight", d.gateway.InFlight()).Msg("grace period expired with requests in flight")
	}
	leaveCtx, cancelLeave := context.WithTimeout(ctx, 5*time.Duration(d.settings.Timing.Lease))
	defer cancelLeave()
	if err := d.controller.Leave(leaveCtx); err != nil {
		d.logger.Warn().Err(err).Msg("quotas not returned; peers reclaim them after the lease expires")
	}
	d.logger.Info().Msg("shutdown complete")
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
