package executor

import (
	"context"
	"encoding/binary"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/state/applier"
	"github.com/crocushollow/crocushollow/state/quarantiner"
)

var errPartCrashesUpstreams = rejecter.New(http.StatusUnprocessableEntity, rejecter.RequestCrashesUpstreams,
	"upstreams crashed while they ran requests that have a message of this one; it is not run")

// partTracker finds the messages that crash upstreams from the events in the log. It is
// safe for concurrent use.
type partTracker struct {
	mu    sync.Mutex
	parts *quarantiner.PartQuarantiner
	// nextOffset is the offset of the log up to which events have been taken.
	nextOffset uint64
	// hasNews means that a part was suspected, found or cleared.
	hasNews bool
}

func newPartTracker(logger zerolog.Logger) *partTracker {
	t := &partTracker{}
	t.parts = quarantiner.NewParts(quarantiner.PartsConfig{
		OnNews: func() { t.hasNews = true },
		OnChange: func(part quarantiner.Part, isQuarantined bool) {
			logger.Warn().Uint64("part", uint64(part)).Bool("quarantined", isQuarantined).Msg("prompt part that crashes upstreams")
		},
	})
	return t
}

// isQuarantined reports whether a request with these parts must not run.
func (t *partTracker) isQuarantined(parts []quarantiner.Part, state *applier.State, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, event := range state.PartEventsSince(t.nextOffset) {
		report := partReport(event, now)
		t.parts.Merge(&report, now)
	}
	t.nextOffset = max(t.nextOffset, state.NextOffset())
	return t.parts.IsQuarantined(parts, now)
}

// recordCompletion records a completed request. It reports whether one of its parts was
// suspected, so that the other instances must learn of it.
func (t *partTracker) recordCompletion(parts []quarantiner.Part, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasNews = false
	t.parts.RecordCompletion(parts, now)
	return t.hasNews
}

// partReport converts an event of the log.
func partReport(event crocushollow.SuspectEvent, now time.Time) quarantiner.PartReport {
	parts := toParts(event.Parts)
	if event.Kind == crocushollow.ClearedEvent {
		return quarantiner.PartReport{Sound: parts}
	}
	return quarantiner.PartReport{Suspicions: []quarantiner.Suspicion{{
		Crash:   binary.BigEndian.Uint64(event.Attempt[:]),
		Request: binary.BigEndian.Uint64(event.Fingerprint[:]),
		Parts:   parts,
		Age:     max(now.Sub(time.UnixMilli(event.At)), 0),
	}}}
}

func toParts(hashes []uint64) []quarantiner.Part {
	parts := make([]quarantiner.Part, len(hashes))
	for i, hash := range hashes {
		parts[i] = quarantiner.Part(hash)
	}
	return parts
}

// hasCrashingPart reports whether a message of the request crashes upstreams.
func (r *modelRun) hasCrashingPart() bool {
	executor := r.executor
	return executor.parts.isQuarantined(r.parts, executor.config.View().State, time.Now())
}

// recordCompletion records that the request has completed, and thereby that none of its
// messages crashes upstreams.
func (r *modelRun) recordCompletion() {
	r.publishConclusion(crocushollow.ClearedEvent)
	if !r.executor.parts.recordCompletion(r.parts, time.Now()) {
		return
	}
	event := r.newSuspectEvent(crocushollow.ClearedEvent).WithParts(r.call.Parts, time.Now())
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), resultTimeout)
		defer cancel()
		r.publishSuspectEvent(ctx, event)
	}()
}
