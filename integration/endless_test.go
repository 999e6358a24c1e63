package integration_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/crocushollow/crocushollow/standin/caller"
)

// startEndlessServer starts an upstream that answers each request with a head and a text
// without end, and returns its address.
func startEndlessServer(head, text string) string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	block := strings.Repeat(text, 1+(64<<10)/len(text))
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				for part := head; ; part = block {
					if _, err := io.WriteString(conn, part); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// peakMemory returns the largest resident memory of a process in MB so far.
func peakMemory(session *gexec.Session) int {
	GinkgoHelper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", session.Command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	Expect(err).NotTo(HaveOccurred())
	return kilobytes >> 10
}

var _ = Describe("an instance whose upstreams answer without end", Label("memory"), func() {
	// maxMemory is the memory of a small machine in MB.
	const maxMemory = 284

	// Guards against a machine that runs out of memory because of upstreams whose responses
	// do not end.
	DescribeTable("keeps its memory and stays ready", func(head, text string) {
		f := startFleet(1)
		endless := startEndlessServer(head, text)
		for _, proxy := range f.upstreamProxies {
			proxy.SetTarget(endless)
			proxy.CloseOpenConnections()
		}
		p := f.running()[0]
		var callers sync.WaitGroup
		for n := range 48 {
			callers.Go(func() {
				c := caller.New(f.apiKeys["hives"])
				defer c.Client.CloseIdleConnections()
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				// The prompts must fail, one way or another.
				_, _ = c.Complete(ctx, p.callerAddress, caller.Prompt{Model: "letters", Content: fmt.Sprint("prompt ", n), Tokens: 5})
			})
		}
		callers.Wait()
		peak := peakMemory(p.session)
		AddReportEntry("result", fmt.Sprintf("peak %d MB", peak))
		Expect(peak).To(BeNumerically("<", maxMemory))
		Expect(isReady(p)).To(BeTrue())
	},
		Entry("in a body", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", "x"),
		Entry("in a header", "HTTP/1.1 200 OK\r\n", "Name: value\r\n"),
	)

	// Guards against a limit for all responses together that fails sound ones which have run.
	It("serves large responses of sound upstreams that come at once", func() {
		const calls, responseBytes = 24, 2 << 20
		f := startFleet(1)
		body := strings.Repeat("x", responseBytes)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = io.WriteString(w, body[:responseBytes-1])
			_ = http.NewResponseController(w).Flush()
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(w, body[responseBytes-1:])
		}))
		DeferCleanup(server.Close)
		for _, proxy := range f.upstreamProxies {
			proxy.SetTarget(server.Listener.Addr().String())
			proxy.CloseOpenConnections()
		}
		time.Sleep(time.Second)
		var callers sync.WaitGroup
		statuses := make([]int, calls)
		for n := range calls {
			callers.Go(func() {
				c := caller.New(f.apiKeys["hives"])
				defer c.Client.CloseIdleConnections()
				response, _ := c.Complete(context.Background(), f.running()[0].callerAddress, caller.Prompt{Model: "letters", Content: fmt.Sprint("prompt ", n), Tokens: 5})
				statuses[n] = response.Status
			})
		}
		callers.Wait()
		peak := peakMemory(f.running()[0].session)
		Expect(statuses).To(HaveEach(http.StatusOK), "peak %d MB", peak)
	})

	// Guards against a machine whose kernel runs out of memory because of streams without end
	// that nobody reads.
	It("keeps its memory while callers do not read streams without end", func() {
		f := startFleet(1)
		endless := startEndlessServer("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "data: "+strings.Repeat("x", 1000)+"\n\n")
		for _, proxy := range f.upstreamProxies {
			proxy.SetTarget(endless)
			proxy.CloseOpenConnections()
		}
		time.Sleep(time.Second)
		p := f.running()[0]
		for n := range 64 {
			conn, err := net.Dial("tcp", p.callerAddress)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			body := fmt.Sprintf(`{"model":"letters","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"prompt %d"}]}`, n)
			_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
				f.apiKeys["hives"], len(body), body)
			Expect(err).NotTo(HaveOccurred())
		}
		queues := endlessSite{session: p.session}
		peak := int64(0)
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			peak = max(peak, queues.queuedMemory())
		}
		AddReportEntry("result", fmt.Sprintf("peak of the queues %d MB", peak))
		Expect(peak).To(BeNumerically("<", maxMemory*30/100))
	})
})
