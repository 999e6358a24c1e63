//go:build review

package player

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	host    = "wuny96.example"
	apiKey  = "i9n73hh2b9wu3fexd9dn"
	service = "dele69a"
)

// streamTable is a configuration with one route of streams that may be resumed.
func streamTable() []byte {
	text, _ := json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "reply", "host": host, "pathPrefix": "/bopu901/", "kind": "streaming", "service": service, "timeoutMs": 12000,
			"targetLatencyMs": 5000, "targetGapMs": 400, "priority": 1, "maxAttempts": 2, "public": false, "resumable": true,
		}},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 370, "coldStartS": 0, "coldPerS": 0}},
		"tenants": []map[string]any{{
			"name": "hule930", "apiKeys": []string{apiKey}, "unit": "generate", "plainTokens": 200, "ratePerS": 0, "burst": 0,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return text
}

// stream is what a client got of one stream, over its tries.
type stream struct {
	// model is empty for a service without models.
	model string
	// versions and events hold the software version and the ID of each event.
	versions []string
	events   []int
	isWhole  bool
	statuses []int
	// eventsBefore is the number of events before the client took the stream up, at brokeAt.
	eventsBefore int
	sentAt       time.Time
	brokeAt      time.Time
}

// play sends a request for a stream, and takes the stream up once if it breaks off.
func (s *stream) play(site *site, id string) {
	s.sentAt = time.Now()
	first := rand.IntN(len(site.instances))
	s.send(site, site.instances[first], id, "")
	if !s.isWhole && len(s.events) > 0 {
		s.eventsBefore, s.brokeAt = len(s.events), time.Now()
		s.send(site, site.instances[(first+1)%len(site.instances)], id+"-b", id)
	}
}

func (s *stream) send(site *site, to *instance, id, resumes string) {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.callers+"/bopu901/2f", strings.NewReader("draft "+id))
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "12000")
	request.Header.Set("Authorization", "Bearer "+apiKey)
	if s.model != "" {
		request.Header.Set("X-Model", s.model)
		request.Header.Set("X-Token-Count", "1460,80")
		request.Header.Set("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,"+id+":250")
	}
	if resumes != "" {
		request.Header.Set("Resumes", resumes)
		request.Header.Set("Last-Event-Id", strconv.Itoa(s.events[len(s.events)-1]))
	}
	site.record.printf("client sends %s to %s, resumes %q", id, to.id, resumes)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.statuses = append(s.statuses, 0)
		site.record.printf("client gets no answer to %s: %v", id, err)
		return
	}
	defer response.Body.Close()
	s.statuses = append(s.statuses, response.StatusCode)
	lines := bufio.NewScanner(response.Body)
	var got []string
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "id: "); found {
			event, _ := strconv.Atoi(text)
			s.events = append(s.events, event)
		}
		if text, found := strings.CutPrefix(lines.Text(), "data: "); found {
			version, _, _ := strings.Cut(text, " ")
			s.versions = append(s.versions, version)
			got = append(got, version)
		}
	}
	s.isWhole = response.StatusCode == http.StatusOK && lines.Err() == nil
	site.record.printf("client gets %d for %s, events of %v, whole %t", response.StatusCode, id, got, s.isWhole)
}

func (s *stream) hasSeveralVersions() bool {
	return len(slices.Compact(slices.Sorted(slices.Values(s.versions)))) > 1
}

// Times of case 13.
const (
	engineCount    = 6
	streamsPerS    = 40
	calmTime       = 3 * time.Second
	outageTime     = 4500 * time.Millisecond
	firstCrashAt   = 300 * time.Millisecond
	secondCrashAt  = 4200 * time.Millisecond
	downTime       = 100 * time.Millisecond
	mixedTolerated = 2
)

// playCase13 lets an engine crash and start again at once under its ID, with the next version of
// its software, while the store is down. It crashes once more before the store is back.
func playCase13(rec *record) error {
	site, err := newSite(rec)
	if err != nil {
		return err
	}
	defer site.close()
	site.store.Put("keyed.op", "config", streamTable())
	var engines []*engine
	for n := range engineCount {
		e := newEngine(fmt.Sprintf("i-40f425ee%02d", n), service, zones[n%len(zones)], site.store, rec)
		if err := e.start("v1"); err != nil {
			return err
		}
		defer e.crash()
		engines = append(engines, e)
	}
	if err := site.startInstances(len(zones)); err != nil {
		return err
	}
	// The versions in use are recorded within a second of the start.
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), calmTime+outageTime+calmTime)
	defer cancel()
	if isTroubled() {
		go playFlap(site.store, engines[0])
	}
	return judgeStreams(rec, sendStreams(ctx, site, ""))
}

// playFlap is the disruption of case 13.
func playFlap(s *store, e *engine) {
	time.Sleep(calmTime)
	begun := time.Now()
	s.setDown(true)
	for _, at := range []time.Duration{firstCrashAt, secondCrashAt} {
		time.Sleep(time.Until(begun.Add(at)))
		e.crash()
		time.Sleep(downTime)
		if err := e.start("v2"); err != nil {
			e.record.printf("engine %s does not start: %v", e.id, err)
		}
	}
	time.Sleep(time.Until(begun.Add(outageTime)))
	s.setDown(false)
}

// sendStreams sends streams until the context ends, and returns them all.
func sendStreams(ctx context.Context, site *site, model string) []*stream {
	return sendStreamsAt(ctx, site, model, streamsPerS)
}

func sendStreamsAt(ctx context.Context, site *site, model string, perS int) []*stream {
	var streams []*stream
	var pending sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perS))
	defer ticker.Stop()
	for number := 0; ctx.Err() == nil; number++ {
		s := &stream{model: model}
		streams = append(streams, s)
		pending.Go(func() { s.play(site, fmt.Sprintf("9c41d07b%08x", number)) })
		<-ticker.C
	}
	pending.Wait()
	return streams
}

// judgeStreams counts the streams that hold events of two software versions.
func judgeStreams(rec *record, streams []*stream) error {
	whole, mixed := 0, 0
	for _, s := range streams {
		if s.isWhole {
			whole++
		}
		if s.hasSeveralVersions() {
			mixed++
		}
	}
	rec.printf("%d streams, %d whole, %d with events of two versions", len(streams), whole, mixed)
	fmt.Printf("%d streams, %d whole, %d with events of two versions (at most %d are allowed)\n", len(streams), whole, mixed, mixedTolerated)
	switch {
	case whole < len(streams)/2:
		return fmt.Errorf("only %d of %d streams were served", whole, len(streams))
	case mixed > mixedTolerated:
		return errBroken
	}
	return nil
}
