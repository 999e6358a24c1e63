//go:build review

package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"syscall"
	"time"
)

var lateAcceptOptions = siteOptions{
	instances: 3, adapters: 0, adapterSlots: 8, timeout: 15 * time.Second,
	engines: []engineConfig{
		{id: "i-0a", zone: "akl", version: "v1", events: 57, interval: 75 * time.Millisecond},
		{id: "i-0b", zone: "hlz", version: "v1", events: 57, interval: 75 * time.Millisecond},
	},
}

// Times of the disruption: the rolling restart stops an instance each stopGap. The calls
// of the callers begin lateCall after the first SIGTERM, and last for lateCalls.
const (
	stopGap   = time.Second
	lateCall  = 3100 * time.Millisecond
	lateCalls = 400 * time.Millisecond
)

// runLateAccept stops all instances, one after the other. A caller keeps the address that
// it knows, since no instance names another one.
func runLateAccept(s *site, trouble bool) ([]string, error) {
	c := newCallers(s)
	target := s.instances[0]
	if known := resolve(s, s.instances[1]); !slices.Contains(known, target.callers) {
		return nil, fmt.Errorf("%s is not among the addresses %v", target.name, known)
	}
	stoppedAt := time.Now()
	if trouble {
		for _, i := range s.instances {
			s.sendSignal(i, syscall.SIGTERM)
			time.Sleep(stopGap)
		}
	}
	time.Sleep(time.Until(stoppedAt.Add(lateCall)))
	if trouble {
		for _, i := range s.instances {
			if known := resolve(s, i); len(known) > 0 {
				return nil, fmt.Errorf("%s still names %v", i.name, known)
			}
		}
	}
	pace(25, lateCalls, func(int) { c.start(target, streamingPath, "") })
	var violations []string
	for _, r := range c.wait() {
		if r.status == http.StatusOK && (!r.isComplete || len(r.events) < s.options.engines[0].events) {
			violations = append(violations, fmt.Sprintf("LOST: the answer to %s, sent over 3 s after SIGTERM, ended after %d events: %v", r.request.id, len(r.events), r.err))
		}
	}
	return violations, nil
}

// resolve returns the addresses that an instance names to callers.
func resolve(s *site, i *instance) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	query := url.Values{"name": {host}, "region": {"aotearoa"}, "zone": {"akl"}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.discovery+"/resolve?"+query.Encode(), nil)
	if err != nil {
		return nil
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.record.add("%s does not say where to connect: %v", i.name, err)
		return nil
	}
	defer response.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}
	_ = json.NewDecoder(response.Body).Decode(&body)
	s.record.add("%s says where to connect: %d, %v for %g s", i.name, response.StatusCode, body.Addresses, body.TTLS)
	return body.Addresses
}
