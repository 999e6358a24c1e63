package hosted

import (
	"context"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/crocushollow/crocushollow/coordination/dutyholder"
	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/platform"
	"github.com/crocushollow/crocushollow/state/scaler"
	"github.com/crocushollow/crocushollow/state/tallier"
)

const (
	// usageInterval is the time between two reports of usage to the planner leader. What
	// an instance counts within it is lost if it is killed.
	usageInterval = 500 * time.Millisecond
	// maxUsagePerHeartbeat bounds the reports in one heartbeat, which must fit into a
	// datagram.
	maxUsagePerHeartbeat = 4
	// dutyKinds is the number of duties that share the calls to the platform.
	dutyKinds = 2
	// lastUsageInterval is that time while the instance shuts down. It is shorter than
	// lingerTime, so that the last requests are reported.
	lastUsageInterval = 50 * time.Millisecond
)

// usageDuty counts the usage at this instance, and reports that of all instances while this
// one holds the duty. All methods work on nil, where the operators want no reports.
type usageDuty struct {
	tallier *tallier.Tallier
	holder  *dutyholder.UsageHolder
}

// assembleDuties builds the parts that carry out duties of one instance at a time.
func (i *Instance) assembleDuties(store *platform.Store) {
	settings := &i.settings.Duties
	duties, unknown := platform.DecodeDuties(settings.Kinds)
	if len(unknown) > 0 {
		i.logger.Warn().Strs("kinds", unknown).Msg("unknown duties ignored")
	}
	if duties.ReportsUsage && settings.Address != "" && settings.UsageWindow != nil {
		i.assembleUsage(store)
	}
	if duties.ScalesEngines && settings.Address != "" {
		i.scale = dutyholder.NewScaleHolder(dutyholder.ScaleConfig{
			Leadership:     i.elector,
			Client:         platform.NewCloud(settings.Address, i.self.Instance),
			Services:       i.scaledServices,
			CallsPerSecond: settings.CallsPerSecond / dutyKinds,
			OnCall:         i.reporter.dutyCalled,
			Logger:         i.logger,
			Now:            time.Now,
		})
	}
}

// assembleUsage builds the parts that report usage.
func (i *Instance) assembleUsage(store *platform.Store) {
	settings := &i.settings.Duties
	tally := tallier.New(tallier.Config{
		Self:   tallier.Source{Instance: i.self.Instance, Incarnation: i.self.Incarnation},
		Window: time.Duration(*settings.UsageWindow), StartTime: i.startedAt,
	})
	i.usage = &usageDuty{tallier: tally, holder: dutyholder.NewUsageHolder(dutyholder.UsageConfig{
		Leadership:     i.elector,
		Ledger:         platform.NewUsageLedger(store),
		Client:         platform.NewCloud(settings.Address, i.self.Instance),
		Tallier:        tally,
		Lateness:       settings.lateness(),
		CallsPerSecond: settings.CallsPerSecond / dutyKinds,
		OnSettled:      i.broadcastSettled,
		OnCall:         i.reporter.dutyCalled,
		Logger:         i.logger,
		Now:            time.Now,
	})}
}

// runDuties carries out the duties until the context ends.
func (i *Instance) runDuties(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if i.usage != nil {
		group.Go(func() error { return i.usage.holder.Run(ctx) })
		group.Go(func() error { return i.sendUsage(ctx) })
	}
	if i.scale != nil {
		group.Go(func() error { return i.scale.Run(ctx) })
	}
	return group.Wait()
}

// scaledServices returns the state of the services of engines whose number may change.
func (i *Instance) scaledServices() map[string]scaler.Input {
	site := i.site.registeredSite()
	inputs := make(map[string]scaler.Input)
	if site.Catalog == nil {
		return inputs
	}
	demand := i.demand.total()
	for name, service := range site.Catalog.Services() {
		if service.Scale == nil || service.Engine == nil {
			continue
		}
		input := scaler.Input{Scale: *service.Scale, Zones: make(map[string]scaler.Zone), Floor: scaler.Floor(service.Engine)}
		missing := maps.Clone(service.Engine.Models)
		for _, upstream := range site.Upstreams {
			if upstream.Service != name {
				continue
			}
			zone := input.Zones[upstream.AvailabilityZone]
			zone.IsOut = site.ZonesOutOfService[upstream.AvailabilityZone]
			if !upstream.IsDraining {
				zone.Engines++
			}
			input.Zones[upstream.AvailabilityZone] = zone
			for m := range upstream.LoadedModels {
				delete(missing, upstream.LoadedModels[m].Model)
			}
		}
		for model := range service.Engine.Models {
			input.Demand += demand[model]
		}
		input.IsComplete = len(missing) == 0
		inputs[name] = input
	}
	return inputs
}

// sendUsage reports this instance's usage to the planner leader until the context ends.
func (i *Instance) sendUsage(ctx context.Context) error {
	timer := time.NewTimer(usageInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		i.sendUsageOnce()
		if i.draining.Load() {
			timer.Reset(lastUsageInterval)
		} else {
			timer.Reset(usageInterval)
		}
	}
}

// sendUsageOnce reports this instance's usage to the planner leader, if there is another one.
func (i *Instance) sendUsageOnce() {
	leader := i.gossiper.Fleet().PlannerAddress
	if leader == "" || i.elector.LeaderToken() != 0 {
		return
	}
	reports := i.usage.tallier.Reports(leader, time.Now())
	for len(reports) > 0 {
		count := min(len(reports), maxUsagePerHeartbeat)
		heartbeat := gossiper.NewPartial()
		heartbeat.Usage, reports = reports[:count], reports[count:]
		i.gossiper.SendTo(leader, heartbeat)
	}
}

// broadcastSettled tells all instances that a window, and all before it, are settled.
func (i *Instance) broadcastSettled(window int64) {
	heartbeat := gossiper.NewPartial()
	heartbeat.SettledWindows = window + 1
	i.gossiper.Broadcast(heartbeat)
}

// recordUsage implements proxy.Config.RecordUsage.
func (i *Instance) recordUsage(workspace string) {
	if i.usage != nil {
		i.usage.tallier.Record(workspace, time.Now())
	}
}

// handle applies what another instance says about usage.
func (d *usageDuty) handle(heartbeat *gossiper.Heartbeat, now time.Time) {
	if d == nil {
		return
	}
	if heartbeat.SettledWindows > 0 {
		d.tallier.Settle(heartbeat.SettledWindows - 1)
	}
	source := tallier.Source{Instance: heartbeat.From.Instance, Incarnation: heartbeat.From.Incarnation}
	for _, report := range heartbeat.Usage {
		d.tallier.Merge(source, report, now)
	}
}

// dutyCalled counts a call of the holder of a duty.
func (r *reporter) dutyCalled(call, result string) {
	r.set.GetOrCreateCounter(`crocushollow_duty_calls_total{call="` + call + `",result="` + result + `"}`).Inc()
}
