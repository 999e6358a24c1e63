package applier_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/standin/propertytester"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/encoder"
)

func TestApplier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "applier")
}

func member(id string, incarnation crocushollow.Incarnation) crocushollow.Member {
	return crocushollow.Member{ID: id, Incarnation: incarnation}
}

// reader applies records one by one.
type reader struct {
	state *applier.State
}

func (r *reader) apply(record crocushollow.Record) []crocushollow.EditResult {
	if record.ID.IsZero() {
		record.ID = crocushollow.NewID()
	}
	var results []crocushollow.EditResult
	r.state, results = r.state.WithBatch(r.state.NextOffset(), crocushollow.Batch{
		Version: crocushollow.BatchVersion, Records: []crocushollow.Record{record},
	})
	return results
}

var _ = Describe("State", func() {
	var r *reader
	one, two := member("one", 1), member("two", 2)

	BeforeEach(func() {
		r = &reader{state: applier.New()}
		r.apply(crocushollow.Record{Joins: []crocushollow.Member{one, two}})
	})

	It("gives a shard to the first claim that succeeds its current term", func() {
		claim := func(m crocushollow.Member, previousTerm uint64) {
			r.apply(crocushollow.Record{Author: m.MemberID(), ShardClaims: []crocushollow.ShardClaim{{Shard: 3, Owner: m.MemberID(), PreviousTerm: previousTerm}}})
		}
		claim(one, 0)
		claim(two, 0)
		term := r.state.Ownership(3).Term
		Expect(r.state.IsOwner(one.MemberID(), 3)).To(BeTrue())
		claim(two, term)
		Expect(r.state.IsOwner(one.MemberID(), 3)).To(BeTrue(), "the owner is still a member")
		r.apply(crocushollow.Record{Departures: []crocushollow.MemberID{one.MemberID()}})
		Expect(r.state.IsVacant(3)).To(BeTrue())
		claim(two, term)
		Expect(r.state.IsOwner(two.MemberID(), 3)).To(BeTrue())
		Expect(r.state.Ownership(3).Term).To(BeNumerically(">", term))
	})

	It("does not let a departed member join or claim calls", func() {
		r.apply(crocushollow.Record{Departures: []crocushollow.MemberID{one.MemberID()}})
		r.apply(crocushollow.Record{Joins: []crocushollow.Member{one}})
		Expect(r.state.IsJoined(one.MemberID())).To(BeFalse())
		key := crocushollow.IdempotencyKey{Workspace: "w"}
		r.apply(crocushollow.Record{Author: one.MemberID(), CallClaims: []crocushollow.CallClaim{{Key: key, Owner: one.MemberID()}}})
		_, found := r.state.Call(key)
		Expect(found).To(BeFalse())
	})

	It("applies a record once that is appended twice, even if its row is deleted in between", func() {
		record := crocushollow.Record{ID: crocushollow.NewID(), Edits: []crocushollow.Edit{add("a")}}
		Expect(r.apply(record)[0].Err).NotTo(HaveOccurred())
		ref := record.Edits[0].Ref
		deletion := crocushollow.Edit{ID: crocushollow.NewID(), Ref: ref, BaseRevision: r.state.Table().Entry(ref).Revision, Delete: true}
		Expect(r.apply(crocushollow.Record{Edits: []crocushollow.Edit{deletion}})[0].Err).NotTo(HaveOccurred())
		Expect(r.apply(record)).To(BeEmpty())
		Expect(r.state.Table().Entry(ref).Revision).To(BeZero())
	})

	It("keeps the first claim of a call and releases it only if the call did not run", func() {
		key := crocushollow.IdempotencyKey{Workspace: "w"}
		first := crocushollow.CallClaim{Key: key, Attempt: crocushollow.NewID(), Owner: one.MemberID()}
		second := crocushollow.CallClaim{Key: key, Attempt: crocushollow.NewID(), Owner: two.MemberID()}
		r.apply(crocushollow.Record{CallClaims: []crocushollow.CallClaim{first, second}})
		call, _ := r.state.Call(key)
		Expect(call.Claim.Attempt).To(Equal(first.Attempt))
		r.apply(crocushollow.Record{CallResults: []crocushollow.CallResult{{Key: key, Attempt: second.Attempt, NotRun: true}}})
		_, found := r.state.Call(key)
		Expect(found).To(BeTrue())
		r.apply(crocushollow.Record{CallResults: []crocushollow.CallResult{{Key: key, Attempt: first.Attempt, NotRun: true}}})
		_, found = r.state.Call(key)
		Expect(found).To(BeFalse())
	})

	It("returns the latest events with prompt parts, in order and once", func() {
		start := r.state.NextOffset()
		for number := range uint64(300) {
			event := crocushollow.SuspectEvent{Kind: crocushollow.CrashEvent, Attempt: crocushollow.NewID()}
			r.apply(crocushollow.Record{Author: one.MemberID(), SuspectEvents: []crocushollow.SuspectEvent{
				event, event.WithParts([]uint64{number}, time.Now()),
			}})
		}
		events := r.state.PartEventsSince(start)
		Expect(events).To(HaveLen(256))
		Expect(events[0].Parts).To(Equal([]uint64{44}))
		Expect(events[255].Parts).To(Equal([]uint64{299}))
		Expect(r.state.PartEventsSince(r.state.NextOffset() - 2)).To(HaveLen(2))
		Expect(r.state.PartEventsSince(r.state.NextOffset())).To(BeEmpty())
		// Guards against instances that start from a snapshot and run requests with a message
		// that all others refuse.
		encoded, err := r.state.Encode()
		Expect(err).NotTo(HaveOccurred())
		restored, err := applier.DecodeState(encoded)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.PartEventsSince(start)).To(Equal(events))
	})

	It("continues after a batch that cannot be decoded", func() {
		before := r.state.Table()
		r.state = r.state.WithSkippedBatch(r.state.NextOffset())
		Expect(r.state.Table()).To(BeIdenticalTo(before))
		Expect(r.apply(crocushollow.Record{Edits: []crocushollow.Edit{add("a")}})[0].Err).NotTo(HaveOccurred())
	})

	It("is the same after it is restored from a snapshot", func() {
		propertytester.Check(GinkgoT(), func(t *rapid.T) {
			direct := &reader{state: applier.New()}
			resumed := &reader{}
			steps := rapid.IntRange(1, 30).Draw(t, "steps")
			snapshotStep := rapid.IntRange(0, steps-1).Draw(t, "snapshot after")
			for i := range steps {
				record := drawRecord(t)
				direct.apply(record)
				if resumed.state != nil {
					resumed.apply(record)
				}
				if i == snapshotStep {
					resumed.state = snapshotRoundTrip(t, direct.state)
				}
			}
			if want, got := mustEncode(t, direct.state), mustEncode(t, resumed.state); len(want) != len(got) {
				t.Fatalf("a reader that started from a snapshot has a different state")
			}
		})
	})
})

func add(id string) crocushollow.Edit {
	row := crocushollow.Workspace{ID: id, TokenRate: 1, TokenBurst: 1, Weight: 1}
	return crocushollow.Edit{ID: crocushollow.NewID(), Ref: row.Ref(), Value: crocushollow.NewRowValue(row)}
}

// drawRecord draws a record from a range that is small enough for records to conflict.
func drawRecord(t *rapid.T) crocushollow.Record {
	id := fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "id"))
	memberID := crocushollow.MemberID{Instance: id, Incarnation: crocushollow.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))}
	number := rapid.Uint64Range(0, 5).Draw(t, "number")
	record := crocushollow.Record{ID: crocushollow.NewID(), Author: memberID}
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		record.Joins = []crocushollow.Member{{ID: id, Incarnation: memberID.Incarnation}}
	case 1:
		record.Departures = []crocushollow.MemberID{memberID}
	case 2:
		record.ShardClaims = []crocushollow.ShardClaim{{Shard: 1, Owner: memberID, PreviousTerm: number}}
	case 3:
		edit := add(id)
		edit.BaseRevision = number
		record.Edits = []crocushollow.Edit{edit}
	case 4:
		record.CallClaims = []crocushollow.CallClaim{{Key: crocushollow.IdempotencyKey{Workspace: id}, Owner: memberID}}
	case 5:
		record.CallResults = []crocushollow.CallResult{{Key: crocushollow.IdempotencyKey{Workspace: id}, NotRun: number > 2}}
	case 6:
		record.Drains = []crocushollow.MemberID{memberID}
	}
	return record
}

func snapshotRoundTrip(t *rapid.T, state *applier.State) *applier.State {
	parts, err := state.SnapshotParts()
	if err != nil {
		t.Fatal(err)
	}
	var assembler applier.SnapshotAssembler
	for _, part := range parts {
		restored, err := assembler.Add(part)
		if err == nil {
			return restored
		}
		if !errors.Is(err, applier.ErrSnapshotIncomplete) {
			t.Fatal(err)
		}
	}
	t.Fatal("snapshot is incomplete after its last part")
	return nil
}

func mustEncode(t *rapid.T, state *applier.State) []byte {
	encoded, err := state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// FuzzBatch fuzzes the decoder of log entries.
func FuzzBatch(f *testing.F) {
	valid, err := encoder.Encode(crocushollow.Batch{Version: 1, Records: []crocushollow.Record{
		{ID: crocushollow.NewID(), Edits: []crocushollow.Edit{add("a")}, Joins: []crocushollow.Member{member("one", 1)}},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{})
	f.Add([]byte{0xff, 0x00})
	f.Add(valid[:len(valid)/2])
	f.Fuzz(func(_ *testing.T, data []byte) {
		var batch crocushollow.Batch
		if encoder.Decode(data, &batch) == nil {
			applier.New().WithBatch(0, batch)
		}
	})
}
