package hosted

import (
	"bytes"
	"crypto/rand"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/coordination/observer"
	"github.com/crocushollow/crocushollow/state/encoder"
)

// maxDatagramBytes is the largest payload of a UDP datagram.
const maxDatagramBytes = 65507

// receive encodes and decodes messages as between two instances.
func receive(t *testing.T, updates []gossiper.FeedUpdate, now time.Time) []observer.RelayedBatch {
	t.Helper()
	var batches []observer.RelayedBatch
	var parts assembler
	for _, update := range updates {
		payload, err := encoder.Encode(&update)
		if err != nil {
			t.Fatal(err)
		}
		if len(payload) > maxDatagramBytes {
			t.Errorf("message of %d bytes does not fit into a datagram", len(payload))
		}
		var received gossiper.FeedUpdate
		if err := encoder.Decode(payload, &received); err != nil {
			t.Fatal(err)
		}
		if !parts.add(&received) {
			continue
		}
		batch, err := relayedBatch(&received, now)
		if err != nil {
			t.Fatal(err)
		}
		batches = append(batches, batch)
	}
	return batches
}

// A batch with a change of every engine of a large site must be relayed in several
// messages, each of which continues at the end of the one before.
func TestFeedUpdatesContinueEachOther(t *testing.T) {
	now := time.Unix(1000, 0)
	batch := observer.RelayedBatch{Source: observer.Upstreams, From: 100, Next: 400, IsComplete: true}
	for i := range crocushollow.Position(122) {
		change := observer.Change{Position: 110 + 2*i, DeregisteredUpstream: fmt.Sprint("gone-", i)}
		if i%3 != 0 {
			change.DeregisteredUpstream = ""
			change.Upstream = &catalog.Upstream{ID: fmt.Sprint("i-", i), Service: "s", Address: "10.0.0.1:1", ColdUntil: now.Add(time.Second)}
		}
		batch.Changes = append(batch.Changes, change)
	}
	next, count := batch.From, 0
	for _, received := range receive(t, feedUpdates(batch, now), now.Add(time.Hour)) {
		if received.From != next || !received.IsComplete {
			t.Fatalf("message from %d, complete %v, after %d", received.From, received.IsComplete, next)
		}
		next = received.Next
		count += len(received.Changes)
		for _, change := range received.Changes {
			if change.Upstream != nil && !change.Upstream.ColdUntil.Equal(now.Add(time.Hour+time.Second)) {
				t.Errorf("cold until %v", change.Upstream.ColdUntil)
			}
		}
	}
	if next != batch.Next || count != len(batch.Changes) {
		t.Errorf("%d changes up to %d", count, next)
	}
}

// Guards against an instance that takes a part of a snapshot for all changes up to its position.
func TestFeedUpdatesOfSnapshotsEndWithThem(t *testing.T) {
	batch := observer.RelayedBatch{Source: observer.Upstreams, From: 400, Next: 400}
	for i := range crocushollow.Position(60) {
		batch.Changes = append(batch.Changes, observer.Change{Position: 110 + i, Upstream: &catalog.Upstream{ID: fmt.Sprint("i-", i)}})
	}
	count := 0
	for _, received := range receive(t, feedUpdates(batch, time.Now()), time.Now()) {
		if received.From != 400 || received.Next != 400 || received.IsComplete {
			t.Errorf("message from %d to %d, complete %v", received.From, received.Next, received.IsComplete)
		}
		count += len(received.Changes)
	}
	if count != len(batch.Changes) {
		t.Errorf("%d changes", count)
	}
}

func TestFeedUpdatesCarryTheTable(t *testing.T) {
	record := []byte(`{"version":7,"routes":[],"services":[]}`)
	batch := observer.RelayedBatch{Source: observer.Operators, From: 4, Next: 6, IsComplete: true, Changes: []observer.Change{
		{Position: 4, Key: "config", Record: record},
		{Position: 5, Key: "evacuate/za", Record: []byte("{}")},
	}}
	received := receive(t, feedUpdates(batch, time.Now()), time.Now())
	if len(received) != 2 || !received[0].IsComplete || received[0].From != 4 || received[0].Next != 5 || received[1].From != 5 || received[1].Next != 6 {
		t.Fatalf("received %+v", received)
	}
	changes := slices.Concat(received[0].Changes, received[1].Changes)
	if len(changes) != 2 || changes[0].Catalog == nil || changes[0].Catalog.Version() != 7 || changes[1].Zone != "za" || changes[1].InService {
		t.Errorf("changes %+v", changes)
	}
	if !bytes.Equal(changes[0].Record, record) {
		t.Errorf("record %q", changes[0].Record)
	}
}

// A table that does not fit into a message is only announced.
func TestFeedUpdatesLeaveOutLargeRecords(t *testing.T) {
	record := make([]byte, (maxParts+1)*maxPartBytes)
	_, _ = rand.Read(record)
	batch := observer.RelayedBatch{
		Source: observer.Operators, From: 4, Next: 5, IsComplete: true,
		Changes: []observer.Change{{Position: 4, Key: "config", Record: record}},
	}
	received := receive(t, feedUpdates(batch, time.Now()), time.Now())
	want := []observer.RelayedBatch{{Source: observer.Operators, From: 4, Next: 5}}
	if !reflect.DeepEqual(received, want) {
		t.Errorf("received %+v", received)
	}
}

// largeTable returns the record of a table that does not fit into one message.
func largeTable(version int) []byte {
	noise := make([]byte, 4*maxPartBytes)
	_, _ = rand.Read(noise)
	return fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"note":"%x"}`, version, noise)
}

func TestFeedUpdatesCarryLargeTablesInParts(t *testing.T) {
	batch := observer.RelayedBatch{Source: observer.Operators, From: 4, Next: 6, IsComplete: true, Changes: []observer.Change{
		{Position: 4, Key: "config", Record: largeTable(7)},
		{Position: 5, Key: "config", Record: largeTable(8)},
	}}
	updates := feedUpdates(batch, time.Now())
	if len(updates) < 8 {
		t.Fatalf("%d messages", len(updates))
	}
	// Datagrams may arrive in another order, and twice.
	slices.Reverse(updates[:4])
	updates = slices.Insert(updates, 2, updates[0])
	received := receive(t, updates, time.Now())
	if len(received) != 2 || received[0].Changes[0].Catalog.Version() != 7 || received[1].Changes[0].Catalog.Version() != 8 {
		t.Errorf("received %d batches", len(received))
	}
}

func TestAssemblerIgnoresInvalidParts(t *testing.T) {
	var a assembler
	part := func(number, parts int) *gossiper.FeedUpdate {
		return &gossiper.FeedUpdate{Records: []gossiper.FeedRecord{{Position: 4, Part: number, Parts: parts, CompressedValue: []byte(strings.Repeat("x", number+1))}}}
	}
	for _, invalid := range [][2]int{{-1, 2}, {2, 2}, {0, -1}, {0, maxParts + 1}} {
		if a.add(part(invalid[0], invalid[1])) {
			t.Errorf("part %d of %d is accepted", invalid[0], invalid[1])
		}
	}
	if a.add(part(0, 2)) || a.add(part(1, 3)) || a.add(part(0, 2)) {
		t.Error("an incomplete record is complete")
	}
	last := part(1, 2)
	if !a.add(last) || string(last.Records[0].CompressedValue) != "xxx" {
		t.Errorf("record %q", last.Records[0].CompressedValue)
	}
}

func TestDamagedRecordMakesTheBatchIncomplete(t *testing.T) {
	update := gossiper.FeedUpdate{
		Source: string(observer.Operators), From: 4, Next: 5, IsComplete: true,
		Records: []gossiper.FeedRecord{{Position: 4, Key: "config", CompressedValue: []byte("no deflate stream")}},
	}
	batch, err := relayedBatch(&update, time.Now())
	if err == nil || batch.IsComplete || batch.Changes != nil {
		t.Errorf("batch %+v, error %v", batch, err)
	}
}
