package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/standin/stager"
	"github.com/crocushollow/crocushollow/transport/console"
)

type demoCommand struct {
	Once    bool `help:"Check the site through real clients and quit."`
	Verbose bool `help:"Show the logs of the instances."`
}

// demoInstances is the number of instances of the demo site.
const demoInstances = 3

// startTimeout bounds the start of the demo site.
const startTimeout = 30 * time.Second

// demoSite is the demo's site with the keys that it has given out.
type demoSite struct {
	*stager.Site
	client console.Client
	// keys holds each workspace's secret.
	keys map[string]string
}

// Run starts the site, and checks it or stays up until interrupted.
func (c demoCommand) Run(ctx context.Context) error {
	site, err := c.start(ctx)
	if err != nil {
		return err
	}
	defer site.Close()
	if c.Once {
		return site.check(ctx)
	}
	site.printUse()
	<-ctx.Done()
	return nil
}

func (c demoCommand) start(ctx context.Context) (*demoSite, error) {
	config := stager.DefaultConfig()
	if c.Verbose {
		config.Logger = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	staged, err := stager.Start(ctx, config)
	if err != nil {
		return nil, err
	}
	site := &demoSite{Site: staged, keys: make(map[string]string)}
	if err := site.prepare(ctx); err != nil {
		site.Close()
		return nil, err
	}
	return site, nil
}

func (s *demoSite) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.StartInstances(demoInstances); err != nil {
		return err
	}
	if err := s.AwaitReady(ctx); err != nil {
		return err
	}
	s.client = console.Client{Address: s.Instances()[0].Console, Operator: "demo"}
	if err := s.edit(ctx, s.sampleRows()); err != nil {
		return err
	}
	for _, model := range []string{"stock-notes", "letters", "letters-breton"} {
		if err := s.awaitModel(ctx, model); err != nil {
			return err
		}
	}
	return nil
}

// edit publishes changes, all of which must be accepted, and waits until they
// are in force.
func (s *demoSite) edit(ctx context.Context, changes []console.Change) error {
	results, err := s.client.Edit(ctx, changes)
	if err != nil {
		return err
	}
	var last uint64
	for _, result := range results {
		if result.Error != "" {
			return errors.New(result.Error)
		}
		last = max(last, result.Offset)
	}
	_, err = s.client.Wait(ctx, last)
	return err
}

// change returns a change of a row with cells given as column, text pairs.
func change(table crocushollow.TableName, id string, pairs ...string) console.Change {
	c := console.Change{Table: table, ID: id}
	for i := 0; i+1 < len(pairs); i += 2 {
		c.Cells = append(c.Cells, crocushollow.Cell{Column: pairs[i], Text: pairs[i+1]})
	}
	return c
}

// sampleRows returns the rows of the demo site.
func (s *demoSite) sampleRows() []console.Change {
	rows := []console.Change{
		change(crocushollow.LimitTable, crocushollow.WeightStoreLimitID, "rate", "8", "burst", "16", "max_in_flight", "70"),
		change(crocushollow.WorkspaceTable, "hives", "token_rate", "20000", "token_burst", "40000", "weight", "2"),
		change(crocushollow.WorkspaceTable, "shoes", "token_rate", "20000", "token_burst", "40000"),
		change(crocushollow.WorkspaceTable, "trial", "token_rate", "50", "token_burst", "300"),
		change(crocushollow.ModelTable, "stock-notes", "memory_bytes", gibibytes(20), "min_replicas", "2"),
		change(crocushollow.ModelTable, "letters", "memory_bytes", gibibytes(30), "min_replicas", "2"),
		change(crocushollow.AdapterTable, "letters-breton", "model", "letters", "memory_bytes", gibibytes(1)),
	}
	for _, workspace := range []string{"hives", "shoes", "trial"} {
		s.keys[workspace] = newSecret()
		rows = append(rows, keyChange(workspace+"-key", workspace, s.keys[workspace]))
	}
	for _, zone := range s.Config.AvailabilityZones {
		rows = append(rows, change(crocushollow.AvailabilityZoneTable, zone))
	}
	return append(rows, s.upstreamRows()...)
}

func gibibytes(count int64) string { return fmt.Sprint(count << 30) }

func (s *demoSite) upstreamRows() []console.Change {
	var rows []console.Change
	for _, engine := range s.Engines {
		rows = append(rows, change(crocushollow.UpstreamTable, engine.ID,
			"address", engine.Address, "availability_zone", engine.Zone,
			"memory_bytes", fmt.Sprint(s.Config.Engine.MemoryBytes),
			"max_in_flight", fmt.Sprint(s.Config.Engine.Slots), "checks_fencing", fmt.Sprint(engine.Checks)))
	}
	services := ""
	for _, service := range s.Services {
		rows = append(rows, change(crocushollow.UpstreamTable, service.ID, "kind", "service",
			"address", service.Address, "availability_zone", service.Zone))
		services += service.ID + " "
	}
	return append(rows,
		change(crocushollow.RouteTable, "orders", "path_prefix", "/orders", "upstreams", services, "timeout", "10s"),
		change(crocushollow.RouteTable, "stock", "path_prefix", "/stock", "upstreams", services, "open", "true", "repeatable", "true"))
}

// modelPoll is the time between two tries to reach a model.
const modelPoll = 100 * time.Millisecond

// awaitModel waits until a model answers at every instance.
func (s *demoSite) awaitModel(ctx context.Context, model string) error {
	for _, instance := range s.Instances() {
		for {
			answer, err := complete(ctx, instance.Callers, s.keys["hives"], model, 1)
			if err == nil && answer.status == 200 {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("model %s does not answer: %w", model, errors.Join(err, ctx.Err()))
			case <-time.After(modelPoll):
			}
		}
	}
	return nil
}

func (s *demoSite) printUse() {
	fmt.Println("Instances:")
	for _, instance := range s.Instances() {
		fmt.Printf("  %-6s callers http://%s  operators %s\n", instance.ID, instance.Callers, instance.Console)
	}
	callers, operators := s.Instances()[0].Callers, s.Instances()[0].Console
	key := s.keys["hives"]
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
`, key, s.keys["shoes"], s.keys["trial"], callers, key, callers, key, callers, key, callers, callers, operators, operators, operators)
}
