package hosted

import (
	"context"
	"time"

	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/coordination/planner"
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
		if i.gossiper.Fleet().Size > gossiper.LargeFleetSize {
			pause = largeChangePause
		}
		time.Sleep(pause)
		changes := i.selector.LoadChanges()
		if len(changes) == 0 {
			continue
		}
		bulletin := gossiper.NewPartial()
		bulletin.LoadChanges = changes
		i.gossiper.Broadcast(bulletin)
	}
}

// compose returns the instance's bulletin.
func (i *Instance) compose() gossiper.Heartbeat {
	now := time.Now()
	return gossiper.Heartbeat{
		Draining:      i.leaving.Load(),
		Ready:         i.isReady(),
		UptimeSeconds: int64(now.Sub(i.startedAt) / time.Second),
		Loads:         i.selector.Loads(),
		WorkspaceUses: i.allotter.ReportUsage(now),
		Demand:        i.demand.tell(),
		Crashes:       i.suspector.RecentCrashes(maxCrashesTold, now),
		FencingToken:  i.keeper.LeaderToken(),
	}
}

// received takes another instance's bulletin.
func (i *Instance) received(bulletin *gossiper.Heartbeat) {
	now := time.Now()
	for _, want := range bulletin.AdapterRequests {
		i.orderer.RequestAdapter(planner.AdapterRequest(want))
	}
	if len(bulletin.Placements) > 0 {
		i.sites.place(bulletin.Placements...)
	}
	name := bulletin.From.Instance
	if len(bulletin.LoadChanges) > 0 {
		i.selector.UpdatePeerLoads(name, bulletin.LoadChanges, now)
	}
	i.takeFeeds(bulletin.FeedUpdates)
	if bulletin.IsPartial() {
		return
	}
	i.selector.SetPeerLoads(name, bulletin.Loads, now)
	i.allotter.SetPeerUsage(name, bulletin.From.Incarnation, bulletin.Uptime(), bulletin.WorkspaceUses, now)
	i.demand.setPeer(name, bulletin.Demand)
	i.suspector.RecordPeerCrashes(name, bulletin.Crashes, now)
	i.proxy.Wake()
}

func (i *Instance) peerGone(instance string) {
	i.selector.RemovePeer(instance)
	i.allotter.ForgetPeer(instance)
}

// wantAdapter asks the planner for an adapter.
func (i *Instance) wantAdapter(service, model, adapter string) {
	want := gossiper.AdapterRequest{Service: service, Model: model, Adapter: adapter}
	if i.keeper.LeaderToken() != 0 {
		i.orderer.RequestAdapter(planner.AdapterRequest(want))
		return
	}
	if address := i.gossiper.Fleet().PlannerAddress; address != "" {
		bulletin := gossiper.NewPartial()
		bulletin.AdapterRequests = []gossiper.AdapterRequest{want}
		i.gossiper.SendTo(address, bulletin)
	}
}
