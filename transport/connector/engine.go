package connector

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/crocushollow/crocushollow"
)

// EngineClient calls the control API of model engines over HTTP:
//
//	GET  /control/report   -> crocushollow.EngineReport
//	POST /control/orders   body: crocushollow.Order; 409 for a stale fencing token
type EngineClient struct {
	client *http.Client
}

// NewEngineClient returns a client that opens connections from a source address.
func NewEngineClient(source netip.Addr) *EngineClient {
	return &EngineClient{client: newClient(source)}
}

// FetchReport implements controller.EngineClient.
func (c *EngineClient) FetchReport(ctx context.Context, upstream crocushollow.Upstream) (crocushollow.EngineReport, error) {
	var report crocushollow.EngineReport
	err := doLimitedJSON(ctx, c.client, http.MethodGet, "http://"+upstream.Address+"/control/report", nil, maxEngineResponseBytes, &report)
	return report, err
}

// SendOrder implements controller.EngineClient.
func (c *EngineClient) SendOrder(ctx context.Context, upstream crocushollow.Upstream, order crocushollow.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	return doJSON(ctx, c.client, http.MethodPost, "http://"+upstream.Address+"/control/orders", body, nil)
}
