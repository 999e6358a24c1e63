package observer

import (
	"context"
	"errors"
	"slices"
	"time"
)

// feedReader reads one feed, or takes the batches that other instances relay.
type feedReader struct {
	observer *Observer
	source   Source
	feed     Feed
	// wait is how long a call waits for changes, and period the interval between two
	// calls of a watcher.
	wait, period time.Duration
	// next is the offset of the next change, or -1 if a snapshot is needed.
	next int64
	// currentAt is the time up to which all changes are known.
	currentAt time.Time
	// readAt is the earliest time of the next call.
	readAt     time.Time
	filter     changeFilter
	retryDelay time.Duration
	// failures counts consecutive failed calls.
	failures int
}

// follow reads one feed, or takes the batches that its watcher relays, until the
// context ends.
func (o *Observer) follow(ctx context.Context, source Source, feed Feed, wait, period time.Duration) error {
	reader := feedReader{observer: o, source: source, feed: feed, wait: wait, period: period, next: -1, retryDelay: minRetryDelay, filter: newChangeFilter()}
	for {
		e, ok := reader.read(ctx)
		if !ok {
			return nil
		}
		select {
		case o.events <- e:
		case <-ctx.Done():
			return nil
		}
	}
}

// read returns the result of one call or a relayed batch. It returns false when the
// context has ended.
func (r *feedReader) read(ctx context.Context) (event, bool) {
	o := r.observer
	isWatcher := o.config.IsWatcher()
	isSilent := false
	if !isWatcher && r.next >= 0 {
		batch, result := r.awaitRelay(ctx)
		switch {
		case ctx.Err() != nil:
			return event{}, false
		case result == relayed:
			r.filter.apply(batch.Changes, o.config.Now())
			return event{source: r.source, batch: batch, isRelayed: true, at: o.config.Now()}, true
		case result == silent:
			isSilent = true
		case r.source == Operators:
			// The changes since the last read may be many versions of the table, of
			// which only the newest is needed.
			r.next = -1
		}
	}
	if !sleep(ctx, r.readAt.Sub(o.config.Now())) {
		return event{}, false
	}
	return r.call(ctx, isWatcher, isWatcher || isSilent), true
}

// call reads the feed once. It relays the changes if relays is set. Only watchers wait
// for changes.
func (r *feedReader) call(ctx context.Context, isWatcher, relays bool) event {
	o := r.observer
	e := event{source: r.source, isSnapshot: r.next < 0}
	wait := r.wait
	if !isWatcher || e.isSnapshot {
		wait = 0
	}
	startedAt := o.config.Now()
	if e.isSnapshot {
		e.batch, e.err = o.snapshot(ctx, r.feed)
	} else {
		e.batch, e.err = o.readChanges(ctx, r.feed, r.next, wait)
	}
	e.at = o.config.Now()
	if e.err != nil {
		r.handleFailure(e.err, e.at)
		return e
	}
	// The response may have been sent any time after the wait.
	age := max(e.at.Sub(startedAt)-wait, 0)
	changes := r.filter.apply(e.batch.Changes, e.at)
	if relays {
		o.relay(RelayedBatch{Source: r.source, From: r.next, Next: e.batch.Next, Changes: changes, IsComplete: true, Age: age})
	}
	r.next, r.currentAt = e.batch.Next, e.at.Add(-age)
	r.retryDelay, r.failures = minRetryDelay, 0
	if isWatcher || e.isSnapshot {
		r.readAt = e.at.Add(r.period)
	}
	return e
}

// handleFailure sets when the next call is made after a failed one.
func (r *feedReader) handleFailure(err error, now time.Time) {
	if errors.Is(err, ErrExpired) {
		r.next = -1
		return
	}
	if r.failures++; r.source == Operators && r.failures >= maxFollowFailures {
		r.next = -1
	}
	r.readAt = now.Add(r.retryDelay)
	r.retryDelay = min(2*r.retryDelay, maxRetryDelay)
}

// awaitRelay waits for a relayed batch that continues at the next offset, until the
// known changes are too old.
func (r *feedReader) awaitRelay(ctx context.Context) (Batch, relayResult) {
	o := r.observer
	due := r.currentAt.Add(relayTimeout + o.config.ReadDelay())
	if due.Before(r.readAt) {
		due = r.readAt
	}
	timer := time.NewTimer(due.Sub(o.config.Now()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return Batch{}, silent
		case <-timer.C:
			return Batch{}, silent
		case batch := <-o.relayed[r.source]:
			if batch.From > r.next || !batch.IsComplete && batch.Next > r.next {
				return Batch{}, incomplete
			}
			if batch.Next < r.next {
				// The sender knows less than this instance, for example because it
				// was suspended.
				continue
			}
			return r.takeRelayed(batch), relayed
		}
	}
}

// takeRelayed returns the changes of a relayed batch that are not known yet.
func (r *feedReader) takeRelayed(relayed RelayedBatch) Batch {
	changes := slices.DeleteFunc(relayed.Changes, func(change Change) bool { return change.Offset < r.next })
	r.next = relayed.Next
	if currentAt := r.observer.config.Now().Add(-relayed.Age); currentAt.After(r.currentAt) {
		r.currentAt = currentAt
	}
	return Batch{Changes: changes, Next: r.next}
}

// readChanges reads the changes from an offset on.
func (o *Observer) readChanges(ctx context.Context, feed Feed, next int64, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeoutMargin)
	defer cancel()
	return feed.Follow(ctx, next, wait)
}

func (o *Observer) snapshot(ctx context.Context, feed Feed) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	return feed.Snapshot(ctx)
}

// relay relays the changes of a call. For a snapshot it relays only the offset at which
// the snapshot ends.
func (o *Observer) relay(batch RelayedBatch) {
	if batch.From < 0 {
		batch.From, batch.Changes, batch.IsComplete = batch.Next, nil, false
	}
	o.config.Relay(batch)
}

// sleep waits for a delay. It reports whether the context is still valid
// afterwards.
func sleep(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
