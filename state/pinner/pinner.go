// Package pinner remembers which software version began a stream.
//
// A caller that takes a stream up after its connection broke may come to any instance. The
// versions of an upstream's software cannot continue each other's streams, so the stream
// has to go on at the version that began it.
package pinner

import (
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushollow/crocushollow/catalog"
)

// maxPins bounds the pins that are kept. Streams beyond it are unknown.
const maxPins = 1 << 16

// sweepInterval is the number of calls of Pin between two removals of the expired pins.
const sweepInterval = 1 << 10

// Stream identifies a stream by a hash of the request ID of the attempt that began it.
type Stream uint64

// StreamOf returns the stream that the attempt with a request ID has begun.
func StreamOf(requestID string) Stream { return Stream(xxhash.Sum64String(requestID)) }

// Origin is what began a stream.
type Origin struct {
	Service string                  `cbor:"1,keyasint,omitempty"`
	Version catalog.SoftwareVersion `cbor:"2,keyasint,omitempty"`
}

// Pin states the origin of a stream.
type Pin struct {
	Stream Stream `cbor:"1,keyasint"`
	// Origin has an unknown version if the sender does not know the stream.
	Origin Origin `cbor:"2,keyasint"`
	// TTL is how long callers may take up the stream.
	TTL time.Duration `cbor:"3,keyasint,omitempty"`
}

// maxTTL bounds the time for which a pin is kept.
const maxTTL = 10 * time.Minute

var errInvalidPin = errors.New("pin of a stream with an invalid TTL")

// Validate implements encoder.Validator.
func (p Pin) Validate() error {
	if p.TTL < 0 || p.TTL > maxTTL {
		return errInvalidPin
	}
	return nil
}

// pinned is a stream that callers may take up until expiresAt.
type pinned struct {
	origin    Origin
	expiresAt time.Time
}

// Pinner holds the origins of streams. It is safe for concurrent use.
type Pinner struct {
	mu   sync.Mutex
	pins map[Stream]pinned
	// added counts the calls of Pin since the expired ones were last removed.
	added int
}

// New returns a pinner that knows no stream.
func New() *Pinner { return &Pinner{pins: make(map[Stream]pinned)} }

// Pin remembers the origin of a stream for a time. The first origin of a stream remains.
func (p *Pinner) Pin(pin Pin, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !pin.Origin.Version.IsKnown() {
		return
	}
	if p.added++; p.added >= sweepInterval {
		p.sweep(now)
	}
	known, found := p.pins[pin.Stream]
	if found && now.Before(known.expiresAt) || len(p.pins) >= maxPins {
		return
	}
	p.pins[pin.Stream] = pinned{origin: pin.Origin, expiresAt: now.Add(min(pin.TTL, maxTTL))}
}

// sweep removes the expired pins. The caller must lock mu.
func (p *Pinner) sweep(now time.Time) {
	p.added = 0
	for stream, known := range p.pins {
		if !now.Before(known.expiresAt) {
			delete(p.pins, stream)
		}
	}
}

// Lookup returns the pin of a stream. Its origin has an unknown version if the stream is
// not known.
func (p *Pinner) Lookup(stream Stream, now time.Time) Pin {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, found := p.pins[stream]
	if !found || !now.Before(known.expiresAt) {
		return Pin{Stream: stream}
	}
	return Pin{Stream: stream, Origin: known.origin, TTL: known.expiresAt.Sub(now)}
}

// Len returns the number of pins that are kept, including some that have expired.
func (p *Pinner) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pins)
}

// Pins returns the streams of a service that callers may take up.
func (p *Pinner) Pins(service string, now time.Time) []Pin {
	return p.selectPins(func(origin Origin) bool { return origin.Service == service }, now)
}

// AllPins returns the streams of all services that callers may take up.
func (p *Pinner) AllPins(now time.Time) []Pin {
	return p.selectPins(func(Origin) bool { return true }, now)
}

func (p *Pinner) selectPins(isSelected func(Origin) bool, now time.Time) []Pin {
	p.mu.Lock()
	defer p.mu.Unlock()
	var pins []Pin
	for stream, known := range p.pins {
		if isSelected(known.origin) && now.Before(known.expiresAt) {
			pins = append(pins, Pin{Stream: stream, Origin: known.origin, TTL: known.expiresAt.Sub(now)})
		}
	}
	return pins
}
