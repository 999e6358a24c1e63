package integration_test

import (
	"bytes"
	"encoding/json"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// logLines keeps what instances log.
type logLines struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// about returns the decoded lines that name a request or an upstream.
func (l *logLines) about(field, value string) []map[string]any {
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
func (l *logLines) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// startLogged starts one instance whose log is kept.
func startLogged() (*hostedFleet, *logLines) {
	GinkgoHelper()
	lines := &logLines{}
	f, err := platformtest.StartCluster(1, zerolog.New(lines))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.Close)
	return &hostedFleet{f}, lines
}

// docs/OPERATIONS.md shows these three ways from a request's id to its cause.
var _ = Describe("The log of instances on the platform", func() {
	It("tells why a request was refused by its workspace's limit", func() {
		f, lines := startLogged()
		table := f.Table()
		table.Version, table.TokensPerSecond = 5, 20
		f.PutTable(table)
		var answer platformtest.Response
		Eventually(func() int { answer = f.send(notes()); return answer.Status }, "5s", "20ms").Should(Equal(429))
		Expect(answer.Header.Get("Retry-After")).NotTo(BeEmpty())
		ended := lines.about("request_id", answer.ID)
		Expect(ended).To(HaveLen(1))
		Expect(ended[0]).To(And(
			HaveKeyWithValue("reason", "rate_limit_exceeded"), HaveKeyWithValue("workspace", platformtest.Workspace),
			HaveKeyWithValue("table", 5.0), HaveKeyWithValue("limit_rate", 22.5), HaveKeyWithValue("limit_instances", 1.0),
			HaveKey("limit_level"), HaveKey("limit_demand"), HaveKey("limit_share"),
		))
	})

	It("tells which upstream broke off an order", func() {
		f, lines := startLogged()
		f.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.Crash })
		answer := f.send(order())
		Expect(answer.Status).To(Equal(502))
		about := lines.about("request_id", answer.ID)
		Expect(about).To(HaveLen(2))
		Expect(about[0]).To(And(HaveKeyWithValue("result", "unreachable"), HaveKeyWithValue("cause", "EOF"), HaveKey("upstream")))
		Expect(about[1]).To(And(HaveKeyWithValue("reason", "upstream_failed"), HaveKeyWithValue("upstream", about[0]["upstream"])))
		Expect(lines.about("upstream", about[0]["upstream"].(string))).NotTo(BeEmpty())
	})

	It("tells where a stream stopped", func() {
		f, lines := startLogged()
		f.SetBehaviour(failFirst(platformtest.ResetMidStream))
		answer := f.send(notes())
		Expect(answer.Complete).To(BeFalse())
		var ended []map[string]any
		Eventually(func() []map[string]any { ended = lines.about("request_id", answer.ID); return ended }, "1s").Should(HaveLen(2))
		Expect(ended[1]).To(And(
			HaveKeyWithValue("outcome", "broken"), HaveKeyWithValue("status", 200.0), HaveKeyWithValue("attempts", 1.0),
			HaveKeyWithValue("cause", "unexpected EOF"), HaveKey("first_byte"), HaveKey("longest_gap"),
		))
	})

	It("names no key, no body and no prompt", func() {
		f, lines := startLogged()
		r := order()
		r.Body = "body-that-must-stay-private"
		f.send(r)
		f.send(notes())
		r.APIKey = "key-that-nobody-has"
		f.send(r)
		Expect(lines.text()).NotTo(ContainSubstring(platformtest.APIKey))
		Expect(lines.text()).NotTo(ContainSubstring("key-that-nobody-has"))
		Expect(lines.text()).NotTo(ContainSubstring("body-that-must"))
		Expect(lines.text()).NotTo(ContainSubstring("5c1e07a2"))
	})
})
