package hosted

import (
	"context"
	"time"

	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/coordination/planner"
	"github.com/crocushollow/crocushollow/state/quarantiner"
)

// signal puts an element into a channel of capacity 1 unless it has one.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// loadBatchDelay is how long load changes are batched.
const loadBatchDelay = 8 * time.Millisecond

// broadcastLoadChanges sends this instance's load changes to all peers, so that
// they do not send to an engine at the same moment.
func (i *Instance) broadcastLoadChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-i.loadChanged:
		}
		time.Sleep(loadBatchDelay)
		changes := i.selector.LoadChanges()
		if len(changes) == 0 {
			continue
		}
		heartbeat := gossiper.NewPartial()
		heartbeat.LoadChanges = changes
		i.gossiper.Broadcast(heartbeat)
	}
}

// Intervals and limits of messages about prompt parts and requests that crash upstreams.
const (
	// quarantineBatchDelay is how long news is batched.
	quarantineBatchDelay = 5 * time.Millisecond
	// quarantineRepeatInterval is the time between two repetitions.
	quarantineRepeatInterval = 500 * time.Millisecond
	// maxRepeatedCrashes bounds the crashes of quarantined requests in a message, which must
	// fit into a datagram.
	maxRepeatedCrashes = 64
)

// broadcastQuarantines tells all peers about prompt parts that may crash upstreams, at once
// and again later, since messages may be lost. It repeats what is quarantined for instances
// that start or were cut off.
func (i *Instance) broadcastQuarantines(ctx context.Context) error {
	ticker := time.NewTicker(quarantineRepeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-i.partsChanged:
			time.Sleep(quarantineBatchDelay)
		case <-ticker.C:
		}
		now := time.Now()
		heartbeat := gossiper.NewPartial()
		if report := i.parts.Report(now); !report.IsEmpty() {
			heartbeat.Parts = &report
		}
		if report := i.quarantiner.Repeat(maxRepeatedCrashes, now); !report.IsEmpty() {
			heartbeat.Requests = &report
		}
		if heartbeat.Parts != nil || heartbeat.Requests != nil {
			i.gossiper.Broadcast(heartbeat)
		}
	}
}

// logPart logs that a prompt part is quarantined or released.
func (i *Instance) logPart(part quarantiner.Part, isQuarantined bool) {
	i.logger.Warn().Uint64("part", uint64(part)).Bool("quarantined", isQuarantined).Msg("prompt part that crashes upstreams")
}

// logPartTrial logs that a request with a quarantined prompt part is sent to an upstream.
func (i *Instance) logPartTrial(part quarantiner.Part) {
	i.logger.Warn().Uint64("part", uint64(part)).Msg("trial of a prompt part that seems to crash upstreams")
}

// buildHeartbeat returns this instance's current full heartbeat.
func (i *Instance) buildHeartbeat() gossiper.Heartbeat {
	now := time.Now()
	heartbeat := gossiper.Heartbeat{
		Draining:      i.draining.Load(),
		Ready:         i.isReady(),
		UptimeSeconds: int64(now.Sub(i.startedAt) / time.Second),
		Loads:         i.selector.Loads(now),
		WorkspaceUses: i.allotter.ReportUsage(now),
		Demand:        i.demand.report(),
		FencingToken:  i.elector.LeaderToken(),
	}
	if report := i.quarantiner.Report(maxReportedCrashes, now); !report.IsEmpty() {
		heartbeat.Requests = &report
	}
	return heartbeat
}

// handleHeartbeat applies a peer's heartbeat.
func (i *Instance) handleHeartbeat(heartbeat *gossiper.Heartbeat) {
	now := time.Now()
	for _, request := range heartbeat.AdapterRequests {
		i.planner.RequestAdapter(planner.AdapterRequest(request))
	}
	if len(heartbeat.Placements) > 0 {
		i.site.addPlacements(heartbeat.Placements...)
	}
	name := heartbeat.From.Instance
	if len(heartbeat.LoadChanges) > 0 {
		i.selector.UpdatePeerLoads(name, heartbeat.LoadChanges, now)
	}
	i.handleFeedUpdates(heartbeat.FeedUpdates)
	if heartbeat.Requests != nil {
		i.quarantiner.Merge(heartbeat.Requests, now)
	}
	if heartbeat.Parts != nil {
		i.parts.Merge(heartbeat.Parts, now)
	}
	i.throttler.Merge(heartbeat.RateLimits, now)
	if len(heartbeat.Software) > 0 {
		i.registrar.Hear(heartbeat.Software)
	}
	i.origins.handle(heartbeat, now)
	i.usage.handle(heartbeat, now)
	if heartbeat.IsPartial() {
		return
	}
	i.selector.SetPeerLoads(name, heartbeat.Loads, now)
	i.allotter.SetPeerUsage(name, heartbeat.From.Incarnation, heartbeat.Uptime(), heartbeat.WorkspaceUses, now)
	i.demand.setPeer(name, heartbeat.Demand)
	i.proxy.Wake()
}

// handleSums applies the sums that an aggregator has computed over several
// instances.
func (i *Instance) handleSums(update gossiper.SumsUpdate) {
	now := time.Now()
	sums := &update.Sums
	if update.IsNewTerm {
		i.selector.SetPeerLoads(update.Source, sums.Loads, now)
	} else {
		i.selector.UpdatePeerLoads(update.Source, sums.Loads, now)
	}
	if sums.HasUses {
		i.allotter.SetAggregateUsage(update.Source, sums.Term, update.Uptime, sums.Uses, now)
		i.demand.setPeer(update.Source, sums.Demand)
	}
	i.proxy.Wake()
}

// removeSource removes what an instance, or the sums over several, have reported.
func (i *Instance) removeSource(source string) {
	i.selector.RemovePeer(source)
	i.allotter.ForgetPeer(source)
	i.demand.removePeer(source)
}

// requestAdapter asks the planner leader to load an adapter. The request is
// dropped if no leader is known.
func (i *Instance) requestAdapter(service, model, adapter string) {
	request := gossiper.AdapterRequest{Service: service, Model: model, Adapter: adapter}
	if i.elector.LeaderToken() != 0 {
		i.planner.RequestAdapter(planner.AdapterRequest(request))
		return
	}
	if address := i.gossiper.Fleet().PlannerAddress; address != "" {
		heartbeat := gossiper.NewPartial()
		heartbeat.AdapterRequests = []gossiper.AdapterRequest{request}
		i.gossiper.SendTo(address, heartbeat)
	}
}
