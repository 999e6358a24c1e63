// Package historian keeps the most recent edits of each row.
package historian

import (
	"sync"

	"github.com/crocushollow/crocushollow"
)

// Bounds of the history.
const (
	maxPerRow = 50
	maxRows   = 20_000
)

// Historian keeps the edit history of rows. It is safe for concurrent use.
type Historian struct {
	mu    sync.Mutex
	edits map[crocushollow.RowRef][]crocushollow.EditResult
	// rowOrder lists the rows by their first edit in the history, oldest first.
	order []crocushollow.RowRef
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
			h.order = append(h.order, ref)
			h.trim()
		}
		h.edits[ref] = append(edits[max(len(edits)-maxPerRow+1, 0):], result)
	}
}

func (h *Historian) trim() {
	if len(h.order) <= maxRows {
		return
	}
	delete(h.edits, h.order[0])
	h.order = h.order[1:]
}

// Edits returns the recent edits of a row, oldest first.
func (h *Historian) Edits(ref crocushollow.RowRef) []crocushollow.EditResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]crocushollow.EditResult(nil), h.edits[ref]...)
}
