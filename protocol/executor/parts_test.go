package executor

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/quarantiner"
)

// Guards against blaming a message that all requests have for the crashes of upstreams that
// another message explains, since each failed attempt counts as a crash of its own.
func TestAttemptsThatMeetTheSameCrashShareIt(t *testing.T) {
	const common, crasher = 1, 2
	tracker := newPartTracker(zerolog.Nop())
	start := time.Now().Add(-20 * time.Second)
	attempt := byte(0)
	fail := func(at time.Time, parts ...uint64) {
		attempt++
		event := crocushollow.SuspectEvent{Kind: crocushollow.CrashEvent, Upstream: "engine", Attempt: crocushollow.ID{attempt}, Fingerprint: crocushollow.Digest{attempt}}
		tracker.merge(event.WithParts(parts, at), time.Now())
	}
	for crash := range 3 {
		at := start.Add(time.Duration(crash) * 4 * time.Second)
		fail(at.Add(20*time.Millisecond), common, 10+uint64(crash))
		fail(at, common, crasher)
	}
	if !tracker.parts.IsQuarantined([]quarantiner.Part{crasher}, time.Now()) {
		t.Error("the message that crashes upstreams is not quarantined")
	}
	if tracker.parts.IsQuarantined([]quarantiner.Part{common}, time.Now()) {
		t.Error("a common message is quarantined")
	}
}

// Guards against an instance that starts later and runs requests that all others refuse.
func TestMessagesAreRefusedForCrashesBeforeTheStart(t *testing.T) {
	const crasher = 2
	tracker := newPartTracker(zerolog.Nop())
	for crash := range byte(3) {
		event := crocushollow.SuspectEvent{
			Kind: crocushollow.CrashEvent, Upstream: "engine", Attempt: crocushollow.ID{crash + 1}, Fingerprint: crocushollow.Digest{crash + 1},
		}
		tracker.merge(event.WithParts([]uint64{crasher}, time.Now().Add(time.Duration(crash)*4*time.Second-2*time.Minute)), time.Now())
	}
	if !tracker.parts.IsQuarantined([]quarantiner.Part{crasher}, time.Now()) {
		t.Error("a message that crashed upstreams two minutes ago is not quarantined")
	}
}
