package catalog

import (
	"strings"
	"time"
)

// RouteKind tells what may be repeated on a route.
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

// WeightedService is a service's weight among the services of a route.
type WeightedService struct {
	Service string
	// Weight is relative to the route's other shares. It is not negative.
	Weight float64
}

// Route sends the requests to a host and below a path to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// WeightedServices lists the services. It has at least one element.
	WeightedServices []WeightedService
	// Timeout bounds the time that a request is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to the first event of a stream,
	// within which a request is on time.
	LatencyObjective time.Duration
	// EventGapObjective is the longest pause between two events of a stream that is
	// on time.
	EventGapObjective time.Duration
	// MaxAttempts is the number of upstreams that one request may be sent to.
	// It is at least 1.
	MaxAttempts int
	// Priority orders routes by importance; 0 is the most important.
	Priority int
	// AllowAnonymous lets requests through that carry no key.
	AllowAnonymous bool
	// Resumable allows a stream to be continued by another upstream.
	Resumable bool
}

// IsRetryable reports whether a request may run again after an attempt whose
// outcome is unknown.
func (r *Route) IsRetryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickService returns the service for a request, chosen by a draw from [0, 1).
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

// hostRoutes finds the route of a path by its longest matching prefix.
type hostRoutes map[string]*Route

// match takes one map access for each segment of the path.
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
