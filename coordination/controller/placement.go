package controller

import (
	"context"
	"slices"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/detector"
	"github.com/crocushollow/crocushollow/state/limiter"
	"github.com/crocushollow/crocushollow/state/placer"
	"github.com/crocushollow/crocushollow/state/reserver"
)

// placement holds the state of the engines that this instance controls and the
// inputs of the placement planner.
type placement struct {
	// engines holds the engines in the shards that this instance owns, by
	// upstream ID.
	engines map[string]*controlledEngine
	// computedFrom is the state that engines was computed from.
	computedFrom *applier.State
	// demand holds the latest report of each member, by instance ID.
	demand map[string]demandReport
	// publishingPlan is true while placement targets are being published.
	publishingPlan bool
}

// demandReport is a member's demand with the time at which it was received.
type demandReport struct {
	demand placer.Demand
	at     time.Time
}

// controlledEngine is an engine that this instance monitors and sends orders
// to.
type controlledEngine struct {
	upstream          crocushollow.Upstream
	term              uint64
	ledger            *reserver.Ledger
	reportRequestedAt time.Time
	reportPending     bool
	publishing        bool
	// storeLoads holds the labels of the weights whose loads count against the
	// limit of the weight store.
	storeLoads map[string]bool
}

func newPlacement() placement {
	return placement{engines: make(map[string]*controlledEngine), demand: make(map[string]demandReport)}
}

// maintainPlacement monitors the engines in the shards of this instance and, if
// the instance owns the planner shard, plans placement for the fleet.
func (c *Controller) maintainPlacement(now time.Time) {
	switch {
	case c.drain.active:
		c.removeEngines(func(string) bool { return true })
	case now.Before(c.tracker.LeaseExpiresAt()):
		c.monitorEngines(now)
	}
	if now.Sub(c.lastRun.plan) >= c.config.Timing.PlanInterval {
		c.lastRun.plan = now
		c.reportDemand(now)
		c.plan(now)
	}
}

func (c *Controller) monitorEngines(now time.Time) {
	if c.placement.computedFrom != c.state() {
		c.placement.computedFrom = c.state()
		c.updateEngines()
	}
	for _, engine := range c.placement.engines {
		if !engine.reportPending && now.Sub(engine.reportRequestedAt) >= c.config.Timing.ReportInterval {
			c.requestReport(engine.upstream, engine, now)
		}
	}
}

// updateEngines recomputes the engines that this instance monitors.
func (c *Controller) updateEngines() {
	owned := make(map[string]bool)
	for _, upstream := range c.state().Table().Upstreams() {
		shard := crocushollow.ShardOf(upstream.ID)
		if upstream.Kind != crocushollow.EngineUpstream || !c.state().IsOwner(c.self.MemberID(), shard) {
			continue
		}
		owned[upstream.ID] = true
		c.updateEngine(upstream, c.state().Ownership(shard).Term)
	}
	c.removeEngines(func(id string) bool { return !owned[id] })
}

// removeEngines removes engines and releases their permits for weight store
// loads.
func (c *Controller) removeEngines(shouldRemove func(id string) bool) {
	for id, engine := range c.placement.engines {
		if shouldRemove(id) {
			engine.publishing = false
			c.releaseStorePermits(engine, nil)
			delete(c.placement.engines, id)
		}
	}
}

func (c *Controller) updateEngine(upstream crocushollow.Upstream, term uint64) {
	engine, found := c.placement.engines[upstream.ID]
	if !found || engine.term != term {
		engine = &controlledEngine{term: term, ledger: reserver.New(), storeLoads: make(map[string]bool)}
		c.placement.engines[upstream.ID] = engine
	}
	engine.upstream = upstream
}

func (c *Controller) requestReport(upstream crocushollow.Upstream, engine *controlledEngine, now time.Time) {
	engine.reportPending, engine.reportRequestedAt = true, now
	c.runAsync(c.config.Timing.CallTimeout, func(ctx context.Context) event {
		report, err := c.config.Engines.FetchReport(ctx, upstream)
		return engineReported{upstream: upstream, term: engine.term, requestedAt: now, report: report, err: err}
	})
}

type engineReported struct {
	upstream    crocushollow.Upstream
	term        uint64
	requestedAt time.Time
	report      crocushollow.EngineReport
	err         error
}

func (e engineReported) apply(c *Controller) {
	engine, found := c.placement.engines[e.upstream.ID]
	if !found || engine.term != e.term {
		return
	}
	engine.reportPending = false
	if e.err != nil {
		return
	}
	engine.ledger.HandleReport(e.report, e.requestedAt)
	c.config.Detector.RecordStatus(e.upstream.ID, detector.Status{
		Incarnation: e.report.Incarnation,
		Cold:        e.report.Cold,
		InFlight:    e.report.InFlight,
	})
	c.issueOrders(e.upstream.ID, engine, time.Now())
}

// issueOrders computes and sends the next orders for an engine. It does nothing
// if the lease of this instance has expired.
func (c *Controller) issueOrders(id string, engine *controlledEngine, now time.Time) {
	upstream, found := c.state().Table().Upstream(id)
	if !found || engine.publishing || !now.Before(c.tracker.LeaseExpiresAt()) {
		return
	}
	target, hasTarget := c.state().Target(id)
	residencies := c.state().Residencies(id)
	c.releaseStorePermits(engine, residencies)
	decision := engine.ledger.Decide(reserver.Input{
		Upstream:    upstream,
		Term:        engine.term,
		Residencies: residencies,
		Target:      target.Weights,
		HasTarget:   hasTarget,
		LoadPermit:  c.acquireStorePermit,
		Now:         now,
	})
	c.publishResidencies(id, engine, decision.Publish)
	for _, order := range decision.Orders {
		c.sendOrder(upstream, engine, order)
	}
}

// acquireStorePermit reserves a load within the rate and concurrency limits of
// the weight store. It returns false, and requests more quota, if a limit is
// exhausted.
func (c *Controller) acquireStorePermit() bool {
	limit, found := c.state().Table().Limit(crocushollow.WeightStoreLimitID)
	if !found {
		return true
	}
	now := time.Now()
	flightKey := limiter.ResourceKey{Kind: limiter.WeightStoreInFlight, ID: limit.ID}
	rateKey := limiter.ResourceKey{Kind: limiter.WeightStoreRate, ID: limit.ID}
	flight := c.config.Quotas.Semaphore(flightKey)
	rate := c.config.Quotas.Bucket(rateKey, limiter.RateLimit{PerSecond: limit.Rate, Burst: float64(limit.Burst)}, now)
	if !flight.Acquire() {
		c.RequestQuota(flightKey, 1)
		return false
	}
	if !rate.Take(1, now) {
		flight.Release()
		c.RequestQuota(rateKey, 1)
		return false
	}
	return true
}

// releaseStorePermits releases the weight store permits of loads that have
// finished.
func (c *Controller) releaseStorePermits(engine *controlledEngine, residencies []crocushollow.Residency) {
	flight := c.config.Quotas.Semaphore(limiter.ResourceKey{
		Kind: limiter.WeightStoreInFlight, ID: crocushollow.WeightStoreLimitID,
	})
	for label := range engine.storeLoads {
		loading := slices.ContainsFunc(residencies, func(r crocushollow.Residency) bool {
			return r.Weights.Label() == label && r.State == crocushollow.Loading
		})
		if !loading && !engine.publishing {
			delete(engine.storeLoads, label)
			flight.Release()
		}
	}
}

func (c *Controller) publishResidencies(id string, engine *controlledEngine, residencies []crocushollow.Residency) {
	if len(residencies) == 0 {
		return
	}
	_, limited := c.state().Table().Limit(crocushollow.WeightStoreLimitID)
	for _, residency := range residencies {
		c.config.Logger.Info().Str("upstream", id).Str("weights", residency.Weights.Label()).
			Str("state", string(residency.State)).Uint64("term", residency.Term).Msg("publishing residency change")
		known := slices.ContainsFunc(c.state().Residencies(id), func(r crocushollow.Residency) bool {
			return r.Weights.Label() == residency.Weights.Label()
		})
		if residency.State == crocushollow.Loading && limited && !known {
			engine.storeLoads[residency.Weights.Label()] = true
		}
	}
	engine.publishing = true
	c.publish(crocushollow.Record{Residencies: residencies}, func(error) event {
		return residenciesPublished{upstream: id, term: engine.term}
	})
}

type residenciesPublished struct {
	upstream string
	term     uint64
}

func (e residenciesPublished) apply(c *Controller) {
	engine, found := c.placement.engines[e.upstream]
	if !found || engine.term != e.term {
		return
	}
	engine.publishing = false
	c.issueOrders(e.upstream, engine, time.Now())
}

func (c *Controller) sendOrder(upstream crocushollow.Upstream, engine *controlledEngine, order crocushollow.Order) {
	c.runAsync(c.config.Timing.CallTimeout, func(ctx context.Context) event {
		err := c.config.Engines.SendOrder(ctx, upstream, order)
		return orderAnswered{upstream: upstream.ID, term: engine.term, order: order, err: err}
	})
}

type orderAnswered struct {
	upstream string
	term     uint64
	order    crocushollow.Order
	err      error
}

func (e orderAnswered) apply(c *Controller) {
	engine, found := c.placement.engines[e.upstream]
	if !found || engine.term != e.term {
		return
	}
	if e.err != nil {
		c.config.Logger.Warn().Err(e.err).Str("upstream", e.upstream).
			Str("weights", e.order.Weights.Label()).Msg("engine rejected order or did not answer")
		return
	}
	engine.ledger.HandleAcknowledgement(e.order, time.Now())
}

// demandTTL is how long a member's demand is used after its last report.
const demandTTL = 5 * time.Second

// reportDemand sends this instance's demand to the planner.
func (c *Controller) reportDemand(now time.Time) {
	demand := c.config.Demand()
	c.placement.demand[c.self.ID] = demandReport{demand: demand, at: now}
	ownership := c.state().Ownership(crocushollow.PlannerShard)
	planner, found := c.state().Member(ownership.Owner.Instance)
	if !found || planner.MemberID() == c.self.MemberID() || len(demand) == 0 {
		return
	}
	report := DemandReport{From: c.self.MemberID(), Demand: demand}
	c.runAsync(c.config.Timing.CallTimeout, func(ctx context.Context) event {
		_ = c.config.Peers.ReportDemand(ctx, planner, report)
		return nil
	})
}

// HandleDemand records a member's demand for the planner.
func (c *Controller) HandleDemand(ctx context.Context, report DemandReport) error {
	return c.post(ctx, demandReported{report: report})
}

type demandReported struct {
	report DemandReport
}

func (e demandReported) apply(c *Controller) {
	c.placement.demand[e.report.From.Instance] = demandReport{demand: e.report.Demand, at: time.Now()}
}

func (c *Controller) totalDemand(now time.Time) placer.Demand {
	total := make(placer.Demand)
	for instance, report := range c.placement.demand {
		if now.Sub(report.at) > demandTTL {
			delete(c.placement.demand, instance)
			continue
		}
		for name, requests := range report.demand {
			total[name] += requests
		}
	}
	return total
}

// plan runs the placement planner and publishes the targets that have changed.
func (c *Controller) plan(now time.Time) {
	isPlanner := c.state().IsOwner(c.self.MemberID(), crocushollow.PlannerShard)
	if !isPlanner || c.placement.publishingPlan || c.drain.active || !now.Before(c.tracker.LeaseExpiresAt()) {
		return
	}
	table := c.state().Table()
	in := placer.Input{Models: table.Models(), Adapters: table.Adapters(), Demand: c.totalDemand(now)}
	for _, upstream := range table.Upstreams() {
		if upstream.Kind == crocushollow.EngineUpstream {
			in.Hosts = append(in.Hosts, c.hostInput(upstream))
		}
	}
	term := c.state().Ownership(crocushollow.PlannerShard).Term
	var record crocushollow.Record
	for id, weights := range c.config.Planner.Plan(in) {
		current, found := c.state().Target(id)
		if !found || !slices.Equal(current.Weights, weights) {
			record.Targets = append(record.Targets, crocushollow.PlacementTarget{Upstream: id, Weights: weights, Term: term})
		}
	}
	if record.IsEmpty() {
		return
	}
	c.placement.publishingPlan = true
	c.config.Logger.Info().Int("upstreams", len(record.Targets)).Msg("publishing placement change")
	c.publish(record, func(error) event { return planPublished{} })
}

func (c *Controller) hostInput(upstream crocushollow.Upstream) placer.Host {
	target, _ := c.state().Target(upstream.ID)
	host := placer.Host{
		Upstream:  upstream,
		InService: c.state().Table().AcceptsNewWork(upstream),
		Target:    target.Weights,
		Resident:  make(map[string]bool),
	}
	for _, residency := range c.state().Residencies(upstream.ID) {
		if residency.State == crocushollow.Resident {
			host.Resident[residency.Weights.Label()] = true
		}
	}
	return host
}

type planPublished struct{}

func (planPublished) apply(c *Controller) { c.placement.publishingPlan = false }
