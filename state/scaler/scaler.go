// Package scaler decides how many engines of a service each availability zone has.
//
// A new engine serves only after its start and a load of weights, so the number rises with
// the demand at once, and falls one engine at a time after the demand has been low for long.
package scaler

import (
	"math"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
)

const (
	// busyShare is the part of the engines that demand keeps busy above which there are too
	// few, and calmShare that below which there are too many.
	busyShare = 0.9
	calmShare = 0.4
	// demandHalfLife is the half-life of the average of the demand.
	demandHalfLife = 2 * time.Second
	// minCalm is the time for which the demand must have been low before the number falls,
	// and calmStarts the same in starts of an engine.
	minCalm    = 3 * time.Minute
	calmStarts = 10
	// settleStarts is the time, in starts of an engine, in which a new holder learns how many
	// engines there are: registrations may not be read yet, and engines may have crashed.
	settleStarts = 2
	// memoryReserve is the ratio of the engines that are kept to those that hold each model
	// once.
	memoryReserve = 1.25
)

// Zone is the state of a service in an availability zone.
type Zone struct {
	// Engines is the number of engines that accept work.
	Engines int
	// IsOut means that the zone gets no new work.
	IsOut bool
}

// Input is the input of a decision.
type Input struct {
	Scale catalog.ScaleSpec
	Zones map[string]Zone
	// Demand is the number of engines that the requests of all instances keep busy.
	Demand float64
	// Floor is the number of engines that the models need.
	Floor int
	// IsComplete means that each model is loaded on some engine.
	IsComplete bool
}

// Scaler decides for one service. The zero value has decided nothing. It is not safe for
// concurrent use.
type Scaler struct {
	demand    float64
	updatedAt time.Time
	// since is the time of the first decision.
	since time.Time
	// targets holds the number of engines by zone: the one ordered last, or the highest
	// number seen before the first order.
	targets map[string]int
	// ordered holds the zones that have an order.
	ordered map[string]bool
	// calmSince is when the number last fell or was right. It is zero before.
	calmSince time.Time
}

// Floor returns the number of engines that hold each model of a service once, with a reserve.
func Floor(spec *catalog.EngineSpec) int {
	used, engines := 0.0, 0
	for _, model := range spec.Models {
		if used < model.MemoryMB {
			used, engines = spec.MemoryMB, engines+1
		}
		used -= model.MemoryMB
	}
	return int(math.Ceil(memoryReserve * float64(engines)))
}

// Decide returns the numbers of engines to order, by zone. It has no zone whose number stays.
func (s *Scaler) Decide(in Input, now time.Time) map[string]int {
	s.observe(in, now)
	if now.Sub(s.since) < settleStarts*in.Scale.StartTime {
		return nil
	}
	zones := 0
	for _, zone := range in.Zones {
		if !zone.IsOut {
			zones++
		}
	}
	if zones == 0 {
		return nil
	}
	orders := make(map[string]int)
	needed, calm := share(in, s.demand/busyShare, zones), share(in, s.demand/calmShare, zones)
	tooMany := false
	for name, zone := range in.Zones {
		switch {
		case zone.IsOut:
		case needed > max(s.targets[name], in.Scale.Min):
			orders[name] = needed
		case calm < s.targets[name]:
			tooMany = true
		}
	}
	if !tooMany || len(orders) > 0 || !in.IsComplete || s.calmSince.IsZero() {
		s.calmSince = now
	}
	if now.Sub(s.calmSince) >= max(minCalm, calmStarts*in.Scale.StartTime) {
		s.lower(in, calm, orders, now)
	}
	for name, engines := range orders {
		s.targets[name], s.ordered[name] = engines, true
	}
	return orders
}

// lower gives up an engine in the zone that has the most. The next one follows after the start
// of an engine, so that its models are loaded elsewhere.
func (s *Scaler) lower(in Input, calm int, orders map[string]int, now time.Time) {
	largest := ""
	for name, zone := range in.Zones {
		if zone.IsOut || s.targets[name] <= calm {
			continue
		}
		if largest == "" || s.targets[name] > s.targets[largest] || s.targets[name] == s.targets[largest] && name < largest {
			largest = name
		}
	}
	if largest == "" {
		return
	}
	orders[largest] = s.targets[largest] - 1
	s.calmSince = now.Add(in.Scale.StartTime - max(minCalm, calmStarts*in.Scale.StartTime))
}

// observe updates the average of the demand, and the numbers of zones without an order.
func (s *Scaler) observe(in Input, now time.Time) {
	if s.targets == nil {
		s.targets, s.ordered = make(map[string]int), make(map[string]bool)
		s.demand, s.updatedAt, s.since = in.Demand, now, now
	}
	retained := math.Exp2(-now.Sub(s.updatedAt).Seconds() / demandHalfLife.Seconds())
	s.demand, s.updatedAt = s.demand*retained+in.Demand*(1-retained), now
	for name, zone := range in.Zones {
		if !s.ordered[name] {
			s.targets[name] = max(s.targets[name], zone.Engines)
		}
	}
}

// share returns the number of engines of a zone if all zones together need some.
func share(in Input, engines float64, zones int) int {
	needed := math.Ceil(max(engines, float64(in.Floor)) / float64(zones))
	return int(min(max(needed, float64(in.Scale.Min)), float64(in.Scale.Max)))
}
