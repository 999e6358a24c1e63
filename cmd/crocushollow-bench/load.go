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

// Shape of the requests.
const (
	minTokens, maxTokens = 20, 60
	prefixesPerWorkspace = 12
	prefixLength         = 400
	// generatedTokens is the mean length of an answer, and chargedTokens the
	// mean charge of a request with its prompt.
	generatedTokens = (minTokens + maxTokens) / 2
	chargedTokens   = generatedTokens + prefixLength/4 + 20
)

// answered is what a caller got for a request to a model.
type answered struct {
	workspace int
	at        time.Time
	prompt    caller.Prompt
	got       caller.StreamResult
	err       error
}

// ordered is what a caller got for an order.
type ordered struct {
	key     string
	replies []caller.Response
}

// directory follows discovery on behalf of the callers of a workspace.
type directory struct {
	run       *run
	workspace string
	caller    *caller.Caller

	mu    sync.Mutex
	known map[string]*addresses
}

// addresses is an answer of discovery about a model.
type addresses struct {
	list  []string
	until time.Time
	next  int
}

// address returns the address for the next request to a model.
func (d *directory) address(model string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, found := d.known[model]
	if !found {
		known = &addresses{}
		d.known[model] = known
	}
	if time.Now().After(known.until) {
		d.ask(model, known)
	}
	if len(known.list) == 0 {
		return ""
	}
	known.next++
	return known.list[known.next%len(known.list)]
}

func (d *directory) ask(model string, known *addresses) {
	for _, instance := range d.run.site.Instances() {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		answer, err := d.caller.Discover(ctx, instance.Callers, d.workspace, model, "")
		cancel()
		if err == nil && len(answer.Addresses) > 0 {
			known.list = answer.Addresses
			known.until = time.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)
			return
		}
	}
}

// offer sends the requests of a workspace as a Poisson process, whatever
// becomes of them.
func (r *run) offer(ctx context.Context, workspace int) {
	random := rand.New(rand.NewPCG(uint64(workspace), r.random.Uint64()))
	id := workspaceID(workspace)
	c := caller.New(r.secrets[id])
	d := &directory{run: r, workspace: id, caller: c, known: make(map[string]*addresses)}
	rate := r.scenario.load * r.capacity * workspaceShares[workspace] / generatedTokens
	if workspace == 0 && r.scenario.flood > 0 {
		rate = r.scenario.flood * float64(r.workload.Workspaces[0].TokenRate) / chargedTokens
	}
	var group sync.WaitGroup
	for sleep(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second))) {
		prompt := r.prompt(random, workspace)
		group.Go(func() { r.ask(d, workspace, prompt) })
	}
	group.Wait()
	c.Client.CloseIdleConnections()
}

// prompt draws a request. Prompts of a workspace share prefixes.
func (r *run) prompt(random *rand.Rand, workspace int) caller.Prompt {
	prefix := fmt.Sprintf("workspace %d prefix %d ", workspace, random.IntN(prefixesPerWorkspace))
	content := strings.Repeat(prefix, prefixLength/len(prefix)) + fmt.Sprint(random.Uint64())
	model := int(float64(r.size.models) * random.Float64() * random.Float64())
	if r.scenario.shift && time.Since(r.began) > r.length/3 {
		// The least wanted models become the most wanted ones.
		model = r.size.models - 1 - model/3
	}
	return caller.Prompt{
		Model:   modelID(model),
		Content: content,
		Tokens:  minTokens + random.IntN(maxTokens-minTokens+1),
	}
}

// askTimeout bounds how long a caller waits for an answer.
const askTimeout = 20 * time.Second

func (r *run) ask(d *directory, workspace int, prompt caller.Prompt) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	a := answered{workspace: workspace, at: time.Now(), prompt: prompt}
	if address := d.address(prompt.Model); address != "" {
		a.got, a.err = d.caller.Stream(ctx, address, prompt)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

// offerOrders sends orders, each again at another instance when its outcome is
// not known.
func (r *run) offerOrders(ctx context.Context) {
	id := workspaceID(2)
	c := caller.New(r.secrets[id])
	c.Client.Timeout = askTimeout
	var group sync.WaitGroup
	pause := time.Duration(float64(time.Second) / r.scenario.orders)
	for n := 0; sleep(ctx, pause); n++ {
		key := fmt.Sprintf("order-%d", n)
		group.Go(func() {
			const tries = 3
			o := ordered{key: key}
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
