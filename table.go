package crocushollow

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"
)

// Entry is a row with the metadata of the edit that wrote it.
type Entry struct {
	Row Row
	// Revision is the log offset of the edit plus 1. It is 0 if there is no row.
	Revision uint64
	EditID   ID
	Author   string
	At       time.Time
}

// Table is an immutable snapshot of the rows of all tables. The zero value is not
// usable; NewTable returns an empty Table.
type Table struct {
	// rows maps table and primary key to the entry of the row.
	rows map[TableName]*immutable.Map[string, Entry]
	// keys maps the digest of each API key to its primary key.
	keys *immutable.Map[Digest, string]
	// referrers maps each referenced row to the number of rows that refer to it.
	referrers *immutable.Map[string, int]
	// routes is sorted by descending length of the path prefix.
	routes []Route
}

type digestHasher struct{}

// Hash implements immutable.Hasher. It returns a prefix of the digest, which is
// already uniformly distributed.
func (digestHasher) Hash(digest Digest) uint32 { return binary.LittleEndian.Uint32(digest[:]) }

// Equal implements immutable.Hasher.
func (digestHasher) Equal(a, b Digest) bool { return a == b }

// NewTable returns an empty table.
func NewTable() *Table {
	table := &Table{
		rows:      make(map[TableName]*immutable.Map[string, Entry], len(TableNames())),
		keys:      immutable.NewMap[Digest, string](digestHasher{}),
		referrers: immutable.NewMap[string, int](nil),
	}
	for _, name := range TableNames() {
		table.rows[name] = immutable.NewMap[string, Entry](nil)
	}
	return table
}

// Entry returns the entry of a row. Its revision is 0 if the row does not exist.
func (t *Table) Entry(ref RowRef) Entry {
	rows, found := t.rows[ref.Table]
	if !found {
		return Entry{}
	}
	entry, _ := rows.Get(ref.ID)
	return entry
}

// Entries returns the entries of one table sorted by primary key.
func (t *Table) Entries(name TableName) []Entry {
	rows, found := t.rows[name]
	if !found {
		return nil
	}
	entries := make([]Entry, 0, rows.Len())
	for itr := rows.Iterator(); !itr.Done(); {
		_, entry, _ := itr.Next()
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return strings.Compare(a.Row.Ref().ID, b.Row.Ref().ID)
	})
	return entries
}

// Len returns the number of rows in one table.
func (t *Table) Len(name TableName) int {
	if rows, found := t.rows[name]; found {
		return rows.Len()
	}
	return 0
}

func lookUp[R Row](t *Table, name TableName, id string) (R, bool) {
	entry, found := t.rows[name].Get(id)
	if !found {
		var none R
		return none, false
	}
	row, isRow := entry.Row.(R)
	return row, isRow
}

func list[R Row](t *Table, name TableName) []R {
	entries := t.Entries(name)
	rows := make([]R, 0, len(entries))
	for _, entry := range entries {
		if row, isRow := entry.Row.(R); isRow {
			rows = append(rows, row)
		}
	}
	return rows
}

// Workspace returns the workspace with the given ID.
func (t *Table) Workspace(id string) (Workspace, bool) {
	return lookUp[Workspace](t, WorkspaceTable, id)
}

// Workspaces returns all workspaces sorted by ID.
func (t *Table) Workspaces() []Workspace { return list[Workspace](t, WorkspaceTable) }

// APIKeyByDigest returns the API key with the given digest.
func (t *Table) APIKeyByDigest(digest Digest) (APIKey, bool) {
	id, found := t.keys.Get(digest)
	if !found {
		return APIKey{}, false
	}
	return lookUp[APIKey](t, APIKeyTable, id)
}

// Model returns the model with the given ID.
func (t *Table) Model(id string) (Model, bool) { return lookUp[Model](t, ModelTable, id) }

// Models returns all models sorted by ID.
func (t *Table) Models() []Model { return list[Model](t, ModelTable) }

// Adapter returns the adapter with the given ID.
func (t *Table) Adapter(id string) (Adapter, bool) { return lookUp[Adapter](t, AdapterTable, id) }

// Adapters returns all adapters sorted by ID.
func (t *Table) Adapters() []Adapter { return list[Adapter](t, AdapterTable) }

// AvailabilityZone returns the availability zone with the given ID.
func (t *Table) AvailabilityZone(id string) (AvailabilityZone, bool) {
	return lookUp[AvailabilityZone](t, AvailabilityZoneTable, id)
}

// AvailabilityZones returns all availability zones sorted by ID.
func (t *Table) AvailabilityZones() []AvailabilityZone {
	return list[AvailabilityZone](t, AvailabilityZoneTable)
}

// Upstream returns the upstream with the given ID.
func (t *Table) Upstream(id string) (Upstream, bool) { return lookUp[Upstream](t, UpstreamTable, id) }

// Upstreams returns all upstreams sorted by ID.
func (t *Table) Upstreams() []Upstream { return list[Upstream](t, UpstreamTable) }

// Limit returns the limit with the given ID.
func (t *Table) Limit(id string) (Limit, bool) { return lookUp[Limit](t, LimitTable, id) }

// AcceptsNewWork reports whether new work may be sent to an upstream: it is not
// draining and its availability zone is in service.
func (t *Table) AcceptsNewWork(u Upstream) bool {
	if u.Draining {
		return false
	}
	zone, found := t.AvailabilityZone(u.AvailabilityZone)
	return found && zone.InService
}

// MatchRoute returns the route with the longest prefix that matches the path.
func (t *Table) MatchRoute(path string) (Route, bool) {
	for _, route := range t.routes {
		if route.Matches(path) {
			return route, true
		}
	}
	return Route{}, false
}

// WithEdit returns the table with an edit applied at a log offset. The result is a
// pure function of the table and the arguments. The error is a *ConflictError,
// *CellError, *ReferenceError or *DuplicateError. Applying an edit that is already
// in effect succeeds and changes nothing.
func (t *Table) WithEdit(edit Edit, offset uint64) (*Table, error) {
	current := t.Entry(edit.Ref)
	if current.Revision != 0 && current.EditID == edit.ID {
		return t, nil
	}
	if current.Revision != edit.BaseRevision {
		return nil, &ConflictError{Row: edit.Ref, BaseRevision: edit.BaseRevision, Current: current}
	}
	if edit.Delete {
		return t.withoutRow(edit.Ref, current)
	}
	next := Entry{
		Row:      edit.Value.Row(),
		Revision: offset + 1,
		EditID:   edit.ID,
		Author:   edit.Author,
		At:       edit.At,
	}
	if err := t.check(next.Row); err != nil {
		return nil, err
	}
	return t.withEntry(current, next), nil
}

// check validates a row on its own and against the other rows.
func (t *Table) check(row Row) error {
	if err := row.Validate(); err != nil {
		return err
	}
	for _, ref := range row.References() {
		if t.Entry(ref).Revision == 0 {
			return &ReferenceError{Row: row.Ref(), Missing: ref}
		}
	}
	return t.checkUnique(row)
}

func (t *Table) checkUnique(row Row) error {
	switch r := row.(type) {
	case APIKey:
		if other, found := t.keys.Get(r.Digest); found && other != r.ID {
			return &DuplicateError{Row: r.Ref(), Column: "digest", Other: RowRef{Table: APIKeyTable, ID: other}}
		}
	case Model:
		if other, found := t.Adapter(r.ID); found {
			return &DuplicateError{Row: r.Ref(), Column: "id", Other: other.Ref()}
		}
	case Adapter:
		if other, found := t.Model(r.ID); found {
			return &DuplicateError{Row: r.Ref(), Column: "id", Other: other.Ref()}
		}
	case Route:
		for _, other := range t.routes {
			if other.PathPrefix == r.PathPrefix && other.ID != r.ID {
				return &DuplicateError{Row: r.Ref(), Column: "path_prefix", Other: other.Ref()}
			}
		}
	}
	return nil
}

func (t *Table) withoutRow(ref RowRef, current Entry) (*Table, error) {
	if current.Revision == 0 {
		return t, nil
	}
	if count, _ := t.referrers.Get(ref.String()); count > 0 {
		return nil, &ReferenceError{Row: ref, Referrers: count}
	}
	return t.withEntry(current, Entry{}), nil
}

// withEntry returns a copy of the table in which the next entry replaces the
// current one. Either may be empty, but not both.
func (t *Table) withEntry(current, next Entry) *Table {
	copied := *t
	copied.rows = make(map[TableName]*immutable.Map[string, Entry], len(t.rows))
	for name, rows := range t.rows {
		copied.rows[name] = rows
	}
	if current.Row != nil {
		copied.deleteRow(current.Row)
	}
	if next.Row != nil {
		copied.insertRow(next)
	}
	return &copied
}

// deleteRow removes a row and its index entries from a table under construction.
func (t *Table) deleteRow(row Row) {
	ref := row.Ref()
	t.rows[ref.Table] = t.rows[ref.Table].Delete(ref.ID)
	for _, target := range row.References() {
		t.addReferrers(target, -1)
	}
	switch r := row.(type) {
	case APIKey:
		t.keys = t.keys.Delete(r.Digest)
	case Route:
		t.routes = slices.DeleteFunc(slices.Clone(t.routes), func(o Route) bool { return o.ID == r.ID })
	}
}

// insertRow adds a row and its index entries to a table under construction.
func (t *Table) insertRow(entry Entry) {
	ref := entry.Row.Ref()
	t.rows[ref.Table] = t.rows[ref.Table].Set(ref.ID, entry)
	for _, target := range entry.Row.References() {
		t.addReferrers(target, 1)
	}
	switch r := entry.Row.(type) {
	case APIKey:
		t.keys = t.keys.Set(r.Digest, r.ID)
	case Route:
		t.routes = append(slices.Clone(t.routes), r)
		slices.SortFunc(t.routes, func(a, b Route) int {
			return cmp.Or(len(b.PathPrefix)-len(a.PathPrefix), strings.Compare(a.ID, b.ID))
		})
	}
}

func (t *Table) addReferrers(target RowRef, change int) {
	key := target.String()
	count, _ := t.referrers.Get(key)
	if count+change == 0 {
		t.referrers = t.referrers.Delete(key)
		return
	}
	t.referrers = t.referrers.Set(key, count+change)
}

// WithEntries returns a new table that contains only the given entries, such as
// those of a snapshot. They must be valid together.
func (t *Table) WithEntries(entries []Entry) *Table {
	filled := NewTable()
	for _, entry := range entries {
		filled.insertRow(entry)
	}
	return filled
}
