package hosted

import (
	"context"
	"time"

	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/coordination/orderer"
)

// loadChanged lets the changes of the own work be told.
func (i *Instance) loadChanged() {
	select {
	case i.changed <- struct{}{}:
	default:
	}
}

// Telling of changes between two bulletins.
const (
	// changePause gathers changes before they are told, and largeChangePause in a
	// large fleet, where each instance hears of many.
	changePause      = 8 * time.Millisecond
	largeChangePause = 25 * time.Millisecond
)

// tellChanges tells the other instances of the own work on upstreams, so that
// they do not send to an engine at the same moment.
func (i *Instance) tellChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-i.changed:
		}
		pause := changePause
		if i.gossiper.Fleet().Known > gossiper.LargeFleet {
			pause = largeChangePause
		}
		time.Sleep(pause)
		changes := i.selector.LoadChanges()
		if len(changes) == 0 {
			continue
		}
		bulletin := gossiper.NewBrief()
		bulletin.LoadChanges = changes
		i.gossiper.SendAll(bulletin)
	}
}

// compose returns the instance's bulletin.
func (i *Instance) compose() gossiper.Bulletin {
	now := time.Now()
	return gossiper.Bulletin{
		Leaving:       i.leaving.Load(),
		Ready:         i.isReady(),
		UptimeSeconds: int64(now.Sub(i.startedAt) / time.Second),
		Loads:         i.selector.Loads(),
		Uses:          i.allotter.Uses(now),
		Demand:        i.demand.tell(),
		Crashes:       i.suspector.RecentCrashes(maxCrashesTold, now),
		Fence:         i.keeper.Holder(),
	}
}

// received takes another instance's bulletin.
func (i *Instance) received(bulletin *gossiper.Bulletin) {
	now := time.Now()
	for _, want := range bulletin.Wants {
		i.orderer.Want(orderer.Want(want))
	}
	if len(bulletin.Placements) > 0 {
		i.sites.place(bulletin.Placements...)
	}
	name := bulletin.From.Instance
	if len(bulletin.LoadChanges) > 0 {
		i.selector.UpdatePeerLoads(name, bulletin.LoadChanges, now)
	}
	i.takeFeeds(bulletin.Feeds)
	if bulletin.IsBrief() {
		return
	}
	i.selector.SetPeerLoads(name, bulletin.Loads, now)
	i.allotter.SetPeerUse(name, bulletin.From.Incarnation, bulletin.Uptime(), bulletin.Uses, now)
	i.demand.setPeer(name, bulletin.Demand)
	i.suspector.RecordPeerCrashes(name, bulletin.Crashes, now)
	i.carrier.Wake()
}

func (i *Instance) peerGone(instance string) {
	i.selector.RemovePeer(instance)
	i.allotter.ForgetPeer(instance)
}

// wantAdapter asks the planner for an adapter.
func (i *Instance) wantAdapter(service, model, adapter string) {
	want := gossiper.Want{Service: service, Model: model, Adapter: adapter}
	if i.keeper.Holder() != 0 {
		i.orderer.Want(orderer.Want(want))
		return
	}
	if planner := i.gossiper.Fleet().Planner; planner != "" {
		bulletin := gossiper.NewBrief()
		bulletin.Wants = []gossiper.Want{want}
		i.gossiper.SendTo(planner, bulletin)
	}
}
