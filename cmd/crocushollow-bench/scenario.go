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

// scenario is a load with faults on a schedule.
type scenario struct {
	name string
	help string
	// load is the offered load as a fraction of what the engines bear.
	load float64
	// flood multiplies the load of the first workspace beyond its rate.
	flood float64
	// shift moves the demand to other models in the middle.
	shift bool
	// orders is the number of orders a second.
	orders float64
	// crashes allows answers to be cut, since instances or engines die.
	crashes bool
	faults  []fault
}

// fault happens at a fraction of the run.
type fault struct {
	at    float64
	name  string
	apply func(r *run)
}

// steadyLoad is the load of scenarios that are about something else.
const steadyLoad = 0.4

var scenarios = []scenario{
	{name: "steady", help: "a load that the engines bear", load: 0.6, orders: 5},
	{name: "overload", help: "one workspace at ten times its rate", load: 0.8, flood: 10},
	{name: "shift", help: "the demand moves tenfold to other models", load: 0.5, shift: true},
	{name: "zone", help: "a zone leaves and returns", load: steadyLoad, faults: []fault{
		{at: 0.25, name: "zone out", apply: func(r *run) { r.setZone("false") }},
		{at: 0.65, name: "zone in", apply: func(r *run) { r.setZone("true") }},
	}},
	{name: "kill", help: "instances are killed and replaced", load: steadyLoad, crashes: true, orders: 5, faults: []fault{
		{at: 0.3, name: "kill", apply: func(r *run) { r.replace((*stager.Instance).Kill) }},
		{at: 0.6, name: "kill", apply: func(r *run) { r.replace((*stager.Instance).Kill) }},
	}},
	{name: "rolling", help: "instances are stopped and replaced one by one", load: steadyLoad, orders: 5, faults: []fault{
		{at: 0.2, name: "stop", apply: func(r *run) { r.replace((*stager.Instance).Stop) }},
		{at: 0.45, name: "stop", apply: func(r *run) { r.replace((*stager.Instance).Stop) }},
		{at: 0.7, name: "stop", apply: func(r *run) { r.replace((*stager.Instance).Stop) }},
	}},
	{name: "log-outage", help: "the log is away for a while", load: steadyLoad, orders: 5, faults: []fault{
		{at: 0.2, name: "outage", apply: func(r *run) { r.site.Log.SetFaults(logserver.Faults{Outage: true}) }},
		{at: 0.7, name: "log back", apply: func(r *run) { r.site.Log.SetFaults(logserver.Faults{}) }},
	}},
	{name: "cold", help: "upstreams turn cold unannounced", load: steadyLoad, crashes: true, faults: []fault{
		{at: 0.3, name: "restart", apply: func(r *run) { r.site.Engines[0].Server.Restart(true) }},
		{at: 0.5, name: "restart", apply: func(r *run) { r.site.Engines[1].Server.Restart(false) }},
	}},
	{name: "withdraw", help: "a key is withdrawn from connected callers", load: steadyLoad, faults: []fault{
		{at: 0.4, name: "withdraw", apply: func(r *run) { r.withdraw() }},
	}},
	{name: "orders", help: "non-repeatable calls with lost answers and repeats", load: 0.1, orders: 30, faults: []fault{
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

// policies are the ways of deciding that can be compared.
var policies = map[string]daemon.PolicySettings{
	"own": daemon.DefaultSettings().Policy,
	"baseline": {
		Limits: "static", StaticPartitions: siteInstances, Routing: "round_robin", Queue: "fifo", Placement: "static",
	},
	"static_limits":    with(func(p *daemon.PolicySettings) { p.Limits, p.StaticPartitions = "static", siteInstances }),
	"round_robin":      with(func(p *daemon.PolicySettings) { p.Routing = "round_robin" }),
	"least_loaded":     with(func(p *daemon.PolicySettings) { p.Routing = "least_loaded" }),
	"fifo":             with(func(p *daemon.PolicySettings) { p.Queue = "fifo" }),
	"static_placement": with(func(p *daemon.PolicySettings) { p.Placement = "static" }),
}

func with(change func(*daemon.PolicySettings)) daemon.PolicySettings {
	policy := daemon.DefaultSettings().Policy
	change(&policy)
	return policy
}

// siteInstances is the number of instances of both users' sites.
const siteInstances = 8

// siteSize describes a user's site.
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

// workspaceShares divide the load: a few workspaces are large.
var workspaceShares = []float64{0.1, 0.4, 0.3, 0.12, 0.08}

// workspaceID names a workspace by its index.
func workspaceID(i int) string { return "workspace-" + string(rune('a'+i)) }

// modelID names a model by its index.
func modelID(i int) string { return "model-" + string(rune('a'+i/10)) + string(rune('0'+i%10)) }

// workload returns the rows of a site whose engines generate a number of tokens
// a second. Every workspace's rate leaves room above its part of the load, of
// which the prompts are the larger part.
func (s siteSize) workload(tokensPerSecond float64) stager.Workload {
	const rateRoom, burstSeconds = 1.3, 3
	var workload stager.Workload
	for i, share := range workspaceShares {
		rate := int64(share * tokensPerSecond * rateRoom * chargedTokens / generatedTokens)
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
