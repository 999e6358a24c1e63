package hosted

import (
	"maps"
	"math"
	"sync"
	"time"
)

// demandHalving is the time in which the memory of demand halves.
const demandHalving = time.Second

// demandMeter measures the engine time that models are asked for, in engines
// that they keep busy.
type demandMeter struct {
	now func() time.Time

	mu    sync.Mutex
	at    time.Time
	own   map[string]float64
	peers map[string]peerDemand
}

type peerDemand struct {
	at     time.Time
	demand map[string]float64
}

func newDemandMeter(now func() time.Time) *demandMeter {
	return &demandMeter{now: now, at: now(), own: make(map[string]float64), peers: make(map[string]peerDemand)}
}

// add counts the engine time of one request.
func (m *demandMeter) add(model string, milliseconds float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay()
	// The integral of the decay from one request on is its engine time.
	m.own[model] += milliseconds / 1000 * math.Ln2 / demandHalving.Seconds()
}

// decay brings the own demand up to date. The caller holds mu.
func (m *demandMeter) decay() {
	now := m.now()
	keep := math.Exp2(-now.Sub(m.at).Seconds() / demandHalving.Seconds())
	m.at = now
	for model := range m.own {
		m.own[model] *= keep
		if m.own[model] < leastDemand {
			delete(m.own, model)
		}
	}
}

// leastDemand is the demand in engines below which a model is left out.
const leastDemand = 0.001

// ownDemand returns the instance's own demand.
func (m *demandMeter) ownDemand() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay()
	return maps.Clone(m.own)
}

// demandStep is the precision of the demand that is told, in engines.
const demandStep = 1.0 / 1024

// tell returns the instance's own demand in a short form.
func (m *demandMeter) tell() map[string]float64 {
	demand := m.ownDemand()
	for model, value := range demand {
		demand[model] = math.Round(value/demandStep) * demandStep
	}
	return demand
}

// setPeer replaces the demand at another instance.
func (m *demandMeter) setPeer(instance string, demand map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers[instance] = peerDemand{at: m.now(), demand: demand}
}

// peerDemandAge is the age above which another instance's demand is ignored.
const peerDemandAge = 3 * time.Second

// total returns the demand at all instances.
func (m *demandMeter) total() map[string]float64 {
	total := m.ownDemand()
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, peer := range m.peers {
		if m.now().Sub(peer.at) > peerDemandAge {
			delete(m.peers, name)
			continue
		}
		for model, value := range peer.demand {
			total[model] += value
		}
	}
	return total
}
