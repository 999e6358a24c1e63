package limiter

import "github.com/crocushollow/crocushollow"

// ResourceKind is the kind of a limited resource.
type ResourceKind string

// The kinds of limited resources.
const (
	// TokenRate bounds the tokens per second of a workspace.
	TokenRate ResourceKind = "token_rate"
	// WorkspaceInFlight bounds the requests in flight of a workspace.
	WorkspaceInFlight ResourceKind = "workspace_flight"
	// ModelInFlight bounds the requests in flight to a model.
	ModelInFlight ResourceKind = "model_flight"
	// UpstreamInFlight bounds the requests in flight to an upstream.
	UpstreamInFlight ResourceKind = "upstream_flight"
	// WeightStoreRate bounds the rate at which loads from the weight store start.
	WeightStoreRate ResourceKind = "store_rate"
	// WeightStoreInFlight bounds the loads in progress from the weight store.
	WeightStoreInFlight ResourceKind = "store_flight"
)

// ResourceKey identifies a resource by its kind and the row that defines it.
type ResourceKey struct {
	Kind ResourceKind `cbor:"1,keyasint" json:"kind"`
	ID   string       `cbor:"2,keyasint" json:"id"`
}

// Shard returns the shard whose owner keeps the ledger of the resource.
func (k ResourceKey) Shard() crocushollow.Shard { return crocushollow.ShardOf(k.ID) }

// InFlightLimiter returns the number of concurrent requests that an upstream
// accepts now.
type InFlightLimiter interface {
	InFlightLimit(upstream crocushollow.Upstream) int64
}

// ResourceOf returns the resource that a row of the table defines. The second
// result is false if there is no such limit.
func ResourceOf(table *crocushollow.Table, key ResourceKey, limits InFlightLimiter) (Resource, bool) {
	resource := Resource{Key: key}
	switch key.Kind {
	case TokenRate:
		workspace, found := table.Workspace(key.ID)
		resource.Total = UnitsPerBucket
		resource.RateLimit = RateLimit{PerSecond: float64(workspace.TokenRate), Burst: float64(workspace.TokenBurst)}
		return resource, found
	case WorkspaceInFlight:
		workspace, found := table.Workspace(key.ID)
		resource.Total = workspace.MaxInFlight
		return resource, found && workspace.MaxInFlight > 0
	case ModelInFlight:
		model, found := table.Model(key.ID)
		resource.Total = model.MaxInFlight
		return resource, found && model.MaxInFlight > 0
	case UpstreamInFlight:
		upstream, found := table.Upstream(key.ID)
		resource.Total = limits.InFlightLimit(upstream)
		return resource, found
	case WeightStoreRate:
		limit, found := table.Limit(key.ID)
		resource.Total = UnitsPerBucket
		resource.RateLimit = RateLimit{PerSecond: limit.Rate, Burst: float64(limit.Burst)}
		return resource, found
	case WeightStoreInFlight:
		limit, found := table.Limit(key.ID)
		resource.Total = limit.MaxInFlight
		return resource, found
	}
	return resource, false
}
