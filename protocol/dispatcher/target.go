package dispatcher

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/limiter"
)

// target is an upstream that can serve a request.
type target struct {
	upstream crocushollow.Upstream
	key      limiter.ResourceKey
	permits  *limiter.Semaphore
	hash     uint64
	// fencingToken is the token of the placement of the weights, or 0 for services.
	fencingToken uint64
	// requestedAt is when permits for a preferred upstream were last requested.
	requestedAt time.Time
}

// targetCache caches the targets of a model and its adapters for one state.
type targetCache struct {
	state     *applier.State
	byWeights map[string][]target
}

// targets returns the upstreams that accept new work and can serve a request. The
// caller must hold the queue's lock.
func (d *Dispatcher) targets(q *requestQueue, request *Request) []target {
	state := d.config.State()
	if q.targets.state != state {
		q.targets = targetCache{state: state, byWeights: make(map[string][]target)}
	}
	targets, found := q.targets.byWeights[request.Weights]
	if !found {
		targets = d.findTargets(state, request)
		q.targets.byWeights[request.Weights] = targets
	}
	return targets
}

func (d *Dispatcher) findTargets(state *applier.State, request *Request) []target {
	table := state.Table()
	ids := request.Upstreams
	// An upstream occurs twice while it has two versions of the weights loaded.
	fencingTokens := make(map[string]uint64)
	if request.Weights != "" {
		for _, residency := range state.ResidentReplicas(request.Weights) {
			ids = append(ids, residency.Upstream)
			fencingTokens[residency.Upstream] = max(fencingTokens[residency.Upstream], residency.FencingToken)
		}
	}
	var targets []target
	for _, id := range ids {
		upstream, found := table.Upstream(id)
		if !found || !table.AcceptsNewWork(upstream) || hasTarget(targets, id) {
			continue
		}
		key := limiter.ResourceKey{Kind: limiter.UpstreamInFlight, ID: id}
		targets = append(targets, target{
			upstream:     upstream,
			key:          key,
			permits:      d.config.Limits.Semaphore(key),
			hash:         xxhash.Sum64String(id),
			fencingToken: fencingTokens[id],
		})
	}
	return targets
}

// hasUntried reports whether there is a target that a request has not tried and that has
// its weights. The caller must hold the queue's lock.
func (q *requestQueue) hasUntried(targets []target, request *Request, now time.Time) bool {
	return slices.ContainsFunc(targets, func(t target) bool {
		return !slices.Contains(request.Tried, t.upstream.ID) && !q.lacksWeights(&t, request, now)
	})
}

// hasTarget reports whether the list contains an upstream.
func hasTarget(targets []target, id string) bool {
	return slices.ContainsFunc(targets, func(t target) bool { return t.upstream.ID == id })
}
