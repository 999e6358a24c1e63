package planner

import (
	"context"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/stocker"
)

// AdapterRequest asks the planner to load an adapter.
type AdapterRequest struct {
	Service string
	Model   string
	Adapter string
}

type adapterKey struct{ engine, model, adapter string }

// RequestAdapter queues a request for an adapter. The request is dropped if the
// queue is full or this instance is not the planner leader; the requester
// retries.
func (o *Planner) RequestAdapter(want AdapterRequest) {
	select {
	case o.wants <- want:
	default:
	}
}

// fillAdapterSlots loads adapters that no engine serves into free adapter slots.
func (o *Planner) fill(ctx context.Context, site Site, service string, spec *catalog.EngineSpec, now time.Time) {
	for _, step := range stocker.PreloadAdapters(o.plannable(site, service, spec, now), spec.Models) {
		o.send(ctx, o.engines[step.Engine], Order{Model: step.Model, Adapter: step.Adapter}, spec)
	}
}

// handleAdapterRequest records a request and tries to place its adapter. It
// ignores a request that is already pending, and all requests while this
// instance is not the planner leader.
func (o *Planner) takeWant(ctx context.Context, want AdapterRequest) {
	now := o.config.Now()
	if !o.holding {
		return
	}
	if _, waits := o.wanted[want]; waits {
		return
	}
	o.wanted[want] = now
	o.placeAdapter(ctx, want, now)
}

// placeAdapter orders an engine that serves the model to load the adapter, or to
// unload another adapter first if no slot is free. If no engine can accept the
// order now, the request stays pending.
func (o *Planner) placeAdapter(ctx context.Context, want AdapterRequest, now time.Time) {
	site := o.config.Site()
	if site.Catalog == nil {
		return
	}
	service, found := site.Catalog.Service(want.Service)
	if !found || service.Engine == nil {
		delete(o.wanted, want)
		return
	}
	model, found := service.Engine.Models[want.Model]
	if !found {
		delete(o.wanted, want)
		return
	}
	if o.isPlaced(want, now) {
		delete(o.wanted, want)
		return
	}
	engines := o.plannable(site, want.Service, service.Engine, now)
	step, ok := stocker.PlaceAdapter(engines, model, want.Adapter, o.lastUse)
	if !ok {
		return
	}
	e := o.engines[step.Engine]
	if step.EvictAdapter != "" {
		o.send(ctx, e, Order{Unload: true, Model: step.EvictModel, Adapter: step.EvictAdapter}, service.Engine)
		return
	}
	o.useSeq++
	o.uses[adapterKey{step.Engine, want.Model, want.Adapter}] = o.useSeq
	o.send(ctx, e, Order{Model: want.Model, Adapter: want.Adapter}, service.Engine)
}

// republishPeriod is the minimum time between two publications of an unchanged
// placement.
const repeatPeriod = 300 * time.Millisecond

// republishIfServed reports whether an engine serves the requested adapter. It
// publishes the placement of those engines again, since the requester does not
// know of it.
func (o *Planner) isPlaced(want AdapterRequest, now time.Time) bool {
	placed := false
	name := catalog.AdapterName{Model: want.Model, Adapter: want.Adapter}
	for _, e := range o.engines {
		if e.state.Service == want.Service && !e.state.IsDraining && e.leaving != name && e.state.Serves(want.Model, want.Adapter) {
			if now.Sub(e.toldAt) > repeatPeriod {
				o.tellPlaced(e, now)
			}
			placed = true
		}
	}
	return placed
}

// lastRequestedLoad returns the sequence number of the last load of an adapter
// on an engine that followed a request, or 0 if there was none.
func (o *Planner) lastUse(engine, model, adapter string) int64 {
	return o.uses[adapterKey{engine, model, adapter}]
}
