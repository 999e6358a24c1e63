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
	Get     tableGet     `cmd:"" help:"Show rows."`
	Add     tableAdd     `cmd:"" help:"Add a row."`
	Set     tableSet     `cmd:"" help:"Change cells of a row."`
	Delete  tableDelete  `cmd:"" help:"Delete a row."`
	Import  tableImport  `cmd:"" help:"Add and change rows from a CSV file."`
	Export  tableExport  `cmd:"" help:"Write a table as CSV."`
	History tableHistory `cmd:"" help:"Show the edits of a row."`
}

// errRefused reports that at least one change was refused.
var errRefused = errors.New("not every change was accepted")

type tableGet struct {
	Table string `arg:"" help:"Name of the table."`
	ID    string `arg:"" optional:"" help:"Primary key of a row."`
}

// Run shows the rows.
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

func printTable(w io.Writer, form string, table console.Table) error {
	switch form {
	case "json":
		return printJSON(w, table)
	case "csv":
		return writeCSV(w, table)
	}
	aligned := newAligned(w)
	fmt.Fprintln(aligned, strings.Join(table.Columns, "\t")+"\trevision")
	for _, row := range table.Rows {
		fmt.Fprintln(aligned, strings.Join(row.Cells, "\t")+"\t"+strconv.FormatUint(row.Revision, 10))
	}
	return aligned.Flush()
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

// waitFlag lets a command wait for its edit to be in force.
type waitFlag struct {
	Wait bool `help:"Wait until the edit is in force on every instance."`
}

// publish sends changes and reports what became of them.
func (f waitFlag) publish(ctx context.Context, client console.Client, changes []console.Change) error {
	results, err := client.Edit(ctx, changes)
	if err != nil {
		return err
	}
	var last uint64
	refused := 0
	for _, result := range results {
		last = max(last, result.Offset)
		if result.Error != "" {
			refused++
			printRefusal(result)
		}
	}
	fmt.Fprintf(os.Stderr, "%d accepted, %d refused\n", len(results)-refused, refused)
	if refused < len(results) && f.Wait {
		if err := waitEverywhere(ctx, client, last); err != nil {
			return err
		}
	}
	if refused > 0 {
		return errRefused
	}
	return nil
}

func printRefusal(result console.ChangeResult) {
	fmt.Fprintf(os.Stderr, "%s/%s: %s\n", result.Table, result.ID, result.Error)
	if result.Current != nil {
		fmt.Fprintf(os.Stderr, "  current: %s (revision %d by %s)\n",
			strings.Join(result.Current.Cells, ", "), result.Current.Revision, result.Current.Author)
	}
}

// parseCells reads arguments of the form column=text.
func parseCells(arguments []string) ([]crocushollow.Cell, error) {
	cells := make([]crocushollow.Cell, 0, len(arguments))
	for _, argument := range arguments {
		column, text, found := strings.Cut(argument, "=")
		if !found {
			return nil, fmt.Errorf("%q is not of the form column=value", argument)
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

// baseFlag names the revision that an edit is based on.
type baseFlag struct {
	Base uint64 `help:"Revision that the edit is based on; the current one if not given."`
}

// of returns the revision to base an edit of a row on.
func (f baseFlag) of(ctx context.Context, client console.Client, table, id string) (uint64, error) {
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
	base, err := c.of(ctx, g.client(), c.Table, c.ID)
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
	base, err := c.of(ctx, g.client(), c.Table, c.ID)
	if err != nil {
		return err
	}
	change := console.Change{Table: crocushollow.TableName(c.Table), ID: c.ID, BaseRevision: base, Delete: true}
	return c.publish(ctx, g.client(), []console.Change{change})
}

type tableImport struct {
	waitFlag

	Table string `arg:"" help:"Name of the table."`
	File  string `arg:"" help:"CSV file with the column names in its first line; - for standard input."`
}

// Run adds the rows that are new and changes those that differ.
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

// importChanges returns the changes that turn the current rows into those of
// CSV records. Rows that the records lack stay.
func importChanges(table crocushollow.TableName, records [][]string, current console.Table) ([]console.Change, error) {
	if len(records) == 0 {
		return nil, errors.New("the file has no line with the column names")
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
		if !exists || differs(current.Columns, row, change.Cells) {
			changes = append(changes, change)
		}
	}
	return changes, nil
}

func differs(columns []string, row console.Row, cells []crocushollow.Cell) bool {
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

// Run shows the edits of a row.
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
	aligned := newAligned(os.Stdout)
	fmt.Fprintln(aligned, "offset\twhen\twho\twhat\tresult")
	for _, entry := range entries {
		what, result := strings.Join(entry.Cells, " | "), "accepted"
		if entry.Delete {
			what = "deleted"
		}
		if entry.Error != "" {
			result = entry.Error
		}
		fmt.Fprintf(aligned, "%d\t%s\t%s\t%s\t%s\n", entry.Offset, entry.At.Format(time.RFC3339), entry.Author, what, result)
	}
	return aligned.Flush()
}
