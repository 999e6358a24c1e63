package reserver_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/standin/prover"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/reserver"
)

func TestReserver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reserver")
}

const (
	memory = 10
	// maxDelay is the maximum delay of an order to an engine whose row says
	// that it does not check fencing tokens.
	longestDelay = 6 * time.Second
)

// engine simulates an engine and the orders in flight to it.
type engine struct {
	incarnation int
	fencing     uint64
	checks      bool
	loaded      map[string]crocushollow.Weights
	loading     map[string]crocushollow.Weights
	orders      []sentOrder
}

type sentOrder struct {
	order crocushollow.Order
	at    time.Time
	from  *holder
}

// owner is an instance that believes that it owns the upstream.
type holder struct {
	life   crocushollow.MemberID
	term   uint64
	ledger *reserver.Ledger
}

// simulation is one upstream with its engine and its successive owners.
type world struct {
	now     time.Time
	state   *applier.State
	engine  engine
	holders []*holder
	target  []crocushollow.Weights
	row     crocushollow.Upstream
}

func newWorld(said, checks bool) *world {
	w := &world{now: time.Unix(1000, 0), state: applier.New(), engine: engine{checks: checks}}
	w.engine.restart()
	zone := crocushollow.AvailabilityZone{ID: "z", InService: true}
	w.row = crocushollow.Upstream{
		ID: "u", Kind: crocushollow.EngineUpstream, Address: "127.0.0.1:1", AvailabilityZone: "z",
		MemoryBytes: memory, MaxInFlight: 1, ColdMaxInFlight: 1, ChecksFencingToken: said,
	}
	for _, row := range []crocushollow.Row{zone, w.row} {
		w.publish(crocushollow.Record{Edits: []crocushollow.Edit{{
			ID: crocushollow.NewID(), Ref: row.Ref(), Value: crocushollow.NewRowValue(row),
		}}})
	}
	w.changeHolder()
	return w
}

func (w *world) publish(record crocushollow.Record) {
	record.ID = crocushollow.NewID()
	w.state, _ = w.state.WithBatch(w.state.NextOffset(), crocushollow.Batch{Records: []crocushollow.Record{record}})
}

// changeOwner makes a new instance the owner of the upstream.
func (w *world) changeHolder() {
	life := crocushollow.MemberID{Instance: "i", Incarnation: crocushollow.Incarnation(len(w.holders) + 1)}
	shard := crocushollow.ShardOf(w.row.ID)
	w.publish(crocushollow.Record{Joins: []crocushollow.Member{{ID: life.Instance, Incarnation: life.Incarnation}}})
	w.publish(crocushollow.Record{Author: life, ShardClaims: []crocushollow.ShardClaim{
		{Shard: shard, Owner: life, PreviousTerm: w.state.Ownership(shard).Term},
	}})
	w.holders = append(w.holders, &holder{life: life, term: w.state.Ownership(shard).Term, ledger: reserver.New()})
}

// decide makes an owner, possibly a former one, take its next step.
func (w *world) decide(h *holder) {
	step := h.ledger.Decide(reserver.Input{
		Upstream: w.row, Term: h.term, Residencies: w.state.Residencies(w.row.ID),
		Target: w.target, HasTarget: true, LoadPermit: func() bool { return true }, Now: w.now,
	})
	if len(step.Publish) > 0 {
		w.publish(crocushollow.Record{Author: h.life, Residencies: step.Publish})
	}
	for _, order := range step.Orders {
		w.engine.orders = append(w.engine.orders, sentOrder{order: order, at: w.now, from: h})
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
func (e *engine) take(sent sentOrder, now time.Time) {
	order := sent.order
	if e.checks && order.FencingToken < e.fencing {
		return
	}
	e.fencing = max(e.fencing, order.FencingToken)
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
func (e *engine) takeRecent(now time.Time) {
	for _, sent := range e.orders {
		if now.Sub(sent.at) < 250*time.Millisecond {
			e.take(sent, now)
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
func memoryHolds(said, checks bool) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(said, checks)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				w.now = w.now.Add(rapid.SampledFrom([]time.Duration{2100, 300, 6000}).Draw(t, "ms") * time.Millisecond)
			},
			"retarget": func(t *rapid.T) {
				w.target = nil
				for _, size := range rapid.SampledFrom([][]int64{{6}, {7}, {3, 5}, {3, 5, 6}}).Draw(t, "sizes") {
					w.target = append(w.target, crocushollow.Weights{Name: fmt.Sprint(size), Version: "1", MemoryBytes: size})
				}
			},
			"report": func(t *rapid.T) {
				h := rapid.SampledFrom(w.holders).Draw(t, "holder")
				h.ledger.HandleReport(w.engine.report(), w.now)
			},
			"decide": func(t *rapid.T) { w.decide(rapid.SampledFrom(w.holders).Draw(t, "holder")) },
			"run": func(t *rapid.T) {
				h := w.holders[len(w.holders)-1]
				for range rapid.SampledFrom([]int{18, 3}).Draw(t, "steps") {
					w.now = w.now.Add(250 * time.Millisecond)
					h.ledger.HandleReport(w.engine.report(), w.now)
					w.decide(h)
					w.engine.takeRecent(w.now)
					w.engine.finishLoads()
				}
			},
			"deliver": func(t *rapid.T) {
				if len(w.engine.orders) == 0 {
					t.Skip("no order in flight")
				}
				i := rapid.IntRange(0, len(w.engine.orders)-1).Draw(t, "order")
				sent := w.engine.orders[i]
				if !rapid.Bool().Draw(t, "repeat") {
					w.engine.orders = append(w.engine.orders[:i], w.engine.orders[i+1:]...)
				}
				if said || w.now.Sub(sent.at) <= longestDelay {
					w.engine.take(sent, w.now)
				}
			},
			"finish loads":  func(*rapid.T) { w.engine.finishLoads() },
			"restart":       func(*rapid.T) { w.engine.restart() },
			"change holder": func(*rapid.T) { w.changeHolder() },
			"":              w.engine.check,
		})
	}
}

var _ = Describe("the memory of an engine", func() {
	It("is never overcommitted when the engine checks fencing tokens", func() {
		prover.Hold(GinkgoT(), memoryHolds(true, true))
	})

	It("is never overcommitted when the engine ignores fencing tokens", func() {
		prover.Hold(GinkgoT(), memoryHolds(false, false))
	})

	It("is overcommitted when a row wrongly declares that the engine checks fencing tokens", func() {
		Expect(prover.Refute(memoryHolds(true, false))).To(ContainSubstring("bytes of memory"))
	})
})
