package orderer

import (
	"context"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/stocker"
)

// Want asks for an adapter.
type Want struct {
	Service string
	Model   string
	Adapter string
}

type adapterKey struct{ engine, model, adapter string }

// Want asks for an adapter. It is dropped if too many wait or the duty is not
// held; the asker asks again.
func (o *Orderer) Want(want Want) {
	select {
	case o.wants <- want:
	default:
	}
}

// fill uses free places for adapters that no engine holds.
func (o *Orderer) fill(ctx context.Context, site Site, service string, spec *catalog.EngineSpec, now time.Time) {
	for _, step := range stocker.PreloadAdapters(o.plannable(site, service, spec, now), spec.Models) {
		o.send(ctx, o.engines[step.Engine], Order{Model: step.Model, Adapter: step.Adapter}, spec)
	}
}

// takeWant places an adapter that an instance waits for.
func (o *Orderer) takeWant(ctx context.Context, want Want) {
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

func (o *Orderer) placeAdapter(ctx context.Context, want Want, now time.Time) {
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

// repeatPeriod is the least time between two tellings of what an engine holds
// that has not changed.
const repeatPeriod = 300 * time.Millisecond

// isPlaced tells the instances again which engines hold an adapter, and reports
// whether there is one.
func (o *Orderer) isPlaced(want Want, now time.Time) bool {
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

func (o *Orderer) lastUse(engine, model, adapter string) int64 {
	return o.uses[adapterKey{engine, model, adapter}]
}
