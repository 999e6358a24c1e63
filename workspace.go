package crocushollow

// Workspace is a tenant with its fleet-wide limits.
type Workspace struct {
	// ID is the primary key.
	ID string `json:"id" cell:"id"`
	// TokenRate is the refill rate of the workspace's token bucket in tokens
	// per second over all instances together. It is greater than 0.
	TokenRate int64 `json:"token_rate" cell:"token_rate"`
	// TokenBurst is the capacity of the token bucket in tokens over all
	// instances together. It is greater than 0.
	TokenBurst int64 `json:"token_burst" cell:"token_burst"`
	// Weight is the workspace's share of a contended model relative to other
	// workspaces. It is greater than 0.
	Weight int64 `json:"weight" cell:"weight"`
	// MaxInFlight is the maximum number of requests in flight over all
	// instances together; 0 means no limit.
	MaxInFlight int64 `json:"max_in_flight" cell:"max_in_flight"`
}

// Ref implements Row.
func (w Workspace) Ref() RowRef { return RowRef{Table: WorkspaceTable, ID: w.ID} }

// References implements Row.
func (w Workspace) References() []RowRef { return nil }

// Validate implements Row.
func (w Workspace) Validate() error {
	return firstError(
		validateID("id", w.ID),
		requirePositive("token_rate", w.TokenRate),
		requirePositive("token_burst", w.TokenBurst),
		requirePositive("weight", w.Weight),
		requireNotNegative("max_in_flight", w.MaxInFlight),
	)
}
