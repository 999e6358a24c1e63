package soaker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// callKind names a type of call. It decides whether a call may run more than once.
type callKind string

// The call kinds. An order and a stream that cannot be resumed may run at most once.
const (
	order  callKind = "order"
	lookUp callKind = "look_up"
	notes  callKind = "notes"
	advice callKind = "advice"
	// guide and longAdvice are streams that last for seconds. The second may be resumed.
	guide      callKind = "guide"
	longAdvice callKind = "long_advice"
	// paced is a stream that lasts for as long as its path names.
	paced callKind = "paced"
	// probe is a look-up on a route, or with a key, that table edits add and remove.
	probe callKind = "probe"
)

// isRepeatable reports whether a call may run more than once.
func (k callKind) isRepeatable() bool { return k == lookUp || k.isResumable() || k == probe }

// isResumable reports whether a call is a stream that may be resumed.
func (k callKind) isResumable() bool { return k == advice || k == longAdvice }

// isStream reports whether a call is a stream, and isLong whether it lasts for seconds.
func (k callKind) isStream() bool { return k == notes || k == advice || k == paced || k.isLong() }

func (k callKind) isLong() bool { return k == guide || k == longAdvice }

// Timing of the callers.
const (
	// meanCallInterval is the mean pause between two calls of a caller.
	meanCallInterval = 60 * time.Millisecond
	// addressRefreshInterval is the time between two discovery requests of a caller.
	addressRefreshInterval = time.Second
	// callTimeout bounds a call. A caller cancels earlyCancelShare of its calls
	// after earlyCancelTimeout already.
	callTimeout     = 5 * time.Second
	longCallTimeout = 14 * time.Second
	// routeTimeout is the timeout of the routes. longRequestTimeout is that of the routes of
	// long calls, which their requests name too.
	routeTimeout       = 2 * time.Second
	longRequestTimeout = 12 * time.Second
	earlyCancelShare   = 0.03
	earlyCancelTimeout = 150 * time.Millisecond
	// resolveTimeout bounds a discovery request.
	resolveTimeout = time.Second
	// maxTries is the number of attempts of a caller for one call. It repeats a call that
	// was rejected and takes up a stream that broke off.
	maxTries = 3
	// longCallers is the fraction of the callers that send calls of the long kinds only.
	longCallers = 0.5
)

// caller sends calls one after the other. It keeps using addresses from earlier
// discovery responses until they refuse connections.
type caller struct {
	soaker     *Soaker
	random     *rand.Rand
	client     *http.Client
	addresses  []string
	resolvedAt time.Time
	// isLong means that the caller sends calls of the long kinds only.
	isLong bool
}

var callNumber atomic.Uint64

func newCaller(s *Soaker, number int, random *rand.Rand) *caller {
	return &caller{
		soaker: s, random: random, isLong: float64(number) < longCallers*float64(s.config.Callers),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
}

// run sends calls until the context ends.
func (c *caller) run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if time.Since(c.resolvedAt) > addressRefreshInterval {
			c.refreshAddresses(ctx)
		}
		if len(c.addresses) > 0 {
			c.callUntilServed(ctx)
		}
		if sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(meanCallInterval))) != nil {
			break
		}
	}
	return nil
}

// callUntilServed sends a call, and again under another ID if it is rejected. It takes up a
// stream that breaks off, if it may be resumed.
func (c *caller) callUntilServed(ctx context.Context) {
	request, kind := c.choose()
	ended := call{kind: kind}
	for range maxTries {
		if len(c.addresses) == 0 {
			return
		}
		ended = c.call(ctx, c.addresses[c.random.IntN(len(c.addresses))], request, &ended)
		wait, isRejected := ended.retryAfter()
		isCut := ended.status == http.StatusOK && !ended.isComplete && kind.isResumable()
		if ended.canceled || !isCut && !isRejected && !ended.refused {
			return
		}
		if sleep(ctx, wait) != nil {
			return
		}
		request.ID = newCallID()
		if ended.lastEvent > 0 {
			request = request.WithTakeUp(ended.chain, ended.lastEvent)
		}
	}
}

func newCallID() string { return fmt.Sprintf("%016x", callNumber.Add(1)) }

// refreshAddresses adds the addresses that the discovery endpoint of a random
// instance returns.
func (c *caller) refreshAddresses(ctx context.Context) {
	fleet := c.soaker.fleet
	if addresses, isKnown := resolve(ctx, c.client, fleet[c.random.IntN(len(fleet))]); isKnown {
		c.addAddresses(addresses)
	}
}

func (c *caller) addAddresses(addresses []string) {
	c.resolvedAt = time.Now()
	for _, known := range addresses {
		if !slices.Contains(c.addresses, known) {
			c.addresses = append(c.addresses, known)
		}
	}
}

func (c *caller) removeAddress(address string) {
	c.addresses = slices.DeleteFunc(c.addresses, func(other string) bool { return other == address })
}

// resolve returns the addresses that the discovery endpoint of an instance returns, and
// whether it has responded.
func resolve(ctx context.Context, client *http.Client, p *process) ([]string, bool) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.discovery+"/resolve?name="+platformtest.Host, nil)
	if err != nil {
		return nil, false
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, false
	}
	defer response.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&body) != nil {
		return nil, false
	}
	return body.Addresses, true
}

// call sends one attempt of a call after an earlier one, and records and returns its result.
func (c *caller) call(ctx context.Context, address string, request platformtest.Request, earlier *call) call {
	ended := call{
		id: request.ID, kind: earlier.kind, path: request.Path, key: request.APIKey, instance: c.soaker.instanceAt(address),
		chain: request.ID, firstEvent: earlier.lastEvent + 1, lastEvent: earlier.lastEvent,
	}
	if earlier.lastEvent > 0 {
		ended.chain = earlier.chain
	}
	wait := callTimeout
	switch {
	case c.random.Float64() < earlyCancelShare:
		wait = earlyCancelTimeout
	case c.isLong:
		wait = longCallTimeout
	}
	ended.send(ctx, c.client, address, request, wait)
	if ended.refused {
		c.removeAddress(address)
	}
	if ctx.Err() == nil {
		c.soaker.history.addCall(ended)
	}
	return ended
}

// send sends the request of a call, waits for its end and records its result.
func (c *call) send(ctx context.Context, client *http.Client, address string, request platformtest.Request, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var trace sendTrace
	c.sentAt = time.Now()
	response, err := platformtest.SendWith(httptrace.WithClientTrace(ctx, trace.client()), client, address, request)
	c.endedAt = time.Now()
	c.canceled = ctx.Err() != nil
	c.status, c.body, c.isComplete, c.events = response.Status, response.Body, response.Complete, response.EventIDs()
	c.header, c.versions = response.Header, response.SoftwareVersions()
	if count := len(c.events); count > 0 && response.Status == http.StatusOK {
		c.lastEvent = c.events[count-1]
	}
	c.refused = errors.Is(err, syscall.ECONNREFUSED)
	c.writtenAt, c.dropped = trace.result()
}

// sendTrace records when a request is sent. The transport sends a request again that may run
// more than once if a kept connection ends without a response.
type sendTrace struct {
	mu        sync.Mutex
	writtenAt time.Time
	dropped   []drop
}

// drop is an attempt that ended without a response before the transport sent the request
// again. The time at which its last byte was sent is zero if it was not.
type drop struct{ writtenAt, endedAt time.Time }

func (t *sendTrace) client() *httptrace.ClientTrace {
	isSent := false
	return &httptrace.ClientTrace{
		GetConn: func(string) {
			t.mu.Lock()
			defer t.mu.Unlock()
			if isSent {
				t.dropped = append(t.dropped, drop{t.writtenAt, time.Now()})
				t.writtenAt = time.Time{}
			}
			isSent = true
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			if info.Err == nil {
				t.writtenAt = time.Now()
			}
		},
	}
}

func (t *sendTrace) result() (writtenAt time.Time, dropped []drop) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writtenAt, t.dropped
}

// choose draws the next call at random. Each call has a unique path, so that no
// instance takes it for an earlier request that crashed upstreams.
func (c *caller) choose() (platformtest.Request, callKind) {
	request := platformtest.Request{ID: newCallID(), APIKey: platformtest.APIKey}
	if c.isLong {
		request.Path, request.Model, request.Body = platformtest.LongPath+request.ID, platformtest.Model, "prompt"
		request.Timeout = longRequestTimeout
		if c.random.IntN(2) == 0 {
			request.Path = platformtest.LongResumablePath + request.ID
			return request, longAdvice
		}
		return request, guide
	}
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

// model draws the model of a call, half of the time with an adapter.
func (c *caller) model() string {
	model := platformtest.Model
	if c.random.Float64() < 0.2 {
		model = platformtest.OtherModel
	}
	if c.random.IntN(2) == 0 {
		return fmt.Sprintf("%s/a%d", model, 1+c.random.IntN(3))
	}
	return model
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
