package planner

import (
	"math"
	"slices"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/stocker"
)

// engine is the planner's view of one engine: its last report, updated by the
// orders that it has accepted since.
type engine struct {
	state catalog.Upstream
	// inFlight is set while an order awaits its response.
	inFlight bool
	// loadingModel and unloadingModel are the models that the engine is loading
	// and unloading. They are empty if there is none.
	loading   string
	unloading string
	// unloadingAdapter is an adapter that the engine unloads once the adapter's
	// last request ends. It occupies its slot until a report no longer lists it.
	leaving catalog.AdapterName
	// dueAt is when the current load or unload is expected to complete.
	dueAt time.Time
	// backoffUntil is the earliest time for the next order after one that was
	// rejected or got no response.
	restUntil time.Time
	// isStateUnknown is set while the engine may have accepted orders that state
	// does not include. The engine gets no orders until a report clears it.
	isUncertain bool
	polling     bool
	polledAt    time.Time
	// publishedAt is when the engine's placement was last published.
	toldAt time.Time
}

// syncUpstreams updates the engines from the registered upstreams. It adds new
// engines and removes those that are no longer registered.
func (o *Planner) adopt(site Site) {
	for id, upstream := range site.Upstreams {
		service, found := site.Catalog.Service(upstream.Service)
		if !found || service.Engine == nil {
			continue
		}
		e := o.engines[id]
		if e == nil || e.state.StartUnixMilli != upstream.StartUnixMilli {
			// A registration does not include the number of accepted orders, so
			// the engine needs a report before its first order.
			o.engines[id] = &engine{state: *upstream, isUncertain: true}
			continue
		}
		e.state.IsDraining = upstream.IsDraining
		e.state.Address = upstream.Address
	}
	for id := range o.engines {
		if site.Upstreams[id] == nil {
			delete(o.engines, id)
		}
	}
}

// applyReport updates the engine from a report, unless the report is older than
// the known state. It reports whether the loaded models may have changed.
func (e *engine) takeReport(report *catalog.Upstream) bool {
	if report.StartUnixMilli != e.state.StartUnixMilli || report.AcceptedOrders < e.state.AcceptedOrders || e.inFlight {
		return false
	}
	isNewer := report.AcceptedOrders > e.state.AcceptedOrders
	if e.loading != "" && !report.Serves(e.loading, "") && !isNewer {
		return false
	}
	if e.unloading != "" && report.Serves(e.unloading, "") && !isNewer {
		return false
	}
	if e.leaving != (catalog.AdapterName{}) && report.Serves(e.leaving.Model, e.leaving.Adapter) && !isNewer {
		return false
	}
	if e.leaving != (catalog.AdapterName{}) {
		e.complete(Order{Unload: true, Model: e.leaving.Model, Adapter: e.leaving.Adapter})
		e.leaving = catalog.AdapterName{}
	}
	holdings := withIncoming(report)
	if !isNewer {
		holdings = withAdaptersOf(report.LoadedModels, e.state.LoadedModels)
	}
	changed := isNewer || !sameHoldings(holdings, e.state.LoadedModels)
	// The report does not list a model that a previous leader's order is still
	// loading.
	e.loading, e.unloading, e.isUncertain = "", "", report.IsExecutingOrder
	e.state.LoadedModels, e.state.AcceptedOrders = holdings, report.AcceptedOrders
	e.state.HostCachedModels, e.state.DiskCachedModels = report.HostCachedModels, report.DiskCachedModels
	return changed
}

// withKnownAdapters returns the reported models with the known adapters. A
// report that is as old as the last order may not list that order's adapter yet.
func withAdaptersOf(reported, known []catalog.LoadedModel) []catalog.LoadedModel {
	merged := slices.Clone(reported)
	for i := range merged {
		for _, k := range known {
			if k.Model == merged[i].Model {
				merged[i].Adapters = k.Adapters
			}
		}
	}
	return merged
}

// withLoadingAdapters returns the reported models with the adapters that the
// engine has loaded or is loading.
func withIncoming(report *catalog.Upstream) []catalog.LoadedModel {
	holdings := slices.Clone(report.LoadedModels)
	for i := range holdings {
		for _, incoming := range report.LoadingAdapters {
			if incoming.Model == holdings[i].Model && !slices.Contains(holdings[i].Adapters, incoming.Adapter) {
				holdings[i].Adapters = append(slices.Clone(holdings[i].Adapters), incoming.Adapter)
			}
		}
	}
	return holdings
}

func sameHoldings(a, b []catalog.LoadedModel) bool {
	return slices.EqualFunc(a, b, func(x, y catalog.LoadedModel) bool {
		return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
}

// recordAccepted updates the state for an order that the engine has accepted.
func (e *engine) accept(order Order, spec *catalog.EngineSpec, now time.Time) {
	e.state.AcceptedOrders++
	if order.Adapter != "" && order.Unload {
		e.leaving, e.dueAt = catalog.AdapterName{Model: order.Model, Adapter: order.Adapter}, now.Add(pollPeriod)
		return
	}
	if order.Adapter != "" {
		e.complete(order)
		return
	}
	if order.Unload {
		e.complete(order)
		e.unloading, e.dueAt = order.Model, now.Add(pollPeriod)
		return
	}
	model := spec.Models[order.Model]
	e.loading, e.dueAt = order.Model, now.Add(e.loadTime(&model))
}

// loadTime returns the expected time to load a model from the nearest copy of
// its weights.
func (e *engine) loadTime(model *catalog.Model) time.Duration {
	switch {
	case slices.Contains(e.state.HostCachedModels, model.Name):
		return model.HostLoadTime
	case slices.Contains(e.state.DiskCachedModels, model.Name):
		return model.DiskLoadTime
	}
	return model.StoreLoadTime
}

// applyOrder updates the loaded models as if the order were complete.
func (e *engine) complete(order Order) {
	holdings := slices.Clone(e.state.LoadedModels)
	index := slices.IndexFunc(holdings, func(h catalog.LoadedModel) bool { return h.Model == order.Model })
	switch {
	case order.Adapter == "" && order.Unload && index >= 0:
		holdings = slices.Delete(holdings, index, index+1)
	case order.Adapter == "" && !order.Unload && index < 0:
		holdings = append(holdings, catalog.LoadedModel{Model: order.Model})
	case order.Adapter != "" && index >= 0:
		adapters := slices.DeleteFunc(slices.Clone(holdings[index].Adapters), func(name string) bool { return name == order.Adapter })
		if !order.Unload {
			adapters = append(adapters, order.Adapter)
		}
		holdings[index].Adapters = adapters
	}
	e.state.LoadedModels = holdings
}

// planInput returns the engines of a service that accept new requests, in the
// form that the stocker plans on, sorted by ID.
func (o *Planner) plannable(site Site, service string, spec *catalog.EngineSpec, now time.Time) []*stocker.Engine {
	var engines []*stocker.Engine
	for id, e := range o.engines {
		if e.state.Service != service || e.state.IsDraining || site.ZonesOutOfService[e.state.AvailabilityZone] {
			continue
		}
		planned := &stocker.Engine{
			ID:           id,
			MemoryMB:     spec.MemoryMB,
			AdapterSlots: spec.AdapterSlots,
			LoadedModels: slices.Clone(e.state.LoadedModels),
			CachedModels: make(map[string]bool),

			AvailabilityZone: e.state.AvailabilityZone,
			IsOccupied:       e.isOccupied(now),
		}
		for _, name := range slices.Concat(e.state.HostCachedModels, e.state.DiskCachedModels) {
			planned.CachedModels[name] = true
		}
		for _, name := range []string{e.loading, e.unloading} {
			if name != "" && !e.state.Serves(name, "") {
				planned.LoadedModels = append(planned.LoadedModels, catalog.LoadedModel{Model: name})
			}
		}
		for i := range planned.LoadedModels {
			model := spec.Models[planned.LoadedModels[i].Model]
			planned.UsedMB += model.MemoryMB + model.AdapterMemoryMB*float64(len(planned.LoadedModels[i].Adapters))
		}
		// Memory for all adapter slots stays reserved, since adapters are loaded
		// and unloaded within milliseconds.
		planned.UsedMB += adapterReserve(spec, planned)
		engines = append(engines, planned)
	}
	slices.SortFunc(engines, func(a, b *stocker.Engine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return engines
}

// isOccupied reports whether the engine cannot accept an order now.
func (e *engine) isOccupied(now time.Time) bool {
	return e.inFlight || e.isUncertain || now.Before(e.restUntil) ||
		e.loading != "" || e.unloading != "" || e.leaving != (catalog.AdapterName{})
}

// adapterReserve returns the memory to reserve for the free adapter slots, each
// with the size of the largest adapter.
func adapterReserve(spec *catalog.EngineSpec, e *stocker.Engine) float64 {
	var largest float64
	for _, model := range spec.Models {
		largest = max(largest, model.AdapterMemoryMB)
	}
	free := e.AdapterSlots
	for i := range e.LoadedModels {
		free -= len(e.LoadedModels[i].Adapters)
	}
	return largest * float64(max(free, 0))
}

// tokenBucket limits the rate of loads from the weight store. It starts empty,
// since the previous leader may have used up the burst.
type permits struct {
	level float64
	at    time.Time
}

// available refills the bucket and returns the number of loads that may start
// now.
func (p *permits) available(rate float64, now time.Time) int {
	p.level = min(p.level+rate*now.Sub(p.at).Seconds(), storeBurst)
	p.at = now
	return int(p.level)
}

func (p *permits) spend() { p.level-- }

// demandAverage keeps two exponentially weighted moving averages of each model's
// demand, one with a short and one with a long half-life.
type demandMemory struct {
	short, long map[string]float64
	at          time.Time
}

// update adds a sample of the current demand per model, in engines.
func (d *demandMemory) observe(demand map[string]float64, now time.Time) {
	if d.short == nil {
		d.short, d.long, d.at = make(map[string]float64), make(map[string]float64), now
	}
	elapsed := now.Sub(d.at)
	d.at = now
	decay(d.short, demand, elapsed, shortMemory)
	decay(d.long, demand, elapsed, longMemory)
}

// updateAverage decays an average over the elapsed time and adds a new sample.
func decay(average, demand map[string]float64, elapsed, halving time.Duration) {
	keep := math.Exp2(-elapsed.Seconds() / halving.Seconds())
	for name := range average {
		average[name] *= keep
	}
	for name, value := range demand {
		average[name] += value * (1 - keep)
	}
}

// perModel returns the demand to plan for: the short average, or the weighted
// long average if that is higher.
func (d *demandMemory) perModel() map[string]float64 {
	total := make(map[string]float64, len(d.long))
	for name, value := range d.long {
		total[name] = max(d.short[name], longWeight*value)
	}
	return total
}
