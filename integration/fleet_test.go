// Package integration_test runs daemons, as processes or in the test process,
// against simulated platforms and upstreams, and injects faults.
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
	"github.com/crocushollow/crocushollow/standin/registryserver"
	"github.com/crocushollow/crocushollow/standin/stager"
	"github.com/crocushollow/crocushollow/transport/console"
)

func TestIntegration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "integration")
}

var daemonBinary string

var _ = BeforeSuite(func() {
	var err error
	daemonBinary, err = gexec.Build("github.com/crocushollow/crocushollow/cmd/crocushollowd")
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(func() { gexec.KillAndWait(10 * time.Second); gexec.CleanupBuildArtifacts() })

// daemonProcess is an instance that runs as a process with its own IP address.
type daemonProcess struct {
	id, zone       string
	ip             netip.Addr
	callerAddress  string
	peerAddress    string
	consoleAddress string
	session        *gexec.Session
	// peerProxy is the proxy that other instances connect to.
	peerProxy *faultproxy.Proxy
}

// fleet is a site whose instances are processes. Proxies between its parts inject
// network faults.
type fleet struct {
	site            *stager.Site
	logProxy        *faultproxy.Proxy
	listProxy       *faultproxy.Proxy
	upstreamProxies map[string]*faultproxy.Proxy
	dir             string
	apiKeys         map[string]string

	mu         sync.Mutex
	processes  []*daemonProcess
	startCount int
}

// poisonText in a prompt crashes an engine.
const poisonText = "poison"

// nextLoopbackHost counts the loopback addresses that processes use. Each process
// has its own address, so that a proxy can tell its connections from others.
var nextLoopbackHost atomic.Int32

// startFleet starts a site with a number of instances, spread over the availability
// zones, and applies the sample workload.
func startFleet(size int) *fleet {
	GinkgoHelper()
	config := stager.DefaultConfig()
	config.Engine.TokenInterval = 3 * time.Millisecond
	config.Engine.PoisonText = poisonText
	site, err := stager.Start(context.Background(), config)
	Expect(err).NotTo(HaveOccurred())
	f := &fleet{site: site, dir: outputDir(), upstreamProxies: make(map[string]*faultproxy.Proxy)}
	DeferCleanup(f.close)
	f.logProxy = f.startProxy(site.LogAddr)
	f.listProxy = f.startProxy(site.RegistryAddr)
	for i := range size {
		f.startInstance(config.AvailabilityZones[i%len(config.AvailabilityZones)])
	}
	f.awaitReady()
	f.applySampleWorkload()
	return f
}

// outputDir returns the folder for the daemons' settings and logs.
func outputDir() string {
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
		p.peerProxy.Close()
	}
	f.logProxy.Close()
	f.listProxy.Close()
	for _, proxy := range f.upstreamProxies {
		proxy.Close()
	}
	f.site.Close()
}

// usedAddresses holds the addresses that freeAddress has returned. The kernel may
// offer a port again as soon as its listener is closed.
var usedAddresses sync.Map

// freeAddress returns an address with an unused port on an IP address. It returns
// no address twice.
func freeAddress(ip netip.Addr) string {
	for {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		if _, isUsed := usedAddresses.LoadOrStore(address, true); !isUsed {
			return address
		}
	}
}

const settingsTemplate = `
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

// startInstance starts one more instance and adds it to the list of instances.
func (f *fleet) startInstance(zone string) {
	GinkgoHelper()
	f.mu.Lock()
	f.startCount++
	id := fmt.Sprintf("%s-%d", zone, f.startCount)
	f.mu.Unlock()
	host := nextLoopbackHost.Add(1)
	p := &daemonProcess{id: id, zone: zone, ip: netip.AddrFrom4([4]byte{127, 0, byte(1 + host/250), byte(1 + host%250)})}
	p.callerAddress, p.peerAddress, p.consoleAddress = freeAddress(p.ip), freeAddress(p.ip), freeAddress(p.ip)
	p.peerProxy = f.startProxy(p.peerAddress)
	text := fmt.Sprintf(settingsTemplate, p.id, p.zone, p.callerAddress, p.peerAddress, p.consoleAddress, p.ip,
		p.peerProxy.Address(), f.logProxy.Address(), f.listProxy.Address())
	file := filepath.Join(f.dir, p.id+".toml")
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	f.startDaemon(p, file)
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	f.site.Registry.Add(registryserver.Instance{ID: p.id, PeerAddress: p.peerProxy.Address(), CallerAddress: p.callerAddress})
}

func (f *fleet) startDaemon(p *daemonProcess, file string) {
	GinkgoHelper()
	output, err := os.Create(filepath.Join(f.dir, p.id+".log"))
	Expect(err).NotTo(HaveOccurred())
	p.session, err = gexec.Start(daemonCommand(file), output, output)
	Expect(err).NotTo(HaveOccurred())
}

// running returns the processes that are part of the fleet.
func (f *fleet) running() []*daemonProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*daemonProcess(nil), f.processes...)
}

// remove drops a process that has exited from the fleet and from the list of
// instances.
func (f *fleet) remove(p *daemonProcess) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.processes {
		if other == p {
			f.processes = append(f.processes[:i:i], f.processes[i+1:]...)
		}
	}
	f.site.Registry.Remove(p.id)
}

func (f *fleet) kill(p *daemonProcess) {
	p.session.Kill().Wait(5 * time.Second)
	f.remove(p)
	p.peerProxy.Close()
}

func isReady(p *daemonProcess) bool {
	response, err := http.Get("http://" + p.callerAddress + "/readyz")
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

// consoleClient returns a client of the first instance's operator listener.
func (f *fleet) consoleClient() console.Client {
	return console.Client{Address: f.running()[0].consoleAddress, Operator: "test"}
}

func contextWithTimeout(timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	DeferCleanup(cancel)
	return ctx
}

// applySampleWorkload adds the rows of the sample workload, with a proxy for each
// upstream, and waits until every instance serves its models.
func (f *fleet) applySampleWorkload() {
	GinkgoHelper()
	workload := stager.SampleWorkload()
	rows, apiKeys := f.site.Rows(workload, func(id, address string) string {
		f.upstreamProxies[id] = f.startProxy(address)
		return f.upstreamProxies[id].Address()
	})
	f.apiKeys = apiKeys
	var changes []console.Change
	for _, row := range rows {
		changes = append(changes, console.NewInsert(row))
	}
	ctx := contextWithTimeout(30 * time.Second)
	Expect(stager.ApplyChanges(ctx, f.consoleClient(), changes...)).To(Succeed())
	for _, p := range f.running() {
		for _, model := range workload.Models {
			Expect(stager.AwaitModel(ctx, p.callerAddress, apiKeys["hives"], model.ID)).To(Succeed())
		}
	}
}

// isolate applies a fault to the connections between a process and the log, the
// list of instances and its peers, in both directions.
func (f *fleet) isolate(p *daemonProcess, fault faultproxy.Fault) {
	f.logProxy.SetSourceFault(p.ip, fault)
	f.listProxy.SetSourceFault(p.ip, fault)
	p.peerProxy.SetDefaultFault(fault)
	for _, other := range f.running() {
		if other != p {
			other.peerProxy.SetSourceFault(p.ip, fault)
		}
	}
}

// loadResults holds the results of the streams that callers request.
type loadResults struct {
	mu         sync.Mutex
	completed  int
	rejected   map[string]int
	failed     []string
	mismatched []string
}

func (r *loadResults) record(stream caller.StreamResult, err error, prompt caller.Prompt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case stream.IsComplete(prompt):
		r.completed++
	case stream.HasForeignText(prompt):
		r.mismatched = append(r.mismatched, stream.Text)
	case stream.Status == http.StatusOK || err != nil:
		r.failed = append(r.failed, fmt.Sprintf("status %d, failed %t %s, %d bytes: %v", stream.Status, stream.Failed, stream.FailureCode, len(stream.Text), err))
	default:
		r.rejected[string(stream.ErrorResponse.Body)]++
	}
}

// startLoad lets a number of callers request one stream after another from the address that
// selectAddress returns. The returned function stops the callers, waits for their
// last streams and returns the results.
func (f *fleet) startLoad(callers, tokens int, selectAddress func(caller int) string) func() *loadResults {
	results := &loadResults{rejected: make(map[string]int)}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			c := caller.New(f.apiKeys["hives"])
			defer c.Client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				address := selectAddress(i)
				if address == "" {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				prompt := caller.Prompt{Model: "letters", Content: fmt.Sprintf("caller %d, call %d", i, n), Tokens: tokens}
				stream, err := c.Stream(context.Background(), address, prompt)
				results.record(stream, err, prompt)
			}
		})
	}
	return func() *loadResults {
		close(stop)
		group.Wait()
		return results
	}
}

// discoveryCache caches the addresses that discovery returns until their TTL ends.
type discoveryCache struct {
	fleet     *fleet
	mu        sync.Mutex
	addresses []string
	expiresAt time.Time
}

func (d *discoveryCache) address(i int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().After(d.expiresAt) {
		d.refresh()
	}
	if len(d.addresses) == 0 {
		return ""
	}
	return d.addresses[i%len(d.addresses)]
}

func (d *discoveryCache) refresh() {
	c := caller.New("")
	c.Client.Timeout = 300 * time.Millisecond
	for _, p := range d.fleet.running() {
		answer, err := c.Discover(context.Background(), p.callerAddress, "hives", "letters", "")
		if err == nil && len(answer.Addresses) > 0 {
			d.addresses = answer.Addresses
			d.expiresAt = time.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)
			return
		}
	}
	d.expiresAt = time.Now().Add(50 * time.Millisecond)
}

func consoleClientOf(p *daemonProcess) console.Client {
	return console.Client{Address: p.consoleAddress, Operator: "test"}
}
