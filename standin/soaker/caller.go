package soaker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// callKind names a type of call. It decides whether a call may run more than once.
type callKind string

// The call kinds. An order and a notes call may run at most once.
const (
	order  callKind = "order"
	lookUp callKind = "look_up"
	notes  callKind = "notes"
	advice callKind = "advice"
	// probe is a look-up on a route, or with a key, that table edits add and remove.
	probe callKind = "probe"
)

// isRepeatable reports whether a call may run more than once.
func (k callKind) isRepeatable() bool { return k == lookUp || k == advice || k == probe }

// Timing of the callers.
const (
	// meanCallInterval is the mean pause between two calls of a caller.
	meanCallInterval = 60 * time.Millisecond
	// addressRefreshInterval is the time between two discovery requests of a caller.
	addressRefreshInterval = time.Second
	// callTimeout bounds a call. A caller cancels earlyCancelShare of its calls
	// after earlyCancelTimeout already.
	callTimeout        = 5 * time.Second
	earlyCancelShare   = 0.03
	earlyCancelTimeout = 150 * time.Millisecond
	// resolveTimeout bounds a discovery request.
	resolveTimeout = time.Second
)

// caller sends calls one after the other. It keeps using addresses from earlier
// discovery responses until they refuse connections.
type caller struct {
	soaker     *Soaker
	random     *rand.Rand
	client     *http.Client
	addresses  []string
	resolvedAt time.Time
}

var callNumber atomic.Uint64

func newCaller(s *Soaker, random *rand.Rand) *caller {
	return &caller{soaker: s, random: random, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// run sends calls until the context ends.
func (c *caller) run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if time.Since(c.resolvedAt) > addressRefreshInterval {
			c.refreshAddresses(ctx)
		}
		if len(c.addresses) > 0 {
			c.call(ctx, c.addresses[c.random.IntN(len(c.addresses))])
		}
		if sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(meanCallInterval))) != nil {
			break
		}
	}
	return nil
}

// refreshAddresses adds the addresses that the discovery endpoint of a random
// instance returns.
func (c *caller) refreshAddresses(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	fleet := c.soaker.fleet
	address := fleet[c.random.IntN(len(fleet))].discovery
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/resolve?name="+platformtest.Host, nil)
	if err != nil {
		return
	}
	response, err := c.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&body) != nil {
		return
	}
	c.resolvedAt = time.Now()
	for _, known := range body.Addresses {
		if !slices.Contains(c.addresses, known) {
			c.addresses = append(c.addresses, known)
		}
	}
}

// call sends one call and records its result.
func (c *caller) call(ctx context.Context, address string) {
	request, k := c.choose()
	ended := call{id: request.ID, kind: k, path: request.Path, key: request.APIKey, instance: c.soaker.instanceAt(address), sentAt: time.Now()}
	wait := callTimeout
	if c.random.Float64() < earlyCancelShare {
		wait = earlyCancelTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	response, err := platformtest.SendWith(callCtx, c.client, address, request)
	ended.endedAt = time.Now()
	ended.canceled = callCtx.Err() != nil
	ended.status, ended.body, ended.isComplete, ended.events = response.Status, response.Body, response.Complete, response.EventIDs()
	if errors.Is(err, syscall.ECONNREFUSED) {
		ended.refused = true
		c.addresses = slices.DeleteFunc(c.addresses, func(other string) bool { return other == address })
	}
	if ctx.Err() == nil {
		c.soaker.history.addCall(ended)
	}
}

// choose draws the next call at random. Each call has a unique path, so that no
// instance takes it for an earlier request that crashed upstreams.
func (c *caller) choose() (platformtest.Request, callKind) {
	request := platformtest.Request{ID: fmt.Sprintf("%016x", callNumber.Add(1)), APIKey: platformtest.APIKey}
	switch draw := c.random.Float64(); {
	case draw < 0.25:
		request.Path, request.Body = platformtest.NonIdempotentPath+request.ID, "ten frames"
		return request, order
	case draw < 0.45:
		request.Path = platformtest.IdempotentPath + request.ID
		return request, lookUp
	case draw < 0.7:
		request.Path, request.Model, request.Body = platformtest.StreamingPath+request.ID, c.model(), "prompt"
		return request, notes
	case draw < 0.9:
		request.Path, request.Model, request.Body = platformtest.ResumablePath+request.ID, c.model(), "prompt"
		return request, advice
	case draw < 0.95:
		request.Path = toggledPath + request.ID
		return request, probe
	}
	request.Path, request.APIKey = platformtest.IdempotentPath+request.ID, toggledKey
	return request, probe
}

func (c *caller) model() string {
	if c.random.Float64() < 0.2 {
		return platformtest.OtherModel
	}
	return platformtest.Model
}

// instanceAt returns the name of the instance that listens on an address.
func (s *Soaker) instanceAt(address string) string {
	for _, p := range s.fleet {
		if p.callers == address {
			return p.name
		}
	}
	return ""
}
