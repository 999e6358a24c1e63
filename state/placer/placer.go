// Package placer decides which weights are resident on which upstream.
//
// A plan minimizes changes. Weights stay where they are unless this leaves a
// model with too few replicas or an overloaded model without memory. The number
// of replicas added for demand in one round is bounded. Every model gets replicas
// in two availability zones if there is enough memory.
package placer

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/crocushollow/crocushollow"
)

// Parameters of the plan.
const (
	// scaleUpUtilization is the number of concurrent requests per replica, as a
	// fraction of an upstream's limit, above which a model gets one more replica.
	scaleUpUtilization = 0.6
	// evictionDemandRatio is the minimum ratio between the demand per replica of
	// the incoming model and that of the model to evict.
	evictionDemandRatio = 3.0
	// maxScaleUpsPerRound bounds the replicas added for demand in one round.
	maxScaleUpsPerRound = 4
	// zonesPerModel is the number of availability zones that hold each model.
	zonesPerModel = 2
	// replicasPerAdapter is the number of replicas of each adapter.
	replicasPerAdapter = 2
)

// Demand is the number of concurrent requests by name of weights.
type Demand map[string]float64

// Host is an engine that can hold weights.
type Host struct {
	Upstream crocushollow.Upstream
	// InService means that the upstream accepts new work.
	InService bool
	// Target lists the weights of the previous plan.
	Target []crocushollow.Weights
	// Resident holds the labels of the weights that serve requests now.
	Resident map[string]bool
}

// Input is the input of a plan.
type Input struct {
	Hosts    []Host
	Models   []crocushollow.Model
	Adapters []crocushollow.Adapter
	Demand   Demand
}

// Planner computes plans.
type Planner interface {
	// Plan returns the weights of every host, by the ID of its upstream.
	Plan(in Input) map[string][]crocushollow.Weights
}

// AdaptivePlanner adds replicas of models with high demand.
type AdaptivePlanner struct{}

// plan is a plan under construction.
type plan struct {
	hosts    []*host
	in       Input
	scaleUps int
	// hostsByWeights lists the hosts that hold each set of weights in this plan.
	hostsByWeights map[weightsKey][]*host
}

// weightsKey identifies weights.
type weightsKey struct {
	name, version string
}

func keyOf(weights crocushollow.Weights) weightsKey {
	return weightsKey{name: weights.Name, version: weights.Version}
}

// host is a host together with its state in the plan.
type host struct {
	Host
	planned   []crocushollow.Weights
	freeBytes int64
	load      float64
}

// Plan implements Planner.
func (AdaptivePlanner) Plan(in Input) map[string][]crocushollow.Weights {
	p := newPlan(in)
	p.placeModels()
	p.scaleUp()
	p.placeAdapters()
	return p.targets()
}

// StaticPlanner keeps the minimum number of replicas and ignores demand. It is a
// baseline for comparisons.
type StaticPlanner struct{}

// Plan implements Planner.
func (StaticPlanner) Plan(in Input) map[string][]crocushollow.Weights {
	p := newPlan(in)
	p.placeModels()
	p.placeAdapters()
	return p.targets()
}

func newPlan(in Input) *plan {
	p := &plan{in: in, hostsByWeights: make(map[weightsKey][]*host)}
	for _, h := range in.Hosts {
		p.hosts = append(p.hosts, &host{Host: h, freeBytes: h.Upstream.MemoryBytes})
	}
	p.keepTargets()
	return p
}

// keepTargets keeps the weights of the previous plan that still have a row.
// Replicas of an older version stay until the current version serves somewhere.
func (p *plan) keepTargets() {
	current := make(map[string]crocushollow.Weights)
	for _, model := range p.in.Models {
		current[model.ID] = model.Weights()
	}
	for _, adapter := range p.in.Adapters {
		current[adapter.ID] = adapter.Weights()
	}
	serving := p.countServing(current)
	for _, h := range p.hosts {
		for _, weights := range h.Target {
			row, exists := current[weights.Name]
			isOld := exists && row.Version != weights.Version
			if !exists || isOld && serving[weights.Name] > 0 {
				continue
			}
			p.add(h, weights)
		}
	}
}

// countServing counts the replicas of each current version that serve requests.
func (p *plan) countServing(current map[string]crocushollow.Weights) map[string]int {
	serving := make(map[string]int)
	labels := make(map[string]string, len(current))
	for name, weights := range current {
		labels[weights.Label()] = name
	}
	for _, h := range p.hosts {
		for label, resident := range h.Resident {
			if name, isCurrent := labels[label]; isCurrent && resident && h.InService {
				serving[name]++
			}
		}
	}
	return serving
}

func (p *plan) add(h *host, weights crocushollow.Weights) {
	h.planned = append(h.planned, weights)
	h.freeBytes -= weights.MemoryBytes
	key := keyOf(weights)
	p.hostsByWeights[key] = append(p.hostsByWeights[key], h)
}

func (p *plan) remove(h *host, weights crocushollow.Weights) {
	key := keyOf(weights)
	h.planned = slices.DeleteFunc(h.planned, func(w crocushollow.Weights) bool { return keyOf(w) == key })
	h.freeBytes += weights.MemoryBytes
	p.hostsByWeights[key] = slices.DeleteFunc(p.hostsByWeights[key], func(other *host) bool { return other == h })
}

func (h *host) has(weights crocushollow.Weights) bool {
	key := keyOf(weights)
	for i := range h.planned {
		if keyOf(h.planned[i]) == key {
			return true
		}
	}
	return false
}

// placeModels gives every model its minimum number of replicas, in two
// availability zones if possible. Models with fewer replicas come first, then
// those that need more memory.
func (p *plan) placeModels() {
	models := slices.Clone(p.in.Models)
	slices.SortStableFunc(models, func(a, b crocushollow.Model) int {
		return cmp.Or(p.replicas(a.Weights())-p.replicas(b.Weights()), cmp.Compare(b.MemoryBytes, a.MemoryBytes))
	})
	// Every model gets its first replica before any gets its second.
	for _, model := range models {
		p.ensureReplicas(model, 1)
	}
	for _, model := range models {
		p.ensureReplicas(model, int(max(model.MinReplicas, zonesPerModel)))
	}
}

func (p *plan) ensureReplicas(model crocushollow.Model, wanted int) {
	weights := model.Weights()
	for p.replicas(weights) < wanted {
		h := p.bestHost(weights, p.zonesWith(weights))
		if h == nil && p.replicas(weights) < max(int(model.MinReplicas), 1) {
			h = p.makeRoom(weights, math.Inf(1))
		}
		if h == nil {
			return
		}
		p.add(h, weights)
	}
}

// replicas counts the hosts in service that hold the weights in this plan.
func (p *plan) replicas(weights crocushollow.Weights) int {
	count := 0
	for _, h := range p.hostsByWeights[keyOf(weights)] {
		if h.InService {
			count++
		}
	}
	return count
}

// zonesWith returns the availability zones that hold the weights in this plan.
func (p *plan) zonesWith(weights crocushollow.Weights) map[string]bool {
	zones := make(map[string]bool)
	for _, h := range p.hostsByWeights[keyOf(weights)] {
		if h.InService {
			zones[h.Upstream.AvailabilityZone] = true
		}
	}
	return zones
}

// bestHost returns the host in service with room for the weights. It prefers a
// zone without a replica, then the lowest load, then the most free memory.
func (p *plan) bestHost(weights crocushollow.Weights, zones map[string]bool) *host {
	var best *host
	for _, h := range p.hosts {
		if !h.InService || h.freeBytes < weights.MemoryBytes || h.has(weights) {
			continue
		}
		if best == nil || compareHosts(h, best, zones) < 0 {
			best = h
		}
	}
	return best
}

func compareHosts(a, b *host, zones map[string]bool) int {
	if inA, inB := zones[a.Upstream.AvailabilityZone], zones[b.Upstream.AvailabilityZone]; inA != inB {
		if inB {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.load, b.load),
		cmp.Compare(b.freeBytes, a.freeBytes),
		strings.Compare(a.Upstream.ID, b.Upstream.ID),
	)
}

// scaleUp adds replicas of the models with the highest demand.
func (p *plan) scaleUp() {
	p.computeLoads()
	models := slices.Clone(p.in.Models)
	slices.SortStableFunc(models, func(a, b crocushollow.Model) int {
		return cmp.Compare(p.demandPerReplica(b), p.demandPerReplica(a))
	})
	for _, model := range models {
		for p.scaleUps < maxScaleUpsPerRound && p.isOverloaded(model) {
			if !p.addReplica(model) {
				break
			}
			p.scaleUps++
		}
	}
}

// computeLoads sets the load of every host: the demand that its models serve.
func (p *plan) computeLoads() {
	for _, model := range p.in.Models {
		replicaDemand := p.demandPerReplica(model)
		for _, h := range p.hostsByWeights[keyOf(model.Weights())] {
			h.load += replicaDemand
		}
	}
}

func (p *plan) demandPerReplica(model crocushollow.Model) float64 {
	return p.in.Demand[model.ID] / float64(max(p.replicas(model.Weights()), 1))
}

// isOverloaded reports whether demand exceeds the model's scale-up threshold.
func (p *plan) isOverloaded(model crocushollow.Model) bool {
	var limit, hosts float64
	for _, h := range p.hostsByWeights[keyOf(model.Weights())] {
		if h.InService {
			limit += float64(h.Upstream.MaxInFlight)
			hosts++
		}
	}
	return hosts > 0 && p.in.Demand[model.ID] > scaleUpUtilization*limit
}

func (p *plan) addReplica(model crocushollow.Model) bool {
	weights := model.Weights()
	h := p.bestHost(weights, p.zonesWith(weights))
	if h == nil {
		h = p.makeRoom(weights, p.demandPerReplica(model))
	}
	if h == nil {
		return false
	}
	p.add(h, weights)
	h.load += p.demandPerReplica(model)
	return true
}

// makeRoom evicts a surplus replica with low demand and returns the host on which
// the weights then fit, or nil if there is none.
func (p *plan) makeRoom(weights crocushollow.Weights, demandPerReplica float64) *host {
	var bestHost *host
	var bestVictim crocushollow.Model
	lowest := demandPerReplica / evictionDemandRatio
	for _, model := range p.in.Models {
		victim := model.Weights()
		isSurplus := p.replicas(victim) > int(max(model.MinReplicas, 1))
		victimDemand := p.demandPerReplica(model)
		if !isSurplus || victimDemand >= lowest {
			continue
		}
		for _, h := range p.hostsByWeights[keyOf(victim)] {
			fits := h.freeBytes+victim.MemoryBytes >= weights.MemoryBytes
			if h.InService && !h.has(weights) && fits && p.canEvict(h, victim) {
				bestHost, bestVictim, lowest = h, model, victimDemand
				break
			}
		}
	}
	if bestHost != nil {
		p.evict(bestHost, bestVictim)
	}
	return bestHost
}

// canEvict reports whether a model and its adapters on a host also serve
// elsewhere. Replicas that are only planned do not count.
func (p *plan) canEvict(h *host, model crocushollow.Weights) bool {
	for _, weights := range h.planned {
		isLost := keyOf(weights) == keyOf(model) || weights.BaseModel == model.Name
		if isLost && h.Resident[weights.Label()] && !p.servesElsewhere(h, weights) {
			return false
		}
	}
	return true
}

func (p *plan) servesElsewhere(h *host, weights crocushollow.Weights) bool {
	label := weights.Label()
	return slices.ContainsFunc(p.hostsByWeights[keyOf(weights)], func(other *host) bool {
		return other != h && other.InService && other.Resident[label]
	})
}

// evict removes a model and its adapters from a host.
func (p *plan) evict(h *host, model crocushollow.Model) {
	p.remove(h, model.Weights())
	for _, weights := range slices.Clone(h.planned) {
		if weights.BaseModel == model.ID {
			p.remove(h, weights)
		}
	}
}

// placeAdapters places every adapter on hosts that hold its base model.
func (p *plan) placeAdapters() {
	for _, adapter := range p.in.Adapters {
		weights := adapter.Weights()
		p.removeOrphans(weights)
		for p.replicas(weights) < replicasPerAdapter {
			h := p.bestAdapterHost(weights)
			if h == nil {
				break
			}
			p.add(h, weights)
		}
	}
}

// removeOrphans removes an adapter from hosts without its base model.
func (p *plan) removeOrphans(weights crocushollow.Weights) {
	for _, h := range slices.Clone(p.hostsByWeights[keyOf(weights)]) {
		if !h.hasModel(weights.BaseModel) {
			p.remove(h, weights)
		}
	}
}

func (h *host) hasModel(name string) bool {
	return slices.ContainsFunc(h.planned, func(w crocushollow.Weights) bool { return w.Name == name })
}

func (p *plan) bestAdapterHost(weights crocushollow.Weights) *host {
	zones := p.zonesWith(weights)
	var best *host
	for _, h := range p.hosts {
		if !h.InService || h.freeBytes < weights.MemoryBytes || h.has(weights) || !h.hasModel(weights.BaseModel) {
			continue
		}
		if best == nil || compareHosts(h, best, zones) < 0 {
			best = h
		}
	}
	return best
}

func (p *plan) targets() map[string][]crocushollow.Weights {
	targets := make(map[string][]crocushollow.Weights, len(p.hosts))
	for _, h := range p.hosts {
		// Base models come before the adapters that need them.
		slices.SortStableFunc(h.planned, func(a, b crocushollow.Weights) int {
			return cmp.Or(strings.Compare(loadOrder(a), loadOrder(b)), strings.Compare(a.Label(), b.Label()))
		})
		targets[h.Upstream.ID] = h.planned
	}
	return targets
}

// loadOrder sorts base models before adapters.
func loadOrder(weights crocushollow.Weights) string {
	if weights.BaseModel == "" {
		return "0"
	}
	return "1"
}
