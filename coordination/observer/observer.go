// Package observer watches the operators' table and the registrations of
// upstreams, and maintains the current view of both.
//
// One instance of several is the watcher: it reads the feeds and relays the changes
// to the others. These read a feed themselves when nothing is relayed in time and
// when relayed changes have a gap. An instance that cannot read a feed, whether watcher
// or not, applies what any other instance relays.
package observer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/catalog"
)

// ErrExpired reports that the feed no longer has the requested changes, so that a
// snapshot is needed. Feeds wrap it.
var ErrExpired = errors.New("changes expired")

// Change is one published change. Exactly one of Catalog, Zone, Upstream,
// DeregisteredUpstream and Err is set.
type Change struct {
	// Position orders the changes of a feed.
	Position crocushollow.Position
	// Record is the record that a change of operators was decoded from, under Key.
	Record []byte
	// Catalog is a new version of the operators' table.
	Catalog *catalog.Catalog
	// Zone is an availability zone that was taken out of service, or put back
	// if InService is set.
	Zone      string
	InService bool
	// Upstream is the new registration of an upstream.
	Upstream *catalog.Upstream
	// DeregisteredUpstream is the ID of an upstream that is no longer registered.
	DeregisteredUpstream string
	// LastStartUnixMilli and LastSequence identify the newest registration of a
	// deregistered upstream. They are 0 if the instance that relays the change does not
	// know it.
	LastStartUnixMilli int64
	LastSequence       int64
	// Err is the reason why a record could not be decoded.
	Err error
	// Key is the key of the record.
	Key string
}

// Batch lists changes in the order of their positions, all of one era.
type Batch struct {
	Changes []Change
	// Next is the position from which the next call continues.
	Next crocushollow.Position
}

// Feed is a source of changes.
type Feed interface {
	// Snapshot returns the latest change of every key.
	Snapshot(ctx context.Context) (Batch, error)
	// Follow returns the changes from a position on. If there are none, it waits
	// for the first one for up to wait. It returns ErrExpired if the feed no
	// longer has all changes from the position on, or begins a new era.
	Follow(ctx context.Context, from crocushollow.Position, wait time.Duration) (Batch, error)
}

// Config configures an Observer. All fields are required.
type Config struct {
	// Operators is the feed of the operators' table and of zones out of service.
	Operators Feed
	// Upstreams is the feed of the upstreams' registrations.
	Upstreams Feed
	// OnChange is called from the control goroutine with each new view.
	OnChange func(*View)
	// IsWatcher reports whether this instance reads the feeds for others.
	IsWatcher func() bool
	// ReadDelay returns by how much longer than others this instance waits for a
	// watcher that is silent. What the first instance then reads is relayed too.
	ReadDelay func() time.Duration
	// Relay sends the changes of one call to the other instances.
	Relay  func(RelayedBatch)
	Logger zerolog.Logger
	Now    func() time.Time
}

// Timing of the feeds.
const (
	// operatorPollTimeout is how long a call waits for changes from operators. It
	// is shorter than relayTimeout, so that the result of each call is relayed in
	// time.
	operatorPollTimeout = 900 * time.Millisecond
	// upstreamPollPeriod is the interval between two reads of the registrations.
	// All instances must know of a draining upstream within 2 s, even if one call
	// fails.
	upstreamPollPeriod = 600 * time.Millisecond
	// callTimeoutMargin is added to the waiting time of a call to get its timeout.
	callTimeoutMargin = 700 * time.Millisecond
	// snapshotTimeout bounds the read of all pages of a snapshot.
	snapshotTimeout = 3 * time.Second
	// maxFollowFailures is the number of failed calls after which the operators'
	// table is read anew, and not each version of it since the last call.
	maxFollowFailures = 2
	// minRetryDelay is the delay after the first failed call. It doubles up to
	// maxRetryDelay, since a rejected call costs as much as a successful one.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

// Observer watches the feeds and maintains the current view. It is safe for
// concurrent use.
type Observer struct {
	config Config
	view   atomic.Pointer[View]
	// events passes the results of the feeds' goroutines to the control goroutine.
	events chan event
	// relayed queues the batches that the watcher relays, per feed.
	relayed map[Source]chan RelayedBatch
	done    chan struct{}
}

// relayCapacity bounds the queued batches of a feed. A watcher relays one after
// each call, and there may be two watchers.
const relayCapacity = 16

// event is the result of one call to a feed, or a relayed batch.
type event struct {
	source     Source
	batch      Batch
	isSnapshot bool
	isRelayed  bool
	err        error
	at         time.Time
}

// origin names where the changes come from, for logs.
func (e *event) origin() string {
	switch {
	case e.isRelayed:
		return "relay"
	case e.isSnapshot:
		return "snapshot"
	}
	return "read"
}

// New returns an observer that is not running. Run starts it.
func New(config Config) *Observer {
	o := &Observer{
		config: config,
		events: make(chan event),
		relayed: map[Source]chan RelayedBatch{
			Operators: make(chan RelayedBatch, relayCapacity),
			Upstreams: make(chan RelayedBatch, relayCapacity),
		},
		done: make(chan struct{}),
	}
	o.view.Store(&View{Upstreams: map[string]*catalog.Upstream{}, ZonesOutOfService: map[string]bool{}})
	return o
}

// Done returns a channel that is closed when Run has returned.
func (o *Observer) Done() <-chan struct{} { return o.done }

// View returns the current view. It is never nil.
func (o *Observer) View() *View { return o.view.Load() }

// Run watches the feeds until the context ends.
func (o *Observer) Run(ctx context.Context) error {
	defer close(o.done)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.follow(ctx, Operators, o.config.Operators, operatorPollTimeout, 0) })
	group.Go(func() error { return o.follow(ctx, Upstreams, o.config.Upstreams, 0, upstreamPollPeriod) })
	group.Go(func() error { return o.control(ctx) })
	return group.Wait()
}

// control applies events to the view until the context ends.
func (o *Observer) control(ctx context.Context) error {
	state := newState(o.config.Logger)
	for {
		timer := time.NewTimer(state.untilNextDeferred(o.config.Now()))
		select {
		case e := <-o.events:
			state.applyEvent(e)
		case <-timer.C:
			state.applyDeferred(o.config.Now())
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		timer.Stop()
		if view := state.nextView(); view != nil {
			o.view.Store(view)
			o.config.OnChange(view)
		}
	}
}
