//go:build review

package harness2

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// call is a request of a caller.
type call struct {
	path, key, model, tokens, body string
	// isQuiet means that the record has no line for the request.
	isQuiet bool
}

// soundCall returns a request inside all limits.
func soundCall(number int) call {
	return call{path: modelPath + "1", key: limitedKey, model: model, tokens: "100,20", body: fmt.Sprint("note ", number)}
}

// answer is what a caller has received.
type answer struct {
	id     string
	sentAt time.Time
	status int
	// events is the number of events of a stream that ended as complete, or 0.
	events int
	// isServed means that the whole stream arrived.
	isServed bool
	text     string
}

var callCount atomic.Int64

// callerTimeout is the deadline that callers name.
const callerTimeout = 5 * time.Second

// client opens a connection for each request, like a caller that retries.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send sends a request to an instance and records the answer.
func (i *instance) send(c call) answer {
	id := fmt.Sprintf("%016x", callCount.Add(1))
	a := answer{id: id, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.settings.Callers+c.path, strings.NewReader(c.body))
	if err != nil {
		a.text = err.Error()
		return a
	}
	request.Host = host
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": fmt.Sprint(callerTimeout.Milliseconds()), "Authorization": "Bearer " + c.key,
		"X-Model": c.model, "X-Token-Count": c.tokens, "X-Prompt-Prefix": "5c1e07a2:30," + id + ":70",
	} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		a.text = "no answer: " + strings.ReplaceAll(err.Error(), i.settings.Callers, i.settings.ID)
	} else {
		a.read(response)
	}
	if !c.isQuiet {
		i.site.log.printf("%s to %s (%s): %s", id, i.settings.ID, c.body, a.text)
	}
	return a
}

func (a *answer) read(response *http.Response) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status = response.StatusCode
	if a.status != http.StatusOK {
		a.text = fmt.Sprintf("%d %.80s", a.status, body)
		return
	}
	events := strings.Count(string(body), "\n\n")
	a.isServed = err == nil && events >= eventsPerRun && response.Header.Get("X-Response-Stamp") != ""
	if err == nil {
		a.events = events
	}
	a.text = fmt.Sprintf("%d, %d events, complete %t", a.status, events, err == nil)
}
