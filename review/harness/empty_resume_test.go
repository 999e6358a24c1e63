//go:build review

package harness

import (
	"fmt"
	"time"
)

// emptyResumeOptions is a site with eight engines, five of which send answers without a
// length.
var emptyResumeOptions = siteOptions{
	instances: 2, adapters: 0, adapterSlots: 8, timeout: 12 * time.Second, engines: emptyResumeEngines(),
}

const (
	unframedEngines = 5
	streamEvents    = 40
)

func emptyResumeEngines() []engineConfig {
	var engines []engineConfig
	for number := range 8 {
		engines = append(engines, engineConfig{
			id: fmt.Sprintf("i-%02x", number), zone: []string{"akl", "hlz", "wlg"}[number%3], version: "v1",
			events: streamEvents, interval: 50 * time.Millisecond, prefill: 300 * time.Millisecond, isUnframed: number < unframedEngines,
		})
	}
	return engines
}

// secondCrashDelay is the time between the two crashes.
const secondCrashDelay = 150 * time.Millisecond

// runEmptyResume sends streams that may be resumed. An engine crashes, and then one of
// the engines at which its streams go on.
func runEmptyResume(s *site, trouble bool) ([]string, error) {
	c := newCallers(s)
	pace(20, 2*time.Second, func(number int) { c.start(s.instances[number%len(s.instances)], resumablePath, "") })
	empty := make(map[string]bool)
	if trouble {
		first := s.busiestFramedEngine()
		s.record.add("%s crashes", first.config.id)
		first.crash()
		time.Sleep(secondCrashDelay)
		if second := s.resumingEngine(); second != nil {
			s.record.add("%s crashes", second.config.id)
			second.crash()
			for _, r := range second.allRuns() {
				empty[r.id] = r.after > 0 && r.events == 0
			}
		}
	}
	var violations []string
	for _, r := range c.wait() {
		// A stream without a length that ends between two events looks complete to
		// everyone, so only those without any event of the second engine count.
		if empty[r.request.id] && r.status == 200 && r.isComplete && len(r.events) < streamEvents {
			violations = append(violations, fmt.Sprintf("ORDER: the answer to %s ends as complete after %d of %d events", r.request.id, len(r.events), streamEvents))
		}
	}
	return violations, nil
}

// busiestFramedEngine returns the engine that has run most requests, of those whose
// answers show where they end.
func (s *site) busiestFramedEngine() *engine {
	var best *engine
	for _, e := range s.allEngines() {
		if !e.config.isUnframed && (best == nil || len(e.allRuns()) > len(best.allRuns())) {
			best = e
		}
	}
	return best
}

// resumingEngine returns an engine without framing that runs a resumed request, or nil.
func (s *site) resumingEngine() *engine {
	for _, e := range s.allEngines() {
		if e.isDown() || !e.config.isUnframed {
			continue
		}
		for _, r := range e.allRuns() {
			if r.after > 0 && r.events == 0 {
				return e
			}
		}
	}
	return nil
}
