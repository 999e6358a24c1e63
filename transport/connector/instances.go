package connector

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/crocushollow/crocushollow/coordination/controller"
)

// InstanceRegistryClient lists the instances that the platform runs, over HTTP:
//
//	GET /instances -> [{"id": "a", "peer_address": "127.0.0.1:9001", "leaving": false}]
type InstanceRegistryClient struct {
	baseURL string
	client  *http.Client
}

// NewInstanceRegistryClient returns a client of the registry at an address.
func NewInstanceRegistryClient(address string, source netip.Addr) *InstanceRegistryClient {
	return &InstanceRegistryClient{baseURL: "http://" + address, client: newClient(source)}
}

// List implements controller.InstanceLister.
func (c *InstanceRegistryClient) List(ctx context.Context) ([]controller.ListedInstance, error) {
	var instances []controller.ListedInstance
	err := doJSON(ctx, c.client, http.MethodGet, c.baseURL+"/instances", nil, &instances)
	return instances, err
}
