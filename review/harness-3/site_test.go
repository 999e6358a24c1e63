//go:build review

package player

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// record is the file that lists what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begun: time.Now()}, err
}

func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

// Ports that the kernel does not give to outgoing connections.
const firstPort, portCount = 20000, 12000

// givenPorts holds the ports that freeAddress has returned.
var givenPorts = make(map[int]bool)

// freeAddress returns a loopback address with a port that is free for TCP and UDP. It is called by
// one goroutine.
func freeAddress() string {
	for {
		port := firstPort + rand.IntN(portCount)
		if givenPorts[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err == nil {
			_ = packets.Close()
			givenPorts[port] = true
			return address
		}
	}
}

// instance is a process of the system, started as in deploy/system.toml.
type instance struct {
	id, zone                                      string
	callers, readiness, discovery, peers, metrics string
	command                                       *exec.Cmd
	ended                                         chan struct{}
}

// store is the project's stand-in of the platform's store.
type store struct {
	*platformtest.Store
	isDown atomic.Bool
	record *record
}

func newStore(rec *record) *store {
	s := &store{Store: platformtest.NewStore(), record: rec}
	s.SetFault(func(platformtest.StoreCall) platformtest.Fault {
		if s.isDown.Load() {
			return platformtest.Unavailable
		}
		return platformtest.NoFault
	})
	return s
}

// put writes a record of an engine, unless the store is down.
func (s *store) put(topic, key string, value []byte) bool {
	if s.isDown.Load() {
		return false
	}
	s.Put(topic, key, value)
	return true
}

// setDown makes the store answer all calls with 503, or ends that.
func (s *store) setDown(isDown bool) {
	s.isDown.Store(isDown)
	s.record.printf("store is down: %t", isDown)
}

// site is a small deployment: a store, and instances as processes.
type site struct {
	store     *store
	instances []*instance
	record    *record
	folder    string
}

var zones = []string{"akl", "hlz", "wlg"}

func newSite(rec *record) (*site, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	s := &site{store: newStore(rec), record: rec, folder: folder}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		s.close()
		os.Exit(cantRun)
	}()
	return s, err
}

// memoryMB is the memory of a machine.
const memoryMB = 284

// settings returns the settings file that deploy/instance.toml.tmpl makes for a machine of
// kowhai-hq.
func (s *site) settings(i *instance, isFirstStart bool) string {
	return fmt.Sprintf(`[instance]
id = %q
availability_zone = %q
first_start = %t
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
memory_mb = %d
cores = 0.4
descriptors = 4100
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
`, i.id, i.zone, isFirstStart, i.callers, i.readiness, i.discovery, i.peers, i.metrics, s.store.Address(), memoryMB)
}

// startInstances starts instances and waits until they are ready.
func (s *site) startInstances(count int) error {
	for n := range count {
		i := &instance{
			id: fmt.Sprintf("front-%s-%d", zones[n%len(zones)], n+1), zone: zones[n%len(zones)],
			callers: freeAddress(), readiness: freeAddress(), discovery: freeAddress(), peers: freeAddress(), metrics: freeAddress(),
		}
		s.instances = append(s.instances, i)
		if err := s.start(i, true); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, i := range s.instances {
		for !i.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", i.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (s *site) start(i *instance, isFirstStart bool) error {
	file := filepath.Join(s.folder, i.id+".toml")
	if err := os.WriteFile(file, []byte(s.settings(i, isFirstStart)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, i.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.command = exec.Command("target/crocushollowd", "hosted")
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "CROCUSHOLLOW_CONFIG=" + file}
	i.command.Stdout, i.command.Stderr = log, log
	if err := i.command.Start(); err != nil {
		return err
	}
	i.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}(i.command, i.ended)
	s.record.printf("instance %s starts", i.id)
	return nil
}

func (i *instance) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.readiness+"/ready", nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes that the site started. With KEEP=1 the logs stay.
func (s *site) close() {
	for _, i := range s.instances {
		if i.command != nil && i.command.Process != nil {
			_ = i.command.Process.Kill()
			<-i.ended
		}
	}
	s.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs:", s.folder)
	}
}

// isTroubled reports whether the disruption is to be played.
func isTroubled() bool { return os.Getenv("TROUBLE") != "0" }
