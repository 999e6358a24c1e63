package crocushollow

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// cellTag is the struct tag that names the column of a field.
const cellTag = "cell"

// listSeparator separates the values of a list in a cell.
const listSeparator = " "

// newRow returns a pointer to a row with the default values of the table, or nil
// if the table does not exist.
func newRow(table TableName) any {
	switch table {
	case WorkspaceTable:
		return &Workspace{Weight: 1}
	case APIKeyTable:
		return &APIKey{}
	case ModelTable:
		return &Model{Version: "1", MinReplicas: 1, DefaultMaxTokens: 256}
	case AdapterTable:
		return &Adapter{Version: "1"}
	case AvailabilityZoneTable:
		return &AvailabilityZone{InService: true}
	case UpstreamTable:
		return &Upstream{Kind: EngineUpstream, MaxInFlight: 32, ColdMaxInFlight: 2}
	case RouteTable:
		return &Route{Timeout: 30 * time.Second}
	case LimitTable:
		return &Limit{Rate: 1, Burst: 1, MaxInFlight: 1}
	}
	return nil
}

// Columns returns the names of a table's columns in display order.
func Columns(table TableName) []string {
	row := newRow(table)
	if row == nil {
		return nil
	}
	fields := reflect.TypeOf(row).Elem()
	columns := make([]string, 0, fields.NumField())
	for i := range fields.NumField() {
		columns = append(columns, fields.Field(i).Tag.Get(cellTag))
	}
	return columns
}

// Cells returns the text of each cell of a row, in the order of Columns.
func Cells(row Row) []string {
	value := reflect.ValueOf(row)
	cells := make([]string, 0, value.NumField())
	for i := range value.NumField() {
		cells = append(cells, formatCell(value.Field(i).Interface()))
	}
	return cells
}

// Cell is the text of one column of a row.
type Cell struct {
	Column string `json:"column"`
	Text   string `json:"text"`
}

// NewRow returns a row that has the given cells and otherwise the default values
// of the table.
func NewRow(table TableName, cells []Cell) (Row, error) {
	row := newRow(table)
	if row == nil {
		return nil, &TableError{Table: table}
	}
	return setCells(row, cells)
}

// WithCells returns a copy of the row with the given cells replaced.
func WithCells(row Row, cells []Cell) (Row, error) {
	copied := reflect.New(reflect.TypeOf(row))
	copied.Elem().Set(reflect.ValueOf(row))
	return setCells(copied.Interface(), cells)
}

func setCells(row any, cells []Cell) (Row, error) {
	value := reflect.ValueOf(row).Elem()
	for _, cell := range cells {
		field, found := fieldOf(value, cell.Column)
		if !found {
			return nil, &CellError{Column: cell.Column, Reason: "no such column"}
		}
		if err := parseCell(field, cell.Text); err != nil {
			return nil, &CellError{Column: cell.Column, Reason: err.Error()}
		}
	}
	filled, isRow := value.Interface().(Row)
	if !isRow {
		return nil, fmt.Errorf("type %s does not implement Row", value.Type())
	}
	return filled, nil
}

func fieldOf(value reflect.Value, column string) (reflect.Value, bool) {
	for i := range value.NumField() {
		if value.Type().Field(i).Tag.Get(cellTag) == column {
			return value.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func formatCell(value any) string {
	switch v := value.(type) {
	case encoding.TextMarshaler:
		text, err := v.MarshalText()
		if err != nil {
			return ""
		}
		return string(text)
	case []string:
		return strings.Join(v, listSeparator)
	default:
		return fmt.Sprint(v)
	}
}

func parseCell(field reflect.Value, text string) error {
	text = strings.TrimSpace(text)
	switch target := field.Addr().Interface().(type) {
	case encoding.TextUnmarshaler:
		return target.UnmarshalText([]byte(text))
	case *time.Duration:
		duration, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 30s", text)
		}
		*target = duration
	case *int64:
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		*target = number
	case *float64:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", text)
		}
		*target = number
	case *bool:
		parsed, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", text)
		}
		*target = parsed
	case *[]string:
		*target = strings.Fields(text)
	default:
		field.SetString(text)
	}
	return nil
}
