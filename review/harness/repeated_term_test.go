//go:build review

package harness

import (
	"fmt"
	"syscall"
	"time"
)

var repeatedTermOptions = siteOptions{
	instances: 3, adapters: 0, adapterSlots: 8, timeout: 15 * time.Second,
	engines: []engineConfig{
		{id: "i-0a", zone: "akl", version: "v1", events: 57, interval: 30 * time.Millisecond},
		{id: "i-0b", zone: "hlz", version: "v1", events: 57, interval: 30 * time.Millisecond},
	},
}

// runRepeatedTerm stops an instance while it answers streams. The platform sends SIGTERM
// again before the grace period is over.
func runRepeatedTerm(s *site, trouble bool) ([]string, error) {
	c := newCallers(s)
	stopped := s.instances[0]
	pace(10, time.Second, func(int) { c.start(stopped, streamingPath, "") })
	s.sendSignal(stopped, syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		s.sendSignal(stopped, syscall.SIGTERM)
	}
	var violations []string
	for _, r := range c.wait() {
		if !r.isComplete || len(r.events) < s.options.engines[0].events {
			violations = append(violations, fmt.Sprintf("LOST: the answer to %s ended after %d events: %v", r.request.id, len(r.events), r.err))
		}
	}
	return violations, nil
}
