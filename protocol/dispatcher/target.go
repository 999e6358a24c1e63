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
	if request.Weights != "" {
		for _, residency := range state.ResidentReplicas(request.Weights) {
			ids = append(ids, residency.Upstream)
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
			upstream: upstream,
			key:      key,
			permits:  d.config.Limits.Semaphore(key),
			hash:     xxhash.Sum64String(id),
		})
	}
	return targets
}

// hasUntried reports whether there is a target that a request has not tried.
func hasUntried(targets []target, tried []string) bool {
	return slices.ContainsFunc(targets, func(t target) bool { return !slices.Contains(tried, t.upstream.ID) })
}

// hasTarget reports whether the list contains an upstream. An upstream occurs twice
// while it has two versions of the weights loaded.
func hasTarget(targets []target, id string) bool {
	for i := range targets {
		if targets[i].upstream.ID == id {
			return true
		}
	}
	return false
}
