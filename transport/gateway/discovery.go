package gateway

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/controller"
	"github.com/crocushollow/crocushollow/state/balancer"
)

// discoveryPath is the endpoint that lists the addresses a caller should use.
const discoveryPath = "/discovery"

// DiscoveryConfig configures the discovery endpoint.
type DiscoveryConfig struct {
	// TTL is how long a caller may cache a response.
	TTL time.Duration
	// SubsetSize is the number of instances in a response. Zero means all.
	SubsetSize int
}

// DiscoveryResponse lists the addresses that a caller should use, in order of
// preference.
type DiscoveryResponse struct {
	Addresses []string `json:"addresses"`
	TTLMS     int64    `json:"ttl_ms"`
}

func (g *Gateway) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	response := selectAddresses(g.config.View(), g.config.Discovery, discoveryQuery{
		workspace: query.Get("workspace"),
		model:     query.Get("model"),
		zone:      query.Get("availability_zone"),
	})
	_ = writeJSON(w, response)
}

type discoveryQuery struct {
	workspace, model, zone string
}

// selectAddresses ranks the instances by rendezvous hashing of the model, or of
// the workspace if the query names no model, and returns the first ones. This
// sends the requests for a model to few instances, which then hold the permits
// of the upstreams that serve the model. All instances return the same subset
// for a query. Instances in the caller's availability zone come first. Instances
// in zones that are out of service are excluded while others are available.
func selectAddresses(view *controller.View, config DiscoveryConfig, query discoveryQuery) DiscoveryResponse {
	members := discoverableMembers(view)
	subsetKey := xxhash.Sum64String(query.subsetKey(view.State.Table()))
	slices.SortFunc(members, func(a, b crocushollow.Member) int {
		hashA := balancer.CombineHashes(xxhash.Sum64String(a.ID), subsetKey)
		hashB := balancer.CombineHashes(xxhash.Sum64String(b.ID), subsetKey)
		return cmp.Or(cmp.Compare(hashB, hashA), cmp.Compare(a.ID, b.ID))
	})
	if config.SubsetSize > 0 && query.workspace+query.model != "" {
		members = members[:min(len(members), config.SubsetSize)]
	}
	slices.SortStableFunc(members, func(a, b crocushollow.Member) int {
		return cmp.Compare(zoneDistance(a, query.zone), zoneDistance(b, query.zone))
	})
	response := DiscoveryResponse{Addresses: []string{}, TTLMS: config.TTL.Milliseconds()}
	for _, member := range members {
		response.Addresses = append(response.Addresses, member.CallerAddress)
	}
	return response
}

// subsetKey returns the key that selects the subset of instances. An adapter
// uses the key of its base model because both share upstreams.
func (q discoveryQuery) subsetKey(table *crocushollow.Table) string {
	if q.model == "" {
		return q.workspace
	}
	if adapter, found := table.Adapter(q.model); found {
		return adapter.Model
	}
	return q.model
}

func zoneDistance(member crocushollow.Member, zone string) int {
	if zone != "" && member.AvailabilityZone == zone {
		return 0
	}
	return 1
}

func discoverableMembers(view *controller.View) []crocushollow.Member {
	table := view.State.Table()
	var available, inService []crocushollow.Member
	for _, member := range view.State.Members() {
		if view.Unavailable[member.ID] {
			continue
		}
		available = append(available, member)
		zone, known := table.AvailabilityZone(member.AvailabilityZone)
		if !known || zone.InService {
			inService = append(inService, member)
		}
	}
	if len(inService) > 0 {
		return inService
	}
	return available
}
