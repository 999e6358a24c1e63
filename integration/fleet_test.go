// Package integration_test runs real daemons behind a fault-injecting proxy.
package integration_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/crocushollow/crocushollow/standin/caller"
	"github.com/crocushollow/crocushollow/standin/faultproxy"
	"github.com/crocushollow/crocushollow/standin/listserver"
	"github.com/crocushollow/crocushollow/standin/stager"
	"github.com/crocushollow/crocushollow/transport/console"
)

func TestIntegration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "integration")
}

var binary string

var _ = BeforeSuite(func() {
	var err error
	binary, err = gexec.Build("github.com/crocushollow/crocushollow/cmd/crocushollowd")
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(func() { gexec.KillAndWait(10 * time.Second); gexec.CleanupBuildArtifacts() })

// process is a daemon with an IP number of its own.
type process struct {
	id, zone string
	ip       netip.Addr
	callers  string
	peers    string
	console  string
	session  *gexec.Session
	// proxy is what other instances connect to.
	proxy *faultproxy.Proxy
}

// fleet is a site whose instances are processes behind proxies.
type fleet struct {
	site     *stager.Site
	log      *faultproxy.Proxy
	list     *faultproxy.Proxy
	upstream map[string]*faultproxy.Proxy
	dir      string
	secrets  map[string]string

	mu        sync.Mutex
	processes []*process
	started   int
}

// poisonText crashes the engines of the suite.
const poisonText = "poison"

// nextHost gives every process of the suite its own IP number on loopback.
var nextHost atomic.Int32

func startFleet(size int) *fleet {
	GinkgoHelper()
	config := stager.DefaultConfig()
	config.Engine.TokenTime = 3 * time.Millisecond
	config.Engine.PoisonText = poisonText
	site, err := stager.Start(context.Background(), config)
	Expect(err).NotTo(HaveOccurred())
	f := &fleet{site: site, dir: logDir(), upstream: make(map[string]*faultproxy.Proxy)}
	DeferCleanup(f.close)
	f.log = f.startProxy(site.LogAddr)
	f.list = f.startProxy(site.ListAddr)
	for i := range size {
		f.start(config.AvailabilityZones[i%len(config.AvailabilityZones)])
	}
	f.awaitReady()
	f.fill()
	return f
}

// logDir returns where the daemons' settings and logs go.
func logDir() string {
	if dir := os.Getenv("INTEGRATION_LOGS"); dir != "" {
		return dir
	}
	return GinkgoT().TempDir()
}

func (f *fleet) startProxy(target string) *faultproxy.Proxy {
	proxy, err := faultproxy.Start("127.0.0.1:0", target)
	Expect(err).NotTo(HaveOccurred())
	return proxy
}

func (f *fleet) close() {
	for _, p := range f.running() {
		p.session.Signal(syscall.SIGCONT)
		p.session.Kill().Wait(5 * time.Second)
		p.proxy.Close()
	}
	f.log.Close()
	f.list.Close()
	for _, proxy := range f.upstream {
		proxy.Close()
	}
	f.site.Close()
}

// freePort returns a port that is free on an IP number.
func freePort(ip netip.Addr) string {
	listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

const settingsFormat = `
[instance]
id = %q
availability_zone = %q
[listen]
callers = %q
peers = %q
operators = %q
source = %q
[advertise]
peers = %q
[platform]
log = %q
instances = %q
[discovery]
ttl = "1s"
[shutdown]
grace = "30s"
`

// start runs one more daemon.
func (f *fleet) start(zone string) {
	GinkgoHelper()
	f.mu.Lock()
	f.started++
	id := fmt.Sprintf("%s-%d", zone, f.started)
	f.mu.Unlock()
	host := nextHost.Add(1)
	p := &process{id: id, zone: zone, ip: netip.AddrFrom4([4]byte{127, 0, byte(1 + host/250), byte(1 + host%250)})}
	p.callers, p.peers, p.console = freePort(p.ip), freePort(p.ip), freePort(p.ip)
	p.proxy = f.startProxy(p.peers)
	text := fmt.Sprintf(settingsFormat, p.id, p.zone, p.callers, p.peers, p.console, p.ip,
		p.proxy.Address(), f.log.Address(), f.list.Address())
	file := filepath.Join(f.dir, p.id+".toml")
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	f.run(p, file)
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	f.site.List.Add(listserver.Instance{ID: p.id, PeerAddress: p.proxy.Address(), CallerAddress: p.callers})
}

func (f *fleet) run(p *process, file string) {
	GinkgoHelper()
	output, err := os.Create(filepath.Join(f.dir, p.id+".log"))
	Expect(err).NotTo(HaveOccurred())
	p.session, err = gexec.Start(command(file), output, output)
	Expect(err).NotTo(HaveOccurred())
}

func (f *fleet) running() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*process(nil), f.processes...)
}

// forget takes an ended process off the list.
func (f *fleet) forget(p *process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.processes {
		if other == p {
			f.processes = append(f.processes[:i:i], f.processes[i+1:]...)
		}
	}
	f.site.List.Remove(p.id)
}

func (f *fleet) kill(p *process) {
	p.session.Kill().Wait(5 * time.Second)
	f.forget(p)
	p.proxy.Close()
}

func isReady(p *process) bool {
	response, err := http.Get("http://" + p.callers + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady() {
	GinkgoHelper()
	for _, p := range f.running() {
		Eventually(func() bool { return isReady(p) }, "15s", "20ms").Should(BeTrue(), p.id)
	}
}

func (f *fleet) client() console.Client {
	return console.Client{Address: f.running()[0].console, Operator: "test"}
}

func ctxOf(timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	DeferCleanup(cancel)
	return ctx
}

// fill adds the rows of the sample workload, with every upstream behind a
// proxy, and waits until its models answer everywhere.
func (f *fleet) fill() {
	GinkgoHelper()
	workload := stager.SampleWorkload()
	rows, secrets := f.site.Rows(workload, func(id, address string) string {
		f.upstream[id] = f.startProxy(address)
		return f.upstream[id].Address()
	})
	f.secrets = secrets
	var changes []console.Change
	for _, row := range rows {
		changes = append(changes, console.NewInsert(row))
	}
	ctx := ctxOf(30 * time.Second)
	Expect(stager.Edit(ctx, f.client(), changes...)).To(Succeed())
	for _, p := range f.running() {
		for _, model := range workload.Models {
			Expect(stager.AwaitModel(ctx, p.callers, secrets["hives"], model.ID)).To(Succeed())
		}
	}
}

// isolate cuts a process off from the log, the list and its peers, in both
// directions.
func (f *fleet) isolate(p *process, fault faultproxy.Fault) {
	f.log.Set(p.ip, fault)
	f.list.Set(p.ip, fault)
	p.proxy.SetAll(fault)
	for _, other := range f.running() {
		if other != p {
			other.proxy.Set(p.ip, fault)
		}
	}
}

// tally counts what callers got.
type tally struct {
	mu      sync.Mutex
	whole   int
	refused map[string]int
	broken  []string
	crossed []string
}

func (t *tally) note(got caller.Streamed, err error, prompt caller.Prompt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case got.IsWhole(prompt):
		t.whole++
	case got.IsCrossed(prompt):
		t.crossed = append(t.crossed, got.Text)
	case got.Status == http.StatusOK || err != nil:
		t.broken = append(t.broken, fmt.Sprintf("status %d, failed %t %s, %d bytes: %v", got.Status, got.Failed, got.FailureCode, len(got.Text), err))
	default:
		t.refused[string(got.Refusal.Body)]++
	}
}

// load streams from addresses that choose returns until the returned function
// is called, which waits for the last answers.
func (f *fleet) load(callers, tokens int, choose func(caller int) string) func() *tally {
	t := &tally{refused: make(map[string]int)}
	finish := make(chan struct{})
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			c := caller.New(f.secrets["hives"])
			defer c.Client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-finish:
					return
				default:
				}
				address := choose(i)
				if address == "" {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				prompt := caller.Prompt{Model: "letters", Content: fmt.Sprintf("caller %d, call %d", i, n), Tokens: tokens}
				got, err := c.Stream(context.Background(), address, prompt)
				t.note(got, err, prompt)
			}
		})
	}
	return func() *tally {
		close(finish)
		group.Wait()
		return t
	}
}

// directory follows discovery for callers.
type directory struct {
	fleet *fleet
	mu    sync.Mutex
	known []string
	until time.Time
}

func (d *directory) address(i int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().After(d.until) {
		d.ask()
	}
	if len(d.known) == 0 {
		return ""
	}
	return d.known[i%len(d.known)]
}

func (d *directory) ask() {
	c := caller.New("")
	c.Client.Timeout = 300 * time.Millisecond
	for _, p := range d.fleet.running() {
		answer, err := c.Discover(context.Background(), p.callers, "hives", "letters", "")
		if err == nil && len(answer.Addresses) > 0 {
			d.known = answer.Addresses
			d.until = time.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)
			return
		}
	}
	d.until = time.Now().Add(50 * time.Millisecond)
}

func consoleOf(p *process) console.Client {
	return console.Client{Address: p.console, Operator: "test"}
}
