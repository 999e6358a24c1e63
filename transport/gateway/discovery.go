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

// discoveryPath answers which addresses a caller should use.
const discoveryPath = "/discovery"

// DiscoveryConfig configures the answers about which addresses to use.
type DiscoveryConfig struct {
	// TTL is how long a caller may keep an answer.
	TTL time.Duration
	// SubsetSize is the number of instances in an answer; 0 stands for all.
	SubsetSize int
}

// DiscoveryResponse tells a caller which addresses to use, best first.
type DiscoveryResponse struct {
	Addresses []string `json:"addresses"`
	TTLMS     int64    `json:"ttl_ms"`
}

func (g *Gateway) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	answer := discover(g.config.View(), g.config.Discovery, discoveryQuery{
		workspace: query.Get("workspace"),
		model:     query.Get("model"),
		zone:      query.Get("availability_zone"),
	})
	_ = writeJSON(w, answer)
}

type discoveryQuery struct {
	workspace, model, zone string
}

// discover returns a subset of the instances that depends on the model, or on
// the workspace if no model is named. So the requests for a model meet few
// instances, and these hold the units of the upstreams that serve it. Every
// instance answers alike. Instances of the caller's zone come first, those of
// zones out of service are left out while others exist.
func discover(view *controller.View, config DiscoveryConfig, query discoveryQuery) DiscoveryResponse {
	members := usableMembers(view)
	subject := xxhash.Sum64String(query.subject(view.State.Table()))
	slices.SortFunc(members, func(a, b crocushollow.Member) int {
		rankA := balancer.CombineHashes(xxhash.Sum64String(a.ID), subject)
		rankB := balancer.CombineHashes(xxhash.Sum64String(b.ID), subject)
		return cmp.Or(cmp.Compare(rankB, rankA), cmp.Compare(a.ID, b.ID))
	})
	if config.SubsetSize > 0 && query.workspace+query.model != "" {
		members = members[:min(len(members), config.SubsetSize)]
	}
	slices.SortStableFunc(members, func(a, b crocushollow.Member) int {
		return cmp.Compare(remoteness(a, query.zone), remoteness(b, query.zone))
	})
	answer := DiscoveryResponse{Addresses: []string{}, TTLMS: config.TTL.Milliseconds()}
	for _, member := range members {
		answer.Addresses = append(answer.Addresses, member.CallerAddress)
	}
	return answer
}

// subject returns what a subset of the instances is chosen by. An adapter
// shares the upstreams of its base model.
func (q discoveryQuery) subject(table *crocushollow.Table) string {
	if q.model == "" {
		return q.workspace
	}
	if adapter, found := table.Adapter(q.model); found {
		return adapter.Model
	}
	return q.model
}

func remoteness(member crocushollow.Member, zone string) int {
	if zone != "" && member.AvailabilityZone == zone {
		return 0
	}
	return 1
}

func usableMembers(view *controller.View) []crocushollow.Member {
	table := view.State.Table()
	var usable, inService []crocushollow.Member
	for _, member := range view.State.Members() {
		if view.Unavailable[member.ID] {
			continue
		}
		usable = append(usable, member)
		zone, known := table.AvailabilityZone(member.AvailabilityZone)
		if !known || zone.InService {
			inService = append(inService, member)
		}
	}
	if len(inService) > 0 {
		return inService
	}
	return usable
}
