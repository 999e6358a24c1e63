// Package console is the HTTP interface to operators and the client of it.
package console

import (
	"time"

	"github.com/crocushollow/crocushollow"
)

// Row is a row as operators see it.
type Row struct {
	Table    crocushollow.TableName `json:"table"`
	ID       string                 `json:"id"`
	Revision uint64                 `json:"revision"`
	Author   string                 `json:"author"`
	At       time.Time              `json:"at"`
	// Cells holds the text of each column in display order.
	Cells []string `json:"cells"`
}

// Table is all rows of a table.
type Table struct {
	Columns []string `json:"columns"`
	Rows    []Row    `json:"rows"`
	// Offset is the next log offset to be applied to the table.
	Offset uint64 `json:"offset"`
}

// Change is an operator's edit of one row.
type Change struct {
	Table crocushollow.TableName `json:"table"`
	ID    string                 `json:"id"`
	// BaseRevision is the revision the edit is based on, 0 for a new row.
	BaseRevision uint64 `json:"base"`
	Delete       bool   `json:"delete,omitempty"`
	// Cells holds the changed cells.
	Cells []crocushollow.Cell `json:"cells,omitempty"`
}

// NewInsert returns the change that adds a row.
func NewInsert(row crocushollow.Row) Change {
	ref := row.Ref()
	change := Change{Table: ref.Table, ID: ref.ID}
	texts := crocushollow.Cells(row)
	for i, column := range crocushollow.Columns(ref.Table) {
		change.Cells = append(change.Cells, crocushollow.Cell{Column: column, Text: texts[i]})
	}
	return change
}

// EditRequest asks for changes that are published together. Each is accepted or
// refused by itself.
type EditRequest struct {
	Changes []Change `json:"changes"`
}

// ChangeResult tells what became of a change.
type ChangeResult struct {
	Table crocushollow.TableName `json:"table"`
	ID    string                 `json:"id"`
	// Offset is the log offset of an accepted change.
	Offset uint64 `json:"offset"`
	// Error says why the change was refused, empty if it was accepted.
	Error string `json:"error,omitempty"`
	// Column is the column that the error is about, if it is about one.
	Column string `json:"column,omitempty"`
	// Current is the row that won, if the change was based on an older one.
	Current *Row `json:"current,omitempty"`
}

// EditResponse answers an EditRequest.
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
	// Error says why the edit was refused, empty if it was accepted.
	Error string `json:"error,omitempty"`
}

// AppliedStatus tells how many live instances have applied a log offset.
type AppliedStatus struct {
	Offset    uint64 `json:"offset"`
	Applied   int    `json:"applied"`
	Instances int    `json:"instances"`
	// Missing lists the instances that have not.
	Missing []string `json:"missing,omitempty"`
}

// Status is what an instance knows of the fleet.
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

// InstanceStatus is a member of the fleet.
type InstanceStatus struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"availability_zone"`
	CallerAddress    string `json:"caller_address"`
	Unavailable      bool   `json:"unavailable"`
	// Shards is the number of shards that the instance holds.
	Shards int `json:"shards"`
}

// UpstreamStatus is an upstream with what is resident on it.
type UpstreamStatus struct {
	ID               string   `json:"id"`
	AvailabilityZone string   `json:"availability_zone"`
	AcceptsNewWork   bool     `json:"takes_new_work"`
	Cold             bool     `json:"cold"`
	InFlight         int64    `json:"in_flight"`
	Weights          []string `json:"weights"`
}

// ShareStatus is this instance's part of a limit.
type ShareStatus struct {
	Kind  string `json:"kind"`
	ID    string `json:"id"`
	Units int64  `json:"units"`
}

// ErrorResponse is the body of an error answer.
type ErrorResponse struct {
	Error string `json:"error"`
}
