//go:build review

package harness

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// lateCopyOptions is a site with more adapters than its engines have places for, as on
// the operators' deployments.
var lateCopyOptions = siteOptions{
	instances: 2, adapters: 37, adapterSlots: 3, timeout: 15 * time.Second, engines: lateCopyEngines(),
}

func lateCopyEngines() []engineConfig {
	var engines []engineConfig
	for number := range 5 {
		engines = append(engines, engineConfig{
			id: fmt.Sprintf("i-%02x", number), zone: []string{"akl", "hlz", "wlg"}[number%3], version: "v1",
			events: 10, interval: 12 * time.Millisecond, adapterLoad: 14 * time.Millisecond,
		})
	}
	return engines
}

// Dose of the disruption: three of five engines send 3 in 100 of their answers twice, for
// 5 s at a time.
const (
	copyShare     = 0.03
	copyDuration  = 5 * time.Second
	copyPeriods   = 12
	faultyEngines = 3
)

// runLateCopy sends streams that must run at most once, for adapters that are loaded on
// demand. An engine sends some of its refusals again, where it should send the answer to
// the next request.
func runLateCopy(s *site, trouble bool) ([]string, error) {
	c := newCallers(s)
	for range copyPeriods {
		for _, e := range s.engines[:faultyEngines] {
			if trouble {
				s.record.add("%s sends %g of its answers twice from now on", e.config.id, copyShare)
				e.setCopyShare(copyShare)
			}
		}
		pace(40, copyDuration, func(number int) { startWithAdapter(c, number) })
		for _, e := range s.engines[:faultyEngines] {
			e.setCopyShare(0)
		}
		pace(40, time.Second, func(number int) { startWithAdapter(c, number) })
	}
	responses := c.wait()
	runs := make(map[string][]string)
	for _, e := range s.engines {
		s.record.add("%s: %d runs, %d refusals, %d of them sent twice", e.config.id, len(e.allRuns()), e.refusals, e.copies)
		for _, r := range e.allRuns() {
			runs[r.id] = append(runs[r.id], e.config.id)
		}
	}
	var violations []string
	for id, engines := range runs {
		if len(engines) > 1 {
			violations = append(violations, fmt.Sprintf("TWICE: request %s on a route that may run once ran %d times: %v", id, len(engines), engines))
		}
	}
	for _, r := range responses {
		if ran := len(runs[r.request.id]); ran > 0 && (r.status == 503 || r.status == 429) {
			violations = append(violations, fmt.Sprintf("REFUSED: request %s was answered %d and ran %d times", r.request.id, r.status, ran))
		}
	}
	return violations, nil
}

// startWithAdapter sends a request, every second one for an adapter.
func startWithAdapter(c *callers, number int) {
	adapter := ""
	if number%4 >= 2 {
		adapter = fmt.Sprintf("a%d", 1+rand.IntN(c.site.options.adapters))
	}
	c.start(c.site.instances[number%len(c.site.instances)], streamingPath, adapter)
}
