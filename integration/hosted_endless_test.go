package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// smallMachine is the memory of a machine in MB.
const smallMachine = 284

// endlessSite is a site with an instance that runs as a process on a small machine, and with
// faulty engines.
type endlessSite struct {
	*platformtest.Platform
	session *gexec.Session
	callers string
	client  *http.Client
}

func startEndlessSite() *endlessSite {
	GinkgoHelper()
	site := platformtest.NewPlatform()
	DeferCleanup(site.Close)
	text, readiness, callers := hostedSettings(site)
	session, _ := startHostedDaemon(text + fmt.Sprintf("[limits]\nmemory_mb = %d\n", smallMachine))
	Eventually(isInstanceReady(readiness), "5s").Should(BeTrue())
	return &endlessSite{site, session, callers, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// queuedMemory returns the size of the data in MB that the kernel holds for the connections of
// the process.
func (s *endlessSite) queuedMemory() int64 {
	GinkgoHelper()
	sockets := make(map[string]bool)
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", s.session.Command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	for _, file := range files {
		// The process may have closed the file.
		target, _ := os.Readlink(file)
		sockets[strings.TrimSuffix(strings.TrimPrefix(target, "socket:["), "]")] = true
	}
	table, err := os.ReadFile("/proc/net/tcp")
	Expect(err).NotTo(HaveOccurred())
	queued := int64(0)
	for line := range strings.Lines(string(table)) {
		const stateField, queueField, inodeField, listening = 3, 4, 9, "0A"
		fields := strings.Fields(line)
		if len(fields) <= inodeField || !sockets[fields[inodeField]] || fields[stateField] == listening {
			continue
		}
		for _, queue := range strings.Split(fields[queueField], ":") {
			size, err := strconv.ParseInt(queue, 16, 64)
			Expect(err).NotTo(HaveOccurred())
			queued += size
		}
	}
	return queued >> 20
}

// sendSound sends a request that a faulty engine cannot get, and reports whether it was served.
func (s *endlessSite) sendSound(ctx context.Context) bool {
	request := stockRequest()
	request.APIKey = platformtest.APIKey
	response, err := platformtest.SendWith(ctx, s.client, s.callers, request)
	return err == nil && response.Status == http.StatusOK && response.Complete
}

// expectSound sends sound requests for a time and expects that all are served and that the
// process keeps within the memory that it sets itself.
func (s *endlessSite) expectSound(duration time.Duration) {
	GinkgoHelper()
	failed, count := 0, 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		count++
		if !s.sendSound(context.Background()) {
			failed++
		}
	}
	peak := peakMemory(s.session)
	AddReportEntry("result", fmt.Sprintf("peak %d MB, %d of %d sound requests failed", peak, failed, count))
	Expect(s.session).NotTo(gexec.Exit())
	Expect(failed).To(BeZero())
	// The rest of the memory is for the buffers of connections.
	Expect(peak).To(BeNumerically("<", smallMachine*70/100))
}

var _ = Describe("An instance on a small machine", Label("memory"), func() {
	const exchanges = 64

	// Guards against a machine that runs out of memory because of an engine whose responses
	// do not end.
	It("keeps its memory while an engine answers requests without end", func() {
		behaviours := platformtest.EndlessBehaviours
		s := startEndlessSite()
		config := versionedEngine("i-faulty", "v1")
		config.Slots = exchanges
		var count atomic.Int64
		s.StartUpstream(config).SetBehaviour(func(platformtest.Execution) platformtest.Behaviour {
			return behaviours[int(count.Add(1))%len(behaviours)]
		})
		time.Sleep(time.Second)
		ctx, stop := context.WithCancel(context.Background())
		var callers sync.WaitGroup
		var statuses sync.Map
		for n := range exchanges {
			callers.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					request := notesRequest()
					request.APIKey, request.Body = platformtest.APIKey, fmt.Sprint("prompt ", n, " ", i)
					request.PromptParts = []string{request.Body}
					response, err := platformtest.SendWith(ctx, s.client, s.callers, request)
					if ctx.Err() == nil {
						seen, _ := statuses.LoadOrStore(fmt.Sprint(response.Status, " complete ", response.Complete, " error ", err != nil), new(atomic.Int64))
						seen.(*atomic.Int64).Add(1)
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		DeferCleanup(func() {
			stop()
			callers.Wait()
			statuses.Range(func(key, value any) bool {
				AddReportEntry("answers", fmt.Sprint(key, ": ", value.(*atomic.Int64).Load()))
				return true
			})
			AddReportEntry("faulty", fmt.Sprint("answers without end: ", count.Load()))
		})
		s.expectSound(3 * time.Second)
	})

	// Guards against a machine that runs out of memory because of a store whose responses do
	// not end.
	DescribeTable("keeps its memory while the store answers without end", func(head, text string) {
		site := platformtest.NewPlatform()
		DeferCleanup(site.Close)
		settings, _, _ := hostedSettings(site)
		settings = strings.Replace(settings, site.Store.Address(), startEndlessServer(head, text), 1)
		session, _ := startHostedDaemon(settings + fmt.Sprintf("[limits]\nmemory_mb = %d\n", smallMachine))
		time.Sleep(3 * time.Second)
		peak := peakMemory(session)
		AddReportEntry("result", fmt.Sprintf("peak %d MB", peak))
		Expect(session).NotTo(gexec.Exit())
		Expect(peak).To(BeNumerically("<", smallMachine*70/100))
	},
		Entry("in a header", "HTTP/1.1 200 OK\r\n", "Name: value\r\n"),
		Entry("in a body", "HTTP/1.1 200 OK\r\n\r\n", "x"),
		Entry("in a page", "HTTP/1.1 200 OK\r\n\r\n"+`{"items":[`, `{"key":"a"},`),
	)

	// Guards against log lines, which are buffered, that hold what an engine has sent.
	It("does not log what an engine sends in the place of responses", func() {
		s := startEndlessSite()
		s.SetBehaviour(func(e platformtest.Execution) platformtest.Behaviour {
			if len(e.ID)%2 == 0 {
				return platformtest.EndlessRest
			}
			return platformtest.EndlessLines
		})
		for n := range 8 {
			request := notesRequest()
			request.APIKey, request.ID = platformtest.APIKey, strings.Repeat("x", 20+n)
			request.PromptParts = []string{request.ID}
			_, err := platformtest.SendWith(context.Background(), s.client, s.callers, request)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(s.session.Out, "2s").Should(gbytes.Say("call ended"))
		s.session.Terminate().Wait("10s")
		for line := range strings.Lines(string(s.session.Out.Contents()) + string(s.session.Err.Contents())) {
			Expect(len(line)).To(BeNumerically("<", 4<<10), line[:min(len(line), 200)])
		}
	})

	// Guards against a machine whose kernel runs out of memory because of streams without end
	// that nobody reads.
	It("keeps its memory while callers do not read streams without end", func() {
		s := startEndlessSite()
		config := versionedEngine("i-faulty", "v1")
		config.Slots = exchanges
		s.StartUpstream(config).SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.EndlessStream })
		s.DeregisterUpstream("i-a")
		s.DeregisterUpstream("i-b")
		time.Sleep(time.Second)
		for range exchanges {
			startStream(s.callers)
		}
		Eventually(s.queuedMemory, "2s", "10ms").Should(BeNumerically(">", 4), "the streams have begun")
		peak := int64(0)
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			peak = max(peak, s.queuedMemory())
		}
		AddReportEntry("result", fmt.Sprintf("peak of the queues %d MB", peak))
		Expect(peak).To(BeNumerically("<", smallMachine*30/100))
		s.expectSound(time.Second)
	})

	// Guards against callers that do not read and keep the slots of engines that work for them
	// no more.
	It("serves other callers after the deadline of streams that nobody reads", func() {
		s := startEndlessSite()
		table := s.Table()
		table.Version, table.TimeoutMs = table.Version+1, 2000
		s.PutTable(table)
		config := versionedEngine("i-faulty", "v1")
		config.Slots = exchanges
		var isSound atomic.Bool
		s.StartUpstream(config).SetBehaviour(func(platformtest.Execution) platformtest.Behaviour {
			if isSound.Load() {
				return platformtest.Serve
			}
			return platformtest.EndlessStream
		})
		s.DeregisterUpstream("i-a")
		s.DeregisterUpstream("i-b")
		time.Sleep(time.Second)
		for range 2 * exchanges {
			startStream(s.callers)
		}
		time.Sleep(4 * time.Second)
		isSound.Store(true)
		request := notesRequest()
		request.APIKey = platformtest.APIKey
		response, err := platformtest.SendWith(context.Background(), s.client, s.callers, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(http.StatusOK), response.Body)
	})

	// Guards against a machine that runs out of memory because of reports without end.
	It("keeps its memory while engines answer reports without end", func() {
		s := startEndlessSite()
		for n := range exchanges {
			s.StartUpstream(versionedEngine(fmt.Sprint("i-faulty-", n), "v1")).SetControlEndless(true)
		}
		s.expectSound(4 * time.Second)
	})

	// Guards against a machine that runs out of memory because it asks an engine whose
	// answers do not end for each stream that it could continue.
	It("keeps its memory while streams could continue at such an engine", func() {
		s := startEndlessSite()
		s.DeregisterUpstream("i-b")
		time.Sleep(time.Second)
		var streams sync.WaitGroup
		DeferCleanup(streams.Wait)
		for n := range 4 * exchanges {
			streams.Go(func() {
				_, _ = platformtest.SendWith(context.Background(), s.client, s.callers, platformtest.Request{
					Path: platformtest.LongResumablePath + strconv.Itoa(n), Model: platformtest.Model, APIKey: platformtest.APIKey,
					Body: fmt.Sprint("prompt ", n), PromptParts: []string{strconv.Itoa(n)},
				})
			})
		}
		config := versionedEngine("i-faulty", "v1")
		config.Slots = 4 * exchanges
		s.StartUpstream(config).SetControlEndless(true)
		time.Sleep(time.Second)
		s.CrashUpstream("i-a")
		s.expectSound(3 * time.Second)
	})
})
