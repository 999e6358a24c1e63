package reserver_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/standin/propertytester"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/reserver"
)

func TestReserver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reserver")
}

const (
	memory = 10
	// maxDelay is the maximum delay of an order to an engine that does not check
	// fencing tokens according to its row.
	maxDelay = 6 * time.Second
)

// engine simulates an engine and the orders in flight to it.
type engine struct {
	incarnation  int
	fencingToken uint64
	checksToken  bool
	loaded       map[string]crocushollow.Weights
	loading      map[string]crocushollow.Weights
	orders       []sentOrder
}

type sentOrder struct {
	order crocushollow.Order
	at    time.Time
	from  *owner
}

// owner is an instance that acts as the owner of the upstream, even if it no longer
// is.
type owner struct {
	memberID crocushollow.MemberID
	term     uint64
	ledger   *reserver.Ledger
}

// simulation is one upstream with its engine and its successive owners.
type simulation struct {
	now    time.Time
	state  *applier.State
	engine engine
	owners []*owner
	target []crocushollow.Weights
	row    crocushollow.Upstream
}

func newSimulation(declaresCheck, checksToken bool) *simulation {
	s := &simulation{now: time.Unix(1000, 0), state: applier.New(), engine: engine{checksToken: checksToken}}
	s.engine.restart()
	zone := crocushollow.AvailabilityZone{ID: "z", InService: true}
	s.row = crocushollow.Upstream{
		ID: "u", Kind: crocushollow.EngineUpstream, Address: "127.0.0.1:1", AvailabilityZone: "z",
		MemoryBytes: memory, MaxInFlight: 1, ColdMaxInFlight: 1, ChecksFencingToken: declaresCheck,
	}
	for _, row := range []crocushollow.Row{zone, s.row} {
		s.publish(crocushollow.Record{Edits: []crocushollow.Edit{{
			ID: crocushollow.NewID(), Ref: row.Ref(), Value: crocushollow.NewRowValue(row),
		}}})
	}
	s.changeOwner()
	return s
}

func (s *simulation) publish(record crocushollow.Record) {
	record.ID = crocushollow.NewID()
	s.state, _ = s.state.WithBatch(s.state.NextOffset(), crocushollow.Batch{Records: []crocushollow.Record{record}})
}

// changeOwner makes a new instance the owner of the upstream.
func (s *simulation) changeOwner() {
	memberID := crocushollow.MemberID{Instance: "i", Incarnation: crocushollow.Incarnation(len(s.owners) + 1)}
	shard := crocushollow.ShardOf(s.row.ID)
	s.publish(crocushollow.Record{Joins: []crocushollow.Member{{ID: memberID.Instance, Incarnation: memberID.Incarnation}}})
	s.publish(crocushollow.Record{Author: memberID, ShardClaims: []crocushollow.ShardClaim{
		{Shard: shard, Owner: memberID, PreviousTerm: s.state.Ownership(shard).Term},
	}})
	s.owners = append(s.owners, &owner{memberID: memberID, term: s.state.Ownership(shard).Term, ledger: reserver.New()})
}

// decide makes an owner, possibly a former one, take its next step.
func (s *simulation) decide(o *owner) {
	decision := o.ledger.Decide(reserver.Input{
		Upstream: s.row, Term: o.term, Residencies: s.state.Residencies(s.row.ID),
		Target: s.target, HasTarget: true, LoadPermit: func() bool { return true }, Now: s.now,
	})
	if len(decision.Publish) > 0 {
		s.publish(crocushollow.Record{Author: o.memberID, Residencies: decision.Publish})
	}
	for _, order := range decision.Orders {
		s.engine.orders = append(s.engine.orders, sentOrder{order: order, at: s.now, from: o})
	}
}

func (e *engine) restart() {
	e.incarnation++
	e.loaded = make(map[string]crocushollow.Weights)
	e.loading = make(map[string]crocushollow.Weights)
}

func (e *engine) report() crocushollow.EngineReport {
	report := crocushollow.EngineReport{Incarnation: fmt.Sprint(e.incarnation)}
	for _, weights := range e.loaded {
		report.Loaded = append(report.Loaded, weights)
	}
	for _, weights := range e.loading {
		report.Loading = append(report.Loading, weights)
	}
	return report
}

// execute executes an order that has arrived.
func (e *engine) execute(sent sentOrder, now time.Time) {
	order := sent.order
	if e.checksToken && order.FencingToken < e.fencingToken {
		return
	}
	e.fencingToken = max(e.fencingToken, order.FencingToken)
	label := order.Weights.Label()
	if order.Unload {
		delete(e.loaded, label)
		delete(e.loading, label)
	} else if _, loaded := e.loaded[label]; !loaded {
		e.loading[label] = order.Weights
	}
	sent.from.ledger.HandleAcknowledgement(order, now)
}

// executeRecent executes the orders that were just sent. They stay in flight, so
// that they may arrive again.
func (e *engine) executeRecent(now time.Time) {
	for _, sent := range e.orders {
		if now.Sub(sent.at) < 250*time.Millisecond {
			e.execute(sent, now)
		}
	}
}

func (e *engine) finishLoads() {
	for label, weights := range e.loading {
		e.loaded[label] = weights
		delete(e.loading, label)
	}
}

// check asserts that weights never exceed the engine's memory.
func (e *engine) check(t *rapid.T) {
	var used int64
	for _, weights := range e.loaded {
		used += weights.MemoryBytes
	}
	for _, weights := range e.loading {
		used += weights.MemoryBytes
	}
	if used > memory {
		t.Fatalf("%d bytes of weights in %d bytes of memory", used, memory)
	}
}

// memoryHolds drives an engine through lost, late and repeated orders. The row
// declares whether the engine checks fencing tokens, which may be wrong.
func memoryHolds(declaresCheck, checksToken bool) func(*rapid.T) {
	return func(t *rapid.T) {
		s := newSimulation(declaresCheck, checksToken)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				s.now = s.now.Add(rapid.SampledFrom([]time.Duration{2100, 300, 6000}).Draw(t, "ms") * time.Millisecond)
			},
			"retarget": func(t *rapid.T) {
				s.target = nil
				for _, size := range rapid.SampledFrom([][]int64{{6}, {7}, {3, 5}, {3, 5, 6}}).Draw(t, "sizes") {
					s.target = append(s.target, crocushollow.Weights{Name: fmt.Sprint(size), Version: "1", MemoryBytes: size})
				}
			},
			"report": func(t *rapid.T) {
				o := rapid.SampledFrom(s.owners).Draw(t, "owner")
				o.ledger.HandleReport(s.engine.report(), s.now)
			},
			"decide": func(t *rapid.T) { s.decide(rapid.SampledFrom(s.owners).Draw(t, "owner")) },
			"run": func(t *rapid.T) {
				o := s.owners[len(s.owners)-1]
				for range rapid.SampledFrom([]int{18, 3}).Draw(t, "steps") {
					s.now = s.now.Add(250 * time.Millisecond)
					o.ledger.HandleReport(s.engine.report(), s.now)
					s.decide(o)
					s.engine.executeRecent(s.now)
					s.engine.finishLoads()
				}
			},
			"deliver": func(t *rapid.T) {
				if len(s.engine.orders) == 0 {
					t.Skip("no order in flight")
				}
				i := rapid.IntRange(0, len(s.engine.orders)-1).Draw(t, "order")
				sent := s.engine.orders[i]
				if !rapid.Bool().Draw(t, "repeat") {
					s.engine.orders = append(s.engine.orders[:i], s.engine.orders[i+1:]...)
				}
				if declaresCheck || s.now.Sub(sent.at) <= maxDelay {
					s.engine.execute(sent, s.now)
				}
			},
			"finish loads": func(*rapid.T) { s.engine.finishLoads() },
			"restart":      func(*rapid.T) { s.engine.restart() },
			"change owner": func(*rapid.T) { s.changeOwner() },
			"":             s.engine.check,
		})
	}
}

var _ = Describe("the memory of an engine", func() {
	It("is never overcommitted when the engine checks fencing tokens", func() {
		propertytester.Check(GinkgoT(), memoryHolds(true, true))
	})

	It("is never overcommitted when the engine ignores fencing tokens", func() {
		propertytester.Check(GinkgoT(), memoryHolds(false, false))
	})

	It("is overcommitted when a row wrongly declares that the engine checks fencing tokens", func() {
		Expect(propertytester.FindFailure(memoryHolds(true, false))).To(ContainSubstring("bytes of memory"))
	})
})
