// Package selector chooses the upstream for a request.
//
// Every instance counts its own requests on each upstream and learns the other
// instances' counts from their bulletins, so that no upstream is probed for its
// load. An engine is chosen by the time to the request's first token: prompt
// tokens that wait there, tokens that this prompt adds, and requests that run.
package selector

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushollow/crocushollow/catalog"
)

// Tuning of the choice.
const (
	// prefillRate is the number of prompt tokens that an engine reads in a
	// millisecond, from the operators' sheets (25.8) less a tenth.
	prefillRate = 23.0
	// maxWaitingTokens bounds the prompt tokens that wait at an engine. Reading
	// them delays the streams that run there, whose events may be 400 ms apart.
	maxWaitingTokens = 5000.0
	// runningCost is the delay in milliseconds that one running request adds.
	runningCost = 1.2
	// zoneCost is the delay in milliseconds of an upstream in another zone,
	// there and back.
	zoneCost = 3.0
	// slotFraction is the part of an upstream's slots that is filled.
	slotFraction = 0.9
	// cacheFraction is the part of an engine's cache that running requests may
	// fill. The rest keeps prompt parts and covers other instances' requests
	// that are not known yet.
	cacheFraction = 0.8
	// plainCost is the delay in milliseconds that a running request adds on an
	// upstream of a plain service with a single slot.
	plainCost = 60.0
)

// Need is what an upstream is needed for.
type Need struct {
	Service string
	// Model and Adapter are empty for plain services. Adapter may be empty.
	Model   string
	Adapter string
	// PromptTokens and OutputTokens are 0 for plain services.
	PromptTokens float64
	OutputTokens float64
	// Parts are the hashes of the prompt's beginnings, each longer than the one
	// before.
	Parts []Part
	// Tried lists upstreams that must not be chosen.
	Tried []string
}

// Part is a beginning of a prompt.
type Part struct {
	// Hash identifies the beginning, the model and the adapter.
	Hash uint64
	// Tokens is its length.
	Tokens float64
}

// Verdict tells how a choice ended.
type Verdict int

// The verdicts.
const (
	// Chosen means that an upstream was chosen.
	Chosen Verdict = iota
	// Busy means that upstreams could take the request but have no room now.
	Busy
	// AdapterAbsent means that engines hold the model but not the adapter.
	AdapterAbsent
	// ModelAbsent means that upstreams take new work but none holds the model.
	ModelAbsent
	// NoUpstream means that no upstream of the service takes new work.
	NoUpstream
)

// String implements fmt.Stringer.
func (v Verdict) String() string {
	return [...]string{"chosen", "busy", "adapter_absent", "model_absent", "no_upstream"}[v]
}

// Config configures a Selector.
type Config struct {
	// AvailabilityZone is the instance's own.
	AvailabilityZone string
	// ColdShare returns the number of requests that the instance may send to a
	// cold upstream within a second.
	ColdShare func(service *catalog.Service, upstream string) int
	// Changed is called when the instance's own work on upstreams has changed.
	// It must not block.
	Changed func()
}

// Site is what the selector chooses from.
type Site struct {
	Catalog   *catalog.Catalog
	Upstreams map[string]*catalog.Upstream
	ZonesOut  map[string]bool
	// ZonesBackAt tells when zones were put back into service. Their upstreams
	// may be cold without having said so.
	ZonesBackAt map[string]time.Time
}

// Selector is safe for concurrent use.
type Selector struct {
	config Config

	mu        sync.Mutex
	site      Site
	byService map[string][]*candidate
	known     map[string]*candidate
	peers     map[string]peerLoads
	// summedAt is when the others' work was last summed over all instances.
	summedAt time.Time
	// changed holds the upstreams whose own work has changed since the last call
	// of Changes.
	changed map[string]bool
}

// candidate is an upstream with what is known of it.
type candidate struct {
	upstream *catalog.Upstream
	hash     uint64
	own      Load
	// others is the sum over the other instances.
	others Load
	health health
	// coldSends holds the times of recent requests while the upstream is cold.
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

// SetSite replaces the upstreams. What is known of those that stay is kept,
// unless they have started again.
func (s *Selector) SetSite(site Site) {
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
		if !upstream.IsDraining && !site.ZonesOut[upstream.AvailabilityZone] {
			s.byService[upstream.Service] = append(s.byService[upstream.Service], c)
		}
	}
	s.known = known
	s.sumOthers(time.Time{})
}

// Choose picks an upstream and counts the request on it. The hold must be
// released once.
func (s *Selector) Choose(need *Need, now time.Time) (*Hold, Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.service(need.Service)
	var best *candidate
	bestCost := math.Inf(1)
	verdict := NoUpstream
	for _, c := range s.byService[need.Service] {
		if isTried(need.Tried, c.upstream.ID) {
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

// suits tells whether a request may be sent to an upstream now.
func (s *Selector) suits(c *candidate, need *Need, service *catalog.Service, now time.Time) Verdict {
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

// hasRoom reports whether the request can begin at once.
func (c *candidate) hasRoom(need *Need, service *catalog.Service) bool {
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

// newTokens returns the prompt tokens that the engine has yet to read.
func (c *candidate) newTokens(need *Need) float64 {
	return max(need.PromptTokens-c.kept.longest(need.Parts), 0)
}

// cost estimates the time to the first byte in milliseconds.
func (s *Selector) cost(c *candidate, need *Need, now time.Time) float64 {
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

// affinityOf returns the hash that requests with a common beginning share, so
// that all instances prefer the same engine for them.
func affinityOf(need *Need) uint64 {
	if len(need.Parts) < 2 {
		return 0
	}
	return need.Parts[len(need.Parts)-2].Hash
}

// spreadRange is the range of the tie-break in milliseconds. It outweighs a
// few running requests, so that the beginnings of prompts gather.
const spreadRange = 12.0

// spread returns a tie-break that differs between upstreams.
func spread(hash, affinity uint64) float64 {
	h := (hash ^ affinity*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return spreadRange * float64(h>>40) / float64(1<<24)
}
