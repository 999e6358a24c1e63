package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/standin/engineserver"
	"github.com/crocushollow/crocushollow/transport/console"
)

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// outcome returns the outcome that an error answer carries.
func (r reply) outcome() string {
	var failure struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal(r.body, &failure)
	return failure.Error.Outcome
}

func send(ctx context.Context, method, target, key string, header http.Header, body string) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	if header != nil {
		request.Header = header
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: read}, err
}

func chatBody(model, content string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		model, stream, tokens, content)
}

// complete asks a model for a whole answer to a short message.
func complete(ctx context.Context, address, key, model string, tokens int) (reply, error) {
	return send(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", key, nil, chatBody(model, "hello", tokens, false))
}

// streamed is what a caller got of a stream.
type streamed struct {
	status int
	text   string
	whole  bool
}

// stream asks a model for a streamed answer and reads it to its end.
func stream(ctx context.Context, address, key, model, content string, tokens int) (streamed, error) {
	body := chatBody(model, content, tokens, true)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return streamed{}, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return streamed{}, err
	}
	defer response.Body.Close()
	result := streamed{status: response.StatusCode}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, isData := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		switch {
		case !isData:
		case string(data) == "[DONE]":
			result.whole = true
		default:
			result.text += contentOf(data)
		}
	}
	return result, lines.Err()
}

func contentOf(event []byte) string {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal(event, &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// expectedText returns what an engine generates for a message.
func expectedText(content string, tokens int) string {
	prompt := []byte(fmt.Sprintf(`[{"role":"user","content":%q}]`, content))
	var text strings.Builder
	for i := range tokens {
		text.WriteString(engineserver.Token(prompt, i))
	}
	return text.String()
}

// check drives the site through real clients.
func (s *demoSite) check(ctx context.Context) error {
	checks := []struct {
		name string
		run  func(context.Context) error
	}{
		{"a streamed answer arrives whole", s.checkStream},
		{"an embedding arrives", s.checkEmbedding},
		{"an order runs exactly once", s.checkOrder},
		{"an open route needs no key", s.checkOpenRoute},
		{"an unknown key is refused", s.checkUnknownKey},
		{"a workspace over its rate is refused until Retry-After", s.checkRate},
		{"no upstream has seen a caller's key", s.checkLeaks},
		{"an added model answers", s.checkAddedModel},
		{"a withdrawn key stops everywhere, also in a stream", s.checkWithdrawal},
		{"a planned stop under load cuts nothing", s.checkPlannedStop},
	}
	for _, c := range checks {
		started := time.Now()
		if err := c.run(ctx); err != nil {
			return fmt.Errorf("check failed: %s: %w", c.name, err)
		}
		fmt.Printf("ok  %-58s %6.2f s\n", c.name, time.Since(started).Seconds())
	}
	fmt.Printf("demo: %d checks passed\n", len(checks))
	return nil
}

func (s *demoSite) checkStream(ctx context.Context) error {
	const tokens = 40
	got, err := stream(ctx, s.Instances()[0].Callers, s.keys["hives"], "letters-breton", "wax foundation", tokens)
	if err != nil {
		return err
	}
	if !got.whole || got.text != expectedText("wax foundation", tokens) {
		return fmt.Errorf("status %d, whole %t, text %q", got.status, got.whole, got.text)
	}
	return nil
}

func (s *demoSite) checkEmbedding(ctx context.Context) error {
	got, err := send(ctx, http.MethodPost, "http://"+s.Instances()[0].Callers+"/v1/embeddings", s.keys["shoes"], nil,
		`{"model":"stock-notes","input":"twelve frames"}`)
	if err != nil {
		return err
	}
	if got.status != http.StatusOK || !bytes.Contains(got.body, []byte(`"embedding":[`)) {
		return fmt.Errorf("status %d: %s", got.status, got.body)
	}
	return nil
}

func (s *demoSite) executions(key string) int {
	count := 0
	for _, service := range s.Services {
		for _, execution := range service.Server.Executions() {
			if execution.Key == key {
				count++
			}
		}
	}
	return count
}

// checkOrder sends the same order to every instance.
func (s *demoSite) checkOrder(ctx context.Context) error {
	var first []byte
	for _, instance := range s.Instances() {
		header := http.Header{"Idempotency-Key": {"order-1"}}
		got, err := send(ctx, http.MethodPost, "http://"+instance.Callers+"/orders", s.keys["hives"], header, `{"pallets":1}`)
		if err != nil {
			return err
		}
		if first == nil {
			first = got.body
		}
		if got.status != http.StatusOK || !bytes.Equal(got.body, first) {
			return fmt.Errorf("status %d: %s", got.status, got.body)
		}
	}
	if runs := s.executions("order-1"); runs != 1 {
		return fmt.Errorf("the order ran %d times", runs)
	}
	return nil
}

func (s *demoSite) checkOpenRoute(ctx context.Context) error {
	got, err := send(ctx, http.MethodGet, "http://"+s.Instances()[0].Callers+"/stock", "", nil, "")
	if err != nil {
		return err
	}
	if got.status != http.StatusOK {
		return fmt.Errorf("status %d: %s", got.status, got.body)
	}
	return nil
}

func (s *demoSite) checkUnknownKey(ctx context.Context) error {
	got, err := complete(ctx, s.Instances()[0].Callers, "ch-unknown", "letters", 1)
	if err != nil {
		return err
	}
	if got.status != http.StatusUnauthorized || got.outcome() != string(crocushollow.NotRun) {
		return fmt.Errorf("status %d: %s", got.status, got.body)
	}
	return nil
}

// checkRate uses up the burst of a workspace, and comes back when told to.
func (s *demoSite) checkRate(ctx context.Context) error {
	const attempts, tokens = 20, 60
	address := s.Instances()[0].Callers
	for range attempts {
		got, err := complete(ctx, address, s.keys["trial"], "letters", tokens)
		if err != nil {
			return err
		}
		if got.status == http.StatusOK {
			continue
		}
		after, err := strconv.Atoi(got.header.Get("Retry-After"))
		if got.status != http.StatusTooManyRequests || got.outcome() != string(crocushollow.NotRun) || err != nil {
			return fmt.Errorf("status %d, Retry-After %q: %s", got.status, got.header.Get("Retry-After"), got.body)
		}
		time.Sleep(time.Duration(after) * time.Second)
		got, err = complete(ctx, address, s.keys["trial"], "letters", tokens)
		if err != nil {
			return err
		}
		if got.status != http.StatusOK {
			return fmt.Errorf("status %d after waiting %d s: %s", got.status, after, got.body)
		}
		return nil
	}
	return errors.New("the workspace was never refused")
}

func (s *demoSite) checkLeaks(context.Context) error {
	for _, engine := range s.Engines {
		if leaked := engine.Server.Observe().LeakedKeys; leaked > 0 {
			return fmt.Errorf("%s saw %d keys", engine.ID, leaked)
		}
	}
	for _, service := range s.Services {
		for _, execution := range service.Server.Executions() {
			if execution.LeakedKey {
				return fmt.Errorf("%s saw a key", service.ID)
			}
		}
	}
	return nil
}

func (s *demoSite) checkAddedModel(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	added := change(crocushollow.ModelTable, "assembly-guides", "memory_bytes", gibibytes(10))
	if err := s.edit(ctx, []console.Change{added}); err != nil {
		return err
	}
	return s.awaitModel(ctx, "assembly-guides")
}

// withdrawalLimit bounds how long a withdrawn key may still work.
const withdrawalLimit = 4 * time.Second

func (s *demoSite) checkWithdrawal(ctx context.Context) error {
	secret := newSecret()
	if err := s.edit(ctx, []console.Change{keyChange("short-lived", "shoes", secret)}); err != nil {
		return err
	}
	type ended struct {
		got streamed
		err error
	}
	running := make(chan ended, 1)
	go func() {
		got, err := stream(ctx, s.Instances()[0].Callers, secret, "letters", "a very long letter", 4000)
		running <- ended{got, err}
	}()
	time.Sleep(time.Second)
	table, err := s.client.Table(ctx, crocushollow.KeyTable)
	if err != nil {
		return err
	}
	row, _ := findRow(table, "short-lived")
	withdrawn := time.Now()
	withdrawal := change(crocushollow.KeyTable, "short-lived", "withdrawn", "true")
	withdrawal.Base = row.Revision
	if _, err := s.client.Edit(ctx, []console.Change{withdrawal}); err != nil {
		return err
	}
	for _, instance := range s.Instances() {
		if err := awaitRefusal(ctx, instance.Callers, secret, withdrawn); err != nil {
			return fmt.Errorf("%s: %w", instance.ID, err)
		}
	}
	select {
	case end := <-running:
		if end.got.status != http.StatusOK || end.got.whole {
			return fmt.Errorf("stream: status %d, whole %t", end.got.status, end.got.whole)
		}
		return nil
	case <-time.After(withdrawalLimit - time.Since(withdrawn)):
		return errors.New("the stream goes on")
	}
}

func awaitRefusal(ctx context.Context, address, key string, since time.Time) error {
	for time.Since(since) < withdrawalLimit {
		got, err := complete(ctx, address, key, "letters", 1)
		if err != nil {
			return err
		}
		if got.status == http.StatusUnauthorized {
			return nil
		}
		time.Sleep(readPause)
	}
	return errors.New("the key still works")
}

const readPause = 20 * time.Millisecond

// checkPlannedStop keeps callers busy while one instance stops. The callers
// follow discovery, as real ones do.
func (s *demoSite) checkPlannedStop(ctx context.Context) error {
	const callers = 12
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopped := s.Instances()[0]
	entry := s.Instances()[1].Callers
	failures := make(chan error, callers)
	finish := make(chan struct{})
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			if err := s.callUntil(ctx, entry, fmt.Sprintf("caller %d", i), finish); err != nil {
				failures <- err
			}
		})
	}
	time.Sleep(time.Second)
	stopped.Stop()
	s.Forget(stopped.ID)
	time.Sleep(time.Second)
	close(finish)
	group.Wait()
	close(failures)
	return <-failures
}

// callUntil sends streams one after the other to the addresses that discovery
// answers.
func (s *demoSite) callUntil(ctx context.Context, entry, content string, finish chan struct{}) error {
	const tokens = 30
	var known struct {
		Addresses []string `json:"addresses"`
		TTLMS     int64    `json:"ttl_ms"`
	}
	var askedAt time.Time
	for n := 0; ; n++ {
		select {
		case <-finish:
			return nil
		default:
		}
		if time.Since(askedAt) >= time.Duration(known.TTLMS)*time.Millisecond {
			askedAt = time.Now()
			got, err := send(ctx, http.MethodGet, "http://"+entry+"/discovery?workspace=hives&model="+content[len(content)-1:], "", nil, "")
			if err != nil {
				return err
			}
			if err := json.Unmarshal(got.body, &known); err != nil || len(known.Addresses) == 0 {
				return fmt.Errorf("discovery answered %s", got.body)
			}
		}
		address := known.Addresses[n%len(known.Addresses)]
		got, err := stream(ctx, address, s.keys["hives"], "letters", content, tokens)
		if err != nil || !got.whole || got.text != expectedText(content, tokens) {
			return fmt.Errorf("call to %s: status %d, whole %t: %w", address, got.status, got.whole, err)
		}
	}
}
