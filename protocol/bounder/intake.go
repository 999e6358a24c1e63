package bounder

import (
	"errors"
	"io"
	"sync"
)

// Errors of bodies that an Intake refuses.
var (
	// ErrTooLarge reports a body that exceeds its limit.
	ErrTooLarge = errors.New("the body is too large")
	// ErrShort reports a body for which no memory is left.
	ErrShort = errors.New("the bodies of other requests use the memory")
)

// Parts of an Intake, as divisors of its capacity.
const (
	// unknownDivisor bounds the bodies of callers without a known key.
	unknownDivisor = 2
	// ownerDivisor bounds the bodies of an owner that has several.
	ownerDivisor = 2
)

// Intake is the memory that the bodies of callers' requests share. The first MinBytes of each
// body are not counted. It is safe for concurrent use.
type Intake struct {
	capacity int64

	mu sync.Mutex
	// used is the sum of taken over all open bodies, and never more than capacity.
	used int64
	// owners holds the owners that have open bodies.
	owners map[string]*owner
}

// owner is a workspace, or all callers without one.
type owner struct {
	bodies int
	used   int64
}

// NewIntake returns an intake of a number of bytes.
func NewIntake(capacity int64) *Intake {
	return &Intake{capacity: capacity, owners: make(map[string]*owner)}
}

// Used returns the number of bytes that the open bodies have taken.
func (i *Intake) Used() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.used
}

// BodyConfig describes a body that is to be read.
type BodyConfig struct {
	// Owner is the workspace of the caller, or empty.
	Owner string
	// IsKnown reports whether the caller has a known key.
	IsKnown bool
	// Length is the announced length, or -1 if there is none.
	Length int64
	// Limit is the maximum length. 0 means none.
	Limit int64
}

// Body is the body of a request. Close gives its memory back. It is not safe for concurrent use.
type Body struct {
	intake *Intake
	config BodyConfig
	owner  *owner
	bytes  []byte
	// taken is the part of the buffer that exceeds MinBytes.
	taken    int64
	isClosed bool
}

// Open returns a body that has not been read yet. It returns ErrTooLarge if the announced
// length exceeds the limit.
func (i *Intake) Open(config BodyConfig) (*Body, error) {
	if config.Limit > 0 && config.Length > config.Limit {
		return nil, ErrTooLarge
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	o := i.owners[config.Owner]
	if o == nil {
		o = &owner{}
		i.owners[config.Owner] = o
	}
	o.bodies++
	return &Body{intake: i, config: config, owner: o}, nil
}

// take takes more bytes for a body, and reports whether it may.
func (i *Intake) take(b *Body, bytes int64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	limit := i.capacity
	if b.taken+bytes > smallBytes {
		limit -= i.capacity / smallDivisor
	}
	if !b.config.IsKnown {
		limit = min(limit, i.capacity/unknownDivisor)
	}
	if i.used+bytes > limit || b.owner.bodies > 1 && b.owner.used+bytes > i.capacity/ownerDivisor {
		return false
	}
	i.used += bytes
	b.owner.used += bytes
	b.taken += bytes
	return true
}

// Bytes returns what was read. It is valid until Close.
func (b *Body) Bytes() []byte { return b.bytes }

// ReadAll reads the body to its end. It returns ErrTooLarge or ErrShort, or the error of the
// reader.
func (b *Body) ReadAll(reader io.Reader) error {
	for int64(len(b.bytes)) != b.config.Length {
		if len(b.bytes) == cap(b.bytes) {
			if b.isFull() {
				return expectEnd(reader)
			}
			if err := b.grow(); err != nil {
				return err
			}
		}
		n, err := reader.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case errors.Is(err, io.EOF) && b.config.Length > int64(len(b.bytes)):
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

func (b *Body) isFull() bool { return b.config.Limit > 0 && int64(len(b.bytes)) >= b.config.Limit }

// expectEnd returns ErrTooLarge unless the reader is at its end.
func expectEnd(reader io.Reader) error {
	for {
		n, err := reader.Read(make([]byte, 1))
		switch {
		case n > 0:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// grow doubles the buffer, or adds smallBytes if there is less memory, up to the announced length
// and the limit.
func (b *Body) grow() error {
	held := int64(cap(b.bytes))
	for _, step := range []int64{max(held, MinBytes), smallBytes} {
		size := held + step
		if b.config.Length > 0 {
			size = min(size, b.config.Length)
		}
		if b.config.Limit > 0 {
			size = min(size, b.config.Limit)
		}
		if added := max(size-MinBytes, 0) - b.taken; added <= 0 || b.intake.take(b, added) {
			b.bytes = append(make([]byte, 0, size), b.bytes...)
			return nil
		}
		if step <= smallBytes {
			break
		}
	}
	return ErrShort
}

// Close gives the memory back. Further calls do nothing.
func (b *Body) Close() {
	if b.isClosed {
		return
	}
	b.isClosed = true
	b.bytes = nil
	b.intake.mu.Lock()
	defer b.intake.mu.Unlock()
	b.intake.used -= b.taken
	b.owner.used -= b.taken
	b.owner.bodies--
	if b.owner.bodies == 0 {
		delete(b.intake.owners, b.config.Owner)
	}
}
