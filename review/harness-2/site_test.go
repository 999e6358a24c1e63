//go:build review

package harness2

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// Names in the table of a site.
const (
	host         = "site.example"
	modelService = "writer"
	modelPath    = "/notes/"
	// plainService runs no models. Its route takes all paths that no other one has.
	plainService = "desk"
	model        = "m0"
	// limitedKey and unlimitedKey belong to a tenant with and one without a limit.
	limitedKey   = "key-of-hives"
	unlimitedKey = "key-of-shops"
)

// Settings of a small deployment.
const (
	memoryMB        = 284
	heartbeatPeriod = 1200 * time.Millisecond
	readyTimeout    = 15 * time.Second
)

var errNotReady = errors.New("an instance did not become ready")

// site is a platform with instances.
type site struct {
	log       *record
	store     *platformtest.Store
	directory string
	instances []*instance
	engines   []*engine
	stopped   chan struct{}
}

func newSite(log *record) (*site, error) {
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &site{log: log, store: platformtest.NewStore(), directory: directory, stopped: make(chan struct{})}, nil
}

func (s *site) close() {
	killAll()
	close(s.stopped)
	for _, e := range s.engines {
		e.stop()
	}
	s.store.Close()
	_ = os.RemoveAll(s.directory)
}

// putTable publishes the operators' table.
func (s *site) putTable() {
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "host": host, "pathPrefix": prefix, "kind": kind, "service": service,
			"timeoutMs": 5000, "targetLatencyMs": 1000, "targetGapMs": 400, "priority": 1, "maxAttempts": 1, "public": false,
		}
	}
	var models []map[string]any
	for _, name := range []string{model, "m1"} {
		models = append(models, map[string]any{
			"name": name, "weightsMb": 65000, "loadS": 1, "warmS": 0.3, "diskS": 0.5, "adapters": 3, "adapterMb": 40,
		})
	}
	table, _ := json.Marshal(map[string]any{
		"version": 3, "routes": []map[string]any{route(modelPath, "streaming", modelService), route("/", "unsafe", plainService)},
		"services": []map[string]any{{"name": plainService, "healthPath": "/health", "maxConns": 110}, {
			"name": modelService, "healthPath": "/health", "maxConns": 370, "coldStartS": 0, "coldPerS": 0,
			"engine": map[string]any{
				"slots": engineSlots, "kvCapacity": 141146, "weightsMb": 200000, "adapterSlots": 8, "loadsPerS": 10, "models": models,
			},
		}},
		"tenants": []map[string]any{
			{"name": "hives", "apiKeys": []string{limitedKey}, "unit": "generate", "plainTokens": 100, "ratePerS": 1e5, "burst": 1e5},
			{"name": "shops", "apiKeys": []string{unlimitedKey}, "unit": "generate", "plainTokens": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	s.store.Put("keyed.op", "config", table)
}

// addEngines starts engines that register themselves from now on.
func (s *site) addEngines(service string, count int) {
	for number := range count {
		e := newEngine(fmt.Sprint("i-", service, "-", number), []string{"akl", "hlz", "wlg"}[number%3], service, s.log)
		s.engines = append(s.engines, e)
		go s.register(e)
	}
}

// register writes the registration of an engine while it runs. It is removed after three
// heartbeats of silence.
func (s *site) register(e *engine) {
	silent := 0
	for {
		if content := e.registration(); content != nil {
			s.store.Put("keyed.servers", e.id, content)
			silent = 0
		} else if silent++; silent == 3 {
			s.store.Delete("keyed.servers", e.id)
		}
		select {
		case <-s.stopped:
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

// instance is an instance that runs as a process.
type instance struct {
	settings platformtest.InstanceSettings
	site     *site

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// running holds the processes that were started.
var running sync.Map

// killAll ends all processes that were started.
func killAll() {
	running.Range(func(key, _ any) bool {
		if process, ok := key.(*os.Process); ok {
			_ = process.Kill()
		}
		return true
	})
}

// start starts instances for the first time and waits until they are ready.
func (s *site) start(count int) error {
	for number := range count {
		i := &instance{site: s, settings: platformtest.InstanceSettings{
			ID: fmt.Sprint("front-", number), AvailabilityZone: []string{"akl", "hlz", "wlg"}[number%3], IsFirstStart: true,
			Callers: platformtest.FreeAddress(), Readiness: platformtest.FreeAddress(), Discovery: platformtest.FreeAddress(),
			Peers: platformtest.FreeAddress(), Store: s.store.Address(), MemoryMB: memoryMB,
		}}
		s.instances = append(s.instances, i)
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, i := range s.instances {
		if err := i.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	file := filepath.Join(i.site.directory, i.settings.ID+".toml")
	text := i.settings.String() + "cores = 0.4\ndescriptors = 4100\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.site.directory, i.settings.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/crocushollowd", "hosted")
	command.Env = []string{"CROCUSHOLLOW_CONFIG=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	running.Store(command.Process, true)
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		err := command.Wait()
		running.Delete(command.Process)
		i.site.log.printf("%s has ended: %v", i.settings.ID, err)
		_ = log.Close()
	}()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.command, i.exited = command, exited
	i.site.log.printf("%s started, callers at %s", i.settings.ID, i.settings.Callers)
	return nil
}

// awaitReady waits until the readiness probe succeeds.
func (i *instance) awaitReady() error {
	for startedAt := time.Now(); time.Since(startedAt) < readyTimeout; time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + i.settings.Readiness + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errNotReady, i.settings.ID)
}

// signal sends a signal to the process.
func (i *instance) signal(signal syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.site.log.printf("%s gets %s", i.settings.ID, signal)
	_ = i.command.Process.Signal(signal)
}

// awaitExit waits until the process has ended.
func (i *instance) awaitExit() {
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	<-exited
}

// pid returns the process ID.
func (i *instance) pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.command.Process.Pid
}
