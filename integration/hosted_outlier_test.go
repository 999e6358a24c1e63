package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

var _ = Describe("An instance with one faulty engine of three", func() {
	// Guards against refusing a sound request as one that crashes engines because the same
	// engine has failed at it twice.
	It("refuses no request that the other engines complete", func() {
		const perSecond, seconds = 60, 5
		s := startEndlessSite()
		for _, id := range []string{"i-faulty", "i-sound-1", "i-sound-2"} {
			config := versionedEngine(id, "v1")
			config.Slots, config.EventInterval = 6, 30*time.Millisecond
			engine := s.StartUpstream(config)
			if id == "i-faulty" {
				engine.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.EndlessHeader })
			}
		}
		s.DeregisterUpstream("i-a")
		s.DeregisterUpstream("i-b")
		time.Sleep(time.Second)
		var served, failed, blamed, refused atomic.Int64
		var callers sync.WaitGroup
		for n := range perSecond * seconds {
			callers.Go(func() {
				request := notesRequest()
				request.APIKey, request.Body = platformtest.APIKey, "prompt"
				if n%5 == 0 {
					request.Body = fmt.Sprint("prompt ", n)
				}
				response, err := platformtest.SendWith(context.Background(), s.client, s.callers, request)
				switch {
				case err == nil && response.Status == http.StatusOK && response.Complete:
					served.Add(1)
				case err == nil && strings.Contains(response.Body, "request_crashes_upstreams"):
					blamed.Add(1)
				case err == nil && response.Status == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					failed.Add(1)
				}
			})
			time.Sleep(time.Second / perSecond)
		}
		callers.Wait()
		AddReportEntry("result", fmt.Sprintf("%d served, %d failed, %d refused for crashes, %d for other reasons",
			served.Load(), failed.Load(), blamed.Load(), refused.Load()))
		Expect(served.Load()).To(BeNumerically(">", perSecond*seconds/4))
		Expect(blamed.Load()).To(BeZero())
	})
})
