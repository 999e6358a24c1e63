// Package reserver keeps the memory ledger of an upstream and decides which orders
// to send to it.
//
// A log record reserves memory before an order is sent. The memory stays reserved
// until the engine reports that the weights are absent. That report must be
// requested after the engine has acknowledged the unload order.
package reserver

import (
	"slices"
	"time"

	"github.com/crocushollow/crocushollow"
)

// Parameters of the ledger.
const (
	// drainDelay is the time between the start of an unload in the log and the
	// unload order. By then every instance knows that it must send no new
	// requests to the weights.
	drainDelay = 1500 * time.Millisecond
	// retryInterval is the time after which an order or a record without effect
	// is sent again.
	retryInterval = 2 * time.Second
	// lateOrderDelay is how long weights must be absent from an engine that
	// does not check fencing tokens, since a delayed order may still arrive.
	lateOrderDelay = 5 * time.Second
	// maxReportAge is the age above which a report permits no new load.
	maxReportAge = 5 * time.Second
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
	fencingToken uint64
	orderID      crocushollow.ID
	// startedAt is when this owner first saw the fencing token.
	startedAt time.Time
	// sentAt is when the order was last sent.
	sentAt time.Time
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
	reportRequestedAt time.Time
	// addedAt maps weights to the last time a new residency was published for
	// them.
	addedAt map[string]time.Time
}

// New returns the ledger of a new owner.
func New() *Ledger {
	return &Ledger{progress: make(map[string]*progress), addedAt: make(map[string]time.Time)}
}

// HandleReport stores a report that was requested at a given time, unless it has
// a newer one.
func (l *Ledger) HandleReport(report crocushollow.EngineReport, requestedAt time.Time) {
	if requestedAt.After(l.reportRequestedAt) {
		l.report, l.reportRequestedAt = report, requestedAt
	}
}

// HandleAcknowledgement notes that the engine accepted an order.
func (l *Ledger) HandleAcknowledgement(order crocushollow.Order, now time.Time) {
	if p, found := l.progress[order.Weights.Label()]; found && p.orderID == order.ID {
		p.acknowledgedAt = now
	}
}

// Decide returns the next records and orders for the upstream.
func (l *Ledger) Decide(in Input) Decision {
	var decision Decision
	l.prune(in.Residencies)
	for _, residency := range in.Residencies {
		l.advance(in, residency, &decision)
	}
	l.addUnknown(in, &decision)
	l.startLoads(in, &decision)
	return decision
}

// prune removes the progress of weights that have no residency.
func (l *Ledger) prune(residencies []crocushollow.Residency) {
	for label := range l.progress {
		if !slices.ContainsFunc(residencies, func(r crocushollow.Residency) bool { return r.Weights.Label() == label }) {
			delete(l.progress, label)
		}
	}
}

// advance decides the next step for one residency.
func (l *Ledger) advance(in Input, residency crocushollow.Residency, decision *Decision) {
	p := l.progressOf(residency, in.Now)
	switch residency.State {
	case crocushollow.Loading:
		l.advanceLoading(in, residency, p, decision)
	case crocushollow.Resident:
		l.advanceResident(in, residency, p, decision)
	case crocushollow.Unloading:
		l.advanceUnloading(in, residency, p, decision)
	case crocushollow.Absent:
	}
}

// progressOf returns the progress of a residency. A new fencing token starts a new
// order.
func (l *Ledger) progressOf(residency crocushollow.Residency, now time.Time) *progress {
	label := residency.Weights.Label()
	p, found := l.progress[label]
	if !found || p.fencingToken != residency.FencingToken {
		p = &progress{fencingToken: residency.FencingToken, orderID: crocushollow.NewID(), startedAt: now}
		l.progress[label] = p
	}
	return p
}

func (l *Ledger) advanceLoading(in Input, residency crocushollow.Residency, p *progress, decision *Decision) {
	if l.reportRequestedAt.After(p.startedAt) && containsWeights(l.report.Loaded, residency.Weights) {
		l.publish(in, residency, crocushollow.Resident, p, decision)
		return
	}
	if wanted := !in.HasTarget || containsWeights(in.Target, residency.Weights); !wanted {
		l.publish(in, residency, crocushollow.Unloading, p, decision)
		return
	}
	if !containsWeights(l.report.Loading, residency.Weights) || l.reportRequestedAt.Before(p.sentAt) {
		l.addOrder(in, residency, p, false, decision)
	}
}

func (l *Ledger) advanceResident(in Input, residency crocushollow.Residency, p *progress, decision *Decision) {
	if l.reportRequestedAt.After(p.startedAt) && !containsWeights(l.report.Loaded, residency.Weights) {
		// The engine has restarted or dropped the weights.
		l.publish(in, residency, crocushollow.Loading, p, decision)
		return
	}
	if in.HasTarget && !containsWeights(in.Target, residency.Weights) {
		l.publish(in, residency, crocushollow.Unloading, p, decision)
	}
}

// advanceUnloading frees the memory once a report that was requested after the
// acknowledgement shows that the weights are absent.
func (l *Ledger) advanceUnloading(in Input, residency crocushollow.Residency, p *progress, decision *Decision) {
	if in.Now.Sub(p.startedAt) < drainDelay {
		return
	}
	if p.acknowledgedAt.IsZero() || !l.reportRequestedAt.After(p.acknowledgedAt) || l.isPresent(residency.Weights) {
		p.absentSince = time.Time{}
		l.addOrder(in, residency, p, true, decision)
		return
	}
	if p.absentSince.IsZero() {
		p.absentSince = in.Now
	}
	if in.Upstream.ChecksFencingToken || in.Now.Sub(p.absentSince) >= lateOrderDelay {
		l.publish(in, residency, crocushollow.Absent, p, decision)
	}
}

// isPresent reports whether the latest report contains the weights.
func (l *Ledger) isPresent(weights crocushollow.Weights) bool {
	return containsWeights(l.report.Loaded, weights) || containsWeights(l.report.Loading, weights)
}

// publish adds a state change to the decision, at most once per retry interval.
func (l *Ledger) publish(in Input, residency crocushollow.Residency, state crocushollow.ResidencyState, p *progress, decision *Decision) {
	if in.Now.Sub(p.publishedAt) < retryInterval {
		return
	}
	p.publishedAt = in.Now
	residency.State = state
	residency.Term = in.Term
	decision.Publish = append(decision.Publish, residency)
}

// addOrder adds an order to the decision. An order without effect is added again
// after the retry interval.
func (l *Ledger) addOrder(in Input, residency crocushollow.Residency, p *progress, unload bool, decision *Decision) {
	if in.Now.Sub(p.sentAt) < retryInterval || l.reportRequestedAt.IsZero() {
		return
	}
	p.sentAt = in.Now
	decision.Orders = append(decision.Orders, crocushollow.Order{
		ID:           p.orderID,
		Weights:      residency.Weights,
		Unload:       unload,
		FencingToken: residency.FencingToken,
		Incarnation:  l.report.Incarnation,
	})
}

// addUnknown publishes residencies for weights that the engine reports but the log
// does not contain, for example after a delayed order.
func (l *Ledger) addUnknown(in Input, decision *Decision) {
	for _, weights := range l.unknown(in.Residencies) {
		if in.Now.Sub(l.addedAt[weights.Label()]) < retryInterval {
			continue
		}
		l.addedAt[weights.Label()] = in.Now
		state := crocushollow.Unloading
		if containsWeights(in.Target, weights) && containsWeights(l.report.Loaded, weights) {
			state = crocushollow.Resident
		}
		decision.Publish = append(decision.Publish, crocushollow.Residency{
			Upstream: in.Upstream.ID, Weights: weights, State: state, Term: in.Term,
		})
	}
}

// unknown returns the weights that the engine reports but that have no residency.
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

// startLoads publishes residencies that reserve memory for target weights that
// fit.
func (l *Ledger) startLoads(in Input, decision *Decision) {
	if l.reportRequestedAt.IsZero() || in.Now.Sub(l.reportRequestedAt) > maxReportAge {
		return
	}
	free := in.Upstream.MemoryBytes - l.ReservedBytes(in.Residencies)
	for _, weights := range in.Target {
		if l.isKnown(in.Residencies, weights) || weights.MemoryBytes > free || !hasBase(in.Residencies, weights) {
			continue
		}
		if in.Now.Sub(l.addedAt[weights.Label()]) < retryInterval {
			continue
		}
		if !in.LoadPermit() {
			return
		}
		l.addedAt[weights.Label()] = in.Now
		free -= weights.MemoryBytes
		decision.Publish = append(decision.Publish, crocushollow.Residency{
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

func containsWeights(list []crocushollow.Weights, weights crocushollow.Weights) bool {
	return slices.ContainsFunc(list, func(w crocushollow.Weights) bool { return w.Label() == weights.Label() })
}
