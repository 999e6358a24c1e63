//go:build review

package player

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes and times of case 15.
const (
	// nameBytes is the length of the names of models. The heads are over the limit of 16,384 bytes.
	nameBytes = 31000
	// namersPerMachine clients send requests to each of attackedCount machines, one after the other.
	namersPerMachine = 60
	namesTime        = 70 * time.Second
	namesAfter       = 3 * time.Second
	modelEvents      = 8
)

// askForUnknown sends a request for a model that does not exist, and reads the answer.
func askForUnknown(ctx context.Context, client *http.Client, to *instance, number int64) {
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.callers+"/bopu901/2f", strings.NewReader("x"))
	request.Host = host
	request.Header.Set("X-Request-Id", fmt.Sprintf("c0de41d0%08x", number))
	request.Header.Set("X-Deadline-Ms", "80")
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("X-Model", strings.Repeat("m", nameBytes)+fmt.Sprint(number))
	request.Header.Set("X-Token-Count", "1460,80")
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// sendNames sends requests for models that do not exist to a machine until the context ends.
func sendNames(ctx context.Context, to *instance, sent *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: namersPerMachine}, Timeout: 2 * time.Second}
	var namers sync.WaitGroup
	for range namersPerMachine {
		namers.Go(func() {
			for ctx.Err() == nil {
				askForUnknown(ctx, client, to, sent.Add(1))
			}
		})
	}
	namers.Wait()
}

// playCase15 lets clients send requests with heads over the limit to two instances, each with another
// name of a model.
func playCase15(rec *record) error {
	site, err := newSite(rec)
	if err != nil {
		return err
	}
	defer site.close()
	site.store.Put("keyed.op", "config", modelTable([]string{"m0"}, 1, false))
	for n := range zones {
		h := &modelHost{
			name: fmt.Sprintf("40f425e%d", n), service: service, zone: zones[n], address: freeAddress(), store: site.store, record: rec,
			backAfter: time.Hour, version: "v1", events: modelEvents, interval: 30 * time.Millisecond,
		}
		if err := h.start([]string{"m0"}); err != nil {
			return err
		}
		defer h.close()
	}
	if err := site.startInstances(machineCount); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), namesAfter+namesTime)
	defer cancel()
	var guards []*memoryGuard
	for _, i := range site.instances {
		g := &memoryGuard{instance: i, done: make(chan struct{})}
		guards = append(guards, g)
		go g.run(ctx, site)
	}
	var sent atomic.Int64
	if isTroubled() {
		for n := range attackedCount {
			time.AfterFunc(namesAfter, func() { sendNames(ctx, site.instances[n], &sent) })
		}
	}
	streams := sendStreamsAt(ctx, site, "m0", ordinaryPerS)
	for _, g := range guards {
		<-g.done
	}
	rec.printf("%d requests for models that do not exist", sent.Load())
	fmt.Printf("%d requests for models that do not exist\n", sent.Load())
	return judgeMemory(site, streams, guards, &crowdCounts{})
}
