package planner

import (
	"context"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
)

// deliver passes a result to the goroutine that executes Run.
func (p *Planner) deliver(ctx context.Context, r result) {
	select {
	case p.results <- r:
	case <-ctx.Done():
	}
}

// result is the outcome of an order or of a report request.
type result struct {
	id             string
	startUnixMilli int64
	order          Order
	spec           *catalog.EngineSpec
	outcome        Outcome
	err            error
	// report is the received report if isReport is set and err is nil.
	report   *catalog.Upstream
	isReport bool
}

// handleResult updates the engine's state from a result. It ignores results of an
// earlier incarnation of the engine.
func (p *Planner) handleResult(ctx context.Context, r result) {
	e := p.engines[r.id]
	if e == nil || e.state.StartUnixMilli != r.startUnixMilli {
		return
	}
	if r.isReport {
		e.isPolling = false
		if r.err == nil && e.applyReport(r.report) {
			p.publish(e, p.config.Now())
		}
		return
	}
	e.inFlight = false
	now := p.config.Now()
	p.logOrder(r)
	switch {
	case r.err != nil:
		// The engine may still execute the order. It gets no other order until a
		// report shows its state.
		e.backoffUntil = now.Add(orderBackoff)
		e.isStateUnknown = true
	case r.outcome == Accepted:
		e.recordAccepted(r.order, r.spec, now)
		p.publish(e, now)
	case r.outcome == AlreadyDone:
		if r.order.Adapter != "" && r.order.Unload {
			// The engine unloads an adapter without requests at once and counts
			// this as an accepted order.
			e.state.AcceptedOrders++
		}
		e.applyOrder(r.order)
		p.publish(e, now)
	default:
		e.backoffUntil = now.Add(orderBackoff)
		e.isStateUnknown = r.outcome == Conflict
	}
	delete(p.pendingRequests, p.fulfilledRequest(r))
	if r.order.Adapter != "" && r.order.Unload {
		for request := range p.pendingRequests {
			p.placeAdapter(ctx, request, now)
		}
	}
}

// publish publishes the models and adapters that an engine serves. It leaves out
// an adapter that is being unloaded, since that one must get no new requests.
func (p *Planner) publish(e *engine, now time.Time) {
	e.publishedAt = now
	served := e.state
	if e.unloadingAdapter != (catalog.AdapterName{}) {
		served = served.WithoutAdapter(e.unloadingAdapter)
	}
	p.config.PublishPlacement(&served)
}

// fulfilledRequest returns the adapter request that a successful load order
// fulfills, or the zero value for other results.
func (p *Planner) fulfilledRequest(r result) AdapterRequest {
	if r.order.Unload || r.err != nil || r.outcome != Accepted && r.outcome != AlreadyDone {
		return AdapterRequest{}
	}
	return AdapterRequest{Service: p.engines[r.id].state.Service, Model: r.order.Model, Adapter: r.order.Adapter}
}

func (p *Planner) logOrder(r result) {
	event := p.config.Logger.Info()
	outcome := r.outcome.String()
	if r.err != nil {
		event = p.config.Logger.Warn().Err(r.err)
		outcome = "unknown"
	}
	event.Str("upstream", r.id).Bool("unload", r.order.Unload).Str("model", r.order.Model).
		Str("adapter", r.order.Adapter).Int64("expected_orders", r.order.ExpectedOrders).
		Int64("fence", r.order.FencingToken).Str("outcome", outcome).Msg("order")
}

// pollEngines requests reports from the engines whose load or unload is due,
// whose state is unknown or whose last report is too old.
func (p *Planner) pollEngines(ctx context.Context, now time.Time) {
	for _, e := range p.engines {
		due := e.isStateUnknown && now.After(e.backoffUntil) || now.Sub(e.polledAt) > idlePollPeriod ||
			(e.loadingModel != "" || e.unloadingModel != "" || e.unloadingAdapter != (catalog.AdapterName{})) && now.After(e.dueAt)
		if !due || e.isPolling || e.inFlight || now.Sub(e.polledAt) < pollPeriod {
			continue
		}
		e.isPolling, e.polledAt = true, now
		upstream := e.state
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			r := result{id: upstream.ID, startUnixMilli: upstream.StartUnixMilli, isReport: true}
			r.report, r.err = p.config.Engines.Report(callCtx, &upstream)
			p.deliver(ctx, r)
		}()
	}
}
