package hosted

import (
	"maps"
	"math"
	"sync"
	"time"
)

// demandHalfLife is the half-life of the exponentially decaying demand average.
const demandHalfLife = time.Second

// demandMeter averages the demand for each model, in seconds of engine time per
// second. A demand of 1 keeps one engine busy. It is safe for concurrent use.
type demandMeter struct {
	now func() time.Time

	mu sync.Mutex
	// decayedAt is the time at which own was last decayed.
	decayedAt time.Time
	own       map[string]float64
	peers     map[string]peerDemand
}

// peerDemand is the demand that a peer reported, by model.
type peerDemand struct {
	receivedAt time.Time
	demand     map[string]float64
}

func newDemandMeter(now func() time.Time) *demandMeter {
	return &demandMeter{now: now, decayedAt: now(), own: make(map[string]float64), peers: make(map[string]peerDemand)}
}

// add adds the engine time of one request.
func (m *demandMeter) add(model string, milliseconds float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay()
	// With this factor the integral over the decay of one request equals its
	// engine time.
	m.own[model] += milliseconds / 1000 * math.Ln2 / demandHalfLife.Seconds()
}

// decay decays this instance's own demand to the current time. The caller must
// lock mu.
func (m *demandMeter) decay() {
	now := m.now()
	factor := math.Exp2(-now.Sub(m.decayedAt).Seconds() / demandHalfLife.Seconds())
	m.decayedAt = now
	for model := range m.own {
		m.own[model] *= factor
		if m.own[model] < minDemand {
			delete(m.own, model)
		}
	}
}

// minDemand is the demand, in busy engines, below which a model is dropped.
const minDemand = 0.001

// ownDemand returns the demand at this instance, by model.
func (m *demandMeter) ownDemand() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay()
	return maps.Clone(m.own)
}

// demandPrecision is the precision of reported demand, in busy engines.
const demandPrecision = 1.0 / 1024

// report returns the demand at this instance for its heartbeat. The values are
// rounded to demandPrecision to shorten their encoding.
func (m *demandMeter) report() map[string]float64 {
	demand := m.ownDemand()
	for model, value := range demand {
		demand[model] = math.Round(value/demandPrecision) * demandPrecision
	}
	return demand
}

// setPeer replaces the demand that a peer reported.
func (m *demandMeter) setPeer(instance string, demand map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers[instance] = peerDemand{receivedAt: m.now(), demand: demand}
}

// removePeer drops the demand that a peer reported.
func (m *demandMeter) removePeer(instance string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.peers, instance)
}

// maxPeerDemandAge is the age after which a peer's report is dropped.
const maxPeerDemandAge = 3 * time.Second

// total returns the demand at all instances, by model.
func (m *demandMeter) total() map[string]float64 {
	total := m.ownDemand()
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, peer := range m.peers {
		if m.now().Sub(peer.receivedAt) > maxPeerDemandAge {
			delete(m.peers, name)
			continue
		}
		for model, value := range peer.demand {
			total[model] += value
		}
	}
	return total
}
