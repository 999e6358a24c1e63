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

// kind tells what of a call may be repeated.
type kind string

// The kinds.
const (
	order  kind = "order"
	lookUp kind = "look_up"
	notes  kind = "notes"
	advice kind = "advice"
	// probe is a look-up on a route that comes and goes, or with such a key.
	probe kind = "probe"
)

// isRepeatable tells that a call may run more than once.
func (k kind) isRepeatable() bool { return k == lookUp || k == advice || k == probe }

// Behaviour of the callers.
const (
	// callPause is the mean pause between two calls of a caller.
	callPause = 60 * time.Millisecond
	// askPause is how long a caller keeps the addresses that it was told.
	askPause = time.Second
	// patience is how long a caller waits, and hasteShare the part of the calls
	// that it gives up after haste.
	patience   = 5 * time.Second
	hasteShare = 0.03
	haste      = 150 * time.Millisecond
	// askTimeout bounds the asking for addresses.
	askTimeout = time.Second
)

// caller sends one call after the other. It goes on to use connections to
// addresses that it was told earlier, until these take no more.
type caller struct {
	soaker    *Soaker
	random    *rand.Rand
	client    *http.Client
	addresses []string
	askedAt   time.Time
}

var callNumber atomic.Uint64

func newCaller(s *Soaker, random *rand.Rand) *caller {
	return &caller{soaker: s, random: random, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// run sends calls until the context ends.
func (c *caller) run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if time.Since(c.askedAt) > askPause {
			c.ask(ctx)
		}
		if len(c.addresses) > 0 {
			c.call(ctx, c.addresses[c.random.IntN(len(c.addresses))])
		}
		if sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(callPause))) != nil {
			break
		}
	}
	return nil
}

// ask adds the addresses that an instance names.
func (c *caller) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return
	}
	c.askedAt = time.Now()
	for _, known := range answer.Addresses {
		if !slices.Contains(c.addresses, known) {
			c.addresses = append(c.addresses, known)
		}
	}
}

// call sends one call and notes its end.
func (c *caller) call(ctx context.Context, address string) {
	r, k := c.choose()
	ended := call{id: r.ID, kind: k, path: r.Path, key: r.APIKey, instance: c.soaker.nameOf(address), sentAt: time.Now()}
	wait := patience
	if c.random.Float64() < hasteShare {
		wait = haste
	}
	callCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	answer, err := platformtest.SendWith(callCtx, c.client, address, r)
	ended.endedAt = time.Now()
	ended.gaveUp = callCtx.Err() != nil
	ended.status, ended.body, ended.whole, ended.events = answer.Status, answer.Body, answer.Complete, answer.EventIDs()
	if errors.Is(err, syscall.ECONNREFUSED) {
		ended.refused = true
		c.addresses = slices.DeleteFunc(c.addresses, func(other string) bool { return other == address })
	}
	if ctx.Err() == nil {
		c.soaker.history.addCall(ended)
	}
}

// choose draws the next call. Each is another request, so that none is taken for
// one that has crashed back ends before.
func (c *caller) choose() (platformtest.Request, kind) {
	r := platformtest.Request{ID: fmt.Sprintf("%016x", callNumber.Add(1)), APIKey: platformtest.APIKey}
	switch draw := c.random.Float64(); {
	case draw < 0.25:
		r.Path, r.Body = platformtest.NonIdempotentPath+r.ID, "ten frames"
		return r, order
	case draw < 0.45:
		r.Path = platformtest.IdempotentPath + r.ID
		return r, lookUp
	case draw < 0.7:
		r.Path, r.Model, r.Body = platformtest.StreamingPath+r.ID, c.model(), "prompt"
		return r, notes
	case draw < 0.9:
		r.Path, r.Model, r.Body = platformtest.ResumablePath+r.ID, c.model(), "prompt"
		return r, advice
	case draw < 0.95:
		r.Path = addedPath + r.ID
		return r, probe
	}
	r.Path, r.APIKey = platformtest.IdempotentPath+r.ID, withdrawnKey
	return r, probe
}

func (c *caller) model() string {
	if c.random.Float64() < 0.2 {
		return platformtest.OtherModel
	}
	return platformtest.Model
}

// nameOf returns the name of the instance with an address.
func (s *Soaker) nameOf(address string) string {
	for _, p := range s.fleet {
		if p.callers == address {
			return p.name
		}
	}
	return ""
}
