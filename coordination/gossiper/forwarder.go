package gossiper

import (
	"math/rand/v2"
	"slices"
)

// forwardMarker is the first byte of a message that its receiver forwards to the
// other instances of its availability zone. No CBOR item starts with this byte.
const forwardMarker = 0xff

func isForwarded(payload []byte) bool { return len(payload) > 1 && payload[0] == forwardMarker }

// sendToForwarders sends a message to one instance in each other availability
// zone, which forwards it within its zone. A large fleet thus sends one copy per
// zone between zones, not one per instance.
func (g *Gossiper) sendToForwarders(members map[string]*member, payload []byte) {
	now := g.config.Now()
	byZone := make(map[string][]string)
	for _, m := range members {
		zone := m.peer.AvailabilityZone
		if zone != g.config.Self.AvailabilityZone && !m.isDraining && now.Sub(m.lastHeartbeatAt) <= livenessTimeout {
			byZone[zone] = append(byZone[zone], m.peer.Address)
		}
	}
	marked := append([]byte{forwardMarker}, payload...)
	for _, addresses := range byZone {
		// Random forwarders share the load, and the next message gets through if
		// one of them fails.
		g.sendPayload(addresses[rand.IntN(len(addresses))], marked)
	}
}

// updateZonePeers updates the addresses that messages are forwarded to.
func (g *Gossiper) updateZonePeers(members map[string]*member) {
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		if m.peer.AvailabilityZone == g.config.Self.AvailabilityZone {
			addresses = append(addresses, m.peer.Address)
		}
	}
	slices.Sort(addresses)
	if known := g.zonePeers.Load(); known == nil || !slices.Equal(*known, addresses) {
		g.zonePeers.Store(&addresses)
	}
}

// forwardToZone sends a message to the other instances in this instance's
// availability zone.
func (g *Gossiper) forwardToZone(payload []byte) {
	addresses := g.zonePeers.Load()
	if addresses == nil {
		return
	}
	for _, address := range *addresses {
		g.sendPayload(address, payload)
	}
}
