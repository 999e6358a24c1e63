package executor

import (
	"context"
	"encoding/binary"
	"maps"
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
	// crashes holds the latest crash of each upstream.
	crashes map[string]upstreamCrash
	// nextOffset is the offset of the log up to which events have been taken.
	nextOffset uint64
	// hasNews means that a part was suspected, found or cleared.
	hasNews bool
}

func newPartTracker(logger zerolog.Logger) *partTracker {
	t := &partTracker{crashes: make(map[string]upstreamCrash)}
	t.parts = quarantiner.NewParts(quarantiner.PartsConfig{
		OnNews: func() { t.hasNews = true },
		OnChange: func(part quarantiner.Part, isQuarantined bool) {
			logger.Warn().Uint64("part", uint64(part)).Bool("quarantined", isQuarantined).Msg("prompt part that crashes upstreams")
		},
		OnTrial: func(quarantiner.Part) {},
	})
	return t
}

// isQuarantined reports whether a request with these parts must not run.
func (t *partTracker) isQuarantined(parts []quarantiner.Part, state *applier.State, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, event := range state.PartEventsSince(t.nextOffset) {
		t.merge(event, now)
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

// upstreamCrash is a crash of an upstream, which may end several attempts.
type upstreamCrash struct {
	id uint64
	at time.Time
}

const (
	// commonCrashTime is the time within which the attempts at an upstream that fail have
	// met the same crash.
	commonCrashTime = 300 * time.Millisecond
	// crashRetention is how long the latest crash of an upstream is kept.
	crashRetention = time.Minute
)

// crashID returns an identifier that the attempts share which have met the same crash. The
// caller must lock mu.
func (t *partTracker) crashID(event *crocushollow.SuspectEvent) uint64 {
	at := time.UnixMilli(event.At)
	known, found := t.crashes[event.Upstream]
	if found && at.Sub(known.at).Abs() < commonCrashTime {
		return known.id
	}
	maps.DeleteFunc(t.crashes, func(_ string, crash upstreamCrash) bool { return at.Sub(crash.at) > crashRetention })
	id := binary.BigEndian.Uint64(event.Attempt[:])
	t.crashes[event.Upstream] = upstreamCrash{id: id, at: at}
	return id
}

// merge applies an event of the log as of its own time, so that an instance that starts
// concludes the same from old events as the others did. The caller must lock mu.
func (t *partTracker) merge(event crocushollow.SuspectEvent, now time.Time) {
	at := time.UnixMilli(event.At)
	if at.After(now) {
		at = now
	}
	report := t.partReport(event)
	t.parts.Merge(&report, at)
}

// partReport converts an event of the log. The caller must lock mu.
func (t *partTracker) partReport(event crocushollow.SuspectEvent) quarantiner.PartReport {
	parts := toParts(event.Parts)
	if event.Kind == crocushollow.ClearedEvent {
		return quarantiner.PartReport{Sound: parts}
	}
	return quarantiner.PartReport{Suspicions: []quarantiner.Suspicion{{
		Crash:   t.crashID(&event),
		Request: binary.BigEndian.Uint64(event.Fingerprint[:]),
		Parts:   parts,
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
