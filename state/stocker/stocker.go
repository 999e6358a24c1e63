// Package stocker decides which weights engines load and unload next.
//
// The number of replicas of a model follows its demand for engine time, over a
// short and a long period: a load takes seconds, and demand shifts within seconds
// to models that had demand before. Memory that is not needed for demand holds
// further replicas of all models, so that the first requests of a model that was
// idle find it loaded.
package stocker

import (
	"cmp"
	"slices"
	"strings"

	"github.com/crocushollow/crocushollow/catalog"
)

// Parameters of the plan.
const (
	// idleDemand is the demand, in engines, that is assumed for a model without
	// requests.
	idleWeight = 0.03
	// plannedMemoryFraction is the part of all memory that replicas are planned
	// for. Models rarely fill the memory of an engine without a remainder.
	packing = 0.88
	// evictionDemandRatio is the minimum ratio between the demand per replica of
	// the incoming model and that which remains for the evicted model.
	evictionGain = 1.6
	// evictionMinDemand is the demand per replica, in engines, above which a model
	// may evict others to get one more replica. An engine that loads a model
	// cannot load adapters.
	busyDemand = 0.25
)

// Engine is the state of an engine as input of a plan.
type Engine struct {
	ID string
	// MemoryMB and AdapterSlots limit what the engine holds.
	MemoryMB     float64
	AdapterSlots int
	// UsedMB is the memory of all weights that it holds or loads.
	UsedMB float64
	// LoadedModels lists the models that it holds or loads.
	LoadedModels []catalog.LoadedModel
	// CachedModels contains the models whose weights are in its host memory or
	// on its disk.
	CachedModels map[string]bool
	// AvailabilityZone is the zone that it runs in.
	AvailabilityZone string
	// IsOccupied means that the engine accepts no order now, for example
	// because it is executing one.
	IsOccupied bool
}

func (e *Engine) has(model string) bool {
	return slices.ContainsFunc(e.LoadedModels, func(h catalog.LoadedModel) bool { return h.Model == model })
}

// Input is the input of a plan.
type Input struct {
	// Engines lists the engines that accept new work.
	Engines []*Engine
	Models  map[string]catalog.Model
	// Demand is the number of engines that each model keeps busy.
	Demand map[string]float64
	// StoreLoadPermits is the number of loads from the weight store that may
	// start now.
	StoreLoadPermits int
}

// Step is an order for an engine.
type Step struct {
	Engine string
	Model  string
	// Adapter is empty if the order is for the model itself.
	Adapter string
	// Unload means that the model is unloaded instead of loaded.
	Unload bool
	// FromStore means that the weights are read from the weight store.
	FromStore bool
}

// plan is a plan under construction.
type plan struct {
	in      Input
	copies  map[string]int
	desired map[string]int
	names   []string
	steps   []Step
}

// Plan returns the orders to send now, at most one for each engine.
func Plan(in Input) []Step {
	p := &plan{in: in, copies: make(map[string]int), desired: make(map[string]int)}
	for name := range in.Models {
		p.names = append(p.names, name)
	}
	slices.Sort(p.names)
	for _, e := range in.Engines {
		for i := range e.LoadedModels {
			p.copies[e.LoadedModels[i].Model]++
		}
	}
	p.wish()
	for p.addOne() {
		continue
	}
	return p.steps
}

// plannedDemand returns the demand that a model's replicas are planned for, in
// engines.
func (p *plan) weight(model string) float64 { return p.in.Demand[model] + idleWeight }

// computeDesired sets the desired number of replicas: one of each model, then
// repeatedly one more of the model with the highest demand per replica, until the
// memory budget is used up.
func (p *plan) wish() {
	var budget float64
	for _, e := range p.in.Engines {
		budget += e.MemoryMB * packing
	}
	for _, name := range p.names {
		p.desired[name] = 1
		budget -= p.in.Models[name].MemoryMB
	}
	for {
		best, bestRatio := "", 0.0
		for _, name := range p.names {
			if p.desired[name] >= len(p.in.Engines) || p.in.Models[name].MemoryMB > budget {
				continue
			}
			if ratio := p.weight(name) / float64(p.desired[name]); ratio > bestRatio {
				best, bestRatio = name, ratio
			}
		}
		if best == "" {
			return
		}
		p.desired[best]++
		budget -= p.in.Models[best].MemoryMB
	}
}

// urgency returns how urgently a model needs another replica: its demand per
// replica, or a multiple of its demand if it has no replica.
func (p *plan) need(model string) float64 {
	if p.copies[model] == 0 {
		return absentFactor * p.weight(model)
	}
	return p.weight(model) / float64(p.copies[model])
}

// noReplicaFactor raises the urgency of models without a replica. An idle model
// without a replica then ranks below models whose replicas are each busy more than
// half of the time.
const absentFactor = 20.0

// addStep adds a step for the most urgent model that can be placed and reports
// whether there is one.
func (p *plan) addOne() bool {
	lacking := slices.DeleteFunc(slices.Clone(p.names), func(name string) bool {
		return p.copies[name] >= p.desired[name]
	})
	slices.SortStableFunc(lacking, func(a, b string) int { return cmp.Compare(p.need(b), p.need(a)) })
	for _, name := range lacking {
		if p.place(p.in.Models[name]) {
			return true
		}
	}
	return false
}

// placement is a way to place a model on an engine.
type offer struct {
	engine  *Engine
	victims []string
	// victimDemand is the highest demand per replica that remains for a victim.
	loss float64
	near bool
	// addsZone means that the engine's availability zone has no replica yet.
	inNewZone bool
}

// placeReplica adds the next step towards one more replica of a model.
func (p *plan) place(model catalog.Model) bool {
	var best *offer
	for _, e := range p.in.Engines {
		if e.IsOccupied || e.has(model.Name) || model.MemoryMB > e.MemoryMB || p.isLastFree(e) {
			continue
		}
		o := p.offerOf(e, model)
		// Models are evicted only for loads that may start soon.
		if o == nil || !o.near && p.in.StoreLoadPermits <= 0 {
			continue
		}
		if best == nil || compareOffers(o, best) < 0 {
			best = o
		}
	}
	if best == nil {
		return false
	}
	p.take(best, model)
	return true
}

// isLastAvailable reports whether an engine is the only one that can still load
// adapters of a model in demand. It cannot do so while it executes an order.
func (p *plan) isLastFree(e *Engine) bool {
	for i := range e.LoadedModels {
		name := e.LoadedModels[i].Model
		if len(p.in.Models[name].Adapters) == 0 || p.in.Demand[name] < idleWeight {
			continue
		}
		others := slices.ContainsFunc(p.in.Engines, func(other *Engine) bool {
			return other != e && !other.IsOccupied && other.has(name)
		})
		if !others {
			return true
		}
	}
	return false
}

// commit adds the step for a placement and updates the plan.
func (p *plan) take(o *offer, model catalog.Model) {
	o.engine.IsOccupied = true
	if !o.near {
		p.in.StoreLoadPermits--
	}
	if len(o.victims) > 0 {
		p.copies[o.victims[0]]--
		p.steps = append(p.steps, Step{Engine: o.engine.ID, Model: o.victims[0], Unload: true})
		// Count the replica now, so that no other engine evicts models for it.
		p.copies[model.Name]++
		return
	}
	p.copies[model.Name]++
	p.steps = append(p.steps, Step{Engine: o.engine.ID, Model: model.Name, FromStore: !o.near})
}

// comparePlacements prefers a placement without victims, then cached weights,
// then the lowest remaining demand of victims, then a zone without a replica.
func compareOffers(a, b *offer) int {
	return cmp.Or(
		cmp.Compare(len(a.victims), len(b.victims)),
		compareBool(b.near, a.near),
		cmp.Compare(a.loss, b.loss),
		compareBool(b.inNewZone, a.inNewZone),
		cmp.Compare(a.engine.UsedMB, b.engine.UsedMB),
		strings.Compare(a.engine.ID, b.engine.ID),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// placementOn returns how an engine could hold a model, or nil if it cannot.
func (p *plan) offerOf(e *Engine, model catalog.Model) *offer {
	o := &offer{engine: e, near: e.CachedModels[model.Name], inNewZone: !p.isInZone(model.Name, e.AvailabilityZone)}
	missing := model.MemoryMB - (e.MemoryMB - e.UsedMB)
	if missing <= 0 {
		return o
	}
	if p.need(model.Name) < busyDemand {
		return nil
	}
	incoming := p.weight(model.Name) / float64(p.copies[model.Name]+1)
	// A model in demand without a replica evicts others regardless of their
	// demand.
	isWanted := p.copies[model.Name] == 0 && p.in.Demand[model.Name] > idleWeight
	candidates := p.victims(e)
	for _, victim := range candidates {
		left := p.weight(victim) / float64(p.copies[victim]-1)
		isSpare := p.copies[victim] > p.desired[victim]
		if !isSpare && !isWanted && incoming < left*evictionGain {
			break
		}
		o.victims = append(o.victims, victim)
		o.loss = max(o.loss, left)
		missing -= p.in.Models[victim].MemoryMB
		if missing <= 0 {
			return o
		}
	}
	return nil
}

// isInZone reports whether an engine of the zone holds a model.
func (p *plan) isInZone(model, zone string) bool {
	return slices.ContainsFunc(p.in.Engines, func(e *Engine) bool { return e.AvailabilityZone == zone && e.has(model) })
}

// evictableModels returns the models of an engine that other engines also hold,
// in order of the demand per remaining replica.
func (p *plan) victims(e *Engine) []string {
	var names []string
	for i := range e.LoadedModels {
		if name := e.LoadedModels[i].Model; p.copies[name] > 1 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(p.weight(a)/float64(p.copies[a]-1), p.weight(b)/float64(p.copies[b]-1)),
			strings.Compare(a, b),
		)
	})
	return names
}
