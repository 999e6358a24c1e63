package crocushollow

import (
	"net/netip"
)

// UpstreamKind distinguishes model engines from other services.
type UpstreamKind string

// The kinds of upstream.
const (
	EngineUpstream  UpstreamKind = "engine"
	ServiceUpstream UpstreamKind = "service"
)

// Upstream is a back end that requests are sent to.
type Upstream struct {
	// ID is the primary key.
	ID string `json:"id" cell:"id"`
	// Kind is engine or service.
	Kind UpstreamKind `json:"kind" cell:"kind"`
	// Address is the IP address and port that the upstream listens on.
	Address string `json:"address" cell:"address"`
	// AvailabilityZone is the ID of the zone that the upstream runs in.
	AvailabilityZone string `json:"availability_zone" cell:"availability_zone"`
	// MemoryBytes is the accelerator memory for weights. It is 0 for services.
	MemoryBytes int64 `json:"memory_bytes" cell:"memory_bytes"`
	// MaxInFlight is the maximum number of requests in flight from all
	// instances together.
	MaxInFlight int64 `json:"max_in_flight" cell:"max_in_flight"`
	// ColdMaxInFlight replaces MaxInFlight during a cold start. It is at most
	// MaxInFlight.
	ColdMaxInFlight int64 `json:"cold_max_in_flight" cell:"cold_max_in_flight"`
	// ChecksFencingToken reports whether the upstream rejects orders with an
	// outdated fencing token.
	ChecksFencingToken bool `json:"checks_fencing" cell:"checks_fencing"`
	// Draining stops new work from being sent to the upstream.
	Draining bool `json:"leaving" cell:"leaving"`
}

// Ref implements Row.
func (u Upstream) Ref() RowRef { return RowRef{Table: UpstreamTable, ID: u.ID} }

// References implements Row.
func (u Upstream) References() []RowRef {
	return []RowRef{{Table: AvailabilityZoneTable, ID: u.AvailabilityZone}}
}

// Validate implements Row.
func (u Upstream) Validate() error {
	if u.Kind != EngineUpstream && u.Kind != ServiceUpstream {
		return &CellError{Column: "kind", Reason: "must be engine or service"}
	}
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		return &CellError{Column: "address", Reason: "must be an IP address and port, such as 10.0.0.7:8000"}
	}
	if u.Kind == EngineUpstream && u.MemoryBytes <= 0 {
		return &CellError{Column: "memory_bytes", Reason: "must be greater than 0 for an engine"}
	}
	if u.ColdMaxInFlight > u.MaxInFlight {
		return &CellError{Column: "cold_max_in_flight", Reason: "must be at most max_in_flight"}
	}
	return firstError(
		validateID("id", u.ID),
		requirePositive("max_in_flight", u.MaxInFlight),
		requirePositive("cold_max_in_flight", u.ColdMaxInFlight),
	)
}
