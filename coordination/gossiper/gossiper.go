// Package gossiper exchanges heartbeats between instances and tracks which of
// them are alive.
//
// Instances discover each other through a durable registry, and through the
// heartbeats of instances that have discovered them. Heartbeats may be lost, so
// each full one carries the complete current status of its sender.
//
// In a small fleet every instance sends its heartbeats to every other one. In a
// large fleet each availability zone has an aggregator: the instances of the zone
// send their heartbeats to it, the aggregators of the zones exchange sums, and each
// instance receives the sums over all others from its aggregator. What an instance
// sends and receives thus does not grow with the fleet.
package gossiper

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/aggregator"
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
	// IsRegistered reports whether the registration of this instance is still listed, as
	// far as is known without a call.
	IsRegistered() bool
	List(ctx context.Context) ([]Peer, error)
}

// Config configures a Gossiper. All fields are required. Its callbacks are called
// from the control goroutine.
type Config struct {
	Self     Peer
	Link     Link
	Registry Registry
	// BuildHeartbeat returns this instance's current heartbeat with an empty From.
	BuildHeartbeat func() Heartbeat
	// OnHeartbeat is called for each received heartbeat. Its loads, uses and demand
	// are left out if sums include them.
	OnHeartbeat func(*Heartbeat)
	// OnSums is called with the sums over several instances.
	OnSums func(SumsUpdate)
	// OnSourceRemoved is called for an instance that has been silent for
	// removalTimeout or has shut down, and for an instance or a source of sums whose
	// reports are now included in other sums.
	OnSourceRemoved func(source string)
	Logger          zerolog.Logger
	Now             func() time.Time
}

// SumsUpdate holds sums over several instances.
type SumsUpdate struct {
	// Source names the instances.
	Source string
	Sums   aggregator.Sums
	// IsNewTerm means that the sums replace all earlier ones of the source.
	IsNewTerm bool
	// Uptime is the time since the start of the instance that computed the sums. It is
	// 0 if the source is another zone.
	Uptime time.Duration
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
	// aggregatedListPeriod is the interval in an aggregated fleet, whose rosters list
	// all instances.
	aggregatedListPeriod = 5 * time.Minute
	// listRetryDelay is the time until the next read after a failed one.
	listRetryDelay = 500 * time.Millisecond
	// registrationCheckPeriod is the time between two checks whether the registration is
	// lost.
	registrationCheckPeriod = 500 * time.Millisecond
)

// Gossiper exchanges heartbeats with all instances. It is safe for concurrent
// use.
type Gossiper struct {
	config    Config
	startedAt time.Time
	fleet     atomic.Pointer[Fleet]
	inbox     chan message
	listed    chan []Peer
	// outbox queues heartbeats that are sent outside the regular rounds.
	outbox chan outgoing
	done   chan struct{}

	// The fields below are accessed by the control goroutine only.

	members map[string]*member
	role    role
	// terms holds the term of the last sums by source.
	terms map[string]crocushollow.Incarnation
	// isReady and isDraining are the status in this instance's last heartbeat.
	isReady, isDraining bool
	// aggregation is nil unless this instance aggregates for its availability zone.
	aggregation *aggregation
}

// message is a received datagram. Exactly one of heartbeat and digest is set.
type message struct {
	heartbeat *Heartbeat
	digest    *Digest
}

// outgoing is a heartbeat that is sent outside the regular rounds.
type outgoing struct {
	heartbeat Heartbeat
	// to is the address of the receiver. It is empty for a broadcast.
	to string
}

// queueCapacity bounds the queues of received and of outgoing heartbeats.
const queueCapacity = 256

// New returns a gossiper that is not running. Run starts it.
func New(config Config) *Gossiper {
	g := &Gossiper{
		config:    config,
		startedAt: config.Now(),
		inbox:     make(chan message, queueCapacity),
		listed:    make(chan []Peer),
		outbox:    make(chan outgoing, queueCapacity),
		done:      make(chan struct{}),
		members:   make(map[string]*member),
		terms:     make(map[string]crocushollow.Incarnation),
	}
	g.fleet.Store(&Fleet{Size: 1, Names: []string{config.Self.Instance}})
	return g
}

// Done returns a channel that is closed when Run has returned.
func (g *Gossiper) Done() <-chan struct{} { return g.done }

// SendTo sends a heartbeat to one address without delay. It drops the heartbeat if
// the queue is full, as Broadcast does.
func (g *Gossiper) SendTo(address string, heartbeat Heartbeat) {
	g.enqueue(outgoing{heartbeat: heartbeat, to: address})
}

// Broadcast sends a heartbeat to all instances without delay.
func (g *Gossiper) Broadcast(heartbeat Heartbeat) { g.enqueue(outgoing{heartbeat: heartbeat}) }

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

// receive decodes datagrams until the link is closed.
func (g *Gossiper) receive(ctx context.Context) error {
	for {
		payload, err := g.config.Link.Receive()
		switch {
		case ctx.Err() != nil:
			// control closes the link when the context ends, which unblocks
			// Receive.
			return context.Cause(ctx)
		case err != nil:
			return err
		}
		received, err := decodeMessage(payload)
		if err != nil {
			g.config.Logger.Warn().Err(err).Int("bytes", len(payload)).Msg("datagram discarded: invalid message")
			continue
		}
		select {
		case g.inbox <- received:
		case <-ctx.Done():
			return nil
		}
	}
}

func decodeMessage(payload []byte) (message, error) {
	if isDigest(payload) {
		digest := new(Digest)
		err := encoder.Decode(payload[1:], digest)
		return message{digest: digest}, err
	}
	heartbeat := new(Heartbeat)
	err := encoder.Decode(payload, heartbeat)
	return message{heartbeat: heartbeat}, err
}

// pollRegistry registers this instance and reads the registry periodically, and at once
// when the registration is lost.
func (g *Gossiper) pollRegistry(ctx context.Context) error {
	ticker := time.NewTicker(registrationCheckPeriod)
	defer ticker.Stop()
	var nextAt time.Time
	for {
		if now := g.config.Now(); !now.Before(nextAt) || !g.config.Registry.IsRegistered() {
			peers, pause := g.readRegistry(ctx)
			nextAt = now.Add(pause)
			select {
			case g.listed <- peers:
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// readRegistry registers this instance if necessary. It returns the registered instances
// and the time until the next read.
func (g *Gossiper) readRegistry(ctx context.Context) ([]Peer, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	err := error(nil)
	if !g.config.Registry.IsRegistered() {
		err = g.config.Registry.Register(ctx, g.config.Self)
	}
	var peers []Peer
	if err == nil {
		peers, err = g.config.Registry.List(ctx)
	}
	switch {
	case err != nil:
		g.config.Logger.Warn().Err(err).Msg("registry of instances failed")
		return nil, listRetryDelay
	case g.fleet.Load().IsAggregated:
		return peers, aggregatedListPeriod
	}
	return peers, listPeriod
}

// control maintains the members and sends heartbeats until the context ends.
func (g *Gossiper) control(ctx context.Context) error {
	heartbeats := time.NewTicker(heartbeatPeriod)
	defer heartbeats.Stop()
	digests := time.NewTicker(digestPeriod)
	defer digests.Stop()
	digests.Stop()
	for round := 0; ; {
		wasAggregator := g.aggregation != nil
		select {
		case <-ctx.Done():
			return nil
		case received := <-g.inbox:
			if g.handleMessage(received) {
				g.updateFleet()
			}
		case peers := <-g.listed:
			for _, peer := range peers {
				g.addListed(peer)
			}
			g.updateFleet()
		case outgoing := <-g.outbox:
			g.sendOutgoing(outgoing)
		case <-heartbeats.C:
			round++
			g.removeStale()
			g.updateFleet()
			g.sendRound(round)
		case <-digests.C:
			g.sendDigests()
		}
		if isAggregator := g.aggregation != nil; isAggregator && !wasAggregator {
			digests.Reset(digestPeriod)
		} else if !isAggregator && wasAggregator {
			digests.Stop()
		}
	}
}

// updateFleet updates the role of this instance and the view of the fleet.
func (g *Gossiper) updateFleet() {
	g.updateRole()
	g.fleet.Store(g.summarize())
}

// handleMessage updates the members from a received message. It reports whether
// the fleet has changed.
func (g *Gossiper) handleMessage(received message) bool {
	if received.digest != nil {
		return g.handleDigest(received.digest)
	}
	return g.handleHeartbeat(received.heartbeat)
}

// handleHeartbeat updates the members from a heartbeat and passes it to
// OnHeartbeat. It reports whether the fleet has changed.
func (g *Gossiper) handleHeartbeat(heartbeat *Heartbeat) bool {
	from := heartbeat.From
	if from.Instance == g.config.Self.Instance {
		return false
	}
	now := g.config.Now()
	known := g.members[from.Instance]
	if heartbeat.IsPartial() {
		if known != nil && known.peer.Incarnation == from.Incarnation {
			known.heardDirectly(now)
			g.deliver(known, heartbeat)
		}
		return false
	}
	isNew := known == nil || known.lastHeartbeatAt.IsZero() || known.peer.Incarnation != from.Incarnation
	if isNew {
		known = g.addMember(from)
	}
	status := PeerStatus{Peer: from, Ready: heartbeat.Ready, Draining: heartbeat.Draining, FencingToken: heartbeat.FencingToken}
	wasSuspect := known.isSuspect
	hasChanged := known.setStatus(status, now) || isNew
	known.heardDirectly(now)
	if g.aggregation != nil && hasChanged {
		g.aggregation.isRosterStale = true
	}
	g.deliver(known, heartbeat)
	if isNew {
		g.sendHeartbeat(g.buildHeartbeat(), from.Address)
	}
	return hasChanged || wasSuspect
}

// deliver passes a heartbeat to the aggregation and to OnHeartbeat. What sums
// already include is left out.
func (g *Gossiper) deliver(from *member, heartbeat *Heartbeat) {
	isInZone := from.peer.AvailabilityZone == g.config.Self.AvailabilityZone
	if g.aggregation != nil && isInZone {
		g.aggregation.add(heartbeat, g.config.Now())
	}
	if g.role.kind == following || g.role.kind == aggregating && !isInZone {
		heartbeat = heartbeat.events()
	}
	g.config.OnHeartbeat(heartbeat)
}
