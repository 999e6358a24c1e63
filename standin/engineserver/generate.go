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

// request holds the fields of a body that the engine looks at.
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

func contains(body, text string) bool { return strings.Contains(body, text) }

func hashOf(data []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(data)
	return hash.Sum64()
}

// Token returns the token that an engine generates at an index for a prompt.
// It is the same on every engine, so that a judge can check whole answers.
func Token(prompt []byte, index int) string {
	return fmt.Sprintf("t%x-%d ", hashOf(prompt)&0xffff, index)
}

func readRequest(w http.ResponseWriter, r *http.Request) (request, string, bool) {
	body, err := io.ReadAll(r.Body)
	var parsed request
	if err != nil || json.Unmarshal(body, &parsed) != nil {
		http.Error(w, `{"error":{"message":"bad body"}}`, http.StatusBadRequest)
		return parsed, "", false
	}
	return parsed, string(body), true
}

// usage is the token count in the OpenAI shape.
func usage(prompt, completion int) map[string]int {
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
	life := s.enter(w, r, parsed.Model, body)
	if life == nil {
		return
	}
	defer s.leave(life)
	prompt := parsed.prompt()
	promptTokens := len(prompt)/bytesPerToken + 1
	s.sleep(r, life, s.readPrompt(hashOf(prompt[:min(len(prompt), prefixBytes)]), promptTokens))
	if parsed.Stream {
		s.stream(w, r, life, parsed, promptTokens)
		return
	}
	var text strings.Builder
	for i := range parsed.MaxTokens {
		s.sleep(r, life, s.tokenTime())
		text.WriteString(Token(prompt, i))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"id": r.Header.Get("X-Request-Id"), "object": "chat.completion", "model": parsed.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "length", "text": text.String(),
			"message": map[string]string{"role": "assistant", "content": text.String()},
		}},
		"usage": usage(promptTokens, parsed.MaxTokens),
	})
}

// stream sends one event per token, from the one that the caller lacks on.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, life chan struct{}, parsed request, promptTokens int) {
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	id, prompt := r.Header.Get("X-Request-Id"), parsed.prompt()
	for i := from; i < parsed.MaxTokens; i++ {
		s.sleep(r, life, s.tokenTime())
		token := Token(prompt, i)
		_, _ = fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"text":%q,"delta":{"content":%q}}]}`+"\n\n",
			id, parsed.Model, token, token)
		if control.Flush() != nil {
			return
		}
	}
	if from <= parsed.MaxTokens {
		encoded, _ := json.Marshal(usage(promptTokens, parsed.MaxTokens))
		_, _ = fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[],"usage":%s}`+"\n\n",
			id, parsed.Model, encoded)
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// sleep waits, and ends the request if the caller leaves or the engine
// restarts.
func (s *Server) sleep(r *http.Request, life chan struct{}, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-life:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// embeddingSize is the length of the vectors.
const embeddingSize = 8

func (s *Server) embed(w http.ResponseWriter, r *http.Request) {
	parsed, body, ok := readRequest(w, r)
	if !ok {
		return
	}
	life := s.enter(w, r, parsed.Model, body)
	if life == nil {
		return
	}
	defer s.leave(life)
	prompt := parsed.prompt()
	promptTokens := len(prompt)/bytesPerToken + 1
	s.sleep(r, life, time.Duration(promptTokens)*s.config.PrefillTimePerToken)
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
