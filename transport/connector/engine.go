package connector

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/crocushollow/crocushollow"
)

// Engines talks to the control side of model engines over HTTP:
//
//	GET  /control/report   -> crocushollow.EngineReport
//	POST /control/orders   body: crocushollow.Order; 409 for an old fencing number
type Engines struct {
	client *http.Client
}

// NewEngines returns a client of the engines.
func NewEngines(source netip.Addr) *Engines { return &Engines{client: newClient(source)} }

// FetchReport implements controller.EngineClient.
func (e *Engines) FetchReport(ctx context.Context, upstream crocushollow.Upstream) (crocushollow.EngineReport, error) {
	var report crocushollow.EngineReport
	err := callJSON(ctx, e.client, http.MethodGet, "http://"+upstream.Address+"/control/report", nil, &report)
	return report, err
}

// SendOrder implements controller.EngineClient.
func (e *Engines) SendOrder(ctx context.Context, upstream crocushollow.Upstream, order crocushollow.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	return callJSON(ctx, e.client, http.MethodPost, "http://"+upstream.Address+"/control/orders", body, nil)
}
