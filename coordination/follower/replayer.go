// Package follower replicates the platform's log into the state of an instance.
// Some instances read the log directly and the others fetch its entries from
// peers. An instance falls back to the log if no peer is up to date.
package follower

import (
	"errors"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/encoder"
)

// Limits on the entries that are retained for peers.
const (
	maxRetainedEntries = 4096
	maxRetainedBytes   = 8 << 20
)

// Entry is an encoded batch of the log.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// AppliedEntry is a decoded entry with the results of its edits.
type AppliedEntry struct {
	Batch   crocushollow.Batch
	Results []crocushollow.EditResult
}

// Replayer applies log entries in order and retains the latest ones for peers.
// It is used only by the control goroutine.
type Replayer struct {
	state         *applier.State
	assembler     applier.SnapshotAssembler
	retained      []Entry
	retainedBytes int
	// scannedUntil is the offset up to which the entries after a gap have been
	// searched for a snapshot.
	scannedUntil uint64
	// undecodableCount is the number of entries that were skipped because they
	// could not be decoded.
	undecodableCount int
}

// NewReplayer returns a replayer that has not applied any entry.
func NewReplayer() *Replayer { return &Replayer{state: applier.New()} }

// State returns the state after the last applied entry.
func (r *Replayer) State() *applier.State { return r.state }

// NextOffset returns the offset of the next entry to read from the log.
func (r *Replayer) NextOffset() uint64 { return max(r.state.NextOffset(), r.scannedUntil) }

// UndecodableCount returns the number of entries skipped because they could not
// be decoded.
func (r *Replayer) UndecodableCount() int { return r.undecodableCount }

// Replay applies the entries that follow the current state and ignores older
// ones. If entries are missing, it searches the entries after the gap for a
// snapshot and installs it if it is newer than the current state.
func (r *Replayer) Replay(entries []Entry) []AppliedEntry {
	var applied []AppliedEntry
	for _, entry := range entries {
		before := r.state.NextOffset()
		switch {
		case entry.Offset < before:
		case entry.Offset == before:
			applied = append(applied, r.apply(entry))
		default:
			r.searchSnapshot(entry)
			if r.state.NextOffset() != before {
				// The remaining entries must be read again from the snapshot's
				// offset.
				return applied
			}
		}
	}
	return applied
}

func (r *Replayer) apply(entry Entry) AppliedEntry {
	r.retain(entry)
	var batch crocushollow.Batch
	if err := encoder.Decode(entry.Data, &batch); err != nil {
		r.undecodableCount++
		r.state = r.state.WithSkippedBatch(entry.Offset)
		return AppliedEntry{}
	}
	state, results := r.state.WithBatch(entry.Offset, batch)
	r.state = state
	return AppliedEntry{Batch: batch, Results: results}
}

// retain retains an entry for peers and evicts the oldest ones.
func (r *Replayer) retain(entry Entry) {
	r.retained = append(r.retained, entry)
	r.retainedBytes += len(entry.Data)
	for len(r.retained) > maxRetainedEntries || r.retainedBytes > maxRetainedBytes && len(r.retained) > 1 {
		r.retainedBytes -= len(r.retained[0].Data)
		r.retained = r.retained[1:]
	}
}

// searchSnapshot installs the snapshot that the entry completes, if any.
func (r *Replayer) searchSnapshot(entry Entry) {
	r.scannedUntil = entry.Offset + 1
	var batch crocushollow.Batch
	if err := encoder.Decode(entry.Data, &batch); err != nil {
		return
	}
	for _, record := range batch.Records {
		if record.Snapshot == nil {
			continue
		}
		if state, err := r.assembler.Add(*record.Snapshot); err == nil {
			r.InstallState(state)
		}
	}
}

// InstallState replaces the state if the given state is newer. It reports
// whether it did.
func (r *Replayer) InstallState(state *applier.State) bool {
	if state.NextOffset() <= r.state.NextOffset() {
		return false
	}
	r.state = state
	r.retained, r.retainedBytes = nil, 0
	r.scannedUntil = 0
	return true
}

// maxFetchBytes bounds the size of the entries in one reply to a peer. A single
// larger entry is still sent.
const maxFetchBytes = 1 << 20

// ErrEntriesNotRetained is returned if the requested entries are no longer
// retained.
var ErrEntriesNotRetained = errors.New("log entries no longer retained")

// RetainedEntries returns the retained entries from an offset on, up to
// maxFetchBytes.
func (r *Replayer) RetainedEntries(from uint64) ([]Entry, error) {
	if from >= r.state.NextOffset() {
		return nil, nil
	}
	if len(r.retained) == 0 || from < r.retained[0].Offset {
		return nil, ErrEntriesNotRetained
	}
	entries := r.retained[from-r.retained[0].Offset:]
	size := 0
	for i, entry := range entries {
		size += len(entry.Data)
		if i > 0 && size > maxFetchBytes {
			return entries[:i], nil
		}
	}
	return entries, nil
}
