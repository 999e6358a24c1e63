package controller

import (
	"context"
	"errors"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/claimer"
	"github.com/crocushollow/crocushollow/coordination/follower"
	"github.com/crocushollow/crocushollow/state/applier"
)

// sink adapts Controller to follower.Sink.
type sink Controller

// Position implements follower.Sink.
func (s *sink) Position(ctx context.Context) (follower.Position, error) {
	e := positionRequested{answer: make(chan follower.Position, 1)}
	return postAndWait(ctx, (*Controller)(s), e.answer, e)
}

// Deliver implements follower.Sink.
func (s *sink) Deliver(ctx context.Context, requestedAt time.Time, segment follower.Segment) error {
	e := segmentRead{requestedAt: requestedAt, segment: segment, answer: make(chan error, 1)}
	failed, err := postAndWait(ctx, (*Controller)(s), e.answer, e)
	return errors.Join(err, failed)
}

// errLogTruncated reports that the log ends before the last applied entry.
var errLogTruncated = errors.New("the log has lost entries that were applied")

type positionRequested struct {
	answer chan follower.Position
}

func (e positionRequested) apply(c *Controller) {
	e.answer <- follower.Position{Offset: c.replayer.NextOffset(), ShouldRead: c.readsLog(time.Now())}
}

// readsLog reports whether the instance reads the log directly. It does so if
// it is a log reader of its availability zone, has not joined yet, or no longer
// receives recent log positions from its peers.
func (c *Controller) readsLog(now time.Time) bool {
	if !c.state().IsJoined(c.self.MemberID()) || c.tracker.LogAge(now) > c.config.Timing.Lease*3/4 {
		return true
	}
	rank := 0
	for _, member := range c.state().Members() {
		if member.ID == c.self.ID {
			break
		}
		if member.AvailabilityZone == c.self.AvailabilityZone {
			rank++
		}
	}
	return rank < c.config.LogReadersPerZone
}

type segmentRead struct {
	requestedAt time.Time
	segment     follower.Segment
	answer      chan error
}

func (e segmentRead) apply(c *Controller) {
	c.replay(e.segment.Entries)
	var failed error
	switch head := e.segment.Head; {
	case head == c.state().NextOffset():
		c.tracker.MarkUpToDate(e.requestedAt)
	case head < c.state().NextOffset():
		c.reappendLostEntries(head)
		failed = errLogTruncated
	}
	c.waiters.resolve(c.state(), time.Now(), c.tracker.LogAge(time.Now()))
	c.publishView()
	e.answer <- failed
}

// replay applies log entries and notifies the callers that wait for them.
func (c *Controller) replay(entries []follower.Entry) {
	before := c.state()
	for _, applied := range c.replayer.Replay(entries) {
		c.waiters.deliver(applied.Results)
		c.logEdits(applied.Results)
		if len(applied.Results) > 0 {
			c.config.OnEditsApplied(applied.Results)
		}
		for _, record := range applied.Batch.Records {
			if record.Snapshot != nil {
				c.lastRun.snapshot = time.Now()
			}
		}
	}
	if c.state() != before {
		c.stateChanged(before)
	}
}

// stateChanged updates all components after the replayed state has changed.
func (c *Controller) stateChanged(before *applier.State) {
	now := time.Now()
	if c.state().IsDeparted(c.self.MemberID()) && !c.drain.active {
		c.config.Logger.Warn().Msg("declared departed by another instance; joining again with a new incarnation")
		c.startIncarnation()
	}
	c.tracker.Update(c.state(), now)
	c.quotaOwner.Update(c.state(), now)
	if c.state().Table() != before.Table() {
		c.applyTableChanges(now)
	}
	c.logShards(before)
	c.maintainMembership(now)
	c.maintainClaims(now)
	c.sendExchanges(c.quotaClient.Poll(c.state(), now), now)
}

// logShards logs the shards that this instance has newly acquired.
func (c *Controller) logShards(before *applier.State) {
	var acquired []uint16
	for shard := range crocushollow.Shard(crocushollow.ShardCount) {
		self := c.self.MemberID()
		if c.state().IsOwner(self, shard) && !before.IsOwner(self, shard) {
			acquired = append(acquired, uint16(shard))
		}
	}
	if len(acquired) > 0 {
		c.config.Logger.Info().Uints16("shards", acquired).Msg("shards acquired")
	}
}

func (c *Controller) logEdits(results []crocushollow.EditResult) {
	for _, result := range results {
		entry := c.config.Logger.Info()
		if result.Err != nil {
			entry = c.config.Logger.Warn().Err(result.Err)
		}
		entry.Str("row", result.Edit.Ref.String()).Str("author", result.Edit.Author).
			Uint64("offset", result.Offset).Bool("delete", result.Edit.Delete).Msg("edit applied")
	}
}

// reappendLostEntries appends the entries that the platform's log has lost, so
// that the log again matches the state that the instances have applied. Only
// the preferred owner of the planner shard does so; the others wait for it.
func (c *Controller) reappendLostEntries(head uint64) {
	members := c.state().Members()
	if claimer.PreferredOwner(crocushollow.PlannerShard, members) != c.self.MemberID() || c.reappending {
		return
	}
	entries, err := c.replayer.RetainedEntries(head)
	if err != nil || len(entries) == 0 {
		c.config.Logger.Error().Uint64("head", head).Uint64("applied", c.state().NextOffset()).
			Msg("log lost entries that this instance no longer retains")
		return
	}
	c.reappending = true
	c.config.Logger.Error().Uint64("head", head).Uint64("applied", c.state().NextOffset()).
		Msg("log lost entries; appending them again")
	c.runAsync(publishTimeout, func(ctx context.Context) event {
		for _, entry := range entries {
			if err := c.config.Publisher.Reappend(ctx, entry.Data); err != nil {
				return lostEntriesReappended{err: err}
			}
		}
		return lostEntriesReappended{}
	})
}

type lostEntriesReappended struct {
	err error
}

func (e lostEntriesReappended) apply(c *Controller) {
	c.reappending = false
	if e.err != nil {
		c.config.Logger.Warn().Err(e.err).Msg("failed to append lost log entries")
	}
}

// minSnapshotEntries is the minimum length of the log, in entries, for a
// snapshot.
const minSnapshotEntries = 32

// maintainSnapshot periodically appends a snapshot to the log, so that the
// state outlives the retention of older entries. The owner of the planner shard
// does so.
func (c *Controller) maintainSnapshot(now time.Time) {
	if c.lastRun.snapshot.IsZero() {
		c.lastRun.snapshot = now
	}
	due := now.Sub(c.lastRun.snapshot) >= c.config.Timing.SnapshotInterval
	isPlannerOwner := c.state().IsOwner(c.self.MemberID(), crocushollow.PlannerShard)
	if !due || !isPlannerOwner || c.drain.active || c.state().NextOffset() < minSnapshotEntries {
		return
	}
	c.lastRun.snapshot = now
	state, self := c.state(), c.self.MemberID()
	c.runAsync(publishTimeout, func(ctx context.Context) event {
		if err := c.publishSnapshot(ctx, state, self); err != nil {
			c.config.Logger.Warn().Err(err).Msg("failed to append snapshot")
		}
		return nil
	})
}

func (c *Controller) publishSnapshot(ctx context.Context, state *applier.State, self crocushollow.MemberID) error {
	parts, err := state.SnapshotParts()
	if err != nil {
		return err
	}
	for i := range parts {
		record := crocushollow.Record{ID: crocushollow.NewID(), Author: self, Snapshot: &parts[i]}
		if err := c.config.Publisher.Publish(ctx, record); err != nil {
			return err
		}
	}
	return nil
}
