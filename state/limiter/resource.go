package limiter

import "github.com/crocushollow/crocushollow"

// Kind tells what a resource limits.
type Kind string

// The kinds of resources.
const (
	// TokenRate is a workspace's token bucket.
	TokenRate Kind = "token_rate"
	// WorkspaceFlight bounds a workspace's requests in flight.
	WorkspaceFlight Kind = "workspace_flight"
	// ModelFlight bounds a model's requests in flight.
	ModelFlight Kind = "model_flight"
	// UpstreamFlight bounds an upstream's requests in flight.
	UpstreamFlight Kind = "upstream_flight"
	// StoreRate bounds the loads started from the weight store.
	StoreRate Kind = "store_rate"
	// StoreFlight bounds the loads in progress from the weight store.
	StoreFlight Kind = "store_flight"
)

// ResourceKey identifies a resource by its kind and the row that sets it.
type ResourceKey struct {
	Kind Kind   `cbor:"1,keyasint" json:"kind"`
	ID   string `cbor:"2,keyasint" json:"id"`
}

// Shard returns the shard whose holder keeps the resource's ledger.
func (k ResourceKey) Shard() crocushollow.Shard { return crocushollow.ShardOf(k.ID) }

// InFlightLimiter tells how many requests an upstream bears now.
type InFlightLimiter interface {
	InFlightLimit(upstream crocushollow.Upstream) int64
}

// ResourceOf returns the resource as the rows define it. The second result is
// false if there is no such limit.
func ResourceOf(table *crocushollow.Table, key ResourceKey, limiter InFlightLimiter) (Resource, bool) {
	resource := Resource{Key: key}
	switch key.Kind {
	case TokenRate:
		workspace, found := table.Workspace(key.ID)
		resource.Total = BucketUnits
		resource.Rate = Rate{PerSecond: float64(workspace.TokenRate), Burst: float64(workspace.TokenBurst)}
		return resource, found
	case WorkspaceFlight:
		workspace, found := table.Workspace(key.ID)
		resource.Total = workspace.MaxInFlight
		return resource, found && workspace.MaxInFlight > 0
	case ModelFlight:
		model, found := table.Model(key.ID)
		resource.Total = model.MaxInFlight
		return resource, found && model.MaxInFlight > 0
	case UpstreamFlight:
		upstream, found := table.Upstream(key.ID)
		resource.Total = limiter.InFlightLimit(upstream)
		return resource, found
	case StoreRate:
		limit, found := table.Limit(key.ID)
		resource.Total = BucketUnits
		resource.Rate = Rate{PerSecond: limit.Rate, Burst: float64(limit.Burst)}
		return resource, found
	case StoreFlight:
		limit, found := table.Limit(key.ID)
		resource.Total = limit.MaxInFlight
		return resource, found
	}
	return resource, false
}
