// Package reserver keeps the memory ledger of an upstream and decides which orders
// it gets next.
//
// A log record reserves memory before an order is sent. The memory stays reserved
// until the engine itself reports that the weights are gone. This report must be
// requested after the engine acknowledged the unload order.
package reserver

import (
	"slices"
	"time"

	"github.com/crocushollow/crocushollow"
)

// Parameters of the ledger.
const (
	// drainDelay is how long weights stay loaded after every instance was told
	// to send no new requests to them.
	drainGrace = 1500 * time.Millisecond
	// retryInterval is the time after which an order or a record without effect
	// is sent again.
	orderRetry = 2 * time.Second
	// lateOrderWindow is how long weights must be absent from an engine that
	// does not check fencing tokens, since a delayed order may still arrive.
	lateOrderWindow = 5 * time.Second
	// maxReportAge is the age above which a report permits no new load.
	reportMaxAge = 5 * time.Second
)

// LoadPermit acquires a permit for a load from the weight store and reports
// whether it was granted.
type LoadPermit func() bool

// Input is the input of a decision.
type Input struct {
	Upstream crocushollow.Upstream
	// Term is the term of the upstream's owner.
	Term uint64
	// Residencies are the upstream's residencies according to the log.
	Residencies []crocushollow.Residency
	// Target lists the weights that should be resident, most important first.
	Target []crocushollow.Weights
	// HasTarget is false until the planner has decided for the first time.
	HasTarget bool
	// LoadPermit acquires permits for loads from the weight store.
	LoadPermit LoadPermit
	Now        time.Time
}

// Decision lists the records and orders to send next.
type Decision struct {
	// Publish lists the residencies to append to the log.
	Publish []crocushollow.Residency
	// Orders lists the orders to send now. The log contains the records with
	// their fencing tokens.
	Orders []crocushollow.Order
}

// progress tracks the orders of one fencing token.
type progress struct {
	intent  uint64
	order   crocushollow.ID
	firstAt time.Time
	sentAt  time.Time
	// acknowledgedAt is when the engine accepted the order.
	acknowledgedAt time.Time
	// absentSince is when the weights were first reported absent after the
	// acknowledgement.
	absentSince time.Time
	// publishedAt is when a state change was last published.
	publishedAt time.Time
}

// Ledger is the state that an upstream's owner keeps in memory. Only the control
// goroutine uses it.
type Ledger struct {
	progress map[string]*progress
	report   crocushollow.EngineReport
	// reportRequestedAt is when the report was requested.
	askedAt time.Time
	// addedAt is when a residency of weights without one was last published.
	adopted map[string]time.Time
}

// New returns the ledger of a new owner.
func New() *Ledger {
	return &Ledger{progress: make(map[string]*progress), adopted: make(map[string]time.Time)}
}

// HandleReport stores a report that was requested at a given time, unless it has
// a newer one.
func (l *Ledger) HandleReport(report crocushollow.EngineReport, askedAt time.Time) {
	if askedAt.After(l.askedAt) {
		l.report, l.askedAt = report, askedAt
	}
}

// HandleAcknowledgement notes that the engine accepted an order.
func (l *Ledger) HandleAcknowledgement(order crocushollow.Order, now time.Time) {
	if p, found := l.progress[order.Weights.Label()]; found && p.order == order.ID {
		p.acknowledgedAt = now
	}
}

// Decide returns the next records and orders for the upstream.
func (l *Ledger) Decide(in Input) Decision {
	var step Decision
	l.forget(in.Residencies)
	for _, residency := range in.Residencies {
		l.advance(in, residency, &step)
	}
	l.adopt(in, &step)
	l.load(in, &step)
	return step
}

// prune removes the progress of weights that have no residency.
func (l *Ledger) forget(residencies []crocushollow.Residency) {
	for label := range l.progress {
		if !slices.ContainsFunc(residencies, func(r crocushollow.Residency) bool { return r.Weights.Label() == label }) {
			delete(l.progress, label)
		}
	}
}

func (l *Ledger) advance(in Input, residency crocushollow.Residency, step *Decision) {
	p := l.progressOf(residency, in.Now)
	switch residency.State {
	case crocushollow.Loading:
		l.advanceLoading(in, residency, p, step)
	case crocushollow.Resident:
		l.advanceResident(in, residency, p, step)
	case crocushollow.Unloading:
		l.advanceUnloading(in, residency, p, step)
	case crocushollow.Absent:
	}
}

func (l *Ledger) progressOf(residency crocushollow.Residency, now time.Time) *progress {
	label := residency.Weights.Label()
	p, found := l.progress[label]
	if !found || p.intent != residency.FencingToken {
		p = &progress{intent: residency.FencingToken, order: crocushollow.NewID(), firstAt: now}
		l.progress[label] = p
	}
	return p
}

func (l *Ledger) advanceLoading(in Input, residency crocushollow.Residency, p *progress, step *Decision) {
	if l.askedAt.After(p.firstAt) && contains(l.report.Loaded, residency.Weights) {
		l.publish(in, residency, crocushollow.Resident, p, step)
		return
	}
	if wanted := !in.HasTarget || contains(in.Target, residency.Weights); !wanted {
		l.publish(in, residency, crocushollow.Unloading, p, step)
		return
	}
	if !contains(l.report.Loading, residency.Weights) || l.askedAt.Before(p.sentAt) {
		l.order(in, residency, p, false, step)
	}
}

func (l *Ledger) advanceResident(in Input, residency crocushollow.Residency, p *progress, step *Decision) {
	if l.askedAt.After(p.firstAt) && !contains(l.report.Loaded, residency.Weights) {
		// The engine has restarted or dropped the weights.
		l.publish(in, residency, crocushollow.Loading, p, step)
		return
	}
	if in.HasTarget && !contains(in.Target, residency.Weights) {
		l.publish(in, residency, crocushollow.Unloading, p, step)
	}
}

func (l *Ledger) advanceUnloading(in Input, residency crocushollow.Residency, p *progress, step *Decision) {
	if in.Now.Sub(p.firstAt) < drainGrace {
		return
	}
	if p.acknowledgedAt.IsZero() || !l.askedAt.After(p.acknowledgedAt) || l.isPresent(residency.Weights) {
		p.absentSince = time.Time{}
		l.order(in, residency, p, true, step)
		return
	}
	if p.absentSince.IsZero() {
		p.absentSince = in.Now
	}
	if in.Upstream.ChecksFencingToken || in.Now.Sub(p.absentSince) >= lateOrderWindow {
		l.publish(in, residency, crocushollow.Absent, p, step)
	}
}

func (l *Ledger) isPresent(weights crocushollow.Weights) bool {
	return contains(l.report.Loaded, weights) || contains(l.report.Loading, weights)
}

// publish publishes a state change, at most once per retry interval.
func (l *Ledger) publish(in Input, residency crocushollow.Residency, state crocushollow.ResidencyState, p *progress, step *Decision) {
	if in.Now.Sub(p.publishedAt) < orderRetry {
		return
	}
	p.publishedAt = in.Now
	residency.State = state
	residency.Term = in.Term
	step.Publish = append(step.Publish, residency)
}

// addOrder sends an order, again after the retry interval if it had no effect.
func (l *Ledger) order(in Input, residency crocushollow.Residency, p *progress, unload bool, step *Decision) {
	if in.Now.Sub(p.sentAt) < orderRetry || l.askedAt.IsZero() {
		return
	}
	p.sentAt = in.Now
	step.Orders = append(step.Orders, crocushollow.Order{
		ID:           p.order,
		Weights:      residency.Weights,
		Unload:       unload,
		FencingToken: residency.FencingToken,
		Incarnation:  l.report.Incarnation,
	})
}

// addUnknown publishes residencies for weights that the engine reports but the log
// does not contain, for example after a delayed order.
func (l *Ledger) adopt(in Input, step *Decision) {
	for _, weights := range l.unknown(in.Residencies) {
		if in.Now.Sub(l.adopted[weights.Label()]) < orderRetry {
			continue
		}
		l.adopted[weights.Label()] = in.Now
		state := crocushollow.Unloading
		if contains(in.Target, weights) && contains(l.report.Loaded, weights) {
			state = crocushollow.Resident
		}
		step.Publish = append(step.Publish, crocushollow.Residency{
			Upstream: in.Upstream.ID, Weights: weights, State: state, Term: in.Term,
		})
	}
}

func (l *Ledger) unknown(residencies []crocushollow.Residency) []crocushollow.Weights {
	var unknown []crocushollow.Weights
	for _, weights := range slices.Concat(l.report.Loaded, l.report.Loading) {
		known := slices.ContainsFunc(residencies, func(r crocushollow.Residency) bool {
			return r.Weights.Label() == weights.Label()
		})
		if !known {
			unknown = append(unknown, weights)
		}
	}
	return unknown
}

// ReservedBytes returns the memory that is not available to new weights.
func (l *Ledger) ReservedBytes(residencies []crocushollow.Residency) int64 {
	var reserved int64
	for _, residency := range residencies {
		reserved += residency.Weights.MemoryBytes
	}
	for _, weights := range l.unknown(residencies) {
		reserved += weights.MemoryBytes
	}
	return reserved
}

// startLoads reserves memory for target weights that fit.
func (l *Ledger) load(in Input, step *Decision) {
	if l.askedAt.IsZero() || in.Now.Sub(l.askedAt) > reportMaxAge {
		return
	}
	free := in.Upstream.MemoryBytes - l.ReservedBytes(in.Residencies)
	for _, weights := range in.Target {
		if l.isKnown(in.Residencies, weights) || weights.MemoryBytes > free || !hasBase(in.Residencies, weights) {
			continue
		}
		if in.Now.Sub(l.adopted[weights.Label()]) < orderRetry {
			continue
		}
		if !in.LoadPermit() {
			return
		}
		l.adopted[weights.Label()] = in.Now
		free -= weights.MemoryBytes
		step.Publish = append(step.Publish, crocushollow.Residency{
			Upstream: in.Upstream.ID, Weights: weights, State: crocushollow.Loading, Term: in.Term,
		})
	}
}

func (l *Ledger) isKnown(residencies []crocushollow.Residency, weights crocushollow.Weights) bool {
	return l.isPresent(weights) || slices.ContainsFunc(residencies, func(r crocushollow.Residency) bool {
		return r.Weights.Label() == weights.Label()
	})
}

// hasBase reports whether the base model of an adapter is resident.
func hasBase(residencies []crocushollow.Residency, weights crocushollow.Weights) bool {
	return weights.BaseModel == "" || slices.ContainsFunc(residencies, func(r crocushollow.Residency) bool {
		return r.Weights.Name == weights.BaseModel && r.State == crocushollow.Resident
	})
}

func contains(list []crocushollow.Weights, weights crocushollow.Weights) bool {
	return slices.ContainsFunc(list, func(w crocushollow.Weights) bool { return w.Label() == weights.Label() })
}
