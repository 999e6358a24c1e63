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
func (p *Planner) RequestAdapter(request AdapterRequest) {
	select {
	case p.requests <- request:
	default:
	}
}

// fillAdapterSlots loads adapters that no engine serves into free adapter slots.
func (p *Planner) fillAdapterSlots(ctx context.Context, site Site, service string, spec *catalog.EngineSpec, now time.Time) {
	for _, step := range stocker.PreloadAdapters(p.availableEngines(site, service, spec, now), spec.Models) {
		p.send(ctx, p.engines[step.Engine], Order{Model: step.Model, Adapter: step.Adapter}, spec)
	}
}

// handleAdapterRequest records a request and tries to place its adapter. It
// ignores a request that is already pending, and all requests while this
// instance is not the planner leader.
func (p *Planner) handleAdapterRequest(ctx context.Context, request AdapterRequest) {
	now := p.config.Now()
	if !p.wasLeader {
		return
	}
	if _, isPending := p.pendingRequests[request]; isPending {
		return
	}
	p.pendingRequests[request] = now
	p.placeAdapter(ctx, request, now)
}

// placeAdapter orders an engine that serves the model to load the adapter, or to
// unload another adapter first if no slot is free. If no engine can accept the
// order now, the request stays pending.
func (p *Planner) placeAdapter(ctx context.Context, request AdapterRequest, now time.Time) {
	site := p.config.Site()
	if site.Catalog == nil {
		return
	}
	service, found := site.Catalog.Service(request.Service)
	if !found || service.Engine == nil {
		delete(p.pendingRequests, request)
		return
	}
	model, found := service.Engine.Models[request.Model]
	if !found {
		delete(p.pendingRequests, request)
		return
	}
	engines := p.availableEngines(site, request.Service, service.Engine, now)
	if p.republishIfServed(request, stocker.RedundantLimitedEngines(engines, request.Model), now) {
		delete(p.pendingRequests, request)
		return
	}
	step, ok := stocker.PlaceAdapter(engines, model, request.Adapter, p.lastRequestedLoad)
	if !ok {
		return
	}
	e := p.engines[step.Engine]
	if step.EvictAdapter != "" {
		p.send(ctx, e, Order{Unload: true, Model: step.EvictModel, Adapter: step.EvictAdapter}, service.Engine)
		return
	}
	p.loadSeq++
	p.requestedLoads[adapterKey{step.Engine, request.Model, request.Adapter}] = p.loadSeq
	p.send(ctx, e, Order{Model: request.Model, Adapter: request.Adapter}, service.Engine)
}

// republishPeriod is the minimum time between two publications of an unchanged
// placement.
const republishPeriod = 300 * time.Millisecond

// republishIfServed reports whether an engine serves the requested adapter, and is not
// ignored. It publishes the placement of those engines again, since the requester does
// not know of it.
func (p *Planner) republishIfServed(request AdapterRequest, ignored map[string]bool, now time.Time) bool {
	isServed := false
	name := catalog.AdapterName{Model: request.Model, Adapter: request.Adapter}
	for _, e := range p.engines {
		if e.state.Service == request.Service && !e.state.IsDraining && e.unloadingAdapter != name && e.state.Serves(request.Model, request.Adapter) {
			if now.Sub(e.publishedAt) > republishPeriod {
				p.publish(e, now)
			}
			isServed = isServed || !ignored[e.state.ID]
		}
	}
	return isServed
}

// lastRequestedLoad returns the sequence number of the last load of an adapter
// on an engine that followed a request, or 0 if there was none.
func (p *Planner) lastRequestedLoad(engine, model, adapter string) int64 {
	return p.requestedLoads[adapterKey{engine, model, adapter}]
}
