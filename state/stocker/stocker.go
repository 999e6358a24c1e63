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
	idleDemand = 0.03
	// plannedMemoryFraction is the fraction of all memory that replicas are planned
	// for. Models rarely fill the memory of an engine without a remainder.
	plannedMemoryFraction = 0.88
	// evictionDemandRatio is the minimum ratio between the demand per replica of
	// the incoming model and that which remains for the evicted model.
	evictionDemandRatio = 1.6
	// evictionMinDemand is the demand per replica, in engines, from which a model
	// may evict others to get one more replica. Lower demand does not justify
	// it, since an engine cannot load adapters while it loads a model.
	evictionMinDemand = 0.25
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
	// IsLimited means that the engine asks for fewer requests than its demand. It gets no
	// more models, and models in demand need a replica on another engine.
	IsLimited bool
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
	in Input
	// replicas counts the replicas of each model with the planned ones, and loaded
	// those without.
	replicas   map[string]int
	loaded     map[string]int
	desired    map[string]int
	modelNames []string
	steps      []Step
}

// Plan returns the orders to send now, at most one for each engine.
func Plan(in Input) []Step {
	p := &plan{in: in, replicas: make(map[string]int), loaded: make(map[string]int), desired: make(map[string]int)}
	for name := range in.Models {
		p.modelNames = append(p.modelNames, name)
	}
	slices.Sort(p.modelNames)
	for _, e := range in.Engines {
		for i := range e.LoadedModels {
			name := e.LoadedModels[i].Model
			if e.IsLimited && in.Demand[name] >= idleDemand {
				continue
			}
			p.replicas[name]++
			p.loaded[name]++
		}
	}
	p.computeDesired()
	for p.addStep() {
		continue
	}
	return p.steps
}

// plannedDemand returns the demand that a model's replicas are planned for, in
// engines.
func (p *plan) plannedDemand(model string) float64 { return p.in.Demand[model] + idleDemand }

// computeDesired sets the desired number of replicas: one of each model, then
// repeatedly one more of the model with the highest demand per replica, until the
// memory budget is used up.
func (p *plan) computeDesired() {
	var budget float64
	unlimited := 0
	for _, e := range p.in.Engines {
		if !e.IsLimited {
			unlimited++
			budget += e.MemoryMB * plannedMemoryFraction
		}
	}
	for _, name := range p.modelNames {
		p.desired[name] = 1
		budget -= p.in.Models[name].MemoryMB
	}
	for {
		best, bestRatio := "", 0.0
		for _, name := range p.modelNames {
			if p.desired[name] >= unlimited || p.in.Models[name].MemoryMB > budget {
				continue
			}
			if ratio := p.plannedDemand(name) / float64(p.desired[name]); ratio > bestRatio {
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
func (p *plan) urgency(model string) float64 {
	if p.replicas[model] == 0 {
		return noReplicaFactor * p.plannedDemand(model)
	}
	return p.plannedDemand(model) / float64(p.replicas[model])
}

// noReplicaFactor raises the urgency of models without a replica. An idle model
// without a replica then ranks below models whose replicas are each busy more than
// half of the time.
const noReplicaFactor = 20.0

// addStep adds a step for the most urgent model that can be placed and reports
// whether there is one.
func (p *plan) addStep() bool {
	lacking := slices.DeleteFunc(slices.Clone(p.modelNames), func(name string) bool {
		return p.replicas[name] >= p.desired[name]
	})
	slices.SortStableFunc(lacking, func(a, b string) int { return cmp.Compare(p.urgency(b), p.urgency(a)) })
	for _, name := range lacking {
		if p.placeReplica(p.in.Models[name]) {
			return true
		}
	}
	return false
}

// placement is a way to place a model on an engine.
type placement struct {
	engine  *Engine
	victims []string
	// victimDemand is the highest demand per replica that remains for a victim.
	victimDemand float64
	// isCached means that the engine has the weights in host memory or on disk.
	isCached bool
	// addsZone means that the engine's availability zone has no replica yet.
	addsZone bool
}

// placeReplica adds the next step towards one more replica of a model.
func (p *plan) placeReplica(model catalog.Model) bool {
	var best *placement
	for _, e := range p.in.Engines {
		if e.IsOccupied || e.IsLimited || e.has(model.Name) || model.MemoryMB > e.MemoryMB || p.isLastAvailable(e) {
			continue
		}
		pl := p.placementOn(e, model)
		// Models are evicted only for loads that may start soon.
		if pl == nil || !pl.isCached && p.in.StoreLoadPermits <= 0 {
			continue
		}
		if best == nil || comparePlacements(pl, best) < 0 {
			best = pl
		}
	}
	if best == nil {
		return false
	}
	p.commit(best, model)
	return true
}

// isLastAvailable reports whether an engine is the only one that can still load
// adapters of a model in demand. It cannot do so while it executes an order.
func (p *plan) isLastAvailable(e *Engine) bool {
	for i := range e.LoadedModels {
		name := e.LoadedModels[i].Model
		if len(p.in.Models[name].Adapters) == 0 || p.in.Demand[name] < idleDemand {
			continue
		}
		hasOther := slices.ContainsFunc(p.in.Engines, func(other *Engine) bool {
			return other != e && !other.IsOccupied && other.has(name)
		})
		if !hasOther {
			return true
		}
	}
	return false
}

// commit adds the step for a placement and updates the plan. If the placement has
// several victims, it unloads the first one, and later plans unload the others.
func (p *plan) commit(pl *placement, model catalog.Model) {
	pl.engine.IsOccupied = true
	if !pl.isCached {
		p.in.StoreLoadPermits--
	}
	if len(pl.victims) > 0 {
		p.replicas[pl.victims[0]]--
		p.loaded[pl.victims[0]]--
		p.steps = append(p.steps, Step{Engine: pl.engine.ID, Model: pl.victims[0], Unload: true})
		// Count the replica now, so that no other engine evicts models for it.
		p.replicas[model.Name]++
		return
	}
	p.replicas[model.Name]++
	p.steps = append(p.steps, Step{Engine: pl.engine.ID, Model: model.Name, FromStore: !pl.isCached})
}

// comparePlacements prefers a placement without victims, then cached weights,
// then the lowest remaining demand of victims, then a zone without a replica.
func comparePlacements(a, b *placement) int {
	return cmp.Or(
		cmp.Compare(len(a.victims), len(b.victims)),
		compareBool(b.isCached, a.isCached),
		cmp.Compare(a.victimDemand, b.victimDemand),
		compareBool(b.addsZone, a.addsZone),
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
func (p *plan) placementOn(e *Engine, model catalog.Model) *placement {
	pl := &placement{engine: e, isCached: e.CachedModels[model.Name], addsZone: !p.isInZone(model.Name, e.AvailabilityZone)}
	missing := model.MemoryMB - (e.MemoryMB - e.UsedMB)
	if missing <= 0 {
		return pl
	}
	if p.urgency(model.Name) < evictionMinDemand {
		return nil
	}
	incoming := p.plannedDemand(model.Name) / float64(p.replicas[model.Name]+1)
	// A model in demand without a replica evicts others regardless of their
	// demand.
	isMissing := p.replicas[model.Name] == 0 && p.in.Demand[model.Name] > idleDemand
	victims := p.evictableModels(e)
	for _, victim := range victims {
		remaining := p.plannedDemand(victim) / float64(p.replicas[victim]-1)
		isSurplus := p.replicas[victim] > p.desired[victim]
		if !isSurplus && !isMissing && incoming < remaining*evictionDemandRatio {
			break
		}
		pl.victims = append(pl.victims, victim)
		pl.victimDemand = max(pl.victimDemand, remaining)
		missing -= p.in.Models[victim].MemoryMB
		if missing <= 0 {
			return pl
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
func (p *plan) evictableModels(e *Engine) []string {
	var names []string
	for i := range e.LoadedModels {
		if name := e.LoadedModels[i].Model; p.replicas[name] > 1 && p.loaded[name] > 1 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(p.plannedDemand(a)/float64(p.replicas[a]-1), p.plannedDemand(b)/float64(p.replicas[b]-1)),
			strings.Compare(a, b),
		)
	})
	return names
}
