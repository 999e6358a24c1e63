package crocushollow

// SuspectEvent tells that an upstream broke off while it ran a request. It is
// published before the request is tried again, so that every instance knows.
type SuspectEvent struct {
	// Fingerprint is the SHA-256 digest of the request.
	Fingerprint Digest `json:"fingerprint"`
	// Attempt is the attempt that broke off.
	Attempt ID `json:"attempt"`
	// Member is the member that may try the request once more.
	Member MemberID `json:"runner"`
	// Upstream is the ID of the upstream that broke off.
	Upstream string `json:"upstream,omitempty"`
	// ProducedOutput tells that the attempt had generated output by then.
	ProducedOutput bool `json:"progressed,omitempty"`
	// Kind tells what the record says about the request.
	Kind SuspectEventKind `json:"kind"`
}

// SuspectEventKind tells what a record says about a suspected request.
type SuspectEventKind string

// The kinds of records about suspected requests.
const (
	// CrashEvent says that an attempt broke off its upstream. Its runner
	// may try the request once more.
	CrashEvent SuspectEventKind = "crash"
	// RetryDeclinedEvent says that the runner does not try the request again.
	RetryDeclinedEvent SuspectEventKind = "pass"
	// RetryClaimEvent asks to be the one that tries the request again. The first
	// one after a pass wins.
	RetryClaimEvent SuspectEventKind = "trial"
	// ClearedEvent says that the request has run without harm.
	ClearedEvent SuspectEventKind = "clear"
)

// maxExplained is the number of crashes that another request can explain.
const maxExplained = MaxCrashes + 1

// CanBeExonerated reports whether another request could explain the crashes.
func (s SuspectRequest) CanBeExonerated() bool {
	return !s.IsLikelyCause() && len(s.Crashes) <= maxExplained
}

// MaxCrashes is the number of upstreams that a request may break before it is
// refused everywhere.
const MaxCrashes = 2

// SuspectRequest is a request that has broken off upstreams.
type SuspectRequest struct {
	// Crashes are the crashes in log order.
	Crashes []SuspectEvent `json:"suspicions"`
	// RetryClaim names the attempt and the member that alone may try the request
	// again. It is nil after a pass.
	RetryClaim *SuspectEvent `json:"trier,omitempty"`
}

// ReachedCrashLimit reports whether the request may not be tried any more, unless
// another request explains what happened.
func (s SuspectRequest) ReachedCrashLimit() bool { return len(s.Crashes) >= MaxCrashes }

// IsLikelyCause reports whether the request is the likely cause: every upstream
// broke off before it had generated anything.
func (s SuspectRequest) IsLikelyCause() bool {
	for _, suspicion := range s.Crashes {
		if suspicion.ProducedOutput {
			return false
		}
	}
	return s.ReachedCrashLimit()
}
