package integration_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// uploadBytes is the size of the body of an upload. It does not fit into the buffers of a
// connection.
const uploadBytes = 1 << 20

var _ = Describe("Uploads whose upstream answers at once and resets the connection", func() {
	// Guards against a part of a response that reaches the caller as a complete one, as the reset
	// was reported to the write of the upload.
	DescribeTable("get no part of a response as a complete one", func(request platformtest.Request, service string) {
		const uploads, callers = 120, 8
		f := startHostedFleet(3)
		table := f.Table()
		table.Version, table.MaxBodyBytes = table.Version+1, 2*uploadBytes
		f.PutTable(table)
		u, err := platformtest.StartResettingUpstream(uploadBytes)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(u.Close)
		for _, upstream := range f.AllUpstreams() {
			if upstream.Service() == service {
				upstream.SetAdvertisedAddress(u.Address())
			}
		}
		body, path := strings.Repeat("x", uploadBytes), request.Path
		request.Body = body
		Eventually(func() int64 { _ = f.send(request); return u.Resets() }, "5s").Should(BeNumerically(">", 0))
		var whole atomic.Int64
		var group sync.WaitGroup
		for caller := range callers {
			group.Go(func() {
				defer GinkgoRecover()
				for n := range uploads / callers {
					// Calls that are alike are refused after some failures.
					own := request
					own.ID = fmt.Sprintf("upload-%d-%d", caller, n)
					own.Path, own.Body, own.PromptParts = path+"-"+own.ID, own.ID+body, []string{own.ID}
					answer := f.sendTo(n%len(f.Instances), own)
					if answer.Status == http.StatusOK && answer.Complete {
						whole.Add(1)
					}
				}
			})
		}
		group.Wait()
		AddReportEntry("uploads", fmt.Sprint(u.Resets()))
		// Some calls are refused as all upstreams have failed.
		Expect(u.Resets()).To(BeNumerically(">", uploads/4))
		Expect(whole.Load()).To(BeZero(), "parts of responses that are complete, of %d", u.Resets())
	},
		Entry("orders", orderRequest(), platformtest.PlainService),
		Entry("streams", notesRequest(), platformtest.ModelService),
	)
})
