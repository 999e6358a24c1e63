package crocushollow

// IdempotencyKey identifies a non-idempotent call that its caller may send again.
type IdempotencyKey struct {
	Workspace string `json:"workspace"`
	// Key is the SHA-256 digest of the caller's idempotency key.
	Key Digest `json:"key"`
}

// CallClaim reserves the right to run a call. The first claim in the log wins.
type CallClaim struct {
	Key IdempotencyKey `json:"key"`
	// Attempt is the winner's own ID for its single attempt.
	Attempt ID `json:"attempt"`
	// Owner is the member that runs the call.
	Owner MemberID `json:"runner"`
	// Fingerprint is the digest of the request, so that a different request
	// under the same key is refused.
	Fingerprint Digest `json:"fingerprint"`
}

// CallResult ends a claimed call.
type CallResult struct {
	Key     IdempotencyKey `json:"key"`
	Attempt ID             `json:"attempt"`
	// NotRun frees the key: the attempt has certainly not run.
	NotRun bool `json:"not_run,omitempty"`
	// Response is kept for callers that repeat the call. It is nil if the answer
	// is unknown or too large to keep.
	Response *StoredResponse `json:"answer,omitempty"`
}

// StoredResponse is a kept answer to a call.
type StoredResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Call is a claimed call and, when it has ended, its result.
type Call struct {
	Claim CallClaim
	// Ended tells that Answer is final.
	Ended    bool
	Response *StoredResponse
}
