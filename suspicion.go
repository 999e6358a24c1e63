package crocushollow

// Suspicion tells that an upstream broke off while it ran a request. It is
// published before the request is tried again, so that every instance knows.
type Suspicion struct {
	// Fingerprint is the SHA-256 digest of the request.
	Fingerprint KeyDigest `json:"fingerprint"`
	// Attempt is the attempt that broke off.
	Attempt ID `json:"attempt"`
	// Runner is the member that may try the request once more.
	Runner Life `json:"runner"`
	// Upstream is the ID of the upstream that broke off.
	Upstream string `json:"upstream,omitempty"`
	// Progressed tells that the attempt had generated output by then.
	Progressed bool `json:"progressed,omitempty"`
	// Kind tells what the record says about the request.
	Kind SuspicionKind `json:"kind"`
}

// SuspicionKind tells what a record says about a suspected request.
type SuspicionKind string

// The kinds of records about suspected requests.
const (
	// CrashSuspicion says that an attempt broke off its upstream. Its runner
	// may try the request once more.
	CrashSuspicion SuspicionKind = "crash"
	// PassSuspicion says that the runner does not try the request again.
	PassSuspicion SuspicionKind = "pass"
	// TrialSuspicion asks to be the one that tries the request again. The first
	// one after a pass wins.
	TrialSuspicion SuspicionKind = "trial"
	// ClearSuspicion says that the request has run without harm.
	ClearSuspicion SuspicionKind = "clear"
)

// maxExplained is the number of crashes that another request can explain.
const maxExplained = MaxCrashes + 1

// CanBeExplained reports whether another request could explain the crashes.
func (s Suspect) CanBeExplained() bool { return !s.IsCulprit() && len(s.Suspicions) <= maxExplained }

// MaxCrashes is the number of upstreams that a request may break before it is
// refused everywhere.
const MaxCrashes = 2

// Suspect is a request that has broken off upstreams.
type Suspect struct {
	// Suspicions are the crashes in log order.
	Suspicions []Suspicion `json:"suspicions"`
	// Trier names the attempt and the member that alone may try the request
	// again. It is nil after a pass.
	Trier *Suspicion `json:"trier,omitempty"`
}

// IsHarmful reports whether the request may not be tried any more, unless
// another request explains what happened.
func (s Suspect) IsHarmful() bool { return len(s.Suspicions) >= MaxCrashes }

// IsCulprit reports whether the request is the likely cause: every upstream
// broke off before it had generated anything.
func (s Suspect) IsCulprit() bool {
	for _, suspicion := range s.Suspicions {
		if suspicion.Progressed {
			return false
		}
	}
	return s.IsHarmful()
}
