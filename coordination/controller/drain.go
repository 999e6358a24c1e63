package controller

import (
	"context"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/claimer"
)

// drainState is how far a planned stop has come.
type drainState struct {
	active bool
}

// BeginDrain takes the instance out of discovery and hands its shards to
// others. It returns once the fleet has been told or the log is found to be
// away.
func (c *Controller) BeginDrain(ctx context.Context) error {
	e := drainBegun{answer: make(chan crocushollow.Record, 1)}
	record, err := ask(ctx, c, e.answer, e)
	if err != nil {
		return err
	}
	return c.config.Publisher.Publish(ctx, record)
}

type drainBegun struct {
	answer chan crocushollow.Record
}

func (e drainBegun) apply(c *Controller) {
	c.drain.active = true
	c.publishView()
	self := c.self.MemberID()
	record := crocushollow.Record{ID: crocushollow.NewID(), Author: self, Drains: []crocushollow.MemberID{self}}
	if c.tracker.LogAge(time.Now()) <= c.config.Timing.Lease {
		// Without the log nobody could take the shards over.
		record.ShardReleases = claimer.Releases(c.state(), self)
		for _, release := range record.ShardReleases {
			c.owner.Release(release.Shard)
		}
	}
	e.answer <- record
}

// handOverPoll is the time between two looks at what is still held.
const handOverPoll = 20 * time.Millisecond

// returnTimeout bounds how long units are returned one by one. A departure by
// the instance's own word frees the others as well.
const returnTimeout = time.Second

// HandOver returns all units to their owners and departs. No request may be in
// flight.
func (c *Controller) HandOver(ctx context.Context) error {
	returning, cancel := context.WithTimeout(ctx, returnTimeout)
	c.returnParts(returning)
	cancel()
	self := c.View().Self.MemberID()
	return c.config.Publisher.Publish(ctx, crocushollow.Record{
		ID:         crocushollow.NewID(),
		Author:     self,
		Departures: []crocushollow.MemberID{self},
	})
}

func (c *Controller) returnParts(ctx context.Context) {
	for {
		e := partsReturned{answer: make(chan bool, 1)}
		idle, err := ask(ctx, c, e.answer, e)
		if err != nil || idle {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(handOverPoll):
		}
	}
}

type partsReturned struct {
	answer chan bool
}

func (e partsReturned) apply(c *Controller) {
	now := time.Now()
	c.holder.GiveBack()
	c.send(c.holder.Poll(c.state(), now), now)
	e.answer <- c.holder.IsIdle()
}
