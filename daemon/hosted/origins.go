package hosted

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/coordination/registrar"
	"github.com/crocushollow/crocushollow/state/pinner"
)

const (
	// pinHolders is the number of instances that are told the origin of a stream while its
	// service has several software versions.
	pinHolders = 3
	// pinSlack is how long the origin of a stream is kept beyond its caller's deadline.
	pinSlack = 2 * time.Second
	// pinBatchDelay is how long pins are batched, and maxPinsPerMessage bounds a batch,
	// which must fit into a datagram.
	pinBatchDelay     = 10 * time.Millisecond
	maxPinsPerMessage = 400
	// confirmTimeout bounds the read of the ledger for a stream that is taken up, and
	// askTimeout the time for which the holders of its pin are asked, each askInterval.
	confirmTimeout = 250 * time.Millisecond
	askTimeout     = 120 * time.Millisecond
	askInterval    = 40 * time.Millisecond
)

// streamOrigins implements proxy.StreamOrigins. While a service has one software version,
// the registrar's ledger is all that is needed. While it has several, the instance that
// serves a stream tells its origin to the stream's holders, and the instance at which the
// stream is taken up asks them.
type streamOrigins struct {
	pinner    *pinner.Pinner
	registrar *registrar.Registrar
	fleet     func() *gossiper.Fleet
	send      func(address string, heartbeat gossiper.Heartbeat)

	mu sync.Mutex
	// untold holds the pins that the holders have not been told yet.
	untold []pinner.Pin
	// asking holds the channels that receive the pins of streams that were asked for.
	asking map[pinner.Stream][]chan pinner.Pin
	// several holds the services that had several versions when changed was last called.
	several map[string]bool
	// hasNews has one element while untold may have some.
	hasNews chan struct{}
}

// Begin implements proxy.StreamOrigins.
func (o *streamOrigins) Begin(requestID string, origin pinner.Origin, until time.Time) {
	now := time.Now()
	pin := pinner.Pin{Stream: pinner.StreamOf(requestID), Origin: origin, TTL: max(until.Sub(now), 0) + pinSlack}
	o.pinner.Pin(pin, now)
	if o.registrar.HasSeveral(origin.Service) {
		o.tell(pin)
	}
}

// changed tells the holders the pins of services that have several versions from now on.
func (o *streamOrigins) changed() {
	several := make(map[string]bool)
	for _, service := range o.registrar.Services() {
		several[service] = true
	}
	o.mu.Lock()
	known := o.several
	o.several = several
	o.mu.Unlock()
	for service := range several {
		if !known[service] {
			o.tell(o.pinner.Pins(service, time.Now())...)
		}
	}
}

func (o *streamOrigins) tell(pins ...pinner.Pin) {
	o.mu.Lock()
	o.untold = append(o.untold, pins...)
	o.mu.Unlock()
	signal(o.hasNews)
}

// run sends pins to their holders until the context ends.
func (o *streamOrigins) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.hasNews:
		}
		time.Sleep(pinBatchDelay)
		o.mu.Lock()
		untold := o.untold
		o.untold = nil
		o.mu.Unlock()
		byHolder := make(map[string][]pinner.Pin)
		for _, pin := range untold {
			for _, address := range holdersOf(pin.Stream, o.fleet().Alive) {
				byHolder[address] = append(byHolder[address], pin)
			}
		}
		for address, pins := range byHolder {
			for batch := range slices.Chunk(pins, maxPinsPerMessage) {
				o.sendPins(address, batch)
			}
		}
	}
}

func (o *streamOrigins) sendPins(address string, pins []pinner.Pin) {
	heartbeat := gossiper.NewPartial()
	heartbeat.Pins = pins
	o.send(address, heartbeat)
}

// holdersOf returns the addresses of the peers that hold the pin of a stream, by rendezvous
// hashing. All instances that know the same peers agree on them, but each leaves itself out.
func holdersOf(stream pinner.Stream, peers []gossiper.Peer) []string {
	ranked := slices.SortedFunc(slices.Values(peers), func(a, b gossiper.Peer) int {
		return cmp.Compare(holderScore(stream, b.Instance), holderScore(stream, a.Instance))
	})
	addresses := make([]string, 0, pinHolders)
	for _, peer := range ranked[:min(len(ranked), pinHolders)] {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}

func holderScore(stream pinner.Stream, instance string) uint64 {
	return (xxhash.Sum64String(instance) ^ uint64(stream)) * 0x9e3779b97f4a7c15
}

// Find implements proxy.StreamOrigins.
func (o *streamOrigins) Find(ctx context.Context, requestID, service string) (pinner.Origin, bool) {
	stream := pinner.StreamOf(requestID)
	if pin := o.pinner.Lookup(stream, time.Now()); pin.Origin.Version.IsKnown() {
		return pin.Origin, true
	}
	if !o.registrar.HasSeveral(service) {
		confirmCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		if versions, err := o.registrar.Confirm(confirmCtx, service); err == nil && len(versions) == 1 {
			return pinner.Origin{Service: service, Version: versions[0]}, true
		}
	}
	return o.ask(ctx, stream)
}

// ask asks the holders of a stream's pin for it.
func (o *streamOrigins) ask(ctx context.Context, stream pinner.Stream) (pinner.Origin, bool) {
	holders := holdersOf(stream, o.fleet().Alive)
	if len(holders) == 0 {
		return pinner.Origin{}, false
	}
	answers := make(chan pinner.Pin, 2*pinHolders)
	o.addAsking(stream, answers)
	defer o.removeAsking(stream, answers)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	heartbeat := gossiper.NewPartial()
	heartbeat.PinQueries = []pinner.Stream{stream}
	for denials := 0; denials < len(holders); {
		if denials == 0 {
			for _, address := range holders {
				o.send(address, heartbeat)
			}
		}
		select {
		case pin := <-answers:
			if pin.Origin.Version.IsKnown() {
				return pin.Origin, true
			}
			denials++
		case <-ticker.C:
		case <-ctx.Done():
			return pinner.Origin{}, false
		}
	}
	return pinner.Origin{}, false
}

func (o *streamOrigins) addAsking(stream pinner.Stream, answers chan pinner.Pin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asking[stream] = append(o.asking[stream], answers)
}

func (o *streamOrigins) removeAsking(stream pinner.Stream, answers chan pinner.Pin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	rest := slices.DeleteFunc(o.asking[stream], func(other chan pinner.Pin) bool { return other == answers })
	if o.asking[stream] = rest; len(rest) == 0 {
		delete(o.asking, stream)
	}
}

// handle applies the pins and answers the queries of a peer.
func (o *streamOrigins) handle(heartbeat *gossiper.Heartbeat, now time.Time) {
	for _, pin := range heartbeat.Pins {
		o.pinner.Pin(pin, now)
		o.mu.Lock()
		for _, answers := range o.asking[pin.Stream] {
			select {
			case answers <- pin:
			default:
			}
		}
		o.mu.Unlock()
	}
	if len(heartbeat.PinQueries) == 0 {
		return
	}
	pins := make([]pinner.Pin, 0, len(heartbeat.PinQueries))
	for _, stream := range heartbeat.PinQueries {
		pins = append(pins, o.pinner.Lookup(stream, now))
	}
	o.sendPins(heartbeat.From.Address, pins)
}
