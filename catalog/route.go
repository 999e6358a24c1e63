package catalog

import (
	"slices"
	"strings"
	"time"
)

// RouteKind determines which requests on a route may be retried.
type RouteKind string

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = "non_idempotent"
	// Streaming requests are answered by server-sent events. They run at most
	// once unless the route is resumable.
	Streaming RouteKind = "streaming"
)

// WeightedService is a service of a route with its share of the requests.
type WeightedService struct {
	Service string
	// Weight is relative to the weights of the route's other services. It is
	// not negative.
	Weight float64
}

// Route sends the requests for a host and below a path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix starts and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// WeightedServices has at least one element.
	WeightedServices []WeightedService
	// Timeout is the maximum time that a request waits.
	Timeout time.Duration
	// LatencyObjective is the target for the time to the response, or to the
	// first event of a stream.
	LatencyObjective time.Duration
	// EventGapObjective is the target for the longest time between two events
	// of a stream.
	EventGapObjective time.Duration
	// MaxAttempts is the maximum number of upstreams that one request is sent
	// to. It is at least 1.
	MaxAttempts int
	// Priority orders routes by importance; 0 is the highest priority.
	Priority int
	// AllowAnonymous accepts requests without an API key.
	AllowAnonymous bool
	// Resumable allows another upstream to resume an interrupted stream.
	Resumable bool
}

// IsResumable reports whether callers may take up a stream whose connection broke.
func (r *Route) IsResumable() bool { return r.Kind == Streaming && r.Resumable }

// HasService reports whether requests may be sent to a service.
func (r *Route) HasService(name string) bool {
	return slices.ContainsFunc(r.WeightedServices, func(share WeightedService) bool { return share.Service == name })
}

// IsRetryable reports whether a request may be retried after an attempt whose
// outcome is unknown.
func (r *Route) IsRetryable() bool {
	return r.Kind == Idempotent || r.IsResumable()
}

// PickService chooses the service for a request by weight. draw is a uniform
// random number in [0, 1).
func (r *Route) PickService(draw float64) string {
	var total float64
	for _, share := range r.WeightedServices {
		total += share.Weight
	}
	rest := draw * total
	for _, share := range r.WeightedServices {
		if rest < share.Weight {
			return share.Service
		}
		rest -= share.Weight
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}

// hostRoutes maps the path prefixes of one host to their routes.
type hostRoutes map[string]*Route

// match returns the route with the longest prefix that matches the path. It does
// at most one map lookup for each segment of the path.
func (h hostRoutes) match(path string) (*Route, bool) {
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil, false
		}
		if route, found := h[path[:slash+1]]; found {
			return route, true
		}
		end = slash
	}
	return nil, false
}
