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
func (i *Instance) relay(relayed observer.Relayed) {
	news := gossiper.FeedNews{Source: string(relayed.Source), From: relayed.From, Next: relayed.Next}
	now := time.Now()
	for _, change := range relayed.Changes {
		if change.GoneUpstream != "" {
			news.Gone = append(news.Gone, gossiper.GoneNews{Offset: change.Offset, ID: change.GoneUpstream})
			continue
		}
		upstream := gossiper.UpstreamNews{Offset: change.Offset, Upstream: *change.Upstream}
		upstream.ColdLeft = max(change.Upstream.ColdUntil.Sub(now), 0)
		upstream.Upstream.ColdUntil = time.Time{}
		news.Upstreams = append(news.Upstreams, upstream)
	}
	bulletin := gossiper.NewBrief()
	bulletin.Feeds = []gossiper.FeedNews{news}
	i.gossiper.SendZone(bulletin)
}

// takeFeeds gives the observer what a reader has told.
func (i *Instance) takeFeeds(feeds []gossiper.FeedNews) {
	now := time.Now()
	for _, news := range feeds {
		relayed := observer.Relayed{Source: observer.Source(news.Source), From: news.From, Next: news.Next}
		for _, gone := range news.Gone {
			relayed.Changes = append(relayed.Changes, observer.Change{Offset: gone.Offset, GoneUpstream: gone.ID})
		}
		for _, told := range news.Upstreams {
			upstream := told.Upstream
			if told.ColdLeft > 0 {
				upstream.ColdUntil = now.Add(told.ColdLeft)
			}
			relayed.Changes = append(relayed.Changes, observer.Change{Offset: told.Offset, Upstream: &upstream})
		}
		i.observer.Take(relayed)
	}
}
