// Package registrar records, in a durable ledger, the software versions at which streams
// may have begun.
//
// An instance uses a version for streams that callers may take up only once the ledger
// lists it. So a reader of the ledger knows every version at which a stream may have begun
// before the read: also an instance that was out of step, and one that starts after all
// instances have ended. If the ledger lists one version, it is the origin of all streams.
package registrar

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/catalog"
)

// Software is a version of the software of a service's upstreams.
type Software struct {
	Service string                  `cbor:"1,keyasint"`
	Version catalog.SoftwareVersion `cbor:"2,keyasint"`
}

// ErrInvalidSoftware reports an entry without a service or a version.
var ErrInvalidSoftware = errors.New("software version without a service or a version")

// Validate implements encoder.Validator.
func (e Software) Validate() error {
	if e.Service == "" || !e.Version.IsKnown() {
		return ErrInvalidSoftware
	}
	return nil
}

// Page is the content of the ledger at a time.
type Page struct {
	Entries []Software
	// Mark identifies the content for Remove.
	Mark int64
	// Era is the number of times that the ledger was restored from a copy.
	Era int64
}

// Ledger is a durable set of entries, which all instances share.
type Ledger interface {
	// Read returns all entries that were added before the call and not removed.
	Read(ctx context.Context) (Page, error)
	// Add adds entries. Adding an entry again has no effect.
	Add(ctx context.Context, entries []Software) error
	// Remove removes an entry. It fails if the ledger has changed since the page with the
	// mark was read.
	Remove(ctx context.Context, entry Software, mark int64) error
	// Era returns the latest era that is known without a call.
	Era() int64
}

// Config configures a Registrar. All fields are required. OnChange and Tell must not block.
type Config struct {
	Ledger Ledger
	// InUse returns the entries of the registered upstreams.
	InUse func() []Software
	// IsRecorder reports whether this instance records new versions for all, and Delay how
	// long it waits for the recorder if it is not.
	IsRecorder func() bool
	Delay      func() time.Duration
	// Tell tells the other instances of entries that the ledger lists.
	Tell func([]Software)
	// OnChange is called when the versions that are listed or usable have changed.
	OnChange func()
	Logger   zerolog.Logger
	Now      func() time.Time
}

// Timing of the ledger.
const (
	// retention is how long a version without upstreams stays in the ledger. Callers take
	// up a stream within their deadline, which is much shorter.
	retention = time.Minute
	// disuseTimeout is the time without upstreams after which an instance confirms that
	// the ledger still lists a version before it uses it again.
	disuseTimeout = 10 * time.Second
	// rewriteTime is how long instances may take to write again what a ledger has lost
	// that was restored from a copy.
	rewriteTime = 2200 * time.Millisecond
	// callTimeout bounds a call to the ledger.
	callTimeout = 700 * time.Millisecond
	// retryDelay is the time between a failed call and the next one, and minReadInterval
	// the time between two reads.
	retryDelay      = 250 * time.Millisecond
	minReadInterval = 20 * time.Millisecond
	// checkInterval is the time between two checks for versions without upstreams.
	checkInterval = 5 * time.Second
	// relayGrace is the time within which an entry that another instance has told may be
	// newer than a read of the ledger.
	relayGrace = 2 * time.Second
)

// errUnavailable reports that the ledger has failed and is not called again yet.
var errUnavailable = errors.New("ledger of software versions is unavailable")

// ErrUncertain reports that the ledger was restored from a copy recently, and may not list
// all versions yet.
var ErrUncertain = errors.New("ledger of software versions was restored")

// Registrar keeps the ledger of the versions in use. It is safe for concurrent use.
type Registrar struct {
	config   Config
	done     chan struct{}
	wake     chan struct{}
	told     chan []Software
	confirms chan *confirmation
	// services holds the versions of each service. The map is replaced at each change.
	services atomic.Pointer[map[string]versions]

	// The fields below are accessed by the control goroutine only.

	// entries holds the entries that the ledger lists, and those in use.
	entries map[Software]*state
	// era is that of the last read. It is negative before.
	era int64
	// uncertainUntil is when all instances have written again what the ledger has lost.
	uncertainUntil time.Time
	// readAt is the time of the last successful read, and nextCallAt that of the next call
	// at the earliest.
	readAt, nextCallAt time.Time
	// toldAt is when this instance last told the others what the ledger lists.
	toldAt time.Time
}

// versions are the software versions of a service, sorted.
type versions struct{ listed, usable []catalog.SoftwareVersion }

func (v versions) equals(other versions) bool {
	return slices.Equal(v.listed, other.listed) && slices.Equal(v.usable, other.usable)
}

// state is what is known of an entry.
type state struct {
	// isListed means that the ledger lists the entry, or that it did before it was restored
	// from a copy. listedAt is when this was last heard.
	isListed bool
	listedAt time.Time
	// isUsable means that the ledger lists it, and that the version has been in use since.
	isUsable bool
	// isMissing means that the ledger does not list the entry and must, since missingSince.
	isMissing    bool
	missingSince time.Time
	// inUseAt is when an upstream last had the version, or when the entry was first heard.
	inUseAt time.Time
}

// list records that the ledger lists the entry.
func (s *state) list(at time.Time) {
	s.isListed, s.isMissing = true, false
	if at.After(s.listedAt) {
		s.listedAt = at
	}
}

// Done returns a channel that is closed when Run has returned.
func (r *Registrar) Done() <-chan struct{} { return r.done }

// New returns a registrar that is not running. Run starts it.
func New(config Config) *Registrar {
	r := &Registrar{
		config: config, done: make(chan struct{}), wake: make(chan struct{}, 1), told: make(chan []Software, toldCapacity),
		confirms: make(chan *confirmation), entries: make(map[Software]*state), era: -1,
	}
	r.services.Store(&map[string]versions{})
	return r
}

// toldCapacity bounds the messages of other instances that wait.
const toldCapacity = 16

// Notify makes the registrar check the versions in use.
func (r *Registrar) Notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Hear adds entries that another instance knows to be listed. They are dropped if too many
// wait.
func (r *Registrar) Hear(entries []Software) {
	select {
	case r.told <- entries:
	default:
	}
}

// IsUsable reports whether streams that callers may take up may begin at a version.
func (r *Registrar) IsUsable(service string, version catalog.SoftwareVersion) bool {
	return slices.Contains((*r.services.Load())[service].usable, version)
}

// HasSeveral reports whether the ledger lists several versions of a service, as far as is
// known without a call.
func (r *Registrar) HasSeveral(service string) bool {
	return len((*r.services.Load())[service].listed) > 1
}

// Services returns the services that have several versions.
func (r *Registrar) Services() []string {
	var names []string
	for name, service := range *r.services.Load() {
		if len(service.listed) > 1 {
			names = append(names, name)
		}
	}
	return names
}

// Confirm returns the versions of a service at which streams may have begun before the
// call. It reads the ledger.
func (r *Registrar) Confirm(ctx context.Context, service string) ([]catalog.SoftwareVersion, error) {
	c := &confirmation{done: make(chan struct{})}
	select {
	case r.confirms <- c:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.done:
		return nil, context.Canceled
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if c.err != nil {
		return nil, c.err
	}
	var versions []catalog.SoftwareVersion
	for _, entry := range c.entries {
		if entry.Service == service {
			versions = append(versions, entry.Version)
		}
	}
	return versions, nil
}

// confirmation is a request for a read of the ledger, and its result once done is closed.
type confirmation struct {
	done    chan struct{}
	entries []Software
	err     error
}
