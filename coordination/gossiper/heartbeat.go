package gossiper

import (
	"errors"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/allotter"
	"github.com/crocushollow/crocushollow/state/quarantiner"
	"github.com/crocushollow/crocushollow/state/selector"
)

// Peer is an instance as others reach it.
type Peer struct {
	// Instance names it, and Incarnation tells its lives apart.
	Instance    string                   `cbor:"1,keyasint" json:"instance"`
	Incarnation crocushollow.Incarnation `cbor:"2,keyasint" json:"incarnation"`
	// Address takes bulletins, and CallerAddress takes callers' connections.
	Address          string `cbor:"3,keyasint" json:"address"`
	CallerAddress    string `cbor:"4,keyasint,omitempty" json:"caller_address"`
	AvailabilityZone string `cbor:"5,keyasint,omitempty" json:"availability_zone"`
	// Capacity is the part of a core that the instance may use. Instances with
	// more come first for duties.
	Capacity float64 `cbor:"6,keyasint,omitempty" json:"capacity,omitempty"`
}

// comesBefore reports whether the peer comes before another one for duties.
func (p Peer) comesBefore(other Peer) bool {
	if p.Capacity != other.Capacity {
		return p.Capacity > other.Capacity
	}
	return p.Instance < other.Instance
}

// Validate implements encoder.Validator.
func (p Peer) Validate() error {
	if p.Instance == "" || p.Incarnation == 0 || p.Address == "" {
		return errors.New("peer without a name, an incarnation or an address")
	}
	return nil
}

// AdapterRequest asks the holder of the planning duty for an adapter.
type AdapterRequest struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Adapter string `cbor:"3,keyasint"`
}

// Placement is what an engine holds after an order of the planner.
type Placement struct {
	Upstream       string `cbor:"1,keyasint"`
	StartUnixMilli int64  `cbor:"2,keyasint"`
	// AcceptedOrders is the number of orders that the engine has accepted.
	AcceptedOrders int64                 `cbor:"3,keyasint"`
	LoadedModels   []catalog.LoadedModel `cbor:"4,keyasint"`
}

// FeedUpdate is what one read of a feed has brought.
type FeedUpdate struct {
	Source string `cbor:"1,keyasint"`
	From   int64  `cbor:"2,keyasint"`
	Next   int64  `cbor:"3,keyasint"`
	// Registrations lists new announcements, and Gone upstreams that are no longer
	// announced.
	Registrations   []UpstreamRegistration   `cbor:"4,keyasint,omitempty"`
	Deregistrations []UpstreamDeregistration `cbor:"5,keyasint,omitempty"`
}

// UpstreamRegistration is a new announcement.
type UpstreamRegistration struct {
	Offset int64 `cbor:"1,keyasint"`
	// Upstream has no ColdUntil, since clocks differ between instances.
	Upstream      catalog.Upstream `cbor:"2,keyasint"`
	ColdRemaining time.Duration    `cbor:"3,keyasint,omitempty"`
}

// UpstreamDeregistration is an upstream that is no longer announced.
type UpstreamDeregistration struct {
	Offset int64  `cbor:"1,keyasint"`
	ID     string `cbor:"2,keyasint"`
}

// Heartbeat is what an instance tells the others.
type Heartbeat struct {
	From Peer `cbor:"1,keyasint"`
	// Draining tells that the instance shuts down, and Ready that it serves.
	Draining bool `cbor:"2,keyasint,omitempty"`
	Ready    bool `cbor:"3,keyasint,omitempty"`
	// UptimeSeconds is the time since the start. It is negative in a brief
	// bulletin.
	UptimeSeconds int64 `cbor:"4,keyasint"`
	// Loads is the work on each upstream, and Uses that of each workspace.
	Loads         map[string]selector.Load  `cbor:"5,keyasint,omitempty"`
	WorkspaceUses map[string]allotter.Usage `cbor:"6,keyasint,omitempty"`
	// Demand is the engine time that each model was asked for per second.
	Demand map[string]float64 `cbor:"7,keyasint,omitempty"`
	// Crashes are requests that broke upstreams of late.
	Crashes []quarantiner.CrashCount `cbor:"8,keyasint,omitempty"`
	// FencingToken is the fencing number of the planning duty if the instance holds
	// it, and 0 otherwise.
	FencingToken int64 `cbor:"9,keyasint,omitempty"`
	// AdapterRequests and Placements are sent as they arise.
	AdapterRequests []AdapterRequest `cbor:"10,keyasint,omitempty"`
	Placements      []Placement      `cbor:"11,keyasint,omitempty"`
	// LoadChanges is the work on upstreams where it has changed.
	LoadChanges map[string]selector.Load `cbor:"12,keyasint,omitempty"`
	// FeedUpdates tells the others of the zone what reads of the platform's feeds have
	// brought.
	FeedUpdates []FeedUpdate `cbor:"13,keyasint,omitempty"`
}

// IsPartial tells that the bulletin carries no state of the sender but only wants,
// placements or changes.
func (b *Heartbeat) IsPartial() bool { return b.UptimeSeconds < 0 }

// NewPartial returns a brief bulletin.
func NewPartial() Heartbeat { return Heartbeat{UptimeSeconds: -1} }

// Validate implements encoder.Validator.
func (b Heartbeat) Validate() error { return b.From.Validate() }

// Uptime returns the time since the sender's start.
func (b *Heartbeat) Uptime() time.Duration { return time.Duration(b.UptimeSeconds) * time.Second }
