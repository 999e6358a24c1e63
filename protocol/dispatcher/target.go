package dispatcher

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/limiter"
)

// route is an upstream that serves some weights.
type route struct {
	upstream crocushollow.Upstream
	key      limiter.ResourceKey
	flight   *limiter.Semaphore
	hash     uint64
	// wantedAt is when more units were last asked for out of preference.
	wantedAt time.Time
}

// routeCache holds the routes of a model and its adapters in one state.
type routeCache struct {
	state  *applier.State
	routes map[string][]route
}

// routes returns the upstreams that take new work of a request's kind. The
// caller holds the queue's lock.
func (d *Dispatcher) routes(q *requestQueue, request *Request) []route {
	state := d.config.State()
	if q.routes.state != state {
		q.routes = routeCache{state: state, routes: make(map[string][]route)}
	}
	routes, found := q.routes.routes[request.Weights]
	if !found {
		routes = d.findRoutes(state, request)
		q.routes.routes[request.Weights] = routes
	}
	return routes
}

func (d *Dispatcher) findRoutes(state *applier.State, request *Request) []route {
	table := state.Table()
	ids := request.Upstreams
	if request.Weights != "" {
		for _, residency := range state.Resident(request.Weights) {
			ids = append(ids, residency.Upstream)
		}
	}
	var routes []route
	for _, id := range ids {
		upstream, found := table.Upstream(id)
		if !found || !table.AcceptsNewWork(upstream) || hasRoute(routes, id) {
			continue
		}
		key := limiter.ResourceKey{Kind: limiter.UpstreamFlight, ID: id}
		routes = append(routes, route{
			upstream: upstream,
			key:      key,
			flight:   d.config.Limits.Semaphore(key),
			hash:     xxhash.Sum64String(id),
		})
	}
	return routes
}

// hasUntried reports whether a route is left that a request has not tried.
func hasUntried(routes []route, tried []string) bool {
	return slices.ContainsFunc(routes, func(r route) bool { return !slices.Contains(tried, r.upstream.ID) })
}

// hasRoute tells whether an upstream is there already, as while it holds two
// versions of the weights.
func hasRoute(routes []route, id string) bool {
	for i := range routes {
		if routes[i].upstream.ID == id {
			return true
		}
	}
	return false
}
