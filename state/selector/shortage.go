package selector

import (
	"time"

	"github.com/crocushollow/crocushollow/catalog"
)

// Shortage describes why no engine starts a request. An engine with several causes counts for
// the first of them, in the order of the fields.
type Shortage struct {
	// Engines is the number of engines that have loaded the model and the adapter.
	Engines int
	// Unhealthy counts the engines that are ejected, in backoff or limited to trials, Slots
	// those without a free slot, Prompts those where too many prompt tokens wait, and Cache
	// those without room in the KV cache. Other counts the rest.
	Unhealthy, Slots, Prompts, Cache, Other int
	// LeastWaitingTokens is the number of prompt tokens that wait at the engine with the
	// fewest. OwnWaitingTokens is the part of them that this instance has sent.
	LeastWaitingTokens, OwnWaitingTokens float64
}

// Shortage returns why no engine starts a request now.
func (s *Selector) Shortage(request *Request, now time.Time) Shortage {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.service(request.Service)
	var shortage Shortage
	for _, c := range s.byService[request.Service] {
		if c.availability.isLeaving || !request.allows(c.upstream) || !c.upstream.Serves(request.Model, request.Adapter) {
			continue
		}
		if waiting := c.waitingTokens(); shortage.Engines == 0 || waiting < shortage.LeastWaitingTokens {
			shortage.LeastWaitingTokens, shortage.OwnWaitingTokens = waiting, c.ownLoad.WaitingTokens
		}
		shortage.Engines++
		*shortage.cause(c, request, service, now)++
	}
	return shortage
}

// cause returns the count of the first cause for which an engine does not start a request.
func (s *Shortage) cause(c *candidate, request *Request, service *catalog.Service, now time.Time) *int {
	switch {
	case c.health.inBackoff(now) || c.health.isEjected(now) || !c.health.allowsTrial():
		return &s.Unhealthy
	case !c.hasFreeSlot():
		return &s.Slots
	case !c.hasPromptRoom(request):
		return &s.Prompts
	case !c.hasCacheRoom(request, service):
		return &s.Cache
	}
	return &s.Other
}
