package aggregator_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/aggregator"
	"github.com/crocushollow/crocushollow/state/allotter"
	"github.com/crocushollow/crocushollow/state/encoder"
	"github.com/crocushollow/crocushollow/state/selector"
)

func TestAggregator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "aggregator")
}

const workspace = "w"

// instance is an instance of the modeled fleet.
type instance struct {
	name        string
	zone        int
	incarnation crocushollow.Incarnation
	startedAt   time.Time
	loads       map[string]selector.Load
	consumed    float64
	// known is the load of all others as this instance has received it.
	known map[string]selector.Load
}

func (i *instance) report(now time.Time) *aggregator.Report {
	loads := make(map[string]selector.Load)
	for upstream, load := range i.loads {
		loads[upstream] = load
	}
	return &aggregator.Report{
		Incarnation: i.incarnation, Uptime: now.Sub(i.startedAt), Loads: loads,
		Uses:   map[string]allotter.Usage{workspace: {Consumed: i.consumed, Demand: 10}},
		Demand: map[string]float64{"m": 1},
	}
}

// fleet is a model of a fleet that knows everything. Each zone has an aggregator.
type fleet struct {
	now         time.Time
	instances   []*instance
	aggregators []*aggregator.Aggregator
	round       int
	// total is the consumption of all instances, including earlier incarnations.
	total float64
}

func newFleet(zones, perZone int) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	for zone := range zones {
		for n := range perZone {
			f.instances = append(f.instances, &instance{
				name: fmt.Sprint(zone, "-", n), zone: zone, incarnation: 1, startedAt: f.now.Add(-time.Minute),
				loads: make(map[string]selector.Load), known: make(map[string]selector.Load),
			})
		}
		f.aggregators = append(f.aggregators, aggregator.New(fmt.Sprint(zone, "-0"), crocushollow.Incarnation(zone+1)))
	}
	return f
}

// refreshRounds is the number of rounds in which every load is sent.
const refreshRounds = 4

// exchange delivers the reports of all instances, and the sums until every load has
// been sent.
func (f *fleet) exchange() {
	for _, i := range f.instances {
		f.aggregators[i.zone].SetReport(i.name, i.report(f.now), f.now)
	}
	for range refreshRounds {
		f.exchangeSums(aggregator.Selection{Uses: true, Demand: true}, true)
	}
}

// exchangeSums runs one round, whose sums may be lost.
func (f *fleet) exchangeSums(selection aggregator.Selection, arrives bool) {
	f.round++
	for zone, a := range f.aggregators {
		a.BeginRound(f.round, refreshRounds)
		sums := a.ZoneSums(selection)
		for other, b := range f.aggregators {
			if other != zone && arrives {
				b.SetZone(fmt.Sprint(zone), &sums, f.now)
			}
		}
	}
	for _, i := range f.instances {
		sums := f.aggregators[i.zone].OtherSums(i.name, selection)
		if !arrives {
			continue
		}
		for upstream, load := range sums.Loads {
			i.known[upstream] = load
		}
	}
	for _, a := range f.aggregators {
		a.EndRound()
	}
}

// loadsOfOthers returns the exact load of all instances but one.
func (f *fleet) loadsOfOthers(excluded *instance) map[string]selector.Load {
	totals := make(map[string]selector.Load)
	for _, i := range f.instances {
		for upstream, load := range i.loads {
			if i != excluded && load.InFlight > 0 {
				totals[upstream] = totals[upstream].Plus(load)
			}
		}
	}
	return totals
}

var _ = Describe("Aggregator", func() {
	It("counts every load once, whatever was lost or repeated before", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 5).Draw(t, "per zone"))
			f.exchange()
			for range rapid.IntRange(0, 30).Draw(t, "steps") {
				i := rapid.SampledFrom(f.instances).Draw(t, "instance")
				upstream := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream")
				load := selector.Load{InFlight: rapid.IntRange(0, 3).Draw(t, "in flight")}
				i.loads[upstream] = load
				if rapid.Bool().Draw(t, "arrives") {
					f.aggregators[i.zone].UpdateLoads(i.name, map[string]selector.Load{upstream: load})
				}
				if rapid.Bool().Draw(t, "exchanges") {
					f.exchangeSums(aggregator.Selection{}, rapid.Bool().Draw(t, "digest arrives"))
				}
			}
			f.exchange()
			// What one zone sends in a round reaches the instances of others in the next.
			for range refreshRounds {
				f.exchangeSums(aggregator.Selection{}, true)
			}
			for _, i := range f.instances {
				for _, upstream := range []string{"a", "b", "c"} {
					if known, exact := i.known[upstream], f.loadsOfOthers(i)[upstream]; known != exact {
						t.Fatalf("%s on %s: %v, exact %v", i.name, upstream, known, exact)
					}
				}
			}
		})
	})

	It("tells that a load has ended although the messages are lost for several repeats", func() {
		f := newFleet(2, 2)
		f.instances[3].loads["a"] = selector.Load{InFlight: 5}
		f.exchange()
		f.exchangeSums(aggregator.Selection{}, true)
		Expect(f.instances[0].known).To(HaveKeyWithValue("a", selector.Load{InFlight: 5}))
		f.instances[3].loads["a"] = selector.Load{}
		f.aggregators[1].UpdateLoads(f.instances[3].name, f.instances[3].loads)
		for range 6 * refreshRounds {
			f.exchangeSums(aggregator.Selection{}, false)
		}
		for range 2 * refreshRounds {
			f.exchangeSums(aggregator.Selection{}, true)
		}
		Expect(f.instances[0].known).To(HaveKeyWithValue("a", selector.Load{}))
	})

	It("counts all consumption once while reports are lost and instances restart", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet(rapid.IntRange(1, 3).Draw(t, "zones"), rapid.IntRange(1, 4).Draw(t, "per zone"))
			observer := f.instances[0]
			f.exchange()
			selection := aggregator.Selection{Uses: true}
			before := f.aggregators[0].OtherSums(observer.name, selection).Uses[workspace].Consumed
			for range rapid.IntRange(0, 30).Draw(t, "steps") {
				f.now = f.now.Add(100 * time.Millisecond)
				i := rapid.SampledFrom(f.instances).Draw(t, "instance")
				tokens := float64(rapid.IntRange(0, 100).Draw(t, "tokens"))
				i.consumed += tokens
				if i != observer {
					f.total += tokens
				}
				if rapid.Bool().Draw(t, "arrives") {
					f.aggregators[i.zone].SetReport(i.name, i.report(f.now), f.now)
				}
				if rapid.Bool().Draw(t, "exchanges") {
					f.exchangeSums(selection, true)
				}
			}
			f.exchange()
			counted := f.aggregators[0].OtherSums(observer.name, selection).Uses[workspace].Consumed - before
			if counted != f.total {
				t.Fatalf("counted %v of %v", counted, f.total)
			}
		})
	})

	selection := aggregator.Selection{Uses: true}
	consumed := func(f *fleet, excluded string) float64 {
		return f.aggregators[0].OtherSums(excluded, selection).Uses[workspace].Consumed
	}

	It("counts what a restarted instance has consumed since its start", func() {
		f := newFleet(1, 3)
		f.instances[1].consumed = 500
		f.exchange()
		before := consumed(f, "0-0")
		f.instances[1].incarnation, f.instances[1].consumed = 2, 40
		f.exchange()
		Expect(consumed(f, "0-0") - before).To(Equal(40.0))
	})

	It("does not count what an older instance consumed before the term", func() {
		f := newFleet(1, 3)
		f.instances[1].consumed = 500
		f.exchange()
		Expect(consumed(f, "0-0")).To(BeZero())
	})

	It("keeps the consumption of a removed instance", func() {
		f := newFleet(1, 3)
		f.exchange()
		f.instances[1].consumed = 70
		f.exchange()
		f.aggregators[0].Remove("0-1")
		Expect(consumed(f, "0-0")).To(Equal(70.0))
	})

	It("estimates the consumption of a zone while its aggregator changes", func() {
		f := newFleet(2, 2)
		f.exchange()
		f.now = f.now.Add(time.Second)
		f.instances[2].consumed = 100
		f.exchange()
		before := consumed(f, "0-0")
		// The zone consumes 100 tokens a second. Its new aggregator counts from 0.
		f.now = f.now.Add(time.Second)
		f.instances[2].consumed = 200
		f.aggregators[1] = aggregator.New("1-1", 99)
		f.exchange()
		Expect(consumed(f, "0-0") - before).To(BeNumerically("~", 100, 1))
		f.now = f.now.Add(time.Second)
		f.instances[2].consumed = 250
		f.exchange()
		Expect(consumed(f, "0-0") - before).To(BeNumerically("~", 150, 1))
	})

	It("drops the loads of an instance that has fallen silent", func() {
		f := newFleet(1, 3)
		f.instances[1].loads["a"] = selector.Load{InFlight: 5}
		f.exchange()
		Expect(f.instances[0].known).To(HaveKeyWithValue("a", selector.Load{InFlight: 5}))
		f.now = f.now.Add(3 * time.Second)
		f.aggregators[0].Expire(f.now)
		f.exchangeSums(aggregator.Selection{}, true)
		Expect(f.instances[0].known).To(HaveKeyWithValue("a", selector.Load{}))
	})

	It("sends the loads of thousands of upstreams in messages that fit into a datagram", func() {
		f := newFleet(2, 2)
		for u := range 3000 {
			f.instances[3].loads[fmt.Sprint("i-5f0c", u)] = selector.Load{InFlight: 40, WaitingTokens: 4000.5, CacheTokens: 90000.25}
		}
		f.aggregators[1].SetReport(f.instances[3].name, f.instances[3].report(f.now), f.now)
		for range 24 {
			f.exchangeSums(aggregator.Selection{Uses: true}, true)
			f.aggregators[1].BeginRound(f.round, refreshRounds)
			sums := f.aggregators[1].ZoneSums(aggregator.Selection{Uses: true})
			payload, err := encoder.Encode(&sums)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(payload)).To(BeNumerically("<", 48<<10))
		}
		Expect(f.instances[0].known).To(HaveLen(3000))
	})

	It("sums up the demand of all other instances", func() {
		f := newFleet(3, 4)
		f.exchange()
		demand := f.aggregators[0].OtherSums("0-0", aggregator.Selection{Demand: true}).Demand
		Expect(demand).To(HaveKeyWithValue("m", 11.0))
	})
})
