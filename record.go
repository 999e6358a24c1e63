package crocushollow

import (
	"errors"
	"fmt"
)

// BatchVersion is the version of the log format that this code writes.
const BatchVersion = 1

// Batch is one append to the platform's log. It carries the records of one or
// more members, which take effect in order.
type Batch struct {
	// Version is the version of the format. A reader skips batches of a version
	// that it does not support.
	Version int      `json:"version"`
	Records []Record `json:"records"`
}

// Validate checks everything in the records that does not depend on other
// state.
func (b Batch) Validate() error {
	if b.Version < 1 || b.Version > BatchVersion {
		return fmt.Errorf("batch version %d is not supported", b.Version)
	}
	for _, record := range b.Records {
		if err := record.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Record contains the entries that one member publishes together. They take
// effect in the order of the fields below.
type Record struct {
	// ID deduplicates a record that is appended to the log twice.
	ID ID `json:"id"`
	// Author is the member that wrote the record.
	Author MemberID `json:"author"`

	Joins         []Member          `json:"joins,omitempty"`
	Departures    []MemberID        `json:"departures,omitempty"`
	Drains        []MemberID        `json:"drains,omitempty"`
	ShardReleases []ShardClaim      `json:"releases,omitempty"`
	ShardClaims   []ShardClaim      `json:"claims,omitempty"`
	Edits         []Edit            `json:"edits,omitempty"`
	Targets       []PlacementTarget `json:"targets,omitempty"`
	Residencies   []Residency       `json:"residencies,omitempty"`
	CallClaims    []CallClaim       `json:"call_claims,omitempty"`
	CallResults   []CallResult      `json:"call_results,omitempty"`
	SuspectEvents []SuspectEvent    `json:"suspicions,omitempty"`
	Snapshot      *SnapshotPart     `json:"snapshot,omitempty"`
}

// SnapshotPart is one part of the encoded state at a log offset. A reader that
// has all parts continues with the entry at that offset.
type SnapshotPart struct {
	// Offset is the log offset of the first entry that the snapshot does not
	// include.
	Offset uint64 `json:"offset"`
	// Index is the position of the part, from 0 to Parts-1.
	Index int `json:"part"`
	Parts int `json:"parts"`
	// Data is this part of the encoded state.
	Data []byte `json:"data"`
}

// Validate checks everything in the entries that does not depend on other
// state.
func (r Record) Validate() error {
	if r.ID.IsZero() {
		return errors.New("record has no id")
	}
	for _, edit := range r.Edits {
		if err := edit.Validate(); err != nil {
			return err
		}
	}
	for _, member := range r.Joins {
		if err := member.Validate(); err != nil {
			return err
		}
	}
	for _, claim := range r.ShardClaims {
		if claim.Shard >= ShardCount {
			return fmt.Errorf("claim of shard %d, which does not exist", claim.Shard)
		}
	}
	if s := r.Snapshot; s != nil && (s.Index < 0 || s.Index >= s.Parts) {
		return fmt.Errorf("snapshot part index %d is out of range for %d parts", s.Index, s.Parts)
	}
	return nil
}

// IsEmpty reports whether the record has no entries.
func (r Record) IsEmpty() bool {
	return len(r.Joins)+len(r.Departures)+len(r.Drains)+len(r.ShardReleases)+len(r.ShardClaims)+len(r.Edits)+
		len(r.Targets)+len(r.Residencies)+len(r.CallClaims)+len(r.CallResults)+len(r.SuspectEvents) == 0 && r.Snapshot == nil
}
