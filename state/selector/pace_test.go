package selector_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/selector"
)

const usualGap = 27 * time.Millisecond

// streamTopology returns engines of a service whose streams have an objective for the gaps
// between events.
func streamTopology(upstreams ...*catalog.Upstream) selector.Topology {
	streams, err := catalog.New(catalog.Config{
		Services: []catalog.Service{{Name: "writer", Engine: &catalog.EngineSpec{Slots: 64, KVCacheTokens: 140000}}},
		Routes: []catalog.Route{{
			Name: "guides", Host: "a", PathPrefix: "/", Kind: catalog.Streaming, EventGapObjective: 300 * time.Millisecond,
			WeightedServices: []catalog.WeightedService{{Service: "writer", Weight: 1}},
		}},
	})
	Expect(err).NotTo(HaveOccurred())
	t := topology(upstreams...)
	t.Catalog = streams
	return t
}

// begin begins a stream whose engine has read the prompt.
func begin(s *selector.Selector, output float64, excluded ...string) *selector.Reservation {
	r := request("m0", "")
	r.OutputTokens, r.Excluded = output, excluded
	reservation, result := s.Choose(r, start)
	Expect(result).To(Equal(selector.Chosen))
	reservation.MarkFirstByte()
	return reservation
}

// observe records events with the same gap for a time, and returns its end.
func observe(r *selector.Reservation, gap, duration time.Duration, from time.Time) time.Time {
	now := from
	for ; now.Sub(from) <= duration; now = now.Add(gap) {
		r.ObserveEvents(1, now)
	}
	return now
}

var _ = Describe("Selector with the pace of engines", func() {
	var s *selector.Selector

	BeforeEach(func() {
		s = newSelector(streamTopology(engine("e1", "za", m0), engine("e2", "za", m0)), 100)
	})

	// Guards against prompts for an engine that is 2.5 times slower for 600 ms.
	It("takes new work off an engine that turns slow within 0.2 s, and gives it back", func() {
		slow, usual := begin(s, 20, "e2"), begin(s, 20, "e1")
		now := observe(slow, usualGap, time.Second, start)
		observe(usual, usualGap, time.Second, start)
		turned := now
		now = observe(slow, 5*usualGap/2, 150*time.Millisecond, turned)
		Expect(now.Sub(turned)).To(BeNumerically("<=", 220*time.Millisecond))
		for range 2 {
			reservation, _ := s.Choose(request("m0", ""), now)
			Expect(reservation.Upstream.ID).To(Equal("e2"))
			reservation.MarkFirstByte()
		}
		now = observe(slow, usualGap, 300*time.Millisecond, now)
		reservation, _ := s.Choose(request("m0", ""), now)
		Expect(reservation.Upstream.ID).To(Equal("e1"))
	})

	// Guards against an instance without streams at an engine that cannot know its pace, and
	// against the pace of a predecessor under the same ID.
	It("hears from its peers which engines are slow, and forgets it with the engine", func() {
		slow := begin(s, 20, "e2")
		now := observe(slow, 5*usualGap/2, 200*time.Millisecond, observe(slow, usualGap, time.Second, start))
		Expect(s.LoadChanges()["e1"].Slowdown).To(BeNumerically(">=", 200))
		other := newSelector(streamTopology(engine("e1", "za", m0), engine("e2", "za", m0)), 100)
		other.SetPeerLoads("node-2", s.Loads(now), now)
		for range 2 {
			reservation, _ := other.Choose(request("m0", ""), now)
			Expect(reservation.Upstream.ID).To(Equal("e2"))
			reservation.MarkFirstByte()
		}
		restarted := engine("e1", "za", m0)
		restarted.StartUnixMilli = 1
		s.SetTopology(streamTopology(restarted, engine("e2", "za", m0)))
		for range 15 {
			begin(s, 20, "e1")
		}
		reservation, _ := s.Choose(request("m0", ""), now)
		Expect(reservation.Upstream.ID).To(Equal("e1"))
	})

	// Guards against the old pace of a peer that is suspended or cut off.
	It("forgets what a peer that is silent for 2 s has reported", func() {
		report := map[string]selector.Load{"e1": {InFlight: 1, Slowdown: 250}}
		s.SetPeerLoads("node-2", report, start)
		Expect(s.SlowUpstreams(start)).To(Equal(1))
		later := start.Add(3 * time.Second)
		s.UpdatePeerLoads("node-3", map[string]selector.Load{"e1": {InFlight: 1}}, later)
		Expect(s.SlowUpstreams(later)).To(Equal(0))
		s.UpdatePeerLoads("node-2", report, later)
		Expect(s.SlowUpstreams(later)).To(Equal(1))
		s.RemovePeer("node-2")
		Expect(s.SlowUpstreams(later)).To(Equal(0))
	})

	// Guards against pauses of streams with many events, which lose their worth by one.
	It("keeps prompts that arrive in a clump from the engine with long streams", func() {
		for range 3 {
			begin(s, 500, "e2")
		}
		counts := make(map[string]int)
		for range 3 {
			short := request("m0", "")
			short.OutputTokens = 20
			reservation, result := s.Choose(short, start)
			if result == selector.Chosen {
				counts[reservation.Upstream.ID]++
			}
		}
		Expect(counts["e2"]).To(BeNumerically(">", counts["e1"]))
	})

	// Guards against long streams that are kept from each other as much as from other prompts.
	It("sends a long stream to the engine with long streams sooner than another prompt", func() {
		for range 10 {
			begin(s, 500, "e1")
		}
		waiting := request("m0", "")
		waiting.PromptTokens, waiting.OutputTokens, waiting.Excluded = 2500, 20, []string{"e2"}
		_, result := s.Choose(waiting, start)
		Expect(result).To(Equal(selector.Chosen))
		for _, c := range []struct {
			output float64
			want   string
		}{{20, "e1"}, {500, "e2"}} {
			r := request("m0", "")
			r.PromptTokens, r.OutputTokens = 700, c.output
			reservation, _ := s.Choose(r, start)
			Expect(reservation.Upstream.ID).To(Equal(c.want))
			reservation.Release(selector.Abandoned, start)
		}
	})

	It("changes nothing where no route has an objective for the gaps", func() {
		s = newSelector(topology(engine("e1", "za", m0), engine("e2", "za", m0)), 100)
		slow := begin(s, 500, "e2")
		observe(slow, 5*usualGap/2, time.Second, observe(slow, usualGap, time.Second, start))
		Expect(s.LoadChanges()["e1"]).To(Equal(selector.Load{InFlight: 1, CacheTokens: 2500}))
	})
})
