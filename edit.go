package crocushollow

import (
	"errors"
	"time"
)

// Edit is an operator's change to one row.
type Edit struct {
	// ID is unique. It deduplicates an edit that is appended to the log twice.
	ID ID `json:"id"`
	// Ref identifies the row.
	Ref RowRef `json:"ref"`
	// BaseRevision is the revision that the edit was based on. It is 0 for a
	// new row.
	BaseRevision uint64 `json:"base"`
	// Delete removes the row. Value is empty then.
	Delete bool `json:"delete,omitempty"`
	// Value is the complete new row.
	Value RowValue `json:"value"`
	// Author is the operator's name.
	Author string `json:"author"`
	// At is the wall-clock time of the instance that accepted the edit. It is
	// only displayed in the history; no decision depends on it.
	At time.Time `json:"at"`
}

// Validate checks everything that does not depend on the table.
func (e Edit) Validate() error {
	if e.ID.IsZero() {
		return errors.New("edit has no id")
	}
	if !e.Ref.Table.IsValid() {
		return &TableError{Table: e.Ref.Table}
	}
	row := e.Value.Row()
	if e.Delete {
		return nil
	}
	if row == nil {
		return errors.New("edit has no row")
	}
	if row.Ref() != e.Ref {
		return errors.New("edit of " + e.Ref.String() + " contains row " + row.Ref().String())
	}
	return nil
}

// EditResult is the result of applying an edit at a log offset. Every reader of
// the log computes the same result.
type EditResult struct {
	Edit   Edit
	Offset uint64
	// Err is nil if the edit took effect.
	Err error
}
