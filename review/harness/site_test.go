//go:build review

package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// Names in the table of the operators.
const (
	host          = "site.example"
	engineService = "writer"
	plainService  = "desk"
	workspace     = "hives"
	apiKey        = "key-of-hives"
	model         = "m0"
	// streamingPath is the route of streams that must run at most once, and
	// resumablePath that of streams that may be resumed.
	streamingPath = "/guide/"
	resumablePath = "/reply/"
)

// siteOptions are the sizes of a site.
type siteOptions struct {
	instances int
	// adapters is the number of adapters of the model, and adapterSlots the number
	// that an engine has places for.
	adapters     int
	adapterSlots int
	timeout      time.Duration
	engines      []engineConfig
}

// site is the platform, the engines and the instances of a case.
type site struct {
	options siteOptions
	record  *record
	store   *platformtest.Store
	folder  string

	mu        sync.Mutex
	engines   []*engine
	instances []*instance
	stop      context.CancelFunc
	done      chan struct{}
}

// instance is a process of the system.
type instance struct {
	name      string
	callers   string
	ready     string
	discovery string

	command  *exec.Cmd
	ended    chan struct{}
	settings string
}

// Timing of a site.
const (
	heartbeat    = 1200 * time.Millisecond
	startTimeout = 20 * time.Second
)

// daemonPath is the program that the deploy file builds, and daemonRole its argument
// there.
const (
	daemonPath = "target/crocushollowd"
	daemonRole = "hosted"
)

// startSite starts the platform, the engines and the instances, and waits until the
// instances are ready.
func startSite(options siteOptions, r *record) (*site, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{
		options: options, record: r, store: platformtest.NewStore(), folder: folder, stop: cancel, done: make(chan struct{}),
	}
	time.AfterFunc(maxRun, func() {
		r.add("time is up")
		s.close()
		_ = r.Close()
		os.Exit(exitNotRun)
	})
	s.putTable()
	for i := range options.engines {
		if err := s.startEngine(options.engines[i]); err != nil {
			s.close()
			return nil, err
		}
	}
	go s.sendHeartbeats(ctx)
	for number := range options.instances {
		if err := s.startInstance(number); err != nil {
			s.close()
			return nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) startEngine(config engineConfig) error {
	e, err := newEngine(config, s.record, s.options.adapterSlots)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.engines = append(s.engines, e)
	s.mu.Unlock()
	s.store.Put("keyed.servers", config.id, e.registration())
	return nil
}

// sendHeartbeats registers the engines periodically, as engines do that are alive.
func (s *site) sendHeartbeats(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, e := range s.allEngines() {
			if !e.isDown() {
				s.store.Put("keyed.servers", e.config.id, e.registration())
			}
		}
	}
}

func (s *site) allEngines() []*engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*engine(nil), s.engines...)
}

// putTable publishes the table of the operators.
func (s *site) putTable() {
	route := func(path string, resumable bool, attempts int) map[string]any {
		return map[string]any{
			"name": "r" + path, "host": host, "pathPrefix": path, "kind": "streaming", "service": engineService,
			"timeoutMs": s.options.timeout.Milliseconds(), "targetLatencyMs": 5000, "targetGapMs": 400, "priority": 1,
			"maxAttempts": attempts, "public": false, "sticky": true, "resumable": resumable,
		}
	}
	// The value consists of plain types, which can be encoded.
	text, _ := json.Marshal(map[string]any{
		"version": 3,
		"routes":  []map[string]any{route(streamingPath, false, 1), route(resumablePath, true, 2)},
		"services": []map[string]any{{
			"name": engineService, "healthPath": "/health", "maxConns": 370, "coldStartS": 0, "coldPerS": 0,
			"engine": map[string]any{
				"slots": 64, "kvCapacity": 141146, "weightsMb": 200000, "adapterSlots": s.options.adapterSlots, "loadsPerS": 1.6,
				"models": []map[string]any{{
					"name": model, "weightsMb": 65500, "loadS": 5.8, "warmS": 0.57, "diskS": 1.2,
					"adapters": s.options.adapters, "adapterMb": 40,
				}},
			},
		}},
		"tenants": []map[string]any{{
			"name": workspace, "apiKeys": []string{apiKey}, "unit": "generate", "plainTokens": 200, "ratePerS": 1e6, "burst": 1e6,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	s.store.Put("keyed.op", "config", text)
}

// settingsText is the settings file of an instance: the template of the deploy file
// with the values of a small deployment.
const settingsText = `[instance]
id = %q
availability_zone = %q
first_start = true

[listen]
callers = %q
readiness = %q
discovery = %q
peers = %q
metrics = %q

[store]
address = %q
min_ttl = "1000ms"

[limits]
memory_mb = 284
cores = 0.4

[bounds]
grace = "8s"
retry_ratio = 0.2
retry_extra = 56
retry_window = "10s"
quota_window = "8s"
quota_slack = 17000
cold_overshoot = 1.5
cold_slack = 5
lease = "3000ms"
`

func (s *site) startInstance(number int) error {
	addresses, err := freeAddresses(5)
	if err != nil {
		return err
	}
	zones := []string{"akl", "hlz", "wlg"}
	i := &instance{
		name: fmt.Sprintf("front-%d", number), callers: addresses[0], ready: addresses[1], discovery: addresses[2],
		ended: make(chan struct{}), settings: filepath.Join(s.folder, fmt.Sprintf("front-%d.toml", number)),
	}
	text := fmt.Sprintf(settingsText, i.name, zones[number%len(zones)], i.callers, i.ready, i.discovery, addresses[3], addresses[4], s.store.Address())
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(s.folder, i.name+".log"))
	if err != nil {
		return err
	}
	i.command = exec.Command(daemonPath, daemonRole)
	i.command.Env = append(os.Environ(), "CROCUSHOLLOW_CONFIG="+i.settings)
	i.command.Stdout, i.command.Stderr = output, output
	if err := i.command.Start(); err != nil {
		return err
	}
	go func() {
		defer close(i.ended)
		defer output.Close()
		_ = i.command.Wait()
	}()
	s.mu.Lock()
	s.instances = append(s.instances, i)
	s.mu.Unlock()
	s.record.add("%s started, callers %s", i.name, i.callers)
	return nil
}

// sendSignal sends a signal to the process of an instance.
func (s *site) sendSignal(i *instance, number syscall.Signal) {
	s.record.add("%s gets %v", i.name, number)
	_ = i.command.Process.Signal(number)
}

var errNotReady = errors.New("an instance did not become ready")

func (s *site) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(startTimeout)
	for _, i := range s.instances {
		for !isReady(client, i.ready) {
			if time.Now().After(end) {
				return errNotReady
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	// The instances learn of each other, and choose the planner, within seconds.
	time.Sleep(3 * time.Second)
	s.record.add("all instances are ready")
	return nil
}

func isReady(client *http.Client, address string) bool {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// closeOnSignal ends the processes if the harness itself is stopped.
func (s *site) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		s.close()
		_ = s.record.Close()
		os.Exit(exitNotRun)
	}()
}

// close ends the processes and the stand-ins.
func (s *site) close() {
	s.stop()
	s.mu.Lock()
	instances := s.instances
	s.instances = nil
	s.mu.Unlock()
	for _, i := range instances {
		_ = i.command.Process.Kill()
		<-i.ended
	}
	for _, e := range s.allEngines() {
		e.crash()
	}
	if len(instances) > 0 {
		s.store.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// Range of the ports that instances listen on. The kernel does not give them to outgoing
// connections by default.
const (
	firstPort = 12000
	portCount = 20000
	maxTries  = 1000
)

var errNoPort = errors.New("no free port found")

// freeAddresses returns loopback addresses whose ports are free for TCP and UDP.
func freeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range maxTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer listener.Close()
		packets, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		defer func() { _ = packets.Close() }()
		if addresses = append(addresses, address); len(addresses) == count {
			return addresses, nil
		}
	}
	return nil, errNoPort
}
