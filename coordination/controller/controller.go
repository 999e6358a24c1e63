// Package controller runs the control state of an instance in one goroutine:
// the state of the log, the members, the claims, the ledgers and the placement.
// Everything that waits for the network runs in goroutines of its own and comes
// back as an event. Traffic reads immutable views.
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

// ErrStopped reports that the controller has ended.
var ErrStopped = errors.New("controller stopped")

// Peers calls other instances.
type Peers interface {
	Probe(ctx context.Context, to crocushollow.Member, request ProbeRequest) (ProbeReply, error)
	Exchange(ctx context.Context, to crocushollow.Member, exchange sharer.Exchange) (sharer.ExchangeReply, error)
	Fetch(ctx context.Context, to crocushollow.Member, request FetchRequest) (FetchReply, error)
	Check(ctx context.Context, to crocushollow.Member, request CheckRequest) (CheckReply, error)
	ReportDemand(ctx context.Context, to crocushollow.Member, report DemandReport) error
}

// Engines talks to the control side of model engines.
type Engines interface {
	// Report asks an engine for its state.
	Report(ctx context.Context, upstream crocushollow.Upstream) (crocushollow.EngineReport, error)
	// Order gives an engine an order.
	Order(ctx context.Context, upstream crocushollow.Upstream, order crocushollow.Order) error
}

// Lister reads the platform's list of instances.
type Lister interface {
	List(ctx context.Context) ([]ListedInstance, error)
}

// ListedInstance is an entry of the platform's list, which lags.
type ListedInstance struct {
	ID          string `json:"id"`
	PeerAddress string `json:"peer_address"`
	Leaving     bool   `json:"leaving"`
}

// Timing holds the intervals and deadlines of the control state.
type Timing struct {
	// Tick is the time between two rounds of the control goroutine.
	Tick time.Duration
	// Lease is how long an assurance lets the instance act.
	Lease time.Duration
	// ProbeInterval is the time between two probes of a member.
	ProbeInterval time.Duration
	// SuspectAfter is how long a member may be silent.
	SuspectAfter time.Duration
	// ExchangeInterval is the time between two exchanges of units.
	ExchangeInterval time.Duration
	// ReportInterval is the time between two reports of an engine.
	ReportInterval time.Duration
	// PlanInterval is the time between two plans.
	PlanInterval time.Duration
	// SnapshotInterval is the time between two snapshots in the log.
	SnapshotInterval time.Duration
	// CallTimeout bounds a call to a peer or an engine.
	CallTimeout time.Duration
}

// DefaultTiming suits a fleet whose members are a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{
		Tick:             50 * time.Millisecond,
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
	// Member describes the instance. Its incarnation is set by the controller.
	Member    crocushollow.Member
	Timing    Timing
	Log       follower.Log
	Publisher *publisher.Publisher
	Peers     Peers
	Engines   Engines
	Lister    Lister
	Detector  *detector.Detector
	Parts     *limiter.Registry
	Planner   placer.Planner
	// Demand measures the concurrent requests per name of weights.
	Demand func() placer.Demand
	// Changed is called after each change that may let waiting requests go on.
	Changed func()
	// Edited is called with what became of edits, in log order.
	Edited func([]crocushollow.EditResult)
	// LogReaders is the number of instances per availability zone that read
	// the log themselves.
	LogReaders int
	// Watched is the number of members that the instance watches.
	Watched int
	// EvenParts divides limits evenly among this many instances if it is not 0.
	EvenParts int64
	Logger    zerolog.Logger
}

// event is something that the control goroutine has to deal with.
type event interface {
	apply(c *Controller)
}

// eventBacklog bounds the events that wait.
const eventBacklog = 1024

// Controller is the control state. Done is closed when Run has returned.
type Controller struct {
	config Config
	self   crocushollow.Member
	random *rand.Rand

	events chan event
	done   chan struct{}
	view   atomic.Pointer[View]
	group  *errgroup.Group
	// ctx ends the goroutines started by events. It is set by Run.
	ctx context.Context

	replayer *follower.Replayer
	tracker  *tracker.Tracker
	holder   *sharer.Holder
	owner    *sharer.Owner
	wants    *wants

	placement placement
	rounds    rounds
	waiters   waiters
	drain     drainState
	listed    map[string]ListedInstance
	// restoring is true while lost entries of the log are appended again.
	restoring bool
	// fetching is true while entries are fetched from a peer.
	fetching bool
	// accusing holds the members whose departure is being confirmed.
	accusing map[crocushollow.MemberID]bool
}

// rounds holds when each periodic task was last done.
type rounds struct {
	exchange time.Time
	plan     time.Time
	join     time.Time
	claim    time.Time
	list     time.Time
	snapshot time.Time
}

// New returns a controller. Run starts it.
func New(config Config) *Controller {
	c := &Controller{
		config:   config,
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		events:   make(chan event, eventBacklog),
		done:     make(chan struct{}),
		replayer: follower.NewReplayer(),
		wants:    newWants(),
		waiters:  newWaiters(),
		listed:   make(map[string]ListedInstance),
	}
	c.begin()
	c.publishView()
	return c
}

// begin starts a new life of the instance. Everything that the last one held
// is dropped.
func (c *Controller) begin() {
	c.self = c.config.Member
	c.self.Incarnation = crocushollow.Incarnation(c.random.Uint64() | 1)
	now := time.Now()
	for _, part := range c.config.Parts.Shares {
		part.Drop(now)
	}
	timing := c.config.Timing
	c.tracker = tracker.New(tracker.Config{
		Self:          c.self.MemberID(),
		Lease:         timing.Lease,
		ProbeInterval: timing.ProbeInterval,
		SuspectAfter:  timing.SuspectAfter,
		Watched:       c.config.Watched,
		Random:        c.random,
	})
	c.holder = sharer.NewHolder(c.self.MemberID(), c.config.Parts, c.config.Detector)
	c.owner = sharer.NewOwner(sharer.OwnerConfig{
		Self: c.self.MemberID(),
		// A member that learns of the departure through a peer learns of it up
		// to two probes later.
		Fence:     timing.Lease + 2*timing.ProbeInterval,
		EvenParts: c.config.EvenParts,
		Health:    c.config.Detector,
	})
	c.placement = newPlacement()
	c.accusing = make(map[crocushollow.MemberID]bool)
	c.tracker.Update(c.replayer.State(), now)
	c.owner.Update(c.replayer.State(), now)
}

// Done is closed when Run has returned.
func (c *Controller) Done() <-chan struct{} { return c.done }

// Run deals with events until the context ends.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.done)
	group, groupCtx := errgroup.WithContext(ctx)
	c.group, c.ctx = group, groupCtx
	reader := follower.NewReader(follower.ReaderConfig{
		Log:     c.config.Log,
		Sink:    (*sink)(c),
		Wait:    c.config.Timing.ProbeInterval,
		Timeout: 2 * c.config.Timing.CallTimeout,
		Pause:   c.config.Timing.ProbeInterval,
	})
	go reader.Run(groupCtx)
	ticker := time.NewTicker(c.config.Timing.Tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			c.tick(time.Now())
		case <-c.wants.signal:
			c.takeWants(time.Now())
		case e := <-c.events:
			e.apply(c)
		}
	}
	<-reader.Done()
	_ = group.Wait()
}

// post hands an event to the control goroutine.
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

// start runs a call that waits for the network. Its result comes back as an
// event; nil stands for none.
func (c *Controller) start(timeout time.Duration, call func(ctx context.Context) event) {
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

// ask posts an event and waits for its answer.
func ask[T any](ctx context.Context, c *Controller, answer chan T, e event) (T, error) {
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

// publish appends a record in the background.
func (c *Controller) publish(record crocushollow.Record, finished func(err error) event) {
	record.ID = crocushollow.NewID()
	record.Author = c.self.MemberID()
	c.start(publishTimeout, func(ctx context.Context) event {
		return finished(c.config.Publisher.Publish(ctx, record))
	})
}

// publishTimeout bounds how long a record of the control state is tried.
const publishTimeout = 5 * time.Second

// nothing is the end of a publication that nobody waits for.
func nothing(error) event { return nil }

// tick does what is due.
func (c *Controller) tick(now time.Time) {
	c.probe(now)
	c.maintainMembership(now)
	c.maintainClaims(now)
	c.owner.Tick(now)
	if now.Sub(c.rounds.exchange) >= c.config.Timing.ExchangeInterval {
		c.rounds.exchange = now
		c.send(c.holder.Poll(c.state(), now), now)
	}
	c.maintainPlacement(now)
	c.maintainSnapshot(now)
	c.maintainList(now)
	c.waiters.settle(c.state(), now, c.tracker.LogAge(now))
	c.publishView()
}

func (c *Controller) state() *applier.State { return c.replayer.State() }
