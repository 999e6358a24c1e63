package stocker

import (
	"github.com/cespare/xxhash/v2"

	"github.com/crocushollow/crocushollow/catalog"
)

// AdapterStep loads an adapter, or unloads another one to make room for it.
type AdapterStep struct {
	Engine string
	// EvictModel and EvictAdapter name the adapter to unload and its model.
	// They are empty if there is room.
	EvictModel   string
	EvictAdapter string
}

// AdapterLastUse returns when an adapter on an engine was last requested, as a
// sequence number that grows, or 0 if it never was.
type AdapterLastUse func(engine, model, adapter string) int64

// PlaceAdapter chooses the engine for an adapter among those that hold its
// model. It ranks engines by a hash per adapter, so that the adapters of a model
// spread over engines. It reports false if no engine can load the adapter now.
func PlaceAdapter(engines []*Engine, model catalog.Model, adapter string, lastUse AdapterLastUse) (AdapterStep, bool) {
	var best *Engine
	var bestRank uint64
	ignored := RedundantLimitedEngines(engines, model.Name)
	for _, e := range engines {
		if e.IsOccupied || !e.has(model.Name) || ignored[e.ID] {
			continue
		}
		rank := xxhash.Sum64String(e.ID + " " + model.Name + "/" + adapter)
		if best == nil || rank > bestRank {
			best, bestRank = e, rank
		}
	}
	if best == nil {
		return AdapterStep{}, false
	}
	step := AdapterStep{Engine: best.ID}
	count := 0
	oldest := int64(-1)
	for i := range best.LoadedModels {
		loaded := &best.LoadedModels[i]
		count += len(loaded.Adapters)
		for _, name := range loaded.Adapters {
			if at := lastUse(best.ID, loaded.Model, name); oldest < 0 || at < oldest {
				oldest, step.EvictModel, step.EvictAdapter = at, loaded.Model, name
			}
		}
	}
	if count < best.AdapterSlots && best.UsedMB+model.AdapterMemoryMB <= best.MemoryMB {
		step.EvictModel, step.EvictAdapter = "", ""
	}
	return step, count < best.AdapterSlots || step.EvictAdapter != ""
}

// RedundantLimitedEngines returns the engines with a rate limit that hold a model which another
// engine without one holds too. Its adapters are better loaded there.
func RedundantLimitedEngines(engines []*Engine, model string) map[string]bool {
	limited := make(map[string]bool)
	hasOther := false
	for _, e := range engines {
		switch {
		case !e.has(model):
		case e.IsLimited:
			limited[e.ID] = true
		default:
			hasOther = true
		}
	}
	if !hasOther {
		return nil
	}
	return limited
}

// PreloadAdapters returns adapters that no engine without a rate limit holds, at most one
// for each such engine with a free slot. Their first requests then need not wait for a load.
func PreloadAdapters(engines []*Engine, models map[string]catalog.Model) []Step {
	type name struct{ model, adapter string }
	held := make(map[name]bool)
	for _, e := range engines {
		if e.IsLimited {
			continue
		}
		for i := range e.LoadedModels {
			for _, adapter := range e.LoadedModels[i].Adapters {
				held[name{e.LoadedModels[i].Model, adapter}] = true
			}
		}
	}
	var steps []Step
	for _, e := range engines {
		if e.IsOccupied || e.IsLimited || e.adapterCount() >= e.AdapterSlots {
			continue
		}
		for i := range e.LoadedModels {
			model := models[e.LoadedModels[i].Model]
			adapter, found := firstAbsent(model.Adapters, func(a string) bool { return held[name{model.Name, a}] })
			if found {
				held[name{model.Name, adapter}] = true
				steps = append(steps, Step{Engine: e.ID, Model: model.Name, Adapter: adapter})
				break
			}
		}
	}
	return steps
}

func firstAbsent(names []string, isHeld func(string) bool) (string, bool) {
	for _, name := range names {
		if !isHeld(name) {
			return name, true
		}
	}
	return "", false
}

func (e *Engine) adapterCount() int {
	count := 0
	for i := range e.LoadedModels {
		count += len(e.LoadedModels[i].Adapters)
	}
	return count
}
