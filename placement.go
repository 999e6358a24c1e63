package crocushollow

// Weights is what an engine loads to serve a model or an adapter.
type Weights struct {
	// Name is the ID of the model or adapter.
	Name string `json:"name"`
	// Version selects the weights.
	Version string `json:"version"`
	// BaseModel is the base model's ID for an adapter and empty for a model.
	BaseModel string `json:"base,omitempty"`
	// MemoryBytes is the accelerator memory that one copy occupies.
	MemoryBytes int64 `json:"memory_bytes"`
}

// Label returns name@version, which is unique among all weights.
func (w Weights) Label() string { return w.Name + "@" + w.Version }

// ResidencyState is how far an order for weights on an upstream has come.
type ResidencyState string

// The states of weights on an upstream.
const (
	// Loading reserves memory before the order is sent.
	Loading ResidencyState = "loading"
	// Resident weights serve requests.
	Resident ResidencyState = "resident"
	// Unloading weights serve no new request and still occupy memory.
	Unloading ResidencyState = "unloading"
	// Absent weights occupy no memory, as the engine itself has reported.
	Absent ResidencyState = "absent"
)

// Residency is the state of weights on an upstream.
type Residency struct {
	Upstream string         `json:"upstream"`
	Weights  Weights        `json:"weights"`
	State    ResidencyState `json:"state"`
	// Term is that of the holder that wrote the residency.
	Term uint64 `json:"term"`
	// FencingToken is the log offset plus 1 of the record that reserved the memory
	// or began to unload. It is the fencing number of the orders that follow
	// and grows with each intent for an upstream. The applier sets it.
	FencingToken uint64 `json:"intent"`
}

// OccupiesMemory reports whether the weights take up memory.
func (r Residency) OccupiesMemory() bool { return r.State != Absent }

// PlacementTarget is what the planner wants to be resident on an upstream.
type PlacementTarget struct {
	Upstream string    `json:"upstream"`
	Weights  []Weights `json:"weights"`
	// Term is the fencing number of the planner.
	Term uint64 `json:"term"`
}

// EngineReport is what an engine says about itself.
type EngineReport struct {
	// Incarnation changes when the engine restarts and loses its memory.
	Incarnation string `json:"incarnation"`
	// Sequence grows with every change of the loaded weights.
	Sequence uint64 `json:"sequence"`
	// Cold tells that the engine is in cold start.
	Cold bool `json:"cold"`
	// Loaded lists the weights that serve requests.
	Loaded []Weights `json:"loaded"`
	// Loading lists the weights of orders in progress.
	Loading []Weights `json:"loading"`
	// InFlight is the number of requests that run or wait.
	InFlight int64 `json:"in_flight"`
	// MemoryUsedBytes is the memory that loaded and loading weights occupy.
	MemoryUsedBytes int64 `json:"memory_used_bytes"`
	// CacheEvents are changes of the prefix cache. Some may be missing.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the prompt prefix.
	Prefix uint64 `json:"prefix"`
	// Evicted tells that the prefix has left the cache.
	Evicted bool `json:"evicted,omitempty"`
}

// Order tells an engine to load or unload weights.
type Order struct {
	// ID makes a repeated order the same order.
	ID      ID      `json:"id"`
	Weights Weights `json:"weights"`
	// Unload removes the weights instead of loading them.
	Unload bool `json:"unload,omitempty"`
	// FencingToken is the intent that the order carries out. An engine that checks
	// fencing numbers refuses one that is smaller than the largest it has seen.
	FencingToken uint64 `json:"fencing"`
	// Incarnation is the engine's incarnation that the order is meant for.
	Incarnation string `json:"incarnation"`
}
