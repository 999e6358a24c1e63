package main

import (
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/daemon"
	"github.com/crocushollow/crocushollow/standin/logserver"
	"github.com/crocushollow/crocushollow/standin/plainserver"
	"github.com/crocushollow/crocushollow/standin/stager"
	"github.com/crocushollow/crocushollow/standin/storeserver"
)

// scenario is a load with scheduled faults.
type scenario struct {
	name string
	help string
	// load is the offered load as a fraction of the capacity of the engines.
	load float64
	// floodFactor is the load of the first workspace as a multiple of its rate. Zero
	// gives the workspace its normal share of the load.
	floodFactor float64
	// shiftsDemand shifts the demand to other models after a third of the run.
	shiftsDemand bool
	// orders is the number of orders per second.
	orders float64
	// allowsInterruptions permits interrupted responses, because instances or engines
	// crash.
	allowsInterruptions bool
	faults              []fault
}

// fault is injected at a fraction of the duration of the run.
type fault struct {
	at    float64
	name  string
	apply func(r *run)
}

// steadyLoad is the load of scenarios that do not test the load itself.
const steadyLoad = 0.4

var scenarios = []scenario{
	{name: "steady", help: "a load within the capacity of the engines", load: 0.6, orders: 5},
	{name: "overload", help: "one workspace at ten times its rate limit", load: 0.8, floodFactor: 10},
	{name: "shift", help: "the demand shifts to other models and grows tenfold there", load: 0.5, shiftsDemand: true},
	{name: "zone", help: "a zone goes out of service and returns", load: steadyLoad, faults: []fault{
		{at: 0.25, name: "zone out", apply: func(r *run) { r.setZone("false") }},
		{at: 0.65, name: "zone in", apply: func(r *run) { r.setZone("true") }},
	}},
	{name: "kill", help: "instances are killed and replaced", load: steadyLoad, allowsInterruptions: true, orders: 5, faults: []fault{
		{at: 0.3, name: "kill", apply: func(r *run) { r.replaceInstance((*stager.Instance).Kill) }},
		{at: 0.6, name: "kill", apply: func(r *run) { r.replaceInstance((*stager.Instance).Kill) }},
	}},
	{name: "rolling", help: "rolling restart: instances are stopped and replaced", load: steadyLoad, orders: 5, faults: []fault{
		{at: 0.2, name: "stop", apply: func(r *run) { r.replaceInstance((*stager.Instance).Stop) }},
		{at: 0.45, name: "stop", apply: func(r *run) { r.replaceInstance((*stager.Instance).Stop) }},
		{at: 0.7, name: "stop", apply: func(r *run) { r.replaceInstance((*stager.Instance).Stop) }},
	}},
	{name: "log-outage", help: "the log is temporarily unavailable", load: steadyLoad, orders: 5, faults: []fault{
		{at: 0.2, name: "outage", apply: func(r *run) { r.site.Log.SetFaults(logserver.Faults{Outage: true}) }},
		{at: 0.7, name: "log back", apply: func(r *run) { r.site.Log.SetFaults(logserver.Faults{}) }},
	}},
	{name: "cold", help: "engines restart without notice and are cold", load: steadyLoad, allowsInterruptions: true, faults: []fault{
		{at: 0.3, name: "restart", apply: func(r *run) { r.site.Engines[0].Server.Restart(true) }},
		{at: 0.5, name: "restart", apply: func(r *run) { r.site.Engines[1].Server.Restart(false) }},
	}},
	{name: "withdraw", help: "the API key of connected callers is withdrawn", load: steadyLoad, faults: []fault{
		{at: 0.4, name: "withdraw", apply: func(r *run) { r.withdrawKey() }},
	}},
	{name: "orders", help: "non-idempotent requests with lost responses and retries", load: 0.1, orders: 30, faults: []fault{
		{at: 0.2, name: "lost answers", apply: func(r *run) {
			for _, service := range r.site.Services {
				service.Server.SetFaults(plainserver.Faults{LostResponseFraction: 0.3})
			}
			r.site.Log.SetFaults(logserver.Faults{LostResponseFraction: 0.2})
		}},
	}},
}

func findScenario(name string) (scenario, bool) {
	for _, s := range scenarios {
		if s.name == name {
			return s, true
		}
	}
	return scenario{}, false
}

// policies maps the names of the policies that can be compared.
var policies = map[string]daemon.PolicySettings{
	"own": daemon.DefaultSettings().Policy,
	"baseline": {
		Limits: "static", StaticPartitions: instancesPerSite, Routing: "round_robin", Queue: "fifo", Placement: "static",
	},
	"static_limits":    policyWith(func(p *daemon.PolicySettings) { p.Limits, p.StaticPartitions = "static", instancesPerSite }),
	"round_robin":      policyWith(func(p *daemon.PolicySettings) { p.Routing = "round_robin" }),
	"least_loaded":     policyWith(func(p *daemon.PolicySettings) { p.Routing = "least_loaded" }),
	"fifo":             policyWith(func(p *daemon.PolicySettings) { p.Queue = "fifo" }),
	"static_placement": policyWith(func(p *daemon.PolicySettings) { p.Placement = "static" }),
}

func policyWith(change func(*daemon.PolicySettings)) daemon.PolicySettings {
	policy := daemon.DefaultSettings().Policy
	change(&policy)
	return policy
}

// instancesPerSite is the number of instances of each reference site.
const instancesPerSite = 8

// siteSize is the size of a reference site.
type siteSize struct {
	zones            []string
	engines          int
	services         int
	models, adapters int
	store            storeserver.Config
}

var sites = map[string]siteSize{
	"kowhai": {
		zones: []string{"akl", "hlz", "wlg"}, engines: 12, services: 3, models: 15, adapters: 75,
		store: storeserver.Config{Rate: 1.6, Burst: 9, MaxInFlight: 70, LoadTime: 10 * time.Millisecond},
	},
	"chaussons": {
		zones: []string{"quimper", "lorient", "brest", "rennes"}, engines: 18, services: 4, models: 30, adapters: 100,
		store: storeserver.Config{Rate: 2.2, Burst: 16, MaxInFlight: 130, LoadTime: 10 * time.Millisecond},
	},
}

// workspaceShares are the fractions of the load per workspace. Few workspaces send most
// of the load.
var workspaceShares = []float64{0.1, 0.4, 0.3, 0.12, 0.08}

// workspaceID returns the ID of the workspace at an index.
func workspaceID(i int) string { return "workspace-" + string(rune('a'+i)) }

// modelID returns the ID of the model at an index.
func modelID(i int) string { return "model-" + string(rune('a'+i/10)) + string(rune('0'+i%10)) }

// workload returns the rows of a site whose engines generate tokensPerSecond. The rate
// of each workspace has headroom above its share of the load and accounts for prompt
// tokens, which are the larger part of the charge.
func (s siteSize) workload(tokensPerSecond float64) stager.Workload {
	const rateHeadroom, burstSeconds = 1.3, 3
	var workload stager.Workload
	for i, share := range workspaceShares {
		rate := int64(share * tokensPerSecond * rateHeadroom * meanChargedTokens / meanGeneratedTokens)
		workload.Workspaces = append(workload.Workspaces, crocushollow.Workspace{
			ID: workspaceID(i), TokenRate: rate, TokenBurst: rate * burstSeconds, Weight: 1,
		})
	}
	for i := range s.models {
		model := stager.NewModel(modelID(i), 12+int64(i%3)*6)
		model.MinReplicas = 1
		workload.Models = append(workload.Models, model)
	}
	for i := range s.adapters {
		workload.Adapters = append(workload.Adapters, crocushollow.Adapter{
			ID: modelID(i%s.models) + "-adapter-" + string(rune('a'+i/s.models)), Model: modelID(i % s.models),
			Version: "1", MemoryBytes: 256 << 20,
		})
	}
	return workload
}
