// Package placer decides which weights should be resident on which upstream.
//
// A plan changes as little as it can. Weights stay where they are unless that
// leaves a model without enough copies or a busy model without room, and the
// number of moves in one round is bounded. Every model gets copies in two
// availability zones where there is room.
package placer

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/crocushollow/crocushollow"
)

// Tuning of the plan.
const (
	// busyLoad is the number of concurrent requests per copy, as a fraction of
	// an upstream's limit, above which a model gets one more copy.
	busyLoad = 0.6
	// evictionGain is how many times more demand per copy the incoming model
	// must have than the one that gives way.
	evictionGain = 3.0
	// maxMovesPerRound bounds the copies added for demand in one round.
	maxMovesPerRound = 4
	// zoneCopies is the number of availability zones that hold each model.
	zoneCopies = 2
	// adapterCopies is the number of copies of each adapter.
	adapterCopies = 2
)

// Demand is the number of concurrent requests per name of weights.
type Demand map[string]float64

// Host is an engine that can hold weights.
type Host struct {
	Upstream crocushollow.Upstream
	// InService tells that the upstream may get new work.
	InService bool
	// Target lists the weights planned so far.
	Target []crocushollow.Weights
	// Resident lists the labels of the weights that serve now.
	Resident map[string]bool
}

// Input is what a plan is based on.
type Input struct {
	Hosts    []Host
	Models   []crocushollow.Model
	Adapters []crocushollow.Adapter
	Demand   Demand
}

// Planner makes plans.
type Planner interface {
	// Plan returns the weights of every host, by the ID of its upstream.
	Plan(in Input) map[string][]crocushollow.Weights
}

// Adaptive is the planner that follows demand.
type Adaptive struct{}

// plan is a plan under construction.
type plan struct {
	hosts []*host
	in    Input
	moves int
	// holders lists the hosts that are planned to hold each set of weights.
	holders map[weightsKey][]*host
}

// weightsKey identifies weights.
type weightsKey struct {
	name, version string
}

func keyOf(weights crocushollow.Weights) weightsKey {
	return weightsKey{name: weights.Name, version: weights.Version}
}

type host struct {
	Host
	planned   []crocushollow.Weights
	freeBytes int64
	load      float64
}

// Plan implements Planner.
func (Adaptive) Plan(in Input) map[string][]crocushollow.Weights {
	p := newPlan(in)
	p.cover()
	p.followDemand()
	p.coverAdapters()
	return p.targets()
}

// Static keeps the least number of copies and follows no demand. It is a
// baseline.
type Static struct{}

// Plan implements Planner.
func (Static) Plan(in Input) map[string][]crocushollow.Weights {
	p := newPlan(in)
	p.cover()
	p.coverAdapters()
	return p.targets()
}

func newPlan(in Input) *plan {
	p := &plan{in: in, holders: make(map[weightsKey][]*host)}
	for _, h := range in.Hosts {
		p.hosts = append(p.hosts, &host{Host: h, freeBytes: h.Upstream.MemoryBytes})
	}
	p.keep()
	return p
}

// keep takes over what is planned already and still has a row. Copies of an
// older version stay until the current version serves elsewhere.
func (p *plan) keep() {
	current := make(map[string]crocushollow.Weights)
	for _, model := range p.in.Models {
		current[model.ID] = model.Weights()
	}
	for _, adapter := range p.in.Adapters {
		current[adapter.ID] = adapter.Weights()
	}
	serving := p.servingCopies(current)
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

// servingCopies counts the upstreams that serve the current version.
func (p *plan) servingCopies(current map[string]crocushollow.Weights) map[string]int {
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
	p.holders[key] = append(p.holders[key], h)
}

func (p *plan) remove(h *host, weights crocushollow.Weights) {
	key := keyOf(weights)
	h.planned = slices.DeleteFunc(h.planned, func(w crocushollow.Weights) bool { return keyOf(w) == key })
	h.freeBytes += weights.MemoryBytes
	p.holders[key] = slices.DeleteFunc(p.holders[key], func(other *host) bool { return other == h })
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

// cover gives every model its least number of copies, in two availability
// zones where possible. Models with fewer copies and more memory come first.
func (p *plan) cover() {
	models := slices.Clone(p.in.Models)
	slices.SortStableFunc(models, func(a, b crocushollow.Model) int {
		return cmp.Or(p.copies(a.Weights())-p.copies(b.Weights()), cmp.Compare(b.MemoryBytes, a.MemoryBytes))
	})
	// Every model gets its first copy before any gets its second.
	for _, model := range models {
		p.ensureCopies(model, 1)
	}
	for _, model := range models {
		p.ensureCopies(model, int(max(model.MinReplicas, zoneCopies)))
	}
}

func (p *plan) ensureCopies(model crocushollow.Model, wanted int) {
	weights := model.Weights()
	for p.copies(weights) < wanted {
		h := p.bestHost(weights, p.zonesOf(weights))
		if h == nil && p.copies(weights) < max(int(model.MinReplicas), 1) {
			h = p.makeRoom(weights, math.Inf(1))
		}
		if h == nil {
			return
		}
		p.add(h, weights)
	}
}

// copies counts the hosts in service that are planned to hold the weights.
func (p *plan) copies(weights crocushollow.Weights) int {
	count := 0
	for _, h := range p.holders[keyOf(weights)] {
		if h.InService {
			count++
		}
	}
	return count
}

func (p *plan) zonesOf(weights crocushollow.Weights) map[string]bool {
	zones := make(map[string]bool)
	for _, h := range p.holders[keyOf(weights)] {
		if h.InService {
			zones[h.Upstream.AvailabilityZone] = true
		}
	}
	return zones
}

// bestHost returns the host in service with room for the weights: one in a
// zone without a copy first, then the least loaded, then the one with the most
// free memory.
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

// followDemand adds copies of the busiest models.
func (p *plan) followDemand() {
	p.computeLoads()
	models := slices.Clone(p.in.Models)
	slices.SortStableFunc(models, func(a, b crocushollow.Model) int {
		return cmp.Compare(p.demandPerCopy(b), p.demandPerCopy(a))
	})
	for _, model := range models {
		for p.moves < maxMovesPerRound && p.isBusy(model) {
			if !p.addCopy(model) {
				break
			}
			p.moves++
		}
	}
}

func (p *plan) computeLoads() {
	for _, model := range p.in.Models {
		perCopy := p.demandPerCopy(model)
		for _, h := range p.holders[keyOf(model.Weights())] {
			h.load += perCopy
		}
	}
}

func (p *plan) demandPerCopy(model crocushollow.Model) float64 {
	return p.in.Demand[model.ID] / float64(max(p.copies(model.Weights()), 1))
}

func (p *plan) isBusy(model crocushollow.Model) bool {
	var limit, hosts float64
	for _, h := range p.holders[keyOf(model.Weights())] {
		if h.InService {
			limit += float64(h.Upstream.MaxInFlight)
			hosts++
		}
	}
	return hosts > 0 && p.in.Demand[model.ID] > busyLoad*limit
}

func (p *plan) addCopy(model crocushollow.Model) bool {
	weights := model.Weights()
	h := p.bestHost(weights, p.zonesOf(weights))
	if h == nil {
		h = p.makeRoom(weights, p.demandPerCopy(model))
	}
	if h == nil {
		return false
	}
	p.add(h, weights)
	h.load += p.demandPerCopy(model)
	return true
}

// makeRoom evicts a copy with little demand that its model can spare and
// returns the host where that leaves room, or nil.
func (p *plan) makeRoom(weights crocushollow.Weights, demandPerCopy float64) *host {
	var bestHost *host
	var bestVictim crocushollow.Model
	lowest := demandPerCopy / evictionGain
	for _, model := range p.in.Models {
		victim := model.Weights()
		spare := p.copies(victim) > int(max(model.MinReplicas, 1))
		perCopy := p.demandPerCopy(model)
		if !spare || perCopy >= lowest {
			continue
		}
		for _, h := range p.holders[keyOf(victim)] {
			fits := h.freeBytes+victim.MemoryBytes >= weights.MemoryBytes
			if h.InService && !h.has(weights) && fits && p.isReachableWithout(h, victim) {
				bestHost, bestVictim, lowest = h, model, perCopy
				break
			}
		}
	}
	if bestHost != nil {
		p.evict(bestHost, bestVictim)
	}
	return bestHost
}

// isReachableWithout reports whether a model and its adapters on a host also
// serve elsewhere. A copy that is only planned does not count.
func (p *plan) isReachableWithout(h *host, model crocushollow.Weights) bool {
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
	return slices.ContainsFunc(p.holders[keyOf(weights)], func(other *host) bool {
		return other != h && other.InService && other.Resident[label]
	})
}

// evict removes a model and its adapters.
func (p *plan) evict(h *host, model crocushollow.Model) {
	p.remove(h, model.Weights())
	for _, weights := range slices.Clone(h.planned) {
		if weights.BaseModel == model.ID {
			p.remove(h, weights)
		}
	}
}

// coverAdapters places every adapter next to copies of its base model.
func (p *plan) coverAdapters() {
	for _, adapter := range p.in.Adapters {
		weights := adapter.Weights()
		p.dropOrphans(weights)
		for p.copies(weights) < adapterCopies {
			h := p.bestAdapterHost(weights)
			if h == nil {
				break
			}
			p.add(h, weights)
		}
	}
}

// dropOrphans removes an adapter from hosts without its base model.
func (p *plan) dropOrphans(weights crocushollow.Weights) {
	for _, h := range slices.Clone(p.holders[keyOf(weights)]) {
		if !h.hasName(weights.BaseModel) {
			p.remove(h, weights)
		}
	}
}

func (h *host) hasName(name string) bool {
	return slices.ContainsFunc(h.planned, func(w crocushollow.Weights) bool { return w.Name == name })
}

func (p *plan) bestAdapterHost(weights crocushollow.Weights) *host {
	zones := p.zonesOf(weights)
	var best *host
	for _, h := range p.hosts {
		if !h.InService || h.freeBytes < weights.MemoryBytes || h.has(weights) || !h.hasName(weights.BaseModel) {
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
			return cmp.Or(strings.Compare(baseRank(a), baseRank(b)), strings.Compare(a.Label(), b.Label()))
		})
		targets[h.Upstream.ID] = h.planned
	}
	return targets
}

func baseRank(weights crocushollow.Weights) string {
	if weights.BaseModel == "" {
		return "0"
	}
	return "1"
}
