package gossiper

import (
	"errors"
	"time"

	"github.com/crocushollow/crocushollow/state/aggregator"
	"github.com/crocushollow/crocushollow/state/encoder"
)

// digestMarker is the first byte of a message that holds a Digest. No CBOR item
// that an instance sends starts with this byte.
const digestMarker = 0xff

func isDigest(payload []byte) bool { return len(payload) > 1 && payload[0] == digestMarker }

// Digest is a message from the aggregator of an availability zone: to the instances
// of its zone about all others, and to the aggregators of other zones about its
// zone.
type Digest struct {
	From Peer `cbor:"1,keyasint"`
	// IsBetweenZones means that the digest covers the sender's zone only.
	IsBetweenZones bool     `cbor:"2,keyasint,omitempty"`
	Rosters        []Roster `cbor:"3,keyasint,omitempty"`
	// Sums is nil while the aggregator has not heard all instances yet.
	Sums *aggregator.Sums `cbor:"4,keyasint,omitempty"`
	// UptimeSeconds is the time since the sender's start.
	UptimeSeconds int64 `cbor:"5,keyasint,omitempty"`
	// IsPassedOn means that the digest did not come from its sender directly.
	IsPassedOn bool `cbor:"7,keyasint,omitempty"`
	// Relayed holds encoded partial heartbeats of other instances.
	Relayed [][]byte `cbor:"6,keyasint,omitempty"`
}

var errForeignRoster = errors.New("digest between zones lists another zone")

// Validate implements encoder.Validator.
func (d Digest) Validate() error {
	if err := d.From.Validate(); err != nil {
		return err
	}
	for _, roster := range d.Rosters {
		if d.IsBetweenZones && roster.AvailabilityZone != d.From.AvailabilityZone {
			return errForeignRoster
		}
		for _, status := range roster.Peers {
			if err := status.Peer.Validate(); err != nil {
				return err
			}
		}
	}
	return nil
}

// handleDigest updates the members from a digest. It reports whether the fleet has
// changed.
func (g *Gossiper) handleDigest(digest *Digest) bool {
	from := digest.From
	if from.Instance == g.config.Self.Instance {
		return false
	}
	now := g.config.Now()
	sender := g.members[from.Instance]
	hasChanged := sender == nil || sender.peer.Incarnation != from.Incarnation || sender.isSuspect || !sender.isAlive(now)
	if sender == nil || sender.peer.Incarnation != from.Incarnation {
		sender = g.addMember(from)
	}
	sender.heardDirectly(now)
	sender.lastHeartbeatAt = now
	if digest.IsBetweenZones {
		return g.handleZoneDigest(digest) || hasChanged
	}
	hasChanged = g.applyRosters(digest) || hasChanged
	if g.role.kind != following || g.role.aggregator != from.Instance {
		return hasChanged
	}
	if digest.Sums != nil {
		g.deliverSums(SumsUpdate{
			Source: fleetSource, Sums: *digest.Sums, Uptime: time.Duration(digest.UptimeSeconds) * time.Second,
		})
	}
	for _, payload := range digest.Relayed {
		g.handleRelayed(payload)
	}
	return hasChanged
}

// handleZoneDigest adds the digest of another zone to the aggregation. An instance
// that is not the aggregator passes the digest on.
func (g *Gossiper) handleZoneDigest(digest *Digest) bool {
	zoneName := digest.From.AvailabilityZone
	if zoneName == g.config.Self.AvailabilityZone {
		return false
	}
	hasChanged := g.applyRosters(digest)
	if g.role.kind == following && !digest.IsPassedOn {
		digest.IsPassedOn = true
		if payload, ok := g.encodeDigest(digest); ok {
			g.sendPayload(g.members[g.role.aggregator].peer.Address, payload)
		}
		return hasChanged
	}
	a := g.aggregation
	if a == nil {
		return hasChanged
	}
	zone := a.zones[zoneName]
	if zone == nil {
		zone = &zoneState{}
		a.zones[zoneName] = zone
	}
	now := g.config.Now()
	zone.heardAt, zone.aggregator = now, digest.From.Address
	for _, roster := range digest.Rosters {
		if len(roster.Peers) > 0 {
			zone.setRoster(roster)
		}
	}
	if digest.Sums != nil {
		a.sums.SetZone(zoneName, digest.Sums, now)
		g.deliverSums(SumsUpdate{Source: zoneSourcePrefix + zoneName, Sums: *digest.Sums})
	}
	for _, payload := range digest.Relayed {
		g.handleRelayed(payload)
		a.toMembers = relay(a.toMembers, payload)
	}
	return hasChanged
}

// deliverSums passes sums to OnSums.
func (g *Gossiper) deliverSums(update SumsUpdate) {
	update.IsNewTerm = g.terms[update.Source] != update.Sums.Term
	g.terms[update.Source] = update.Sums.Term
	g.config.OnSums(update)
}

// handleRelayed passes on the events of an instance that an aggregator relays.
func (g *Gossiper) handleRelayed(payload []byte) {
	heartbeat := new(Heartbeat)
	if err := encoder.Decode(payload, heartbeat); err != nil {
		g.config.Logger.Warn().Err(err).Int("bytes", len(payload)).Msg("relayed heartbeat discarded")
		return
	}
	if heartbeat.From.Instance != g.config.Self.Instance {
		g.config.OnHeartbeat(heartbeat.events())
	}
}
