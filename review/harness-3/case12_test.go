//go:build review

package player

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Parts of prompts: all requests of the class have the first one, sound ones a second one of
// their own session, and the crashing ones crashingPart.
const (
	firstPart    = "5c1e07a2"
	crashingPart = "bad0bad0"
	rareModel    = "m5"
)

// Times and rates of case 12.
const (
	soundPerS     = 6
	crashingEvery = 500 * time.Millisecond
	quietTime     = 8 * time.Second
	troubleTime   = 40 * time.Second
	// stableTime is stableMs. The rule holds from settleFactor x stableTime after the crash on.
	stableTime   = 3 * time.Second
	settleFactor = 2
	countedCrash = 5
	minCompared  = 20
)

// modelTable is a configuration with a route of streams that run models.
func modelTable(models []string, attempts int, isResumable bool) []byte {
	var described []map[string]any
	for _, name := range models {
		described = append(described, map[string]any{
			"name": name, "weightsMb": modelMB, "loadS": 5.8, "diskS": 1.2, "warmS": 0.57, "adapters": 0, "adapterMb": 40,
		})
	}
	text, _ := json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "reply", "host": host, "pathPrefix": "/bopu901/", "kind": "streaming", "service": service, "timeoutMs": 12000,
			"targetLatencyMs": 5000, "targetGapMs": 400, "priority": 1, "maxAttempts": attempts, "public": false, "resumable": isResumable, "sticky": true,
		}},
		"services": []map[string]any{{
			"name": service, "healthPath": "/health", "maxConns": 370, "coldStartS": 0, "coldPerS": 0, "engine": map[string]any{
				"slots": 64, "kvCapacity": 141146, "weightsMb": engineMB, "adapterSlots": 8, "loadsPerS": 1.6, "models": described,
			},
		}},
		"tenants": []map[string]any{{
			"name": "hule930", "apiKeys": []string{apiKey}, "unit": "generate", "plainTokens": 200, "ratePerS": 0, "burst": 0,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return text
}

// attempt is a request and what its client got.
type attempt struct {
	sentAt  time.Time
	status  int
	hasText bool
}

// ask sends a request for a model and reads the answer.
func ask(site *site, to *instance, id, model, parts string) attempt {
	a := attempt{sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.callers+"/bopu901/2f", strings.NewReader("draft "+id))
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "12000")
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("X-Model", model)
	request.Header.Set("X-Token-Count", "1460,80")
	request.Header.Set("X-Prompt-Prefix", parts+","+id+":250")
	site.record.printf("client sends %s for %s to %s, parts %s", id, model, to.id, parts)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		site.record.printf("client gets no answer to %s: %v", id, err)
		return a
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	last := ""
	for lines.Scan() {
		last = lines.Text()
		a.hasText = a.hasText || strings.HasPrefix(last, "data: ")
		if strings.HasPrefix(last, "{") {
			site.record.printf("client gets for %s: %s", id, last)
		}
	}
	site.record.printf("client gets %d for %s, begun %t, whole %t", a.status, id, a.hasText, lines.Err() == nil)
	return a
}

// playCase12 sends requests for a model that one engine holds. In the trouble, requests with one
// more part come too, on which each engine crashes.
func playCase12(rec *record) error {
	site, err := newSite(rec)
	if err != nil {
		return err
	}
	defer site.close()
	models := []string{"m0", "m1", "m2", "m3", "m4", rareModel, "m6", "m7", "m8"}
	site.store.Put("keyed.op", "config", modelTable(models, 1, false))
	var hosts []*modelHost
	for n := range zones {
		h := &modelHost{
			name: fmt.Sprintf("40f425e%d", n), service: service, zone: zones[n], address: freeAddress(), store: site.store, record: rec,
			backAfter: 3 * time.Second, crashingPart: crashingPart, version: "v1", events: 8, interval: 150 * time.Millisecond,
		}
		if err := h.start(models[3*n : 3*n+3]); err != nil {
			return err
		}
		defer h.close()
		hosts = append(hosts, h)
	}
	if err := site.startInstances(len(zones)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), quietTime+troubleTime)
	defer cancel()
	if isTroubled() {
		go sendCrashing(ctx, site)
	}
	sound := sendSound(ctx, site)
	return judgeSound(rec, begun.Add(quietTime), hosts, sound)
}

// sendCrashing sends requests with the crashing part from the end of the quiet time on.
func sendCrashing(ctx context.Context, site *site) {
	time.Sleep(quietTime)
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("c0de41d0%08x", number)
		go ask(site, site.instances[number%len(site.instances)], id, rareModel, firstPart+":800,"+crashingPart+":410")
		time.Sleep(crashingEvery)
	}
}

// sendSound sends sound requests until the context ends, and returns them all.
func sendSound(ctx context.Context, site *site) []attempt {
	var mu sync.Mutex
	var attempts []attempt
	var pending sync.WaitGroup
	ticker := time.NewTicker(time.Second / soundPerS)
	defer ticker.Stop()
	for number := 0; ctx.Err() == nil; number++ {
		pending.Go(func() {
			to := site.instances[number%len(site.instances)]
			a := ask(site, to, fmt.Sprintf("9c41d07b%08x", number), rareModel, fmt.Sprintf("%s:800,91bd%04x:410", firstPart, number%40))
			mu.Lock()
			defer mu.Unlock()
			attempts = append(attempts, a)
		})
		<-ticker.C
	}
	pending.Wait()
	return attempts
}

// judgeSound compares how often sound requests begin before the trouble and after the last of the
// crashes that count.
func judgeSound(rec *record, quietUntil time.Time, hosts []*modelHost, sound []attempt) error {
	var crashes []time.Time
	for _, h := range hosts {
		crashes = append(crashes, h.crashTimes()...)
	}
	from := quietUntil
	if len(crashes) > 0 {
		last := crashes[min(len(crashes), countedCrash)-1]
		from = last.Add(settleFactor * stableTime)
	}
	var before, after, beganBefore, beganAfter int
	for _, a := range sound {
		switch {
		case a.sentAt.Before(quietUntil):
			before++
			if a.hasText {
				beganBefore++
			}
		case a.sentAt.After(from):
			after++
			if a.hasText {
				beganAfter++
			}
		}
	}
	text := fmt.Sprintf("%d crashes; of the sound requests began %d of %d before them, and %d of %d from %s after them on",
		len(crashes), beganBefore, before, beganAfter, after, settleFactor*stableTime)
	rec.printf("%s", text)
	fmt.Println(text)
	switch {
	case before < minCompared || after < minCompared || 2*beganBefore < before:
		return fmt.Errorf("too few requests to compare: %s", text)
	case 2*beganAfter*before < beganBefore*after:
		return errBroken
	}
	return nil
}
