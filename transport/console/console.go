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

// Role is a set of permissions of an operator.
type Role string

// Roles of operators.
const (
	// Reader may read tables, status and metrics.
	Reader Role = "reader"
	// Editor may also edit tables.
	Editor Role = "editor"
)

// Operator is a person or program that is authorized to use the console.
type Operator struct {
	Name string
	// TokenDigest is the SHA-256 digest of the operator's token.
	TokenDigest crocushollow.Digest
	Role        Role
}

// Prober asks instances for the next log offset that they will apply.
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
	// WriteMetrics writes all metrics in the Prometheus text format.
	WriteMetrics func(w io.Writer)
	// Operators lists who may use the console. If it is empty, every client may use
	// it as an editor, under the name in OperatorHeader.
	Operators []Operator
	Version   string
	// EditTimeout limits the time to publish an edit.
	EditTimeout time.Duration
}

// Console implements http.Handler.
type Console struct {
	config Config
	mux    *http.ServeMux
}

// maxEditBytes limits the body of an edit request.
const maxEditBytes = 16 << 20

// OperatorHeader names the operator if no operators are configured.
const OperatorHeader = "Crocushollow-Operator"

// New returns a console.
func New(config Config) *Console {
	c := &Console{config: config, mux: http.NewServeMux()}
	c.mux.Handle("GET /tables/{table}", c.authorize(Reader, c.getTable))
	c.mux.Handle("GET /tables/{table}/{id}/history", c.authorize(Reader, c.getHistory))
	c.mux.Handle("POST /edits", c.authorize(Editor, c.postEdits))
	c.mux.Handle("GET /in-force/{offset}", c.authorize(Reader, c.getAppliedStatus))
	c.mux.Handle("GET /status", c.authorize(Reader, c.getStatus))
	c.mux.Handle("GET /metrics", c.authorize(Reader, c.getMetrics))
	return c
}

// ServeHTTP implements http.Handler.
func (c *Console) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

type handler func(w http.ResponseWriter, r *http.Request, operator Operator)

// authorize wraps a handler so that only operators with the role may call it. It
// rejects cross-site requests of browsers.
func (c *Console) authorize(role Role, next handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Origin") != "" && r.Header.Get("Sec-Fetch-Site") != "same-origin" {
			writeError(w, http.StatusForbidden, "cross-site requests are refused")
			return
		}
		operator, known := c.authenticate(r)
		switch {
		case !known:
			writeError(w, http.StatusUnauthorized, "a valid operator token is required")
		case role == Editor && operator.Role != Editor:
			writeError(w, http.StatusForbidden, "the operator does not have the editor role")
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

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, ErrorResponse{Error: message})
}

func (c *Console) getTable(w http.ResponseWriter, r *http.Request, _ Operator) {
	name := crocushollow.TableName(r.PathValue("table"))
	if !name.IsValid() {
		writeError(w, http.StatusNotFound, (&crocushollow.TableError{Table: name}).Error())
		return
	}
	state := c.config.Controller.View().State
	table := Table{Columns: crocushollow.Columns(name), Rows: []Row{}, Offset: state.NextOffset()}
	for _, entry := range state.Table().Entries(name) {
		table.Rows = append(table.Rows, newRow(entry))
	}
	writeJSON(w, http.StatusOK, table)
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
	writeJSON(w, http.StatusOK, entries)
}

func (c *Console) postEdits(w http.ResponseWriter, r *http.Request, operator Operator) {
	var request EditRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEditBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		writeError(w, http.StatusBadRequest, "invalid edit request: "+err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.config.EditTimeout)
	defer cancel()
	results, err := c.publish(ctx, request.Changes, operator.Name)
	switch {
	case errors.Is(err, publisher.ErrTooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, "the edit exceeds the size limit of a log record")
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, "the outcome of the edit is unknown: "+err.Error())
	default:
		writeJSON(w, http.StatusOK, EditResponse{Results: results})
	}
}

// maxEditsPerRecord limits the number of edits in one log record.
const maxEditsPerRecord = 500

// publish validates the changes, publishes the valid ones in chunks and returns
// the result of each change in order.
func (c *Console) publish(ctx context.Context, changes []Change, author string) ([]ChangeResult, error) {
	results := make([]ChangeResult, len(changes))
	for start := 0; start < len(changes); start += maxEditsPerRecord {
		end := min(start+maxEditsPerRecord, len(changes))
		if err := c.publishChunk(ctx, changes[start:end], author, results[start:end]); err != nil {
			return nil, err
		}
	}
	return results, nil
}

func (c *Console) publishChunk(ctx context.Context, changes []Change, author string, results []ChangeResult) error {
	table := c.config.Controller.View().State.Table()
	var edits []crocushollow.Edit
	indexByEdit := make(map[crocushollow.ID]int)
	for i, change := range changes {
		results[i] = ChangeResult{Table: change.Table, ID: change.ID}
		edit, err := newEdit(table, change, author)
		if err != nil {
			results[i].setError(err)
			continue
		}
		indexByEdit[edit.ID] = i
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
		i := indexByEdit[result.Edit.ID]
		results[i].Offset = result.Offset
		results[i].setError(result.Err)
	}
	return nil
}

// newEdit converts an operator's change into an edit of the whole row.
func newEdit(table *crocushollow.Table, change Change, author string) (crocushollow.Edit, error) {
	ref := crocushollow.RowRef{Table: change.Table, ID: change.ID}
	edit := crocushollow.Edit{
		ID:           crocushollow.NewID(),
		Ref:          ref,
		BaseRevision: change.BaseRevision,
		Delete:       change.Delete,
		Author:       author,
		At:           time.Now(),
	}
	entry := table.Entry(ref)
	if entry.Revision != change.BaseRevision {
		return edit, &crocushollow.ConflictError{Row: ref, BaseRevision: change.BaseRevision, Current: entry}
	}
	if change.Delete {
		return edit, nil
	}
	row, err := applyChange(entry, change)
	if err != nil {
		return edit, err
	}
	edit.Value = crocushollow.NewRowValue(row)
	if row.Ref() != ref {
		return edit, &crocushollow.CellError{Column: "id", Reason: "the primary key of a row cannot be changed"}
	}
	return edit, row.Validate()
}

func applyChange(entry crocushollow.Entry, change Change) (crocushollow.Row, error) {
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

// maxConcurrentProbes limits the number of instances probed concurrently.
const maxConcurrentProbes = 32

// probeTimeout limits the time of one probe.
const probeTimeout = 500 * time.Millisecond

func (c *Console) getAppliedStatus(w http.ResponseWriter, r *http.Request, _ Operator) {
	offset, err := strconv.ParseUint(r.PathValue("offset"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "the offset must be a non-negative integer")
		return
	}
	writeJSON(w, http.StatusOK, c.appliedStatus(r.Context(), offset))
}

// appliedStatus probes all members for whether they have applied the record at a
// log offset.
func (c *Console) appliedStatus(ctx context.Context, offset uint64) AppliedStatus {
	view := c.config.Controller.View()
	members := view.State.Members()
	type probeResult struct {
		id      string
		applied bool
	}
	probeResults := make(chan probeResult, len(members))
	slots := make(chan struct{}, maxConcurrentProbes)
	for _, member := range members {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			next := c.nextOffset(ctx, view, member)
			probeResults <- probeResult{id: member.ID, applied: next > offset}
		}()
	}
	result := AppliedStatus{Offset: offset, Instances: len(members)}
	for range members {
		probed := <-probeResults
		if probed.applied {
			result.Applied++
			continue
		}
		result.Missing = append(result.Missing, probed.id)
	}
	return result
}

// nextOffset returns the log offset of the next record that a member will apply, or
// 0 if the member does not respond.
func (c *Console) nextOffset(ctx context.Context, view *controller.View, member crocushollow.Member) uint64 {
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
		Instance:   view.Self.ID,
		Version:    c.config.Version,
		Offset:     view.State.NextOffset(),
		LogAgeMS:   now.Sub(view.UpToDateAt).Milliseconds(),
		LeaseValid: view.HasValidLease(now),
		Draining:   view.Draining,
	}
	for _, member := range view.State.Members() {
		status.Instances = append(status.Instances, instanceStatus(view, member))
	}
	for _, upstream := range view.State.Table().Upstreams() {
		status.Upstreams = append(status.Upstreams, c.upstreamStatus(view, upstream))
	}
	for key, share := range c.config.Quotas.Shares {
		if units := share.Units(); units > 0 {
			status.Shares = append(status.Shares, ShareStatus{Kind: string(key.Kind), ID: key.ID, Units: units})
		}
	}
	writeJSON(w, http.StatusOK, status)
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
		AcceptsNewWork:   view.State.Table().AcceptsNewWork(upstream),
		Cold:             health.Cold,
		InFlight:         health.InFlight,
		Weights:          []string{},
	}
	for _, residency := range view.State.Residencies(upstream.ID) {
		status.Weights = append(status.Weights, residency.Weights.Label()+" "+string(residency.State))
	}
	return status
}
