package controller

import (
	"context"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/applier"
)

// waiters holds the callers that wait for edits or records to be applied.
type waiters struct {
	// edits holds the result channels by edit ID.
	edits   map[crocushollow.ID]chan crocushollow.EditResult
	records []recordWaiter
}

// recordWaiter waits until it is known whether a record is in the log.
type recordWaiter struct {
	id     crocushollow.ID
	since  time.Time
	answer chan bool
}

func newWaiters() waiters {
	return waiters{edits: make(map[crocushollow.ID]chan crocushollow.EditResult)}
}

func (w *waiters) deliver(results []crocushollow.EditResult) {
	for _, result := range results {
		if answer, found := w.edits[result.Edit.ID]; found {
			delete(w.edits, result.Edit.ID)
			answer <- result
		}
	}
}

// resolve answers true to the waiters whose record is applied, and false to
// those whose record is missing although the log has been read to its head
// after they began to wait.
func (w *waiters) resolve(state *applier.State, now time.Time, logAge time.Duration) {
	kept := w.records[:0]
	for _, waiter := range w.records {
		switch {
		case state.HasRecord(waiter.id):
			waiter.answer <- true
		case now.Add(-logAge).After(waiter.since):
			waiter.answer <- false
		default:
			kept = append(kept, waiter)
		}
	}
	w.records = kept
}

// ConfirmApplied reports whether a record is in the log. It implements
// publisher.Confirmer.
func (c *Controller) ConfirmApplied(ctx context.Context, id crocushollow.ID) (bool, error) {
	e := confirmationRequested{waiter: recordWaiter{id: id, since: time.Now(), answer: make(chan bool, 1)}}
	return postAndWait(ctx, c, e.waiter.answer, e)
}

type confirmationRequested struct {
	waiter recordWaiter
}

func (e confirmationRequested) apply(c *Controller) {
	c.waiters.records = append(c.waiters.records, e.waiter)
	now := time.Now()
	c.waiters.resolve(c.state(), now, c.tracker.LogAge(now))
}

// Edit publishes edits, waits until this instance has applied them and returns
// their results. If it is unknown whether the edits took effect, the error
// wraps publisher.ErrUnavailable.
func (c *Controller) Edit(ctx context.Context, edits []crocushollow.Edit) ([]crocushollow.EditResult, error) {
	record := crocushollow.Record{ID: crocushollow.NewID(), Author: c.View().Self.MemberID(), Edits: edits}
	if err := record.Validate(); err != nil {
		return nil, err
	}
	answers := make(chan crocushollow.EditResult, len(edits))
	if err := c.post(ctx, editsExpected{edits: edits, answers: answers}); err != nil {
		return nil, err
	}
	if err := c.config.Publisher.Publish(ctx, record); err != nil {
		return nil, err
	}
	results := make([]crocushollow.EditResult, 0, len(edits))
	for range edits {
		select {
		case result := <-answers:
			results = append(results, result)
		case <-ctx.Done():
			return results, ctx.Err()
		}
	}
	return results, nil
}

type editsExpected struct {
	edits   []crocushollow.Edit
	answers chan crocushollow.EditResult
}

func (e editsExpected) apply(c *Controller) {
	for _, edit := range e.edits {
		c.waiters.edits[edit.ID] = e.answers
	}
}
