package observer

import (
	"time"

	"github.com/crocushollow/crocushollow/catalog"
)

// departureRetention is how long the last registration of a removed upstream is kept.
// The store may execute a heartbeat seconds after it was sent.
const departureRetention = 20 * time.Second

// departure is the newest registration of an upstream that was removed.
type departure struct {
	startUnixMilli int64
	sequence       int64
	at             time.Time
}

// isSucceededBy reports whether a registration is newer than the removed one.
func (d departure) isSucceededBy(next *catalog.Upstream) bool {
	if next.StartUnixMilli != d.startUnixMilli {
		return next.StartUnixMilli > d.startUnixMilli
	}
	return next.Sequence > d.sequence
}

// departures holds the removed upstreams by ID. Without it, a heartbeat that is stored
// after the removal of its upstream would look like a new upstream.
type departures map[string]departure

// add records the removal of an upstream, unless a later registration of it is known to
// be removed. It also discards departures that are past their retention.
func (d departures) add(id string, startUnixMilli, sequence int64, at time.Time) {
	known, found := d[id]
	if found && known.isSucceededBy(&catalog.Upstream{StartUnixMilli: startUnixMilli, Sequence: sequence}) || !found {
		d[id] = departure{startUnixMilli: startUnixMilli, sequence: sequence, at: at}
	}
	for other, departed := range d {
		if at.Sub(departed.at) > departureRetention {
			delete(d, other)
		}
	}
}
