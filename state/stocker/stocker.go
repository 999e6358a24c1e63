// Package stocker decides which weights engines load and unload next.
//
// Copies of a model follow the engine time that it is asked for, by a short and
// a long memory: a load takes seconds and demand moves within seconds to models
// that were asked for before. Memory that demand does not need holds further
// copies of all models, so that a model whose demand begins is served from its
// first request on.
package stocker

import (
	"cmp"
	"slices"
	"strings"

	"github.com/crocushollow/crocushollow/catalog"
)

// Tuning of the plan.
const (
	// idleWeight is the demand in engines that a model without requests counts
	// as.
	idleWeight = 0.03
	// packing is the part of all memory that copies are planned for. Models do
	// not fill an engine without a rest.
	packing = 0.88
	// evictionGain is how many times more demand per copy the incoming model
	// must have than what a model that gives way is left with.
	evictionGain = 1.6
	// busyDemand is the demand per copy in engines from which a model gets
	// another copy in place of one of another model. While an engine loads a
	// model it takes no adapter.
	busyDemand = 0.25
)

// Engine is an engine as the plan sees it.
type Engine struct {
	ID string
	// MemoryMB and AdapterSlots bound what it holds.
	MemoryMB     float64
	AdapterSlots int
	// UsedMB is the memory of all that it holds or loads.
	UsedMB float64
	// Holdings lists what it holds, with models that are being loaded.
	Holdings []catalog.LoadedModel
	// Near lists the models whose weights are in its host memory or on its disk.
	Near map[string]bool
	// AvailabilityZone is the zone it runs in.
	AvailabilityZone string
	// IsOccupied tells that an order is being carried out.
	IsOccupied bool
}

func (e *Engine) has(model string) bool {
	return slices.ContainsFunc(e.Holdings, func(h catalog.LoadedModel) bool { return h.Model == model })
}

// Input is what a plan is based on.
type Input struct {
	// Engines lists the engines that take new work.
	Engines []*Engine
	Models  map[string]catalog.Model
	// Demand is the number of engines that each model keeps busy.
	Demand map[string]float64
	// StoreLoads is the number of loads that the weight store may begin now.
	StoreLoads int
}

// Step is an order to give.
type Step struct {
	Engine string
	Model  string
	// Adapter is empty for the model itself.
	Adapter string
	// Unload tells that the model is to be unloaded, not loaded.
	Unload bool
	// FromStore tells that the weights come from the weight store.
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

// Plan returns the orders to give now, at most one for each engine.
func Plan(in Input) []Step {
	p := &plan{in: in, copies: make(map[string]int), desired: make(map[string]int)}
	for name := range in.Models {
		p.names = append(p.names, name)
	}
	slices.Sort(p.names)
	for _, e := range in.Engines {
		for i := range e.Holdings {
			p.copies[e.Holdings[i].Model]++
		}
	}
	p.wish()
	for p.addOne() {
		continue
	}
	return p.steps
}

// weight is the demand that a model's copies are planned for, in engines.
func (p *plan) weight(model string) float64 { return p.in.Demand[model] + idleWeight }

// wish computes the desired copies: one of each model, and then always one more
// of that with the most demand per copy, until the memory is planned.
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

// need is how much a model lacks copies: the demand per copy, and a multiple of
// the demand if there is none.
func (p *plan) need(model string) float64 {
	if p.copies[model] == 0 {
		return absentFactor * p.weight(model)
	}
	return p.weight(model) / float64(p.copies[model])
}

// absentFactor raises the need of models without a copy. An idle one then comes
// after models that keep more than half an engine a copy busy.
const absentFactor = 20.0

// addOne adds the step that the neediest model waits for and reports whether
// there was one.
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

// offer is a way to place a model on an engine.
type offer struct {
	engine  *Engine
	victims []string
	// loss is the greatest demand per copy that a victim is left with.
	loss float64
	near bool
	// inNewZone tells that no other copy is in the engine's availability zone.
	inNewZone bool
}

// place adds the next step towards one more copy of a model.
func (p *plan) place(model catalog.Model) bool {
	var best *offer
	for _, e := range p.in.Engines {
		if e.IsOccupied || e.has(model.Name) || model.MemoryMB > e.MemoryMB || p.isLastFree(e) {
			continue
		}
		o := p.offerOf(e, model)
		// Room is made only for loads that may begin soon.
		if o == nil || !o.near && p.in.StoreLoads <= 0 {
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

// isLastFree reports whether an engine is the only one that can still take
// adapters of a model in demand, which it cannot while it carries out an order.
func (p *plan) isLastFree(e *Engine) bool {
	for i := range e.Holdings {
		name := e.Holdings[i].Model
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

// take turns an offer into a step and counts it.
func (p *plan) take(o *offer, model catalog.Model) {
	o.engine.IsOccupied = true
	if !o.near {
		p.in.StoreLoads--
	}
	if len(o.victims) > 0 {
		p.copies[o.victims[0]]--
		p.steps = append(p.steps, Step{Engine: o.engine.ID, Model: o.victims[0], Unload: true})
		// The copy is counted, so that no other engine makes room for it too.
		p.copies[model.Name]++
		return
	}
	p.copies[model.Name]++
	p.steps = append(p.steps, Step{Engine: o.engine.ID, Model: model.Name, FromStore: !o.near})
}

// compareOffers prefers room without a victim, then weights that are near, then
// an availability zone without a copy, then the least loss.
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

// offerOf returns how an engine could hold a model, or nil.
func (p *plan) offerOf(e *Engine, model catalog.Model) *offer {
	o := &offer{engine: e, near: e.Near[model.Name], inNewZone: !p.isInZone(model.Name, e.AvailabilityZone)}
	missing := model.MemoryMB - (e.MemoryMB - e.UsedMB)
	if missing <= 0 {
		return o
	}
	if p.need(model.Name) < busyDemand {
		return nil
	}
	incoming := p.weight(model.Name) / float64(p.copies[model.Name]+1)
	// A model that is asked for and has no copy gets one at any cost.
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

// victims returns the models of an engine that are also held elsewhere, those
// with the least demand per remaining copy first.
func (p *plan) victims(e *Engine) []string {
	var names []string
	for i := range e.Holdings {
		if name := e.Holdings[i].Model; p.copies[name] > 1 {
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
