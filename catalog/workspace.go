package catalog

// Workspace is a tenant with its fleet-wide limit.
type Workspace struct {
	Name string
	// Rate and Burst bound the workspace's use over all instances together, in
	// units and units per second. A Rate of 0 means no limit.
	Rate  float64
	Burst float64
	// CountsTokens tells that a unit is a token rather than a request.
	CountsTokens bool
	// DefaultTokens is what a request that names no tokens counts as.
	DefaultTokens float64
	// Priority goes before the route's rank unless it is negative.
	Priority int
}

// Cost returns what a request counts against the limit.
func (w *Workspace) Cost(tokens float64) float64 {
	switch {
	case !w.CountsTokens:
		return 1
	case tokens > 0:
		return tokens
	}
	return w.DefaultTokens
}
