package catalog

import (
	"slices"
	"time"
)

// Holding is a model that an engine holds, with its adapters.
type Holding struct {
	Model string `cbor:"1,keyasint"`
	// Version is that of the weights.
	Version int64 `cbor:"2,keyasint,omitempty"`
	// Adapters lists the names of the adapters that serve.
	Adapters []string `cbor:"3,keyasint,omitempty"`
}

// AdapterName names an adapter of a model.
type AdapterName struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint"`
}

// Upstream is what a back end has announced of itself.
type Upstream struct {
	// ID names the upstream. It may start again under the same ID.
	ID string `cbor:"1,keyasint,omitempty"`
	// Service is the name of the service whose requests it takes.
	Service string `cbor:"2,keyasint,omitempty"`
	// Address is the IP number and port that it listens on.
	Address string `cbor:"3,keyasint,omitempty"`
	// AvailabilityZone is the zone it runs in.
	AvailabilityZone string `cbor:"4,keyasint,omitempty"`
	// Born is when this life of the upstream began by its own clock, in Unix
	// milliseconds; 0 if it does not say.
	Born int64 `cbor:"5,keyasint,omitempty"`
	// Slots is the number of requests that it runs at once.
	Slots int `cbor:"6,keyasint,omitempty"`
	// IsLeaving tells that it takes no new work.
	IsLeaving bool `cbor:"7,keyasint,omitempty"`
	// ColdUntil is when it ceases to be cold by the local clock.
	ColdUntil time.Time `cbor:"8,keyasint,omitempty"`
	// Heartbeat numbers the announcements of one life.
	Heartbeat int64 `cbor:"9,keyasint,omitempty"`
	// Orders is the number of orders that this life has accepted. Only reports
	// tell it; it is 0 in announcements.
	Orders int64 `cbor:"10,keyasint,omitempty"`
	// IsBusy tells that an order is being carried out.
	IsBusy bool `cbor:"11,keyasint,omitempty"`
	// Holdings lists what an engine can serve now.
	Holdings []Holding `cbor:"12,keyasint,omitempty"`
	// Incoming lists the adapters on their way to it. They occupy places.
	Incoming []AdapterName `cbor:"13,keyasint,omitempty"`
	// HostCopies and DiskCopies list the models whose weights the engine keeps
	// in host memory and on disk.
	HostCopies []string `cbor:"14,keyasint,omitempty"`
	DiskCopies []string `cbor:"15,keyasint,omitempty"`
}

// Holds reports whether the upstream serves a model, and an adapter of it
// unless that is empty.
func (u *Upstream) Holds(model, adapter string) bool {
	for i := range u.Holdings {
		if u.Holdings[i].Model == model {
			return adapter == "" || slices.Contains(u.Holdings[i].Adapters, adapter)
		}
	}
	return false
}

// IsOlderThan reports whether the announcement was made before another one of
// the same upstream.
func (u *Upstream) IsOlderThan(other *Upstream) bool {
	if u.Born != other.Born {
		return u.Born < other.Born
	}
	return u.Heartbeat < other.Heartbeat
}

// WithHoldings returns a copy that holds other weights.
func (u Upstream) WithHoldings(holdings []Holding) Upstream {
	u.Holdings = holdings
	return u
}

// WithoutAdapter returns a copy that does not hold an adapter.
func (u Upstream) WithoutAdapter(name AdapterName) Upstream {
	holdings := slices.Clone(u.Holdings)
	for i := range holdings {
		if holdings[i].Model == name.Model {
			holdings[i].Adapters = slices.DeleteFunc(slices.Clone(holdings[i].Adapters), func(a string) bool { return a == name.Adapter })
		}
	}
	u.Holdings = holdings
	return u
}
