package crocushollow

import (
	"errors"
	"time"
)

// Edit is one operator's change of one row.
type Edit struct {
	// ID is unique, so that an edit appended twice takes effect once.
	ID ID `json:"id"`
	// Ref names the row.
	Ref RowRef `json:"ref"`
	// BaseRevision is the revision that the edit was based on, 0 for a new row.
	BaseRevision uint64 `json:"base"`
	// Delete removes the row. Value is empty then.
	Delete bool `json:"delete,omitempty"`
	// Value is the whole new row.
	Value RowValue `json:"value"`
	// Author is the operator's name.
	Author string `json:"author"`
	// At is the wall clock of the instance that took the edit. It is shown in
	// the history and decides nothing.
	At time.Time `json:"at"`
}

// Validate checks the edit without the table.
func (e Edit) Validate() error {
	if e.ID.IsZero() {
		return errors.New("edit without an id")
	}
	if !e.Ref.Table.IsValid() {
		return &TableError{Table: e.Ref.Table}
	}
	row := e.Value.Row()
	if e.Delete {
		return nil
	}
	if row == nil {
		return errors.New("edit without a row")
	}
	if row.Ref() != e.Ref {
		return errors.New("edit of " + e.Ref.String() + " holds " + row.Ref().String())
	}
	return nil
}

// EditResult tells what became of an edit at a log offset. It is the same at
// every reader of the log.
type EditResult struct {
	Edit   Edit
	Offset uint64
	// Err is nil if the edit is in force.
	Err error
}
