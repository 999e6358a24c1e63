package catalog

// Workspace is a tenant with its fleet-wide rate limit.
type Workspace struct {
	Name string
	// Rate, in units per second, and Burst, in units, limit the workspace's
	// usage over all instances together. A Rate of 0 means no limit.
	Rate  float64
	Burst float64
	// CountsTokens reports that a unit is a token rather than a request.
	CountsTokens bool
	// DefaultTokens is the number of tokens charged for a request that does not
	// specify one.
	DefaultTokens float64
	// Priority overrides the route's priority unless it is negative.
	Priority int
}

// Cost returns the number of units that a request consumes.
func (w *Workspace) Cost(tokens float64) float64 {
	switch {
	case !w.CountsTokens:
		return 1
	case tokens > 0:
		return tokens
	}
	return w.DefaultTokens
}
