// Package caller is a caller of the system as a judge needs it: it sends real
// requests, follows discovery and checks that answers are whole and its own.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/crocushollow/crocushollow/standin/engineserver"
	"github.com/crocushollow/crocushollow/transport/gateway"
)

// Caller sends requests under one key.
type Caller struct {
	// Key is the secret, empty for open routes.
	Key    string
	Client *http.Client
}

// New returns a caller with connections of its own.
func New(key string) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}
	return &Caller{Key: key, Client: &http.Client{Transport: transport}}
}

// Reply is a whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Outcome returns the outcome that an error answer carries.
func (r Reply) Outcome() string { return r.failure().Outcome }

// Code returns the code that an error answer carries.
func (r Reply) Code() string { return r.failure().Code }

// failure is what matters of an error answer.
type failure struct {
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
}

func (r Reply) failure() failure {
	var body struct {
		Error failure `json:"error"`
	}
	_ = json.Unmarshal(r.Body, &body)
	return body.Error
}

// Send sends a request and reads the whole answer.
func (c *Caller) Send(ctx context.Context, method, address, target string, header http.Header, body string) (Reply, error) {
	response, err := c.open(ctx, method, address, target, header, body)
	if err != nil {
		return Reply{}, err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return Reply{Status: response.StatusCode, Header: response.Header, Body: read}, err
}

func (c *Caller) open(ctx context.Context, method, address, target string, header http.Header, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if header != nil {
		request.Header = header.Clone()
	}
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	return c.Client.Do(request)
}

// chatPath is the endpoint that this caller uses for models.
const chatPath = "/v1/chat/completions"

// Prompt is a request for a model.
type Prompt struct {
	Model   string
	Content string
	Tokens  int
	// Flex lets the request wait.
	Flex bool
}

func (p Prompt) messages() string {
	content, _ := json.Marshal(p.Content)
	return fmt.Sprintf(`[{"role":"user","content":%s}]`, content)
}

func (p Prompt) body(stream bool) string {
	tier := "default"
	if p.Flex {
		tier = "flex"
	}
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"service_tier":%q,"messages":%s}`,
		p.Model, stream, p.Tokens, tier, p.messages())
}

// Expected returns the text that an engine generates for the prompt.
func (p Prompt) Expected() string {
	var text strings.Builder
	prompt := []byte(p.messages())
	for i := range p.Tokens {
		text.WriteString(engineserver.Token(prompt, i))
	}
	return text.String()
}

// Complete asks a model for a whole answer.
func (c *Caller) Complete(ctx context.Context, address string, prompt Prompt) (Reply, error) {
	return c.Send(ctx, http.MethodPost, address, chatPath, nil, prompt.body(false))
}

// Streamed is what a caller got of a stream.
type Streamed struct {
	Status int
	// Refusal is the body of an answer that is no stream.
	Refusal Reply
	Text    string
	// Done tells that the final event arrived.
	Done bool
	// Failed tells that an error event arrived, and FailureCode why.
	Failed      bool
	FailureCode string
	// FirstToken is the time to the first token, and Gaps are those between
	// tokens.
	FirstToken time.Duration
	Gaps       []time.Duration
}

// IsWhole reports whether the stream holds the whole answer to a prompt.
func (s Streamed) IsWhole(prompt Prompt) bool { return s.Done && s.Text == prompt.Expected() }

// IsCrossed reports whether the stream holds text of another answer.
func (s Streamed) IsCrossed(prompt Prompt) bool {
	return !strings.HasPrefix(prompt.Expected(), s.Text)
}

// Stream asks a model for a streamed answer and reads it to its end.
func (c *Caller) Stream(ctx context.Context, address string, prompt Prompt) (Streamed, error) {
	started := time.Now()
	response, err := c.open(ctx, http.MethodPost, address, chatPath, nil, prompt.body(true))
	if err != nil {
		return Streamed{}, err
	}
	defer response.Body.Close()
	result := Streamed{Status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		body, err := io.ReadAll(response.Body)
		result.Refusal = Reply{Status: response.StatusCode, Header: response.Header, Body: body}
		return result, err
	}
	var text strings.Builder
	last := started
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, isData := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !isData {
			continue
		}
		content := result.note(data)
		if content == "" {
			continue
		}
		text.WriteString(content)
		now := time.Now()
		if result.FirstToken == 0 {
			result.FirstToken = now.Sub(started)
		} else {
			result.Gaps = append(result.Gaps, now.Sub(last))
		}
		last = now
	}
	result.Text = text.String()
	return result, lines.Err()
}

// note takes an event and returns the text in it.
func (s *Streamed) note(event []byte) string {
	if string(event) == "[DONE]" {
		s.Done = true
		return ""
	}
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *failure `json:"error"`
	}
	if json.Unmarshal(event, &chunk) != nil {
		return ""
	}
	if chunk.Error != nil {
		s.Failed, s.FailureCode = true, chunk.Error.Code
	}
	if len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// Discover asks an instance which addresses to use.
func (c *Caller) Discover(ctx context.Context, address, workspace, model, zone string) (gateway.DiscoveryResponse, error) {
	query := url.Values{"workspace": {workspace}, "model": {model}, "availability_zone": {zone}}
	reply, err := c.Send(ctx, http.MethodGet, address, "/discovery?"+query.Encode(), nil, "")
	var answer gateway.DiscoveryResponse
	if err == nil {
		err = json.Unmarshal(reply.Body, &answer)
	}
	return answer, err
}
