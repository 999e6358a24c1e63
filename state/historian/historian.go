// Package historian keeps the most recent edits of each row.
package historian

import (
	"sync"

	"github.com/crocushollow/crocushollow"
)

// Bounds of the history.
const (
	maxEditsPerRow = 50
	maxRows        = 20_000
)

// Historian keeps the edit history of rows. It is safe for concurrent use.
type Historian struct {
	mu    sync.Mutex
	edits map[crocushollow.RowRef][]crocushollow.EditResult
	// rowOrder lists the rows by their first edit in the history, oldest first.
	rowOrder []crocushollow.RowRef
}

// New returns an empty Historian.
func New() *Historian {
	return &Historian{edits: make(map[crocushollow.RowRef][]crocushollow.EditResult)}
}

// Add adds edits in log order.
func (h *Historian) Add(results []crocushollow.EditResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, result := range results {
		ref := result.Edit.Ref
		edits, known := h.edits[ref]
		if !known {
			h.rowOrder = append(h.rowOrder, ref)
			h.evictOldestRow()
		}
		h.edits[ref] = append(edits[max(len(edits)-maxEditsPerRow+1, 0):], result)
	}
}

// evictOldestRow drops the history of the oldest row if there are too many rows.
func (h *Historian) evictOldestRow() {
	if len(h.rowOrder) <= maxRows {
		return
	}
	delete(h.edits, h.rowOrder[0])
	h.rowOrder = h.rowOrder[1:]
}

// Edits returns the recent edits of a row, oldest first.
func (h *Historian) Edits(ref crocushollow.RowRef) []crocushollow.EditResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]crocushollow.EditResult(nil), h.edits[ref]...)
}
