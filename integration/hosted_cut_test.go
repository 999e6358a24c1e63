package integration_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// sendRaw sends a request over a new connection as a kind of caller does.
func (f *hostedFleet) sendRaw(r platformtest.Request, from cutCaller) (int, string, error) {
	GinkgoHelper()
	conn, err := net.Dial("tcp", f.Instances[0].Settings.Listen.Callers)
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	r.APIKey, r.PromptParts = platformtest.APIKey, []string{"own-" + r.ID}
	_, err = io.WriteString(conn, r.Text(from.protocol))
	Expect(err).NotTo(HaveOccurred())
	Expect(from.halfClose(conn)).To(Succeed())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

var _ = Describe("Responses that their upstream begins and does not end, on the platform", func() {
	// Guards against a success with an empty or a short body for a response of which the head
	// or the body has broken off.
	DescribeTable("are not passed on as whole ones", func(request platformtest.Request, whole []int) {
		f := startHostedFleet(1)
		results, path := make(map[string]int), request.Path
		var wrong []string
		for n, form := range cutForms() {
			for number, from := range cutCallers {
				request.ID = fmt.Sprintf("cut-%d-%d", n, number)
				// Calls that are alike are refused after some failures.
				if request.Path = path + "-" + request.ID; request.Body != "" {
					request.Body = request.ID
				}
				played := 0
				for _, upstream := range f.AllUpstreams() {
					upstream.SetCutResponse(platformtest.WithStamp(form.text), form.isReset)
				}
				f.SetBehaviour(onFirst(platformtest.CutResponse))
				for end, try := time.Now().Add(8*time.Second), 0; played == 0 && time.Now().Before(end); try++ {
					status, body, err := f.sendRaw(request, from.withCloseDelay(try))
					results[fmt.Sprintf("status %d, broken off %t", status, err != nil)]++
					isWhole := strings.HasPrefix(body, "answer to ") || whole != nil && slices.Equal(eventIDs(body), whole)
					if err == nil && status == http.StatusOK && !isWhole {
						wrong = append(wrong, fmt.Sprintf("%s, %s: body %q", form.name, from.name, body))
					}
					for _, upstream := range f.AllUpstreams() {
						played += countExecutionsOf(upstream, request.ID)
					}
					time.Sleep(10 * time.Millisecond)
				}
				Expect(played).To(BeNumerically(">", 0), "%s, %s", form.name, from.name)
			}
		}
		AddReportEntry("results", fmt.Sprint(results))
		Expect(wrong).To(BeEmpty())
	},
		Entry("orders", orderRequest(), nil),
		Entry("lookups", stockRequest(), nil),
		Entry("streams", notesRequest(), []int{1, 2, 3, 4, 5, 6}),
		Entry("streams that may be continued", adviceRequest(), []int{1, 2, 3, 4, 5, 6}),
	)

	// Guards against a stream without its first event, which stands in the place of the blank
	// line of the head and is taken for header lines.
	It("lose no event that stands in the place of the blank line", Label("known-red"), func() {
		f := startHostedFleet(1)
		for _, upstream := range f.AllUpstreams() {
			upstream.SetCutResponse(platformtest.WithStamp("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %ID\r\n"+
				"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"), false)
		}
		f.SetBehaviour(onFirst(platformtest.CutResponse))
		answer := f.send(notesRequest())
		Expect(answer.Status == http.StatusOK && answer.Complete).To(BeFalse(), answer.Body)
	})
})

// eventIDs returns the IDs of the events of a stream.
func eventIDs(body string) []int {
	return (&platformtest.Response{Body: body}).EventIDs()
}

// countExecutionsOf returns how often an upstream has executed a request.
func countExecutionsOf(upstream *platformtest.Upstream, id string) int {
	count := 0
	for _, execution := range upstream.Executions() {
		if execution.ID == id {
			count++
		}
	}
	return count
}
