package applier

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/encoder"
)

// SnapshotPartBytes is the maximum size of a snapshot part.
const SnapshotPartBytes = 512 << 10

// snapshotData is the encoded form of a State.
type snapshotData struct {
	Offset      uint64                         `json:"offset"`
	Rows        []snapshotRow                  `json:"rows"`
	Members     []crocushollow.Member          `json:"members"`
	Departed    []snapshotDeparture            `json:"departed"`
	Ownerships  []crocushollow.ShardOwnership  `json:"holdings"`
	Targets     []crocushollow.PlacementTarget `json:"targets"`
	Residencies []crocushollow.Residency       `json:"residencies"`
	Calls       []snapshotCall                 `json:"calls"`
	Records     []crocushollow.ID              `json:"records"`
	Suspects    []crocushollow.SuspectRequest  `json:"suspects"`
	PartEvents  []snapshotPartEvent            `json:"part_events,omitempty"`
}

type snapshotRow struct {
	Edit     crocushollow.Edit `json:"edit"`
	Revision uint64            `json:"revision"`
}

type snapshotDeparture struct {
	MemberKey string `json:"life"`
	Clean     bool   `json:"clean,omitempty"`
}

type snapshotCall struct {
	Claim    crocushollow.CallClaim       `json:"claim"`
	Ended    bool                         `json:"ended,omitempty"`
	Response *crocushollow.StoredResponse `json:"answer,omitempty"`
}

type snapshotPartEvent struct {
	Offset uint64                    `json:"offset"`
	Event  crocushollow.SuspectEvent `json:"event"`
}

// Encode returns the encoded state.
func (s *State) Encode() ([]byte, error) {
	data := snapshotData{
		Offset:     s.nextOffset,
		Members:    s.Members(),
		Ownerships: slices.Collect(maps.Values(s.ownerships)),
		Targets:    slices.Collect(maps.Values(s.targets)),
	}
	for _, name := range crocushollow.TableNames() {
		for _, entry := range s.table.Entries(name) {
			data.Rows = append(data.Rows, snapshotRow{Edit: editOf(entry), Revision: entry.Revision})
		}
	}
	for itr := s.departedOrder.Iterator(); !itr.Done(); {
		_, key := itr.Next()
		clean, _ := s.departed.Get(key)
		data.Departed = append(data.Departed, snapshotDeparture{MemberKey: key, Clean: clean})
	}
	for _, list := range s.residencies {
		data.Residencies = append(data.Residencies, list...)
	}
	for itr := s.callOrder.Iterator(); !itr.Done(); {
		_, key := itr.Next()
		if call, found := s.calls.Get(key); found {
			data.Calls = append(data.Calls, snapshotCall(call))
		}
	}
	for itr := s.suspectOrder.Iterator(); !itr.Done(); {
		_, key := itr.Next()
		if suspect, found := s.suspects.Get(key); found {
			data.Suspects = append(data.Suspects, suspect)
		}
	}
	for itr := s.partEvents.Iterator(); !itr.Done(); {
		_, known := itr.Next()
		data.PartEvents = append(data.PartEvents, snapshotPartEvent{Offset: known.offset, Event: known.event})
	}
	for itr := s.recordOrder.Iterator(); !itr.Done(); {
		_, id := itr.Next()
		data.Records = append(data.Records, id)
	}
	return encoder.Encode(data)
}

func editOf(entry crocushollow.Entry) crocushollow.Edit {
	return crocushollow.Edit{
		ID:     entry.EditID,
		Ref:    entry.Row.Ref(),
		Value:  crocushollow.NewRowValue(entry.Row),
		Author: entry.Author,
		At:     entry.At,
	}
}

// SnapshotParts returns the encoded state as snapshot parts for the log.
func (s *State) SnapshotParts() ([]crocushollow.SnapshotPart, error) {
	data, err := s.Encode()
	if err != nil {
		return nil, err
	}
	var parts []crocushollow.SnapshotPart
	for chunk := range slices.Chunk(data, SnapshotPartBytes) {
		parts = append(parts, crocushollow.SnapshotPart{Offset: s.nextOffset, Index: len(parts), Data: chunk})
	}
	for i := range parts {
		parts[i].Parts = len(parts)
	}
	return parts, nil
}

// DecodeState decodes the output of Encode.
func DecodeState(encoded []byte) (*State, error) {
	var data snapshotData
	if err := encoder.Decode(encoded, &data); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s := New()
	s.nextOffset = data.Offset
	s.members = make(map[string]crocushollow.Member, len(data.Members))
	for _, member := range data.Members {
		s.members[member.ID] = member
	}
	s.sortMembers()
	s.ownerships = make(map[crocushollow.Shard]crocushollow.ShardOwnership, len(data.Ownerships))
	for _, ownership := range data.Ownerships {
		s.ownerships[ownership.Shard] = ownership
	}
	s.targets = make(map[string]crocushollow.PlacementTarget, len(data.Targets))
	for _, target := range data.Targets {
		s.targets[target.Upstream] = target
	}
	for _, departure := range data.Departed {
		s.departed = s.departed.Set(departure.MemberKey, departure.Clean)
		s.departedOrder = s.departedOrder.Append(departure.MemberKey)
	}
	s.residencies = make(map[string][]crocushollow.Residency)
	s.residentByName = make(map[string][]crocushollow.Residency)
	for _, residency := range data.Residencies {
		s.setResidency(residency)
	}
	for _, call := range data.Calls {
		key := callKey(call.Claim.Key)
		s.calls = s.calls.Set(key, crocushollow.Call(call))
		s.callOrder = s.callOrder.Append(key)
	}
	for _, suspect := range data.Suspects {
		if len(suspect.Crashes) > 0 {
			s.setSuspect(suspect)
			s.suspectOrder = s.suspectOrder.Append(string(suspect.Crashes[0].Fingerprint[:]))
		}
	}
	for _, known := range data.PartEvents {
		s.partEvents = s.partEvents.Append(partEvent{offset: known.Offset, event: known.Event})
	}
	for _, id := range data.Records {
		s.addRecordID(id)
	}
	return s, s.restoreRows(data.Rows)
}

func (s *State) restoreRows(rows []snapshotRow) error {
	entries := make([]crocushollow.Entry, 0, len(rows))
	for _, row := range rows {
		if err := row.Edit.Validate(); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
		entries = append(entries, crocushollow.Entry{
			Row:      row.Edit.Value.Row(),
			Revision: row.Revision,
			EditID:   row.Edit.ID,
			Author:   row.Edit.Author,
			At:       row.Edit.At,
		})
	}
	s.table = s.table.WithEntries(entries)
	return nil
}

// SnapshotAssembler joins the parts of a snapshot that it reads from the log.
type SnapshotAssembler struct {
	offset uint64
	parts  map[int][]byte
}

// ErrSnapshotIncomplete reports that parts of the snapshot are still missing.
var ErrSnapshotIncomplete = errors.New("snapshot incomplete")

// Add adds the next part in log order. It returns the state once the last part
// has been added, and ErrSnapshotIncomplete before that. Parts of another
// snapshot replace the parts added so far.
func (a *SnapshotAssembler) Add(part crocushollow.SnapshotPart) (*State, error) {
	if part.Offset != a.offset || a.parts == nil {
		a.offset = part.Offset
		a.parts = make(map[int][]byte, part.Parts)
	}
	a.parts[part.Index] = part.Data
	if len(a.parts) < part.Parts {
		return nil, ErrSnapshotIncomplete
	}
	var data []byte
	for i := range part.Parts {
		data = append(data, a.parts[i]...)
	}
	a.parts = nil
	return DecodeState(data)
}
