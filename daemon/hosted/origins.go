package hosted

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/coordination/registrar"
	"github.com/crocushollow/crocushollow/state/pinner"
)

const (
	// pinSlack is how long the origin of a stream is kept beyond its caller's deadline.
	pinSlack = 2 * time.Second
	// pinBatchDelay is how long pins are batched, and maxPinsPerMessage bounds a batch,
	// which must fit into a datagram.
	pinBatchDelay     = 10 * time.Millisecond
	maxPinsPerMessage = 400
	// retellInterval is the time between two checks whether the holders of pins have
	// changed.
	retellInterval = 250 * time.Millisecond
	// confirmTimeout bounds the read of the ledger for a stream that is taken up, and
	// askTimeout the time for which the holders of its pin are asked, each askInterval.
	confirmTimeout = 250 * time.Millisecond
	askTimeout     = 120 * time.Millisecond
	askInterval    = 40 * time.Millisecond
)

// streamOrigins implements proxy.StreamOrigins. The instance that serves a stream tells its
// origin to the stream's holders. While a service has one software version, the registrar's
// ledger is all that an instance needs at which the stream is taken up. While it has several,
// that instance asks the holders. The holders know streams of before, too, since the instance
// that serves a stream may end before the next version comes.
type streamOrigins struct {
	pinner    *pinner.Pinner
	registrar *registrar.Registrar
	fleet     func() *gossiper.Fleet
	send      func(address string, heartbeat gossiper.Heartbeat)
	// toldRanking is the ranking whose holders have been told the pins. Only the goroutine of
	// run uses it.
	toldRanking *holderRanking

	mu sync.Mutex
	// untold holds the pins that the holders have not been told yet.
	untold []pinner.Pin
	// asking holds the channels that receive the pins of streams that were asked for.
	asking map[pinner.Stream][]chan pinner.Pin
	// ranking is that of the fleet when it was last needed.
	ranking *holderRanking
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
	o.tell(pin)
}

// changed tells the holders the pins of services that have several versions from now on, as
// earlier messages may be lost.
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
	ticker := time.NewTicker(retellInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			o.retell()
		case <-o.hasNews:
			time.Sleep(pinBatchDelay)
			o.tellNews()
		}
	}
}

// tellNews sends the pins that have not been told yet.
func (o *streamOrigins) tellNews() {
	o.mu.Lock()
	untold := o.untold
	o.untold = nil
	o.mu.Unlock()
	ranking := o.currentRanking()
	batches := make(pinBatches)
	for _, pin := range untold {
		batches.add(pin, ranking.holders(pin.Stream))
	}
	o.sendBatches(batches)
}

// retell sends the pins whose holders have changed to the new ones, if instances have
// started, stopped or fallen silent. Instances that hold a pin do so too, since the one that
// has served the stream may have ended.
func (o *streamOrigins) retell() {
	if o.pinner.Len() == 0 {
		return
	}
	told, ranking := o.toldRanking, o.currentRanking()
	o.toldRanking = ranking
	if told.hasSamePeers(ranking) {
		return
	}
	batches := make(pinBatches)
	for _, pin := range o.pinner.AllPins(time.Now()) {
		batches.add(pin, ranking.holdersMissingIn(told, pin.Stream))
	}
	o.sendBatches(batches)
}

// currentRanking returns the ranking of the current fleet.
func (o *streamOrigins) currentRanking() *holderRanking {
	fleet := o.fleet()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ranking == nil || o.ranking.fleet != fleet {
		o.ranking = newHolderRanking(fleet)
	}
	return o.ranking
}

// pinBatches holds the pins to send by the address of their holder.
type pinBatches map[string][]pinner.Pin

func (b pinBatches) add(pin pinner.Pin, holders []gossiper.Peer) {
	for _, holder := range holders {
		b[holder.Address] = append(b[holder.Address], pin)
	}
}

func (o *streamOrigins) sendBatches(batches pinBatches) {
	for address, pins := range batches {
		for batch := range slices.Chunk(pins, maxPinsPerMessage) {
			o.sendPins(address, batch)
		}
	}
}

func (o *streamOrigins) sendPins(address string, pins []pinner.Pin) {
	heartbeat := gossiper.NewPartial()
	heartbeat.Pins = pins
	o.send(address, heartbeat)
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
	holders := o.currentRanking().holders(stream)
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
			for _, holder := range holders {
				o.send(holder.Address, heartbeat)
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
