package dutyholder

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/state/tallier"
)

// Seal holds the counts of a window that every holder reports.
type Seal struct {
	Window int64
	Counts map[string]int64
}

// SealedWindows is the number of the latest windows whose seals the ledger keeps.
const SealedWindows = 32

// UsageLedger keeps the seals of the last SealedWindows windows. A failed call may have been
// executed, or may be executed later.
type UsageLedger interface {
	// Read returns the seals, and a mark of the ledger's state.
	Read(ctx context.Context) (seals []Seal, mark int64, err error)
	// Add adds a seal if the ledger has not changed since the mark. It returns the mark
	// of the state with the seal.
	Add(ctx context.Context, seal Seal, mark int64) (int64, error)
}

// UsageClient reports usage to the platform.
type UsageClient interface {
	ReportUsage(ctx context.Context, fencingToken int64, seal Seal) error
}

// UsageConfig configures a UsageHolder. All fields are required.
type UsageConfig struct {
	Leadership Leadership
	Ledger     UsageLedger
	Client     UsageClient
	Tallier    *tallier.Tallier
	// Lateness is the time after the end of a window within which its report is due.
	Lateness       time.Duration
	CallsPerSecond float64
	// OnSettled is called with the last sealed window.
	OnSettled func(window int64)
	// OnCall is called with the result of each call to the platform and to the ledger.
	OnCall func(call, result string)
	Logger zerolog.Logger
	Now    func() time.Time
}

// sealDivisor is the inverse of the fraction of the lateness after which a window is sealed.
const sealDivisor = 5

// UsageHolder seals the windows of usage and reports them while this instance holds the
// duty.
type UsageHolder struct {
	config UsageConfig
	done   chan struct{}

	// The fields below are accessed by Run only.

	// token is that of the term for which the ledger was read, or 0.
	token int64
	// fencedToken is that of the term in which the platform refused a call.
	fencedToken int64
	mark        int64
	// next is the first window that is not sealed.
	next int64
	// pending holds the seals that the platform has not confirmed. It keeps those of earlier
	// terms, which a store that is restored may have lost.
	pending map[int64]Seal
	// lastConfirmed is the last window that the platform has confirmed to this instance.
	lastConfirmed int64
	calls, store  pacer
}

// NewUsageHolder returns a holder that is not running. Run starts it.
func NewUsageHolder(config UsageConfig) *UsageHolder {
	return &UsageHolder{
		config: config, done: make(chan struct{}), pending: make(map[int64]Seal), lastConfirmed: -1,
		calls: newPacer(config.CallsPerSecond), store: newPacer(0),
	}
}

// Done returns a channel that is closed when Run has returned.
func (h *UsageHolder) Done() <-chan struct{} { return h.done }

// Run holds the duty until the context ends.
func (h *UsageHolder) Run(ctx context.Context) error {
	defer close(h.done)
	runTicks(ctx, h.step)
	return nil
}

// step seals and reports what is due.
func (h *UsageHolder) step(ctx context.Context) {
	token, holds := h.config.Leadership.FencingToken()
	if !holds || token == h.fencedToken {
		h.token = 0
		return
	}
	if h.store.isDue(h.config.Now()) {
		if token != h.token {
			h.takeUp(ctx, token)
		}
		for h.token == token && h.sealNext(ctx) {
		}
	}
	if h.token == token {
		h.reportNext(ctx)
	}
}

// takeUp reads the ledger at the start of a term, and after a call to it that failed.
func (h *UsageHolder) takeUp(ctx context.Context, token int64) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	seals, mark, err := h.config.Ledger.Read(ctx)
	if !h.finishStoreCall("read", err) {
		return
	}
	now := h.config.Now()
	last := int64(-1)
	for _, seal := range seals {
		last = max(last, seal.Window)
		isRecent := now.Sub(h.config.Tallier.EndOf(seal.Window)) < 2*h.config.Lateness
		if isRecent && seal.Window > h.lastConfirmed {
			h.pending[seal.Window] = seal
		}
	}
	current := h.config.Tallier.WindowAt(now)
	maps.DeleteFunc(h.pending, func(window int64, _ Seal) bool { return window <= current-SealedWindows })
	h.token, h.mark = token, mark
	h.next = max(last+1, current-tallier.MaxWindows+1)
	if last < 0 {
		h.next = max(h.next, h.config.Tallier.First())
	}
	h.next = max(h.next, h.config.Tallier.Settled()+1)
	h.config.Logger.Info().Int64("fence", token).Int64("next", h.next).Int("pending", len(h.pending)).Msg("usage duty taken up")
	h.settle()
}

// settle tells that the windows before the next one are sealed.
func (h *UsageHolder) settle() {
	h.config.Tallier.Settle(h.next - 1)
	h.config.OnSettled(h.next - 1)
}

// sealNext seals the next window if it is due. It reports whether it has.
func (h *UsageHolder) sealNext(ctx context.Context) bool {
	dueAt := h.config.Tallier.EndOf(h.next).Add(h.config.Lateness / sealDivisor)
	if h.config.Now().Before(dueAt) {
		return false
	}
	if token, holds := h.config.Leadership.FencingToken(); !holds || token != h.token {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	seal := Seal{Window: h.next, Counts: h.config.Tallier.Totals(h.next)}
	mark, err := h.config.Ledger.Add(ctx, seal, h.mark)
	if !h.finishStoreCall("seal", err) {
		// The ledger shows whether the window is sealed.
		h.token = 0
		return false
	}
	h.mark, h.pending[seal.Window] = mark, seal
	h.next++
	h.settle()
	return true
}

// finishStoreCall records the result of a call to the ledger. It reports whether the call
// was successful.
func (h *UsageHolder) finishStoreCall(call string, err error) bool {
	now := h.config.Now()
	if err != nil {
		h.store.failed(now)
		h.config.OnCall(call, "failed")
		h.config.Logger.Warn().Err(err).Str("call", call).Msg("usage ledger failed")
		return false
	}
	h.store.succeeded(now)
	h.config.OnCall(call, "done")
	return true
}

// reportNext reports the oldest seal that the platform has not confirmed.
func (h *UsageHolder) reportNext(ctx context.Context) {
	if len(h.pending) == 0 || !h.calls.isDue(h.config.Now()) {
		return
	}
	seal := h.pending[slices.Min(slices.Collect(maps.Keys(h.pending)))]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if token, holds := h.config.Leadership.FencingToken(); !holds || token != h.token {
		return
	}
	err := h.config.Client.ReportUsage(ctx, h.token, seal)
	line := h.config.Logger.Info()
	result := "done"
	switch {
	case err == nil:
		h.calls.succeeded(h.config.Now())
		delete(h.pending, seal.Window)
		h.lastConfirmed = max(h.lastConfirmed, seal.Window)
	case errors.Is(err, ErrFenced):
		result, h.fencedToken = "fenced", h.token
	case errors.Is(err, ErrThrottled):
		result = "throttled"
		h.calls.failed(h.config.Now())
	default:
		result = "unknown"
		h.calls.failed(h.config.Now())
	}
	h.config.OnCall("report", result)
	line.Int64("fence", h.token).Int64("window", seal.Window).Str("result", result).AnErr("cause", err).Msg("usage reported")
}
