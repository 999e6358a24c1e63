// Package observer follows what operators and upstreams publish and keeps the
// newest view of it.
package observer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/crocushollow/crocushollow/catalog"
)

// ErrExpired reports that changes were missed, so that a snapshot is needed.
// Feeds wrap it.
var ErrExpired = errors.New("changes expired")

// Change is one thing that was published. Exactly one of Catalog, Zone,
// Upstream, GoneUpstream and Problem is set.
type Change struct {
	// Offset orders the changes of a feed.
	Offset int64
	// Catalog is a new version of the operators' table.
	Catalog *catalog.Catalog
	// Zone is an availability zone that was taken out of service, or put back
	// if InService is set.
	Zone      string
	InService bool
	// Upstream is what an upstream says of itself.
	Upstream *catalog.Upstream
	// DeregisteredUpstream is the ID of an upstream that is no longer announced.
	DeregisteredUpstream string
	// Err tells why a record could not be used. Key names the record.
	Err error
	Key string
}

// Batch is a number of changes in the order of their offsets.
type Batch struct {
	Changes []Change
	// Next is the offset to follow from.
	Next int64
}

// Feed is a source of changes.
type Feed interface {
	// Snapshot returns the newest change of everything.
	Snapshot(ctx context.Context) (Batch, error)
	// Follow returns the changes from an offset on. It waits for the first one
	// for up to wait, and returns ErrExpired if changes are missing.
	Follow(ctx context.Context, from int64, wait time.Duration) (Batch, error)
}

// Config configures an Observer. All fields are required.
type Config struct {
	// Operators is the feed of the table and of zones out of service.
	Operators Feed
	// Upstreams is the feed of upstreams' announcements.
	Upstreams Feed
	// OnChange is called from the control goroutine after each new view.
	OnChange func(*View)
	// IsWatcher tells whether the instance reads the feeds for its availability
	// zone. The others follow its word.
	IsWatcher func() bool
	// Relay tells the others of the zone what a call has brought.
	Relay  func(RelayedBatch)
	Logger zerolog.Logger
	Now    func() time.Time
}

// Timing of the feeds.
const (
	// operatorWait is how long a call waits for operators' changes. It is below
	// relayPatience, so that the others hear of each call in time.
	operatorWait = 900 * time.Millisecond
	// upstreamPeriod is the time between two reads of the announcements. A
	// leaving upstream has to be known within 2 s, also if one call fails.
	upstreamPeriod = 600 * time.Millisecond
	// callMargin bounds a call beyond the time that it waits.
	callMargin = 700 * time.Millisecond
	// snapshotTimeout bounds the pages of a snapshot.
	snapshotTimeout = 3 * time.Second
	// retryPause is the time after the first failure of a feed until the next
	// call. It doubles up to maxRetryPause, since refused calls cost as much.
	retryPause    = 150 * time.Millisecond
	maxRetryPause = 600 * time.Millisecond
)

// Observer keeps the newest view. Done is closed when Run has returned.
type Observer struct {
	config Config
	view   atomic.Pointer[View]
	// events carries what the feeds bring to the control goroutine.
	events  chan event
	relayed map[Source]chan RelayedBatch
	done    chan struct{}
}

// relayCapacity bounds the readers' words that wait. There is one after each
// call of two readers.
const relayCapacity = 16

// event is what a feed's goroutine reports.
type event struct {
	source   Source
	batch    Batch
	snapshot bool
	err      error
	at       time.Time
}

// New returns an observer. Run starts it.
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

// Done is closed when Run has returned.
func (o *Observer) Done() <-chan struct{} { return o.done }

// View returns the newest view. It is never nil.
func (o *Observer) View() *View { return o.view.Load() }

// Run follows the feeds until the context ends.
func (o *Observer) Run(ctx context.Context) error {
	defer close(o.done)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.follow(ctx, Operators, o.config.Operators, operatorWait, 0) })
	group.Go(func() error { return o.follow(ctx, Upstreams, o.config.Upstreams, 0, upstreamPeriod) })
	group.Go(func() error { return o.control(ctx) })
	return group.Wait()
}

// follow reads one feed, or follows its readers' word, until the context ends.
func (o *Observer) follow(ctx context.Context, source Source, feed Feed, wait, period time.Duration) error {
	next := int64(-1)
	told := relayer{told: make(map[string]catalog.Upstream)}
	failurePause := retryPause
	for {
		isReader := o.config.IsWatcher()
		e := event{source: source, snapshot: next < 0}
		pause := period
		heard := false
		if !isReader && next >= 0 {
			e.batch, heard = o.awaitRelay(ctx, source, next)
			pause = 0
		}
		if !heard {
			e.batch, e.err = o.call(ctx, feed, next, wait, isReader)
		}
		e.at = o.config.Now()
		switch {
		case errors.Is(e.err, ErrExpired):
			next, pause = -1, 0
		case e.err != nil:
			pause = failurePause
			failurePause = min(2*failurePause, maxRetryPause)
		default:
			failurePause = retryPause
			if isReader {
				o.tell(source, &told, next, e.batch)
			}
			next = e.batch.Next
		}
		select {
		case o.events <- e:
		case <-ctx.Done():
			return nil
		}
		if !sleep(ctx, pause) {
			return nil
		}
	}
}

// call reads a feed once. Only readers wait for changes.
func (o *Observer) call(ctx context.Context, feed Feed, next int64, wait time.Duration, isReader bool) (Batch, error) {
	if next < 0 {
		return o.snapshot(ctx, feed)
	}
	if !isReader {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	return feed.Follow(ctx, next, wait)
}

// tell relays what a call has brought. A snapshot shows only where it ends.
func (o *Observer) tell(source Source, told *relayer, from int64, batch Batch) {
	relayed := RelayedBatch{Source: source, From: from, Next: batch.Next}
	if from < 0 {
		relayed.From = batch.Next
	}
	if source == Upstreams {
		changes := told.significant(batch.Changes)
		if from >= 0 {
			relayed.Changes = changes
		}
	}
	o.config.Relay(relayed)
}

func (o *Observer) snapshot(ctx context.Context, feed Feed) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	return feed.Snapshot(ctx)
}

// sleep reports whether the context is still alive after the pause.
func sleep(ctx context.Context, pause time.Duration) bool {
	if pause <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// control applies events to the view until the context ends.
func (o *Observer) control(ctx context.Context) error {
	state := newState(o.config.Logger)
	ticker := time.NewTicker(lapseGrace / 4)
	defer ticker.Stop()
	for {
		select {
		case e := <-o.events:
			state.take(e)
		case <-ticker.C:
			state.expire(o.config.Now())
		case <-ctx.Done():
			return nil
		}
		if view := state.next(); view != nil {
			o.view.Store(view)
			o.config.OnChange(view)
		}
	}
}
