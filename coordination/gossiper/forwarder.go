package gossiper

import (
	"math/rand/v2"
	"slices"
)

// forwardMark begins a message that its receiver passes on to the other
// instances of its availability zone. No CBOR item begins with it.
const forwardMark = 0xff

func isForwarded(payload []byte) bool { return len(payload) > 1 && payload[0] == forwardMark }

// sendForwarders sends a message to one instance of each other availability
// zone, which passes it on there. Between zones a large fleet then exchanges one
// copy per zone in place of one per instance.
func (g *Gossiper) sendForwarders(members map[string]*member, payload []byte) {
	now := g.config.Now()
	byZone := make(map[string][]string)
	for _, m := range members {
		zone := m.peer.AvailabilityZone
		if zone != g.config.Self.AvailabilityZone && !m.leaving && now.Sub(m.heardAt) <= aliveFor {
			byZone[zone] = append(byZone[zone], m.peer.Address)
		}
	}
	marked := append([]byte{forwardMark}, payload...)
	for _, addresses := range byZone {
		// A random one each time, so that none carries the work of all and the
		// next message comes through where one is lost.
		g.sendPayload(addresses[rand.IntN(len(addresses))], marked)
	}
}

// storeZone notes the addresses that messages are forwarded to.
func (g *Gossiper) storeZone(members map[string]*member) {
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		if m.peer.AvailabilityZone == g.config.Self.AvailabilityZone {
			addresses = append(addresses, m.peer.Address)
		}
	}
	slices.Sort(addresses)
	if known := g.zone.Load(); known == nil || !slices.Equal(*known, addresses) {
		g.zone.Store(&addresses)
	}
}

// forward passes a message on to the own availability zone.
func (g *Gossiper) forward(payload []byte) {
	addresses := g.zone.Load()
	if addresses == nil {
		return
	}
	for _, address := range *addresses {
		g.sendPayload(address, payload)
	}
}
