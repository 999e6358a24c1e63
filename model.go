package crocushollow

// Model is a base model that engines can load.
type Model struct {
	// ID is the primary key and the name that callers use.
	ID string `json:"id" cell:"id"`
	// Version is the version of the weights. Changing it starts a rollout of
	// the model.
	Version string `json:"version" cell:"version"`
	// MemoryBytes is the accelerator memory that one replica occupies.
	MemoryBytes int64 `json:"memory_bytes" cell:"memory_bytes"`
	// MinReplicas is the minimum number of upstreams that serve the model.
	MinReplicas int64 `json:"min_replicas" cell:"min_replicas"`
	// MaxInFlight is the maximum number of requests in flight over all
	// instances together; 0 means no limit.
	MaxInFlight int64 `json:"max_in_flight" cell:"max_in_flight"`
	// DefaultMaxTokens is the maximum number of output tokens that is set on,
	// and charged for, a request that does not specify one.
	DefaultMaxTokens int64 `json:"output_tokens" cell:"output_tokens"`
}

// Ref implements Row.
func (m Model) Ref() RowRef { return RowRef{Table: ModelTable, ID: m.ID} }

// References implements Row.
func (m Model) References() []RowRef { return nil }

// Validate implements Row.
func (m Model) Validate() error {
	return firstError(
		validateID("id", m.ID),
		validateID("version", m.Version),
		requirePositive("memory_bytes", m.MemoryBytes),
		requirePositive("min_replicas", m.MinReplicas),
		requireNotNegative("max_in_flight", m.MaxInFlight),
		requirePositive("output_tokens", m.DefaultMaxTokens),
	)
}

// Weights returns the weights that an engine loads to serve the model.
func (m Model) Weights() Weights {
	return Weights{Name: m.ID, Version: m.Version, MemoryBytes: m.MemoryBytes}
}
