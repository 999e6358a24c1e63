package executor

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/quarantiner"
)

func TestExecutor(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "executor")
}

var _ = Describe("partTracker", func() {
	const common, crasher = 1, 2
	// fail returns the event of an attempt that has failed at an upstream.
	fail := func(attempt byte, at time.Time, parts ...uint64) crocushollow.SuspectEvent {
		event := crocushollow.SuspectEvent{
			Kind: crocushollow.CrashEvent, Upstream: "engine", Attempt: crocushollow.ID{attempt}, Fingerprint: crocushollow.Digest{attempt},
		}
		return event.WithParts(parts, at)
	}
	isQuarantined := func(tracker *partTracker, part quarantiner.Part) bool {
		return tracker.parts.IsQuarantined([]quarantiner.Part{part}, time.Now())
	}

	// Guards against blaming a message that all requests have for the crashes of upstreams that
	// another message explains, since each failed attempt counts as a crash of its own.
	It("takes attempts that fail at an upstream together for one crash", func() {
		tracker := newPartTracker(zerolog.Nop())
		for crash := range byte(3) {
			at := time.Now().Add(time.Duration(crash)*4*time.Second - 20*time.Second)
			tracker.merge(fail(2*crash+1, at.Add(20*time.Millisecond), common, 10+uint64(crash)), time.Now())
			tracker.merge(fail(2*crash+2, at, common, crasher), time.Now())
		}
		Expect(isQuarantined(tracker, crasher)).To(BeTrue())
		Expect(isQuarantined(tracker, common)).To(BeFalse())
	})

	// Guards against an instance that starts later and runs requests that all others refuse.
	It("refuses messages for crashes of some time before the start", func() {
		tracker := newPartTracker(zerolog.Nop())
		for crash := range byte(3) {
			at := time.Now().Add(time.Duration(crash)*4*time.Second - 2*time.Minute)
			tracker.merge(fail(crash+1, at, crasher), time.Now())
		}
		Expect(isQuarantined(tracker, crasher)).To(BeTrue())
	})
})
