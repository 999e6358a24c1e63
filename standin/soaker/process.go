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

	"github.com/crocushollow/crocushollow/standin/faultproxy"
)

// settingsText is the settings file of an instance. The bounds are those of the
// operators' sites, with the fewer repeats that a small fleet is due.
const settingsText = `
[instance]
id = "%s"
availability_zone = "%s"
first_start = %t
[listen]
callers = "%s"
readiness = "%s"
discovery = "%s"
peers = "%s"
[store]
address = "%s"
min_ttl = "1000ms"
[bounds]
grace = "8s"
retry_ratio = %g
retry_extra = %g
retry_window = "%s"
quota_window = "%s"
quota_slack = %g
cold_overshoot = 1.5
cold_slack = 5
lease = "3000ms"
`

// process is an instance that runs as a program of its own.
type process struct {
	name      string
	zone      string
	daemon    string
	directory string
	callers   string
	readiness string
	discovery string
	peers     string
	// store is the way to the platform's store.
	store *faultproxy.Proxy

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
	// Each instance has an IP number of its own, so that runs beside each other
	// do not take each other's ports.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+config.Seed%250, config.Seed/250%250, 1+number)
	for port, address := range []*string{&p.callers, &p.readiness, &p.discovery, &p.peers} {
		*address = fmt.Sprintf("%s:%d", ip, firstPort+port)
	}
	return p, nil
}

// firstPort is below the ports that the system chooses for connections.
const firstPort = 18400

// start starts the program. Its log goes on in one file over all its lives.
func (p *process) start(isFirstStart bool) error {
	file := filepath.Join(p.directory, p.name+".toml")
	text := fmt.Sprintf(settingsText, p.name, p.zone, isFirstStart, p.callers, p.readiness, p.discovery, p.peers,
		p.store.Address(), retryRatio, retryExtra, retryWindow, limitWindow, limitSlack)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.directory, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.daemon, "hosted") //nolint:noctx // The run ends it by signals of its own.
	command.Env = append(os.Environ(), "CROCUSHOLLOW_CONFIG="+file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		// How a process ends that is killed tells nothing.
		_ = command.Wait()
		_ = log.Close()
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.exited = command, exited
	return nil
}

// signal sends a signal to the program if it runs.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		// The program may end at this moment.
		_ = p.command.Process.Signal(signal)
	}
}

// kill ends the program at once and waits for its end.
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
