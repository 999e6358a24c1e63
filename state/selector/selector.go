// Package selector chooses the upstream for a request.
//
// Each instance counts its own requests per upstream and receives the counts of
// its peers in their heartbeats, so no upstream has to be probed for its load.
// An engine is chosen by the estimated time to the first token of the request,
// from the prompt tokens that wait at the engine, the prompt tokens that the
// request adds, and the requests that run there.
package selector

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushollow/crocushollow/catalog"
)

const (
	// prefillRate is the prefill speed of an engine. The operators' data sheets
	// give 25.8 tokens per millisecond; a tenth is deducted.
	prefillRate = 23.0
	// maxWaitingTokens bounds the prompt tokens that wait at an engine. Their
	// prefill delays the streams that run there, whose events may be at most
	// 400 ms apart.
	maxWaitingTokens = 5000.0
	// runningCost is the latency that each running request adds on an engine.
	runningCost = 1.2
	// zoneCost is the extra round-trip time to an upstream in another zone.
	zoneCost = 3.0
	// slotFraction is the fraction of an engine's slots that may be in use.
	slotFraction = 0.9
	// cacheFraction is the fraction of an engine's KV cache that running
	// requests may use. The rest holds cached prompt prefixes and leaves room for
	// requests of peers that this instance has not heard of yet.
	cacheFraction = 0.8
	// plainCost is the latency that each running request adds on an upstream of
	// a plain service with a single slot.
	plainCost = 60.0
)

// Request describes a request that needs an upstream.
type Request struct {
	Service string
	// Model and Adapter are empty for plain services. Adapter may be empty.
	Model   string
	Adapter string
	// PromptTokens and OutputTokens are 0 for plain services.
	PromptTokens float64
	OutputTokens float64
	// Prefixes are prefixes of the prompt, from the shortest to the longest.
	Prefixes []Prefix
	// Excluded lists the IDs of upstreams that must not be chosen.
	Excluded []string
}

// Prefix is a prefix of a prompt.
type Prefix struct {
	// Hash identifies the text of the prefix, the model and the adapter.
	Hash uint64
	// Tokens is the length of the prefix.
	Tokens float64
}

// Result reports whether an upstream was chosen, or else why not. A lower
// value means that less is missing.
type Result int

// The possible results of a selection.
const (
	// Chosen means that an upstream was chosen.
	Chosen Result = iota
	// Busy means that suitable upstreams exist but have no capacity left.
	Busy
	// AdapterAbsent means that the model is loaded but not the adapter.
	AdapterAbsent
	// ModelAbsent means that upstreams accept requests but none has loaded the
	// model.
	ModelAbsent
	// NoUpstream means that no upstream of the service accepts requests.
	NoUpstream
)

// String implements fmt.Stringer.
func (v Result) String() string {
	return [...]string{"chosen", "busy", "adapter_absent", "model_absent", "no_upstream"}[v]
}

// Config configures a Selector.
type Config struct {
	// AvailabilityZone is the zone of this instance.
	AvailabilityZone string
	// ColdRateShare returns the number of requests per second that this instance may
	// send to a cold upstream.
	ColdRateShare func(service *catalog.Service, upstream string) int
	// OnLoadChange is called when this instance's load on an upstream has changed. It
	// must not block.
	OnLoadChange func()
}

// Topology is the set of upstreams, with the state of their zones.
type Topology struct {
	Catalog           *catalog.Catalog
	Upstreams         map[string]*catalog.Upstream
	ZonesOutOfService map[string]bool
	// ZonesRestoredAt holds the times at which zones were put back into service.
	// Their upstreams may be cold before their registrations report it.
	ZonesRestoredAt map[string]time.Time
}

// Selector chooses upstreams for requests. It is safe for concurrent use.
type Selector struct {
	config Config

	mu   sync.Mutex
	site Topology
	// byService holds the upstreams of each service that accept requests.
	byService map[string][]*candidate
	// known holds all upstreams by ID.
	known map[string]*candidate
	// peers holds the loads that other instances report, by instance.
	peers map[string]peerLoads
	// summedAt is the time of the last full recomputation of the peers' load.
	summedAt time.Time
	// changed holds the upstreams where this instance's load has changed since
	// the last call of Changes.
	changed map[string]bool
}

// candidate is an upstream with its load and its health.
type candidate struct {
	upstream *catalog.Upstream
	// hash is the hash of the upstream's ID.
	hash uint64
	// own is the load of this instance.
	own Load
	// others is the total load of all peers.
	others Load
	health health
	// coldSends holds the times of recent requests, for the cold start limit.
	coldSends []time.Time
	kept      keptParts
}

// New returns a selector without upstreams.
func New(config Config) *Selector {
	return &Selector{
		config:  config,
		known:   make(map[string]*candidate),
		peers:   make(map[string]peerLoads),
		changed: make(map[string]bool),
	}
}

// SetTopology replaces the upstreams. An upstream that remains keeps its load and
// health, unless it has restarted or its address has changed.
func (s *Selector) SetTopology(site Topology) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.site = site
	s.byService = make(map[string][]*candidate)
	known := make(map[string]*candidate, len(site.Upstreams))
	for id, upstream := range site.Upstreams {
		c := s.known[id]
		if c == nil || c.upstream.StartUnixMilli != upstream.StartUnixMilli || c.upstream.Address != upstream.Address {
			c = &candidate{hash: xxhash.Sum64String(id), kept: newKeptParts()}
		}
		c.upstream = upstream
		known[id] = c
		if !upstream.IsDraining && !site.ZonesOutOfService[upstream.AvailabilityZone] {
			s.byService[upstream.Service] = append(s.byService[upstream.Service], c)
		}
	}
	s.known = known
	s.sumOthers(time.Time{})
}

// Choose selects the upstream with the lowest cost and adds the request to its
// load. The caller must release the returned hold once.
func (s *Selector) Choose(need *Request, now time.Time) (*Reservation, Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.service(need.Service)
	var best *candidate
	bestCost := math.Inf(1)
	verdict := NoUpstream
	for _, c := range s.byService[need.Service] {
		if isTried(need.Excluded, c.upstream.ID) {
			continue
		}
		suits := s.suits(c, need, service, now)
		if suits < verdict {
			verdict = suits
		}
		if suits != Chosen {
			continue
		}
		if cost := s.cost(c, need, now); cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best == nil {
		return nil, verdict
	}
	return s.hold(best, need, now), Chosen
}

func (s *Selector) service(name string) *catalog.Service {
	if s.site.Catalog == nil {
		return nil
	}
	service, _ := s.site.Catalog.Service(name)
	return service
}

func isTried(tried []string, id string) bool {
	for _, other := range tried {
		if other == id {
			return true
		}
	}
	return false
}

// suits returns Chosen if the request can be sent to the upstream now, and the
// reason otherwise.
func (s *Selector) suits(c *candidate, need *Request, service *catalog.Service, now time.Time) Result {
	if need.Model != "" {
		if !c.upstream.Serves(need.Model, "") {
			return ModelAbsent
		}
		if need.Adapter != "" && !c.upstream.Serves(need.Model, need.Adapter) {
			return AdapterAbsent
		}
	}
	if c.health.isAvoided(now) || !s.mayMeetCold(c, service, now) {
		return Busy
	}
	if !c.hasRoom(need, service) {
		return Busy
	}
	return Chosen
}

// hasRoom reports whether the upstream can start the request without queueing
// it.
func (c *candidate) hasRoom(need *Request, service *catalog.Service) bool {
	inFlight := c.own.InFlight + c.others.InFlight
	if need.Model == "" {
		return inFlight < c.upstream.Slots
	}
	if float64(inFlight) >= slotFraction*float64(c.upstream.Slots) {
		return false
	}
	waiting := c.own.WaitingTokens + c.others.WaitingTokens
	if waiting > 0 && waiting+c.newTokens(need) > maxWaitingTokens {
		return false
	}
	if service != nil && service.Engine != nil && inFlight > 0 {
		used := c.own.CacheTokens + c.others.CacheTokens
		return used+need.PromptTokens+need.OutputTokens <= cacheFraction*float64(service.Engine.KVCacheTokens)
	}
	return true
}

// newTokens returns the number of prompt tokens that are not in the engine's KV
// cache.
func (c *candidate) newTokens(need *Request) float64 {
	return max(need.PromptTokens-c.kept.longest(need.Prefixes), 0)
}

// cost estimates the time to the first byte in milliseconds.
func (s *Selector) cost(c *candidate, need *Request, now time.Time) float64 {
	var cost float64
	if c.upstream.AvailabilityZone != s.config.AvailabilityZone {
		cost += zoneCost
	}
	cost += c.health.penalty(now)
	inFlight := float64(c.own.InFlight + c.others.InFlight)
	if need.Model == "" {
		return cost + inFlight*plainCost/float64(max(c.upstream.Slots, 1)) + spread(c.hash, 0)
	}
	waiting := c.own.WaitingTokens + c.others.WaitingTokens
	cost += (waiting + c.newTokens(need)) / prefillRate
	cost += inFlight * runningCost
	return cost + spread(c.hash, affinityOf(need))
}

// affinityOf returns the hash of the second longest prefix. Requests that share
// this prefix get the same hash, so that all instances prefer the same engine for
// them. It returns 0 for a prompt with fewer than two prefixes.
func affinityOf(need *Request) uint64 {
	if len(need.Prefixes) < 2 {
		return 0
	}
	return need.Prefixes[len(need.Prefixes)-2].Hash
}

// spreadRange is the range of the tie-break. It outweighs the cost of a few
// running requests, so that prompts with a common prefix go to the same engine.
const spreadRange = 12.0

// spread returns a tie-break between 0 and spreadRange, which depends on the
// upstream and the affinity hash.
func spread(hash, affinity uint64) float64 {
	h := (hash ^ affinity*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return spreadRange * float64(h>>40) / float64(1<<24)
}
