package hosted

import (
	"time"

	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/coordination/observer"
)

// isWatcher reports whether this instance reads the platform's feeds for its
// availability zone. Each zone has one watcher. The other instances read the feeds
// themselves when the watcher relays nothing in time.
func (i *Instance) isWatcher() bool {
	return !i.draining.Load() && i.gossiper.Fleet().ZoneRank == 0
}

// relayToZone sends the changes that a feed returned to the other instances in
// this availability zone. Clocks of instances differ, so the end of a cold start is
// sent as the remaining time.
func (i *Instance) relayToZone(batch observer.RelayedBatch) {
	update := gossiper.FeedUpdate{Source: string(batch.Source), From: batch.From, Next: batch.Next}
	now := time.Now()
	for _, change := range batch.Changes {
		if change.DeregisteredUpstream != "" {
			update.Deregistrations = append(update.Deregistrations, gossiper.UpstreamDeregistration{Offset: change.Offset, ID: change.DeregisteredUpstream})
			continue
		}
		registration := gossiper.UpstreamRegistration{Offset: change.Offset, Upstream: *change.Upstream}
		registration.ColdRemaining = max(change.Upstream.ColdUntil.Sub(now), 0)
		registration.Upstream.ColdUntil = time.Time{}
		update.Registrations = append(update.Registrations, registration)
	}
	heartbeat := gossiper.NewPartial()
	heartbeat.FeedUpdates = []gossiper.FeedUpdate{update}
	i.gossiper.BroadcastToZone(heartbeat)
}

// handleFeedUpdates passes the changes that a watcher relayed to the observer.
func (i *Instance) handleFeedUpdates(updates []gossiper.FeedUpdate) {
	now := time.Now()
	for _, update := range updates {
		batch := observer.RelayedBatch{Source: observer.Source(update.Source), From: update.From, Next: update.Next}
		for _, deregistration := range update.Deregistrations {
			batch.Changes = append(batch.Changes, observer.Change{Offset: deregistration.Offset, DeregisteredUpstream: deregistration.ID})
		}
		for _, registration := range update.Registrations {
			upstream := registration.Upstream
			if registration.ColdRemaining > 0 {
				upstream.ColdUntil = now.Add(registration.ColdRemaining)
			}
			batch.Changes = append(batch.Changes, observer.Change{Offset: registration.Offset, Upstream: &upstream})
		}
		i.observer.HandleRelayed(batch)
	}
}
