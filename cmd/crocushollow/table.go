package main

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/transport/console"
)

type tableCommand struct {
	Get     tableGet     `cmd:"" help:"Print rows."`
	Add     tableAdd     `cmd:"" help:"Add a row."`
	Set     tableSet     `cmd:"" help:"Change cells of a row."`
	Delete  tableDelete  `cmd:"" help:"Delete a row."`
	Import  tableImport  `cmd:"" help:"Insert and update rows from a CSV file."`
	Export  tableExport  `cmd:"" help:"Write a table as CSV."`
	History tableHistory `cmd:"" help:"Print the edits of a row."`
}

// errRejected reports that at least one change was rejected.
var errRejected = errors.New("some changes were rejected")

type tableGet struct {
	Table string `arg:"" help:"Name of the table."`
	ID    string `arg:"" optional:"" help:"Primary key of a row."`
}

// Run prints the rows.
func (c tableGet) Run(g globals) error {
	ctx, cancel := g.context()
	defer cancel()
	table, err := g.client().Table(ctx, crocushollow.TableName(c.Table))
	if err != nil {
		return err
	}
	if c.ID != "" {
		row, found := findRow(table, c.ID)
		if !found {
			return fmt.Errorf("no row %q in %s", c.ID, c.Table)
		}
		table.Rows = []console.Row{row}
	}
	return printTable(os.Stdout, g.Output, table)
}

func findRow(table console.Table, id string) (console.Row, bool) {
	for _, row := range table.Rows {
		if row.ID == id {
			return row, true
		}
	}
	return console.Row{}, false
}

func printTable(w io.Writer, format string, table console.Table) error {
	switch format {
	case "json":
		return printJSON(w, table)
	case "csv":
		return writeCSV(w, table)
	}
	tabWriter := newTabWriter(w)
	fmt.Fprintln(tabWriter, strings.Join(table.Columns, "\t")+"\trevision")
	for _, row := range table.Rows {
		fmt.Fprintln(tabWriter, strings.Join(row.Cells, "\t")+"\t"+strconv.FormatUint(row.Revision, 10))
	}
	return tabWriter.Flush()
}

func writeCSV(w io.Writer, table console.Table) error {
	writer := csv.NewWriter(w)
	if err := writer.Write(table.Columns); err != nil {
		return err
	}
	for _, row := range table.Rows {
		if err := writer.Write(row.Cells); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}

// waitFlag makes a command wait until all instances have applied its edit.
type waitFlag struct {
	Wait bool `help:"Wait until all instances have applied the edit."`
}

// publish sends changes and prints the results.
func (f waitFlag) publish(ctx context.Context, client console.Client, changes []console.Change) error {
	results, err := client.Edit(ctx, changes)
	if err != nil {
		return err
	}
	var lastOffset uint64
	rejected := 0
	for _, result := range results {
		lastOffset = max(lastOffset, result.Offset)
		if result.Error != "" {
			rejected++
			printRejection(result)
		}
	}
	fmt.Fprintf(os.Stderr, "%d accepted, %d rejected\n", len(results)-rejected, rejected)
	if rejected < len(results) && f.Wait {
		if err := waitApplied(ctx, client, lastOffset); err != nil {
			return err
		}
	}
	if rejected > 0 {
		return errRejected
	}
	return nil
}

func printRejection(result console.ChangeResult) {
	fmt.Fprintf(os.Stderr, "%s/%s: %s\n", result.Table, result.ID, result.Error)
	if result.Current != nil {
		fmt.Fprintf(os.Stderr, "  current: %s (revision %d by %s)\n",
			strings.Join(result.Current.Cells, ", "), result.Current.Revision, result.Current.Author)
	}
}

// parseCells parses arguments of the form column=value.
func parseCells(arguments []string) ([]crocushollow.Cell, error) {
	cells := make([]crocushollow.Cell, 0, len(arguments))
	for _, argument := range arguments {
		column, text, found := strings.Cut(argument, "=")
		if !found {
			return nil, fmt.Errorf("%q does not have the form column=value", argument)
		}
		cells = append(cells, crocushollow.Cell{Column: column, Text: text})
	}
	return cells, nil
}

type tableAdd struct {
	waitFlag

	Table string   `arg:"" help:"Name of the table."`
	ID    string   `arg:"" help:"Primary key of the new row."`
	Cells []string `arg:"" optional:"" help:"Cells as column=value."`
}

// Run adds a row.
func (c tableAdd) Run(g globals) error {
	ctx, cancel := g.context()
	defer cancel()
	cells, err := parseCells(c.Cells)
	if err != nil {
		return err
	}
	change := console.Change{Table: crocushollow.TableName(c.Table), ID: c.ID, Cells: cells}
	return c.publish(ctx, g.client(), []console.Change{change})
}

// baseFlag is the revision that an edit is based on.
type baseFlag struct {
	Base uint64 `help:"Revision that the edit is based on. Defaults to the current one."`
}

// baseRevision returns the revision to base an edit of a row on.
func (f baseFlag) baseRevision(ctx context.Context, client console.Client, table, id string) (uint64, error) {
	if f.Base != 0 {
		return f.Base, nil
	}
	rows, err := client.Table(ctx, crocushollow.TableName(table))
	if err != nil {
		return 0, err
	}
	row, found := findRow(rows, id)
	if !found {
		return 0, fmt.Errorf("no row %q in %s", id, table)
	}
	return row.Revision, nil
}

type tableSet struct {
	waitFlag
	baseFlag

	Table string   `arg:"" help:"Name of the table."`
	ID    string   `arg:"" help:"Primary key of the row."`
	Cells []string `arg:"" help:"Cells as column=value."`
}

// Run changes cells.
func (c tableSet) Run(g globals) error {
	ctx, cancel := g.context()
	defer cancel()
	cells, err := parseCells(c.Cells)
	if err != nil {
		return err
	}
	base, err := c.baseRevision(ctx, g.client(), c.Table, c.ID)
	if err != nil {
		return err
	}
	change := console.Change{Table: crocushollow.TableName(c.Table), ID: c.ID, BaseRevision: base, Cells: cells}
	return c.publish(ctx, g.client(), []console.Change{change})
}

type tableDelete struct {
	waitFlag
	baseFlag

	Table string `arg:"" help:"Name of the table."`
	ID    string `arg:"" help:"Primary key of the row."`
}

// Run deletes a row.
func (c tableDelete) Run(g globals) error {
	ctx, cancel := g.context()
	defer cancel()
	base, err := c.baseRevision(ctx, g.client(), c.Table, c.ID)
	if err != nil {
		return err
	}
	change := console.Change{Table: crocushollow.TableName(c.Table), ID: c.ID, BaseRevision: base, Delete: true}
	return c.publish(ctx, g.client(), []console.Change{change})
}

type tableImport struct {
	waitFlag

	Table string `arg:"" help:"Name of the table."`
	File  string `arg:"" help:"CSV file with a header line, or - for standard input."`
}

// Run inserts new rows and updates rows that differ.
func (c tableImport) Run(g globals) error {
	ctx, cancel := g.context()
	defer cancel()
	input := os.Stdin
	if c.File != "-" {
		file, err := os.Open(c.File)
		if err != nil {
			return err
		}
		defer file.Close()
		input = file
	}
	records, err := csv.NewReader(input).ReadAll()
	if err != nil {
		return err
	}
	current, err := g.client().Table(ctx, crocushollow.TableName(c.Table))
	if err != nil {
		return err
	}
	changes, err := importChanges(crocushollow.TableName(c.Table), records, current)
	if err != nil {
		return err
	}
	return c.publish(ctx, g.client(), changes)
}

// importChanges returns the changes that make the table match the CSV records. Rows
// that are not in the records remain unchanged.
func importChanges(table crocushollow.TableName, records [][]string, current console.Table) ([]console.Change, error) {
	if len(records) == 0 {
		return nil, errors.New("the file has no header line")
	}
	rows := make(map[string]console.Row, len(current.Rows))
	for _, row := range current.Rows {
		rows[row.ID] = row
	}
	var changes []console.Change
	for _, record := range records[1:] {
		change := console.Change{Table: table}
		for i, column := range records[0] {
			if column == "id" {
				change.ID = record[i]
				continue
			}
			change.Cells = append(change.Cells, crocushollow.Cell{Column: column, Text: record[i]})
		}
		row, exists := rows[change.ID]
		change.BaseRevision = row.Revision
		if !exists || cellsDiffer(current.Columns, row, change.Cells) {
			changes = append(changes, change)
		}
	}
	return changes, nil
}

func cellsDiffer(columns []string, row console.Row, cells []crocushollow.Cell) bool {
	texts := make(map[string]string, len(columns))
	for i, column := range columns {
		texts[column] = row.Cells[i]
	}
	for _, cell := range cells {
		if texts[cell.Column] != cell.Text {
			return true
		}
	}
	return false
}

type tableExport struct {
	Table string `arg:"" help:"Name of the table."`
}

// Run writes a table as CSV.
func (c tableExport) Run(g globals) error {
	ctx, cancel := g.context()
	defer cancel()
	table, err := g.client().Table(ctx, crocushollow.TableName(c.Table))
	if err != nil {
		return err
	}
	return writeCSV(os.Stdout, table)
}

type tableHistory struct {
	Table string `arg:"" help:"Name of the table."`
	ID    string `arg:"" help:"Primary key of the row."`
}

// Run prints the edits of a row.
func (c tableHistory) Run(g globals) error {
	ctx, cancel := g.context()
	defer cancel()
	entries, err := g.client().History(ctx, crocushollow.RowRef{Table: crocushollow.TableName(c.Table), ID: c.ID})
	if err != nil {
		return err
	}
	if g.Output == "json" {
		return printJSON(os.Stdout, entries)
	}
	tabWriter := newTabWriter(os.Stdout)
	fmt.Fprintln(tabWriter, "offset\ttime\tauthor\tedit\tresult")
	for _, entry := range entries {
		editText, result := strings.Join(entry.Cells, " | "), "accepted"
		if entry.Delete {
			editText = "deleted"
		}
		if entry.Error != "" {
			result = entry.Error
		}
		fmt.Fprintf(tabWriter, "%d\t%s\t%s\t%s\t%s\n", entry.Offset, entry.At.Format(time.RFC3339), entry.Author, editText, result)
	}
	return tabWriter.Flush()
}
