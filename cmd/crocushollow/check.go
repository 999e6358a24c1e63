package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/standin/caller"
	"github.com/crocushollow/crocushollow/standin/stager"
	"github.com/crocushollow/crocushollow/transport/console"
)

// check is one check of a demo.
type check struct {
	name string
	run  func(context.Context) error
}

// runChecks runs the checks of a demo, up to the first that fails.
func runChecks(ctx context.Context, checks []check) error {
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

// check runs the checks against the site with HTTP clients.
func (s *demoSite) check(ctx context.Context) error {
	return runChecks(ctx, []check{
		{"a streamed response is complete", s.checkStream},
		{"an embedding request succeeds", s.checkEmbedding},
		{"a repeated order runs exactly once", s.checkOrder},
		{"a route for anonymous callers needs no API key", s.checkAnonymousRoute},
		{"an unknown API key is rejected", s.checkUnknownKey},
		{"requests over the rate are rejected until Retry-After", s.checkRateLimit},
		{"no upstream receives an API key", s.checkKeyLeaks},
		{"an added model serves requests", s.checkAddedModel},
		{"a withdrawn key is rejected and its streams end", s.checkKeyWithdrawal},
		{"a graceful shutdown under load interrupts no request", s.checkGracefulShutdown},
	})
}

// firstAddress returns the caller address of the first instance.
func (s *demoSite) firstAddress() string { return s.sortedInstances()[0].Callers }

func (s *demoSite) checkStream(ctx context.Context) error {
	prompt := caller.Prompt{Model: "letters-breton", Content: "wax foundation", Tokens: 40}
	response, err := caller.New(s.secrets["hives"]).Stream(ctx, s.firstAddress(), prompt)
	if err != nil {
		return err
	}
	if !response.IsComplete(prompt) {
		return fmt.Errorf("status %d, done %t, text %q", response.Status, response.Done, response.Text)
	}
	return nil
}

func (s *demoSite) checkEmbedding(ctx context.Context) error {
	response, err := caller.New(s.secrets["shoes"]).Send(ctx, http.MethodPost, s.firstAddress(), "/v1/embeddings", nil,
		`{"model":"stock-notes","input":"twelve frames"}`)
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK || !bytes.Contains(response.Body, []byte(`"embedding":[`)) {
		return fmt.Errorf("status %d: %s", response.Status, response.Body)
	}
	return nil
}

func (s *demoSite) executionCount(key string) int {
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

// checkOrder sends the same order, with one idempotency key, to all instances.
func (s *demoSite) checkOrder(ctx context.Context) error {
	hives := caller.New(s.secrets["hives"])
	header := http.Header{"Idempotency-Key": {"order-1"}}
	var first []byte
	for _, instance := range s.Instances() {
		response, err := hives.Send(ctx, http.MethodPost, instance.Callers, "/orders", header, `{"pallets":1}`)
		if err != nil {
			return err
		}
		if first == nil {
			first = response.Body
		}
		if response.Status != http.StatusOK || !bytes.Equal(response.Body, first) {
			return fmt.Errorf("status %d: %s", response.Status, response.Body)
		}
	}
	if runs := s.executionCount("order-1"); runs != 1 {
		return fmt.Errorf("the order ran %d times", runs)
	}
	return nil
}

func (s *demoSite) checkAnonymousRoute(ctx context.Context) error {
	response, err := caller.New("").Send(ctx, http.MethodGet, s.firstAddress(), "/stock", nil, "")
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.Status, response.Body)
	}
	return nil
}

func (s *demoSite) checkUnknownKey(ctx context.Context) error {
	response, err := caller.New("ch-unknown").Complete(ctx, s.firstAddress(), caller.Prompt{Model: "letters", Content: "hello", Tokens: 1})
	if err != nil {
		return err
	}
	if response.Status != http.StatusUnauthorized || response.Outcome() != string(crocushollow.OutcomeNotRun) {
		return fmt.Errorf("status %d: %s", response.Status, response.Body)
	}
	return nil
}

// checkRateLimit uses up the burst of a workspace and retries after the time in
// Retry-After.
func (s *demoSite) checkRateLimit(ctx context.Context) error {
	const attempts = 20
	trial := caller.New(s.secrets["trial"])
	prompt := caller.Prompt{Model: "letters", Content: "hello", Tokens: 60}
	for range attempts {
		response, err := trial.Complete(ctx, s.firstAddress(), prompt)
		if err != nil {
			return err
		}
		if response.Status == http.StatusOK {
			continue
		}
		retryAfter, err := strconv.Atoi(response.Header.Get("Retry-After"))
		if response.Status != http.StatusTooManyRequests || response.Outcome() != string(crocushollow.OutcomeNotRun) || err != nil {
			return fmt.Errorf("status %d, Retry-After %q: %s", response.Status, response.Header.Get("Retry-After"), response.Body)
		}
		time.Sleep(time.Duration(retryAfter) * time.Second)
		response, err = trial.Complete(ctx, s.firstAddress(), prompt)
		if err != nil {
			return err
		}
		if response.Status != http.StatusOK {
			return fmt.Errorf("status %d after waiting %d s: %s", response.Status, retryAfter, response.Body)
		}
		return nil
	}
	return errors.New("no request was rejected")
}

func (s *demoSite) checkKeyLeaks(context.Context) error {
	for _, engine := range s.Engines {
		if leaked := engine.Server.Stats().LeakedCredentials; leaked > 0 {
			return fmt.Errorf("%s received %d API keys", engine.ID, leaked)
		}
	}
	for _, service := range s.Services {
		for _, execution := range service.Server.Executions() {
			if execution.LeakedCredentials {
				return fmt.Errorf("%s received an API key", service.ID)
			}
		}
	}
	return nil
}

func (s *demoSite) checkAddedModel(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	added := stager.NewModel("assembly-guides", 10)
	if err := stager.ApplyChanges(ctx, s.client, console.NewInsert(added)); err != nil {
		return err
	}
	return s.awaitModel(ctx, added.ID)
}

// withdrawalTimeout limits how long a withdrawn key may still be accepted.
const withdrawalTimeout = 4 * time.Second

func (s *demoSite) checkKeyWithdrawal(ctx context.Context) error {
	secret := crocushollow.NewAPIKeySecret()
	key := crocushollow.APIKey{ID: "short-lived", Workspace: "shoes", Digest: crocushollow.DigestKey(secret)}
	if err := stager.ApplyChanges(ctx, s.client, console.NewInsert(key)); err != nil {
		return err
	}
	streamed := make(chan caller.StreamResult, 1)
	go func() {
		prompt := caller.Prompt{Model: "letters", Content: "a very long letter", Tokens: 4000}
		response, _ := caller.New(secret).Stream(ctx, s.firstAddress(), prompt)
		streamed <- response
	}()
	time.Sleep(time.Second)
	withdrawn := time.Now()
	if err := stager.SetCells(ctx, s.client, key.Ref(), crocushollow.Cell{Column: "withdrawn", Text: "true"}); err != nil {
		return err
	}
	for _, instance := range s.Instances() {
		if err := awaitRejection(ctx, instance.Callers, secret, withdrawn); err != nil {
			return fmt.Errorf("%s: %w", instance.ID, err)
		}
	}
	select {
	case response := <-streamed:
		if response.Status != http.StatusOK || response.Done || !response.Failed {
			return fmt.Errorf("stream: status %d, done %t, failed %t", response.Status, response.Done, response.Failed)
		}
		return nil
	case <-time.After(withdrawalTimeout - time.Since(withdrawn)):
		return errors.New("the stream of a withdrawn key continues")
	}
}

// rejectionPollInterval is the time between two requests with a withdrawn key.
const rejectionPollInterval = 20 * time.Millisecond

func awaitRejection(ctx context.Context, address, secret string, since time.Time) error {
	c := caller.New(secret)
	for time.Since(since) < withdrawalTimeout {
		response, err := c.Complete(ctx, address, caller.Prompt{Model: "letters", Content: "hello", Tokens: 1})
		if err != nil {
			return err
		}
		if response.Status == http.StatusUnauthorized {
			return nil
		}
		time.Sleep(rejectionPollInterval)
	}
	return errors.New("the withdrawn key is still accepted")
}

// checkGracefulShutdown sends requests from several callers while one instance shuts
// down. The callers use the addresses that discovery returns.
func (s *demoSite) checkGracefulShutdown(ctx context.Context) error {
	const callers = 12
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopped, entry := s.sortedInstances()[0], s.sortedInstances()[1].Callers
	failures := make(chan error, callers)
	done := make(chan struct{})
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			if err := s.callUntilDone(ctx, entry, i, done); err != nil {
				failures <- err
			}
		})
	}
	time.Sleep(time.Second)
	stopped.Stop()
	s.Deregister(stopped.ID)
	time.Sleep(time.Second)
	close(done)
	group.Wait()
	close(failures)
	return <-failures
}

// callUntilDone sends streaming requests sequentially to the addresses that discovery
// returns.
func (s *demoSite) callUntilDone(ctx context.Context, entry string, number int, done chan struct{}) error {
	c := caller.New(s.secrets["hives"])
	prompt := caller.Prompt{Model: "letters", Content: fmt.Sprintf("caller %d", number), Tokens: 30}
	for {
		discovered, err := c.Discover(ctx, entry, "hives", prompt.Model, "")
		if err != nil {
			return err
		}
		if len(discovered.Addresses) == 0 {
			return errors.New("discovery returned no addresses")
		}
		until := time.Now().Add(time.Duration(discovered.TTLMS) * time.Millisecond)
		for time.Now().Before(until) {
			select {
			case <-done:
				return nil
			default:
			}
			address := discovered.Addresses[number%len(discovered.Addresses)]
			response, err := c.Stream(ctx, address, prompt)
			if err != nil || !response.IsComplete(prompt) {
				return fmt.Errorf("request to %s: status %d, done %t, error %w: %s", address, response.Status, response.Done, err, response.ErrorResponse.Body)
			}
		}
	}
}
