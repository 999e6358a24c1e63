// Package selector chooses the upstream for a request.
//
// Each instance counts its own requests per upstream and receives the counts of
// its peers in their heartbeats, so no upstream has to be probed for its load.
// An engine is chosen by the estimated time to the first token of the request,
// from the prompt tokens that wait at the engine, the prompt tokens that the
// request adds, and the requests that run there.
package selector

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/pacer"
	"github.com/crocushollow/crocushollow/state/throttler"
)

const (
	// prefillTokensPerMilli is the prefill speed of an engine. The operators' data
	// sheets give 25.8 tokens per millisecond; a tenth is deducted.
	prefillTokensPerMilli = 23.0
	// maxWaitingTokens bounds the prompt tokens that wait at an engine with those of
	// another request, whose length counts in full. Their prefill delays the streams
	// that run there, whose events may be at most 400 ms apart.
	maxWaitingTokens = 5000.0
	// maxWaitingTokensBefore bounds them without those of the request, whose length
	// does not count.
	maxWaitingTokensBefore = 4000.0
	// runningRequestCostMillis is the latency that each running request adds on an
	// engine.
	runningRequestCostMillis = 1.2
	// crossZoneCostMillis is the extra round-trip time to an upstream in another
	// zone.
	crossZoneCostMillis = 3.0
	// maxSlotFraction is the fraction of an engine's slots that may be in use.
	maxSlotFraction = 0.9
	// maxCacheFraction is the fraction of an engine's KV cache that running requests
	// may use with another one, whose length counts in full. The rest holds cached
	// prompt prefixes and leaves room for requests of peers that are not in a
	// heartbeat yet.
	maxCacheFraction = 0.8
	// maxCacheFractionBefore is the fraction that they may use without the request,
	// whose length does not count.
	maxCacheFractionBefore = 0.75
)

// Request describes a request that needs an upstream.
type Request struct {
	Service string
	// Model and Adapter are empty for plain services. Adapter may be empty.
	Model   string
	Adapter string
	// PromptTokens is the length of the prompt and OutputTokens the expected length
	// of the output. Both are 0 for plain services.
	PromptTokens float64
	OutputTokens float64
	// LengthDiscount is the fraction of the request's length that does not count when room
	// for it is looked for, from 0 to 1.
	LengthDiscount float64
	// Prefixes are prefixes of the prompt, from the shortest to the longest.
	Prefixes []Prefix
	// Caller identifies who sends the request. It is empty if that is unknown.
	Caller string
	// Fingerprint is the same for equal requests of a caller. It is 0 if it is unknown.
	Fingerprint uint64
	// SoftwareVersion is the version of the software that the upstream must run, since it
	// has begun the stream that the request continues. It is empty if any version may
	// serve the request.
	SoftwareVersion catalog.SoftwareVersion
	// IsResumable means that the request begins a stream that callers may take up. Only a
	// version for which Config.IsPinnable is true may begin it.
	IsResumable bool
	// Excluded lists the IDs of upstreams that must not be chosen.
	Excluded []string
	// ExcludedAddresses lists the addresses at which no upstream must be chosen.
	ExcludedAddresses []string
	// IsSpare means that the request repeats another that still runs, so that it may take
	// idle capacity only.
	IsSpare bool
	// IsWaiting means that the request was not sent when it arrived.
	IsWaiting bool
	// Objective is the time within which the request should be answered. It is 0 if there
	// is none. It is used for plain services only.
	Objective time.Duration
	// IsOverLimit means that the caller's workspace asks for more than its limit, over all
	// instances.
	IsOverLimit bool
}

// Prefix is the first part of a prompt, which other prompts may share.
type Prefix struct {
	// Hash identifies the text of the prefix, the model and the adapter.
	Hash uint64
	// Tokens is the length of the prefix.
	Tokens float64
}

// Result reports whether an upstream was chosen, or else why not. The values are
// in order: the higher the value, the further the upstreams are from accepting
// the request.
type Result int

// The possible results of a selection.
const (
	// Chosen means that an upstream was chosen.
	Chosen Result = iota
	// Full means that upstreams of a plain service accept requests but cannot answer this
	// one in time.
	Full
	// Busy means that suitable upstreams exist but have no capacity left.
	Busy
	// AdapterAbsent means that the model is loaded but not the adapter.
	AdapterAbsent
	// RateLimited means that the upstreams that have loaded the model and the adapter
	// ask for fewer requests.
	RateLimited
	// Paused means that the upstreams that have loaded the model and the adapter want no
	// requests for some time.
	Paused
	// ModelAbsent means that upstreams accept requests but none has loaded the
	// model.
	ModelAbsent
	// NoUpstream means that no upstream of the service accepts requests.
	NoUpstream
)

// String implements fmt.Stringer.
func (r Result) String() string {
	return [...]string{"chosen", "full", "busy", "adapter_absent", "rate_limited", "paused", "model_absent", "no_upstream"}[r]
}

// Config configures a Selector.
type Config struct {
	// AvailabilityZone is the zone of this instance.
	AvailabilityZone string
	// ColdRateShare returns the number of requests per second that this instance
	// may send to a cold upstream.
	ColdRateShare func(service *catalog.Service, upstream string) int
	// OnLoadChange is called when this instance's load on an upstream has changed.
	// It must not block.
	OnLoadChange func()
	// OnHealthChange is called when an upstream is ejected and when its trials end. It must
	// not block or call the selector.
	OnHealthChange func(HealthChange)
	// RateLimit returns the limit that an upstream asks for.
	RateLimit func(upstream *catalog.Upstream) throttler.Limit
	// QuotaShare divides a number of requests to an upstream among the instances.
	QuotaShare func(upstream string, requests int) QuotaShare
	// IsPinnable reports whether all instances can learn which streams a version of a
	// service has begun.
	IsPinnable func(service string, version catalog.SoftwareVersion) bool
	// RandFloat64 returns a random number in [0, 1).
	RandFloat64 func() float64
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

	mu       sync.Mutex
	topology Topology
	// byService holds the upstreams of each service that accept requests.
	byService map[string][]*candidate
	// candidates holds all upstreams by ID.
	candidates map[string]*candidate
	// peers holds the loads that other instances report, by instance.
	peers map[string]peer
	// recomputedAt is the time of the last full recomputation of the peers' load.
	recomputedAt time.Time
	// changedLoads holds the upstreams where this instance's load has changed
	// since the last call of LoadChanges.
	changedLoads map[string]bool
	// compared holds the candidates whose health has a comparison.
	compared map[*candidate]bool
	// choices counts the calls of Choose.
	choices uint64
	// serviceTimes holds the averages of all upstreams of each plain service.
	serviceTimes map[string]serviceTime
	// baselines holds the usual gaps between the events of streams.
	baselines map[baselineKey]pacer.Baseline
}

// candidate is an upstream with its load and its health.
type candidate struct {
	upstream *catalog.Upstream
	// hash is the hash of the upstream's ID.
	hash uint64
	// ownLoad is the load of this instance.
	ownLoad Load
	// peerLoad is the total load of all peers.
	peerLoad Load
	health   health
	// brokenAt is when a connection to the upstream last failed, or zero.
	brokenAt time.Time
	// availability is what the upstream has said about itself.
	availability availability
	// coldSends holds the times of recent requests, for the cold start limit.
	coldSends []time.Time
	// limitedSends holds the times of the requests that count towards the quota of an
	// upstream with a rate limit. It is empty without a limit.
	limitedSends []time.Time
	// acceptance is the fraction of the requests that are considered for an upstream with
	// a rate limit. It is above 0 and at most 1.
	acceptance     float64
	cachedPrefixes prefixCache
	// plainPace is known of upstreams of plain services only, and pace of engines only.
	plainPace plainPace
	pace      pace
	// arrivedTokens counts the uncached prompt tokens of all requests of this instance.
	arrivedTokens float64
}

// isSucceededBy reports whether a registration is that of another process than the
// candidate's.
func (c *candidate) isSucceededBy(upstream *catalog.Upstream) bool {
	return c.upstream.StartUnixMilli != upstream.StartUnixMilli || c.upstream.Address != upstream.Address ||
		c.upstream.SoftwareVersion != upstream.SoftwareVersion
}

// New returns a selector without upstreams.
func New(config Config) *Selector {
	return &Selector{
		config:       config,
		candidates:   make(map[string]*candidate),
		peers:        make(map[string]peer),
		changedLoads: make(map[string]bool),
		compared:     make(map[*candidate]bool),
		serviceTimes: make(map[string]serviceTime),
		baselines:    make(map[baselineKey]pacer.Baseline),
	}
}

// SetTopology replaces the upstreams. An upstream that remains keeps its load
// and health, unless it has restarted or its address has changed.
func (s *Selector) SetTopology(topology Topology) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topology = topology
	s.byService = make(map[string][]*candidate)
	candidates := make(map[string]*candidate, len(topology.Upstreams))
	for id, upstream := range topology.Upstreams {
		c := s.candidates[id]
		if c == nil || c.isSucceededBy(upstream) {
			c = &candidate{hash: xxhash.Sum64String(id), cachedPrefixes: newPrefixCache(), acceptance: 1}
		}
		c.upstream = upstream
		candidates[id] = c
		if !upstream.IsDraining && !topology.ZonesOutOfService[upstream.AvailabilityZone] {
			s.byService[upstream.Service] = append(s.byService[upstream.Service], c)
		}
	}
	s.candidates = candidates
	s.dropCompared()
	s.recomputePeerLoads(time.Time{})
}

// EjectedUpstreams returns the number of upstreams that get trials only.
func (s *Selector) EjectedUpstreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, c := range s.candidates {
		if c.health.trialLimit > 0 {
			count++
		}
	}
	return count
}

// Choose selects the upstream with the lowest cost and adds the request to its
// load. The caller must release the reservation once.
func (s *Selector) Choose(request *Request, now time.Time) (*Reservation, Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.choices++
	service := s.service(request.Service)
	var best, ejected cheapest
	hasOther := false
	result := NoUpstream
	for _, c := range s.byService[request.Service] {
		if c.availability.isLeaving || !request.allows(c.upstream) {
			continue
		}
		eligibility := s.eligibility(c, request, service, now)
		if eligibility < result {
			result = eligibility
		}
		isEjected := c.health.isEjected(now)
		hasOther = hasOther || eligibility <= Busy && !isEjected
		switch {
		case eligibility != Chosen:
		case isEjected:
			ejected.add(c, s.costMillis(c, request, now))
		default:
			best.add(c, s.costMillis(c, request, now))
		}
	}
	if best.candidate == nil && !hasOther && !request.IsSpare {
		// All upstreams that could serve the request have failed.
		best = ejected
	}
	if best.candidate == nil {
		if result == Chosen {
			// Only ejected upstreams could serve the request now.
			result = Busy
		}
		return nil, result
	}
	return s.reserve(best.candidate, request, now), Chosen
}

// cheapest is the candidate with the lowest cost. Its zero value has none.
type cheapest struct {
	candidate  *candidate
	costMillis float64
}

func (b *cheapest) add(c *candidate, costMillis float64) {
	if b.candidate == nil || costMillis < b.costMillis {
		b.candidate, b.costMillis = c, costMillis
	}
}

func (s *Selector) service(name string) *catalog.Service {
	if s.topology.Catalog == nil {
		return nil
	}
	service, _ := s.topology.Catalog.Service(name)
	return service
}

// allows reports whether the request may run on the upstream at all.
func (r *Request) allows(upstream *catalog.Upstream) bool {
	if r.SoftwareVersion.IsKnown() && upstream.SoftwareVersion != r.SoftwareVersion {
		return false
	}
	return !slices.Contains(r.Excluded, upstream.ID) && !slices.Contains(r.ExcludedAddresses, upstream.Address)
}

// eligibility returns Chosen if the request can be sent to the upstream now, and
// the reason otherwise.
func (s *Selector) eligibility(c *candidate, request *Request, service *catalog.Service, now time.Time) Result {
	if request.Model != "" {
		if !c.upstream.Serves(request.Model, "") {
			return ModelAbsent
		}
		if request.Adapter != "" && !c.upstream.Serves(request.Model, request.Adapter) {
			return AdapterAbsent
		}
	}
	if request.IsResumable && !request.SoftwareVersion.IsKnown() && !s.config.IsPinnable(request.Service, c.upstream.SoftwareVersion) {
		return Busy
	}
	if c.availability.isPaused(now) {
		return Paused
	}
	if !s.rateLimitAllows(c, request, now) {
		return RateLimited
	}
	if request.IsSpare && !c.isIdle() {
		return Busy
	}
	if c.health.inBackoff(now) || !c.health.allowsTrial() || !s.coldLimitAllows(c, service, now) {
		return Busy
	}
	if request.Model == "" {
		return s.plainEligibility(c, request, now)
	}
	if !c.hasCapacity(request, service) {
		return Busy
	}
	return Chosen
}

// hasCapacity reports whether the upstream can start the request without queueing
// it.
func (c *candidate) hasCapacity(request *Request, service *catalog.Service) bool {
	return c.hasFreeSlot() && c.hasPromptRoom(request) && c.hasCacheRoom(request, service)
}

func (c *candidate) hasFreeSlot() bool {
	return float64(c.inFlight()) < maxSlotFraction*float64(c.upstream.Slots)
}

// hasPromptRoom reports whether another prompt may wait at the engine.
func (c *candidate) hasPromptRoom(request *Request) bool {
	waiting, weight := c.waitingTokens(), 1-request.LengthDiscount
	bound := maxWaitingTokensBefore + weight*(maxWaitingTokens-maxWaitingTokensBefore)
	return waiting <= 0 || waiting+weight*c.uncachedTokens(request) <= bound
}

// hasCacheRoom reports whether the KV cache has room for another request.
func (c *candidate) hasCacheRoom(request *Request, service *catalog.Service) bool {
	if service == nil || service.Engine == nil || c.inFlight() == 0 {
		return true
	}
	size := float64(service.Engine.KVCacheTokens)
	used, needed := c.ownLoad.CacheTokens+c.peerLoad.CacheTokens, request.PromptTokens+request.OutputTokens
	weight := 1 - request.LengthDiscount
	bound := maxCacheFractionBefore + weight*(maxCacheFraction-maxCacheFractionBefore)
	return used+needed <= size && used+weight*needed <= bound*size
}

// uncachedTokens returns the number of prompt tokens that are not in the engine's
// KV cache.
func (c *candidate) uncachedTokens(request *Request) float64 {
	return max(request.PromptTokens-c.cachedPrefixes.longestMatch(request.Prefixes), 0)
}

// costMillis estimates the time to the first byte.
func (s *Selector) costMillis(c *candidate, request *Request, now time.Time) float64 {
	var cost float64
	if c.upstream.AvailabilityZone != s.config.AvailabilityZone {
		cost += crossZoneCostMillis
	}
	cost += c.health.penaltyMillis(now)
	if request.Model == "" {
		return cost + s.plainCostMillis(c, now)
	}
	work := (c.waitingTokens() + c.uncachedTokens(request)) / prefillTokensPerMilli
	work += float64(c.inFlight()) * runningRequestCostMillis
	factor := c.pace.factor(now)
	cost += work*factor + (factor-1)*slowCostMillis
	cost += c.pauseCostMillis(request)
	return cost + tieBreakMillis(c.hash, affinityHash(request))
}

// affinityHash returns the hash of the second longest prefix. Requests that
// share this prefix get the same hash, so that all instances prefer the same
// engine for them. It returns 0 for a prompt with fewer than two prefixes.
func affinityHash(request *Request) uint64 {
	if len(request.Prefixes) < 2 {
		return 0
	}
	return request.Prefixes[len(request.Prefixes)-2].Hash
}

// tieBreakRangeMillis is the range of the tie-break. It outweighs the cost of a
// few running requests, so that prompts with a common prefix go to the same
// engine.
const tieBreakRangeMillis = 12.0

// tieBreakMillis returns a tie-break between 0 and tieBreakRangeMillis, which
// depends on the upstream and the affinity hash.
func tieBreakMillis(hash, affinity uint64) float64 {
	h := (hash ^ affinity*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return tieBreakRangeMillis * float64(h>>40) / float64(1<<24)
}
