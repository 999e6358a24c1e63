// Package follower keeps an instance's state up to date with the platform's
// log. Some instances read the log itself; the others fetch its entries from
// peers, and any instance falls back to the log when no peer is fresh.
package follower

import (
	"errors"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/encoder"
)

// Bounds of the entries kept for peers.
const (
	maxTailEntries = 4096
	maxTailBytes   = 8 << 20
)

// Entry is an encoded batch of the log.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Applied is what became of an entry.
type Applied struct {
	Batch   crocushollow.Batch
	Results []crocushollow.EditResult
}

// Replayer applies entries in order and keeps the latest ones for peers. It
// belongs to the control goroutine.
type Replayer struct {
	state     *applier.State
	assembler applier.SnapshotAssembler
	tail      []Entry
	tailBytes int
	// scanned is the offset up to which entries beyond a gap have been searched
	// for a snapshot.
	scanned uint64
	// undecodable counts the entries that were skipped.
	undecodable int
}

// NewReplayer returns a replayer before the first entry.
func NewReplayer() *Replayer { return &Replayer{state: applier.New()} }

// State returns the state after the latest entry.
func (r *Replayer) State() *applier.State { return r.state }

// Next returns the offset of the next entry to read.
func (r *Replayer) Next() uint64 { return max(r.state.NextOffset(), r.scanned) }

// Undecodable returns the number of entries skipped because they could not be
// decoded.
func (r *Replayer) Undecodable() int { return r.undecodable }

// Replay applies the entries that follow the state and ignores older ones.
// Beyond a gap it looks for a snapshot, which replaces the state only by a
// later one.
func (r *Replayer) Replay(entries []Entry) []Applied {
	var applied []Applied
	for _, entry := range entries {
		before := r.state.NextOffset()
		switch {
		case entry.Offset < before:
		case entry.Offset == before:
			applied = append(applied, r.apply(entry))
		default:
			r.lookForSnapshot(entry)
			if r.state.NextOffset() != before {
				// The entries after the snapshot have to be read again.
				return applied
			}
		}
	}
	return applied
}

func (r *Replayer) apply(entry Entry) Applied {
	r.keep(entry)
	var batch crocushollow.Batch
	if err := encoder.Decode(entry.Data, &batch); err != nil {
		r.undecodable++
		r.state = r.state.WithSkippedBatch(entry.Offset)
		return Applied{}
	}
	state, results := r.state.WithBatch(entry.Offset, batch)
	r.state = state
	return Applied{Batch: batch, Results: results}
}

func (r *Replayer) keep(entry Entry) {
	r.tail = append(r.tail, entry)
	r.tailBytes += len(entry.Data)
	for len(r.tail) > maxTailEntries || r.tailBytes > maxTailBytes && len(r.tail) > 1 {
		r.tailBytes -= len(r.tail[0].Data)
		r.tail = r.tail[1:]
	}
}

func (r *Replayer) lookForSnapshot(entry Entry) {
	r.scanned = entry.Offset + 1
	var batch crocushollow.Batch
	if err := encoder.Decode(entry.Data, &batch); err != nil {
		return
	}
	for _, record := range batch.Records {
		if record.Snapshot == nil {
			continue
		}
		if state, err := r.assembler.Add(*record.Snapshot); err == nil {
			r.Restore(state)
		}
	}
}

// Restore replaces the state by a later one.
func (r *Replayer) Restore(state *applier.State) bool {
	if state.NextOffset() <= r.state.NextOffset() {
		return false
	}
	r.state = state
	r.tail, r.tailBytes = nil, 0
	r.scanned = 0
	return true
}

// maxFetchBytes bounds the entries in one answer to a peer.
const maxFetchBytes = 1 << 20

// ErrNoTail reports that the entries asked for are no longer kept.
var ErrNoTail = errors.New("entries no longer kept")

// Tail returns kept entries from an offset on.
func (r *Replayer) Tail(from uint64) ([]Entry, error) {
	if from >= r.state.NextOffset() {
		return nil, nil
	}
	if len(r.tail) == 0 || from < r.tail[0].Offset {
		return nil, ErrNoTail
	}
	entries := r.tail[from-r.tail[0].Offset:]
	size := 0
	for i, entry := range entries {
		size += len(entry.Data)
		if i > 0 && size > maxFetchBytes {
			return entries[:i], nil
		}
	}
	return entries, nil
}
