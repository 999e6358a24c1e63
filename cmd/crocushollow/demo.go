package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/standin/stager"
	"github.com/crocushollow/crocushollow/transport/console"
)

type demoCommand struct {
	Once     bool `help:"Check the site through real clients and quit."`
	Platform bool `help:"Run on a stand-in of the operators' platform."`
	Verbose  bool `help:"Show the logs of the instances."`
}

// demoInstances is the number of instances in the demo.
const demoInstances = 3

// startTimeout limits the time to start the demo.
const startTimeout = 30 * time.Second

// demoSite is the site of the demo with its API keys.
type demoSite struct {
	*stager.Site
	client console.Client
	// secrets maps a workspace to its API key.
	secrets map[string]string
}

// Run starts the site, then checks it or keeps it running until interrupted.
func (c demoCommand) Run(ctx context.Context) error {
	if c.Platform {
		return c.runOnPlatform(ctx)
	}
	site, err := c.start(ctx)
	if err != nil {
		return err
	}
	defer site.Close()
	if c.Once {
		return site.check(ctx)
	}
	site.printUsage()
	<-ctx.Done()
	return nil
}

func (c demoCommand) start(ctx context.Context) (*demoSite, error) {
	config := stager.DefaultConfig()
	if c.Verbose {
		config.Logger = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	stagedSite, err := stager.Start(ctx, config)
	if err != nil {
		return nil, err
	}
	site := &demoSite{Site: stagedSite}
	if err := site.setUp(ctx); err != nil {
		site.Close()
		return nil, err
	}
	return site, nil
}

func (s *demoSite) setUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.StartInstances(demoInstances); err != nil {
		return err
	}
	if err := s.AwaitReady(ctx); err != nil {
		return err
	}
	workload := stager.SampleWorkload()
	rows, secrets := s.Rows(workload, stager.DirectAddress)
	s.secrets = secrets
	s.client = console.Client{Address: s.sortedInstances()[0].Console, Operator: "demo"}
	var changes []console.Change
	for _, row := range rows {
		changes = append(changes, console.NewInsert(row))
	}
	if err := stager.ApplyChanges(ctx, s.client, changes...); err != nil {
		return err
	}
	for _, model := range workload.Models {
		if err := s.awaitModel(ctx, model.ID); err != nil {
			return err
		}
	}
	return s.awaitModel(ctx, workload.Adapters[0].ID)
}

// sortedInstances returns the instances sorted by ID.
func (s *demoSite) sortedInstances() []*stager.Instance {
	instances := s.Instances()
	slices.SortFunc(instances, func(a, b *stager.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

// awaitModel waits until all instances serve a model.
func (s *demoSite) awaitModel(ctx context.Context, model string) error {
	for _, instance := range s.Instances() {
		if err := stager.AwaitModel(ctx, instance.Callers, s.secrets["hives"], model); err != nil {
			return err
		}
	}
	return nil
}

func (s *demoSite) printUsage() {
	fmt.Println("Instances:")
	for _, instance := range s.sortedInstances() {
		fmt.Printf("  %-6s callers http://%s  operators %s\n", instance.ID, instance.Callers, instance.Console)
	}
	callers, operators := s.sortedInstances()[0].Callers, s.sortedInstances()[0].Console
	key := s.secrets["hives"]
	fmt.Printf(`
Keys:
  hives %s
  shoes %s
  trial %s (50 tokens a second)

Try:
  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"letters","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"wax foundation"}]}'
  curl http://%s/v1/embeddings -H 'Authorization: Bearer %s' -d '{"model":"stock-notes","input":"twelve frames"}'
  curl http://%s/orders -H 'Authorization: Bearer %s' -H 'Idempotency-Key: order-1' -d '{"pallets":1}'
  curl http://%s/stock
  curl 'http://%s/discovery?workspace=hives&model=letters'
  go run ./cmd/crocushollow --address %s status
  go run ./cmd/crocushollow --address %s table get workspaces
  go run ./cmd/crocushollow --address %s table set workspaces trial token_rate=500 --wait

Interrupt to stop.
`, key, s.secrets["shoes"], s.secrets["trial"], callers, key, callers, key, callers, key, callers, callers, operators, operators, operators)
}
