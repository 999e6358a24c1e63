package soaker

import (
	"sync"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// history is what happened in a run.
type history struct {
	mu sync.Mutex
	// calls are those of the callers, in the order of their ends.
	calls []call
	// disturbed holds the times in which an instance was under a fault.
	disturbed map[string][]span
	// stopped holds the planned stops of instances, and storeFaults the times in
	// which the store misbehaved for all.
	stopped     map[string][]span
	storeFaults []span
	// edits are the changes of the table and of zones, and leaving the times at
	// which back ends announced that they leave.
	edits     []edit
	zonesOut  map[string][]span
	leaving   map[string]time.Time
	backEnds  []backEnd
	calmFrom  time.Time
	calmUntil time.Time
}

// span is a time from one moment to another.
type span struct{ from, until time.Time }

// overlaps reports whether the span has a part between two moments.
func (s span) overlaps(from, until time.Time) bool {
	return s.from.Before(until) && (s.until.IsZero() || s.until.After(from))
}

// edit is a change of the table. Its paths and keys are those in force after it.
type edit struct {
	at    time.Time
	paths []string
	keys  []string
}

// call is a call of a caller with its end.
type call struct {
	id       string
	kind     kind
	path     string
	key      string
	instance string
	sentAt   time.Time
	endedAt  time.Time
	// status is 0 if no answer came.
	status int
	body   string
	events []int
	whole  bool
	// gaveUp tells that the caller left, and refused that it reached no listener.
	gaveUp  bool
	refused bool
}

// backEnd is what one life of a back end has seen.
type backEnd struct {
	id string
	// life tells the lives of a back end apart.
	life     string
	zone     string
	service  string
	runs     []platformtest.Execution
	arrivals []platformtest.Arrival
	orders   []platformtest.ExecutedOrder
	faults   []string
}

func newHistory() *history {
	return &history{
		disturbed: make(map[string][]span), stopped: make(map[string][]span),
		zonesOut: make(map[string][]span), leaving: make(map[string]time.Time),
	}
}

func (h *history) addCall(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

// disturb notes a fault of an instance.
func (h *history) disturb(instance string, from, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed[instance] = append(h.disturbed[instance], span{from, until})
}

func (h *history) addBackEnd(engine *platformtest.Upstream) {
	service := platformtest.PlainService
	if engine.IsModelEngine() {
		service = platformtest.ModelService
	}
	h.backEnds = append(h.backEnds, backEnd{
		id: engine.ID(), life: engine.ID() + "/" + engine.Address(), zone: engine.Zone(), service: service, runs: engine.Executions(),
		arrivals: engine.Arrivals(), orders: engine.ExecutedOrders(), faults: engine.LimitViolations(),
	})
}

// stop notes a planned stop of an instance.
func (h *history) stop(instance string, s span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped[instance] = append(h.stopped[instance], s)
}

// harmStore notes a fault of the store for all instances.
func (h *history) harmStore(from, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeFaults = append(h.storeFaults, span{from, until})
}

// leave notes that a life of a back end has announced its leaving.
func (h *history) leave(backEnd string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving[backEnd] = at
}

// zoneOut notes a time in which a zone was out of service.
func (h *history) zoneOut(zone string, s span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zonesOut[zone] = append(h.zonesOut[zone], s)
}

func (h *history) addEdit(e edit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.edits = append(h.edits, e)
}
