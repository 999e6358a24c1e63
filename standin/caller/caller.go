// Package caller is a test client of the system. It sends requests, uses discovery
// and checks that a response is complete and belongs to its request.
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

// Caller sends requests with one API key.
type Caller struct {
	// Key is the API key's secret. It is empty for routes without authentication.
	Key    string
	Client *http.Client
}

// New returns a caller with its own connection pool.
func New(key string) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}
	return &Caller{Key: key, Client: &http.Client{Transport: transport}}
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Outcome returns the outcome in an error response.
func (r Response) Outcome() string { return r.errorDetail().Outcome }

// Code returns the error code in an error response.
func (r Response) Code() string { return r.errorDetail().Code }

// errorDetail holds the fields of an error response that tests check.
type errorDetail struct {
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
}

func (r Response) errorDetail() errorDetail {
	var body struct {
		Error errorDetail `json:"error"`
	}
	_ = json.Unmarshal(r.Body, &body)
	return body.Error
}

// Send sends a request and reads the complete response.
func (c *Caller) Send(ctx context.Context, method, address, target string, header http.Header, body string) (Response, error) {
	response, err := c.do(ctx, method, address, target, header, body)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Header: response.Header, Body: read}, err
}

func (c *Caller) do(ctx context.Context, method, address, target string, header http.Header, body string) (*http.Response, error) {
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

// chatPath is the endpoint for requests to models.
const chatPath = "/v1/chat/completions"

// Prompt is a request to a model.
type Prompt struct {
	Model   string
	Content string
	Tokens  int
	// Flex sends the request with the flex service tier, which may wait longer.
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

// ExpectedText returns the text that an engine generates for the prompt.
func (p Prompt) ExpectedText() string {
	var text strings.Builder
	prompt := []byte(p.messages())
	for i := range p.Tokens {
		text.WriteString(engineserver.Token(prompt, i))
	}
	return text.String()
}

// Complete requests a non-streaming response from a model.
func (c *Caller) Complete(ctx context.Context, address string, prompt Prompt) (Response, error) {
	return c.Send(ctx, http.MethodPost, address, chatPath, nil, prompt.body(false))
}

// StreamResult is the received part of a streaming response.
type StreamResult struct {
	Status int
	// ErrorResponse is the response if its status is not 200.
	ErrorResponse Response
	Text          string
	// Done is set if the final event arrived.
	Done bool
	// Failed is set if an error event arrived. FailureCode is its error code.
	Failed      bool
	FailureCode string
	// TimeToFirstToken is the time to the first token, and TokenGaps are the times
	// between tokens.
	TimeToFirstToken time.Duration
	TokenGaps        []time.Duration
}

// IsComplete reports whether the stream holds the complete response to a prompt.
func (s StreamResult) IsComplete(prompt Prompt) bool {
	return s.Done && s.Text == prompt.ExpectedText()
}

// HasForeignText reports whether the stream holds text of another response.
func (s StreamResult) HasForeignText(prompt Prompt) bool {
	return !strings.HasPrefix(prompt.ExpectedText(), s.Text)
}

// Stream requests a streaming response from a model and reads it until it ends.
func (c *Caller) Stream(ctx context.Context, address string, prompt Prompt) (StreamResult, error) {
	started := time.Now()
	response, err := c.do(ctx, http.MethodPost, address, chatPath, nil, prompt.body(true))
	if err != nil {
		return StreamResult{}, err
	}
	defer response.Body.Close()
	result := StreamResult{Status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		body, err := io.ReadAll(response.Body)
		result.ErrorResponse = Response{Status: response.StatusCode, Header: response.Header, Body: body}
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
		content := result.addEvent(data)
		if content == "" {
			continue
		}
		text.WriteString(content)
		now := time.Now()
		if result.TimeToFirstToken == 0 {
			result.TimeToFirstToken = now.Sub(started)
		} else {
			result.TokenGaps = append(result.TokenGaps, now.Sub(last))
		}
		last = now
	}
	result.Text = text.String()
	return result, lines.Err()
}

// addEvent records an event and returns the text in it.
func (s *StreamResult) addEvent(event []byte) string {
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
		Error *errorDetail `json:"error"`
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

// Discover asks an instance for the addresses that serve a workspace and a model.
func (c *Caller) Discover(ctx context.Context, address, workspace, model, zone string) (gateway.DiscoveryResponse, error) {
	query := url.Values{"workspace": {workspace}, "model": {model}, "availability_zone": {zone}}
	response, err := c.Send(ctx, http.MethodGet, address, "/discovery?"+query.Encode(), nil, "")
	var answer gateway.DiscoveryResponse
	if err == nil {
		err = json.Unmarshal(response.Body, &answer)
	}
	return answer, err
}
