package observer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/crocushollow/crocushollow"
)

// feedReader reads one feed, or takes the batches that other instances relay.
type feedReader struct {
	observer *Observer
	source   Source
	feed     timedFeed
	// wait is how long a call waits for changes, and period the interval between two
	// calls of a watcher.
	wait, period time.Duration
	// next is the position of the next change, or -1 if a snapshot is needed.
	next crocushollow.Position
	// ahead is the range of the changes after next that were relayed without those at
	// next. It is empty if there are none.
	ahead positionRange
	// currentAt is the time up to which all changes are known.
	currentAt time.Time
	// readAt is the earliest time of the next call.
	readAt     time.Time
	filter     changeFilter
	retryDelay time.Duration
	// failures counts consecutive failed calls.
	failures int
	// isCalling means that a call is in progress, whose result is sent to results.
	isCalling bool
	results   chan feedCall
}

// positionRange is the range of positions from from to before next.
type positionRange struct{ from, next crocushollow.Position }

// feedCall is a call to a feed that is in progress, or its result.
type feedCall struct {
	// from is the position of the call, or -1 for a snapshot.
	from crocushollow.Position
	// wait is how long the call waits for changes.
	wait      time.Duration
	isWatcher bool
	// relays means that the result is relayed to the other instances.
	relays    bool
	startedAt time.Time
	batch     Batch
	err       error
}

// follow reads one feed, and takes the batches that other instances relay, until the
// context ends.
func (o *Observer) follow(ctx context.Context, source Source, feed Feed, wait, period time.Duration) error {
	reader := feedReader{
		observer: o, source: source, feed: timedFeed{feed}, wait: wait, period: period,
		next: -1, retryDelay: minRetryDelay, filter: newChangeFilter(), results: make(chan feedCall, 1),
	}
	defer reader.awaitCall()
	for {
		e, ok := reader.nextEvent(ctx)
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

// nextEvent returns the result of the next call or relayed batch. It returns false when
// the context has ended. Batches are taken during a call too, since a call to a store
// that does not respond takes long.
func (r *feedReader) nextEvent(ctx context.Context) (event, bool) {
	for {
		isWatcher := r.observer.config.IsWatcher()
		timer := time.NewTimer(r.due(isWatcher).Sub(r.observer.config.Now()))
		due := timer.C
		if r.isCalling {
			due = nil
		}
		select {
		case <-ctx.Done():
			timer.Stop()
			return event{}, false
		case <-due:
			r.startCall(ctx, isWatcher)
		case call := <-r.results:
			timer.Stop()
			return r.finishCall(&call), true
		case batch := <-r.observer.relayed[r.source]:
			timer.Stop()
			if e, ok := r.takeRelayed(batch); ok {
				return e, true
			}
		}
	}
}

// startCall begins to read the feed. Only watchers wait for changes.
func (r *feedReader) startCall(ctx context.Context, isWatcher bool) {
	if r.hasGap() && r.source == Operators {
		// The changes since the last read may be many versions of the table, of which
		// only the newest is needed.
		r.next = -1
	}
	call := feedCall{from: r.next, isWatcher: isWatcher, relays: isWatcher || r.next >= 0 && !r.hasGap(), startedAt: r.observer.config.Now()}
	if isWatcher && call.from >= 0 {
		call.wait = r.wait
	}
	r.isCalling = true
	go func() {
		call.batch, call.err = r.feed.read(ctx, call.from, call.wait)
		r.results <- call
	}()
}

// awaitCall waits until no call is in progress.
func (r *feedReader) awaitCall() {
	if r.isCalling {
		<-r.results
	}
}

// finishCall returns the result of a call, and relays the changes.
func (r *feedReader) finishCall(call *feedCall) event {
	r.isCalling = false
	now := r.observer.config.Now()
	e := event{source: r.source, batch: call.batch, isSnapshot: call.from < 0, err: call.err, at: now}
	if call.err != nil {
		r.handleFailure(call.err, now)
		return e
	}
	// The response may have been sent any time after the wait.
	age := max(now.Sub(call.startedAt)-call.wait, 0)
	relayed := r.relayedBatch(call, now)
	if call.relays {
		relayed.Age = age
		r.observer.config.Relay(relayed)
	}
	r.advance(call.batch.Next, now.Add(-age))
	r.retryDelay, r.failures = minRetryDelay, 0
	switch {
	case r.hasGap():
		// The store may return less to this instance than to the one that relayed.
		r.readAt = now.Add(minRetryDelay)
	case call.isWatcher || e.isSnapshot:
		r.readAt = now.Add(r.period)
	}
	return e
}

// relayedBatch returns what the other instances get of the result of a call. Of a snapshot they
// get a part, and its end as the position from which they have all changes.
func (r *feedReader) relayedBatch(call *feedCall, now time.Time) RelayedBatch {
	batch := RelayedBatch{Source: r.source, From: call.from, Next: call.batch.Next}
	if call.from < 0 {
		batch.From, batch.Changes = batch.Next, r.filter.applySnapshot(call.batch.Changes, now)
		return batch
	}
	batch.Changes, batch.IsComplete = r.filter.apply(call.batch.Changes, now), true
	return batch
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

// due returns when this instance reads the feed itself.
func (r *feedReader) due(isWatcher bool) time.Time {
	if isWatcher || r.next < 0 || r.hasGap() {
		return r.readAt
	}
	due := r.currentAt.Add(relayTimeout + r.observer.config.ReadDelay())
	if due.Before(r.readAt) {
		return r.readAt
	}
	return due
}

// takeRelayed returns the changes of a relayed batch that are not known yet. It returns
// false if the batch has no news. Changes after a gap are applied too, since the store
// may not serve this instance for long; the gap is read later.
func (r *feedReader) takeRelayed(relayed RelayedBatch) (event, bool) {
	now := r.observer.config.Now()
	changes := slices.DeleteFunc(relayed.Changes, func(change Change) bool { return change.Position < r.next })
	e := event{source: r.source, batch: Batch{Changes: changes, Next: relayed.Next}, isRelayed: true, at: now}
	r.filter.apply(changes, now)
	switch {
	case relayed.Next < r.next:
		// The sender knows less than this instance, for example because it was
		// suspended.
		return event{}, false
	case r.next < 0 || relayed.From > r.next || !relayed.IsComplete && relayed.Next > r.next:
		r.addAhead(relayed)
		return e, len(changes) > 0
	}
	r.advance(relayed.Next, now.Add(-relayed.Age))
	return e, true
}

// hasGap reports whether changes are missing before others that are known.
func (r *feedReader) hasGap() bool { return r.ahead.from > r.next }

// addAhead records a relayed batch that does not continue at the next position.
func (r *feedReader) addAhead(relayed RelayedBatch) {
	from := relayed.From
	if !relayed.IsComplete {
		from = relayed.Next
	}
	if from > r.ahead.next || r.ahead.next == 0 {
		r.ahead.from = from
	}
	r.ahead.next = max(r.ahead.next, relayed.Next)
}

// advance moves to a position before which all changes are known.
func (r *feedReader) advance(next crocushollow.Position, currentAt time.Time) {
	r.next = max(r.next, next)
	if !r.hasGap() {
		r.next = max(r.next, r.ahead.next)
		r.ahead = positionRange{}
	}
	if currentAt.After(r.currentAt) {
		r.currentAt = currentAt
	}
}

// timedFeed bounds the time of calls to a feed.
type timedFeed struct{ Feed }

// read returns the changes from a position on, or a snapshot if it is negative.
func (f timedFeed) read(ctx context.Context, from crocushollow.Position, wait time.Duration) (Batch, error) {
	if from < 0 {
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		return f.Snapshot(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeoutMargin)
	defer cancel()
	return f.Follow(ctx, from, wait)
}
