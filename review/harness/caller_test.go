//go:build review

package harness

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is what a caller sends.
type request struct {
	id          string
	path        string
	adapter     string
	lastEventID int
}

// response is what a caller receives.
type response struct {
	request request
	status  int
	// events lists the data of the events.
	events []string
	// isComplete reports that the answer had its regular end.
	isComplete bool
	err        error
}

// callers sends requests and collects the responses.
type callers struct {
	site   *site
	client *http.Client

	mu        sync.Mutex
	responses []response
	pending   sync.WaitGroup
	count     int
}

func newCallers(s *site) *callers {
	return &callers{site: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// start sends a request in a goroutine of its own.
func (c *callers) start(to *instance, path, adapter string) {
	c.mu.Lock()
	c.count++
	r := request{id: fmt.Sprintf("%016x", c.count), path: path, adapter: adapter}
	c.mu.Unlock()
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		received := c.send(to, r)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.responses = append(c.responses, received)
	}()
}

// wait waits for all responses and returns them.
func (c *callers) wait() []response {
	c.pending.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responses
}

// send sends a request and reads the response.
func (c *callers) send(to *instance, r request) response {
	timeout := c.site.options.timeout
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	received := response{request: r}
	text := strings.Repeat("prompt ", 40)
	sent, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.callers+r.path+"2f", strings.NewReader(text))
	if err != nil {
		received.err = err
		return received
	}
	sent.Host = host
	sent.Header.Set("X-Request-Id", r.id)
	sent.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	sent.Header.Set("Authorization", "Bearer "+apiKey)
	sent.Header.Set("X-Token-Count", "600,80")
	sent.Header.Set("X-Prompt-Prefix", "5c1e07a2:200,"+r.id[8:]+":400")
	sent.Header.Set("X-Model", model)
	if r.adapter != "" {
		sent.Header.Set("X-Model", model+"/"+r.adapter)
	}
	if r.lastEventID > 0 {
		sent.Header.Set("Last-Event-Id", fmt.Sprint(r.lastEventID))
	}
	c.site.record.add("caller sends %s to %s: %s, adapter %q, Last-Event-Id %d", r.id, to.name, r.path, r.adapter, r.lastEventID)
	answered, err := c.client.Do(sent)
	if err != nil {
		received.err = err
		c.site.record.add("caller gets no answer to %s: %v", r.id, err)
		return received
	}
	defer answered.Body.Close()
	received.status = answered.StatusCode
	lines := bufio.NewScanner(answered.Body)
	for lines.Scan() {
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			received.events = append(received.events, data)
		}
	}
	received.err = lines.Err()
	received.isComplete = received.err == nil
	c.site.record.add("caller gets %d to %s, stamp %q, %d events, complete %v", received.status, r.id,
		answered.Header.Get("X-Response-Stamp"), len(received.events), received.isComplete)
	return received
}

// pace calls f at a rate until the duration is over.
func pace(perSecond int, duration time.Duration, f func(number int)) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for number := range int(duration.Seconds() * float64(perSecond)) {
		<-ticker.C
		f(number)
	}
}
