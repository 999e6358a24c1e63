package selector

import (
	"math"
	"time"

	"github.com/crocushollow/crocushollow/state/pacer"
)

const (
	// maxTokensPerGap bounds the prompt tokens that an engine reads between two events of
	// a stream.
	maxTokensPerGap = 3000.0
	// minSlowdown is the slowdown from which on an engine counts as slow. Below it, the load
	// and the kind of engine explain it.
	minSlowdown = 1.75
	// sharedSlowdownStep is the step in percent in which peers hear of a slowdown.
	sharedSlowdownStep = 50
	// slowCostMillis is the cost of an engine that takes twice as long as usual, since its
	// streams have longer pauses.
	slowCostMillis = 60.0
	// longOutputTokens is the output from which on a stream is long: it lasts for about a
	// second.
	longOutputTokens = 100.0
	// pauseCostFraction is the cost of the reading of a prompt for each long stream that it
	// delays, as a fraction of the time that it takes.
	pauseCostFraction = 0.5
	// streamAttractionMillis is what a long stream is charged less than another request for
	// each long stream at an engine, up to maxAttractingStreams of them.
	streamAttractionMillis = 8.0
	maxAttractingStreams   = 10.0
)

// baselineKey identifies streams whose events usually have the same gaps.
type baselineKey struct{ service, model string }

// pace is what this instance knows about the pace of an upstream.
type pace struct {
	own pacer.Slowdown
	// shared is the slowdown in percent that peers were told of last, or 0.
	shared int
	// peers is the largest slowdown in percent that peers report, or 0.
	peers int
}

// factor returns how many times longer the upstream takes than usual.
func (p *pace) factor(now time.Time) float64 {
	factor := max(p.own.Factor(now), float64(p.peers)/100)
	if factor < minSlowdown {
		return 1
	}
	return factor
}

// sharedSlowdown returns a factor in percent as peers hear of it.
func sharedSlowdown(factor float64) int {
	if factor < minSlowdown {
		return 0
	}
	return int(math.Round(factor*100/sharedSlowdownStep)) * sharedSlowdownStep
}

// progress is how far the stream of a reservation is.
type progress struct {
	lastEventAt time.Time
	// waitingTokens counts the prompt tokens that waited at the upstream at the last event.
	waitingTokens float64
	// arrivedTokens is the candidate's count at the last event.
	arrivedTokens float64
}

// ObserveEvents records that events of the request's stream have arrived together.
func (r *Reservation) ObserveEvents(events int, now time.Time) {
	s, c := r.selector, r.candidate
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.released || s.eventGapObjective(c.upstream.Service) <= 0 {
		return
	}
	waiting := c.waitingTokens()
	last := r.progress
	r.progress = progress{lastEventAt: now, waitingTokens: waiting, arrivedTokens: c.arrivedTokens}
	if last.lastEventAt.IsZero() || events != 1 {
		return
	}
	gap := now.Sub(last.lastEventAt)
	mayRead := max(last.waitingTokens+c.arrivedTokens-last.arrivedTokens, waiting)
	key := baselineKey{c.upstream.Service, r.model}
	baseline := s.baselines[key]
	if mayRead <= 0 {
		baseline = baseline.With(gap)
		s.baselines[key] = baseline
	}
	usual, isKnown := baseline.Gap()
	if !isKnown {
		return
	}
	reading := time.Duration(min(mayRead, maxTokensPerGap) / prefillTokensPerMilli * float64(time.Millisecond))
	c.pace.own = c.pace.own.WithGap(gap, usual, reading, now)
	s.sharePace(c, now)
}

// sharePace tells the peers of the pace of an upstream if it has changed. The caller must
// lock mu.
func (s *Selector) sharePace(c *candidate, now time.Time) {
	shared := 0
	if c.ownLoad.InFlight > 0 {
		shared = sharedSlowdown(c.pace.own.Factor(now))
	}
	c.ownLoad.Slowdown = shared
	if shared != c.pace.shared {
		c.pace.shared = shared
		s.markChanged(c)
	}
}

// recomputePeerPaces recomputes the largest slowdowns that peers report of the upstreams with
// a load. It ignores peers that have not reported within maxPeerLoadAge. The caller must lock
// mu.
func (s *Selector) recomputePeerPaces(loads map[string]Load, now time.Time) {
	for id := range loads {
		c := s.candidates[id]
		if c == nil {
			continue
		}
		c.pace.peers = 0
		for _, peer := range s.peers {
			if now.Sub(peer.reportedAt) > maxPeerLoadAge {
				continue
			}
			c.pace.peers = max(c.pace.peers, peer.loads[id].Slowdown)
		}
	}
}

// addPeerPaces adds the slowdowns that a peer reports. The caller must lock mu.
func (s *Selector) addPeerPaces(loads map[string]Load) {
	for id, load := range loads {
		if c := s.candidates[id]; c != nil {
			c.pace.peers = max(c.pace.peers, load.Slowdown)
		}
	}
}

// SlowUpstreams returns the number of upstreams that this instance takes for slow now, from its
// own streams or from its peers' reports.
func (s *Selector) SlowUpstreams(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, c := range s.candidates {
		if c.pace.factor(now) > 1 {
			count++
		}
	}
	return count
}

// eventGapObjective returns the shortest objective for the longest gap between two events of
// a service's streams, or 0 if there is none.
func (s *Selector) eventGapObjective(service string) time.Duration {
	if s.topology.Catalog == nil {
		return 0
	}
	return s.topology.Catalog.EventGapObjective(service)
}

// isLongStream reports whether the output of a request is long and its service has an
// objective for the gaps between events.
func (s *Selector) isLongStream(request *Request) bool {
	return request.OutputTokens >= longOutputTokens && s.eventGapObjective(request.Service) > 0
}

// pauseCostMillis estimates the pauses that the prompt of a request adds to the long streams
// at the upstream. A long stream is charged less, so that fewer engines have long
// streams.
func (c *candidate) pauseCostMillis(request *Request) float64 {
	streams := float64(c.ownLoad.LongStreams + c.peerLoad.LongStreams)
	cost := streams * pauseCostFraction * c.uncachedTokens(request) / prefillTokensPerMilli
	if request.OutputTokens >= longOutputTokens {
		cost -= min(streams, maxAttractingStreams) * streamAttractionMillis
	}
	return cost
}

// waitingTokens returns the number of prompt tokens that wait at the upstream.
func (c *candidate) waitingTokens() float64 {
	return c.ownLoad.WaitingTokens + c.peerLoad.WaitingTokens
}
