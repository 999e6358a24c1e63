//go:build review

package harness

import (
	"fmt"
	"strings"
	"time"
)

// versionsOptions is a site in the middle of a release: half of the engines have the new
// version of the software.
var versionsOptions = siteOptions{
	instances: 2, adapters: 0, adapterSlots: 8, timeout: 12 * time.Second, engines: versionedEngines(),
}

func versionedEngines() []engineConfig {
	var engines []engineConfig
	for number := range 8 {
		engines = append(engines, engineConfig{
			id: fmt.Sprintf("i-%02x", number), zone: []string{"akl", "hlz", "wlg"}[number%3],
			version: fmt.Sprintf("v%d", 1+number%2), events: 40, interval: 50 * time.Millisecond,
		})
	}
	return engines
}

// crashedEngines is the number of engines that crash: a quarter of the service.
const crashedEngines = 2

// runVersions sends streams that may be resumed. A quarter of the engines crash.
func runVersions(s *site, trouble bool) ([]string, error) {
	c := newCallers(s)
	time.AfterFunc(3*time.Second, func() {
		for _, e := range s.engines[:crashedEngines] {
			if trouble {
				s.record.add("%s (software %s) crashes", e.config.id, e.config.version)
				e.crash()
			}
		}
	})
	pace(20, 6*time.Second, func(number int) { c.start(s.instances[number%len(s.instances)], resumablePath, "") })
	var mixed []string
	for _, r := range c.wait() {
		versions := make(map[string]int)
		for _, event := range r.events {
			if _, version, found := strings.Cut(event, " software "); found {
				versions[version]++
			}
		}
		if len(versions) > 1 {
			mixed = append(mixed, fmt.Sprintf("ORDER: the answer to %s holds events from two software versions: %v", r.request.id, versions))
		}
	}
	s.record.add("answers with events from two software versions: %d", len(mixed))
	// The rule is broken by more than two streams.
	if len(mixed) <= 2 {
		for _, text := range mixed {
			s.record.add("%s", text)
		}
		return nil, nil
	}
	return mixed, nil
}
