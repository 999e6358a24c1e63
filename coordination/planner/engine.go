package planner

import (
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
	loadingModel   string
	unloadingModel string
	// unloadingAdapter is an adapter that the engine unloads once the adapter's
	// last request ends. It occupies its slot until a report no longer lists it.
	unloadingAdapter catalog.AdapterName
	// dueAt is when the current load or unload is expected to complete.
	dueAt time.Time
	// backoffUntil is the earliest time for the next order after one that was
	// rejected or got no response.
	backoffUntil time.Time
	// isStateUnknown is set while the engine may have accepted orders that state
	// does not include. The engine gets no orders until a report clears it.
	isStateUnknown bool
	isPolling      bool
	polledAt       time.Time
	// publishedAt is when the engine's placement was last published.
	publishedAt time.Time
}

// syncUpstreams updates the engines from the registered upstreams. It adds new
// engines and removes those that are no longer registered.
func (p *Planner) syncUpstreams(site Site) {
	for id, upstream := range site.Upstreams {
		service, found := site.Catalog.Service(upstream.Service)
		if !found || service.Engine == nil {
			continue
		}
		e := p.engines[id]
		if e == nil || e.state.StartUnixMilli != upstream.StartUnixMilli {
			// A registration does not include the number of accepted orders, so
			// the engine needs a report before its first order.
			p.engines[id] = &engine{state: *upstream, isStateUnknown: true}
			continue
		}
		e.state.IsDraining = upstream.IsDraining
		e.state.Address = upstream.Address
	}
	for id := range p.engines {
		if site.Upstreams[id] == nil {
			delete(p.engines, id)
		}
	}
}

// applyReport updates the engine from a report, unless the report is older than
// the known state. It reports whether the loaded models may have changed.
func (e *engine) applyReport(report *catalog.Upstream) bool {
	if report.StartUnixMilli != e.state.StartUnixMilli || report.AcceptedOrders < e.state.AcceptedOrders || e.inFlight {
		return false
	}
	isNewer := report.AcceptedOrders > e.state.AcceptedOrders
	if e.loadingModel != "" && !report.Serves(e.loadingModel, "") && !isNewer {
		return false
	}
	if e.unloadingModel != "" && report.Serves(e.unloadingModel, "") && !isNewer {
		return false
	}
	if e.unloadingAdapter != (catalog.AdapterName{}) && report.Serves(e.unloadingAdapter.Model, e.unloadingAdapter.Adapter) && !isNewer {
		return false
	}
	if e.unloadingAdapter != (catalog.AdapterName{}) {
		e.applyOrder(Order{Unload: true, Model: e.unloadingAdapter.Model, Adapter: e.unloadingAdapter.Adapter})
		e.unloadingAdapter = catalog.AdapterName{}
	}
	models := withLoadingAdapters(report)
	if !isNewer {
		models = withKnownAdapters(report.LoadedModels, e.state.LoadedModels)
	}
	changed := isNewer || !equalModels(models, e.state.LoadedModels)
	// While the engine executes an order of a previous leader, the report does
	// not list that order's model yet, so the state stays unknown.
	e.loadingModel, e.unloadingModel, e.isStateUnknown = "", "", report.IsExecutingOrder
	e.state.LoadedModels, e.state.AcceptedOrders = models, report.AcceptedOrders
	e.state.HostCachedModels, e.state.DiskCachedModels = report.HostCachedModels, report.DiskCachedModels
	return changed
}

// withKnownAdapters returns the reported models with the known adapters. A
// report that is as old as the last order may not list that order's adapter yet.
func withKnownAdapters(reported, known []catalog.LoadedModel) []catalog.LoadedModel {
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
func withLoadingAdapters(report *catalog.Upstream) []catalog.LoadedModel {
	models := slices.Clone(report.LoadedModels)
	for i := range models {
		for _, loading := range report.LoadingAdapters {
			if loading.Model == models[i].Model && !slices.Contains(models[i].Adapters, loading.Adapter) {
				models[i].Adapters = append(slices.Clone(models[i].Adapters), loading.Adapter)
			}
		}
	}
	return models
}

func equalModels(a, b []catalog.LoadedModel) bool {
	return slices.EqualFunc(a, b, func(x, y catalog.LoadedModel) bool {
		return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
}

// recordAccepted updates the state for an order that the engine has accepted.
func (e *engine) recordAccepted(order Order, spec *catalog.EngineSpec, now time.Time) {
	e.state.AcceptedOrders++
	if order.Adapter != "" && order.Unload {
		e.unloadingAdapter, e.dueAt = catalog.AdapterName{Model: order.Model, Adapter: order.Adapter}, now.Add(pollPeriod)
		return
	}
	if order.Adapter != "" {
		e.applyOrder(order)
		return
	}
	if order.Unload {
		e.applyOrder(order)
		e.unloadingModel, e.dueAt = order.Model, now.Add(pollPeriod)
		return
	}
	model := spec.Models[order.Model]
	e.loadingModel, e.dueAt = order.Model, now.Add(e.loadTime(&model))
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
func (e *engine) applyOrder(order Order) {
	models := slices.Clone(e.state.LoadedModels)
	index := slices.IndexFunc(models, func(h catalog.LoadedModel) bool { return h.Model == order.Model })
	switch {
	case order.Adapter == "" && order.Unload && index >= 0:
		models = slices.Delete(models, index, index+1)
	case order.Adapter == "" && !order.Unload && index < 0:
		models = append(models, catalog.LoadedModel{Model: order.Model})
	case order.Adapter != "" && index >= 0:
		adapters := slices.DeleteFunc(slices.Clone(models[index].Adapters), func(name string) bool { return name == order.Adapter })
		if !order.Unload {
			adapters = append(adapters, order.Adapter)
		}
		models[index].Adapters = adapters
	}
	e.state.LoadedModels = models
}

// availableEngines returns the engines of a service that accept new requests, as
// input for the stocker, sorted by ID.
func (p *Planner) availableEngines(site Site, service string, spec *catalog.EngineSpec, now time.Time) []*stocker.Engine {
	var engines []*stocker.Engine
	for id, e := range p.engines {
		if e.state.Service != service || e.state.IsDraining || site.LeavingUpstreams[id] || site.ZonesOutOfService[e.state.AvailabilityZone] {
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
			IsLimited:        site.LimitedUpstreams[id],
		}
		for _, name := range slices.Concat(e.state.HostCachedModels, e.state.DiskCachedModels) {
			planned.CachedModels[name] = true
		}
		for _, name := range []string{e.loadingModel, e.unloadingModel} {
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
	return e.inFlight || e.isStateUnknown || now.Before(e.backoffUntil) ||
		e.loadingModel != "" || e.unloadingModel != "" || e.unloadingAdapter != (catalog.AdapterName{})
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
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// available refills the bucket and returns the number of loads that may start
// now.
func (b *tokenBucket) available(rate float64, now time.Time) int {
	b.tokens = min(b.tokens+rate*now.Sub(b.refilledAt).Seconds(), storeBurst)
	b.refilledAt = now
	return int(b.tokens)
}

func (b *tokenBucket) take() { b.tokens-- }
