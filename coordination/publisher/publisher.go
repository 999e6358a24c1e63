// Package publisher appends records to the platform's log. Records that arrive
// while an append is in progress are batched into the next one, so that the
// number of appends does not grow with the number of records.
package publisher

import (
	"context"
	"errors"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/encoder"
)

// Appender appends to the platform's log.
type Appender interface {
	// Append appends a batch and returns its offset. After an error the batch
	// may still have been appended.
	Append(ctx context.Context, batch []byte) (uint64, error)
}

// Confirmer determines whether a record is in the log.
type Confirmer interface {
	// ConfirmApplied returns true once the record has been applied. It returns
	// false once the log has been read to its head after the call began and
	// does not contain the record.
	ConfirmApplied(ctx context.Context, id crocushollow.ID) (bool, error)
}

// Errors returned by Publish.
var (
	// ErrUnavailable reports that the log is unavailable. The record may or may
	// not have been appended.
	ErrUnavailable = errors.New("log unavailable")
	// ErrTooLarge reports a record that exceeds the size limit of the log.
	ErrTooLarge = errors.New("record too large for the log")
	// ErrBusy reports that the queue is full.
	ErrBusy = errors.New("too many records are waiting to be appended to the log")
)

// Config configures a Publisher.
type Config struct {
	Appender  Appender
	Confirmer Confirmer
	// AppendTimeout is the timeout of one append, and of the wait for its
	// records to be applied.
	AppendTimeout time.Duration
	// MaxBatchBytes bounds the size of an append.
	MaxBatchBytes int
	// MinAppendInterval returns the minimum time between the starts of two
	// appends.
	MinAppendInterval func() time.Duration
}

// queueCapacity is the capacity of the queue of records.
const queueCapacity = 4096

// retryDelay is the delay after a failed append.
const retryDelay = 200 * time.Millisecond

// submission is a queued record with the channel for its result.
type submission struct {
	ctx    context.Context
	record crocushollow.Record
	bytes  int
	result chan error
}

// Publisher batches records and appends them to the log.
type Publisher struct {
	config Config
	queue  chan *submission
	done   chan struct{}
}

// New returns a publisher. Call Run to start it.
func New(config Config) *Publisher {
	return &Publisher{
		config: config,
		queue:  make(chan *submission, queueCapacity),
		done:   make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (p *Publisher) Done() <-chan struct{} { return p.done }

// Publish appends a record and waits until this instance has applied it.
func (p *Publisher) Publish(ctx context.Context, record crocushollow.Record) error {
	encoded, err := encoder.Encode(record)
	if err != nil {
		return err
	}
	if len(encoded) > p.config.MaxBatchBytes {
		return ErrTooLarge
	}
	s := &submission{ctx: ctx, record: record, bytes: len(encoded), result: make(chan error, 1)}
	select {
	case p.queue <- s:
	default:
		return ErrBusy
	}
	select {
	case err := <-s.result:
		return err
	case <-ctx.Done():
		return errors.Join(ErrUnavailable, ctx.Err())
	}
}

// Reappend appends an entry that the log has lost.
func (p *Publisher) Reappend(ctx context.Context, batch []byte) error {
	ctx, cancel := context.WithTimeout(ctx, p.config.AppendTimeout)
	defer cancel()
	_, err := p.config.Appender.Append(ctx, batch)
	return err
}

// Run appends queued records until ctx is done.
func (p *Publisher) Run(ctx context.Context) {
	defer close(p.done)
	var waiting []*submission
	for {
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
				return
			case s := <-p.queue:
				waiting = append(waiting, s)
			}
		}
		waiting = p.drainQueue(waiting)
		started := time.Now()
		waiting = p.appendOnce(ctx, waiting)
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, p.config.MinAppendInterval()-time.Since(started))
	}
}

func (p *Publisher) drainQueue(waiting []*submission) []*submission {
	for {
		select {
		case s := <-p.queue:
			waiting = append(waiting, s)
		default:
			return waiting
		}
	}
}

// appendOnce appends one batch and returns the submissions that must be
// appended again or have not been appended yet.
func (p *Publisher) appendOnce(ctx context.Context, waiting []*submission) []*submission {
	waiting = dropCanceled(waiting)
	count, batch := p.buildBatch(waiting)
	if count == 0 {
		return waiting
	}
	batched := waiting[:count]
	encoded, err := encoder.Encode(batch)
	if err != nil {
		complete(batched, err)
		return waiting[count:]
	}
	appendCtx, cancel := context.WithTimeout(ctx, p.config.AppendTimeout)
	_, err = p.config.Appender.Append(appendCtx, encoded)
	cancel()
	if err != nil {
		sleep(ctx, retryDelay)
	}
	// An append that failed may still have taken effect. Only the log shows
	// which records it contains.
	unconfirmed := p.confirm(ctx, batched)
	return append(unconfirmed, waiting[count:]...)
}

// dropCanceled removes the submissions whose context is done. A record that
// was already sent may still take effect.
func dropCanceled(waiting []*submission) []*submission {
	kept := waiting[:0]
	for _, s := range waiting {
		if s.ctx.Err() == nil {
			kept = append(kept, s)
		}
	}
	return kept
}

// buildBatch builds a batch of as many submissions as fit in one append. The
// first result is their number.
func (p *Publisher) buildBatch(waiting []*submission) (int, crocushollow.Batch) {
	batch := crocushollow.Batch{Version: crocushollow.BatchVersion}
	size := 0
	for i, s := range waiting {
		size += s.bytes
		if i > 0 && size > p.config.MaxBatchBytes {
			return i, batch
		}
		batch.Records = append(batch.Records, s.record)
	}
	return len(waiting), batch
}

// confirm completes the submissions that are in the log and returns the others.
func (p *Publisher) confirm(ctx context.Context, batched []*submission) []*submission {
	confirmCtx, cancel := context.WithTimeout(ctx, p.config.AppendTimeout)
	defer cancel()
	var unconfirmed []*submission
	for _, s := range batched {
		applied, err := p.config.Confirmer.ConfirmApplied(confirmCtx, s.record.ID)
		if err == nil && applied {
			s.result <- nil
			continue
		}
		unconfirmed = append(unconfirmed, s)
	}
	return unconfirmed
}

// complete ends the given submissions with the same result.
func complete(batched []*submission, err error) {
	for _, s := range batched {
		s.result <- err
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
