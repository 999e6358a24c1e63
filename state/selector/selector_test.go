package selector_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/selector"
)

func TestSelector(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "selector")
}

var start = time.Unix(1000, 0)

func table() *catalog.Catalog {
	c, err := catalog.New(catalog.Config{Services: []catalog.Service{
		{Name: "writer", ColdStart: 3 * time.Second, ColdRateLimit: 10, Engine: &catalog.EngineSpec{Slots: 64, KVCacheTokens: 140000}},
		{Name: "desk"},
	}})
	if err != nil {
		panic(err)
	}
	return c
}

func engine(id, zone string, holdings ...catalog.LoadedModel) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Service: "writer", AvailabilityZone: zone, Address: id, Slots: 64, LoadedModels: holdings}
}

func site(upstreams ...*catalog.Upstream) selector.Topology {
	byID := make(map[string]*catalog.Upstream)
	for _, u := range upstreams {
		byID[u.ID] = u
	}
	return selector.Topology{Catalog: table(), Upstreams: byID}
}

func newSelector(s selector.Topology, coldShare int) *selector.Selector {
	created := selector.New(selector.Config{
		AvailabilityZone: "za",
		ColdRateShare:    func(*catalog.Service, string) int { return coldShare },
		OnLoadChange:     func() {},
	})
	created.SetTopology(s)
	return created
}

func need(model, adapter string) *selector.Request {
	return &selector.Request{Service: "writer", Model: model, Adapter: adapter, PromptTokens: 2000, OutputTokens: 100}
}

var m0 = catalog.LoadedModel{Model: "m0", Adapters: []string{"a1"}}

var _ = Describe("Selector", func() {
	It("reports why no upstream can accept a request", func() {
		s := newSelector(site(engine("e1", "za", m0)), 5)
		for _, c := range []struct {
			need *selector.Request
			want selector.Result
		}{
			{need("m0", "a1"), selector.Chosen},
			{need("m0", "a2"), selector.AdapterAbsent},
			{need("m1", ""), selector.ModelAbsent},
			{&selector.Request{Service: "desk"}, selector.NoUpstream},
		} {
			_, verdict := s.Choose(c.need, start)
			Expect(verdict).To(Equal(c.want))
		}
	})

	It("sends nothing to draining upstreams or to zones out of service", func() {
		leaving := engine("e1", "za", m0)
		leaving.IsDraining = true
		s := newSelector(site(leaving), 5)
		_, verdict := s.Choose(need("m0", ""), start)
		Expect(verdict).To(Equal(selector.NoUpstream))
		out := site(engine("e1", "za", m0))
		out.ZonesOutOfService = map[string]bool{"za": true}
		s.SetTopology(out)
		_, verdict = s.Choose(need("m0", ""), start)
		Expect(verdict).To(Equal(selector.NoUpstream))
	})

	It("bounds the prompt tokens that wait at an engine, including those of peers", func() {
		s := newSelector(site(engine("e1", "za", m0)), 100)
		for _, want := range []selector.Result{selector.Chosen, selector.Chosen, selector.Busy} {
			_, verdict := s.Choose(need("m0", ""), start)
			Expect(verdict).To(Equal(want))
		}
		other := newSelector(site(engine("e1", "za", m0)), 100)
		other.SetPeerLoads("node-2", s.Loads(), start)
		_, verdict := other.Choose(need("m0", ""), start)
		Expect(verdict).To(Equal(selector.Busy))
	})

	It("applies the load changes that a peer reports", func() {
		s := newSelector(site(engine("e1", "za", m0), engine("e2", "za", m0)), 100)
		hold, _ := s.Choose(need("m0", ""), start)
		told := newSelector(site(engine("e1", "za", m0), engine("e2", "za", m0)), 100)
		told.SetPeerLoads("node-2", nil, start)
		told.UpdatePeerLoads("node-2", s.LoadChanges(), start)
		other, _ := told.Choose(need("m0", ""), start)
		Expect(other.Upstream.ID).NotTo(Equal(hold.Upstream.ID))
		hold.Release(selector.Served, start)
		told.UpdatePeerLoads("node-2", s.LoadChanges(), start)
		Expect(s.LoadChanges()).To(BeEmpty())
	})

	It("ignores the load of a peer that has stopped reporting", func() {
		s := newSelector(site(engine("e1", "za", m0)), 100)
		s.SetPeerLoads("node-2", map[string]selector.Load{"e1": {InFlight: 60, WaitingTokens: 9000}}, start)
		_, verdict := s.Choose(need("m0", ""), start)
		Expect(verdict).To(Equal(selector.Busy))
		s.SetPeerLoads("node-3", nil, start.Add(3*time.Second))
		_, verdict = s.Choose(need("m0", ""), start.Add(3*time.Second))
		Expect(verdict).To(Equal(selector.Chosen))
	})

	It("counts the load of a peer once, however often it is reported", func() {
		s := newSelector(site(engine("e1", "za", m0)), 100)
		for n := range 50 {
			now := start.Add(time.Duration(n) * 10 * time.Millisecond)
			s.SetPeerLoads("node-2", map[string]selector.Load{"e1": {InFlight: 30, WaitingTokens: 1000}}, now)
			s.SetPeerLoads("node-3", map[string]selector.Load{"e1": {InFlight: 20, WaitingTokens: 1000}}, now)
		}
		_, verdict := s.Choose(need("m0", ""), start.Add(time.Second/2))
		Expect(verdict).To(Equal(selector.Chosen))
	})

	It("frees the waiting tokens at the first byte and the slot at the end", func() {
		s := newSelector(site(engine("e1", "za", m0)), 100)
		first, _ := s.Choose(need("m0", ""), start)
		second, _ := s.Choose(need("m0", ""), start)
		first.MarkFirstByte()
		_, verdict := s.Choose(need("m0", ""), start)
		Expect(verdict).To(Equal(selector.Chosen))
		first.Release(selector.Served, start)
		first.Release(selector.Served, start)
		second.Release(selector.Served, start)
		Expect(s.Loads()["e1"].InFlight).To(Equal(1))
	})

	It("prefers the engine that has cached a prefix of the prompt", func() {
		engines := make([]*catalog.Upstream, 6)
		for i := range engines {
			engines[i] = engine(fmt.Sprint("e", i), "za", m0)
		}
		s := newSelector(site(engines...), 100)
		n := need("m0", "")
		n.Prefixes = []selector.Prefix{{Hash: 7, Tokens: 500}, {Hash: 8, Tokens: 1500}, {Hash: 9, Tokens: 2000}}
		first, _ := s.Choose(n, start)
		first.MarkFirstByte()
		n.Prefixes[2].Hash = 10
		second, _ := s.Choose(n, start)
		Expect(second.Upstream.ID).To(Equal(first.Upstream.ID))
	})

	It("sends a cold engine no more requests per second than its share of the limit", func() {
		cold := engine("e1", "za", m0)
		cold.ColdUntil = start.Add(3 * time.Second)
		s := newSelector(site(cold), 2)
		sent := 0
		for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(20 * time.Millisecond) {
			if hold, verdict := s.Choose(need("m0", ""), now); verdict == selector.Chosen {
				sent++
				hold.Release(selector.Served, now)
			}
		}
		Expect(sent).To(Equal(4))
	})

	It("treats the engines of a zone that has just returned to service as cold", func() {
		back := site(engine("e1", "za", m0))
		back.ZonesRestoredAt = map[string]time.Time{"za": start}
		s := newSelector(back, 1)
		hold, _ := s.Choose(need("m0", ""), start)
		hold.Release(selector.Served, start)
		_, verdict := s.Choose(need("m0", ""), start)
		Expect(verdict).To(Equal(selector.Busy))
		_, verdict = s.Choose(need("m0", ""), start.Add(5*time.Second))
		Expect(verdict).To(Equal(selector.Chosen))
	})

	It("backs off from an upstream that cannot be reached", func() {
		s := newSelector(site(engine("e1", "za", m0)), 100)
		hold, _ := s.Choose(need("m0", ""), start)
		hold.Release(selector.Unreachable, start)
		_, verdict := s.Choose(need("m0", ""), start.Add(50*time.Millisecond))
		Expect(verdict).To(Equal(selector.Busy))
		_, verdict = s.Choose(need("m0", ""), start.Add(time.Second))
		Expect(verdict).To(Equal(selector.Chosen))
	})

	It("prefers an upstream that does not fail", func() {
		s := newSelector(site(engine("e1", "za", m0), engine("e2", "za", m0)), 100)
		hold, _ := s.Choose(need("m0", ""), start)
		failing := hold.Upstream.ID
		hold.Release(selector.Failed, start)
		for range 5 {
			hold, _ = s.Choose(need("m0", ""), start)
			Expect(hold.Upstream.ID).NotTo(Equal(failing))
			hold.Release(selector.Served, start)
		}
	})

	It("prefers an upstream in the same availability zone among those with equal load", func() {
		s := newSelector(site(engine("e1", "zb", m0), engine("e9", "zb", m0), engine("e5", "za", m0)), 100)
		local := 0
		for n := range uint64(40) {
			asked := need("m0", "")
			asked.Prefixes = []selector.Prefix{{Hash: n * 7919, Tokens: 10}, {Hash: n * 104729, Tokens: 20}}
			hold, _ := s.Choose(asked, start)
			if hold.Upstream.ID == "e5" {
				local++
			}
			hold.Release(selector.Served, start)
		}
		Expect(local).To(BeNumerically(">", 40/3))
	})

	It("discards the load of an engine that has restarted", func() {
		s := newSelector(site(engine("e1", "za", m0)), 100)
		_, _ = s.Choose(need("m0", ""), start)
		reborn := engine("e1", "za", m0)
		reborn.StartUnixMilli = 5
		s.SetTopology(site(reborn))
		Expect(s.Loads()).To(BeEmpty())
	})
})

// BenchmarkPeerLoadsOf76 measures load updates from 76 peers with 60 engines.
func BenchmarkPeerLoadsOf76(b *testing.B) {
	engines := make([]*catalog.Upstream, 60)
	loads := make(map[string]selector.Load)
	for i := range engines {
		engines[i] = engine(fmt.Sprint("e", i), "za", m0)
		loads[fmt.Sprint("e", i)] = selector.Load{InFlight: 1, WaitingTokens: 100}
	}
	s := newSelector(site(engines...), 100)
	now := start
	for n := range 76 {
		s.SetPeerLoads(fmt.Sprint("node-", n), loads, now)
	}
	for n := 0; b.Loop(); n++ {
		now = now.Add(7 * time.Millisecond)
		s.SetPeerLoads(fmt.Sprint("node-", n%76), loads, now)
	}
}

// BenchmarkChooseOf90 measures a selection among 90 engines.
func BenchmarkChooseOf90(b *testing.B) {
	engines := make([]*catalog.Upstream, 90)
	for i := range engines {
		engines[i] = engine(fmt.Sprint("e", i), "za", m0, catalog.LoadedModel{Model: "m1"}, catalog.LoadedModel{Model: "m2"})
	}
	s := newSelector(site(engines...), 100)
	n := need("m0", "a1")
	for b.Loop() {
		hold, _ := s.Choose(n, start)
		hold.MarkFirstByte()
		hold.Release(selector.Served, start)
	}
}
