package crocushollow

// IdempotencyKey identifies a non-idempotent call that its caller may retry.
type IdempotencyKey struct {
	Workspace string `json:"workspace"`
	// Key is the SHA-256 digest of the key that the caller sent.
	Key Digest `json:"key"`
}

// CallClaim reserves the right to execute a call. The first claim in the log wins.
type CallClaim struct {
	Key IdempotencyKey `json:"key"`
	// Attempt identifies the single attempt that the owner makes.
	Attempt ID `json:"attempt"`
	// Owner is the member that executes the call.
	Owner MemberID `json:"runner"`
	// Fingerprint is the digest of the request. A different request under the
	// same key is rejected.
	Fingerprint Digest `json:"fingerprint"`
}

// CallResult records the result of a claimed call.
type CallResult struct {
	Key     IdempotencyKey `json:"key"`
	Attempt ID             `json:"attempt"`
	// NotRun releases the key, because the attempt is known not to have run.
	NotRun bool `json:"not_run,omitempty"`
	// Response is replayed to callers that retry the call. It is nil if the
	// response is unknown or too large to store.
	Response *StoredResponse `json:"answer,omitempty"`
}

// StoredResponse is the response to a call, stored for replay.
type StoredResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Call is a claimed call and, once it has finished, its result.
type Call struct {
	Claim CallClaim
	// Ended reports that the call has finished and Response is final.
	Ended    bool
	Response *StoredResponse
}
