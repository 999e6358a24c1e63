package soaker

import (
	"fmt"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

const (
	// callersPerGroup is the number of callers that one group of upstreams bears.
	callersPerGroup = 16
	// pacedCallersPerGroup is the number of paced callers for each group, and pacedSlots the
	// number of paced streams that each upstream for them bears.
	pacedCallersPerGroup = 2
	pacedSlots           = 64
)

// groups returns the number of groups of upstreams that bear the callers. A group has four
// engines, half of them with another version of the software, two plain upstreams and
// two for paced streams.
func (c *Config) groups() int { return max((c.Callers+callersPerGroup-1)/callersPerGroup, 1) }

// startUpstreams starts the upstreams that the platform does not have at its start.
func (s *Soaker) startUpstreams() {
	for number := range s.config.groups() {
		for _, zone := range []string{"za", "zb"} {
			s.site.StartUpstream(platformtest.UpstreamConfig{
				ID: fmt.Sprintf("i-paced-%s-%d", zone, number), Service: platformtest.PacedService, Zone: zone, Slots: pacedSlots,
				EventsPerStream: eventsPerStream,
			})
			s.site.StartUpstream(engineConfig(fmt.Sprintf("i-new-%s-%d", zone, number), zone, "v2"))
			if number == 0 {
				continue
			}
			s.site.StartUpstream(engineConfig(fmt.Sprintf("i-old-%s-%d", zone, number), zone, "v1"))
			s.site.StartUpstream(platformtest.UpstreamConfig{
				ID: fmt.Sprintf("i-plain-%s-%d", zone, number), Service: platformtest.PlainService, Zone: zone, Slots: 4,
			})
		}
	}
}

func engineConfig(id, zone, version string) platformtest.UpstreamConfig {
	return platformtest.UpstreamConfig{
		ID: id, Service: platformtest.ModelService, Zone: zone, Slots: 8, Models: []string{platformtest.Model},
		MemoryMB: 200000, ModelMemoryMB: 65000, AdapterSlots: 2, LoadTime: 100 * time.Millisecond, EventsPerStream: eventsPerStream,
		SoftwareVersion: version,
	}
}
