package proxy

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushollow/crocushollow/state/selector"
	"github.com/crocushollow/crocushollow/state/suspector"
)

// Call is a request of a caller.
type Call struct {
	// ID names the request to upstreams and in answers.
	ID string
	// Host and Path choose the route. Target is the path with the query as it
	// was sent.
	Host   string
	Method string
	Path   string
	Target string
	// Header holds what is passed on.
	Header http.Header
	Body   []byte
	// APIKey is the caller's key, empty if it sent none.
	APIKey string
	// Model and Adapter are empty for plain requests.
	Model   string
	Adapter string
	// PromptTokens and OutputTokens are the prompt's length and the most that
	// is generated. LengthHint is the caller's own estimate of the output, 0 if
	// there is none.
	PromptTokens float64
	MaxOutputTokens float64
	LengthHint   float64
	// PromptSegments are the beginnings of the prompt that other requests may share.
	PromptSegments []PromptSegment
	// LastEventID names the last event of a stream that the caller has.
	LastEventID string
	ArrivedAt   time.Time
	// CallerTimeout is how long the caller waits for the answer; 0 if it does not
	// say.
	CallerTimeout time.Duration
}

// PromptSegment is a part of a prompt.
type PromptSegment struct {
	ID     string
	Tokens float64
}

// fingerprint identifies a call that comes again under another ID.
func (c *Call) fingerprint(workspace string) suspector.Fingerprint {
	hash := xxhash.New()
	for _, text := range []string{workspace, "\n", c.Method, "\n", c.Target, "\n"} {
		_, _ = hash.WriteString(text)
	}
	_, _ = hash.Write(c.Body)
	return suspector.Fingerprint(hash.Sum64())
}

// beginnings returns the beginnings of the prompt. The last part belongs to the
// request or its session.
func (c *Call) beginnings() []selector.Part {
	if len(c.PromptSegments) == 0 {
		return nil
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(c.Model + "/" + c.Adapter)
	parts := make([]selector.Part, 0, len(c.PromptSegments))
	var tokens float64
	for _, part := range c.PromptSegments {
		_, _ = hash.WriteString(" " + part.ID)
		tokens += part.Tokens
		parts = append(parts, selector.Part{Hash: hash.Sum64(), Tokens: tokens})
	}
	return parts
}

// expectedOutput returns the tokens that the answer is expected to have.
func (c *Call) expectedOutput() float64 {
	if c.LengthHint > 0 && c.LengthHint < c.MaxOutputTokens {
		return c.LengthHint
	}
	return c.MaxOutputTokens
}
