package planner

import (
	"context"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
)

// deliver passes a result to the goroutine that executes Run.
func (o *Planner) deliver(ctx context.Context, r result) {
	select {
	case o.results <- r:
	case <-ctx.Done():
	}
}

// result is the outcome of an order or of a report request.
type result struct {
	id     string
	born   int64
	order  Order
	spec   *catalog.EngineSpec
	answer Outcome
	err    error
	// report is the received report if isReport is set and err is nil.
	report   *catalog.Upstream
	isReport bool
}

// handleResult updates the engine's state from a result. It ignores results of an
// earlier incarnation of the engine.
func (o *Planner) takeResult(ctx context.Context, r result) {
	e := o.engines[r.id]
	if e == nil || e.state.StartUnixMilli != r.born {
		return
	}
	if r.isReport {
		e.polling = false
		if r.err == nil && e.takeReport(r.report) {
			o.tellPlaced(e, o.config.Now())
		}
		return
	}
	e.inFlight = false
	now := o.config.Now()
	o.logOrder(r)
	switch {
	case r.err != nil:
		// The engine may still execute the order. It gets no other order until a
		// report shows its state.
		e.restUntil = now.Add(conflictPause)
		e.isUncertain = true
	case r.answer == Accepted:
		e.accept(r.order, r.spec, now)
		o.tellPlaced(e, now)
	case r.answer == AlreadyDone:
		if r.order.Adapter != "" && r.order.Unload {
			// The engine unloads an adapter without requests at once and counts
			// this as an accepted order.
			e.state.AcceptedOrders++
		}
		e.complete(r.order)
		o.tellPlaced(e, now)
	default:
		e.restUntil = now.Add(conflictPause)
		e.isUncertain = r.answer == Conflict
	}
	delete(o.wanted, o.wantOf(r))
	if r.order.Adapter != "" && r.order.Unload {
		for want := range o.wanted {
			o.placeAdapter(ctx, want, now)
		}
	}
}

// publish publishes the models and adapters that an engine serves. It leaves out
// an adapter that is being unloaded, since that one must get no new requests.
func (o *Planner) tellPlaced(e *engine, now time.Time) {
	e.toldAt = now
	served := e.state
	if e.leaving != (catalog.AdapterName{}) {
		served = served.WithoutAdapter(e.leaving)
	}
	o.config.PublishPlacement(&served)
}

// fulfilledRequest returns the adapter request that a successful load order
// fulfills, or the zero value for other results.
func (o *Planner) wantOf(r result) AdapterRequest {
	if r.order.Unload || r.err != nil || r.answer != Accepted && r.answer != AlreadyDone {
		return AdapterRequest{}
	}
	return AdapterRequest{Service: o.engines[r.id].state.Service, Model: r.order.Model, Adapter: r.order.Adapter}
}

func (o *Planner) logOrder(r result) {
	line := o.config.Logger.Info()
	outcome := r.answer.String()
	if r.err != nil {
		line = o.config.Logger.Warn().Err(r.err)
		outcome = "unknown"
	}
	line.Str("upstream", r.id).Bool("unload", r.order.Unload).Str("model", r.order.Model).
		Str("adapter", r.order.Adapter).Int64("expected_orders", r.order.ExpectedOrders).
		Int64("fence", r.order.FencingToken).Str("outcome", outcome).Msg("order")
}

// poll requests reports from the engines whose load or unload is due, whose state
// is unknown or whose last report is too old.
func (o *Planner) poll(ctx context.Context, now time.Time) {
	for _, e := range o.engines {
		due := e.isUncertain && now.After(e.restUntil) || now.Sub(e.polledAt) > reportPeriod ||
			(e.loading != "" || e.unloading != "" || e.leaving != (catalog.AdapterName{})) && now.After(e.dueAt)
		if !due || e.polling || e.inFlight || now.Sub(e.polledAt) < pollPeriod {
			continue
		}
		e.polling, e.polledAt = true, now
		upstream := e.state
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			r := result{id: upstream.ID, born: upstream.StartUnixMilli, isReport: true}
			r.report, r.err = o.config.Engines.Report(callCtx, &upstream)
			o.deliver(ctx, r)
		}()
	}
}
