package engineserver

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request holds the fields of a request body that the engine uses.
type request struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	Input     json.RawMessage `json:"input"`
}

func (r request) prompt() []byte {
	for _, field := range []json.RawMessage{r.Messages, r.Prompt, r.Input} {
		if len(field) > 0 {
			return field
		}
	}
	return nil
}

const (
	bytesPerToken = 4
	prefixBytes   = 256
)

func containsText(body, text string) bool { return strings.Contains(body, text) }

func hashOf(data []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(data)
	return hash.Sum64()
}

// Token returns the token that an engine generates at an index for a prompt.
// It is the same on every engine, so that tests can check complete responses.
func Token(prompt []byte, index int) string {
	return fmt.Sprintf("t%x-%d ", hashOf(prompt)&0xffff, index)
}

func readRequest(w http.ResponseWriter, r *http.Request) (request, string, bool) {
	body, err := io.ReadAll(r.Body)
	var parsed request
	if err != nil || json.Unmarshal(body, &parsed) != nil {
		http.Error(w, `{"error":{"message":"request body is not a valid JSON request"}}`, http.StatusBadRequest)
		return parsed, "", false
	}
	return parsed, string(body), true
}

// usageOf returns the token usage in the OpenAI format.
func usageOf(prompt, completion int) map[string]int {
	return map[string]int{
		"prompt_tokens":     prompt,
		"completion_tokens": completion,
		"total_tokens":      prompt + completion,
	}
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	parsed, body, ok := readRequest(w, r)
	if !ok {
		return
	}
	restarted := s.acquireSlot(w, r, parsed.Model, body)
	if restarted == nil {
		return
	}
	defer s.releaseSlot(restarted)
	prompt := parsed.prompt()
	promptTokens := len(prompt)/bytesPerToken + 1
	s.delay(r, restarted, s.prefill(hashOf(prompt[:min(len(prompt), prefixBytes)]), promptTokens))
	if parsed.Stream {
		s.stream(w, r, restarted, parsed, promptTokens)
		return
	}
	var text strings.Builder
	for i := range parsed.MaxTokens {
		s.delay(r, restarted, s.tokenInterval())
		text.WriteString(Token(prompt, i))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"id": r.Header.Get("X-Request-Id"), "object": "chat.completion", "model": parsed.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "length", "text": text.String(),
			"message": map[string]string{"role": "assistant", "content": text.String()},
		}},
		"usage": usageOf(promptTokens, parsed.MaxTokens),
	})
}

// stream sends one event per token. It starts at the token that the header
// X-Resume-From names.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, restarted chan struct{}, parsed request, promptTokens int) {
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	w.Header().Set("Content-Type", "text/event-stream")
	if from > 0 {
		w.Header().Set("X-Resume-From", strconv.Itoa(from))
	}
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	id, prompt := r.Header.Get("X-Request-Id"), parsed.prompt()
	for i := from; i < parsed.MaxTokens; i++ {
		s.delay(r, restarted, s.tokenInterval())
		token := Token(prompt, i)
		_, _ = fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"text":%q,"delta":{"content":%q}}]}`+"\n\n",
			id, parsed.Model, token, token)
		if control.Flush() != nil {
			return
		}
	}
	if from <= parsed.MaxTokens {
		encoded, _ := json.Marshal(usageOf(promptTokens, parsed.MaxTokens))
		_, _ = fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[],"usage":%s}`+"\n\n",
			id, parsed.Model, encoded)
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// delay waits, and aborts the request if the caller disconnects or the engine
// restarts.
func (s *Server) delay(r *http.Request, restarted chan struct{}, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-restarted:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// embeddingSize is the dimension of the embedding vectors.
const embeddingSize = 8

func (s *Server) embed(w http.ResponseWriter, r *http.Request) {
	parsed, body, ok := readRequest(w, r)
	if !ok {
		return
	}
	restarted := s.acquireSlot(w, r, parsed.Model, body)
	if restarted == nil {
		return
	}
	defer s.releaseSlot(restarted)
	prompt := parsed.prompt()
	promptTokens := len(prompt)/bytesPerToken + 1
	s.delay(r, restarted, time.Duration(promptTokens)*s.config.PrefillTimePerToken)
	vector := make([]float64, embeddingSize)
	for i := range vector {
		vector[i] = float64(hashOf(prompt)>>(8*i)&0xff) / 256
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"object": "list", "model": parsed.Model,
		"data":  []any{map[string]any{"object": "embedding", "index": 0, "embedding": vector}},
		"usage": map[string]int{"prompt_tokens": promptTokens, "total_tokens": promptTokens},
	})
}
