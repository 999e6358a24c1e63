package connector

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/crocushollow/crocushollow"
)

// EngineClient talks to the control side of model engines over HTTP:
//
//	GET  /control/report   -> crocushollow.EngineReport
//	POST /control/orders   body: crocushollow.Order; 409 for an old fencing number
type EngineClient struct {
	client *http.Client
}

// NewEngineClient returns a client of the engines.
func NewEngineClient(source netip.Addr) *EngineClient {
	return &EngineClient{client: newClient(source)}
}

// FetchReport implements controller.EngineClient.
func (e *EngineClient) FetchReport(ctx context.Context, upstream crocushollow.Upstream) (crocushollow.EngineReport, error) {
	var report crocushollow.EngineReport
	err := callJSON(ctx, e.client, http.MethodGet, "http://"+upstream.Address+"/control/report", nil, &report)
	return report, err
}

// SendOrder implements controller.EngineClient.
func (e *EngineClient) SendOrder(ctx context.Context, upstream crocushollow.Upstream, order crocushollow.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	return callJSON(ctx, e.client, http.MethodPost, "http://"+upstream.Address+"/control/orders", body, nil)
}
