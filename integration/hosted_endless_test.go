package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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

var _ = Describe("An instance on a small machine", func() {
	const exchanges = 64

	// Guards against a machine that runs out of memory because of an engine whose responses
	// do not end.
	DescribeTable("keeps its memory while an engine answers requests without end", func(behaviours ...platformtest.Behaviour) {
		s := startEndlessSite()
		config := versionedEngine("i-faulty", "v1")
		config.Slots = exchanges
		var count atomic.Int64
		s.StartUpstream(config).SetBehaviour(func(platformtest.Execution) platformtest.Behaviour {
			return behaviours[int(count.Add(1))%len(behaviours)]
		})
		time.Sleep(500 * time.Millisecond)
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
	},
		Entry("in all parts of a response", platformtest.EndlessHeader, platformtest.EndlessHeaderLine, platformtest.EndlessInterim, platformtest.EndlessBody,
			platformtest.EndlessEvent, platformtest.EndlessComments, platformtest.EndlessExtension, platformtest.EndlessTrailer, platformtest.EndlessRest),
	)

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
		time.Sleep(500 * time.Millisecond)
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
