package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// Load of the paced callers.
const (
	// meanPacedInterval is the mean time between two streams of a paced caller, and
	// pacedTokenRate the tokens per second that the paced callers of a group use.
	meanPacedInterval = 15 * time.Millisecond
	pacedTokenRate    = tokensPerPlainCall * pacedCallersPerGroup * float64(time.Second/meanPacedInterval)
	// maxOpenStreams bounds the streams that a paced caller has open at a time, and
	// keptConnections the connections that it keeps to each instance.
	maxOpenStreams  = 200
	keptConnections = 16
	// Most streams take up to maxShortStream. slowStreamShare of them take minSlowStream to
	// maxSlowStream.
	maxShortStream  = 500 * time.Millisecond
	slowStreamShare = 0.05
	minSlowStream   = 5 * time.Second
	maxSlowStream   = 7 * time.Second
	// A chunkedShare of the bodies is sent in chunks, with a pause of up to maxBodyPause.
	chunkedShare = 0.5
	maxBodyPause = 400 * time.Millisecond
)

// pacedCaller sends streams of one route at a rate that does not depend on how long they take.
// It uses several kept connections, and addresses until they refuse connections.
type pacedCaller struct {
	caller
	// ended and resolved receive the results of the goroutines that run started.
	ended    chan pacedResult
	resolved chan []string
}

type pacedResult struct {
	address string
	refused bool
}

func newPacedCaller(s *Soaker, random *rand.Rand) *pacedCaller {
	return &pacedCaller{
		caller: caller{
			soaker: s, random: random,
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: keptConnections}},
		},
		ended: make(chan pacedResult), resolved: make(chan []string),
	}
}

// run sends streams until the context ends, and waits for the end of all of them.
func (c *pacedCaller) run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	open, isResolving := 0, false
	timer := time.NewTimer(0)
	defer timer.Stop()
	done := ctx.Done()
	for done != nil || open > 0 || isResolving {
		select {
		case <-done:
			done = nil
		case result := <-c.ended:
			open--
			if result.refused {
				c.removeAddress(result.address)
			}
		case addresses := <-c.resolved:
			isResolving = false
			c.addAddresses(addresses)
		case <-timer.C:
			if done == nil {
				continue
			}
			timer.Reset(time.Duration(c.random.ExpFloat64() * float64(meanPacedInterval)))
			if !isResolving && time.Since(c.resolvedAt) > addressRefreshInterval {
				isResolving = true
				fleet := c.soaker.fleet
				go c.resolve(ctx, fleet[c.random.IntN(len(fleet))])
			}
			if len(c.addresses) > 0 && open < maxOpenStreams {
				open++
				go c.stream(ctx, c.addresses[c.random.IntN(len(c.addresses))], c.choose())
			}
		}
	}
	return nil
}

func (c *pacedCaller) resolve(ctx context.Context, p *process) {
	addresses, _ := resolve(ctx, c.client, p)
	c.resolved <- addresses
}

// stream sends one stream and records its result.
func (c *pacedCaller) stream(ctx context.Context, address string, request platformtest.Request) {
	ended := call{id: request.ID, chain: request.ID, kind: paced, path: request.Path, key: request.APIKey, instance: c.soaker.instanceAt(address)}
	ended.send(ctx, c.client, address, request, longCallTimeout)
	if ctx.Err() == nil {
		c.soaker.history.addCall(ended)
	}
	c.ended <- pacedResult{address, ended.refused}
}

// choose draws the next stream at random.
func (c *pacedCaller) choose() platformtest.Request {
	duration := time.Duration(c.random.Float64() * float64(maxShortStream))
	if c.random.Float64() < slowStreamShare {
		duration = minSlowStream + time.Duration(c.random.Float64()*float64(maxSlowStream-minSlowStream))
	}
	request := platformtest.Request{ID: newCallID(), APIKey: platformtest.APIKey, Body: "prompt", Timeout: longRequestTimeout}
	request.Path = fmt.Sprintf("%s%s/%s", platformtest.PacedPath, duration, request.ID)
	if c.random.Float64() < chunkedShare {
		request.BodyPause = time.Duration(c.random.Float64() * float64(maxBodyPause))
	}
	return request
}
