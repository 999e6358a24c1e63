package catalog

import "time"

// Service is a group of upstreams that take the same requests.
type Service struct {
	Name string
	// HealthPath answers whether an upstream is healthy.
	HealthPath string
	// MaxConnections bounds the connections to one upstream from all instances
	// together. 0 means that the bound is not known.
	MaxConnections int
	// ColdStart is how long an upstream is cold after its start.
	ColdStart time.Duration
	// ColdRateLimit is the number of requests per second that a cold upstream bears
	// from all instances together. 0 means no bound.
	ColdRateLimit float64
	// Engine describes the upstreams of a service that runs models. It is nil
	// for a plain service.
	Engine *EngineSpec
}

// EngineSpec is what all model engines of a service have in common.
type EngineSpec struct {
	// Slots is the number of requests that run at once.
	Slots int
	// KVCacheTokens is the memory for the tokens of running requests and kept
	// prompts.
	KVCacheTokens int64
	// MemoryMB is the accelerator memory for models and adapters.
	MemoryMB float64
	// AdapterSlots bounds the adapters that one engine holds.
	AdapterSlots int
	// LoadRateLimit is the number of loads per second that the weight store begins
	// for all engines together.
	LoadRateLimit float64
	// Models lists the models by name.
	Models map[string]Model
}

// Model is a base model with its adapters.
type Model struct {
	Name     string
	MemoryMB float64
	// StoreLoadTime, DiskLoad and HostLoad are the times of a load from the weight
	// store, from the engine's disk and from its host memory.
	StoreLoadTime time.Duration
	DiskLoadTime  time.Duration
	HostLoadTime  time.Duration
	// Adapters lists the names of the model's adapters, and AdapterMB is the
	// memory of one.
	Adapters        []string
	AdapterMemoryMB float64
}
