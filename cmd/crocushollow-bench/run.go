package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/standin/stager"
	"github.com/crocushollow/crocushollow/transport/console"
	"github.com/crocushollow/crocushollow/transport/messenger"
)

type listCommand struct{}

// Run prints the scenarios.
func (listCommand) Run() error {
	for _, s := range scenarios {
		if _, err := fmt.Printf("%-12s %s\n", s.name, s.help); err != nil {
			return err
		}
	}
	return nil
}

type runCommand struct {
	Name    string        `arg:"" help:"Name of the scenario."`
	Seed    uint64        `help:"Seed of the random load." default:"1"`
	Site    string        `help:"Size of the site." enum:"kowhai,chaussons" default:"kowhai"`
	Against string        `help:"Policy to compare with, such as baseline, round_robin or fifo, or none." default:"baseline"`
	Length  time.Duration `help:"Duration of the load for each policy." default:"15s"`
	Out     string        `help:"Directory for the result." type:"path"`
}

// report is the result of a scenario.
type report struct {
	Scenario   string         `json:"scenario"`
	Seed       uint64         `json:"seed"`
	Site       string         `json:"site"`
	Violations map[string]int `json:"violations"`
	Measures   measurements   `json:"measures"`
	Against    string         `json:"against,omitempty"`
	Baseline   *measurements  `json:"baseline,omitempty"`
}

// errInvariantViolated reports that a run violated an invariant.
var errInvariantViolated = errors.New("an invariant was violated")

// Run runs the scenario under the system's own policy and under the policy to compare
// with.
func (c runCommand) Run(ctx context.Context) error {
	s, found := findScenario(c.Name)
	if !found {
		return fmt.Errorf("no scenario %q", c.Name)
	}
	result := report{Scenario: c.Name, Seed: c.Seed, Site: c.Site}
	ownRun, err := c.runPolicy(ctx, s, "own")
	if err != nil {
		return err
	}
	result.Violations, result.Measures = ownRun.countViolations(), ownRun.measure()
	if _, known := policies[c.Against]; known {
		otherRun, err := c.runPolicy(ctx, s, c.Against)
		if err != nil {
			return err
		}
		baseline := otherRun.measure()
		result.Against, result.Baseline = c.Against, &baseline
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		return err
	}
	fmt.Println(string(encoded))
	if c.Out != "" {
		file := filepath.Join(c.Out, fmt.Sprintf("%s-%s-%d.json", c.Name, c.Site, c.Seed))
		if err := os.WriteFile(file, encoded, 0o600); err != nil {
			return err
		}
	}
	if len(result.Violations) > 0 {
		return errInvariantViolated
	}
	return nil
}

// run is the state of one scenario under one policy.
type run struct {
	scenario scenario
	size     siteSize
	site     *stager.Site
	client   console.Client
	workload stager.Workload
	secrets  map[string]string
	length   time.Duration
	// capacity is the throughput of all engines in tokens per second.
	capacity  float64
	random    *rand.Rand
	startedAt time.Time

	mu         sync.Mutex
	results    []modelResult
	orders     []orderResult
	violations map[string]int
	replaced   int
	// withdrawnAt is the time at which the scenario withdrew a key, or zero.
	withdrawnAt      time.Time
	cpu              time.Duration
	bytesTransferred uint64
	members          int
	// initialLoads is the number of loads from the weight store before the load
	// starts.
	initialLoads int
}

// startTimeout limits the time to start a site.
const startTimeout = 60 * time.Second

func (c runCommand) runPolicy(ctx context.Context, s scenario, policy string) (*run, error) {
	config := stager.DefaultConfig()
	size := sites[c.Site]
	config.AvailabilityZones, config.Engines, config.Services = size.zones, size.engines, size.services
	config.Store = size.store
	config.Store.Rate, config.Store.Burst = setupLoadRate, setupLoadRate
	config.Settings.Policy = policies[policy]
	if policy == "baseline" {
		config.Settings.Discovery.Subset = 0
	}
	site, err := stager.Start(ctx, config)
	if err != nil {
		return nil, err
	}
	defer site.Close()
	engine := config.Engine
	r := &run{
		scenario: s, size: size, site: site, length: c.Length,
		capacity:   float64(size.engines*engine.Slots) / (2 * engine.TokenInterval.Seconds()),
		random:     rand.New(rand.NewPCG(c.Seed, 1)),
		violations: make(map[string]int),
	}
	if err := r.setUp(ctx); err != nil {
		return nil, err
	}
	fmt.Fprintf(os.Stderr, "%s, %s, policy %s: load starts\n", s.name, c.Site, policy)
	r.runLoad(ctx)
	return r, nil
}

// setupLoadRate is the loads per second that the weight store accepts during setup.
// The rate of the site applies when the load starts.
const setupLoadRate = 200

func (r *run) setUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.site.StartInstances(instancesPerSite); err != nil {
		return err
	}
	if err := r.site.AwaitReady(ctx); err != nil {
		return err
	}
	r.workload = r.size.workload(r.capacity)
	rows, secrets := r.site.Rows(r.workload, stager.DirectAddress)
	r.secrets = secrets
	r.client = console.Client{Address: r.site.Instances()[0].Console, Operator: "bench"}
	var changes []console.Change
	for _, row := range rows {
		changes = append(changes, console.NewInsert(row))
	}
	if err := stager.ApplyChanges(ctx, r.client, changes...); err != nil {
		return err
	}
	instances := r.site.Instances()
	for i, model := range r.workload.Models {
		address := instances[i%len(instances)].Callers
		if err := stager.AwaitModel(ctx, address, r.secrets[workspaceID(0)], model.ID); err != nil {
			return err
		}
	}
	r.awaitStablePlacement(ctx)
	store := r.size.store
	r.site.Store.SetRate(store.Rate, store.Burst)
	limit := crocushollow.RowRef{Table: crocushollow.LimitTable, ID: crocushollow.WeightStoreLimitID}
	return stager.SetCells(ctx, r.client, limit,
		crocushollow.Cell{Column: "rate", Text: fmt.Sprint(store.Rate)},
		crocushollow.Cell{Column: "burst", Text: fmt.Sprint(store.Burst)})
}

// awaitStablePlacement waits until the number of loaded model copies stops changing.
func (r *run) awaitStablePlacement(ctx context.Context) {
	const stableTime = 2 * time.Second
	last, since := -1, time.Now()
	for time.Since(since) < stableTime && ctx.Err() == nil {
		count := 0
		for _, engine := range r.site.Engines {
			count += len(engine.Server.LoadedLabels())
		}
		if count != last {
			last, since = count, time.Now()
		}
		time.Sleep(stableTime / 10)
	}
}

// runLoad generates the load and injects the faults.
func (r *run) runLoad(ctx context.Context) {
	r.startedAt = time.Now()
	r.cpu, r.bytesTransferred, r.members = cpuTime(), messenger.BytesTransferred(), len(r.site.Instances())
	r.initialLoads, _ = r.site.Store.Counts()
	loadCtx, cancel := context.WithTimeout(ctx, r.length)
	defer cancel()
	var group sync.WaitGroup
	for i := range r.workload.Workspaces {
		group.Go(func() { r.sendRequests(loadCtx, i) })
	}
	if r.scenario.orders > 0 {
		group.Go(func() { r.sendOrders(loadCtx) })
	}
	for _, f := range r.scenario.faults {
		group.Go(func() {
			if sleep(loadCtx, time.Duration(f.at*float64(r.length))) {
				fmt.Fprintf(os.Stderr, "%5.1f s %s\n", time.Since(r.startedAt).Seconds(), f.name)
				f.apply(r)
			}
		})
	}
	group.Wait()
	r.cpu, r.bytesTransferred = cpuTime()-r.cpu, messenger.BytesTransferred()-r.bytesTransferred
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// consoleClient returns a client of a running instance.
func (r *run) consoleClient() console.Client {
	return console.Client{Address: r.site.Instances()[0].Console, Operator: "bench"}
}

// faultTimeout limits the time of an edit that is part of a fault.
const faultTimeout = 10 * time.Second

func (r *run) setCell(ref crocushollow.RowRef, column, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), faultTimeout)
	defer cancel()
	if err := stager.SetCells(ctx, r.consoleClient(), ref, crocushollow.Cell{Column: column, Text: text}); err != nil {
		r.recordViolation("edit_accepted")
	}
}

// propagationTimeout limits the time until all instances apply an edit.
const propagationTimeout = 4 * time.Second

// setZone takes the first zone out of service or returns it to service. It checks that
// engines in a zone out of service get no new work.
func (r *run) setZone(inService string) {
	zone := r.size.zones[0]
	r.setCell(crocushollow.RowRef{Table: crocushollow.AvailabilityZoneTable, ID: zone}, "in_service", inService)
	if inService == "true" {
		return
	}
	time.Sleep(propagationTimeout)
	before := r.requestsInZone(zone)
	time.Sleep(time.Second)
	if r.requestsInZone(zone) > before {
		r.recordViolation("zone_out_gets_no_new_work")
	}
}

func (r *run) requestsInZone(zone string) int {
	sum := 0
	for _, engine := range r.site.Engines {
		if engine.Zone == zone {
			sum += engine.Server.Stats().Requests
		}
	}
	return sum
}

// replaceInstance stops an instance and starts another one in the same zone.
func (r *run) replaceInstance(stop func(*stager.Instance)) {
	r.mu.Lock()
	r.replaced++
	id := fmt.Sprintf("new-%d", r.replaced)
	r.mu.Unlock()
	instances := r.site.Instances()
	old := instances[len(instances)-1]
	stop(old)
	r.site.Deregister(old.ID)
	if _, err := r.site.StartInstance(id, old.Zone); err != nil {
		r.recordViolation("instance_starts")
	}
}

func (r *run) withdrawKey() {
	key := stager.APIKeyRow(workspaceID(1), r.secrets[workspaceID(1)])
	r.setCell(key.Ref(), "withdrawn", "true")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawnAt = time.Now()
}

func (r *run) recordViolation(invariant string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations[invariant]++
}
