package follower

import (
	"context"
	"time"
)

// Segment is an answer of the platform's log.
type Segment struct {
	// First is the oldest retained offset.
	First uint64
	// Head is the offset that the next append will get.
	Head    uint64
	Entries []Entry
}

// Log reads the platform's log.
type Log interface {
	// Read returns entries from an offset on. It waits up to the given time
	// for the first one. An offset before the oldest retained one starts there.
	Read(ctx context.Context, from uint64, wait time.Duration) (Segment, error)
}

// Position tells a reader where to go on.
type Position struct {
	// Offset is the next offset to apply.
	Offset uint64
	// Wanted is false while peers keep the instance fresh.
	Wanted bool
}

// Sink takes what a reader has read.
type Sink interface {
	// Position returns where to read.
	Position(ctx context.Context) (Position, error)
	// Deliver takes a segment that was asked for at a time.
	Deliver(ctx context.Context, askedAt time.Time, segment Segment) error
}

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	Log  Log
	Sink Sink
	// Wait is how long a read waits for a new entry.
	Wait time.Duration
	// Timeout bounds a read beyond Wait.
	Timeout time.Duration
	// Pause is the time between reads after an error or while peers keep the
	// instance fresh.
	Pause time.Duration
}

// Reader reads the log in a goroutine of its own. Done is closed at its end.
type Reader struct {
	config ReaderConfig
	done   chan struct{}
}

// NewReader returns a reader. Run starts it.
func NewReader(config ReaderConfig) *Reader {
	return &Reader{config: config, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (r *Reader) Done() <-chan struct{} { return r.done }

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	defer close(r.done)
	for ctx.Err() == nil {
		if !r.readOnce(ctx) {
			r.sleep(ctx)
		}
	}
}

// readOnce reports whether the next read should follow at once.
func (r *Reader) readOnce(ctx context.Context) bool {
	position, err := r.config.Sink.Position(ctx)
	if err != nil || !position.Wanted {
		return false
	}
	askedAt := time.Now()
	readCtx, cancel := context.WithTimeout(ctx, r.config.Wait+r.config.Timeout)
	defer cancel()
	segment, err := r.config.Log.Read(readCtx, position.Offset, r.config.Wait)
	if err != nil {
		return false
	}
	return r.config.Sink.Deliver(ctx, askedAt, segment) == nil
}

func (r *Reader) sleep(ctx context.Context) {
	timer := time.NewTimer(r.config.Pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
