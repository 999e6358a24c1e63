package catalog

import (
	"slices"
	"time"
)

// LoadedModel is a model loaded on an engine, with its loaded adapters.
type LoadedModel struct {
	Model string `cbor:"1,keyasint"`
	// Version is the version of the weights.
	Version int64 `cbor:"2,keyasint,omitempty"`
	// Adapters lists the names of the loaded adapters.
	Adapters []string `cbor:"3,keyasint,omitempty"`
}

// AdapterName identifies an adapter of a model.
type AdapterName struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint"`
}

// Upstream is the registration of a back end.
type Upstream struct {
	// ID identifies the upstream. It keeps its ID when it restarts.
	ID string `cbor:"1,keyasint,omitempty"`
	// Service is the name of the service that the upstream belongs to.
	Service string `cbor:"2,keyasint,omitempty"`
	// Address is the IP address and port that the upstream listens on.
	Address string `cbor:"3,keyasint,omitempty"`
	// AvailabilityZone is the zone that the upstream runs in.
	AvailabilityZone string `cbor:"4,keyasint,omitempty"`
	// StartUnixMilli is the upstream's latest start by its own clock, in Unix
	// milliseconds. It is 0 if the upstream does not report it.
	StartUnixMilli int64 `cbor:"5,keyasint,omitempty"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int `cbor:"6,keyasint,omitempty"`
	// IsDraining reports that the upstream accepts no new work.
	IsDraining bool `cbor:"7,keyasint,omitempty"`
	// ColdUntil is the end of the cold start by the local clock.
	ColdUntil time.Time `cbor:"8,keyasint,omitempty"`
	// Sequence numbers the registrations since the upstream's latest start.
	Sequence int64 `cbor:"9,keyasint,omitempty"`
	// AcceptedOrders is the number of orders that the upstream has accepted
	// since its latest start. Only engine reports contain it; it is 0 in
	// registrations.
	AcceptedOrders int64 `cbor:"10,keyasint,omitempty"`
	// IsExecutingOrder reports that the upstream is executing an order.
	IsExecutingOrder bool `cbor:"11,keyasint,omitempty"`
	// LoadedModels lists the models that an engine can serve now.
	LoadedModels []LoadedModel `cbor:"12,keyasint,omitempty"`
	// LoadingAdapters lists the adapters that are being loaded. They occupy
	// adapter slots.
	LoadingAdapters []AdapterName `cbor:"13,keyasint,omitempty"`
	// HostCachedModels and DiskCachedModels list the models whose weights the
	// engine caches in host memory and on disk.
	HostCachedModels []string `cbor:"14,keyasint,omitempty"`
	DiskCachedModels []string `cbor:"15,keyasint,omitempty"`
	// SoftwareVersion is the version of the upstream's software. It is unknown if an
	// instance of an earlier release has relayed the registration.
	SoftwareVersion SoftwareVersion `cbor:"16,keyasint,omitempty"`
}

// Serves reports whether the upstream serves a model and, unless adapter is
// empty, that adapter of it.
func (u *Upstream) Serves(model, adapter string) bool {
	for i := range u.LoadedModels {
		if u.LoadedModels[i].Model == model {
			return adapter == "" || slices.Contains(u.LoadedModels[i].Adapters, adapter)
		}
	}
	return false
}

// IsOlderThan reports whether the registration is older than another one of the
// same upstream.
func (u *Upstream) IsOlderThan(other *Upstream) bool {
	if u.StartUnixMilli != other.StartUnixMilli {
		return u.StartUnixMilli < other.StartUnixMilli
	}
	return u.Sequence < other.Sequence
}

// WithLoadedModels returns a copy with the given loaded models.
func (u Upstream) WithLoadedModels(models []LoadedModel) Upstream {
	u.LoadedModels = models
	return u
}

// WithSoftwareVersion returns a copy with the given version of the software.
func (u *Upstream) WithSoftwareVersion(version SoftwareVersion) *Upstream {
	next := *u
	next.SoftwareVersion = version
	return &next
}

// WithoutAdapter returns a copy without an adapter.
func (u Upstream) WithoutAdapter(name AdapterName) Upstream {
	models := slices.Clone(u.LoadedModels)
	for i := range models {
		if models[i].Model == name.Model {
			models[i].Adapters = slices.DeleteFunc(slices.Clone(models[i].Adapters), func(a string) bool { return a == name.Adapter })
		}
	}
	u.LoadedModels = models
	return u
}
