package selector_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/selector"
	"github.com/crocushollow/crocushollow/state/throttler"
)

func TestSelector(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "selector")
}

var start = time.Unix(1000, 0)

func services() *catalog.Catalog {
	c, err := catalog.New(catalog.Config{Services: []catalog.Service{
		{Name: "writer", ColdStart: 3 * time.Second, ColdRateLimit: 10, Engine: &catalog.EngineSpec{Slots: 64, KVCacheTokens: 140000}},
		{Name: "desk"},
	}})
	if err != nil {
		panic(err)
	}
	return c
}

func engine(id, zone string, loaded ...catalog.LoadedModel) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Service: "writer", AvailabilityZone: zone, Address: id, Slots: 64, LoadedModels: loaded}
}

func topology(upstreams ...*catalog.Upstream) selector.Topology {
	byID := make(map[string]*catalog.Upstream)
	for _, u := range upstreams {
		byID[u.ID] = u
	}
	return selector.Topology{Catalog: services(), Upstreams: byID}
}

func newSelector(s selector.Topology, coldRateShare int) *selector.Selector {
	created := selector.New(selector.Config{
		AvailabilityZone: "za",
		ColdRateShare:    func(*catalog.Service, string) int { return coldRateShare },
		OnLoadChange:     func() {}, OnHealthChange: func(selector.HealthChange) {},
		RateLimit: func(*catalog.Upstream) throttler.Limit { return throttler.Limit{} },
	})
	created.SetTopology(s)
	return created
}

func request(model, adapter string) *selector.Request {
	return &selector.Request{Service: "writer", Model: model, Adapter: adapter, PromptTokens: 2000, OutputTokens: 100}
}

var m0 = catalog.LoadedModel{Model: "m0", Adapters: []string{"a1"}}

var _ = Describe("Selector", func() {
	It("reports why no upstream can accept a request", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 5)
		for _, c := range []struct {
			request *selector.Request
			want    selector.Result
		}{
			{request("m0", "a1"), selector.Chosen},
			{request("m0", "a2"), selector.AdapterAbsent},
			{request("m1", ""), selector.ModelAbsent},
			{&selector.Request{Service: "desk"}, selector.NoUpstream},
		} {
			_, result := s.Choose(c.request, start)
			Expect(result).To(Equal(c.want))
		}
	})

	It("sends nothing to draining upstreams or to zones out of service", func() {
		draining := engine("e1", "za", m0)
		draining.IsDraining = true
		s := newSelector(topology(draining), 5)
		_, result := s.Choose(request("m0", ""), start)
		Expect(result).To(Equal(selector.NoUpstream))
		outOfService := topology(engine("e1", "za", m0))
		outOfService.ZonesOutOfService = map[string]bool{"za": true}
		s.SetTopology(outOfService)
		_, result = s.Choose(request("m0", ""), start)
		Expect(result).To(Equal(selector.NoUpstream))
	})

	It("bounds the prompt tokens that wait at an engine, including those of peers", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 100)
		for _, want := range []selector.Result{selector.Chosen, selector.Chosen, selector.Busy} {
			_, result := s.Choose(request("m0", ""), start)
			Expect(result).To(Equal(want))
		}
		other := newSelector(topology(engine("e1", "za", m0)), 100)
		other.SetPeerLoads("node-2", s.Loads(start), start)
		_, result := other.Choose(request("m0", ""), start)
		Expect(result).To(Equal(selector.Busy))
	})

	It("applies the load changes that a peer reports", func() {
		s := newSelector(topology(engine("e1", "za", m0), engine("e2", "za", m0)), 100)
		reservation, _ := s.Choose(request("m0", ""), start)
		receiver := newSelector(topology(engine("e1", "za", m0), engine("e2", "za", m0)), 100)
		receiver.SetPeerLoads("node-2", nil, start)
		receiver.UpdatePeerLoads("node-2", s.LoadChanges(), start)
		other, _ := receiver.Choose(request("m0", ""), start)
		Expect(other.Upstream.ID).NotTo(Equal(reservation.Upstream.ID))
		reservation.Release(selector.Served, start)
		receiver.UpdatePeerLoads("node-2", s.LoadChanges(), start)
		Expect(s.LoadChanges()).To(BeEmpty())
	})

	It("ignores the load of a peer that has stopped reporting", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 100)
		s.SetPeerLoads("node-2", map[string]selector.Load{"e1": {InFlight: 60, WaitingTokens: 9000}}, start)
		_, result := s.Choose(request("m0", ""), start)
		Expect(result).To(Equal(selector.Busy))
		s.SetPeerLoads("node-3", nil, start.Add(3*time.Second))
		_, result = s.Choose(request("m0", ""), start.Add(3*time.Second))
		Expect(result).To(Equal(selector.Chosen))
	})

	It("counts the load of a peer once, however often it is reported", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 100)
		for n := range 50 {
			now := start.Add(time.Duration(n) * 10 * time.Millisecond)
			s.SetPeerLoads("node-2", map[string]selector.Load{"e1": {InFlight: 30, WaitingTokens: 1000}}, now)
			s.SetPeerLoads("node-3", map[string]selector.Load{"e1": {InFlight: 20, WaitingTokens: 1000}}, now)
		}
		_, result := s.Choose(request("m0", ""), start.Add(time.Second/2))
		Expect(result).To(Equal(selector.Chosen))
	})

	It("frees the waiting tokens at the first byte and the slot at the end", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 100)
		first, _ := s.Choose(request("m0", ""), start)
		second, _ := s.Choose(request("m0", ""), start)
		first.MarkFirstByte()
		_, result := s.Choose(request("m0", ""), start)
		Expect(result).To(Equal(selector.Chosen))
		first.Release(selector.Served, start)
		first.Release(selector.Served, start)
		second.Release(selector.Served, start)
		Expect(s.Loads(start)["e1"].InFlight).To(Equal(1))
	})

	It("prefers the engine that has cached a prefix of the prompt", func() {
		engines := make([]*catalog.Upstream, 6)
		for i := range engines {
			engines[i] = engine(fmt.Sprint("e", i), "za", m0)
		}
		s := newSelector(topology(engines...), 100)
		r := request("m0", "")
		r.Prefixes = []selector.Prefix{{Hash: 7, Tokens: 500}, {Hash: 8, Tokens: 1500}, {Hash: 9, Tokens: 2000}}
		first, _ := s.Choose(r, start)
		first.MarkFirstByte()
		r.Prefixes[2].Hash = 10
		second, _ := s.Choose(r, start)
		Expect(second.Upstream.ID).To(Equal(first.Upstream.ID))
	})

	It("sends a cold engine no more requests per second than its share of the limit", func() {
		cold := engine("e1", "za", m0)
		cold.ColdUntil = start.Add(3 * time.Second)
		s := newSelector(topology(cold), 2)
		sent := 0
		for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(20 * time.Millisecond) {
			if reservation, result := s.Choose(request("m0", ""), now); result == selector.Chosen {
				sent++
				reservation.Release(selector.Served, now)
			}
		}
		Expect(sent).To(Equal(4))
	})

	It("treats the engines of a zone that has just returned to service as cold", func() {
		back := topology(engine("e1", "za", m0))
		back.ZonesRestoredAt = map[string]time.Time{"za": start}
		s := newSelector(back, 1)
		reservation, _ := s.Choose(request("m0", ""), start)
		reservation.Release(selector.Served, start)
		_, result := s.Choose(request("m0", ""), start)
		Expect(result).To(Equal(selector.Busy))
		_, result = s.Choose(request("m0", ""), start.Add(5*time.Second))
		Expect(result).To(Equal(selector.Chosen))
	})

	It("backs off from an upstream that cannot be reached", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 100)
		reservation, _ := s.Choose(request("m0", ""), start)
		reservation.Release(selector.Unreachable, start)
		_, result := s.Choose(request("m0", ""), start.Add(50*time.Millisecond))
		Expect(result).To(Equal(selector.Busy))
		_, result = s.Choose(request("m0", ""), start.Add(time.Second))
		Expect(result).To(Equal(selector.Chosen))
	})

	It("prefers an upstream that does not fail", func() {
		s := newSelector(topology(engine("e1", "za", m0), engine("e2", "za", m0)), 100)
		reservation, _ := s.Choose(request("m0", ""), start)
		failing := reservation.Upstream.ID
		reservation.Release(selector.Failed, start)
		for range 5 {
			reservation, _ = s.Choose(request("m0", ""), start)
			Expect(reservation.Upstream.ID).NotTo(Equal(failing))
			reservation.Release(selector.Served, start)
		}
	})

	It("prefers an upstream in the same availability zone among those with equal load", func() {
		s := newSelector(topology(engine("e1", "zb", m0), engine("e9", "zb", m0), engine("e5", "za", m0)), 100)
		local := 0
		for n := range uint64(40) {
			r := request("m0", "")
			r.Prefixes = []selector.Prefix{{Hash: n * 7919, Tokens: 10}, {Hash: n * 104729, Tokens: 20}}
			reservation, _ := s.Choose(r, start)
			if reservation.Upstream.ID == "e5" {
				local++
			}
			reservation.Release(selector.Served, start)
		}
		Expect(local).To(BeNumerically(">", 40/3))
	})

	It("discards the load of an engine that has restarted", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 100)
		_, _ = s.Choose(request("m0", ""), start)
		restarted := engine("e1", "za", m0)
		restarted.StartUnixMilli = 5
		s.SetTopology(topology(restarted))
		Expect(s.Loads(start)).To(BeEmpty())
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
	s := newSelector(topology(engines...), 100)
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
	s := newSelector(topology(engines...), 100)
	r := request("m0", "a1")
	for b.Loop() {
		reservation, _ := s.Choose(r, start)
		reservation.MarkFirstByte()
		reservation.Release(selector.Served, start)
	}
}
