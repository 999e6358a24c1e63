// Package aggregator sums up what the instances of one availability zone report,
// so that an instance receives a few sums and not the report of every peer.
//
// The instance that aggregates for its zone holds the latest report of each
// instance of the zone and the sums of each other zone. From them it computes the
// sums for its zone, which other zones receive, and for each instance the sums over
// all other instances of the fleet.
//
// Loads and demand are current values: a sum that is repeated or overtaken by a
// newer one is counted once. Consumption is counted since the start of the
// aggregator's term, and its receivers use only the differences within a term.
package aggregator

import (
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/allotter"
	"github.com/crocushollow/crocushollow/state/selector"
)

const (
	// maxReportAge is the age beyond which the loads and the demand of an instance
	// or a zone no longer count.
	maxReportAge = 2 * time.Second
	// maxEstimatedGap bounds the time for which the consumption of an instance or a
	// zone that has not reported is estimated.
	maxEstimatedGap = 3 * time.Second
	// freshStartUptime is the uptime below which all consumption of an instance is
	// counted with its first report. The consumption of an older instance has been
	// counted by the previous aggregator.
	freshStartUptime = 2 * time.Second
)

// Report is what one instance reports about itself.
type Report struct {
	Incarnation crocushollow.Incarnation
	Uptime      time.Duration
	Loads       map[string]selector.Load
	Uses        map[string]allotter.Usage
	Demand      map[string]float64
}

// Sums holds the sums over several instances.
type Sums struct {
	// Term identifies the aggregator that computed the sums. Sums of another term
	// replace earlier ones.
	Term crocushollow.Incarnation `cbor:"1,keyasint"`
	// Loads holds the load on the upstreams where it has changed, and from time to
	// time on each other one.
	Loads map[string]selector.Load `cbor:"2,keyasint,omitempty"`
	// HasUses means that Uses and Demand are set.
	HasUses bool                      `cbor:"3,keyasint,omitempty"`
	Uses    map[string]allotter.Usage `cbor:"4,keyasint,omitempty"`
	Demand  map[string]float64        `cbor:"5,keyasint,omitempty"`
}

// Selection says which sums to compute besides those of the loads.
type Selection struct {
	// Uses selects the consumption of the limits, and Demand the demand for models.
	Uses, Demand bool
}

// Aggregator sums up reports. It is not safe for concurrent use.
type Aggregator struct {
	self      string
	term      crocushollow.Incarnation
	instances map[string]*source
	zones     map[string]*source
	// departed counts the consumption of instances that have been removed.
	departed map[string]float64
	// zoneChanges holds the upstreams whose load in this zone has changed, and
	// fleetChanges those whose load anywhere has changed.
	zoneChanges, fleetChanges changeSet
}

// source is an instance of this zone, or another zone.
type source struct {
	incarnation crocushollow.Incarnation
	// loadTerm is the term of a zone's loads.
	loadTerm   crocushollow.Incarnation
	reportedAt time.Time
	loads      map[string]selector.Load
	demand     map[string]float64
	uses       map[string]*meter
}

// New returns an aggregator without reports. self is the instance that aggregates.
// The term must differ from that of every other aggregator.
func New(self string, term crocushollow.Incarnation) *Aggregator {
	return &Aggregator{
		self: self, term: term, instances: make(map[string]*source), zones: make(map[string]*source), departed: make(map[string]float64),
		zoneChanges: newChangeSet(), fleetChanges: newChangeSet(),
	}
}

// SetReport replaces the report of an instance of this zone.
func (a *Aggregator) SetReport(instance string, report *Report, now time.Time) {
	s, known := a.instances[instance]
	if !known {
		s = newSource()
		a.instances[instance] = s
	}
	a.setLoads(s, report.Loads, true)
	s.demand = report.Demand
	// A restarted instance counts from 0 again, and so does a new one.
	countsAll := known && s.incarnation != report.Incarnation || !known && report.Uptime < freshStartUptime
	s.setUses(report.Uses, report.Incarnation, countsAll, now)
}

// UpdateLoads replaces the load of an instance of this zone on some upstreams. It
// ignores an instance that has not sent a report.
func (a *Aggregator) UpdateLoads(instance string, changes map[string]selector.Load) {
	s := a.instances[instance]
	if s == nil {
		return
	}
	for upstream, load := range changes {
		s.loads[upstream] = load
		a.markChanged(upstream, true)
	}
}

// SetZone replaces the sums of another zone.
func (a *Aggregator) SetZone(zone string, sums *Sums, now time.Time) {
	s := a.zones[zone]
	if s == nil {
		s = newSource()
		a.zones[zone] = s
	}
	if s.loadTerm != sums.Term {
		s.loadTerm = sums.Term
		a.setLoads(s, nil, false)
	}
	for upstream, load := range sums.Loads {
		if s.loads[upstream] != load {
			a.markChanged(upstream, false)
		}
		s.loads[upstream] = load
	}
	if sums.HasUses {
		s.demand = sums.Demand
		s.setUses(sums.Uses, sums.Term, false, now)
	}
}

// Remove removes an instance of this zone. Its consumption stays counted.
func (a *Aggregator) Remove(instance string) {
	s := a.instances[instance]
	if s == nil {
		return
	}
	a.setLoads(s, nil, true)
	for workspace, m := range s.uses {
		a.departed[workspace] += m.counted
	}
	delete(a.instances, instance)
}

// Expire drops the loads and the demand of sources that have not reported for
// maxReportAge.
func (a *Aggregator) Expire(now time.Time) {
	for _, s := range a.instances {
		if now.Sub(s.reportedAt) > maxReportAge {
			a.setLoads(s, nil, true)
			s.demand = nil
		}
	}
	for _, s := range a.zones {
		if now.Sub(s.reportedAt) > maxReportAge {
			a.setLoads(s, nil, false)
			s.demand = nil
		}
	}
}

// BeginRound chooses the upstreams whose loads are in the sums of this round: those
// that have changed, and a part of the others, so that each is chosen once in a
// number of rounds.
func (a *Aggregator) BeginRound(round, rounds int) {
	a.zoneChanges.choose(round, rounds)
	a.fleetChanges.choose(round, rounds)
}

// EndRound forgets the changes that were in the sums of this round.
func (a *Aggregator) EndRound() {
	a.zoneChanges.forgetChosen(func(upstream string) bool { return a.load(upstream, "", false) != selector.Load{} })
	a.fleetChanges.forgetChosen(func(upstream string) bool { return a.load(upstream, "", true) != selector.Load{} })
}

// HasZoneLoads reports whether ZoneSums has loads in this round.
func (a *Aggregator) HasZoneLoads() bool { return len(a.zoneChanges.chosen) > 0 }

// HasLoads reports whether OtherSums has loads in this round.
func (a *Aggregator) HasLoads() bool { return len(a.fleetChanges.chosen) > 0 }

// ZoneSums returns the sums over this zone.
func (a *Aggregator) ZoneSums(selection Selection) Sums {
	return a.sums(selection, a.zoneChanges.chosen, "", false)
}

// OtherSums returns the sums over all instances of the fleet but the given one.
func (a *Aggregator) OtherSums(instance string, selection Selection) Sums {
	return a.sums(selection, a.fleetChanges.chosen, instance, true)
}

func (a *Aggregator) sums(selection Selection, upstreams []string, excluded string, withZones bool) Sums {
	sums := Sums{Term: a.term, Loads: make(map[string]selector.Load, len(upstreams))}
	for _, upstream := range upstreams {
		sums.Loads[upstream] = a.load(upstream, excluded, withZones)
	}
	if selection.Uses {
		sums.HasUses, sums.Uses = true, a.uses(excluded, withZones)
	}
	if selection.Demand {
		sums.Demand = a.demand(excluded, withZones)
	}
	return sums
}

func newSource() *source {
	return &source{loads: make(map[string]selector.Load), uses: make(map[string]*meter)}
}

// setLoads replaces all loads of a source.
func (a *Aggregator) setLoads(s *source, loads map[string]selector.Load, isInZone bool) {
	for upstream, load := range s.loads {
		if loads[upstream] != load {
			a.markChanged(upstream, isInZone)
		}
	}
	next := make(map[string]selector.Load, len(loads))
	for upstream, load := range loads {
		if s.loads[upstream] != load {
			a.markChanged(upstream, isInZone)
		}
		next[upstream] = load
	}
	s.loads = next
}

func (a *Aggregator) markChanged(upstream string, isInZone bool) {
	a.fleetChanges.add(upstream)
	if isInZone {
		a.zoneChanges.add(upstream)
	}
}

// sources calls visit for each source that counts: the instances of this zone but
// one, and the other zones if they are included.
func (a *Aggregator) sources(excluded string, withZones bool, visit func(*source)) {
	for name, s := range a.instances {
		if name != excluded {
			visit(s)
		}
	}
	if withZones {
		for _, s := range a.zones {
			visit(s)
		}
	}
}

// load returns the total load on an upstream.
func (a *Aggregator) load(upstream, excluded string, withZones bool) selector.Load {
	var total selector.Load
	a.sources(excluded, withZones, func(s *source) { total = total.Plus(s.loads[upstream]) })
	return total
}

// uses returns the total consumption and demand of each workspace, with the level
// of the bucket as the aggregating instance estimates it.
func (a *Aggregator) uses(excluded string, withZones bool) map[string]allotter.Usage {
	totals := make(map[string]allotter.Usage)
	for workspace, counted := range a.departed {
		totals[workspace] = allotter.Usage{Consumed: counted}
	}
	a.sources(excluded, withZones, func(s *source) {
		for workspace, m := range s.uses {
			total := totals[workspace]
			total.Consumed += m.counted
			total.Demand += m.demand
			totals[workspace] = total
		}
	})
	if self := a.instances[a.self]; self != nil {
		for workspace, total := range totals {
			if m := self.uses[workspace]; m != nil {
				total.Level = m.level
				totals[workspace] = total
			}
		}
	}
	return totals
}

func (a *Aggregator) demand(excluded string, withZones bool) map[string]float64 {
	totals := make(map[string]float64)
	a.sources(excluded, withZones, func(s *source) {
		for model, value := range s.demand {
			totals[model] += value
		}
	})
	return totals
}
