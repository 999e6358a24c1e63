// Package daemon assembles an instance from its parts and runs it.
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
	"github.com/crocushollow/crocushollow/protocol/dispatcher"
	"github.com/crocushollow/crocushollow/protocol/executor"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/detector"
	"github.com/crocushollow/crocushollow/state/historian"
	"github.com/crocushollow/crocushollow/state/limiter"
	"github.com/crocushollow/crocushollow/state/placer"
	"github.com/crocushollow/crocushollow/state/scheduler"
	"github.com/crocushollow/crocushollow/transport/connector"
	"github.com/crocushollow/crocushollow/transport/console"
	"github.com/crocushollow/crocushollow/transport/forwarder"
	"github.com/crocushollow/crocushollow/transport/gateway"
	"github.com/crocushollow/crocushollow/transport/messenger"
	"github.com/crocushollow/crocushollow/transport/recorder"
)

// Daemon is one instance. Done is closed when Run has returned.
type Daemon struct {
	settings Settings
	logger   zerolog.Logger
	version  string
	done     chan struct{}
	// changed has one element while the guard has a new state to look at.
	changed chan struct{}

	parts     *limiter.Registry
	detector  *detector.Detector
	historian *historian.Historian
	recorder  *recorder.Recorder
	sessions  *authenticator.ActiveRequests
	peers     *messenger.Client
	sender    *forwarder.Forwarder
	publisher *publisher.Publisher
	// relay appends the records of other instances. It never relays them on.
	relay      *publisher.Publisher
	controller *controller.Controller
	dispatcher *dispatcher.Dispatcher
	gateway    *gateway.Gateway
	console    *console.Console
}

// New assembles an instance.
func New(settings Settings, logger zerolog.Logger, version string) *Daemon {
	d := &Daemon{
		settings:  settings,
		logger:    logger.With().Str("instance", settings.Instance.ID).Logger(),
		version:   version,
		done:      make(chan struct{}),
		changed:   make(chan struct{}, 1),
		parts:     limiter.NewRegistry(),
		detector:  detector.New(time.Now),
		historian: historian.New(),
		recorder:  recorder.New(),
		sessions:  authenticator.NewActiveRequests(),
		peers:     messenger.NewClient(settings.source()),
	}
	d.assembleControl()
	d.assembleTraffic()
	d.addGauges()
	return d
}

// Done is closed when Run has returned.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// maxBatchBytes bounds an append to the log. It has room for a part of a
// snapshot.
const maxBatchBytes = 1 << 20

func (d *Daemon) assembleControl() {
	s := d.settings
	log := connector.NewLogClient(s.Platform.Log, s.source())
	appender := &relayAppender{log: log, peers: d.peers}
	d.publisher = d.newPublisher(appender)
	d.relay = d.newPublisher(log)
	d.controller = controller.New(controller.Config{
		Member: crocushollow.Member{
			ID:               s.Instance.ID,
			CallerAddress:    cmp.Or(s.Advertise.Callers, s.Listen.Callers),
			PeerAddress:      cmp.Or(s.Advertise.Peers, s.Listen.Peers),
			AvailabilityZone: s.Instance.AvailabilityZone,
		},
		Timing:            s.timing(),
		Log:               log,
		Publisher:         d.publisher,
		Peers:             d.peers,
		Engines:           connector.NewEngineClient(s.source()),
		Lister:            connector.NewInstanceRegistryClient(s.Platform.Instances, s.source()),
		Detector:          d.detector,
		Quotas:            d.parts,
		Planner:           s.planner(),
		Demand:            func() placer.Demand { return d.dispatcher.Demand() },
		OnStateChange:     d.stateChanged,
		OnEditsApplied:    d.historian.Add,
		LogReadersPerZone: s.Timing.LogReaders,
		MonitoredMembers:  s.Timing.Watched,
		StaticPartitions:  s.evenParts(),
		Logger:            d.logger,
	})
	appender.view = d.controller.View
}

func (d *Daemon) newPublisher(appender publisher.Appender) *publisher.Publisher {
	return publisher.New(publisher.Config{
		Appender:          appender,
		Confirmer:         settler{d},
		AppendTimeout:     4 * time.Duration(d.settings.Timing.CallTimeout),
		MaxBatchBytes:     maxBatchBytes,
		MinAppendInterval: func() time.Duration { return appendInterval(d.controller.View()) },
	})
}

func (d *Daemon) assembleTraffic() {
	s := d.settings
	d.sender = forwarder.New(forwarder.Config{
		SourceAddress:           s.source(),
		DialTimeout:             300 * time.Millisecond,
		ChunkTimeout:            time.Duration(s.Calls.ChunkTimeout),
		MaxIdleConnsPerUpstream: 64,
		IdleConnTimeout:         30 * time.Second,
	})
	d.dispatcher = dispatcher.New(dispatcher.Config{
		State:            func() *applier.State { return d.controller.View().State },
		Limits:           d.parts,
		LimitClient:      d.controller,
		Health:           d.detector,
		Policy:           s.routing(),
		NewQueue:         s.newQueue,
		AvailabilityZone: s.Instance.AvailabilityZone,
		MaxWait: map[scheduler.Class]time.Duration{
			scheduler.Interactive: time.Duration(s.Calls.InteractiveWait),
			scheduler.Batch:       time.Duration(s.Calls.BatchWait),
		},
	})
	run := executor.New(executor.Config{
		View:             d.controller.View,
		Admitter:         admitter.New(d.parts, d.controller),
		Dispatcher:       d.dispatcher,
		Sender:           d.sender,
		Health:           d.detector,
		Publisher:        d.publisher,
		Recorder:         d.recorder,
		Logger:           d.logger,
		FirstByteTimeout: time.Duration(s.Calls.FirstByteTimeout),
		CallerTimeout:    time.Duration(s.Calls.CallerTimeout),
		MaxAttempts:      s.Calls.MaxAttempts,
		MaxResponseBytes: s.Calls.MaxAnswerBytes,
		MaxStoredBytes:   s.Calls.MaxKeptBytes,
	})
	d.gateway = gateway.New(gateway.Config{
		View:           d.controller.View,
		Executor:       run,
		ActiveRequests: d.sessions,
		Recorder:       d.recorder,
		Logger:         d.logger.Sample(&zerolog.BurstSampler{Burst: 50, Period: time.Second}),
		MaxBodyBytes:   s.Calls.MaxBodyBytes,
		BodyTimeout:    time.Duration(s.Calls.BodyTimeout),
		Discovery:      gateway.DiscoveryConfig{TTL: time.Duration(s.Discovery.TTL), SubsetSize: s.Discovery.Subset},
	})
	d.console = console.New(console.Config{
		Controller:    d.controller,
		Prober:        d.peers,
		Historian:     d.historian,
		Detector:      d.detector,
		LimitRegistry: d.parts,
		WriteMetrics:  d.recorder.WriteMetrics,
		Operators:     s.operators(),
		Version:       d.version,
		EditTimeout:   10 * time.Second,
	})
}

func (d *Daemon) addGauges() {
	d.recorder.RegisterGauge("crocushollow_log_offset", func() float64 { return float64(d.controller.View().State.NextOffset()) })
	d.recorder.RegisterGauge("crocushollow_log_age_seconds", func() float64 {
		return time.Since(d.controller.View().UpToDateAt).Seconds()
	})
	d.recorder.RegisterGauge("crocushollow_members", func() float64 { return float64(d.controller.View().State.MemberCount()) })
	d.recorder.RegisterGauge("crocushollow_requests_in_flight", func() float64 { return float64(d.gateway.InFlight()) })
	d.recorder.RegisterGauge("crocushollow_peer_bytes_total", func() float64 { return float64(messenger.BytesTransferred()) })
}

// settler lets the publisher be made before the controller.
type settler struct {
	daemon *Daemon
}

// ConfirmApplied implements publisher.Confirmer.
func (s settler) ConfirmApplied(ctx context.Context, id crocushollow.ID) (bool, error) {
	return s.daemon.controller.ConfirmApplied(ctx, id)
}

// stateChanged lets waiting requests and the guard look at the new state.
func (d *Daemon) stateChanged() {
	d.dispatcher.Wake()
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// isolationGrace is how long after the end of its assurance an instance lets
// requests run under keys that may have been withdrawn.
const isolationGrace = 2 * time.Second

// guardInterval is the time between two looks at the assurance.
const guardInterval = 100 * time.Millisecond

// guard ends requests whose key is withdrawn, and all requests under keys when
// the instance is cut off.
func (d *Daemon) guard(ctx context.Context) {
	ticker := time.NewTicker(guardInterval)
	defer ticker.Stop()
	var guarded *crocushollow.Table
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.changed:
		}
		view := d.controller.View()
		if table := view.State.Table(); table != guarded {
			guarded = table
			d.sessions.CancelWithdrawn(table)
			d.recorder.RemoveStaleSeries(table)
		}
		if !view.LeaseExpiresAt.IsZero() && time.Since(view.LeaseExpiresAt) > isolationGrace {
			d.sessions.CancelAll()
		}
	}
}

// Listeners are the open listeners of an instance.
type Listeners struct {
	Callers   net.Listener
	Peers     net.Listener
	Operators net.Listener
}

// Listen opens the listeners of the settings.
func Listen(ctx context.Context, settings ListenSettings) (Listeners, error) {
	var config net.ListenConfig
	var listeners Listeners
	var errs [3]error
	listeners.Callers, errs[0] = config.Listen(ctx, "tcp", settings.Callers)
	listeners.Peers, errs[1] = config.Listen(ctx, "tcp", settings.Peers)
	listeners.Operators, errs[2] = config.Listen(ctx, "tcp", settings.Operators)
	if err := errors.Join(errs[:]...); err != nil {
		listeners.Close()
		return Listeners{}, err
	}
	return listeners, nil
}

// Close closes the listeners that are open.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Callers, l.Peers, l.Operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Bounds of callers' and operators' connections.
const (
	headerTimeout  = 5 * time.Second
	keepAliveIdle  = 75 * time.Second
	maxHeaderBytes = 32 << 10
)

// Run serves until stop ends, which begins a graceful shutdown, or ctx ends,
// which stops at once.
func (d *Daemon) Run(ctx, stop context.Context, listeners Listeners) error {
	defer close(d.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peerServer, err := messenger.NewServer(peerHandler{Controller: d.controller, daemon: d})
	if err != nil {
		return err
	}
	callers := newServer(d.gateway)
	operators := newServer(d.console)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serve(callers, listeners.Callers) })
	group.Go(func() error { return serve(operators, listeners.Operators) })
	group.Go(func() error { return peerServer.Serve(ctx, listeners.Peers) })
	group.Go(func() error { d.controller.Run(ctx); return nil })
	group.Go(func() error { d.publisher.Run(ctx); return nil })
	group.Go(func() error { d.relay.Run(ctx); return nil })
	group.Go(func() error { d.dispatcher.Run(ctx); return nil })
	group.Go(func() error { d.guard(ctx); return nil })
	group.Go(func() error {
		select {
		case <-stop.Done():
			d.shutDown(ctx, callers)
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
	d.sender.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       keepAliveIdle,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// shutDown leaves discovery, waits until no caller uses an old answer, lets
// requests in flight end and hands over what the instance holds.
func (d *Daemon) shutDown(ctx context.Context, callers *http.Server) {
	d.logger.Info().Msg("shutdown begins")
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Shutdown.Grace))
	defer cancel()
	announced, endAnnounce := context.WithTimeout(ctx, time.Duration(d.settings.Discovery.TTL))
	if err := d.controller.BeginDrain(announced); err != nil {
		d.logger.Warn().Err(err).Msg("shutdown not announced in the log")
	}
	endAnnounce()
	pause(ctx, time.Duration(d.settings.Discovery.TTL)+time.Duration(d.settings.Timing.Lease))
	if err := callers.Shutdown(ctx); err != nil {
		d.logger.Warn().Err(err).Int64("in_flight", d.gateway.InFlight()).Msg("requests cut at the end of the grace period")
	}
	handOver, endHandOver := context.WithTimeout(ctx, 5*time.Duration(d.settings.Timing.Lease))
	defer endHandOver()
	if err := d.controller.Leave(handOver); err != nil {
		d.logger.Warn().Err(err).Msg("units not handed over; others take them after the lease")
	}
	d.logger.Info().Msg("shutdown complete")
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
