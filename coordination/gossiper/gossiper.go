// Package gossiper exchanges bulletins with the other instances and knows which
// of them are alive.
//
// Instances find each other through a registry that lasts, and through the
// bulletins of instances that have found them. A bulletin may be lost: each one
// repeats all that is current.
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

// Link carries datagrams. Its calls are safe for concurrent use.
type Link interface {
	Send(to string, payload []byte) error
	// Receive returns the next datagram, or an error once the link is closed.
	// The payload is valid until the next call.
	Receive() ([]byte, error)
	Close() error
}

// Registry lists instances and outlasts them.
type Registry interface {
	Register(ctx context.Context, peer Peer) error
	List(ctx context.Context) ([]Peer, error)
}

// Config configures a Gossiper. All fields are required.
type Config struct {
	Self     Peer
	Link     Link
	Registry Registry
	// BuildHeartbeat returns the instance's current bulletin without Self.
	BuildHeartbeat func() Heartbeat
	// OnHeartbeat is called from the control goroutine for each bulletin.
	OnHeartbeat func(*Heartbeat)
	// OnPeerRemoved is called from the control goroutine for an instance that has been
	// silent for forgetAfter or has ended.
	OnPeerRemoved func(instance string)
	Logger        zerolog.Logger
	Now           func() time.Time
}

// Timing of the bulletins.
const (
	// period is the time between two bulletins to an instance in the same
	// availability zone.
	period = 250 * time.Millisecond
	// remotePeriods is the number of periods between two bulletins to another
	// availability zone, where bytes cost more. Two bulletins may be lost before
	// aliveFor has passed.
	remotePeriods = 2
	// silentPeriods is the number of periods between two bulletins to an
	// instance that does not answer.
	silentPeriods = 8
	// aliveFor is how long after its last bulletin an instance counts as alive.
	aliveFor = 2200 * time.Millisecond
	// forgetAfter is how long an instance is remembered that is silent. It may
	// be cut off and still use its share of limits.
	forgetAfter = 20 * time.Second
	// listPeriod is the time between two looks at the registry, and listTimeout
	// bounds one.
	listPeriod  = 30 * time.Second
	listTimeout = time.Second
	// listRetry is the pause after a failure of the registry.
	listRetry = 500 * time.Millisecond
)

// Gossiper is safe for concurrent use. Done is closed when Run has returned.
type Gossiper struct {
	config Config
	fleet  atomic.Pointer[Fleet]
	inbox  chan *Heartbeat
	listed chan []Peer
	// zone holds the addresses of the own availability zone's other instances, to
	// which messages from other zones are forwarded.
	zone atomic.Pointer[[]string]
	// urgent carries bulletins that must not wait for the period.
	urgent chan outgoing
	done   chan struct{}
}

// outgoing is a message that is sent at once.
type outgoing struct {
	bulletin Heartbeat
	// to is one address, or empty for all instances.
	to string
	// zoneOnly keeps the message within the own availability zone.
	zoneOnly bool
}

// urgentCapacity bounds the messages that wait to be sent.
const urgentCapacity = 256

// New returns a gossiper. Run starts it.
func New(config Config) *Gossiper {
	g := &Gossiper{
		config: config,
		inbox:  make(chan *Heartbeat, urgentCapacity),
		listed: make(chan []Peer),
		urgent: make(chan outgoing, urgentCapacity),
		done:   make(chan struct{}),
	}
	g.fleet.Store(&Fleet{Size: 1, Names: []string{config.Self.Instance}})
	return g
}

// Done is closed when Run has returned.
func (g *Gossiper) Done() <-chan struct{} { return g.done }

// SendTo sends wants or placements to one address at once. It is dropped if too
// many wait.
func (g *Gossiper) SendTo(address string, bulletin Heartbeat) {
	g.push(outgoing{bulletin: bulletin, to: address})
}

// Broadcast sends a bulletin to all instances at once.
func (g *Gossiper) Broadcast(bulletin Heartbeat) { g.push(outgoing{bulletin: bulletin}) }

// BroadcastToZone sends a bulletin to the instances of the own availability zone.
func (g *Gossiper) BroadcastToZone(bulletin Heartbeat) {
	g.push(outgoing{bulletin: bulletin, zoneOnly: true})
}

func (g *Gossiper) push(message outgoing) {
	select {
	case g.urgent <- message:
	default:
		g.config.Logger.Warn().Int("waiting", urgentCapacity).Msg("message to instances dropped")
	}
}

// Run exchanges bulletins until the context ends.
func (g *Gossiper) Run(ctx context.Context) error {
	defer close(g.done)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.receive(ctx) })
	group.Go(func() error { return g.list(ctx) })
	group.Go(func() error {
		return errors.Join(g.control(ctx), g.config.Link.Close())
	})
	return group.Wait()
}

// receive decodes datagrams until the link is closed.
func (g *Gossiper) receive(ctx context.Context) error {
	for {
		payload, err := g.config.Link.Receive()
		if err == nil && isForwarded(payload) {
			payload = payload[1:]
			g.forward(payload)
		}
		switch {
		case ctx.Err() != nil:
			// The link was closed to end the wait.
			return context.Cause(ctx)
		case err != nil:
			return err
		}
		bulletin := new(Heartbeat)
		if err := encoder.Decode(payload, bulletin); err != nil {
			g.config.Logger.Warn().Err(err).Int("bytes", len(payload)).Msg("datagram refused")
			continue
		}
		select {
		case g.inbox <- bulletin:
		case <-ctx.Done():
			return nil
		}
	}
}

// list announces the instance and reads the registry from time to time.
func (g *Gossiper) list(ctx context.Context) error {
	announced := false
	for {
		pause := listPeriod
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		err := error(nil)
		if !announced {
			err = g.config.Registry.Register(callCtx, g.config.Self)
			announced = err == nil
		}
		var peers []Peer
		if err == nil {
			peers, err = g.config.Registry.List(callCtx)
		}
		cancel()
		if err != nil {
			g.config.Logger.Warn().Err(err).Msg("registry of instances failed")
			pause = listRetry
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

// control owns the members and sends bulletins until the context ends.
func (g *Gossiper) control(ctx context.Context) error {
	members := make(map[string]*member)
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for round := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case bulletin := <-g.inbox:
			if !g.take(members, bulletin) {
				continue
			}
		case peers := <-g.listed:
			for _, peer := range peers {
				g.meet(members, peer)
			}
		case message := <-g.urgent:
			message.bulletin.From = g.config.Self
			if message.bulletin.IsPartial() {
				message.bulletin.From.CallerAddress, message.bulletin.From.AvailabilityZone = "", ""
			}
			g.send(members, message)
			continue
		case <-ticker.C:
			round++
			g.forgetSilent(members)
			g.sendRound(members, round)
		}
		g.fleet.Store(g.summarize(members))
		g.storeZone(members)
	}
}

// take passes a bulletin on and reports whether the fleet has changed by it.
func (g *Gossiper) take(members map[string]*member, bulletin *Heartbeat) bool {
	from := bulletin.From
	if from.Instance == g.config.Self.Instance {
		return false
	}
	now := g.config.Now()
	known := members[from.Instance]
	if bulletin.IsPartial() {
		if known != nil && known.peer.Incarnation == from.Incarnation {
			g.config.OnHeartbeat(bulletin)
		}
		return false
	}
	isNews := known == nil || known.heardAt.IsZero() || known.peer.Incarnation != from.Incarnation
	if isNews {
		known = &member{}
		members[from.Instance] = known
		g.config.Logger.Info().Str("peer", from.Instance).Str("address", from.Address).Msg("instance heard")
	}
	isChanged := isNews || now.Sub(known.heardAt) > aliveFor || known.ready != bulletin.Ready ||
		known.leaving != bulletin.Draining || known.fence != bulletin.FencingToken
	known.peer, known.heardAt = from, now
	known.ready, known.leaving, known.fence = bulletin.Ready, bulletin.Draining, bulletin.FencingToken
	g.config.OnHeartbeat(bulletin)
	if isNews {
		g.send(members, outgoing{bulletin: g.compose(), to: from.Address})
	}
	return isChanged
}

// compose returns the instance's bulletin.
func (g *Gossiper) compose() Heartbeat {
	bulletin := g.config.BuildHeartbeat()
	bulletin.From = g.config.Self
	return bulletin
}

// sendRound sends the bulletin to the members whose turn it is.
func (g *Gossiper) sendRound(members map[string]*member, round int) {
	bulletin := g.compose()
	whole, err := encoder.Encode(&bulletin)
	if err != nil {
		g.config.Logger.Error().Err(err).Msg("bulletin not encoded")
		return
	}
	// Only the holder of the planning duty needs the demand.
	bulletin.Demand = nil
	short, err := encoder.Encode(&bulletin)
	if err != nil {
		g.config.Logger.Error().Err(err).Msg("bulletin not encoded")
		return
	}
	now := g.config.Now()
	isLarge := len(members) > LargeFleetSize
	for _, m := range members {
		isRemote := m.peer.AvailabilityZone != g.config.Self.AvailabilityZone
		isSilent := now.Sub(m.heardAt) > aliveFor
		every := 1
		switch {
		case isSilent:
			every = silentPeriods
		case isRemote:
			every = remotePeriods
		}
		if round%every != 0 && round >= silentPeriods {
			continue
		}
		switch {
		case m.fence > 0:
			g.sendPayload(m.peer.Address, whole)
		case !isLarge || !isRemote || isSilent:
			g.sendPayload(m.peer.Address, short)
		}
	}
	if isLarge && round%remotePeriods == 0 {
		g.sendForwarders(members, short)
	}
}

func (g *Gossiper) send(members map[string]*member, message outgoing) {
	payload, err := encoder.Encode(&message.bulletin)
	if err != nil {
		g.config.Logger.Error().Err(err).Msg("message not encoded")
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
		g.sendForwarders(members, payload)
	}
}

func (g *Gossiper) sendPayload(to string, payload []byte) {
	if err := g.config.Link.Send(to, payload); err != nil {
		g.config.Logger.Debug().Err(err).Str("to", to).Msg("datagram not sent")
	}
}
