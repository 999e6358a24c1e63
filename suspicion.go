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
	// Cleared tells that the request has run since without harm.
	Cleared bool `json:"cleared,omitempty"`
}

// MaxCrashes is the number of upstreams that a request may break before it is
// refused everywhere.
const MaxCrashes = 2

// Suspect is a request that has broken off upstreams.
type Suspect struct {
	// Crashes counts the attempts that broke off.
	Crashes int `json:"crashes"`
	// First is the suspicion that came first. Its runner alone may try the
	// request again.
	First Suspicion `json:"first"`
}

// IsHarmful reports whether the request may not be tried any more.
func (s Suspect) IsHarmful() bool { return s.Crashes >= MaxCrashes }
