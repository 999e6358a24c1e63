package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime/pprof"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/daemon"
	"github.com/crocushollow/crocushollow/standin/stager"
	"github.com/crocushollow/crocushollow/transport/console"
	"github.com/crocushollow/crocushollow/transport/messenger"
)

type scaleCommand struct {
	Daemons    []int         `help:"Fleet sizes." default:"8,32,128,512"`
	Engines    int           `help:"Engine rows per daemon. Each engine sends reports." default:"12"`
	Workspaces int           `help:"Workspace rows, each with an API key." default:"300"`
	Models     int           `help:"Model rows. They are not placed on engines." default:"0"`
	Measure    time.Duration `help:"Duration of the idle measurement of each size." default:"10s"`
	Edits      int           `help:"Number of edits whose propagation to all instances is timed." default:"8"`
	Zones      int           `help:"Number of availability zones." default:"15"`
	Profile    string        `help:"File for a CPU profile of the idle measurement. The last size overwrites the others." type:"path"`
}

// scaleResult holds the resource usage per daemon in a fleet of one size.
type scaleResult struct {
	Daemons int `json:"daemons"`
	// CPUShare is the fraction of a core that one idle daemon uses.
	CPUShare float64 `json:"cpu_share"`
	// BytesPerSecond is the traffic between one daemon and its peers, sent and
	// received.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// MemoryMB is the resident memory of the process per daemon in 10^6 bytes.
	MemoryMB float64 `json:"memory_mb"`
	// AppendsPerSecond is the rate of log appends of the whole fleet.
	AppendsPerSecond float64 `json:"appends_per_second"`
	// EditP50MS and EditMaxMS are the median and the maximum time in milliseconds
	// until all instances have applied an edit.
	EditP50MS float64 `json:"edit_p50_ms"`
	EditMaxMS float64 `json:"edit_max_ms"`
	StartS    float64 `json:"start_s"`
}

// Run measures each fleet size and prints how each metric grows with it.
func (c scaleCommand) Run(ctx context.Context) error {
	var results []scaleResult
	for _, daemons := range c.Daemons {
		result, err := c.measure(ctx, daemons)
		if err != nil {
			return fmt.Errorf("%d daemons: %w", daemons, err)
		}
		results = append(results, result)
		encoded, _ := json.Marshal(result)
		fmt.Println(string(encoded))
	}
	printSlopes(results)
	return nil
}

// scaleSettings returns the settings for a large fleet.
func scaleSettings() daemon.Settings {
	settings := daemon.DefaultSettings()
	settings.Timing.Lease = daemon.Duration(3 * time.Second)
	settings.Timing.ProbeInterval = daemon.Duration(time.Second)
	settings.Timing.SuspectAfter = daemon.Duration(4 * time.Second)
	settings.Timing.ExchangeInterval = daemon.Duration(time.Second)
	settings.Timing.ReportInterval = daemon.Duration(time.Second)
	settings.Timing.PlanInterval = daemon.Duration(5 * time.Second)
	settings.Timing.CallTimeout = daemon.Duration(2 * time.Second)
	settings.Timing.MonitoredMembers = 4
	return settings
}

// scaleStartTimeout limits the time to start a fleet.
const scaleStartTimeout = 3 * time.Minute

func (c scaleCommand) measure(ctx context.Context, daemons int) (scaleResult, error) {
	config := stager.DefaultConfig()
	config.Settings = scaleSettings()
	config.Engines, config.Services = 4, 0
	config.RegistryDelay = 10 * time.Second
	config.AvailabilityZones = nil
	for i := range c.Zones {
		config.AvailabilityZones = append(config.AvailabilityZones, "zone-"+strconv.Itoa(i))
	}
	site, err := stager.Start(ctx, config)
	if err != nil {
		return scaleResult{}, err
	}
	defer site.Close()
	ctx, cancel := context.WithTimeout(ctx, scaleStartTimeout)
	defer cancel()
	started := time.Now()
	result := scaleResult{Daemons: daemons}
	if err := site.StartInstances(daemons); err != nil {
		return result, err
	}
	if err := site.AwaitReady(ctx); err != nil {
		return result, err
	}
	client := console.Client{Address: site.Instances()[0].Console, Operator: "scale"}
	if err := c.insertRows(ctx, site, client, daemons); err != nil {
		return result, err
	}
	result.StartS = time.Since(started).Seconds()
	c.measureIdle(site, &result)
	return result, c.measureEdits(ctx, client, &result)
}

// insertRows adds the rows of the zones, workspaces, models and engines.
func (c scaleCommand) insertRows(ctx context.Context, site *stager.Site, client console.Client, daemons int) error {
	rows := []crocushollow.Row{}
	for _, zone := range site.Config.AvailabilityZones {
		rows = append(rows, crocushollow.AvailabilityZone{ID: zone, InService: true})
	}
	for i := range c.Workspaces {
		id := "workspace-" + strconv.Itoa(i)
		rows = append(rows,
			crocushollow.Workspace{ID: id, TokenRate: 1000, TokenBurst: 1000, Weight: 1},
			stager.APIKeyRow(id, crocushollow.NewAPIKeySecret()))
	}
	for i := range c.Models {
		rows = append(rows, stager.NewModel("model-"+strconv.Itoa(i), 1<<10))
	}
	for i := range c.Engines * daemons {
		engine := site.Engines[i%len(site.Engines)]
		rows = append(rows, crocushollow.Upstream{
			ID: "engine-" + strconv.Itoa(i), Kind: crocushollow.EngineUpstream, Address: engine.Address,
			AvailabilityZone: site.Config.AvailabilityZones[i%c.Zones], MemoryBytes: site.Config.Engine.MemoryBytes,
			MaxInFlight: 32, ColdMaxInFlight: 2, ChecksFencingToken: true,
		})
	}
	var changes []console.Change
	for _, row := range rows {
		changes = append(changes, console.NewInsert(row))
	}
	return stager.ApplyChanges(ctx, client, changes...)
}

// settleTime is the time for a fleet to become idle after its start.
const settleTime = 3 * time.Second

// measureIdle measures the fleet without load.
func (c scaleCommand) measureIdle(site *stager.Site, result *scaleResult) {
	time.Sleep(settleTime)
	defer c.startProfile()()
	cpu, moved, appends, began := cpuTime(), messenger.BytesTransferred(), site.Log.Appends(), time.Now()
	time.Sleep(c.Measure)
	seconds, daemons := time.Since(began).Seconds(), float64(result.Daemons)
	result.CPUShare = (cpuTime() - cpu).Seconds() / seconds / daemons
	result.BytesPerSecond = float64(messenger.BytesTransferred()-moved) / seconds / daemons
	result.AppendsPerSecond = float64(site.Log.Appends()-appends) / seconds
	result.MemoryMB = float64(residentBytes()) / 1e6 / daemons
}

// startProfile starts a CPU profile, if one is requested, and returns the function that
// stops it.
func (c scaleCommand) startProfile() func() {
	if c.Profile == "" {
		return func() {}
	}
	file, err := os.Create(c.Profile)
	if err != nil {
		return func() {}
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return func() {}
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}
}

// measureEdits times the propagation of edits to all instances.
func (c scaleCommand) measureEdits(ctx context.Context, client console.Client, result *scaleResult) error {
	var times []float64
	for i := range c.Edits {
		row := crocushollow.Workspace{ID: "edit-" + strconv.Itoa(i), TokenRate: 1, TokenBurst: 1, Weight: 1}
		began := time.Now()
		if err := stager.ApplyChanges(ctx, client, console.NewInsert(row)); err != nil {
			return err
		}
		times = append(times, float64(time.Since(began).Milliseconds()))
	}
	slices.Sort(times)
	result.EditP50MS, result.EditMaxMS = times[len(times)/2], times[len(times)-1]
	return nil
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentBytes returns the resident memory of the process.
func residentBytes() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var total, resident int64
	if _, err := fmt.Sscan(string(text), &total, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// targetDaemons is the fleet size to which the fitted lines are extrapolated.
const targetDaemons = 630

// printSlopes fits each metric as a linear function of the number of daemons, and prints
// the function and its value at the target size.
func printSlopes(results []scaleResult) {
	if len(results) < 2 {
		return
	}
	metrics := []struct {
		name  string
		value func(scaleResult) float64
	}{
		{"cpu_share", func(r scaleResult) float64 { return r.CPUShare }},
		{"bytes_per_second", func(r scaleResult) float64 { return r.BytesPerSecond }},
		{"memory_mb", func(r scaleResult) float64 { return r.MemoryMB }},
		{"appends_per_second", func(r scaleResult) float64 { return r.AppendsPerSecond }},
		{"edit_max_ms", func(r scaleResult) float64 { return r.EditMaxMS }},
	}
	for _, metric := range metrics {
		intercept, slope := fitLine(results, metric.value)
		fmt.Printf("%-20s %12.4f + %10.6f per daemon, at %d: %.4f\n",
			metric.name, intercept, slope, targetDaemons, intercept+slope*targetDaemons)
	}
}

// fitLine returns the least-squares line of a metric over the number of daemons.
func fitLine(results []scaleResult, value func(scaleResult) float64) (intercept, slope float64) {
	var n, sumX, sumY, sumXY, sumXX float64
	for _, result := range results {
		x, y := float64(result.Daemons), value(result)
		n++
		sumX += x
		sumY += y
		sumXY += x * y
		sumXX += x * x
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return (sumY - slope*sumX) / n, slope
}
