package observer

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"github.com/crocushollow/crocushollow"
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
	// From and Next are the positions at which the call started and ended.
	From crocushollow.Position
	Next crocushollow.Position
	// Changes lists the relevant changes between the positions.
	Changes []Change
	// Age is how long before it was relayed the store may have sent the batch.
	Age time.Duration
	// IsComplete means that Changes has all that the other instances need. Otherwise
	// they read the changes themselves, if they can.
	IsComplete bool
}

// relayTimeout is the age of the known changes at which an instance no longer waits for
// the watcher and reads the feed itself. Together with one call it stays below the 2 s
// within which changes must be in force.
const relayTimeout = 1300 * time.Millisecond

// HandleRelayed queues a batch from a watcher. It drops the batch if the queue is
// full. The next batch then shows the gap.
func (o *Observer) HandleRelayed(relayed RelayedBatch) {
	select {
	case o.relayed[relayed.Source] <- relayed:
	default:
	}
}

// minRelays is the number of registrations after an upstream appears that are relayed
// even if nothing has changed. An instance ignores the first one if it takes it for an
// earlier one than that of a removed upstream.
const minRelays = 2

// knownRegistration is the newest registration of an upstream.
type knownRegistration struct {
	catalog.Upstream
	// relays counts the relayed registrations since the upstream appeared.
	relays int
}

// changeFilter selects the changes that are worth relaying. It must be given all
// changes, also those that another instance has relayed.
type changeFilter struct {
	newest   map[string]knownRegistration
	departed departures
	// tableVersion is the newest version of the table.
	tableVersion int64
	// hasSnapshot means that a snapshot was applied.
	hasSnapshot bool
}

func newChangeFilter() changeFilter {
	return changeFilter{newest: make(map[string]knownRegistration), departed: make(departures)}
}

// apply returns the changes of operators, and those that alter a registration in more
// than its sequence number. It keeps all registrations of cold upstreams and all
// deregistrations.
func (f *changeFilter) apply(changes []Change, now time.Time) []Change {
	var kept []Change
	for _, change := range changes {
		switch {
		case change.DeregisteredUpstream != "":
			kept = append(kept, f.deregister(change, now))
		case change.Upstream != nil && !f.hasChanged(change.Upstream):
		default:
			f.isNewTable(change.Catalog)
			kept = append(kept, change)
		}
	}
	return kept
}

// applySnapshot returns the changes of a snapshot that instances which cannot read the feed
// may not know, in the order of their positions: the zones out of service, and what this
// instance has not known. Other instances read their first snapshot themselves.
func (f *changeFilter) applySnapshot(changes []Change, now time.Time) []Change {
	var kept []Change
	for _, change := range changes {
		isNew := f.isNewTable(change.Catalog)
		switch {
		case change.DeregisteredUpstream != "":
			_, isNew = f.newest[change.DeregisteredUpstream]
			change = f.deregister(change, now)
		case change.Upstream != nil:
			isNew = f.hasChanged(change.Upstream)
		}
		if change.Zone != "" || isNew && f.hasSnapshot {
			kept = append(kept, change)
		}
	}
	f.hasSnapshot = true
	slices.SortFunc(kept, func(a, b Change) int { return cmp.Compare(a.Position, b.Position) })
	return kept
}

// isNewTable reports whether a table is newer than all before it. It returns false without a
// table.
func (f *changeFilter) isNewTable(table *catalog.Catalog) bool {
	if table == nil || table.Version() <= f.tableVersion {
		return false
	}
	f.tableVersion = table.Version()
	return true
}

// deregister returns the change with the newest registration that is known of the
// upstream.
func (f *changeFilter) deregister(change Change, now time.Time) Change {
	id := change.DeregisteredUpstream
	f.departed.add(id, change.LastStartUnixMilli, change.LastSequence, now)
	if last, found := f.newest[id]; found {
		f.departed.add(id, last.StartUnixMilli, last.Sequence, now)
		delete(f.newest, id)
	}
	last := f.departed[id]
	change.LastStartUnixMilli, change.LastSequence = last.startUnixMilli, last.sequence
	return change
}

func (f *changeFilter) hasChanged(upstream *catalog.Upstream) bool {
	known, found := f.newest[upstream.ID]
	last, hasDeparted := f.departed[upstream.ID]
	if found && upstream.IsOlderThan(&known.Upstream) || !found && hasDeparted && !last.isSucceededBy(upstream) {
		return false
	}
	unchanged := known.Upstream
	unchanged.Sequence = upstream.Sequence
	isWorthRelaying := known.relays < minRelays || !upstream.ColdUntil.IsZero() || !reflect.DeepEqual(unchanged, *upstream)
	if isWorthRelaying {
		known.relays++
	}
	f.newest[upstream.ID] = knownRegistration{Upstream: *upstream, relays: known.relays}
	return isWorthRelaying
}
