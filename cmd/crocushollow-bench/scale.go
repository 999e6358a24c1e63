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
	Daemons    []int         `help:"Sizes of the fleet." default:"8,32,128,512"`
	Engines    int           `help:"Engine rows per daemon, each reporting." default:"12"`
	Workspaces int           `help:"Workspace rows, each with a key." default:"300"`
	Models     int           `help:"Model rows; they are not placed." default:"0"`
	Measure    time.Duration `help:"How long each size is measured at rest." default:"10s"`
	Edits      int           `help:"Edits whose way to every instance is timed." default:"8"`
	Zones      int           `help:"Availability zones." default:"15"`
	Profile    string        `help:"File for a processor profile of the last size at rest." type:"path"`
}

// scaleResult is what one daemon costs in a fleet of a size.
type scaleResult struct {
	Daemons int `json:"daemons"`
	// CPUShare is the fraction of a core that one daemon uses at rest.
	CPUShare float64 `json:"cpu_share"`
	// BytesPerSecond is what one daemon sends to and receives from peers.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// MemoryMB is one daemon's part of the process's memory in 10^6 bytes.
	MemoryMB float64 `json:"memory_mb"`
	// AppendsPerSecond is the rate of appends to the log by the whole fleet.
	AppendsPerSecond float64 `json:"appends_per_second"`
	// EditP50MS and EditMaxMS are the times from an edit to its being in force
	// on every instance in milliseconds.
	EditP50MS float64 `json:"edit_p50_ms"`
	EditMaxMS float64 `json:"edit_max_ms"`
	StartS    float64 `json:"start_s"`
}

// Run measures each size and fits the slopes.
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

// scaleSettings are those of a large fleet.
func scaleSettings() daemon.Settings {
	settings := daemon.DefaultSettings()
	settings.Timing.Lease = daemon.Duration(3 * time.Second)
	settings.Timing.ProbeInterval = daemon.Duration(time.Second)
	settings.Timing.SuspectAfter = daemon.Duration(4 * time.Second)
	settings.Timing.ExchangeInterval = daemon.Duration(time.Second)
	settings.Timing.ReportInterval = daemon.Duration(time.Second)
	settings.Timing.PlanInterval = daemon.Duration(5 * time.Second)
	settings.Timing.CallTimeout = daemon.Duration(2 * time.Second)
	settings.Timing.Watched = 4
	return settings
}

// scaleStartTimeout bounds the start of a fleet.
const scaleStartTimeout = 3 * time.Minute

func (c scaleCommand) measure(ctx context.Context, daemons int) (scaleResult, error) {
	config := stager.DefaultConfig()
	config.Settings = scaleSettings()
	config.Engines, config.Services = 4, 0
	config.ListLag = 10 * time.Second
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
	if err := c.fill(ctx, site, client, daemons); err != nil {
		return result, err
	}
	result.StartS = time.Since(started).Seconds()
	c.rest(site, &result)
	return result, c.edit(ctx, client, &result)
}

// fill adds the rows.
func (c scaleCommand) fill(ctx context.Context, site *stager.Site, client console.Client, daemons int) error {
	rows := []crocushollow.Row{}
	for _, zone := range site.Config.AvailabilityZones {
		rows = append(rows, crocushollow.AvailabilityZone{ID: zone, InService: true})
	}
	for i := range c.Workspaces {
		id := "workspace-" + strconv.Itoa(i)
		rows = append(rows,
			crocushollow.Workspace{ID: id, TokenRate: 1000, TokenBurst: 1000, Weight: 1},
			stager.KeyOf(id, crocushollow.NewAPIKeySecret()))
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
	return stager.Edit(ctx, client, changes...)
}

// settleTime lets a fleet come to rest after its start.
const settleTime = 3 * time.Second

// rest measures the fleet while nothing happens.
func (c scaleCommand) rest(site *stager.Site, result *scaleResult) {
	time.Sleep(settleTime)
	defer c.profile()()
	cpu, moved, appends, began := cpuTime(), messenger.BytesTransferred(), site.Log.Appends(), time.Now()
	time.Sleep(c.Measure)
	seconds, daemons := time.Since(began).Seconds(), float64(result.Daemons)
	result.CPUShare = (cpuTime() - cpu).Seconds() / seconds / daemons
	result.BytesPerSecond = float64(messenger.BytesTransferred()-moved) / seconds / daemons
	result.AppendsPerSecond = float64(site.Log.Appends()-appends) / seconds
	result.MemoryMB = float64(residentBytes()) / 1e6 / daemons
}

// profile starts a processor profile if one is asked for and returns its end.
func (c scaleCommand) profile() func() {
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

// edit times the way of edits to every instance.
func (c scaleCommand) edit(ctx context.Context, client console.Client, result *scaleResult) error {
	var times []float64
	for i := range c.Edits {
		row := crocushollow.Workspace{ID: "edit-" + strconv.Itoa(i), TokenRate: 1, TokenBurst: 1, Weight: 1}
		began := time.Now()
		if err := stager.Edit(ctx, client, console.NewInsert(row)); err != nil {
			return err
		}
		times = append(times, float64(time.Since(began).Milliseconds()))
	}
	slices.Sort(times)
	result.EditP50MS, result.EditMaxMS = times[len(times)/2], times[len(times)-1]
	return nil
}

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentBytes returns the memory that the process occupies.
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

// targetDaemons is the size of the fleet that the slopes are applied to.
const targetDaemons = 630

// printSlopes fits each figure per daemon as a line in the number of daemons
// and prints it with its value at the target size.
func printSlopes(results []scaleResult) {
	if len(results) < 2 {
		return
	}
	figures := []struct {
		name string
		of   func(scaleResult) float64
	}{
		{"cpu_share", func(r scaleResult) float64 { return r.CPUShare }},
		{"bytes_per_second", func(r scaleResult) float64 { return r.BytesPerSecond }},
		{"memory_mb", func(r scaleResult) float64 { return r.MemoryMB }},
		{"appends_per_second", func(r scaleResult) float64 { return r.AppendsPerSecond }},
		{"edit_max_ms", func(r scaleResult) float64 { return r.EditMaxMS }},
	}
	for _, figure := range figures {
		intercept, slope := fit(results, figure.of)
		fmt.Printf("%-20s %12.4f + %10.6f per daemon, at %d: %.4f\n",
			figure.name, intercept, slope, targetDaemons, intercept+slope*targetDaemons)
	}
}

// fit returns the least-squares line of a figure over the number of daemons.
func fit(results []scaleResult, of func(scaleResult) float64) (intercept, slope float64) {
	var n, sumX, sumY, sumXY, sumXX float64
	for _, result := range results {
		x, y := float64(result.Daemons), of(result)
		n++
		sumX += x
		sumY += y
		sumXY += x * y
		sumXX += x * x
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return (sumY - slope*sumX) / n, slope
}
