package crocushollow

// Adapter is a small set of weights applied on top of a base model. Callers use
// its ID in place of a model name.
type Adapter struct {
	// ID is the primary key and the name that callers use. It must not equal
	// the ID of any model.
	ID string `json:"id" cell:"id"`
	// Model is the ID of the base model.
	Model string `json:"model" cell:"model"`
	// Version is the version of the weights.
	Version string `json:"version" cell:"version"`
	// MemoryBytes is the accelerator memory that the adapter occupies.
	MemoryBytes int64 `json:"memory_bytes" cell:"memory_bytes"`
}

// Ref implements Row.
func (a Adapter) Ref() RowRef { return RowRef{Table: AdapterTable, ID: a.ID} }

// References implements Row.
func (a Adapter) References() []RowRef {
	return []RowRef{{Table: ModelTable, ID: a.Model}}
}

// Validate implements Row.
func (a Adapter) Validate() error {
	return firstError(
		validateID("id", a.ID),
		validateID("version", a.Version),
		requirePositive("memory_bytes", a.MemoryBytes),
	)
}

// Weights returns the weights that an engine loads to serve the adapter.
func (a Adapter) Weights() Weights {
	return Weights{Name: a.ID, Version: a.Version, BaseModel: a.Model, MemoryBytes: a.MemoryBytes}
}
