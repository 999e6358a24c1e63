package integration_test

import (
	"bytes"
	"encoding/json"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// logBuffer collects the log output of instances.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// linesWith returns the decoded lines that have a field with a value.
func (l *logBuffer) linesWith(field, value string) []map[string]any {
	GinkgoHelper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var lines []map[string]any
	for text := range bytes.SplitSeq(l.buffer.Bytes(), []byte("\n")) {
		line := make(map[string]any)
		if json.Unmarshal(text, &line) == nil && line[field] == value {
			lines = append(lines, line)
		}
	}
	return lines
}

// text returns all lines.
func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// startLoggedFleet starts one instance and collects its log.
func startLoggedFleet() (*hostedFleet, *logBuffer) {
	GinkgoHelper()
	lines := &logBuffer{}
	f, err := platformtest.StartCluster(1, zerolog.New(lines))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.Close)
	return &hostedFleet{f}, lines
}

// The first three specs guard against log lines without the fields by which
// docs/OPERATIONS.md traces a request's ID to the cause of its failure.
var _ = Describe("The log of instances on the platform", func() {
	It("explains why the limit of a workspace rejected a request", func() {
		f, lines := startLoggedFleet()
		table := f.Table()
		table.Version, table.TokensPerSecond = 5, 20
		f.PutTable(table)
		var answer platformtest.Response
		Eventually(func() int { answer = f.send(notesRequest()); return answer.Status }, "5s", "20ms").Should(Equal(429))
		Expect(answer.Header.Get("Retry-After")).NotTo(BeEmpty())
		requestLines := lines.linesWith("request_id", answer.ID)
		Expect(requestLines).To(HaveLen(1))
		Expect(requestLines[0]).To(And(
			HaveKeyWithValue("reason", "rate_limit_exceeded"), HaveKeyWithValue("workspace", platformtest.Workspace),
			HaveKeyWithValue("table", 5.0), HaveKeyWithValue("limit_rate", 22.5), HaveKeyWithValue("limit_instances", 1.0),
			HaveKey("limit_level"), HaveKey("limit_demand"), HaveKey("limit_share"),
		))
	})

	It("identifies the upstream that closed the connection of an order", func() {
		f, lines := startLoggedFleet()
		f.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.Crash })
		answer := f.send(orderRequest())
		Expect(answer.Status).To(Equal(502))
		requestLines := lines.linesWith("request_id", answer.ID)
		Expect(requestLines).To(HaveLen(2))
		Expect(requestLines[0]).To(And(HaveKeyWithValue("result", "unreachable"), HaveKeyWithValue("cause", "EOF"), HaveKey("upstream")))
		Expect(requestLines[1]).To(And(HaveKeyWithValue("reason", "upstream_failed"), HaveKeyWithValue("upstream", requestLines[0]["upstream"])))
		Expect(lines.linesWith("upstream", requestLines[0]["upstream"].(string))).NotTo(BeEmpty())
	})

	It("reports the failure that interrupted a stream", func() {
		f, lines := startLoggedFleet()
		f.SetBehaviour(failFirst(platformtest.ResetMidStream))
		answer := f.send(notesRequest())
		Expect(answer.Complete).To(BeFalse())
		var requestLines []map[string]any
		Eventually(func() []map[string]any { requestLines = lines.linesWith("request_id", answer.ID); return requestLines }, "1s").Should(HaveLen(2))
		Expect(requestLines[1]).To(And(
			HaveKeyWithValue("outcome", "broken"), HaveKeyWithValue("status", 200.0), HaveKeyWithValue("attempts", 1.0),
			HaveKeyWithValue("cause", "unexpected EOF"), HaveKey("first_byte"), HaveKey("longest_gap"),
		))
	})

	// Guards against cut calls whose log does not tell whether they were accepted late, or early
	// by a wrong estimate.
	It("tells on what grounds a call was accepted in a shutdown", func() {
		f, lines := startLoggedFleet()
		f.Instances[0].Stop()
		time.Sleep(100 * time.Millisecond)
		answer := f.send(notesRequest())
		Expect(answer.Status).To(Equal(200))
		requestLines := lines.linesWith("request_id", answer.ID)
		Expect(requestLines).To(HaveLen(1))
		Expect(requestLines[0]).To(And(
			HaveKeyWithValue("shutdown_since", BeNumerically("~", 100, 90)), HaveKeyWithValue("shutdown_left", BeNumerically("~", 7750, 90)),
			HaveKey("estimate_known"), HaveKey("estimate_longest"),
		))
	})

	// Guards against secrets in the log, also for requests with unknown keys.
	It("contains no API key, request body or prompt", func() {
		f, lines := startLoggedFleet()
		r := orderRequest()
		r.Body = "body-that-must-stay-private"
		f.send(r)
		f.send(notesRequest())
		r.APIKey = "key-that-nobody-has"
		f.send(r)
		Expect(lines.text()).NotTo(ContainSubstring(platformtest.APIKey))
		Expect(lines.text()).NotTo(ContainSubstring("key-that-nobody-has"))
		Expect(lines.text()).NotTo(ContainSubstring("body-that-must"))
		Expect(lines.text()).NotTo(ContainSubstring("5c1e07a2"))
	})
})
