package console

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/controller"
	"github.com/crocushollow/crocushollow/coordination/publisher"
	"github.com/crocushollow/crocushollow/state/detector"
	"github.com/crocushollow/crocushollow/state/historian"
	"github.com/crocushollow/crocushollow/state/limiter"
)

// Role tells what an operator may do.
type Role string

// The roles.
const (
	// Reader may look at everything.
	Reader Role = "reader"
	// Editor may also edit rows.
	Editor Role = "editor"
)

// Operator is a person or program with credentials of its own.
type Operator struct {
	Name string
	// TokenDigest is the SHA-256 digest of the operator's token.
	TokenDigest crocushollow.Digest
	Role        Role
}

// Prober asks an instance which offset it has applied.
type Prober interface {
	Probe(ctx context.Context, to crocushollow.Member, request controller.ProbeRequest) (controller.ProbeReply, error)
}

// Config configures a Console.
type Config struct {
	Controller *controller.Controller
	Prober     Prober
	Historian  *historian.Historian
	Detector   *detector.Detector
	Quotas     *limiter.Registry
	// WriteMetrics writes all metrics.
	WriteMetrics func(w io.Writer)
	// Operators may use the console. If there are none, everyone who reaches
	// the listener may, under the name in the operator header.
	Operators []Operator
	Version   string
	// EditTimeout bounds the publication of an edit.
	EditTimeout time.Duration
}

// Console implements http.Handler.
type Console struct {
	config Config
	mux    *http.ServeMux
}

// maxEditBytes bounds the body of an edit.
const maxEditBytes = 16 << 20

// OperatorHeader names the operator on a console without credentials.
const OperatorHeader = "Crocushollow-Operator"

// New returns a console.
func New(config Config) *Console {
	c := &Console{config: config, mux: http.NewServeMux()}
	c.mux.Handle("GET /tables/{table}", c.allow(Reader, c.getTable))
	c.mux.Handle("GET /tables/{table}/{id}/history", c.allow(Reader, c.getHistory))
	c.mux.Handle("POST /edits", c.allow(Editor, c.postEdits))
	c.mux.Handle("GET /in-force/{offset}", c.allow(Reader, c.getInForce))
	c.mux.Handle("GET /status", c.allow(Reader, c.getStatus))
	c.mux.Handle("GET /metrics", c.allow(Reader, c.getMetrics))
	return c
}

// ServeHTTP implements http.Handler.
func (c *Console) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

type handler func(w http.ResponseWriter, r *http.Request, operator Operator)

// allow lets operators with a role through.
func (c *Console) allow(role Role, next handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Origin") != "" && r.Header.Get("Sec-Fetch-Site") != "same-origin" {
			fail(w, http.StatusForbidden, "cross-site requests are refused")
			return
		}
		operator, known := c.authenticate(r)
		switch {
		case !known:
			fail(w, http.StatusUnauthorized, "an operator's token is needed")
		case role == Editor && operator.Role != Editor:
			fail(w, http.StatusForbidden, "the operator may only read")
		default:
			next(w, r, operator)
		}
	})
}

func (c *Console) authenticate(r *http.Request) (Operator, bool) {
	if len(c.config.Operators) == 0 {
		name := r.Header.Get(OperatorHeader)
		if name == "" {
			name = "anonymous"
		}
		return Operator{Name: name, Role: Editor}, true
	}
	digest := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
	for _, operator := range c.config.Operators {
		if subtle.ConstantTimeCompare(operator.TokenDigest[:], digest[:]) == 1 {
			return operator, true
		}
	}
	return Operator{}, false
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func fail(w http.ResponseWriter, status int, message string) {
	answer(w, status, Failure{Error: message})
}

func (c *Console) getTable(w http.ResponseWriter, r *http.Request, _ Operator) {
	name := crocushollow.TableName(r.PathValue("table"))
	if !name.IsValid() {
		fail(w, http.StatusNotFound, (&crocushollow.TableError{Table: name}).Error())
		return
	}
	state := c.config.Controller.View().State
	table := Table{Columns: crocushollow.Columns(name), Rows: []Row{}, Offset: state.NextOffset()}
	for _, entry := range state.Table().Entries(name) {
		table.Rows = append(table.Rows, newRow(entry))
	}
	answer(w, http.StatusOK, table)
}

func newRow(entry crocushollow.Entry) Row {
	ref := entry.Row.Ref()
	return Row{
		Table:    ref.Table,
		ID:       ref.ID,
		Revision: entry.Revision,
		Author:   entry.Author,
		At:       entry.At,
		Cells:    crocushollow.Cells(entry.Row),
	}
}

func (c *Console) getHistory(w http.ResponseWriter, r *http.Request, _ Operator) {
	ref := crocushollow.RowRef{Table: crocushollow.TableName(r.PathValue("table")), ID: r.PathValue("id")}
	entries := []HistoryEntry{}
	for _, result := range c.config.Historian.Edits(ref) {
		entry := HistoryEntry{
			Offset: result.Offset,
			Author: result.Edit.Author,
			At:     result.Edit.At,
			Delete: result.Edit.Delete,
		}
		if row := result.Edit.Value.Row(); row != nil {
			entry.Cells = crocushollow.Cells(row)
		}
		if result.Err != nil {
			entry.Error = result.Err.Error()
		}
		entries = append(entries, entry)
	}
	answer(w, http.StatusOK, entries)
}

func (c *Console) postEdits(w http.ResponseWriter, r *http.Request, operator Operator) {
	var request EditRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEditBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		fail(w, http.StatusBadRequest, "the body is not an edit: "+err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.config.EditTimeout)
	defer cancel()
	results, err := c.edit(ctx, request.Changes, operator.Name)
	switch {
	case errors.Is(err, publisher.ErrTooLarge):
		fail(w, http.StatusRequestEntityTooLarge, "the edit is too large for one record of the log")
	case err != nil:
		fail(w, http.StatusServiceUnavailable, "not known whether the edit took effect: "+err.Error())
	default:
		answer(w, http.StatusOK, EditAnswer{Results: results})
	}
}

// maxEditsPerRecord bounds the edits that are published as one record.
const maxEditsPerRecord = 500

// edit publishes the changes that are valid here and returns what became of
// all of them, in order.
func (c *Console) edit(ctx context.Context, changes []Change, author string) ([]ChangeResult, error) {
	results := make([]ChangeResult, len(changes))
	for start := 0; start < len(changes); start += maxEditsPerRecord {
		end := min(start+maxEditsPerRecord, len(changes))
		if err := c.editChunk(ctx, changes[start:end], author, results[start:end]); err != nil {
			return nil, err
		}
	}
	return results, nil
}

func (c *Console) editChunk(ctx context.Context, changes []Change, author string, results []ChangeResult) error {
	table := c.config.Controller.View().State.Table()
	var edits []crocushollow.Edit
	index := make(map[crocushollow.ID]int)
	for i, change := range changes {
		results[i] = ChangeResult{Table: change.Table, ID: change.ID}
		edit, err := newEdit(table, change, author)
		if err != nil {
			results[i].setError(err)
			continue
		}
		index[edit.ID] = i
		edits = append(edits, edit)
	}
	if len(edits) == 0 {
		return nil
	}
	applied, err := c.config.Controller.Edit(ctx, edits)
	if err != nil {
		return err
	}
	for _, result := range applied {
		i := index[result.Edit.ID]
		results[i].Offset = result.Offset
		results[i].setError(result.Err)
	}
	return nil
}

// newEdit turns an operator's change into an edit of a whole row.
func newEdit(table *crocushollow.Table, change Change, author string) (crocushollow.Edit, error) {
	ref := crocushollow.RowRef{Table: change.Table, ID: change.ID}
	edit := crocushollow.Edit{
		ID:           crocushollow.NewID(),
		Ref:          ref,
		BaseRevision: change.Base,
		Delete:       change.Delete,
		Author:       author,
		At:           time.Now(),
	}
	entry := table.Entry(ref)
	if entry.Revision != change.Base {
		return edit, &crocushollow.ConflictError{Row: ref, BaseRevision: change.Base, Current: entry}
	}
	if change.Delete {
		return edit, nil
	}
	row, err := newRowOf(entry, change)
	if err != nil {
		return edit, err
	}
	edit.Value = crocushollow.NewRowValue(row)
	if row.Ref() != ref {
		return edit, &crocushollow.CellError{Column: "id", Reason: "the primary key of a row cannot be changed"}
	}
	return edit, row.Validate()
}

func newRowOf(entry crocushollow.Entry, change Change) (crocushollow.Row, error) {
	if entry.Row != nil {
		return crocushollow.WithCells(entry.Row, change.Cells)
	}
	cells := append([]crocushollow.Cell{{Column: "id", Text: change.ID}}, change.Cells...)
	return crocushollow.NewRow(change.Table, cells)
}

func (r *ChangeResult) setError(err error) {
	if err == nil {
		return
	}
	r.Error = err.Error()
	var cell *crocushollow.CellError
	if errors.As(err, &cell) {
		r.Column = cell.Column
	}
	var conflict *crocushollow.ConflictError
	if errors.As(err, &conflict) && conflict.Current.Revision != 0 {
		row := newRow(conflict.Current)
		r.Current = &row
	}
}

// probeParallelism bounds the instances asked at once.
const probeParallelism = 32

// probeTimeout bounds the question to one instance.
const probeTimeout = 500 * time.Millisecond

func (c *Console) getInForce(w http.ResponseWriter, r *http.Request, _ Operator) {
	offset, err := strconv.ParseUint(r.PathValue("offset"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "the offset is not a number")
		return
	}
	answer(w, http.StatusOK, c.inForce(r.Context(), offset))
}

// inForce asks every member whether it has applied an offset.
func (c *Console) inForce(ctx context.Context, offset uint64) InForce {
	view := c.config.Controller.View()
	members := view.State.Members()
	type position struct {
		id      string
		applied bool
	}
	positions := make(chan position, len(members))
	slots := make(chan struct{}, probeParallelism)
	for _, member := range members {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			next := c.offsetOf(ctx, view, member)
			positions <- position{id: member.ID, applied: next > offset}
		}()
	}
	result := InForce{Offset: offset, Instances: len(members)}
	for range members {
		p := <-positions
		if p.applied {
			result.Applied++
			continue
		}
		result.Missing = append(result.Missing, p.id)
	}
	return result
}

// offsetOf returns the next offset that a member will apply, 0 if it does not
// answer.
func (c *Console) offsetOf(ctx context.Context, view *controller.View, member crocushollow.Member) uint64 {
	if member.ID == view.Self.ID {
		return c.config.Controller.View().State.NextOffset()
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := c.config.Prober.Probe(ctx, member, controller.ProbeRequest{
		From:   view.Self.MemberID(),
		To:     member.MemberID(),
		Offset: view.State.NextOffset(),
	})
	if err != nil {
		return 0
	}
	return reply.Offset
}

func (c *Console) getMetrics(w http.ResponseWriter, _ *http.Request, _ Operator) {
	c.config.WriteMetrics(w)
}

func (c *Console) getStatus(w http.ResponseWriter, _ *http.Request, _ Operator) {
	view := c.config.Controller.View()
	now := time.Now()
	status := Status{
		Instance: view.Self.ID,
		Version:  c.config.Version,
		Offset:   view.State.NextOffset(),
		LogAgeMS: now.Sub(view.UpToDateAt).Milliseconds(),
		Assured:  view.HasValidLease(now),
		Draining: view.Draining,
	}
	for _, member := range view.State.Members() {
		status.Instances = append(status.Instances, instanceStatus(view, member))
	}
	for _, upstream := range view.State.Table().Upstreams() {
		status.Upstreams = append(status.Upstreams, c.upstreamStatus(view, upstream))
	}
	for key, part := range c.config.Quotas.Shares {
		if units := part.Units(); units > 0 {
			status.Shares = append(status.Shares, ShareStatus{Kind: string(key.Kind), ID: key.ID, Units: units})
		}
	}
	answer(w, http.StatusOK, status)
}

func instanceStatus(view *controller.View, member crocushollow.Member) InstanceStatus {
	status := InstanceStatus{
		ID:               member.ID,
		AvailabilityZone: member.AvailabilityZone,
		CallerAddress:    member.CallerAddress,
		Unavailable:      view.Unavailable[member.ID],
	}
	for shard := range crocushollow.Shard(crocushollow.ShardCount) {
		if view.State.IsOwner(member.MemberID(), shard) {
			status.Shards++
		}
	}
	return status
}

func (c *Console) upstreamStatus(view *controller.View, upstream crocushollow.Upstream) UpstreamStatus {
	health := c.config.Detector.Status(upstream.ID)
	status := UpstreamStatus{
		ID:               upstream.ID,
		AvailabilityZone: upstream.AvailabilityZone,
		TakesNewWork:     view.State.Table().AcceptsNewWork(upstream),
		Cold:             health.Cold,
		InFlight:         health.InFlight,
		Weights:          []string{},
	}
	for _, residency := range view.State.Residencies(upstream.ID) {
		status.Weights = append(status.Weights, residency.Weights.Label()+" "+string(residency.State))
	}
	return status
}
