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

// first returns the caller address of the first instance.
func (s *demoSite) first() string { return s.sorted()[0].Callers }

func (s *demoSite) checkStream(ctx context.Context) error {
	prompt := caller.Prompt{Model: "letters-breton", Content: "wax foundation", Tokens: 40}
	got, err := caller.New(s.secrets["hives"]).Stream(ctx, s.first(), prompt)
	if err != nil {
		return err
	}
	if !got.IsWhole(prompt) {
		return fmt.Errorf("status %d, done %t, text %q", got.Status, got.Done, got.Text)
	}
	return nil
}

func (s *demoSite) checkEmbedding(ctx context.Context) error {
	got, err := caller.New(s.secrets["shoes"]).Send(ctx, http.MethodPost, s.first(), "/v1/embeddings", nil,
		`{"model":"stock-notes","input":"twelve frames"}`)
	if err != nil {
		return err
	}
	if got.Status != http.StatusOK || !bytes.Contains(got.Body, []byte(`"embedding":[`)) {
		return fmt.Errorf("status %d: %s", got.Status, got.Body)
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
	hives := caller.New(s.secrets["hives"])
	header := http.Header{"Idempotency-Key": {"order-1"}}
	var first []byte
	for _, instance := range s.Instances() {
		got, err := hives.Send(ctx, http.MethodPost, instance.Callers, "/orders", header, `{"pallets":1}`)
		if err != nil {
			return err
		}
		if first == nil {
			first = got.Body
		}
		if got.Status != http.StatusOK || !bytes.Equal(got.Body, first) {
			return fmt.Errorf("status %d: %s", got.Status, got.Body)
		}
	}
	if runs := s.executions("order-1"); runs != 1 {
		return fmt.Errorf("the order ran %d times", runs)
	}
	return nil
}

func (s *demoSite) checkOpenRoute(ctx context.Context) error {
	got, err := caller.New("").Send(ctx, http.MethodGet, s.first(), "/stock", nil, "")
	if err != nil {
		return err
	}
	if got.Status != http.StatusOK {
		return fmt.Errorf("status %d: %s", got.Status, got.Body)
	}
	return nil
}

func (s *demoSite) checkUnknownKey(ctx context.Context) error {
	got, err := caller.New("ch-unknown").Complete(ctx, s.first(), caller.Prompt{Model: "letters", Content: "hello", Tokens: 1})
	if err != nil {
		return err
	}
	if got.Status != http.StatusUnauthorized || got.Outcome() != string(crocushollow.OutcomeNotRun) {
		return fmt.Errorf("status %d: %s", got.Status, got.Body)
	}
	return nil
}

// checkRate uses up the burst of a workspace, and comes back when told to.
func (s *demoSite) checkRate(ctx context.Context) error {
	const attempts = 20
	trial := caller.New(s.secrets["trial"])
	prompt := caller.Prompt{Model: "letters", Content: "hello", Tokens: 60}
	for range attempts {
		got, err := trial.Complete(ctx, s.first(), prompt)
		if err != nil {
			return err
		}
		if got.Status == http.StatusOK {
			continue
		}
		after, err := strconv.Atoi(got.Header.Get("Retry-After"))
		if got.Status != http.StatusTooManyRequests || got.Outcome() != string(crocushollow.OutcomeNotRun) || err != nil {
			return fmt.Errorf("status %d, Retry-After %q: %s", got.Status, got.Header.Get("Retry-After"), got.Body)
		}
		time.Sleep(time.Duration(after) * time.Second)
		got, err = trial.Complete(ctx, s.first(), prompt)
		if err != nil {
			return err
		}
		if got.Status != http.StatusOK {
			return fmt.Errorf("status %d after waiting %d s: %s", got.Status, after, got.Body)
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
	added := stager.NewModel("assembly-guides", 10)
	if err := stager.Edit(ctx, s.client, console.NewInsert(added)); err != nil {
		return err
	}
	return s.awaitModel(ctx, added.ID)
}

// withdrawalLimit bounds how long a withdrawn key may still work.
const withdrawalLimit = 4 * time.Second

func (s *demoSite) checkWithdrawal(ctx context.Context) error {
	secret := crocushollow.NewAPIKeySecret()
	key := crocushollow.APIKey{ID: "short-lived", Workspace: "shoes", Digest: crocushollow.DigestKey(secret)}
	if err := stager.Edit(ctx, s.client, console.NewInsert(key)); err != nil {
		return err
	}
	running := make(chan caller.Streamed, 1)
	go func() {
		prompt := caller.Prompt{Model: "letters", Content: "a very long letter", Tokens: 4000}
		got, _ := caller.New(secret).Stream(ctx, s.first(), prompt)
		running <- got
	}()
	time.Sleep(time.Second)
	withdrawn := time.Now()
	if err := stager.SetCells(ctx, s.client, key.Ref(), crocushollow.Cell{Column: "withdrawn", Text: "true"}); err != nil {
		return err
	}
	for _, instance := range s.Instances() {
		if err := awaitRefusal(ctx, instance.Callers, secret, withdrawn); err != nil {
			return fmt.Errorf("%s: %w", instance.ID, err)
		}
	}
	select {
	case got := <-running:
		if got.Status != http.StatusOK || got.Done || !got.Failed {
			return fmt.Errorf("stream: status %d, done %t, failed %t", got.Status, got.Done, got.Failed)
		}
		return nil
	case <-time.After(withdrawalLimit - time.Since(withdrawn)):
		return errors.New("the stream goes on")
	}
}

// refusalPoll is the time between two tries of a withdrawn key.
const refusalPoll = 20 * time.Millisecond

func awaitRefusal(ctx context.Context, address, secret string, since time.Time) error {
	c := caller.New(secret)
	for time.Since(since) < withdrawalLimit {
		got, err := c.Complete(ctx, address, caller.Prompt{Model: "letters", Content: "hello", Tokens: 1})
		if err != nil {
			return err
		}
		if got.Status == http.StatusUnauthorized {
			return nil
		}
		time.Sleep(refusalPoll)
	}
	return errors.New("the key still works")
}

// checkPlannedStop keeps callers busy while one instance stops. The callers
// follow discovery, as real ones do.
func (s *demoSite) checkPlannedStop(ctx context.Context) error {
	const callers = 12
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopped, entry := s.sorted()[0], s.sorted()[1].Callers
	failures := make(chan error, callers)
	finish := make(chan struct{})
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			if err := s.callUntil(ctx, entry, i, finish); err != nil {
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
func (s *demoSite) callUntil(ctx context.Context, entry string, number int, finish chan struct{}) error {
	c := caller.New(s.secrets["hives"])
	prompt := caller.Prompt{Model: "letters", Content: fmt.Sprintf("caller %d", number), Tokens: 30}
	for {
		known, err := c.Discover(ctx, entry, "hives", prompt.Model, "")
		if err != nil {
			return err
		}
		if len(known.Addresses) == 0 {
			return errors.New("discovery answers no address")
		}
		until := time.Now().Add(time.Duration(known.TTLMS) * time.Millisecond)
		for time.Now().Before(until) {
			select {
			case <-finish:
				return nil
			default:
			}
			address := known.Addresses[number%len(known.Addresses)]
			got, err := c.Stream(ctx, address, prompt)
			if err != nil || !got.IsWhole(prompt) {
				return fmt.Errorf("call to %s: status %d, done %t, error %w: %s", address, got.Status, got.Done, err, got.Refusal.Body)
			}
		}
	}
}
