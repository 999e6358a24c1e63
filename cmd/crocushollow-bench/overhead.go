package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/standin/caller"
	"github.com/crocushollow/crocushollow/standin/stager"
	"github.com/crocushollow/crocushollow/transport/console"
)

type overheadCommand struct {
	Rate   int           `help:"Requests a second to each side." default:"1000"`
	Length time.Duration `help:"How long both sides are measured." default:"5s"`
}

// Run sends the same requests to an engine directly and through an instance,
// side by side, and prints both latencies.
func (c overheadCommand) Run(ctx context.Context) error {
	config := stager.DefaultConfig()
	config.Engines, config.Services = 1, 0
	config.Engine.Slots = 512
	config.Engine.TokenTime, config.Engine.PrefillTime = 0, 0
	config.Engine.ReportLag = 0
	site, err := stager.Start(ctx, config)
	if err != nil {
		return err
	}
	defer site.Close()
	secret, err := c.prepare(ctx, site)
	if err != nil {
		return err
	}
	direct, through := newLatency(), newLatency()
	var group sync.WaitGroup
	group.Go(func() { c.send(ctx, caller.New(""), site.Engines[0].Address, direct) })
	group.Go(func() { c.send(ctx, caller.New(secret), site.Instances()[0].Callers, through) })
	group.Wait()
	fmt.Println(direct.line("direct"))
	fmt.Println(through.line("through an instance"))
	fmt.Printf("added: median %d us, p99 %d us\n",
		through.at(50)-direct.at(50), through.at(99)-direct.at(99))
	return nil
}

func (c overheadCommand) prepare(ctx context.Context, site *stager.Site) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := site.StartInstances(1); err != nil {
		return "", err
	}
	if err := site.AwaitReady(ctx); err != nil {
		return "", err
	}
	workload := stager.Workload{
		Workspaces: []crocushollow.Workspace{{ID: "w", TokenRate: 1 << 30, TokenBurst: 1 << 30, Weight: 1}},
		Models:     []crocushollow.Model{stager.NewModel("m", 1)},
	}
	rows, secrets := site.Rows(workload, stager.Direct)
	var changes []console.Change
	for _, row := range rows {
		changes = append(changes, console.NewInsert(row))
	}
	instance := site.Instances()[0]
	client := console.Client{Address: instance.Console, Operator: "bench"}
	if err := stager.Edit(ctx, client, changes...); err != nil {
		return "", err
	}
	return secrets["w"], stager.AwaitModel(ctx, instance.Callers, secrets["w"], "m")
}

// latency gathers the times of requests in microseconds.
type latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	failed    int
}

func newLatency() *latency { return &latency{histogram: hdrhistogram.New(1, 10_000_000, 3)} }

func (l *latency) at(percentile float64) int64 { return l.histogram.ValueAtQuantile(percentile) }

func (l *latency) line(name string) string {
	return fmt.Sprintf("%-20s %6d requests, %d failed, median %d us, p99 %d us",
		name, l.histogram.TotalCount(), l.failed, l.at(50), l.at(99))
}

// warmUpTime lets connections and units be in place before the measurement.
const warmUpTime = time.Second

func (c overheadCommand) send(ctx context.Context, from *caller.Caller, address string, result *latency) {
	ticker := time.NewTicker(time.Second / time.Duration(c.Rate))
	defer ticker.Stop()
	began := time.Now()
	var group sync.WaitGroup
	for time.Since(began) < warmUpTime+c.Length {
		<-ticker.C
		group.Go(func() {
			sent := time.Now()
			reply, err := from.Complete(ctx, address, caller.Prompt{Model: "m", Content: "hello", Tokens: 1})
			took := time.Since(sent)
			if sent.Sub(began) < warmUpTime {
				return
			}
			result.mu.Lock()
			defer result.mu.Unlock()
			if err != nil || reply.Status != http.StatusOK {
				result.failed++
				return
			}
			_ = result.histogram.RecordValue(max(took.Microseconds(), 1))
		})
	}
	group.Wait()
}
