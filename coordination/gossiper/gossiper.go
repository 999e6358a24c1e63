// Package gossiper exchanges heartbeats between instances and tracks which of
// them are alive.
//
// Instances discover each other through a durable registry, and through the
// heartbeats of instances that have discovered them. Heartbeats may be lost, so
// each full one carries the complete current status of its sender.
package gossiper

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/crocushollow/crocushollow/state/encoder"
)

// Link sends and receives datagrams. Its methods are safe for concurrent use.
type Link interface {
	Send(to string, payload []byte) error
	// Receive returns the next datagram, or an error once the link is closed.
	// The payload is valid until the next call.
	Receive() ([]byte, error)
	Close() error
}

// Registry is a durable list of instances. Instances stay listed after they stop.
type Registry interface {
	Register(ctx context.Context, peer Peer) error
	List(ctx context.Context) ([]Peer, error)
}

// Config configures a Gossiper. All fields are required.
type Config struct {
	Self     Peer
	Link     Link
	Registry Registry
	// BuildHeartbeat returns this instance's current heartbeat with an empty From.
	BuildHeartbeat func() Heartbeat
	// OnHeartbeat is called from the control goroutine for each received
	// heartbeat.
	OnHeartbeat func(*Heartbeat)
	// OnPeerRemoved is called from the control goroutine for an instance that has
	// been silent for removalTimeout or has shut down.
	OnPeerRemoved func(instance string)
	Logger        zerolog.Logger
	Now           func() time.Time
}

// Timing of heartbeats and of the registry.
const (
	// heartbeatPeriod is the interval between two heartbeats to an instance in
	// the same availability zone.
	heartbeatPeriod = 250 * time.Millisecond
	// remotePeriods is the number of periods between two heartbeats to an
	// instance in another availability zone, where traffic costs more. Two
	// heartbeats may be lost before livenessTimeout has passed.
	remotePeriods = 2
	// silentPeriods is the number of periods between two heartbeats to an
	// instance that sends none.
	silentPeriods = 8
	// livenessTimeout is how long an instance counts as alive after its last
	// heartbeat.
	livenessTimeout = 2200 * time.Millisecond
	// removalTimeout is the time without a heartbeat after which an instance is
	// removed. Until then it may be cut off and still use its share of the
	// limits.
	removalTimeout = 20 * time.Second
	// listPeriod is the interval between two reads of the registry, and
	// listTimeout bounds one read.
	listPeriod  = 30 * time.Second
	listTimeout = time.Second
	// listRetryDelay is the time until the next read after a failed one.
	listRetryDelay = 500 * time.Millisecond
)

// Gossiper exchanges heartbeats with all instances. It is safe for concurrent
// use.
type Gossiper struct {
	config Config
	fleet  atomic.Pointer[Fleet]
	inbox  chan *Heartbeat
	listed chan []Peer
	// zonePeers holds the addresses of the other instances in this instance's
	// availability zone. Messages from other zones are forwarded to them.
	zonePeers atomic.Pointer[[]string]
	// outbox queues heartbeats that are sent outside the regular rounds.
	outbox chan outgoing
	done   chan struct{}
}

// outgoing is a heartbeat that is sent outside the regular rounds.
type outgoing struct {
	heartbeat Heartbeat
	// to is the address of the receiver. It is empty for a broadcast.
	to string
	// zoneOnly limits a broadcast to this instance's availability zone.
	zoneOnly bool
}

// queueCapacity bounds the queues of received and of outgoing heartbeats.
const queueCapacity = 256

// New returns a gossiper that is not running. Run starts it.
func New(config Config) *Gossiper {
	g := &Gossiper{
		config: config,
		inbox:  make(chan *Heartbeat, queueCapacity),
		listed: make(chan []Peer),
		outbox: make(chan outgoing, queueCapacity),
		done:   make(chan struct{}),
	}
	g.fleet.Store(&Fleet{Size: 1, Names: []string{config.Self.Instance}})
	return g
}

// Done returns a channel that is closed when Run has returned.
func (g *Gossiper) Done() <-chan struct{} { return g.done }

// SendTo sends a heartbeat to one address without delay. It drops the heartbeat if
// the queue is full, as Broadcast and BroadcastToZone do.
func (g *Gossiper) SendTo(address string, heartbeat Heartbeat) {
	g.enqueue(outgoing{heartbeat: heartbeat, to: address})
}

// Broadcast sends a heartbeat to all instances without delay.
func (g *Gossiper) Broadcast(heartbeat Heartbeat) { g.enqueue(outgoing{heartbeat: heartbeat}) }

// BroadcastToZone sends a heartbeat to the other instances in this instance's
// availability zone without delay.
func (g *Gossiper) BroadcastToZone(heartbeat Heartbeat) {
	g.enqueue(outgoing{heartbeat: heartbeat, zoneOnly: true})
}

func (g *Gossiper) enqueue(message outgoing) {
	select {
	case g.outbox <- message:
	default:
		g.config.Logger.Warn().Int("waiting", queueCapacity).Msg("outgoing heartbeat dropped: queue is full")
	}
}

// Run exchanges heartbeats until the context ends.
func (g *Gossiper) Run(ctx context.Context) error {
	defer close(g.done)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.receive(ctx) })
	group.Go(func() error { return g.pollRegistry(ctx) })
	group.Go(func() error {
		return errors.Join(g.control(ctx), g.config.Link.Close())
	})
	return group.Wait()
}

// receive forwards and decodes datagrams until the link is closed.
func (g *Gossiper) receive(ctx context.Context) error {
	for {
		payload, err := g.config.Link.Receive()
		if err == nil && isForwarded(payload) {
			payload = payload[1:]
			g.forwardToZone(payload)
		}
		switch {
		case ctx.Err() != nil:
			// control closes the link when the context ends, which unblocks
			// Receive.
			return context.Cause(ctx)
		case err != nil:
			return err
		}
		heartbeat := new(Heartbeat)
		if err := encoder.Decode(payload, heartbeat); err != nil {
			g.config.Logger.Warn().Err(err).Int("bytes", len(payload)).Msg("datagram discarded: invalid heartbeat")
			continue
		}
		select {
		case g.inbox <- heartbeat:
		case <-ctx.Done():
			return nil
		}
	}
}

// pollRegistry registers this instance and reads the registry periodically.
func (g *Gossiper) pollRegistry(ctx context.Context) error {
	isRegistered := false
	for {
		pause := listPeriod
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		err := error(nil)
		if !isRegistered {
			err = g.config.Registry.Register(callCtx, g.config.Self)
			isRegistered = err == nil
		}
		var peers []Peer
		if err == nil {
			peers, err = g.config.Registry.List(callCtx)
		}
		cancel()
		if err != nil {
			g.config.Logger.Warn().Err(err).Msg("registry of instances failed")
			pause = listRetryDelay
		}
		select {
		case g.listed <- peers:
		case <-ctx.Done():
			return nil
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// control maintains the members and sends heartbeats until the context ends. It
// alone accesses the members.
func (g *Gossiper) control(ctx context.Context) error {
	members := make(map[string]*member)
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for round := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case heartbeat := <-g.inbox:
			if !g.handleHeartbeat(members, heartbeat) {
				continue
			}
		case peers := <-g.listed:
			for _, peer := range peers {
				g.addListed(members, peer)
			}
		case message := <-g.outbox:
			message.heartbeat.From = g.config.Self
			if message.heartbeat.IsPartial() {
				message.heartbeat.From.CallerAddress, message.heartbeat.From.AvailabilityZone = "", ""
			}
			g.send(members, message)
			continue
		case <-ticker.C:
			round++
			g.removeStale(members)
			g.sendRound(members, round)
		}
		g.fleet.Store(g.summarize(members))
		g.updateZonePeers(members)
	}
}

// handleHeartbeat updates the members from a received heartbeat and passes it to
// OnHeartbeat. It reports whether the fleet has changed.
func (g *Gossiper) handleHeartbeat(members map[string]*member, heartbeat *Heartbeat) bool {
	from := heartbeat.From
	if from.Instance == g.config.Self.Instance {
		return false
	}
	now := g.config.Now()
	known := members[from.Instance]
	if heartbeat.IsPartial() {
		if known != nil && known.peer.Incarnation == from.Incarnation {
			g.config.OnHeartbeat(heartbeat)
		}
		return false
	}
	isNew := known == nil || known.lastHeartbeatAt.IsZero() || known.peer.Incarnation != from.Incarnation
	if isNew {
		known = &member{}
		members[from.Instance] = known
		g.config.Logger.Info().Str("peer", from.Instance).Str("address", from.Address).Msg("instance heard")
	}
	hasChanged := isNew || now.Sub(known.lastHeartbeatAt) > livenessTimeout || known.isReady != heartbeat.Ready ||
		known.isDraining != heartbeat.Draining || known.fencingToken != heartbeat.FencingToken
	known.peer, known.lastHeartbeatAt = from, now
	known.isReady, known.isDraining, known.fencingToken = heartbeat.Ready, heartbeat.Draining, heartbeat.FencingToken
	g.config.OnHeartbeat(heartbeat)
	if isNew {
		g.send(members, outgoing{heartbeat: g.buildHeartbeat(), to: from.Address})
	}
	return hasChanged
}

// buildHeartbeat returns this instance's current heartbeat.
func (g *Gossiper) buildHeartbeat() Heartbeat {
	heartbeat := g.config.BuildHeartbeat()
	heartbeat.From = g.config.Self
	return heartbeat
}

// sendRound sends the current heartbeat to the members that are due in a round.
func (g *Gossiper) sendRound(members map[string]*member, round int) {
	heartbeat := g.buildHeartbeat()
	withDemand, err := encoder.Encode(&heartbeat)
	if err != nil {
		g.config.Logger.Error().Err(err).Msg("failed to encode heartbeat")
		return
	}
	// Only the planner leader needs the demand.
	heartbeat.Demand = nil
	withoutDemand, err := encoder.Encode(&heartbeat)
	if err != nil {
		g.config.Logger.Error().Err(err).Msg("failed to encode heartbeat")
		return
	}
	now := g.config.Now()
	isLarge := len(members) > LargeFleetSize
	for _, m := range members {
		isRemote := m.peer.AvailabilityZone != g.config.Self.AvailabilityZone
		isSilent := now.Sub(m.lastHeartbeatAt) > livenessTimeout
		periods := 1
		switch {
		case isSilent:
			periods = silentPeriods
		case isRemote:
			periods = remotePeriods
		}
		if round%periods != 0 && round >= silentPeriods {
			continue
		}
		switch {
		case m.fencingToken > 0:
			g.sendPayload(m.peer.Address, withDemand)
		case !isLarge || !isRemote || isSilent:
			g.sendPayload(m.peer.Address, withoutDemand)
		}
	}
	if isLarge && round%remotePeriods == 0 {
		g.sendToForwarders(members, withoutDemand)
	}
}

// send sends a heartbeat to its receiver, or broadcasts it.
func (g *Gossiper) send(members map[string]*member, message outgoing) {
	payload, err := encoder.Encode(&message.heartbeat)
	if err != nil {
		g.config.Logger.Error().Err(err).Msg("failed to encode outgoing heartbeat")
		return
	}
	if message.to != "" {
		g.sendPayload(message.to, payload)
		return
	}
	isLarge := len(members) > LargeFleetSize
	for _, m := range members {
		isRemote := m.peer.AvailabilityZone != g.config.Self.AvailabilityZone
		if !isRemote || !message.zoneOnly && !isLarge {
			g.sendPayload(m.peer.Address, payload)
		}
	}
	if isLarge && !message.zoneOnly {
		g.sendToForwarders(members, payload)
	}
}

func (g *Gossiper) sendPayload(to string, payload []byte) {
	if err := g.config.Link.Send(to, payload); err != nil {
		g.config.Logger.Debug().Err(err).Str("to", to).Msg("failed to send datagram")
	}
}
