package crocushollow

import "fmt"

// Outcome reports to a caller whether its failed request ran.
type Outcome string

// The outcomes of a request that received no response.
const (
	// OutcomeNotRun means that no upstream has started or will start the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that an upstream may have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// TableError reports a table that does not exist.
type TableError struct {
	Table TableName
}

// Error implements error.
func (e *TableError) Error() string {
	return fmt.Sprintf("table %q does not exist", string(e.Table))
}

// CellError reports an invalid value of a cell.
type CellError struct {
	Column string
	Reason string
}

// Error implements error.
func (e *CellError) Error() string {
	return e.Column + ": " + e.Reason
}

// ReferenceError reports a row that refers to a missing row, or a row that cannot
// be deleted because other rows refer to it.
type ReferenceError struct {
	Row     RowRef
	Missing RowRef
	// Referrers is the number of rows that refer to Row when it is deleted.
	Referrers int
}

// Error implements error.
func (e *ReferenceError) Error() string {
	if e.Referrers > 0 {
		return fmt.Sprintf("%s is referred to by %d rows", e.Row, e.Referrers)
	}
	return fmt.Sprintf("%s refers to %s, which does not exist", e.Row, e.Missing)
}

// DuplicateError reports a value that must be unique but is already used by
// another row.
type DuplicateError struct {
	Row    RowRef
	Column string
	Other  RowRef
}

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("%s: %s is already used by %s", e.Row, e.Column, e.Other)
}

// ConflictError reports an edit based on a revision that is no longer current.
type ConflictError struct {
	Row RowRef
	// BaseRevision is the revision that the edit was based on.
	BaseRevision uint64
	// Current is the current entry. Its Revision is 0 if the row does not exist.
	Current Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current.Revision == 0 {
		return fmt.Sprintf("%s does not exist, the edit was based on revision %d", e.Row, e.BaseRevision)
	}
	return fmt.Sprintf("%s is at revision %d written by %s, the edit was based on revision %d",
		e.Row, e.Current.Revision, e.Current.Author, e.BaseRevision)
}
