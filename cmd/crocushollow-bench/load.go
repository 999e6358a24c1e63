package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/crocushollow/crocushollow/standin/caller"
)

// Parameters of the generated requests.
const (
	minTokens, maxTokens = 20, 60
	prefixesPerWorkspace = 12
	prefixLength         = 400
	// meanGeneratedTokens is the mean length of a response in tokens, and
	// meanChargedTokens the mean charge of a request including its prompt.
	meanGeneratedTokens = (minTokens + maxTokens) / 2
	meanChargedTokens   = meanGeneratedTokens + prefixLength/4 + 20
)

// modelResult is the result of a request to a model.
type modelResult struct {
	workspace int
	at        time.Time
	prompt    caller.Prompt
	response  caller.StreamResult
	err       error
}

// orderResult holds the responses to all attempts of an order.
type orderResult struct {
	key     string
	replies []caller.Response
}

// discoveryCache caches discovery responses for the callers of a workspace.
type discoveryCache struct {
	run       *run
	workspace string
	caller    *caller.Caller

	mu    sync.Mutex
	cache map[string]*cachedAddresses
}

// cachedAddresses is the discovery response for a model.
type cachedAddresses struct {
	addresses []string
	expiresAt time.Time
	next      int
}

// nextAddress returns the next address for a request to a model, in round-robin order.
func (d *discoveryCache) nextAddress(model string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	cached, found := d.cache[model]
	if !found {
		cached = &cachedAddresses{}
		d.cache[model] = cached
	}
	if time.Now().After(cached.expiresAt) {
		d.refresh(model, cached)
	}
	if len(cached.addresses) == 0 {
		return ""
	}
	cached.next++
	return cached.addresses[cached.next%len(cached.addresses)]
}

func (d *discoveryCache) refresh(model string, cached *cachedAddresses) {
	for _, instance := range d.run.site.Instances() {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		response, err := d.caller.Discover(ctx, instance.Callers, d.workspace, model, "")
		cancel()
		if err == nil && len(response.Addresses) > 0 {
			cached.addresses = response.Addresses
			cached.expiresAt = time.Now().Add(time.Duration(response.TTLMS) * time.Millisecond)
			return
		}
	}
}

// sendRequests sends the requests of a workspace as an open-loop Poisson process: it
// does not wait for responses.
func (r *run) sendRequests(ctx context.Context, workspace int) {
	random := rand.New(rand.NewPCG(uint64(workspace), r.random.Uint64()))
	id := workspaceID(workspace)
	c := caller.New(r.secrets[id])
	d := &discoveryCache{run: r, workspace: id, caller: c, cache: make(map[string]*cachedAddresses)}
	rate := r.scenario.load * r.capacity * workspaceShares[workspace] / meanGeneratedTokens
	if workspace == 0 && r.scenario.floodFactor > 0 {
		rate = r.scenario.floodFactor * float64(r.workload.Workspaces[0].TokenRate) / meanChargedTokens
	}
	var group sync.WaitGroup
	for sleep(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second))) {
		prompt := r.newPrompt(random, workspace)
		group.Go(func() { r.sendPrompt(d, workspace, prompt) })
	}
	group.Wait()
	c.Client.CloseIdleConnections()
}

// newPrompt generates a random prompt. Prompts of a workspace share prefixes.
func (r *run) newPrompt(random *rand.Rand, workspace int) caller.Prompt {
	prefix := fmt.Sprintf("workspace %d prefix %d ", workspace, random.IntN(prefixesPerWorkspace))
	content := strings.Repeat(prefix, prefixLength/len(prefix)) + fmt.Sprint(random.Uint64())
	model := int(float64(r.size.models) * random.Float64() * random.Float64())
	if r.scenario.shiftsDemand && time.Since(r.startedAt) > r.length/3 {
		// The models with the lowest demand become those with the highest.
		model = r.size.models - 1 - model/3
	}
	return caller.Prompt{
		Model:   modelID(model),
		Content: content,
		Tokens:  minTokens + random.IntN(maxTokens-minTokens+1),
	}
}

// requestTimeout limits the time that a caller waits for a response.
const requestTimeout = 20 * time.Second

func (r *run) sendPrompt(d *discoveryCache, workspace int, prompt caller.Prompt) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	result := modelResult{workspace: workspace, at: time.Now(), prompt: prompt}
	if address := d.nextAddress(prompt.Model); address != "" {
		result.response, result.err = d.caller.Stream(ctx, address, prompt)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// sendOrders sends each order up to three times with one idempotency key, each time
// to another instance, until the response has status 200.
func (r *run) sendOrders(ctx context.Context) {
	id := workspaceID(2)
	c := caller.New(r.secrets[id])
	c.Client.Timeout = requestTimeout
	var group sync.WaitGroup
	pause := time.Duration(float64(time.Second) / r.scenario.orders)
	for n := 0; sleep(ctx, pause); n++ {
		key := fmt.Sprintf("order-%d", n)
		group.Go(func() {
			const tries = 3
			o := orderResult{key: key}
			for i := range tries {
				instances := r.site.Instances()
				instance := instances[(n+i)%len(instances)]
				header := http.Header{"Idempotency-Key": {key}}
				reply, err := c.Send(context.Background(), http.MethodPost, instance.Callers, "/orders", header, `{"pairs":1}`)
				if err != nil {
					continue
				}
				o.replies = append(o.replies, reply)
				if reply.Status == http.StatusOK {
					break
				}
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.orders = append(r.orders, o)
		})
	}
	group.Wait()
}
