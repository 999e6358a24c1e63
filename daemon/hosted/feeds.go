package hosted

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"time"

	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/coordination/observer"
	"github.com/crocushollow/crocushollow/platform"
)

const (
	// maxRelayedChanges is the number of changes in one message, which must fit into
	// a datagram.
	maxRelayedChanges = 24
	// maxPartBytes is the size of a part of a compressed record of operators, and
	// maxParts the number of parts up to which it is relayed. The other instances read
	// larger ones from the store.
	maxPartBytes = 16 << 10
	maxParts     = 64
	// maxRecordBytes bounds a record after decompression.
	maxRecordBytes = 16 << 20
	// readDelayStep and maxReadDelay spread the instances that read a feed because
	// its watcher is silent. What the first of them reads is relayed to the others.
	readDelayStep = 50 * time.Millisecond
	maxReadDelay  = 500 * time.Millisecond
)

// isWatcher reports whether this instance reads the platform's feeds for others: for
// its availability zone, or for the whole fleet if that is aggregated. The other
// instances read the feeds themselves when the watcher relays nothing in time.
func (i *Instance) isWatcher() bool {
	return !i.draining.Load() && i.gossiper.Fleet().WatcherRank == 0
}

// readDelay returns by how much longer this instance waits for a silent watcher.
func (i *Instance) readDelay() time.Duration {
	fleet := i.gossiper.Fleet()
	if !fleet.IsAggregated {
		return 0
	}
	return min(time.Duration(fleet.WatcherRank-1)*readDelayStep, maxReadDelay)
}

// relayBatch sends the changes that a feed returned to the other instances, in all
// availability zones: the store may turn away all instances of one.
func (i *Instance) relayBatch(batch observer.RelayedBatch) {
	for _, update := range feedUpdates(batch, time.Now()) {
		heartbeat := gossiper.NewPartial()
		heartbeat.FeedUpdates = []gossiper.FeedUpdate{update}
		i.gossiper.Broadcast(heartbeat)
	}
}

// feedUpdates splits a batch into messages that continue each other. Those of an incomplete
// batch all end where it does.
func feedUpdates(batch observer.RelayedBatch, now time.Time) []gossiper.FeedUpdate {
	size := maxRelayedChanges
	if batch.Source == observer.Operators {
		size = 1
	}
	var updates []gossiper.FeedUpdate
	from, left := batch.From, len(batch.Changes)
	for changes := range slices.Chunk(batch.Changes, size) {
		next := changes[len(changes)-1].Position + 1
		if left -= len(changes); left == 0 || !batch.IsComplete {
			next = batch.Next
		}
		update := gossiper.FeedUpdate{Source: string(batch.Source), From: from, Next: next, IsComplete: batch.IsComplete, Age: batch.Age}
		from = next
		if batch.Source == observer.Operators {
			updates = append(updates, recordUpdates(update, &changes[0])...)
			continue
		}
		for i := range changes {
			addUpstream(&update, &changes[i], now)
		}
		updates = append(updates, update)
	}
	if len(updates) == 0 {
		return []gossiper.FeedUpdate{{Source: string(batch.Source), From: from, Next: batch.Next, IsComplete: batch.IsComplete, Age: batch.Age}}
	}
	return updates
}

// recordUpdates returns the messages for a record of operators: one for each part, or
// one without the record if it is too large.
func recordUpdates(update gossiper.FeedUpdate, change *observer.Change) []gossiper.FeedUpdate {
	record := gossiper.FeedRecord{Position: change.Position, Key: change.Key, CompressedValue: compress(change.Record)}
	parts := slices.Collect(slices.Chunk(record.CompressedValue, maxPartBytes))
	switch {
	case len(parts) <= 1:
		update.Records = []gossiper.FeedRecord{record}
		return []gossiper.FeedUpdate{update}
	case len(parts) > maxParts:
		update.IsComplete = false
		return []gossiper.FeedUpdate{update}
	}
	updates := make([]gossiper.FeedUpdate, 0, len(parts))
	for i, part := range parts {
		record.Part, record.Parts, record.CompressedValue = i, len(parts), part
		update.Records = []gossiper.FeedRecord{record}
		updates = append(updates, update)
	}
	return updates
}

// addUpstream adds a change of an upstream to a message. Clocks of instances differ, so
// the end of a cold start is sent as the remaining time.
func addUpstream(update *gossiper.FeedUpdate, change *observer.Change, now time.Time) {
	switch {
	case change.DeregisteredUpstream != "":
		update.Deregistrations = append(update.Deregistrations, gossiper.UpstreamDeregistration{
			Position: change.Position, ID: change.DeregisteredUpstream,
			StartUnixMilli: change.LastStartUnixMilli, Sequence: change.LastSequence,
		})
	case change.Upstream != nil:
		registration := gossiper.UpstreamRegistration{Position: change.Position, Upstream: *change.Upstream}
		registration.ColdRemaining = max(change.Upstream.ColdUntil.Sub(now), 0)
		registration.Upstream.ColdUntil = time.Time{}
		update.Registrations = append(update.Registrations, registration)
	}
}

// handleFeedUpdates passes the changes that a watcher relayed to the observer.
func (i *Instance) handleFeedUpdates(updates []gossiper.FeedUpdate) {
	now := time.Now()
	for u := range updates {
		if !i.assembler.add(&updates[u]) {
			continue
		}
		batch, err := relayedBatch(&updates[u], now)
		if err != nil {
			i.logger.Warn().Err(err).Str("feed", updates[u].Source).Msg("relayed record discarded")
		}
		i.observer.HandleRelayed(batch)
	}
}

// relayedBatch returns the batch that a message carries. If a record cannot be
// decompressed, the batch is incomplete, so that the instance reads the feed itself.
func relayedBatch(update *gossiper.FeedUpdate, now time.Time) (observer.RelayedBatch, error) {
	batch := observer.RelayedBatch{
		Source: observer.Source(update.Source), From: update.From, Next: update.Next, IsComplete: update.IsComplete, Age: update.Age,
	}
	for _, record := range update.Records {
		value, err := decompress(record.CompressedValue)
		if err != nil {
			batch.Changes, batch.IsComplete = nil, false
			return batch, err
		}
		if change, known := platform.DecodeOperatorChange(record.Position, record.Key, value); known {
			batch.Changes = append(batch.Changes, change)
		}
	}
	for _, deregistration := range update.Deregistrations {
		batch.Changes = append(batch.Changes, observer.Change{
			Position: deregistration.Position, DeregisteredUpstream: deregistration.ID,
			LastStartUnixMilli: deregistration.StartUnixMilli, LastSequence: deregistration.Sequence,
		})
	}
	for _, registration := range update.Registrations {
		upstream := registration.Upstream
		if registration.ColdRemaining > 0 {
			upstream.ColdUntil = now.Add(registration.ColdRemaining)
		}
		batch.Changes = append(batch.Changes, observer.Change{Position: registration.Position, Upstream: &upstream})
	}
	return batch, nil
}

// compress returns the data in the DEFLATE format, or nil if there is none.
func compress(data []byte) []byte {
	if data == nil {
		return nil
	}
	var compressed bytes.Buffer
	// The level is valid, and a write to a buffer does not fail.
	writer, _ := flate.NewWriter(&compressed, flate.BestSpeed)
	_, _ = writer.Write(data)
	_ = writer.Close()
	return compressed.Bytes()
}

func decompress(compressed []byte) ([]byte, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxRecordBytes))
}
