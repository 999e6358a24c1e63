package gossiper

import (
	"errors"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/coordination/registrar"
	"github.com/crocushollow/crocushollow/state/allotter"
	"github.com/crocushollow/crocushollow/state/pinner"
	"github.com/crocushollow/crocushollow/state/quarantiner"
	"github.com/crocushollow/crocushollow/state/selector"
	"github.com/crocushollow/crocushollow/state/tallier"
	"github.com/crocushollow/crocushollow/state/throttler"
)

// Peer identifies an instance and lists the addresses that reach it.
type Peer struct {
	// Instance is the instance's ID. Incarnation changes at every start.
	Instance    string                   `cbor:"1,keyasint" json:"instance"`
	Incarnation crocushollow.Incarnation `cbor:"2,keyasint" json:"incarnation"`
	// Address receives heartbeats, and CallerAddress accepts connections of
	// callers.
	Address          string `cbor:"3,keyasint" json:"address"`
	CallerAddress    string `cbor:"4,keyasint,omitempty" json:"caller_address"`
	AvailabilityZone string `cbor:"5,keyasint,omitempty" json:"availability_zone"`
	// Capacity is the CPU capacity of the instance in cores. Instances with more
	// capacity rank first as planner leader and as watcher.
	Capacity float64 `cbor:"6,keyasint,omitempty" json:"capacity,omitempty"`
}

// ranksBefore reports whether the peer ranks before another one as planner leader
// and as watcher.
func (p Peer) ranksBefore(other Peer) bool {
	if p.Capacity != other.Capacity {
		return p.Capacity > other.Capacity
	}
	return p.Instance < other.Instance
}

// Validate implements encoder.Validator.
func (p Peer) Validate() error {
	if p.Instance == "" || p.Incarnation == 0 || p.Address == "" {
		return errors.New("peer without an instance ID, an incarnation or an address")
	}
	return nil
}

// AdapterRequest asks the planner leader to load an adapter.
type AdapterRequest struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Adapter string `cbor:"3,keyasint"`
}

// Placement lists the models and adapters that an engine serves after an order
// from the planner.
type Placement struct {
	// Upstream is the engine's ID, and StartUnixMilli identifies its incarnation.
	Upstream       string `cbor:"1,keyasint"`
	StartUnixMilli int64  `cbor:"2,keyasint"`
	// AcceptedOrders is the number of orders that the engine has accepted so far.
	AcceptedOrders int64                 `cbor:"3,keyasint"`
	LoadedModels   []catalog.LoadedModel `cbor:"4,keyasint"`
}

// FeedUpdate carries the changes of one read of a feed. From and Next are the
// positions at which the read started and ended.
type FeedUpdate struct {
	Source string                `cbor:"1,keyasint"`
	From   crocushollow.Position `cbor:"2,keyasint"`
	Next   crocushollow.Position `cbor:"3,keyasint"`
	// Registrations lists new or changed registrations of upstreams, and
	// Deregistrations the upstreams that are no longer registered.
	Registrations   []UpstreamRegistration   `cbor:"4,keyasint,omitempty"`
	Deregistrations []UpstreamDeregistration `cbor:"5,keyasint,omitempty"`
	// Records lists the records of operators.
	Records []FeedRecord `cbor:"6,keyasint,omitempty"`
	// IsComplete means that the update has all changes between From and Next.
	IsComplete bool `cbor:"7,keyasint,omitempty"`
	// Age is how long before this update was sent the store may have sent the changes.
	Age time.Duration `cbor:"8,keyasint,omitempty"`
}

// FeedRecord is a record that operators have published.
type FeedRecord struct {
	Position crocushollow.Position `cbor:"1,keyasint"`
	Key      string                `cbor:"2,keyasint"`
	// CompressedValue is the value in the DEFLATE format (RFC 1951), or a part of it. It
	// is empty if the record deletes the key.
	CompressedValue []byte `cbor:"3,keyasint,omitempty"`
	// Part is the number of this part, from 0, and Parts the number of all parts. Both
	// are 0 if the value is complete.
	Part  int `cbor:"4,keyasint,omitempty"`
	Parts int `cbor:"5,keyasint,omitempty"`
}

// UpstreamRegistration is a new or changed registration of an upstream.
type UpstreamRegistration struct {
	Position crocushollow.Position `cbor:"1,keyasint"`
	// Upstream has a zero ColdUntil, since clocks differ between instances.
	// ColdRemaining takes its place.
	Upstream      catalog.Upstream `cbor:"2,keyasint"`
	ColdRemaining time.Duration    `cbor:"3,keyasint,omitempty"`
}

// UpstreamDeregistration names an upstream that is no longer registered.
type UpstreamDeregistration struct {
	Position crocushollow.Position `cbor:"1,keyasint"`
	ID       string                `cbor:"2,keyasint"`
	// StartUnixMilli and Sequence identify its newest registration. They are 0 if the
	// sender does not know it.
	StartUnixMilli int64 `cbor:"3,keyasint,omitempty"`
	Sequence       int64 `cbor:"4,keyasint,omitempty"`
}

// Heartbeat is a message from an instance to its peers. A full heartbeat carries
// the complete status of the sender. A partial one carries only events, in the
// fields from AdapterRequests on.
type Heartbeat struct {
	From Peer `cbor:"1,keyasint"`
	// Draining is set while the sender shuts down, and Ready while it serves
	// requests.
	Draining bool `cbor:"2,keyasint,omitempty"`
	Ready    bool `cbor:"3,keyasint,omitempty"`
	// UptimeSeconds is the time since the sender's start. It is negative in a
	// partial heartbeat.
	UptimeSeconds int64 `cbor:"4,keyasint"`
	// Loads is the sender's load on each upstream, and WorkspaceUses its use of
	// each workspace's limits.
	Loads         map[string]selector.Load  `cbor:"5,keyasint,omitempty"`
	WorkspaceUses map[string]allotter.Usage `cbor:"6,keyasint,omitempty"`
	// Demand is the demand for each model at the sender, in seconds of engine
	// time per second.
	Demand map[string]float64 `cbor:"7,keyasint,omitempty"`
	// FencingToken is the sender's fencing token if it is the planner leader, and
	// 0 otherwise.
	FencingToken int64 `cbor:"9,keyasint,omitempty"`
	// AdapterRequests and Placements are sent as they arise.
	AdapterRequests []AdapterRequest `cbor:"10,keyasint,omitempty"`
	Placements      []Placement      `cbor:"11,keyasint,omitempty"`
	// LoadChanges is the sender's load on the upstreams where it has changed.
	LoadChanges map[string]selector.Load `cbor:"12,keyasint,omitempty"`
	// FeedUpdates carries changes that the sender has read from the platform's
	// feeds.
	FeedUpdates []FeedUpdate `cbor:"13,keyasint,omitempty"`
	// Parts is news about prompt parts that may crash upstreams. It is nil if there is
	// none.
	Parts *quarantiner.PartReport `cbor:"14,keyasint,omitempty"`
	// RateLimits holds what upstreams have said about their rate limits.
	RateLimits []throttler.Statement `cbor:"15,keyasint,omitempty"`
	// Software lists software versions that the registrar's ledger has.
	Software []registrar.Software `cbor:"16,keyasint,omitempty"`
	// Pins states the origins of streams to instances that hold them or have asked, and
	// PinQueries asks for the origins of streams.
	Pins       []pinner.Pin    `cbor:"17,keyasint,omitempty"`
	PinQueries []pinner.Stream `cbor:"18,keyasint,omitempty"`
	// Requests is news about requests that may crash upstreams, or nil. An aggregator relays
	// it in partial heartbeats. Key 8 held counts of crashes.
	Requests *quarantiner.RequestReport `cbor:"19,keyasint,omitempty"`
	// Usage holds counts of requests, which only the planner leader needs.
	Usage []tallier.Report `cbor:"22,keyasint,omitempty"`
	// SettledWindows is the number of the windows of usage that are settled, from the first
	// one on. It is 0 if the sender does not say.
	SettledWindows int64 `cbor:"23,keyasint,omitempty"`
}

// IsPartial reports whether the heartbeat carries only events and not the status
// of the sender.
func (h *Heartbeat) IsPartial() bool { return h.UptimeSeconds < 0 }

// events returns a partial heartbeat with the events of this one. It has no load
// changes.
func (h *Heartbeat) events() *Heartbeat {
	partial := NewPartial()
	partial.From, partial.Requests = h.From, h.Requests
	partial.AdapterRequests, partial.Placements, partial.FeedUpdates = h.AdapterRequests, h.Placements, h.FeedUpdates
	partial.Parts, partial.RateLimits, partial.Software = h.Parts, h.RateLimits, h.Software
	partial.Pins, partial.PinQueries = h.Pins, h.PinQueries
	partial.Usage, partial.SettledWindows = h.Usage, h.SettledWindows
	return &partial
}

// hasRelayedEvents reports whether the heartbeat has events that aggregators relay.
func (h *Heartbeat) hasRelayedEvents() bool {
	return len(h.Placements) > 0 || h.Requests != nil || len(h.FeedUpdates) > 0 || h.Parts != nil || len(h.RateLimits) > 0 || len(h.Software) > 0 || h.SettledWindows > 0
}

// NewPartial returns an empty partial heartbeat.
func NewPartial() Heartbeat { return Heartbeat{UptimeSeconds: -1} }

// Validate implements encoder.Validator.
func (h Heartbeat) Validate() error {
	for i := range h.RateLimits {
		if err := h.RateLimits[i].Validate(); err != nil {
			return err
		}
	}
	for i := range h.Software {
		if err := h.Software[i].Validate(); err != nil {
			return err
		}
	}
	for i := range h.Usage {
		if err := h.Usage[i].Validate(); err != nil {
			return err
		}
	}
	for i := range h.Pins {
		if err := h.Pins[i].Validate(); err != nil {
			return err
		}
	}
	return h.From.Validate()
}

// Uptime returns the time since the sender's start.
func (h *Heartbeat) Uptime() time.Duration { return time.Duration(h.UptimeSeconds) * time.Second }
