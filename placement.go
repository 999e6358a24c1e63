package crocushollow

// Weights describes the weights that an engine loads to serve a model or an
// adapter.
type Weights struct {
	// Name is the ID of the model or adapter.
	Name string `json:"name"`
	// Version is the version of the weights.
	Version string `json:"version"`
	// BaseModel is the ID of an adapter's base model. It is empty for a model.
	BaseModel string `json:"base,omitempty"`
	// MemoryBytes is the accelerator memory that one replica occupies.
	MemoryBytes int64 `json:"memory_bytes"`
}

// Label returns name@version, which is unique among all weights.
func (w Weights) Label() string { return w.Name + "@" + w.Version }

// ResidencyState is the state of weights on an upstream.
type ResidencyState string

// The states of weights on an upstream.
const (
	// Loading weights have memory reserved, before the load order is sent.
	Loading ResidencyState = "loading"
	// Resident weights serve requests.
	Resident ResidencyState = "resident"
	// Unloading weights serve no new requests but still occupy memory.
	Unloading ResidencyState = "unloading"
	// Absent weights occupy no memory, according to the engine's own report.
	Absent ResidencyState = "absent"
)

// Residency records the state of weights on an upstream.
type Residency struct {
	Upstream string         `json:"upstream"`
	Weights  Weights        `json:"weights"`
	State    ResidencyState `json:"state"`
	// Term is the term of the shard owner that wrote the residency.
	Term uint64 `json:"term"`
	// FencingToken is the log offset plus 1 of the record that reserved the
	// memory or started the unload. The resulting orders carry it. It increases
	// with each such record for an upstream. The applier sets it.
	FencingToken uint64 `json:"intent"`
}

// OccupiesMemory reports whether the weights occupy accelerator memory.
func (r Residency) OccupiesMemory() bool { return r.State != Absent }

// PlacementTarget is the set of weights that the planner has assigned to an
// upstream.
type PlacementTarget struct {
	Upstream string    `json:"upstream"`
	Weights  []Weights `json:"weights"`
	// Term is the fencing token of the planner.
	Term uint64 `json:"term"`
}

// EngineReport is the status that an engine reports.
type EngineReport struct {
	// Incarnation changes when the engine restarts and loses the weights in its
	// memory.
	Incarnation string `json:"incarnation"`
	// Sequence increases with every change of the loaded weights.
	Sequence uint64 `json:"sequence"`
	// Cold reports that the engine is in cold start.
	Cold bool `json:"cold"`
	// Loaded lists the weights that serve requests.
	Loaded []Weights `json:"loaded"`
	// Loading lists the weights of orders in progress.
	Loading []Weights `json:"loading"`
	// InFlight is the number of running and queued requests.
	InFlight int64 `json:"in_flight"`
	// MemoryUsedBytes is the memory that loaded and loading weights occupy.
	MemoryUsedBytes int64 `json:"memory_used_bytes"`
	// CacheEvents lists changes of the prefix cache. The list may be
	// incomplete.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// CacheEvent reports that a prompt prefix was added to or evicted from an
// engine's prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the prompt prefix.
	Prefix uint64 `json:"prefix"`
	// Evicted reports that the prefix was evicted rather than added.
	Evicted bool `json:"evicted,omitempty"`
}

// Order instructs an engine to load or unload weights.
type Order struct {
	// ID identifies the order, so that an engine recognizes a retried order.
	ID      ID      `json:"id"`
	Weights Weights `json:"weights"`
	// Unload removes the weights instead of loading them.
	Unload bool `json:"unload,omitempty"`
	// FencingToken is the token of the residency that the order carries out. An
	// engine that checks fencing tokens rejects an order whose token is smaller
	// than the largest it has seen.
	FencingToken uint64 `json:"fencing"`
	// Incarnation is the incarnation of the engine that the order is meant for.
	Incarnation string `json:"incarnation"`
}
