package proxy

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushollow/crocushollow/state/quarantiner"
	"github.com/crocushollow/crocushollow/state/selector"
)

// Call is a request that a caller sent.
type Call struct {
	// ID identifies the request to upstreams and in responses.
	ID string
	// Host and Path select the route. Target is the unmodified request target:
	// the path and the query.
	Host   string
	Method string
	Path   string
	Target string
	// Header holds the headers that are forwarded to the upstream.
	Header http.Header
	Body   []byte
	// APIKey is the caller's API key. It is empty if the caller sent none.
	APIKey string
	// Model and Adapter are empty for requests that run no model.
	Model   string
	Adapter string
	// PromptTokens is the length of the prompt and MaxOutputTokens the maximum
	// length of the output. LengthHint is the caller's estimate of the output
	// length, or 0 if there is none.
	PromptTokens    float64
	MaxOutputTokens float64
	LengthHint      float64
	// PromptSegments are the consecutive segments of the prompt. Other requests
	// may have the leading segments in common with it.
	PromptSegments []PromptSegment
	// LastEventID is the ID of the last stream event that the caller received.
	LastEventID string
	// Resumes is the ID of the caller's earlier call that brought the first event of the
	// stream. It is empty unless the caller takes a stream up.
	Resumes   string
	ArrivedAt time.Time
	// CallerTimeout is how long the caller waits for the response. It is 0 if
	// the caller did not specify it.
	CallerTimeout time.Duration
}

// PromptSegment is a segment of a prompt.
type PromptSegment struct {
	ID     string
	Tokens float64
}

// PartHashes returns the hashes of the IDs of the prompt's segments that other requests
// may have in common with this one: of all but the last.
func (c *Call) PartHashes() []uint64 {
	if len(c.PromptSegments) == 0 {
		return nil
	}
	hashes := make([]uint64, 0, len(c.PromptSegments)-1)
	for _, segment := range c.PromptSegments[:len(c.PromptSegments)-1] {
		hashes = append(hashes, xxhash.Sum64String(segment.ID))
	}
	return hashes
}

// sharedParts returns the parts that PartHashes identifies.
func (c *Call) sharedParts() []quarantiner.Part {
	hashes := c.PartHashes()
	parts := make([]quarantiner.Part, len(hashes))
	for i, hash := range hashes {
		parts[i] = quarantiner.Part(hash)
	}
	return parts
}

// fingerprint returns a hash that is the same when the caller sends the call
// again under another ID.
func (c *Call) fingerprint(workspace string) quarantiner.Fingerprint {
	hash := xxhash.New()
	for _, text := range []string{workspace, "\n", c.Method, "\n", c.Target, "\n"} {
		_, _ = hash.WriteString(text)
	}
	_, _ = hash.Write(c.Body)
	return quarantiner.Fingerprint(hash.Sum64())
}

// prefixes returns the prefixes of the prompt, one for each segment. The last
// segment belongs to this request or its session alone.
func (c *Call) prefixes() []selector.Prefix {
	if len(c.PromptSegments) == 0 {
		return nil
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(c.Model + "/" + c.Adapter)
	prefixes := make([]selector.Prefix, 0, len(c.PromptSegments))
	var tokens float64
	for _, segment := range c.PromptSegments {
		_, _ = hash.WriteString(" " + segment.ID)
		tokens += segment.Tokens
		prefixes = append(prefixes, selector.Prefix{Hash: hash.Sum64(), Tokens: tokens})
	}
	return prefixes
}

// expectedOutputTokens returns the expected length of the output.
func (c *Call) expectedOutputTokens() float64 {
	if c.LengthHint > 0 && c.LengthHint < c.MaxOutputTokens {
		return c.LengthHint
	}
	return c.MaxOutputTokens
}
