package connector

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/crocushollow/crocushollow/coordination/controller"
)

// InstanceRegistryClient reads the platform's list of instances over HTTP:
//
//	GET /instances -> [{"id": "a", "peer_address": "127.0.0.1:9001", "leaving": false}]
type InstanceRegistryClient struct {
	base   string
	client *http.Client
}

// NewInstanceRegistryClient returns a client of the list at an address.
func NewInstanceRegistryClient(address string, source netip.Addr) *InstanceRegistryClient {
	return &InstanceRegistryClient{base: "http://" + address, client: newClient(source)}
}

// List implements controller.InstanceLister.
func (i *InstanceRegistryClient) List(ctx context.Context) ([]controller.ListedInstance, error) {
	var instances []controller.ListedInstance
	err := callJSON(ctx, i.client, http.MethodGet, i.base+"/instances", nil, &instances)
	return instances, err
}
