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
		if e == nil || e.state.Born != upstream.Born {
			// Only a report tells how many orders the engine has accepted.
			o.engines[id] = &engine{state: *upstream, isUncertain: true}
			continue
		}
		e.state.IsLeaving = upstream.IsLeaving
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
	if report.Born != e.state.Born || report.Orders < e.state.Orders || e.inFlight {
		return false
	}
	isNewer := report.Orders > e.state.Orders
	if e.loading != "" && !report.Holds(e.loading, "") && !isNewer {
		return false
	}
	if e.unloading != "" && report.Holds(e.unloading, "") && !isNewer {
		return false
	}
	if e.leaving != (catalog.AdapterName{}) && report.Holds(e.leaving.Model, e.leaving.Adapter) && !isNewer {
		return false
	}
	if e.leaving != (catalog.AdapterName{}) {
		e.complete(Order{Unload: true, Model: e.leaving.Model, Adapter: e.leaving.Adapter})
		e.leaving = catalog.AdapterName{}
	}
	holdings := withIncoming(report)
	if !isNewer {
		holdings = withAdaptersOf(report.Holdings, e.state.Holdings)
	}
	changed := isNewer || !sameHoldings(holdings, e.state.Holdings)
	// What another holder's order is bringing is not in the list yet.
	e.loading, e.unloading, e.isUncertain = "", "", report.IsBusy
	e.state.Holdings, e.state.Orders = holdings, report.Orders
	e.state.HostCopies, e.state.DiskCopies = report.HostCopies, report.DiskCopies
	return changed
}

// withAdaptersOf adds the adapters of accepted orders, which a report that is as
// old as the last order may not show yet.
func withAdaptersOf(reported, known []catalog.Holding) []catalog.Holding {
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
func withIncoming(report *catalog.Upstream) []catalog.Holding {
	holdings := slices.Clone(report.Holdings)
	for i := range holdings {
		for _, incoming := range report.Incoming {
			if incoming.Model == holdings[i].Model && !slices.Contains(holdings[i].Adapters, incoming.Adapter) {
				holdings[i].Adapters = append(slices.Clone(holdings[i].Adapters), incoming.Adapter)
			}
		}
	}
	return holdings
}

func sameHoldings(a, b []catalog.Holding) bool {
	return slices.EqualFunc(a, b, func(x, y catalog.Holding) bool {
		return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
}

// accept notes an order that is being carried out.
func (e *engine) accept(order Order, spec *catalog.Engine, now time.Time) {
	e.state.Orders++
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
	case slices.Contains(e.state.HostCopies, model.Name):
		return model.HostLoad
	case slices.Contains(e.state.DiskCopies, model.Name):
		return model.DiskLoad
	}
	return model.StoreLoad
}

// complete applies an order to what the engine holds.
func (e *engine) complete(order Order) {
	holdings := slices.Clone(e.state.Holdings)
	index := slices.IndexFunc(holdings, func(h catalog.Holding) bool { return h.Model == order.Model })
	switch {
	case order.Adapter == "" && order.Unload && index >= 0:
		holdings = slices.Delete(holdings, index, index+1)
	case order.Adapter == "" && !order.Unload && index < 0:
		holdings = append(holdings, catalog.Holding{Model: order.Model})
	case order.Adapter != "" && index >= 0:
		adapters := slices.DeleteFunc(slices.Clone(holdings[index].Adapters), func(name string) bool { return name == order.Adapter })
		if !order.Unload {
			adapters = append(adapters, order.Adapter)
		}
		holdings[index].Adapters = adapters
	}
	e.state.Holdings = holdings
}

// plannable returns the engines of a service that take new work, as the planner
// sees them.
func (o *Orderer) plannable(site Site, service string, spec *catalog.Engine, now time.Time) []*stocker.Engine {
	var engines []*stocker.Engine
	for id, e := range o.engines {
		if e.state.Service != service || e.state.IsLeaving || site.ZonesOut[e.state.AvailabilityZone] {
			continue
		}
		planned := &stocker.Engine{
			ID:           id,
			MemoryMB:     spec.MemoryMB,
			AdapterSlots: spec.AdapterSlots,
			Holdings:     slices.Clone(e.state.Holdings),
			Near:         make(map[string]bool),

			AvailabilityZone: e.state.AvailabilityZone,
			IsOccupied:       e.isOccupied(now),
		}
		for _, name := range slices.Concat(e.state.HostCopies, e.state.DiskCopies) {
			planned.Near[name] = true
		}
		for _, name := range []string{e.loading, e.unloading} {
			if name != "" && !e.state.Holds(name, "") {
				planned.Holdings = append(planned.Holdings, catalog.Holding{Model: name})
			}
		}
		for i := range planned.Holdings {
			model := spec.Models[planned.Holdings[i].Model]
			planned.UsedMB += model.MemoryMB + model.AdapterMB*float64(len(planned.Holdings[i].Adapters))
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
func adapterReserve(spec *catalog.Engine, e *stocker.Engine) float64 {
	var largest float64
	for _, model := range spec.Models {
		largest = max(largest, model.AdapterMB)
	}
	free := e.AdapterSlots
	for i := range e.Holdings {
		free -= len(e.Holdings[i].Adapters)
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
