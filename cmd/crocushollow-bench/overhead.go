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
	Rate   int           `help:"Requests per second on each path." default:"1000"`
	Length time.Duration `help:"Duration of the measurement." default:"5s"`
}

// Run sends the same requests directly to an engine and through an instance, at the
// same time, and prints the latency of both.
func (c overheadCommand) Run(ctx context.Context) error {
	config := stager.DefaultConfig()
	config.Engines, config.Services = 1, 0
	config.Engine.Slots = 512
	config.Engine.TokenInterval, config.Engine.PrefillTimePerToken = 0, 0
	config.Engine.ReportDelay = 0
	site, err := stager.Start(ctx, config)
	if err != nil {
		return err
	}
	defer site.Close()
	secret, err := c.setUp(ctx, site)
	if err != nil {
		return err
	}
	direct, proxied := newLatencyRecorder(), newLatencyRecorder()
	var group sync.WaitGroup
	group.Go(func() { c.send(ctx, caller.New(""), site.Engines[0].Address, direct) })
	group.Go(func() { c.send(ctx, caller.New(secret), site.Instances()[0].Callers, proxied) })
	group.Wait()
	fmt.Println(direct.summary("direct"))
	fmt.Println(proxied.summary("through an instance"))
	fmt.Printf("added: median %d us, p99 %d us\n",
		proxied.percentile(50)-direct.percentile(50), proxied.percentile(99)-direct.percentile(99))
	return nil
}

func (c overheadCommand) setUp(ctx context.Context, site *stager.Site) (string, error) {
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
	rows, secrets := site.Rows(workload, stager.DirectAddress)
	var changes []console.Change
	for _, row := range rows {
		changes = append(changes, console.NewInsert(row))
	}
	instance := site.Instances()[0]
	client := console.Client{Address: instance.Console, Operator: "bench"}
	if err := stager.ApplyChanges(ctx, client, changes...); err != nil {
		return "", err
	}
	return secrets["w"], stager.AwaitModel(ctx, instance.Callers, secrets["w"], "m")
}

// latencyRecorder records request latencies in microseconds.
type latencyRecorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	failed    int
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{histogram: hdrhistogram.New(1, 10_000_000, 3)}
}

func (l *latencyRecorder) percentile(percent float64) int64 {
	return l.histogram.ValueAtQuantile(percent)
}

func (l *latencyRecorder) summary(name string) string {
	return fmt.Sprintf("%-20s %6d requests, %d failed, median %d us, p99 %d us",
		name, l.histogram.TotalCount(), l.failed, l.percentile(50), l.percentile(99))
}

// warmUpTime is the time to open connections and obtain tokens and permits. Requests
// in this time are not measured.
const warmUpTime = time.Second

func (c overheadCommand) send(ctx context.Context, client *caller.Caller, address string, result *latencyRecorder) {
	ticker := time.NewTicker(time.Second / time.Duration(c.Rate))
	defer ticker.Stop()
	began := time.Now()
	var group sync.WaitGroup
	for time.Since(began) < warmUpTime+c.Length {
		<-ticker.C
		group.Go(func() {
			sent := time.Now()
			reply, err := client.Complete(ctx, address, caller.Prompt{Model: "m", Content: "hello", Tokens: 1})
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
