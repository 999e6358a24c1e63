// Package decoder decodes requests to the OpenAI-compatible API. It extracts only the
// fields that routing and accounting need. The body is forwarded to the engine.
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

// Limits and estimates.
const (
	// bytesPerToken is the estimated number of prompt bytes per token.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that is used for affinity.
	prefixBytes = 256
	// maxOutputTokens is the largest output length that a caller may request.
	maxOutputTokens = 1 << 20
)

// Endpoint is a path of the API.
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
	// MaxTokens is the maximum length of the output. It is 0 if the caller set
	// none.
	MaxTokens int64
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int64
	// PrefixHash is a hash of the prompt's prefix.
	PrefixHash uint64
	// Parts holds the hashes of the messages that other prompts may have too: all but
	// the last. It is empty for prompts that are not messages.
	Parts []uint64
	Class scheduler.Class
	Body  []byte
}

// request holds the fields that are decoded from the body.
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

// flexTier is the service tier of requests that may wait longer.
const flexTier = "flex"

// Decode decodes a request body. The error is a *rejecter.Error.
func Decode(endpoint Endpoint, body []byte) (Call, error) {
	var r request
	if err := json.Unmarshal(body, &r); err != nil {
		return Call{}, rejecter.New(http.StatusBadRequest, rejecter.InvalidRequest, "the body is not a valid JSON object: "+err.Error())
	}
	if r.Model == "" {
		return Call{}, missingFieldError("model")
	}
	prompt, field := promptField(endpoint, r)
	if len(prompt) == 0 || bytes.Equal(prompt, []byte("null")) {
		return Call{}, missingFieldError(field)
	}
	call := Call{
		Endpoint:     endpoint,
		Model:        r.Model,
		Stream:       r.Stream && endpoint != Embeddings,
		PromptTokens: int64(len(prompt)/bytesPerToken) + 1,
		PrefixHash:   xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)]),
		Body:         body,
	}
	if endpoint == ChatCompletions {
		call.Parts = sharedParts(prompt)
	}
	if r.ServiceTier == flexTier {
		call.Class = scheduler.Batch
	}
	return setMaxTokens(call, r)
}

// sharedParts returns the hashes of all messages but the last. It returns none for
// messages that are not a list, which the engine rejects.
func sharedParts(messages json.RawMessage) []uint64 {
	var list []json.RawMessage
	if err := json.Unmarshal(messages, &list); err != nil || len(list) == 0 {
		return nil
	}
	parts := make([]uint64, 0, len(list)-1)
	for _, message := range list[:len(list)-1] {
		parts = append(parts, xxhash.Sum64(message))
	}
	return parts
}

func promptField(endpoint Endpoint, r request) (json.RawMessage, string) {
	switch endpoint {
	case ChatCompletions:
		return r.Messages, "messages"
	case Completions:
		return r.Prompt, "prompt"
	default:
		return r.Input, "input"
	}
}

func setMaxTokens(call Call, r request) (Call, error) {
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

func missingFieldError(field string) error {
	return rejecter.New(http.StatusBadRequest, rejecter.InvalidRequest, "the field "+field+" is missing")
}

// WithDefaultMaxTokens returns the call with a maximum output length if the caller set
// none. It also sets it in the body, so that the engine generates no more than the
// call is charged for.
func (c Call) WithDefaultMaxTokens(tokens int64) Call {
	if c.MaxTokens > 0 || c.Endpoint == Embeddings {
		return c
	}
	c.MaxTokens = tokens
	brace := bytes.IndexByte(c.Body, '{')
	field := `"max_tokens":` + strconv.FormatInt(tokens, 10) + ","
	c.Body = bytes.Join([][]byte{c.Body[:brace+1], []byte(field), c.Body[brace+1:]}, nil)
	return c
}

// EstimatedTokens returns the number of tokens that the call is charged for before it
// runs.
func (c Call) EstimatedTokens() int64 { return c.PromptTokens + c.MaxTokens }
