package catalog

import "time"

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the path of an upstream's health check.
	HealthPath string
	// MaxConnections is the maximum number of connections to one upstream from
	// all instances together. 0 means that the limit is unknown.
	MaxConnections int
	// ColdStart is how long an upstream stays cold after its start.
	ColdStart time.Duration
	// ColdRateLimit is the number of requests per second that a cold upstream
	// accepts from all instances together. 0 means no limit.
	ColdRateLimit float64
	// Engine describes the upstreams of a service that runs models. It is nil
	// for other services.
	Engine *EngineSpec
	// Scale bounds the number of upstreams. It is nil if the number is fixed.
	Scale *ScaleSpec
}

// ScaleSpec bounds the number of upstreams of a service that an availability zone has.
type ScaleSpec struct {
	// Min is at least 0, and Max at least Min.
	Min, Max int
	// StartTime is the time from an order until a new upstream serves.
	StartTime time.Duration
}

// EngineSpec describes the model engines of a service, which are all alike.
type EngineSpec struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVCacheTokens is the capacity in tokens of the KV cache, which running
	// requests and cached prompts share.
	KVCacheTokens int64
	// MemoryMB is the accelerator memory for models and adapters.
	MemoryMB float64
	// AdapterSlots is the maximum number of adapters on one engine.
	AdapterSlots int
	// LoadRateLimit is the number of loads per second that the weight store
	// starts for all engines together.
	LoadRateLimit float64
	// Models maps names to models.
	Models map[string]Model
}

// Model is a base model with its adapters.
type Model struct {
	Name     string
	MemoryMB float64
	// StoreLoadTime, DiskLoadTime and HostLoadTime are the durations of a load
	// from the weight store, from the engine's disk and from its host memory.
	StoreLoadTime time.Duration
	DiskLoadTime  time.Duration
	HostLoadTime  time.Duration
	// Adapters lists the names of the model's adapters. AdapterMemoryMB is the
	// memory that each of them occupies.
	Adapters        []string
	AdapterMemoryMB float64
}
