package stager

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/standin/caller"
	"github.com/crocushollow/crocushollow/transport/console"
)

// Workload holds the workspaces and models that a site serves.
type Workload struct {
	Workspaces []crocushollow.Workspace
	Models     []crocushollow.Model
	Adapters   []crocushollow.Adapter
}

const gibibyte = 1 << 30

// SampleWorkload returns a workload for a small site.
func SampleWorkload() Workload {
	return Workload{
		Workspaces: []crocushollow.Workspace{
			{ID: "hives", TokenRate: 20_000, TokenBurst: 40_000, Weight: 2},
			{ID: "shoes", TokenRate: 20_000, TokenBurst: 40_000, Weight: 1},
			{ID: "trial", TokenRate: 50, TokenBurst: 300, Weight: 1},
		},
		Models: []crocushollow.Model{
			NewModel("stock-notes", 20),
			NewModel("letters", 30),
		},
		Adapters: []crocushollow.Adapter{
			{ID: "letters-breton", Model: "letters", Version: "1", MemoryBytes: gibibyte},
		},
	}
}

// NewModel returns a model whose weights take the given memory.
func NewModel(id string, gibibytes int64) crocushollow.Model {
	return crocushollow.Model{
		ID: id, Version: "1", MemoryBytes: gibibytes * gibibyte, MinReplicas: 2, DefaultMaxTokens: 256,
	}
}

// APIKeyRow returns the row of a workspace's API key.
func APIKeyRow(workspace, secret string) crocushollow.APIKey {
	return crocushollow.APIKey{ID: workspace + "-key", Workspace: workspace, Digest: crocushollow.DigestKey(secret)}
}

// Rows returns the rows of the site and a new API key secret for each workspace.
// An upstream's row holds the address that addressOf returns for it, which may be
// that of a proxy.
func (s *Site) Rows(workload Workload, addressOf func(id, address string) string) ([]crocushollow.Row, map[string]string) {
	rows := []crocushollow.Row{crocushollow.Limit{
		ID: crocushollow.WeightStoreLimitID, Rate: s.Config.Store.Rate,
		Burst: int64(s.Config.Store.Burst), MaxInFlight: int64(s.Config.Store.MaxInFlight),
	}}
	secrets := make(map[string]string)
	for _, workspace := range workload.Workspaces {
		secrets[workspace.ID] = crocushollow.NewAPIKeySecret()
		rows = append(rows, workspace, APIKeyRow(workspace.ID, secrets[workspace.ID]))
	}
	for _, model := range workload.Models {
		rows = append(rows, model)
	}
	for _, adapter := range workload.Adapters {
		rows = append(rows, adapter)
	}
	for _, zone := range s.Config.AvailabilityZones {
		rows = append(rows, crocushollow.AvailabilityZone{ID: zone, InService: true})
	}
	return append(rows, s.upstreamRows(addressOf)...), secrets
}

func (s *Site) upstreamRows(addressOf func(id, address string) string) []crocushollow.Row {
	var rows []crocushollow.Row
	for _, engine := range s.Engines {
		rows = append(rows, crocushollow.Upstream{
			ID: engine.ID, Kind: crocushollow.EngineUpstream, Address: addressOf(engine.ID, engine.Address),
			AvailabilityZone: engine.Zone, MemoryBytes: s.Config.Engine.MemoryBytes,
			MaxInFlight: int64(s.Config.Engine.Slots), ColdMaxInFlight: int64(s.Config.Engine.ColdMaxInFlight),
			ChecksFencingToken: engine.ChecksFencingToken,
		})
	}
	var services []string
	for _, service := range s.Services {
		services = append(services, service.ID)
		rows = append(rows, crocushollow.Upstream{
			ID: service.ID, Kind: crocushollow.ServiceUpstream, Address: addressOf(service.ID, service.Address),
			AvailabilityZone: service.Zone, MaxInFlight: 64, ColdMaxInFlight: 8,
		})
	}
	if len(services) == 0 {
		return rows
	}
	return append(rows,
		crocushollow.Route{ID: "orders", PathPrefix: "/orders", Upstreams: services, Timeout: 5 * time.Second},
		crocushollow.Route{
			ID: "stock", PathPrefix: "/stock", Upstreams: services, AllowAnonymous: true, Retryable: true, Timeout: 5 * time.Second,
		})
}

// DirectAddress returns an upstream's own address. Pass it to Rows if no proxies
// are used.
func DirectAddress(_, address string) string { return address }

// ApplyChanges publishes changes and waits until all instances have applied them.
// It fails if any change is rejected.
func ApplyChanges(ctx context.Context, client console.Client, changes ...console.Change) error {
	results, err := client.Edit(ctx, changes)
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
	_, err = client.WaitApplied(ctx, last)
	return err
}

// SetCells publishes new values for cells of a row, based on its current revision.
func SetCells(ctx context.Context, client console.Client, ref crocushollow.RowRef, cells ...crocushollow.Cell) error {
	table, err := client.Table(ctx, ref.Table)
	if err != nil {
		return err
	}
	for _, row := range table.Rows {
		if row.ID == ref.ID {
			return ApplyChanges(ctx, client, console.Change{Table: ref.Table, ID: ref.ID, BaseRevision: row.Revision, Cells: cells})
		}
	}
	return fmt.Errorf("row %s not found", ref)
}

// modelPollInterval is the time between two requests of AwaitModel.
const modelPollInterval = 50 * time.Millisecond

// AwaitModel waits until an instance serves a model.
func AwaitModel(ctx context.Context, address, secret, model string) error {
	c := caller.New(secret)
	defer c.Client.CloseIdleConnections()
	for {
		reply, err := c.Complete(ctx, address, caller.Prompt{Model: model, Content: "hello", Tokens: 1})
		if err == nil && reply.Status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("model %s is not served (last response: %s): %w", model, reply.Body, errors.Join(err, ctx.Err()))
		case <-time.After(modelPollInterval):
		}
	}
}
