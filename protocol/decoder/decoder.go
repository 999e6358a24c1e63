// Package decoder reads the requests of the OpenAI-shaped interface as far as
// routing and accounting need it. The body itself is passed on.
package decoder

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/state/scheduler"
)

// Tuning of the estimates.
const (
	// bytesPerToken estimates the prompt's tokens from its bytes.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that affinity looks at.
	prefixBytes = 256
	// maxOutputTokens bounds what a caller may ask for.
	maxOutputTokens = 1 << 20
)

// Endpoint is a path of the interface.
type Endpoint string

// The endpoints that run a model.
const (
	ChatCompletions Endpoint = "/v1/chat/completions"
	Completions     Endpoint = "/v1/completions"
	Embeddings      Endpoint = "/v1/embeddings"
)

// Call is a request to run a model.
type Call struct {
	Endpoint Endpoint
	// Model is the name of a model or an adapter.
	Model  string
	Stream bool
	// MaxTokens bounds the output, 0 if the caller sets no bound.
	MaxTokens int64
	// PromptTokens is an estimate.
	PromptTokens int64
	// PrefixHash is a hash of the beginning of the prompt.
	PrefixHash uint64
	Class      scheduler.Class
	Body       []byte
}

// request holds the fields of the body that matter here.
type request struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	ServiceTier         string          `json:"service_tier"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Input               json.RawMessage `json:"input"`
}

// flexTier is the service tier of requests that may wait.
const flexTier = "flex"

// Decode reads a body. The error is an *rejecter.Error.
func Decode(endpoint Endpoint, body []byte) (Call, error) {
	var r request
	if err := json.Unmarshal(body, &r); err != nil {
		return Call{}, rejecter.New(http.StatusBadRequest, rejecter.InvalidRequest, "the body is not a JSON object: "+err.Error())
	}
	if r.Model == "" {
		return Call{}, missing("model")
	}
	prompt, field := promptOf(endpoint, r)
	if len(prompt) == 0 || bytes.Equal(prompt, []byte("null")) {
		return Call{}, missing(field)
	}
	call := Call{
		Endpoint:     endpoint,
		Model:        r.Model,
		Stream:       r.Stream && endpoint != Embeddings,
		PromptTokens: int64(len(prompt)/bytesPerToken) + 1,
		PrefixHash:   xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)]),
		Body:         body,
	}
	if r.ServiceTier == flexTier {
		call.Class = scheduler.Batch
	}
	return withMaxTokens(call, r)
}

func promptOf(endpoint Endpoint, r request) (json.RawMessage, string) {
	switch endpoint {
	case ChatCompletions:
		return r.Messages, "messages"
	case Completions:
		return r.Prompt, "prompt"
	default:
		return r.Input, "input"
	}
}

func withMaxTokens(call Call, r request) (Call, error) {
	if call.Endpoint == Embeddings {
		return call, nil
	}
	for _, bound := range []*int64{r.MaxTokens, r.MaxCompletionTokens} {
		if bound == nil {
			continue
		}
		if *bound < 1 || *bound > maxOutputTokens {
			return Call{}, rejecter.New(http.StatusBadRequest, rejecter.InvalidRequest,
				"max_tokens must be between 1 and "+strconv.Itoa(maxOutputTokens))
		}
		call.MaxTokens = *bound
	}
	return call, nil
}

func missing(field string) error {
	return rejecter.New(http.StatusBadRequest, rejecter.InvalidRequest, "the field "+field+" is missing")
}

// WithDefaultMaxTokens returns the call with an output bound for callers that
// set none, in the body as well, so that the engine keeps to what is charged.
func (c Call) WithDefaultMaxTokens(tokens int64) Call {
	if c.MaxTokens > 0 || c.Endpoint == Embeddings {
		return c
	}
	c.MaxTokens = tokens
	open := bytes.IndexByte(c.Body, '{')
	field := `"max_tokens":` + strconv.FormatInt(tokens, 10) + ","
	c.Body = bytes.Join([][]byte{c.Body[:open+1], []byte(field), c.Body[open+1:]}, nil)
	return c
}

// EstimatedTokens returns the tokens that the call is charged for before it runs.
func (c Call) EstimatedTokens() int64 { return c.PromptTokens + c.MaxTokens }
