// Package historian remembers the latest edits of each row.
package historian

import (
	"sync"

	"github.com/crocushollow/crocushollow"
)

// Bounds of what is remembered.
const (
	maxPerRow = 50
	maxRows   = 20_000
)

// Historian is safe for concurrent use.
type Historian struct {
	mu    sync.Mutex
	edits map[crocushollow.RowRef][]crocushollow.EditResult
	// order lists the rows by their first remembered edit, oldest first.
	order []crocushollow.RowRef
}

// New returns an empty history.
func New() *Historian {
	return &Historian{edits: make(map[crocushollow.RowRef][]crocushollow.EditResult)}
}

// Add remembers edits in log order.
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

// Of returns the remembered edits of a row, oldest first.
func (h *Historian) Of(ref crocushollow.RowRef) []crocushollow.EditResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]crocushollow.EditResult(nil), h.edits[ref]...)
}
