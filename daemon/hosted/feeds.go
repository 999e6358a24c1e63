package hosted

import (
	"time"

	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/coordination/observer"
)

// isReader reports whether the instance reads the platform's feeds for its zone.
// One does; the others read themselves when they hear nothing from it.
func (i *Instance) isReader() bool {
	return !i.leaving.Load() && i.gossiper.Fleet().ZoneRank == 0
}

// relay tells the instances of the zone what a read has brought.
func (i *Instance) relay(relayed observer.RelayedBatch) {
	news := gossiper.FeedUpdate{Source: string(relayed.Source), From: relayed.From, Next: relayed.Next}
	now := time.Now()
	for _, change := range relayed.Changes {
		if change.DeregisteredUpstream != "" {
			news.Deregistrations = append(news.Deregistrations, gossiper.UpstreamDeregistration{Offset: change.Offset, ID: change.DeregisteredUpstream})
			continue
		}
		upstream := gossiper.UpstreamRegistration{Offset: change.Offset, Upstream: *change.Upstream}
		upstream.ColdRemaining = max(change.Upstream.ColdUntil.Sub(now), 0)
		upstream.Upstream.ColdUntil = time.Time{}
		news.Registrations = append(news.Registrations, upstream)
	}
	bulletin := gossiper.NewPartial()
	bulletin.FeedUpdates = []gossiper.FeedUpdate{news}
	i.gossiper.BroadcastToZone(bulletin)
}

// takeFeeds gives the observer what a reader has told.
func (i *Instance) takeFeeds(feeds []gossiper.FeedUpdate) {
	now := time.Now()
	for _, news := range feeds {
		relayed := observer.RelayedBatch{Source: observer.Source(news.Source), From: news.From, Next: news.Next}
		for _, gone := range news.Deregistrations {
			relayed.Changes = append(relayed.Changes, observer.Change{Offset: gone.Offset, DeregisteredUpstream: gone.ID})
		}
		for _, told := range news.Registrations {
			upstream := told.Upstream
			if told.ColdRemaining > 0 {
				upstream.ColdUntil = now.Add(told.ColdRemaining)
			}
			relayed.Changes = append(relayed.Changes, observer.Change{Offset: told.Offset, Upstream: &upstream})
		}
		i.observer.HandleRelayed(relayed)
	}
}
