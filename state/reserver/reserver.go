// Package reserver keeps the memory ledger of an upstream and decides the next
// orders for it.
//
// Memory is reserved by a record in the log before an order is sent and stays
// reserved until the engine itself has reported, in answer to a question asked
// after the order to unload was acknowledged, that the weights are gone.
package reserver

import (
	"slices"
	"time"

	"github.com/crocushollow/crocushollow"
)

// Tuning of the ledger.
const (
	// drainGrace is how long weights stay loaded after every instance has been
	// told to send them no new request.
	drainGrace = 1500 * time.Millisecond
	// orderRetry is how long an order may take before it is sent again.
	orderRetry = 2 * time.Second
	// lateOrderWindow is how long weights must be absent from an engine that
	// does not check fencing numbers, since an old order may still arrive.
	lateOrderWindow = 5 * time.Second
	// reportMaxAge is the age above which a report starts no new load.
	reportMaxAge = 5 * time.Second
)

// Permit asks whether a load from the weight store may start now.
type Permit func() bool

// Input is what a decision is based on.
type Input struct {
	Upstream crocushollow.Upstream
	// Term is that of the upstream's holder.
	Term uint64
	// Residencies are those in the log.
	Residencies []crocushollow.Residency
	// Target is what should be resident, in order of importance.
	Target []crocushollow.Weights
	// HasTarget is false before the planner's first decision.
	HasTarget bool
	// Permit grants loads from the weight store.
	Permit Permit
	Now    time.Time
}

// Step is what to do next.
type Step struct {
	// Publish lists the residencies to append to the log.
	Publish []crocushollow.Residency
	// Orders lists the orders to send now. Their intents are in the log.
	Orders []crocushollow.Order
}

// progress is what the holder remembers of one intent.
type progress struct {
	intent  uint64
	order   crocushollow.ID
	firstAt time.Time
	sentAt  time.Time
	// acknowledgedAt is when the engine took the order.
	acknowledgedAt time.Time
	// absentSince is when the weights were first reported absent after the
	// acknowledgement.
	absentSince time.Time
	// publishedAt is when a change of state was last asked for.
	publishedAt time.Time
}

// Ledger is a holder's memory of one upstream. It belongs to the control
// goroutine.
type Ledger struct {
	progress map[string]*progress
	report   crocushollow.EngineReport
	// askedAt is when the report was asked for.
	askedAt time.Time
	// adopted remembers when unknown weights were last put into the log.
	adopted map[string]time.Time
}

// New returns the ledger of a new holder.
func New() *Ledger {
	return &Ledger{progress: make(map[string]*progress), adopted: make(map[string]time.Time)}
}

// Reported takes a report that was asked for at a time.
func (l *Ledger) Reported(report crocushollow.EngineReport, askedAt time.Time) {
	if askedAt.After(l.askedAt) {
		l.report, l.askedAt = report, askedAt
	}
}

// Acknowledged notes that the engine took an order.
func (l *Ledger) Acknowledged(order crocushollow.Order, now time.Time) {
	if p, found := l.progress[order.Weights.Label()]; found && p.order == order.ID {
		p.acknowledgedAt = now
	}
}

// Decide returns the next step for the upstream.
func (l *Ledger) Decide(in Input) Step {
	var step Step
	l.forget(in.Residencies)
	for _, residency := range in.Residencies {
		l.advance(in, residency, &step)
	}
	l.adopt(in, &step)
	l.load(in, &step)
	return step
}

// forget removes the progress of weights that are gone.
func (l *Ledger) forget(residencies []crocushollow.Residency) {
	for label := range l.progress {
		if !slices.ContainsFunc(residencies, func(r crocushollow.Residency) bool { return r.Weights.Label() == label }) {
			delete(l.progress, label)
		}
	}
}

func (l *Ledger) advance(in Input, residency crocushollow.Residency, step *Step) {
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

func (l *Ledger) advanceLoading(in Input, residency crocushollow.Residency, p *progress, step *Step) {
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

func (l *Ledger) advanceResident(in Input, residency crocushollow.Residency, p *progress, step *Step) {
	if l.askedAt.After(p.firstAt) && !contains(l.report.Loaded, residency.Weights) {
		// The engine has restarted or dropped the weights.
		l.publish(in, residency, crocushollow.Loading, p, step)
		return
	}
	if in.HasTarget && !contains(in.Target, residency.Weights) {
		l.publish(in, residency, crocushollow.Unloading, p, step)
	}
}

func (l *Ledger) advanceUnloading(in Input, residency crocushollow.Residency, p *progress, step *Step) {
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

// publish asks for a change of state unless that was done just now.
func (l *Ledger) publish(in Input, residency crocushollow.Residency, state crocushollow.ResidencyState, p *progress, step *Step) {
	if in.Now.Sub(p.publishedAt) < orderRetry {
		return
	}
	p.publishedAt = in.Now
	residency.State = state
	residency.Term = in.Term
	step.Publish = append(step.Publish, residency)
}

// order sends an order again when it has not taken effect for a while.
func (l *Ledger) order(in Input, residency crocushollow.Residency, p *progress, unload bool, step *Step) {
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

// adopt puts weights into the log that the engine reports but nobody has
// ordered according to the log, as after an old order that came late.
func (l *Ledger) adopt(in Input, step *Step) {
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

// ReservedBytes returns the memory that cannot be given to new weights.
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

// load reserves memory for target weights that fit.
func (l *Ledger) load(in Input, step *Step) {
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
		if !in.Permit() {
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
