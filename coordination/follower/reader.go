package follower

import (
	"context"
	"time"
)

// Segment is the result of a read of the platform's log.
type Segment struct {
	// First is the oldest retained offset.
	First uint64
	// Head is the offset of the next append.
	Head    uint64
	Entries []Entry
}

// Log reads the platform's log.
type Log interface {
	// Read returns the entries from an offset on. It waits up to the given time
	// for the first entry. If the offset is before the oldest retained entry,
	// the result starts with that entry.
	Read(ctx context.Context, from uint64, wait time.Duration) (Segment, error)
}

// Position is where a reader continues.
type Position struct {
	// Offset is the offset of the next entry to read.
	Offset uint64
	// ShouldRead is false while the instance receives the entries from peers.
	ShouldRead bool
}

// Sink receives the entries that a Reader has read.
type Sink interface {
	// Position returns where to continue reading.
	Position(ctx context.Context) (Position, error)
	// Deliver receives a segment that was requested at the given time.
	Deliver(ctx context.Context, requestedAt time.Time, segment Segment) error
}

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	Log  Log
	Sink Sink
	// Wait is how long a read waits for new entries.
	Wait time.Duration
	// Timeout bounds a read in addition to Wait.
	Timeout time.Duration
	// RetryDelay is the delay before the next read after an error, or while the
	// instance receives the entries from peers.
	RetryDelay time.Duration
}

// Reader reads the platform's log continuously and delivers the entries to a
// Sink.
type Reader struct {
	config ReaderConfig
	done   chan struct{}
}

// NewReader returns a reader. Call Run to start it.
func NewReader(config ReaderConfig) *Reader {
	return &Reader{config: config, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (r *Reader) Done() <-chan struct{} { return r.done }

// Run reads the log until ctx is done.
func (r *Reader) Run(ctx context.Context) {
	defer close(r.done)
	for ctx.Err() == nil {
		if !r.readOnce(ctx) {
			r.sleep(ctx)
		}
	}
}

// readOnce reads and delivers one segment. It reports whether the next read
// should follow without a delay.
func (r *Reader) readOnce(ctx context.Context) bool {
	position, err := r.config.Sink.Position(ctx)
	if err != nil || !position.ShouldRead {
		return false
	}
	requestedAt := time.Now()
	readCtx, cancel := context.WithTimeout(ctx, r.config.Wait+r.config.Timeout)
	defer cancel()
	segment, err := r.config.Log.Read(readCtx, position.Offset, r.config.Wait)
	if err != nil {
		return false
	}
	return r.config.Sink.Deliver(ctx, requestedAt, segment) == nil
}

func (r *Reader) sleep(ctx context.Context) {
	timer := time.NewTimer(r.config.RetryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
