package integration_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// The machine and the crowd of callers that do not keep to the limits. The bounds are what the
// settings give to the process.
const (
	crowdMemoryMB = 64
	// crowdDescriptors includes reservedDescriptors that are for files, not sockets.
	crowdDescriptors    = 600
	reservedDescriptors = 200
	crowdMaxBodyBytes   = 128 << 10
	crowdSize           = 600
	// crowdPatience ends a caller's attempts to write to a process that does not read.
	crowdPatience = 8 * time.Second
	// crowdStay is how long the crowd stays after it has sent all.
	crowdStay = 2 * time.Second
	// ordinaryAttempts is how often an ordinary caller sends its request, as clients do.
	ordinaryAttempts = 4
)

// crowdKind is what a caller of the crowd sends before it stays open.
type crowdKind struct {
	name string
	// text returns what is sent by a caller with an API key.
	text func(key string) string
}

// crowdHead returns the head of a request, except for the header lines that follow.
func crowdHead(key string) string {
	return fmt.Sprintf("POST %s1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: crowd\r\nAuthorization: Bearer %s\r\n",
		platformtest.NonIdempotentPath, platformtest.Host, key)
}

func chunkedKind(name, chunks string) crowdKind {
	return crowdKind{name, func(key string) string { return crowdHead(key) + "Transfer-Encoding: chunked\r\n\r\n" + chunks }}
}

func announcedKind(name string, announced, sent int) crowdKind {
	body := strings.Repeat("x", sent)
	return crowdKind{name, func(key string) string {
		return crowdHead(key) + "Content-Length: " + strconv.Itoa(announced) + "\r\n\r\n" + body
	}}
}

func crowdKinds() []crowdKind {
	const short = crowdMaxBodyBytes - 1
	return []crowdKind{
		chunkedKind("large chunks that stop short of the end", fmt.Sprintf("%x\r\n%s\r\n", short, strings.Repeat("x", short))),
		chunkedKind("chunks of one byte that stop short of the end", strings.Repeat("1\r\nx\r\n", short)),
		announcedKind("an announced length that lacks one byte", crowdMaxBodyBytes, short),
		announcedKind("a body far over the limit that is announced", 8*crowdMaxBodyBytes, 8*crowdMaxBodyBytes-1),
		chunkedKind("a body far over the limit that is just sent",
			strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", crowdMaxBodyBytes, strings.Repeat("x", crowdMaxBodyBytes)), 8)),
		{"a head over the limit", func(key string) string {
			return crowdHead(key) + "X-Big: " + strings.Repeat("x", 64<<10) + "\r\n\r\n"
		}},
		{"a head without end", func(key string) string {
			return crowdHead(key) + strings.Repeat("X-More: x\r\n", 2000)
		}},
		{"empty lines without end", func(string) string { return strings.Repeat("\r\n", 32<<10) }},
	}
}

// crowdSite is a site with an instance on a machine with crowdMemoryMB and crowdDescriptors.
type crowdSite struct {
	*endlessSite
	// listeners holds the addresses of the process by name.
	listeners map[string]string
}

func startCrowdSite() *crowdSite {
	GinkgoHelper()
	site := platformtest.NewPlatform()
	DeferCleanup(site.Close)
	table := site.Table()
	table.Version, table.MaxBodyBytes = table.Version+1, crowdMaxBodyBytes
	site.PutTable(table)
	settings := platformtest.InstanceSettings{
		ID: "node-1", AvailabilityZone: "za", IsFirstStart: true, Store: site.Store.Address(),
		Callers: platformtest.FreeAddress(), Readiness: platformtest.FreeAddress(),
		Discovery: platformtest.FreeAddress(), Peers: platformtest.FreeAddress(), MemoryMB: crowdMemoryMB,
	}
	metrics := platformtest.FreeAddress()
	text := strings.Replace(settings.String(), "[listen]\n", fmt.Sprintf("[listen]\nmetrics = %q\n", metrics), 1)
	session, _ := startHostedDaemon(text + fmt.Sprintf("descriptors = %d\n", crowdDescriptors))
	Eventually(isInstanceReady(settings.Readiness), "10s").Should(BeTrue())
	return &crowdSite{
		endlessSite: &endlessSite{site, session, settings.Callers, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}},
		listeners: map[string]string{
			"callers": settings.Callers, "readiness": settings.Readiness, "discovery": settings.Discovery, "metrics": metrics,
		},
	}
}

// descriptors returns the numbers of open descriptors and of sockets among them.
func (s *crowdSite) descriptors() (all, sockets int) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", s.session.Command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	for _, file := range files {
		// The process may have closed the file.
		if target, _ := os.Readlink(file); strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return len(files), sockets
}

// usage is the largest use of the machine that was seen.
type usage struct{ memoryMB, queuedMB, descriptors, sockets int }

// watch samples the use of the machine until the context ends.
func (s *crowdSite) watch(ctx context.Context) <-chan usage {
	result := make(chan usage, 1)
	go func() {
		defer GinkgoRecover()
		var peak usage
		for ctx.Err() == nil && s.session.ExitCode() == -1 {
			queued := int(s.queuedMemory())
			all, sockets := s.descriptors()
			peak = usage{
				max(peak.memoryMB, s.residentMemory()+queued), max(peak.queuedMB, queued),
				max(peak.descriptors, all), max(peak.sockets, sockets),
			}
			time.Sleep(10 * time.Millisecond)
		}
		result <- peak
	}()
	return result
}

// residentMemory returns the resident memory of the process in MB.
func (s *crowdSite) residentMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", s.session.Command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	pages, err := strconv.Atoi(strings.Fields(string(status))[1])
	Expect(err).NotTo(HaveOccurred())
	return pages * os.Getpagesize() >> 20
}

// gather opens a crowd that stays open until the spec ends, and returns when it has sent all
// that the process takes. Every other caller has a key that a workspace holds.
func (s *crowdSite) gather(size int, kinds []crowdKind, addresses ...string) {
	GinkgoHelper()
	var crowd sync.WaitGroup
	for n := range size {
		key := "unknown"
		if n/len(kinds)%2 == 0 {
			key = platformtest.APIKey
		}
		kind, address := kinds[n%len(kinds)], addresses[n/len(kinds)%len(addresses)]
		crowd.Go(func() {
			conn, err := net.DialTimeout("tcp", address, crowdPatience)
			if err != nil {
				return
			}
			DeferCleanup(conn.Close)
			_ = conn.SetDeadline(time.Now().Add(crowdPatience))
			// The process may close the connection.
			_, _ = io.WriteString(conn, kind.text(key))
		})
	}
	crowd.Wait()
}

// expectSurvival lets a crowd come and checks the process while the crowd stays open.
func (s *crowdSite) expectSurvival(kinds []crowdKind, addresses ...string) {
	GinkgoHelper()
	ctx, stop := context.WithCancel(context.Background())
	watched := s.watch(ctx)
	s.gather(crowdSize, kinds, addresses...)
	time.Sleep(crowdStay)
	request := orderRequest()
	request.APIKey = platformtest.APIKey
	isAnswered := func() bool {
		response, err := platformtest.SendWith(context.Background(), s.client, s.callers, request)
		return err == nil && response.Status == http.StatusOK
	}
	answered := false
	for attempt := 0; attempt < ordinaryAttempts && !answered; attempt++ {
		answered = isAnswered()
	}
	stop()
	peak := <-watched
	AddReportEntry("result", fmt.Sprintf("%+v, answered %t", peak, answered))
	Expect(s.session).NotTo(gexec.Exit())
	Expect(answered).To(BeTrue(), "one ordinary request")
	Expect(peakMemory(s.session)).To(BeNumerically("<", crowdMemoryMB), "%+v", peak)
	Expect(peak.memoryMB).To(BeNumerically("<", crowdMemoryMB), "with the kernel's queues: %+v", peak)
	Expect(peak.sockets).To(BeNumerically("<=", crowdDescriptors-reservedDescriptors), "%+v", peak)
	Expect(peak.descriptors).To(BeNumerically("<=", crowdDescriptors), "%+v", peak)
}

var _ = Describe("An instance that a crowd outside the limits calls", Serial, Label("memory"), func() {
	// Guards against a process that runs out of memory or descriptors because of callers that
	// do not keep to the limits, one kind of them at a time.
	for _, kind := range crowdKinds() {
		It("survives "+kind.name, func() {
			s := startCrowdSite()
			s.expectSurvival([]crowdKind{kind}, s.callers)
		})
	}

	// Guards against listeners other than the callers' that take what the process has.
	for _, listener := range []string{"discovery", "readiness", "metrics"} {
		It("survives all kinds at its listener for "+listener, func() {
			s := startCrowdSite()
			s.expectSurvival(crowdKinds(), s.listeners[listener])
		})
	}

	// Guards against kinds that are harmless alone and not together.
	It("survives all kinds at all listeners at once", func() {
		s := startCrowdSite()
		s.expectSurvival(crowdKinds(), s.callers, s.listeners["discovery"], s.listeners["readiness"], s.listeners["metrics"])
	})
})
