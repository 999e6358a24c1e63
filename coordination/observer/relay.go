package observer

import (
	"context"
	"reflect"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
)

// Source tells the feeds apart.
type Source string

// The feeds.
const (
	Operators Source = "operators"
	Upstreams Source = "upstreams"
)

// RelayedBatch is what a reader of a feed tells the other instances of its
// availability zone after each call.
type RelayedBatch struct {
	Source Source
	// From and Next are the offsets that the call began and ended at.
	From int64
	Next int64
	// Changes lists the changes of upstreams between them that matter. Those of
	// operators are not relayed: the others read them when Next shows that there
	// are some.
	Changes []Change
}

// relayPatience is how long an instance waits for its zone's readers before it
// reads itself. With one call it stays within the 2 s in which changes have to
// be in force.
const relayPatience = 1300 * time.Millisecond

// HandleRelayed gives the observer what a reader has told. It is dropped if the observer
// is behind; the gap is found with the next one.
func (o *Observer) HandleRelayed(relayed RelayedBatch) {
	select {
	case o.relayed[relayed.Source] <- relayed:
	default:
	}
}

// awaitRelay waits for a reader's word about a feed. It returns the changes if
// they follow on, and otherwise reports that the feed must be read.
func (o *Observer) awaitRelay(ctx context.Context, source Source, next int64) (Batch, bool) {
	timer := time.NewTimer(relayPatience)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return Batch{}, false
		case <-timer.C:
			return Batch{}, false
		case r := <-o.relayed[source]:
			if r.From > next || source == Operators && r.Next > next {
				return Batch{}, false
			}
			return Batch{Changes: r.Changes, Next: max(r.Next, next)}, true
		}
	}
}

// relayer remembers what was relayed of each upstream.
type relayer struct {
	told map[string]catalog.Upstream
}

// significant returns the changes of upstreams that differ in more than the
// number of the heartbeat.
func (r *relayer) significant(changes []Change) []Change {
	var kept []Change
	for _, change := range changes {
		switch {
		case change.DeregisteredUpstream != "":
			delete(r.told, change.DeregisteredUpstream)
			kept = append(kept, change)
		case change.Upstream != nil && r.isNews(change.Upstream):
			kept = append(kept, change)
		}
	}
	return kept
}

func (r *relayer) isNews(upstream *catalog.Upstream) bool {
	next := *upstream
	next.Sequence = 0
	known, found := r.told[upstream.ID]
	r.told[upstream.ID] = next
	return !found || !next.ColdUntil.IsZero() || !reflect.DeepEqual(known, next)
}
