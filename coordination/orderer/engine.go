package orderer

import (
	"math"
	"slices"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/stocker"
)

// engine is what the holder knows of one engine: its last report with the
// orders accepted since.
type engine struct {
	state catalog.Upstream
	// inFlight tells that an order is not answered yet.
	inFlight bool
	// loading is the model that is being loaded, and unloading that which is
	// being unloaded.
	loading   string
	unloading string
	// leaving is an adapter that is unloaded when its last request ends. It
	// occupies its place until a report shows that it is gone.
	leaving catalog.AdapterName
	// dueAt is when the load or unload should be complete.
	dueAt time.Time
	// restUntil is when the engine may get its next order.
	restUntil time.Time
	// isUncertain tells that an order without an answer may have been accepted.
	isUncertain bool
	polling     bool
	polledAt    time.Time
	// toldAt is when the instances were told last what the engine holds.
	toldAt time.Time
}

// adopt takes over what upstreams have announced.
func (o *Orderer) adopt(site Site) {
	for id, upstream := range site.Upstreams {
		service, found := site.Catalog.Service(upstream.Service)
		if !found || service.Engine == nil {
			continue
		}
		e := o.engines[id]
		if e == nil || e.state.StartUnixMilli != upstream.StartUnixMilli {
			// Only a report tells how many orders the engine has accepted.
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

// takeReport takes a state that is at least as new as the known one. It reports
// whether what the engine holds has changed.
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
	// What another holder's order is bringing is not in the list yet.
	e.loading, e.unloading, e.isUncertain = "", "", report.IsExecutingOrder
	e.state.LoadedModels, e.state.AcceptedOrders = holdings, report.AcceptedOrders
	e.state.HostCachedModels, e.state.DiskCachedModels = report.HostCachedModels, report.DiskCachedModels
	return changed
}

// withAdaptersOf adds the adapters of accepted orders, which a report that is as
// old as the last order may not show yet.
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

// withIncoming returns what an engine holds with the adapters on their way.
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

// accept notes an order that is being carried out.
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

func (e *engine) loadTime(model *catalog.Model) time.Duration {
	switch {
	case slices.Contains(e.state.HostCachedModels, model.Name):
		return model.HostLoadTime
	case slices.Contains(e.state.DiskCachedModels, model.Name):
		return model.DiskLoadTime
	}
	return model.StoreLoadTime
}

// complete applies an order to what the engine holds.
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

// plannable returns the engines of a service that take new work, as the planner
// sees them.
func (o *Orderer) plannable(site Site, service string, spec *catalog.EngineSpec, now time.Time) []*stocker.Engine {
	var engines []*stocker.Engine
	for id, e := range o.engines {
		if e.state.Service != service || e.state.IsDraining || site.ZonesOut[e.state.AvailabilityZone] {
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
		// Room for all adapters is kept free, since these come and go in
		// milliseconds.
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

// isOccupied reports whether the engine can take no order now.
func (e *engine) isOccupied(now time.Time) bool {
	return e.inFlight || e.isUncertain || now.Before(e.restUntil) ||
		e.loading != "" || e.unloading != "" || e.leaving != (catalog.AdapterName{})
}

// adapterReserve returns the memory of the adapter places that are free.
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

// permits is a token bucket for loads from the weight store. It starts empty,
// since the holder before may have used its burst.
type permits struct {
	level float64
	at    time.Time
}

// available returns the number of loads that may begin now.
func (p *permits) available(rate float64, now time.Time) int {
	p.level = min(p.level+rate*now.Sub(p.at).Seconds(), storeBurst)
	p.at = now
	return int(p.level)
}

func (p *permits) spend() { p.level-- }

// demandMemory averages the demand over a short and a long time.
type demandMemory struct {
	short, long map[string]float64
	at          time.Time
}

// observe takes the demand of the moment in engines.
func (d *demandMemory) observe(demand map[string]float64, now time.Time) {
	if d.short == nil {
		d.short, d.long, d.at = make(map[string]float64), make(map[string]float64), now
	}
	elapsed := now.Sub(d.at)
	d.at = now
	decay(d.short, demand, elapsed, shortMemory)
	decay(d.long, demand, elapsed, longMemory)
}

func decay(average, demand map[string]float64, elapsed, halving time.Duration) {
	keep := math.Exp2(-elapsed.Seconds() / halving.Seconds())
	for name := range average {
		average[name] *= keep
	}
	for name, value := range demand {
		average[name] += value * (1 - keep)
	}
}

func (d *demandMemory) perModel() map[string]float64 {
	total := make(map[string]float64, len(d.long))
	for name, value := range d.long {
		total[name] = max(d.short[name], longWeight*value)
	}
	return total
}
