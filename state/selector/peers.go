package selector

import (
	"time"
)

// recomputeInterval is the interval between full recomputations of the total load
// of all peers. Between them, each update from a peer is added to the totals.
const recomputeInterval = 500 * time.Millisecond

// maxPeerLoadAge is the age beyond which the load reported by a peer is ignored.
const maxPeerLoadAge = 2 * time.Second

// Load is the load that one instance puts on an upstream.
type Load struct {
	InFlight int `cbor:"1,keyasint,omitempty"`
	// WaitingTokens counts the prompt tokens of requests that have not received
	// the first byte of a response.
	WaitingTokens float64 `cbor:"2,keyasint,omitempty"`
	// CacheTokens counts the prompt and output tokens of all requests in flight.
	CacheTokens float64 `cbor:"3,keyasint,omitempty"`
	// LimitedSends counts the requests that were sent within the window of the quota of
	// an upstream with a rate limit.
	LimitedSends int `cbor:"4,keyasint,omitempty"`
	// Slowdown is how many times longer the upstream takes than usual, in percent. It is 0
	// at its usual pace.
	Slowdown int `cbor:"5,keyasint,omitempty"`
	// LongStreams counts the requests in flight whose output is long.
	LongStreams int `cbor:"6,keyasint,omitempty"`
}

// Plus returns the sum of two loads, with the larger slowdown.
func (l Load) Plus(other Load) Load {
	l.add(other, 1)
	l.Slowdown = max(l.Slowdown, other.Slowdown)
	return l
}

// add adds other multiplied by times, which may be negative. It leaves the slowdown as it is.
func (l *Load) add(other Load, times int) {
	l.InFlight += times * other.InFlight
	l.LimitedSends += times * other.LimitedSends
	l.LongStreams += times * other.LongStreams
	l.WaitingTokens = max(l.WaitingTokens+float64(times)*other.WaitingTokens, 0)
	l.CacheTokens = max(l.CacheTokens+float64(times)*other.CacheTokens, 0)
}

// peer is the load of one peer on each upstream.
type peer struct {
	reportedAt time.Time
	loads      map[string]Load
}

// SetPeerLoads replaces the load of a peer on all upstreams.
func (s *Selector) SetPeerLoads(instance string, loads map[string]Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.peers[instance].loads
	s.peers[instance] = peer{reportedAt: now, loads: loads}
	if now.Sub(s.recomputedAt) >= recomputeInterval {
		s.recomputePeerLoads(now)
		return
	}
	s.addPeerLoads(previous, -1)
	s.addPeerLoads(loads, 1)
	s.recomputePeerPaces(previous, now)
	s.recomputePeerPaces(loads, now)
}

// addPeerLoads adds the loads of a peer, multiplied by times, to the totals. The
// caller must lock mu.
func (s *Selector) addPeerLoads(loads map[string]Load, times int) {
	for id, load := range loads {
		if c := s.candidates[id]; c != nil {
			c.peerLoad.add(load, times)
		}
	}
}

// UpdatePeerLoads replaces the load of a peer on the given upstreams only.
func (s *Selector) UpdatePeerLoads(instance string, changes map[string]Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peer := s.peers[instance]
	if peer.loads == nil {
		peer.loads = make(map[string]Load, len(changes))
	}
	peer.reportedAt = now
	for id, load := range changes {
		if c := s.candidates[id]; c != nil {
			c.peerLoad.add(load, 1)
			c.peerLoad.add(peer.loads[id], -1)
		}
		peer.loads[id] = load
	}
	s.peers[instance] = peer
	s.recomputePeerPaces(changes, now)
}

// LoadChanges returns this instance's load on the upstreams where it has changed
// since the last call.
func (s *Selector) LoadChanges() map[string]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := make(map[string]Load, len(s.changedLoads))
	for id := range s.changedLoads {
		if c := s.candidates[id]; c != nil {
			changes[id] = c.ownLoad
		}
	}
	clear(s.changedLoads)
	return changes
}

// markChanged marks this instance's load on an upstream as changed. The caller
// must lock mu.
func (s *Selector) markChanged(c *candidate) {
	if c.upstream.Slots > 0 && !s.changedLoads[c.upstream.ID] {
		s.changedLoads[c.upstream.ID] = true
		s.config.OnLoadChange()
	}
}

// RemovePeer removes the load of a peer from all upstreams.
func (s *Selector) RemovePeer(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, instance)
	s.recomputePeerLoads(time.Time{})
}

// recomputePeerLoads recomputes the total load of all peers on each upstream. It
// ignores peers that have not reported within maxPeerLoadAge, unless now is zero.
// The caller must lock mu.
func (s *Selector) recomputePeerLoads(now time.Time) {
	s.recomputedAt = now
	for _, c := range s.candidates {
		c.peerLoad = Load{}
		c.pace.peers = 0
	}
	for _, peer := range s.peers {
		if now.IsZero() || now.Sub(peer.reportedAt) <= maxPeerLoadAge {
			s.addPeerLoads(peer.loads, 1)
			s.addPeerPaces(peer.loads)
		}
	}
}

// Loads returns this instance's load on each upstream where it has requests in
// flight, or requests that count towards a quota.
func (s *Selector) Loads(now time.Time) map[string]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateQuotas(now)
	loads := make(map[string]Load)
	for id, c := range s.candidates {
		if c.ownLoad.InFlight > 0 || c.ownLoad.LimitedSends > 0 {
			loads[id] = c.ownLoad
		}
	}
	return loads
}
