// Package controller runs the control loop of an instance. A single goroutine
// owns all control state: the replayed log, the membership, the shard claims,
// the quota ledgers and the placement. Network calls run in separate goroutines
// and post their results to the loop as events. Request handlers read immutable
// snapshots of the state (see View).
package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/follower"
	"github.com/crocushollow/crocushollow/coordination/publisher"
	"github.com/crocushollow/crocushollow/coordination/sharer"
	"github.com/crocushollow/crocushollow/coordination/tracker"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/detector"
	"github.com/crocushollow/crocushollow/state/limiter"
	"github.com/crocushollow/crocushollow/state/placer"
)

// ErrStopped is returned by calls to a controller whose Run has returned.
var ErrStopped = errors.New("controller stopped")

// PeerClient sends requests to other instances.
type PeerClient interface {
	Probe(ctx context.Context, to crocushollow.Member, request ProbeRequest) (ProbeReply, error)
	Exchange(ctx context.Context, to crocushollow.Member, exchange sharer.Exchange) (sharer.ExchangeReply, error)
	FetchLog(ctx context.Context, to crocushollow.Member, request FetchLogRequest) (FetchLogReply, error)
	CheckSuspect(ctx context.Context, to crocushollow.Member, request CheckSuspectRequest) (CheckSuspectReply, error)
	ReportDemand(ctx context.Context, to crocushollow.Member, report DemandReport) error
}

// EngineClient calls the control API of model engines.
type EngineClient interface {
	// FetchReport fetches an engine's state.
	FetchReport(ctx context.Context, upstream crocushollow.Upstream) (crocushollow.EngineReport, error)
	// SendOrder sends an engine an order to load or unload weights.
	SendOrder(ctx context.Context, upstream crocushollow.Upstream, order crocushollow.Order) error
}

// InstanceLister reads the platform's list of instances.
type InstanceLister interface {
	List(ctx context.Context) ([]ListedInstance, error)
}

// ListedInstance is an entry of the platform's list of instances. The list may
// be out of date.
type ListedInstance struct {
	ID          string `json:"id"`
	PeerAddress string `json:"peer_address"`
	Draining    bool   `json:"leaving"`
}

// Timing holds the intervals and timeouts of the control loop.
type Timing struct {
	// TickInterval is the period of the control loop.
	TickInterval time.Duration
	// Lease is how long the instance may use its quotas and shards after the
	// last confirmation that its state is up to date.
	Lease time.Duration
	// ProbeInterval is the time between two probes of the same member.
	ProbeInterval time.Duration
	// SuspectAfter is the time without a probe reply after which a member is
	// suspected to have failed.
	SuspectAfter time.Duration
	// ExchangeInterval is the time between two quota exchanges with the owners
	// of limits.
	ExchangeInterval time.Duration
	// ReportInterval is the time between two state reports from an engine.
	ReportInterval time.Duration
	// PlanInterval is the time between two runs of the placement planner.
	PlanInterval time.Duration
	// SnapshotInterval is the time between two snapshots that are appended to
	// the log.
	SnapshotInterval time.Duration
	// CallTimeout is the timeout of a call to a peer or an engine.
	CallTimeout time.Duration
}

// DefaultTiming returns values for a fleet with a few milliseconds of network
// latency between members.
func DefaultTiming() Timing {
	return Timing{
		TickInterval:     50 * time.Millisecond,
		Lease:            time.Second,
		ProbeInterval:    200 * time.Millisecond,
		SuspectAfter:     800 * time.Millisecond,
		ExchangeInterval: 200 * time.Millisecond,
		ReportInterval:   250 * time.Millisecond,
		PlanInterval:     time.Second,
		SnapshotInterval: 5 * time.Minute,
		CallTimeout:      400 * time.Millisecond,
	}
}

// Config configures a Controller.
type Config struct {
	// Member describes this instance. The controller sets the incarnation.
	Member    crocushollow.Member
	Timing    Timing
	Log       follower.Log
	Publisher *publisher.Publisher
	Peers     PeerClient
	Engines   EngineClient
	Lister    InstanceLister
	Detector  *detector.Detector
	Quotas    *limiter.Registry
	Planner   placer.Planner
	// Demand returns the number of concurrent requests per model or adapter.
	Demand func() placer.Demand
	// OnStateChange is called after each change of the state or of a quota that
	// may unblock queued requests.
	OnStateChange func()
	// OnEditsApplied is called with the results of applied edits, in log order.
	OnEditsApplied func([]crocushollow.EditResult)
	// LogReadersPerZone is the number of instances per availability zone that
	// read the log directly. The others fetch entries from peers.
	LogReadersPerZone int
	// MonitoredMembers is the number of members whose liveness the instance
	// monitors.
	MonitoredMembers int
	// StaticPartitions is the number of equal partitions that each limit is
	// divided into. With 0, limits are divided by demand.
	StaticPartitions int64
	Logger           zerolog.Logger
}

// event is a unit of work for the control loop.
type event interface {
	apply(c *Controller)
}

// eventQueueCapacity is the capacity of the event queue.
const eventQueueCapacity = 1024

// Controller runs the control loop and answers the control requests of peers.
// Unexported fields that are not synchronized are accessed only by the control
// loop.
type Controller struct {
	config Config
	self   crocushollow.Member
	random *rand.Rand

	events chan event
	done   chan struct{}
	view   atomic.Pointer[View]
	group  *errgroup.Group
	// ctx cancels the goroutines that events start. Run sets it.
	ctx context.Context

	replayer      *follower.Replayer
	tracker       *tracker.Tracker
	quotaClient   *sharer.Client
	quotaOwner    *sharer.Owner
	quotaRequests *quotaRequests

	placement       placement
	lastRun         lastRuns
	waiters         waiters
	drain           drainState
	listedInstances map[string]ListedInstance
	// reappending is true while entries that the log has lost are appended
	// again.
	reappending bool
	// fetching is true while a fetch of log entries from a peer is in progress.
	fetching bool
	// confirming holds the suspects whose failure is being confirmed or
	// published.
	confirming map[crocushollow.MemberID]bool
}

// lastRuns holds the times at which the periodic tasks last ran.
type lastRuns struct {
	exchange time.Time
	plan     time.Time
	join     time.Time
	// nextClaim is the earliest time at which shards are claimed again.
	nextClaim time.Time
	list      time.Time
	snapshot  time.Time
}

// New returns a controller. Call Run to start it.
func New(config Config) *Controller {
	c := &Controller{
		config:          config,
		random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		events:          make(chan event, eventQueueCapacity),
		done:            make(chan struct{}),
		replayer:        follower.NewReplayer(),
		quotaRequests:   newQuotaRequests(),
		waiters:         newWaiters(),
		listedInstances: make(map[string]ListedInstance),
	}
	c.startIncarnation()
	c.publishView()
	return c
}

// startIncarnation starts a new incarnation of the instance. It drops all
// quotas and shards that the previous incarnation held.
func (c *Controller) startIncarnation() {
	c.self = c.config.Member
	c.self.Incarnation = crocushollow.Incarnation(c.random.Uint64() | 1)
	now := time.Now()
	for _, quota := range c.config.Quotas.Shares {
		quota.Drop(now)
	}
	timing := c.config.Timing
	c.tracker = tracker.New(tracker.Config{
		Self:             c.self.MemberID(),
		Lease:            timing.Lease,
		ProbeInterval:    timing.ProbeInterval,
		SuspectAfter:     timing.SuspectAfter,
		MonitoredMembers: c.config.MonitoredMembers,
		Random:           c.random,
	})
	c.quotaClient = sharer.NewClient(c.self.MemberID(), c.config.Quotas, c.config.Detector)
	c.quotaOwner = sharer.NewOwner(sharer.OwnerConfig{
		Self: c.self.MemberID(),
		// A member that learns of the departure from a peer, not from the log,
		// learns of it up to two probe intervals later.
		FencingPeriod:    timing.Lease + 2*timing.ProbeInterval,
		StaticPartitions: c.config.StaticPartitions,
		Health:           c.config.Detector,
	})
	c.placement = newPlacement()
	c.confirming = make(map[crocushollow.MemberID]bool)
	c.tracker.Update(c.replayer.State(), now)
	c.quotaOwner.Update(c.replayer.State(), now)
}

// Done is closed when Run has returned.
func (c *Controller) Done() <-chan struct{} { return c.done }

// Run runs the control loop until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.done)
	group, groupCtx := errgroup.WithContext(ctx)
	c.group, c.ctx = group, groupCtx
	reader := follower.NewReader(follower.ReaderConfig{
		Log:        c.config.Log,
		Sink:       (*sink)(c),
		Wait:       c.config.Timing.ProbeInterval,
		Timeout:    2 * c.config.Timing.CallTimeout,
		RetryDelay: c.config.Timing.ProbeInterval,
	})
	go reader.Run(groupCtx)
	ticker := time.NewTicker(c.config.Timing.TickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			c.tick(time.Now())
		case <-c.quotaRequests.signal:
			c.sendShortfalls(time.Now())
		case e := <-c.events:
			e.apply(c)
		}
	}
	<-reader.Done()
	_ = group.Wait()
}

// post queues an event for the control loop.
func (c *Controller) post(ctx context.Context, e event) error {
	select {
	case c.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return ErrStopped
	}
}

// runAsync runs a blocking call in a new goroutine and posts the event that it
// returns, unless the event is nil.
func (c *Controller) runAsync(timeout time.Duration, call func(ctx context.Context) event) {
	ctx := c.ctx
	c.group.Go(func() error {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		if e := call(callCtx); e != nil {
			_ = c.post(ctx, e)
		}
		return nil
	})
}

// postAndWait posts an event and waits for its result on the answer channel.
func postAndWait[T any](ctx context.Context, c *Controller, answer chan T, e event) (T, error) {
	var none T
	if err := c.post(ctx, e); err != nil {
		return none, err
	}
	select {
	case result := <-answer:
		return result, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-c.done:
		return none, ErrStopped
	}
}

// publish appends a record to the log in the background.
func (c *Controller) publish(record crocushollow.Record, finished func(err error) event) {
	record.ID = crocushollow.NewID()
	record.Author = c.self.MemberID()
	c.runAsync(publishTimeout, func(ctx context.Context) event {
		return finished(c.config.Publisher.Publish(ctx, record))
	})
}

// publishTimeout bounds the attempts to append a control record.
const publishTimeout = 5 * time.Second

// ignoreResult is the callback of a publish whose result is not needed.
func ignoreResult(error) event { return nil }

// tick runs the periodic tasks that are due.
func (c *Controller) tick(now time.Time) {
	c.probe(now)
	c.maintainMembership(now)
	c.maintainClaims(now)
	c.quotaOwner.Tick(now)
	if now.Sub(c.lastRun.exchange) >= c.config.Timing.ExchangeInterval {
		c.lastRun.exchange = now
		c.sendExchanges(c.quotaClient.Poll(c.state(), now), now)
	}
	c.maintainPlacement(now)
	c.maintainSnapshot(now)
	c.maintainList(now)
	c.waiters.resolve(c.state(), now, c.tracker.LogAge(now))
	c.publishView()
}

func (c *Controller) state() *applier.State { return c.replayer.State() }
