// Package console implements the HTTP API for operators and its client.
package console

import (
	"time"

	"github.com/crocushollow/crocushollow"
)

// Row is a row of a table with its revision and the author of its last edit.
type Row struct {
	Table    crocushollow.TableName `json:"table"`
	ID       string                 `json:"id"`
	Revision uint64                 `json:"revision"`
	Author   string                 `json:"author"`
	At       time.Time              `json:"at"`
	// Cells holds the text of each column, in the order of Table.Columns.
	Cells []string `json:"cells"`
}

// Table holds the columns and all rows of a table.
type Table struct {
	Columns []string `json:"columns"`
	Rows    []Row    `json:"rows"`
	// Offset is the log offset of the next record to apply to the table.
	Offset uint64 `json:"offset"`
}

// Change is an operator's edit of one row.
type Change struct {
	Table crocushollow.TableName `json:"table"`
	ID    string                 `json:"id"`
	// BaseRevision is the row revision that the edit is based on. It is 0 for a
	// new row.
	BaseRevision uint64 `json:"base"`
	Delete       bool   `json:"delete,omitempty"`
	// Cells holds the new text of the cells to change.
	Cells []crocushollow.Cell `json:"cells,omitempty"`
}

// NewInsert returns a change that inserts a row.
func NewInsert(row crocushollow.Row) Change {
	ref := row.Ref()
	change := Change{Table: ref.Table, ID: ref.ID}
	texts := crocushollow.Cells(row)
	for i, column := range crocushollow.Columns(ref.Table) {
		change.Cells = append(change.Cells, crocushollow.Cell{Column: column, Text: texts[i]})
	}
	return change
}

// EditRequest requests changes that are published together. Each change is
// accepted or rejected independently.
type EditRequest struct {
	Changes []Change `json:"changes"`
}

// ChangeResult is the result of one change.
type ChangeResult struct {
	Table crocushollow.TableName `json:"table"`
	ID    string                 `json:"id"`
	// Offset is the log offset of an accepted change.
	Offset uint64 `json:"offset"`
	// Error is the reason why the change was rejected. It is empty if the change
	// was accepted.
	Error string `json:"error,omitempty"`
	// Column is the column that caused the error, if the error concerns one.
	Column string `json:"column,omitempty"`
	// Current is the current row, if the change conflicts with a later edit.
	Current *Row `json:"current,omitempty"`
}

// EditResponse holds the result of each change of an EditRequest.
type EditResponse struct {
	Results []ChangeResult `json:"results"`
}

// HistoryEntry is one edit of a row.
type HistoryEntry struct {
	Offset uint64    `json:"offset"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	Delete bool      `json:"delete,omitempty"`
	Cells  []string  `json:"cells,omitempty"`
	// Error is the reason why the edit was rejected. It is empty if the edit was
	// accepted.
	Error string `json:"error,omitempty"`
}

// AppliedStatus reports how many live instances have applied the record at a log
// offset.
type AppliedStatus struct {
	Offset    uint64 `json:"offset"`
	Applied   int    `json:"applied"`
	Instances int    `json:"instances"`
	// Missing lists the instances that have not applied it or did not respond.
	Missing []string `json:"missing,omitempty"`
}

// Status is the state of the fleet as one instance sees it.
type Status struct {
	Instance   string           `json:"instance"`
	Version    string           `json:"version"`
	Offset     uint64           `json:"offset"`
	LogAgeMS   int64            `json:"log_age_ms"`
	LeaseValid bool             `json:"assured"`
	Draining   bool             `json:"draining"`
	Instances  []InstanceStatus `json:"instances"`
	Upstreams  []UpstreamStatus `json:"upstreams"`
	Shares     []ShareStatus    `json:"shares"`
}

// InstanceStatus is the state of an instance of the fleet.
type InstanceStatus struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"availability_zone"`
	CallerAddress    string `json:"caller_address"`
	Unavailable      bool   `json:"unavailable"`
	// Shards is the number of shards that the instance owns.
	Shards int `json:"shards"`
}

// UpstreamStatus is the state of an upstream.
type UpstreamStatus struct {
	ID               string   `json:"id"`
	AvailabilityZone string   `json:"availability_zone"`
	AcceptsNewWork   bool     `json:"takes_new_work"`
	Cold             bool     `json:"cold"`
	InFlight         int64    `json:"in_flight"`
	Weights          []string `json:"weights"`
}

// ShareStatus is this instance's share of a limit.
type ShareStatus struct {
	Kind  string `json:"kind"`
	ID    string `json:"id"`
	Units int64  `json:"units"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}
