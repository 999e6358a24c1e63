package gossiper

import "github.com/crocushollow/crocushollow/state/encoder"

// buildHeartbeat returns this instance's current heartbeat.
func (g *Gossiper) buildHeartbeat() Heartbeat {
	heartbeat := g.config.BuildHeartbeat()
	heartbeat.From = g.config.Self
	g.isReady, g.isDraining = heartbeat.Ready, heartbeat.Draining
	return heartbeat
}

// sendRound sends the current heartbeat to the members that are due in a round.
func (g *Gossiper) sendRound(round int) {
	heartbeat := g.buildHeartbeat()
	if g.aggregation != nil {
		g.aggregation.add(&heartbeat, g.config.Now())
	}
	withDemand, ok := g.encode(&heartbeat)
	if !ok {
		return
	}
	// Only the planner leader and the aggregator need the demand.
	rest := heartbeat
	rest.Demand = nil
	withoutDemand, ok := g.encode(&rest)
	if !ok {
		return
	}
	for name, m := range g.members {
		periods := g.sendPeriods(name, m)
		switch {
		case periods == 0 || round%periods != 0 && round >= silentPeriods:
		case m.fencingToken > 0 || name == g.role.aggregator:
			g.sendPayload(m.peer.Address, withDemand)
		default:
			g.sendPayload(m.peer.Address, withoutDemand)
		}
	}
}

// sendPeriods returns the number of periods between two heartbeats to a member. It
// returns 0 if the member gets none.
func (g *Gossiper) sendPeriods(name string, m *member) int {
	isRemote := m.peer.AvailabilityZone != g.config.Self.AvailabilityZone
	isSilent := g.config.Now().Sub(m.lastHeartbeatAt) > livenessTimeout
	switch {
	case name == g.role.aggregator:
		return 1
	case isSilent && (g.role.kind == direct || !isRemote):
		return silentPeriods
	case g.role.kind != direct:
		return 0
	case isRemote:
		return remotePeriods
	}
	return 1
}

// sendOutgoing sends a heartbeat to its receiver, or broadcasts it.
func (g *Gossiper) sendOutgoing(message outgoing) {
	message.heartbeat.From = g.config.Self
	if message.heartbeat.Draining && !g.isDraining {
		g.isDraining = true
		defer g.updateFleet()
	}
	if message.heartbeat.IsPartial() {
		message.heartbeat.From.CallerAddress, message.heartbeat.From.AvailabilityZone = "", ""
	}
	switch {
	case message.to != "":
		g.sendHeartbeat(message.heartbeat, message.to)
	case g.aggregation != nil:
		g.aggregation.add(&message.heartbeat, g.config.Now())
	case g.role.kind == following:
		if m := g.members[g.role.aggregator]; m != nil {
			g.sendHeartbeat(message.heartbeat, m.peer.Address)
		}
	default:
		g.broadcast(&message.heartbeat)
	}
}

// broadcast sends a heartbeat to every member.
func (g *Gossiper) broadcast(heartbeat *Heartbeat) {
	payload, ok := g.encode(heartbeat)
	if !ok {
		return
	}
	for _, m := range g.members {
		g.sendPayload(m.peer.Address, payload)
	}
}

func (g *Gossiper) sendHeartbeat(heartbeat Heartbeat, to string) {
	if payload, ok := g.encode(&heartbeat); ok {
		g.sendPayload(to, payload)
	}
}

func (g *Gossiper) encode(heartbeat *Heartbeat) ([]byte, bool) {
	payload, err := encoder.Encode(heartbeat)
	if err != nil {
		g.config.Logger.Error().Err(err).Msg("failed to encode heartbeat")
	}
	return payload, err == nil
}

func (g *Gossiper) sendPayload(to string, payload []byte) {
	if err := g.config.Link.Send(to, payload); err != nil {
		g.config.Logger.Debug().Err(err).Str("to", to).Msg("failed to send datagram")
	}
}
