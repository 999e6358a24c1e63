package hosted

import (
	"slices"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/gossiper"
)

// maxAssembled is the number of records that are assembled at the same time.
const maxAssembled = 4

// assembler puts the parts of relayed records together. It is not safe for concurrent
// use.
type assembler struct {
	// records are the incomplete records, oldest first.
	records []*partialRecord
}

// partialRecord is a record of which parts are missing.
type partialRecord struct {
	position crocushollow.Position
	parts    [][]byte
	missing  int
}

// add adds a message. It reports whether the message is complete: it has no part of a
// record, or it has the last missing part and now the whole record. If a part is lost,
// the next message shows the gap.
func (a *assembler) add(update *gossiper.FeedUpdate) bool {
	if len(update.Records) != 1 || update.Records[0].Parts == 0 {
		return true
	}
	record := &update.Records[0]
	if record.Parts < 0 || record.Parts > maxParts || record.Part < 0 || record.Part >= record.Parts {
		return false
	}
	p := a.record(record.Position, record.Parts)
	if len(p.parts) != record.Parts || p.parts[record.Part] != nil {
		return false
	}
	p.parts[record.Part] = record.CompressedValue
	if p.missing--; p.missing > 0 {
		return false
	}
	a.records = slices.DeleteFunc(a.records, func(other *partialRecord) bool { return other == p })
	record.CompressedValue = slices.Concat(p.parts...)
	return true
}

// record returns the incomplete record at a position. It drops the oldest one if there
// are too many.
func (a *assembler) record(position crocushollow.Position, parts int) *partialRecord {
	for _, p := range a.records {
		if p.position == position {
			return p
		}
	}
	if len(a.records) == maxAssembled {
		a.records = a.records[1:]
	}
	p := &partialRecord{position: position, parts: make([][]byte, parts), missing: parts}
	a.records = append(a.records, p)
	return p
}
