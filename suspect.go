package crocushollow

import "time"

// SuspectEvent records that an upstream crashed or closed the connection while it
// ran a request, or what became of such a request. A crash is published before
// the request is retried, so that every instance knows about it.
type SuspectEvent struct {
	// Fingerprint is the SHA-256 digest of the request.
	Fingerprint Digest `json:"fingerprint"`
	// Attempt identifies the attempt that the event is about.
	Attempt ID `json:"attempt"`
	// Member is the member that ran the request and published the event. After
	// a crash or a retry claim it may retry the request once.
	Member MemberID `json:"runner"`
	// Upstream is the ID of the upstream that crashed.
	Upstream string `json:"upstream,omitempty"`
	// ProducedOutput reports that the attempt had generated output before the
	// crash.
	ProducedOutput bool             `json:"progressed,omitempty"`
	Kind           SuspectEventKind `json:"kind"`
	// Parts identifies the parts of the prompt that other requests may share. A
	// ClearedEvent with parts means that a request with these parts has completed after
	// crashes of other requests with one of them.
	Parts []uint64 `json:"parts,omitempty"`
	// At is the time of the event in Unix milliseconds, by the clock of the member. It
	// is 0 without parts.
	At int64 `json:"at,omitempty"`
}

// WithParts returns a copy of the event with prompt parts.
func (e SuspectEvent) WithParts(parts []uint64, now time.Time) SuspectEvent {
	if len(parts) > 0 {
		e.Parts, e.At = parts, now.UnixMilli()
	}
	return e
}

// SuspectEventKind is the kind of a SuspectEvent.
type SuspectEventKind string

// The kinds of events about suspect requests.
const (
	// CrashEvent means that the upstream crashed or closed the connection during
	// an attempt. The publishing member may retry the request once.
	CrashEvent SuspectEventKind = "crash"
	// RetryDeclinedEvent means that the member does not retry the request.
	RetryDeclinedEvent SuspectEventKind = "pass"
	// RetryClaimEvent claims the right to retry the request. The first claim
	// wins after the retry was declined or the member with that right has left.
	RetryClaimEvent SuspectEventKind = "trial"
	// ClearedEvent means that the request has run without a crash.
	ClearedEvent SuspectEventKind = "clear"
)

// maxExonerableCrashes is the maximum number of crashes for which a request can
// be exonerated.
const maxExonerableCrashes = MaxCrashes + 1

// CanBeExonerated reports whether another request could have caused the crashes.
func (s SuspectRequest) CanBeExonerated() bool {
	return !s.IsLikelyCause() && len(s.Crashes) <= maxExonerableCrashes
}

// MaxCrashes is the number of crashes after which every instance rejects a
// request.
const MaxCrashes = 2

// SuspectRequest is a request during which upstreams have crashed. It may be a
// poison request that crashes every upstream it is sent to.
type SuspectRequest struct {
	// Crashes lists the crash events in log order.
	Crashes []SuspectEvent `json:"suspicions"`
	// RetryClaim is the event whose member has the sole right to retry the
	// request. It is nil after a declined retry.
	RetryClaim *SuspectEvent `json:"trier,omitempty"`
}

// ReachedCrashLimit reports whether the request must not be retried, unless it is
// exonerated because another request caused the crashes.
func (s SuspectRequest) ReachedCrashLimit() bool { return len(s.Crashes) >= MaxCrashes }

// IsLikelyCause reports whether the request likely caused its crashes: it reached
// the crash limit, and no attempt had generated output before the crash.
func (s SuspectRequest) IsLikelyCause() bool {
	for _, crash := range s.Crashes {
		if crash.ProducedOutput {
			return false
		}
	}
	return s.ReachedCrashLimit()
}
