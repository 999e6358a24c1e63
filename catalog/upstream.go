package catalog

import (
	"slices"
	"time"
)

// LoadedModel is a model that an engine holds, with its adapters.
type LoadedModel struct {
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
	// StartUnixMilli is when this life of the upstream began by its own clock, in Unix
	// milliseconds; 0 if it does not say.
	StartUnixMilli int64 `cbor:"5,keyasint,omitempty"`
	// Slots is the number of requests that it runs at once.
	Slots int `cbor:"6,keyasint,omitempty"`
	// IsDraining tells that it takes no new work.
	IsDraining bool `cbor:"7,keyasint,omitempty"`
	// ColdUntil is when it ceases to be cold by the local clock.
	ColdUntil time.Time `cbor:"8,keyasint,omitempty"`
	// Sequence numbers the announcements of one life.
	Sequence int64 `cbor:"9,keyasint,omitempty"`
	// AcceptedOrders is the number of orders that this life has accepted. Only reports
	// tell it; it is 0 in announcements.
	AcceptedOrders int64 `cbor:"10,keyasint,omitempty"`
	// IsExecutingOrder tells that an order is being carried out.
	IsExecutingOrder bool `cbor:"11,keyasint,omitempty"`
	// LoadedModels lists what an engine can serve now.
	LoadedModels []LoadedModel `cbor:"12,keyasint,omitempty"`
	// LoadingAdapters lists the adapters on their way to it. They occupy places.
	LoadingAdapters []AdapterName `cbor:"13,keyasint,omitempty"`
	// HostCachedModels and DiskCopies list the models whose weights the engine keeps
	// in host memory and on disk.
	HostCachedModels []string `cbor:"14,keyasint,omitempty"`
	DiskCachedModels []string `cbor:"15,keyasint,omitempty"`
}

// Serves reports whether the upstream serves a model, and an adapter of it
// unless that is empty.
func (u *Upstream) Serves(model, adapter string) bool {
	for i := range u.LoadedModels {
		if u.LoadedModels[i].Model == model {
			return adapter == "" || slices.Contains(u.LoadedModels[i].Adapters, adapter)
		}
	}
	return false
}

// IsOlderThan reports whether the announcement was made before another one of
// the same upstream.
func (u *Upstream) IsOlderThan(other *Upstream) bool {
	if u.StartUnixMilli != other.StartUnixMilli {
		return u.StartUnixMilli < other.StartUnixMilli
	}
	return u.Sequence < other.Sequence
}

// WithLoadedModels returns a copy that holds other weights.
func (u Upstream) WithLoadedModels(holdings []LoadedModel) Upstream {
	u.LoadedModels = holdings
	return u
}

// WithoutAdapter returns a copy that does not hold an adapter.
func (u Upstream) WithoutAdapter(name AdapterName) Upstream {
	holdings := slices.Clone(u.LoadedModels)
	for i := range holdings {
		if holdings[i].Model == name.Model {
			holdings[i].Adapters = slices.DeleteFunc(slices.Clone(holdings[i].Adapters), func(a string) bool { return a == name.Adapter })
		}
	}
	u.LoadedModels = holdings
	return u
}
