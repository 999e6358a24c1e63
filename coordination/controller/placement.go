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
	// hosts holds the engines in the shards that this instance owns, by upstream
	// ID.
	hosts map[string]*hosted
	// hostsOf is the state that hosts was computed from.
	hostsOf *applier.State
	// demand holds the latest report of each member, by instance ID.
	demand map[string]demandReport
	// planning is true while placement targets are being published.
	planning bool
}

// demandReport is a member's demand with the time at which it was received.
type demandReport struct {
	demand placer.Demand
	at     time.Time
}

// hosted is an engine that this instance monitors and sends orders to.
type hosted struct {
	upstream   crocushollow.Upstream
	term       uint64
	ledger     *reserver.Ledger
	askedAt    time.Time
	asking     bool
	publishing bool
	// loads holds the labels of the weights whose loads count against the limit
	// of the weight store.
	loads map[string]bool
}

func newPlacement() placement {
	return placement{hosts: make(map[string]*hosted), demand: make(map[string]demandReport)}
}

// maintainPlacement monitors the engines in the shards of this instance and, if
// the instance owns the planner shard, plans placement for the fleet.
func (c *Controller) maintainPlacement(now time.Time) {
	switch {
	case c.drain.active:
		c.dropHosts(func(string) bool { return true })
	case now.Before(c.tracker.LeaseExpiresAt()):
		c.watchEngines(now)
	}
	if now.Sub(c.rounds.plan) >= c.config.Timing.PlanInterval {
		c.rounds.plan = now
		c.shareDemand(now)
		c.plan(now)
	}
}

func (c *Controller) watchEngines(now time.Time) {
	if c.placement.hostsOf != c.state() {
		c.placement.hostsOf = c.state()
		c.findHosts()
	}
	for _, host := range c.placement.hosts {
		if !host.asking && now.Sub(host.askedAt) >= c.config.Timing.ReportInterval {
			c.askReport(host.upstream, host, now)
		}
	}
}

// findHosts recomputes the engines that this instance monitors.
func (c *Controller) findHosts() {
	held := make(map[string]bool)
	for _, upstream := range c.state().Table().Upstreams() {
		shard := crocushollow.ShardOf(upstream.ID)
		if upstream.Kind != crocushollow.EngineUpstream || !c.state().IsOwner(c.self.MemberID(), shard) {
			continue
		}
		held[upstream.ID] = true
		c.host(upstream, c.state().Ownership(shard).Term)
	}
	c.dropHosts(func(id string) bool { return !held[id] })
}

// dropHosts removes engines and releases their permits for weight store loads.
func (c *Controller) dropHosts(isGone func(id string) bool) {
	for id, host := range c.placement.hosts {
		if isGone(id) {
			host.publishing = false
			c.releaseLoads(host, nil)
			delete(c.placement.hosts, id)
		}
	}
}

func (c *Controller) host(upstream crocushollow.Upstream, term uint64) {
	host, found := c.placement.hosts[upstream.ID]
	if !found || host.term != term {
		host = &hosted{term: term, ledger: reserver.New(), loads: make(map[string]bool)}
		c.placement.hosts[upstream.ID] = host
	}
	host.upstream = upstream
}

func (c *Controller) askReport(upstream crocushollow.Upstream, host *hosted, now time.Time) {
	host.asking, host.askedAt = true, now
	c.start(c.config.Timing.CallTimeout, func(ctx context.Context) event {
		report, err := c.config.Engines.FetchReport(ctx, upstream)
		return engineReported{upstream: upstream, term: host.term, askedAt: now, report: report, err: err}
	})
}

type engineReported struct {
	upstream crocushollow.Upstream
	term     uint64
	askedAt  time.Time
	report   crocushollow.EngineReport
	err      error
}

func (e engineReported) apply(c *Controller) {
	host, found := c.placement.hosts[e.upstream.ID]
	if !found || host.term != e.term {
		return
	}
	host.asking = false
	if e.err != nil {
		return
	}
	host.ledger.HandleReport(e.report, e.askedAt)
	c.config.Detector.RecordStatus(e.upstream.ID, detector.Status{
		Incarnation: e.report.Incarnation,
		Cold:        e.report.Cold,
		InFlight:    e.report.InFlight,
	})
	c.orderEngine(e.upstream.ID, host, time.Now())
}

// orderEngine computes and sends the next orders for an engine. It does nothing
// if the lease of this instance has expired.
func (c *Controller) orderEngine(id string, host *hosted, now time.Time) {
	upstream, found := c.state().Table().Upstream(id)
	if !found || host.publishing || !now.Before(c.tracker.LeaseExpiresAt()) {
		return
	}
	target, hasTarget := c.state().Target(id)
	residencies := c.state().Residencies(id)
	c.releaseLoads(host, residencies)
	step := host.ledger.Decide(reserver.Input{
		Upstream:    upstream,
		Term:        host.term,
		Residencies: residencies,
		Target:      target.Weights,
		HasTarget:   hasTarget,
		LoadPermit:  c.storePermit,
		Now:         now,
	})
	c.publishResidencies(id, host, step.Publish)
	for _, order := range step.Orders {
		c.sendOrder(upstream, host, order)
	}
}

// storePermit reserves a load within the rate and concurrency limits of the
// weight store. It returns false, and requests more quota, if a limit is
// exhausted.
func (c *Controller) storePermit() bool {
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
		c.Want(flightKey, 1)
		return false
	}
	if !rate.Take(1, now) {
		flight.Release()
		c.Want(rateKey, 1)
		return false
	}
	return true
}

// releaseLoads releases the weight store permits of loads that have finished.
func (c *Controller) releaseLoads(host *hosted, residencies []crocushollow.Residency) {
	flight := c.config.Quotas.Semaphore(limiter.ResourceKey{
		Kind: limiter.WeightStoreInFlight, ID: crocushollow.WeightStoreLimitID,
	})
	for label := range host.loads {
		loading := slices.ContainsFunc(residencies, func(r crocushollow.Residency) bool {
			return r.Weights.Label() == label && r.State == crocushollow.Loading
		})
		if !loading && !host.publishing {
			delete(host.loads, label)
			flight.Release()
		}
	}
}

func (c *Controller) publishResidencies(id string, host *hosted, residencies []crocushollow.Residency) {
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
			host.loads[residency.Weights.Label()] = true
		}
	}
	host.publishing = true
	c.publish(crocushollow.Record{Residencies: residencies}, func(error) event {
		return residenciesPublished{upstream: id, term: host.term}
	})
}

type residenciesPublished struct {
	upstream string
	term     uint64
}

func (e residenciesPublished) apply(c *Controller) {
	host, found := c.placement.hosts[e.upstream]
	if !found || host.term != e.term {
		return
	}
	host.publishing = false
	c.orderEngine(e.upstream, host, time.Now())
}

func (c *Controller) sendOrder(upstream crocushollow.Upstream, host *hosted, order crocushollow.Order) {
	c.start(c.config.Timing.CallTimeout, func(ctx context.Context) event {
		err := c.config.Engines.SendOrder(ctx, upstream, order)
		return orderAnswered{upstream: upstream.ID, term: host.term, order: order, err: err}
	})
}

type orderAnswered struct {
	upstream string
	term     uint64
	order    crocushollow.Order
	err      error
}

func (e orderAnswered) apply(c *Controller) {
	host, found := c.placement.hosts[e.upstream]
	if !found || host.term != e.term {
		return
	}
	if e.err != nil {
		c.config.Logger.Warn().Err(e.err).Str("upstream", e.upstream).
			Str("weights", e.order.Weights.Label()).Msg("engine rejected order or did not answer")
		return
	}
	host.ledger.HandleAcknowledgement(e.order, time.Now())
}

// demandMemory is how long a member's demand is used after its last report.
const demandMemory = 5 * time.Second

// shareDemand sends this instance's demand to the planner.
func (c *Controller) shareDemand(now time.Time) {
	demand := c.config.Demand()
	c.placement.demand[c.self.ID] = demandReport{demand: demand, at: now}
	holding := c.state().Ownership(crocushollow.PlannerShard)
	planner, found := c.state().Member(holding.Owner.Instance)
	if !found || planner.MemberID() == c.self.MemberID() || len(demand) == 0 {
		return
	}
	report := DemandReport{From: c.self.MemberID(), Demand: demand}
	c.start(c.config.Timing.CallTimeout, func(ctx context.Context) event {
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
		if now.Sub(report.at) > demandMemory {
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
	if !isPlanner || c.placement.planning || c.drain.active || !now.Before(c.tracker.LeaseExpiresAt()) {
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
	c.placement.planning = true
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

func (planPublished) apply(c *Controller) { c.placement.planning = false }
