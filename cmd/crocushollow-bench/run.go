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

// Run names the scenarios.
func (listCommand) Run() {
	for _, s := range scenarios {
		fmt.Printf("%-12s %s\n", s.name, s.help)
	}
}

type runCommand struct {
	Name    string        `arg:"" help:"Name of the scenario."`
	Seed    uint64        `help:"Seed of the load." default:"1"`
	Site    string        `help:"Size of the site." enum:"kowhai,chaussons" default:"kowhai"`
	Against string        `help:"Policy to compare with, such as baseline, round_robin or fifo; none to skip." default:"baseline"`
	Length  time.Duration `help:"How long the load lasts for each policy." default:"15s"`
	Out     string        `help:"Directory for the result." type:"path"`
}

// outcome is the result of a scenario.
type outcome struct {
	Scenario   string         `json:"scenario"`
	Seed       uint64         `json:"seed"`
	Site       string         `json:"site"`
	Violations map[string]int `json:"violations"`
	Measures   measures       `json:"measures"`
	Against    string         `json:"against,omitempty"`
	Baseline   *measures      `json:"baseline,omitempty"`
}

// errViolated reports that a promise was broken.
var errViolated = errors.New("a promise was broken")

// Run runs the scenario under the own policy and the one to compare with.
func (c runCommand) Run(ctx context.Context) error {
	s, found := findScenario(c.Name)
	if !found {
		return fmt.Errorf("no scenario %q", c.Name)
	}
	result := outcome{Scenario: c.Name, Seed: c.Seed, Site: c.Site}
	own, err := c.once(ctx, s, "own")
	if err != nil {
		return err
	}
	result.Violations, result.Measures = own.violations(), own.measure()
	if _, known := policies[c.Against]; known {
		other, err := c.once(ctx, s, c.Against)
		if err != nil {
			return err
		}
		compared := other.measure()
		result.Against, result.Baseline = c.Against, &compared
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
		return errViolated
	}
	return nil
}

// run is one scenario under one policy.
type run struct {
	scenario scenario
	size     siteSize
	site     *stager.Site
	client   console.Client
	workload stager.Workload
	secrets  map[string]string
	length   time.Duration
	// capacity is what the engines bear in tokens per second.
	capacity float64
	random   *rand.Rand
	began    time.Time

	mu       sync.Mutex
	answers  []answered
	orders   []ordered
	broken   map[string]int
	replaced int
	// withdrawnAt is when a key was withdrawn, zero if none was.
	withdrawnAt time.Time
	cpu         time.Duration
	moved       uint64
	members     int
	// loadsBefore is the number of loads from the store before the load began.
	loadsBefore int
}

// startTimeout bounds the start of a site.
const startTimeout = 60 * time.Second

func (c runCommand) once(ctx context.Context, s scenario, policy string) (*run, error) {
	config := stager.DefaultConfig()
	size := sites[c.Site]
	config.AvailabilityZones, config.Engines, config.Services = size.zones, size.engines, size.services
	config.Store = size.store
	config.Store.Rate, config.Store.Burst = setUpLoads, setUpLoads
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
		capacity: float64(size.engines*engine.Slots) / (2 * engine.TokenTime.Seconds()),
		random:   rand.New(rand.NewPCG(c.Seed, 1)),
		broken:   make(map[string]int),
	}
	if err := r.prepare(ctx); err != nil {
		return nil, err
	}
	fmt.Fprintf(os.Stderr, "%s, %s, policy %s: load begins\n", s.name, c.Site, policy)
	r.drive(ctx)
	return r, nil
}

// setUpLoads is the number of loads a second that the weight store bears while
// a site is set up. The site's own rate holds when the load begins.
const setUpLoads = 200

func (r *run) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.site.StartInstances(siteInstances); err != nil {
		return err
	}
	if err := r.site.AwaitReady(ctx); err != nil {
		return err
	}
	r.workload = r.size.workload(r.capacity)
	rows, secrets := r.site.Rows(r.workload, stager.Direct)
	r.secrets = secrets
	r.client = console.Client{Address: r.site.Instances()[0].Console, Operator: "bench"}
	var changes []console.Change
	for _, row := range rows {
		changes = append(changes, console.NewInsert(row))
	}
	if err := stager.Edit(ctx, r.client, changes...); err != nil {
		return err
	}
	instances := r.site.Instances()
	for i, model := range r.workload.Models {
		address := instances[i%len(instances)].Callers
		if err := stager.AwaitModel(ctx, address, r.secrets[workspaceID(0)], model.ID); err != nil {
			return err
		}
	}
	r.awaitResident(ctx)
	store := r.size.store
	r.site.Store.SetRate(store.Rate, store.Burst)
	limit := crocushollow.RowRef{Table: crocushollow.LimitTable, ID: crocushollow.WeightStoreLimitID}
	return stager.SetCells(ctx, r.client, limit,
		crocushollow.Cell{Column: "rate", Text: fmt.Sprint(store.Rate)},
		crocushollow.Cell{Column: "burst", Text: fmt.Sprint(store.Burst)})
}

// awaitResident waits until the number of resident copies has stopped to grow.
func (r *run) awaitResident(ctx context.Context) {
	const still = 2 * time.Second
	last, since := -1, time.Now()
	for time.Since(since) < still && ctx.Err() == nil {
		count := 0
		for _, engine := range r.site.Engines {
			count += len(engine.Server.Loaded())
		}
		if count != last {
			last, since = count, time.Now()
		}
		time.Sleep(still / 10)
	}
}

// drive offers the load and applies the faults.
func (r *run) drive(ctx context.Context) {
	r.began = time.Now()
	r.cpu, r.moved, r.members = cpuTime(), messenger.BytesTransferred(), len(r.site.Instances())
	r.loadsBefore, _ = r.site.Store.Counts()
	loadCtx, cancel := context.WithTimeout(ctx, r.length)
	defer cancel()
	var group sync.WaitGroup
	for i := range r.workload.Workspaces {
		group.Go(func() { r.offer(loadCtx, i) })
	}
	if r.scenario.orders > 0 {
		group.Go(func() { r.offerOrders(loadCtx) })
	}
	for _, f := range r.scenario.faults {
		group.Go(func() {
			if sleep(loadCtx, time.Duration(f.at*float64(r.length))) {
				fmt.Fprintf(os.Stderr, "%5.1f s %s\n", time.Since(r.began).Seconds(), f.name)
				f.apply(r)
			}
		})
	}
	group.Wait()
	r.cpu, r.moved = cpuTime()-r.cpu, messenger.BytesTransferred()-r.moved
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

// consoleOf returns a client of an instance that runs.
func (r *run) consoleOf() console.Client {
	return console.Client{Address: r.site.Instances()[0].Console, Operator: "bench"}
}

// faultTimeout bounds the edits that faults make.
const faultTimeout = 10 * time.Second

func (r *run) set(ref crocushollow.RowRef, column, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), faultTimeout)
	defer cancel()
	if err := stager.SetCells(ctx, r.consoleOf(), ref, crocushollow.Cell{Column: column, Text: text}); err != nil {
		r.violate("edit_accepted")
	}
}

// effectLimit is how long a change may take to have its effect everywhere.
const effectLimit = 4 * time.Second

// setZone takes the first zone out or in, and watches that its engines get no
// new work.
func (r *run) setZone(inService string) {
	zone := r.size.zones[0]
	r.set(crocushollow.RowRef{Table: crocushollow.AvailabilityZoneTable, ID: zone}, "in_service", inService)
	if inService == "true" {
		return
	}
	time.Sleep(effectLimit)
	before := r.requestsIn(zone)
	time.Sleep(time.Second)
	if r.requestsIn(zone) > before {
		r.violate("zone_out_gets_no_new_work")
	}
}

func (r *run) requestsIn(zone string) int {
	sum := 0
	for _, engine := range r.site.Engines {
		if engine.Zone == zone {
			sum += engine.Server.Observe().Requests
		}
	}
	return sum
}

// replace ends an instance and starts another one in its zone.
func (r *run) replace(end func(*stager.Instance)) {
	r.mu.Lock()
	r.replaced++
	id := fmt.Sprintf("new-%d", r.replaced)
	r.mu.Unlock()
	instances := r.site.Instances()
	old := instances[len(instances)-1]
	end(old)
	r.site.Forget(old.ID)
	if _, err := r.site.StartInstance(id, old.Zone); err != nil {
		r.violate("instance_starts")
	}
}

func (r *run) withdraw() {
	key := stager.KeyOf(workspaceID(1), r.secrets[workspaceID(1)])
	r.set(key.Ref(), "withdrawn", "true")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawnAt = time.Now()
}

func (r *run) violate(promise string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken[promise]++
}
