package crocushollow

import (
	"fmt"
	"regexp"
)

// TableName names one of the tables that operators edit.
type TableName string

// The tables that operators edit.
const (
	WorkspaceTable        TableName = "workspaces"
	APIKeyTable           TableName = "keys"
	ModelTable            TableName = "models"
	AdapterTable          TableName = "adapters"
	AvailabilityZoneTable TableName = "availability_zones"
	UpstreamTable         TableName = "upstreams"
	RouteTable            TableName = "routes"
	LimitTable            TableName = "limits"
)

// TableNames lists every table, each after the tables that it refers to.
func TableNames() []TableName {
	return []TableName{
		LimitTable, WorkspaceTable, APIKeyTable, ModelTable, AdapterTable,
		AvailabilityZoneTable, UpstreamTable, RouteTable,
	}
}

// IsValid reports whether a table of that name exists.
func (n TableName) IsValid() bool {
	return newRow(n) != nil
}

// RowRef identifies a row by its table and primary key.
type RowRef struct {
	Table TableName `json:"table"`
	ID    string    `json:"id"`
}

// String returns the reference as table/id.
func (r RowRef) String() string {
	return string(r.Table) + "/" + r.ID
}

// Row is one immutable row of a table.
type Row interface {
	// Ref returns the reference that identifies the row.
	Ref() RowRef
	// References returns the rows that must exist for this row to be valid.
	References() []RowRef
	// Validate checks everything that does not depend on other rows.
	Validate() error
}

// maxIDLength is the maximum length of a primary key in bytes.
const maxIDLength = 128

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:@-]*$`)

func validateID(column, id string) error {
	if len(id) > maxIDLength {
		return &CellError{Column: column, Reason: fmt.Sprintf("must not be longer than %d bytes", maxIDLength)}
	}
	if !idPattern.MatchString(id) {
		return &CellError{Column: column, Reason: "must start with a letter or digit and contain only letters, digits and . _ : @ -"}
	}
	return nil
}

func requirePositive(column string, value int64) error {
	if value <= 0 {
		return &CellError{Column: column, Reason: "must be greater than 0"}
	}
	return nil
}

func requireNotNegative(column string, value int64) error {
	if value < 0 {
		return &CellError{Column: column, Reason: "must not be negative"}
	}
	return nil
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// RowValue is the wire encoding of a row of any table.
type RowValue struct {
	// Exactly one field is set.

	Workspace        *Workspace        `json:"workspace,omitempty"`
	Key              *APIKey           `json:"key,omitempty"`
	Model            *Model            `json:"model,omitempty"`
	Adapter          *Adapter          `json:"adapter,omitempty"`
	AvailabilityZone *AvailabilityZone `json:"availability_zone,omitempty"`
	Upstream         *Upstream         `json:"upstream,omitempty"`
	Route            *Route            `json:"route,omitempty"`
	Limit            *Limit            `json:"limit,omitempty"`
}

// NewRowValue wraps a row for encoding.
func NewRowValue(row Row) RowValue {
	switch r := row.(type) {
	case Workspace:
		return RowValue{Workspace: &r}
	case APIKey:
		return RowValue{Key: &r}
	case Model:
		return RowValue{Model: &r}
	case Adapter:
		return RowValue{Adapter: &r}
	case AvailabilityZone:
		return RowValue{AvailabilityZone: &r}
	case Upstream:
		return RowValue{Upstream: &r}
	case Route:
		return RowValue{Route: &r}
	case Limit:
		return RowValue{Limit: &r}
	}
	return RowValue{}
}

// Row returns the wrapped row, or nil if no field is set.
func (v RowValue) Row() Row {
	switch {
	case v.Workspace != nil:
		return *v.Workspace
	case v.Key != nil:
		return *v.Key
	case v.Model != nil:
		return *v.Model
	case v.Adapter != nil:
		return *v.Adapter
	case v.AvailabilityZone != nil:
		return *v.AvailabilityZone
	case v.Upstream != nil:
		return *v.Upstream
	case v.Route != nil:
		return *v.Route
	case v.Limit != nil:
		return *v.Limit
	}
	return nil
}
