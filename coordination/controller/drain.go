package controller

import (
	"context"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/claimer"
)

// drainState tracks a graceful shutdown.
type drainState struct {
	active bool
}

// BeginDrain starts a graceful shutdown: discovery no longer returns the
// instance, and its shards are released for other members to claim. It returns
// once the drain record is applied, or with an error if ctx ends while the log
// is unavailable.
func (c *Controller) BeginDrain(ctx context.Context) error {
	e := drainRequested{answer: make(chan crocushollow.Record, 1)}
	record, err := postAndWait(ctx, c, e.answer, e)
	if err != nil {
		return err
	}
	return c.config.Publisher.Publish(ctx, record)
}

type drainRequested struct {
	answer chan crocushollow.Record
}

func (e drainRequested) apply(c *Controller) {
	c.drain.active = true
	c.publishView()
	self := c.self.MemberID()
	record := crocushollow.Record{ID: crocushollow.NewID(), Author: self, Drains: []crocushollow.MemberID{self}}
	if c.tracker.LogAge(time.Now()) <= c.config.Timing.Lease {
		// While the log is unavailable no other member can claim the shards, so
		// they are kept.
		record.ShardReleases = claimer.Releases(c.state(), self)
		for _, release := range record.ShardReleases {
			c.quotaOwner.ReleaseShard(release.Shard)
		}
	}
	e.answer <- record
}

// returnPollInterval is the interval at which a shutdown checks for quotas that
// are still held.
const returnPollInterval = 20 * time.Millisecond

// quotaReturnTimeout bounds how long a shutdown waits for the owners to accept
// the returned quotas. The instance's own departure record frees the rest as well.
const quotaReturnTimeout = time.Second

// Leave returns all quotas to the owners of the limits and publishes the
// departure of the instance. No request may be in flight.
func (c *Controller) Leave(ctx context.Context) error {
	returning, cancel := context.WithTimeout(ctx, quotaReturnTimeout)
	c.returnQuotas(returning)
	cancel()
	self := c.View().Self.MemberID()
	return c.config.Publisher.Publish(ctx, crocushollow.Record{
		ID:         crocushollow.NewID(),
		Author:     self,
		Departures: []crocushollow.MemberID{self},
	})
}

func (c *Controller) returnQuotas(ctx context.Context) {
	for {
		e := quotaReturnRequested{answer: make(chan bool, 1)}
		idle, err := postAndWait(ctx, c, e.answer, e)
		if err != nil || idle {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(returnPollInterval):
		}
	}
}

type quotaReturnRequested struct {
	answer chan bool
}

func (e quotaReturnRequested) apply(c *Controller) {
	now := time.Now()
	c.quotaClient.ReturnAll()
	c.sendExchanges(c.quotaClient.Poll(c.state(), now), now)
	e.answer <- c.quotaClient.IsIdle()
}
