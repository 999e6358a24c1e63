package soaker

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/crocushollow/crocushollow/platform/platformtest"
	"github.com/crocushollow/crocushollow/standin/faultproxy"
)

// process is an instance that runs as a separate operating system process.
type process struct {
	name      string
	zone      string
	daemon    string
	directory string
	callers   string
	readiness string
	discovery string
	peers     string
	// onFailure is called if the process ends with an error of its own.
	onFailure func(description string)
	// store is the proxy between the instance and the platform's store.
	store *faultproxy.Proxy

	// settings is the text of the settings file. Only the goroutine of the injector uses it
	// after the first start.
	settings string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func newProcess(number int, config *Config, store string) (*process, error) {
	proxy, err := faultproxy.Start("127.0.0.1:0", store)
	if err != nil {
		return nil, err
	}
	p := &process{
		name: fmt.Sprintf("node-%d", number), zone: []string{"za", "zb"}[number%2],
		daemon: config.Daemon, directory: config.Directory, store: proxy,
	}
	// Each instance has its own loopback IP address, derived from the seed, so
	// that concurrent runs do not use the same ports.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+config.Seed%250, config.Seed/250%250, 1+number)
	for port, address := range []*string{&p.callers, &p.readiness, &p.discovery, &p.peers} {
		*address = fmt.Sprintf("%s:%d", ip, firstPort+port)
	}
	return p, nil
}

// firstPort is below the system's ephemeral port range.
const firstPort = 18400

// start starts the program. Restarts append to the same log file.
func (p *process) start(isFirstStart bool) error {
	file := p.settingsFile()
	settings := platformtest.InstanceSettings{
		ID: p.name, AvailabilityZone: p.zone, IsFirstStart: isFirstStart, Store: p.store.Address(), MemoryMB: machineMemoryMB,
		Callers: p.callers, Readiness: p.readiness, Discovery: p.discovery, Peers: p.peers,
	}
	p.settings = settings.String()
	if err := os.WriteFile(file, []byte(p.settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.directory, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.daemon, "hosted") //nolint:noctx // The run ends the process with signals.
	command.Env = append(os.Environ(), "CROCUSHOLLOW_CONFIG="+file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		// The state tells more than the error.
		_ = command.Wait()
		if command.ProcessState.ExitCode() > 0 {
			p.onFailure(fmt.Sprintf("%s: %s", p.name, command.ProcessState))
		}
		_ = log.Close()
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.exited = command, exited
	return nil
}

func (p *process) settingsFile() string { return filepath.Join(p.directory, p.name+".toml") }

// reload changes the text of the settings file and sends SIGHUP.
func (p *process) reload() error {
	p.settings += "# reloaded\n"
	if err := os.WriteFile(p.settingsFile(), []byte(p.settings), 0o600); err != nil {
		return err
	}
	p.signal(syscall.SIGHUP)
	return nil
}

// signal sends a signal to the process if it is running.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		// The signal fails if the process exits concurrently.
		_ = p.command.Process.Signal(signal)
	}
}

// incarnation identifies the current process among those that were started.
func (p *process) incarnation() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	select {
	case <-p.incarnation():
		return true
	default:
		return false
	}
}

// kill sends SIGKILL to the process and waits until it has exited.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.readiness+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
