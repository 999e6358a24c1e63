package observer

import (
	"context"
	"reflect"
	"slices"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
)

// Source identifies a feed.
type Source string

// Sources of changes.
const (
	Operators Source = "operators"
	Upstreams Source = "upstreams"
)

// RelayedBatch is the message that the watcher of a feed sends to the other
// instances after each call.
type RelayedBatch struct {
	Source Source
	// From and Next are the offsets at which the call started and ended.
	From int64
	Next int64
	// Changes lists the relevant changes between the offsets.
	Changes []Change
	// IsComplete means that Changes has all that the other instances need. Otherwise
	// they read the changes themselves.
	IsComplete bool
}

// relayTimeout is how long an instance waits for the watcher before it reads the
// feed itself. Together with one call it stays below the 2 s within which changes
// must be in force.
const relayTimeout = 1300 * time.Millisecond

// relayResult is what an instance has received from the watcher.
type relayResult int

const (
	// relayed means that a batch continues at the next offset.
	relayed relayResult = iota
	// silent means that no batch has arrived in time.
	silent
	// incomplete means that there are changes that the watcher has not relayed.
	incomplete
)

// HandleRelayed queues a batch from a watcher. It drops the batch if the queue is
// full. The next batch then shows the gap.
func (o *Observer) HandleRelayed(relayed RelayedBatch) {
	select {
	case o.relayed[relayed.Source] <- relayed:
	default:
	}
}

// awaitRelay waits for a relayed batch of a feed that continues at the next offset.
func (o *Observer) awaitRelay(ctx context.Context, source Source, next int64) (Batch, relayResult) {
	timer := time.NewTimer(relayTimeout + o.config.ReadDelay())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return Batch{}, silent
		case <-timer.C:
			return Batch{}, silent
		case r := <-o.relayed[source]:
			if r.From > next || !r.IsComplete && r.Next > next {
				return Batch{}, incomplete
			}
			// A watcher that was suspended may relay changes that have been applied.
			changes := slices.DeleteFunc(r.Changes, func(change Change) bool { return change.Offset < next })
			return Batch{Changes: changes, Next: max(r.Next, next)}, relayed
		}
	}
}

// changeFilter selects the changes of upstreams that are worth relaying.
type changeFilter struct {
	// relayed holds the last relayed registration of each upstream.
	relayed map[string]catalog.Upstream
}

// apply returns the changes that alter a registration in more than its sequence
// number. It keeps all registrations of cold upstreams and all deregistrations.
func (f *changeFilter) apply(changes []Change) []Change {
	var kept []Change
	for _, change := range changes {
		switch {
		case change.DeregisteredUpstream != "":
			delete(f.relayed, change.DeregisteredUpstream)
			kept = append(kept, change)
		case change.Upstream != nil && f.hasChanged(change.Upstream):
			kept = append(kept, change)
		}
	}
	return kept
}

func (f *changeFilter) hasChanged(upstream *catalog.Upstream) bool {
	next := *upstream
	next.Sequence = 0
	known, found := f.relayed[upstream.ID]
	f.relayed[upstream.ID] = next
	return !found || !next.ColdUntil.IsZero() || !reflect.DeepEqual(known, next)
}
