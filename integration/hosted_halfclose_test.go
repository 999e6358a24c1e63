package integration_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// halfClosingCaller is a caller that closes its side of a connection and reads on.
type halfClosingCaller struct {
	conn   *net.TCPConn
	reader *bufio.Reader
}

// startStream sends a stream request to an instance.
func startStream(address string) *halfClosingCaller {
	GinkgoHelper()
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	request := notesRequest()
	request.ID, request.APIKey = "half-closed", platformtest.APIKey
	_, err = io.WriteString(conn, request.Text("HTTP/1.1"))
	Expect(err).NotTo(HaveOccurred())
	return &halfClosingCaller{conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

var _ = Describe("A caller that closes its side of the connection only", func() {
	startFleet := func(behaviour platformtest.Behaviour) *hostedFleet {
		GinkgoHelper()
		f := startHostedFleet(1)
		config := versionedEngine("i-slow", "v1")
		config.EventInterval = 300 * time.Millisecond
		f.StartUpstream(config).SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return behaviour })
		f.DeregisterUpstream("i-a")
		f.DeregisterUpstream("i-b")
		time.Sleep(time.Second)
		return f
	}

	// Guards against a stream that is given up and looks complete to its caller.
	It("does not get a part of a stream as a complete one", func() {
		f := startFleet(platformtest.Serve)
		caller := startStream(f.Instances[0].Settings.Listen.Callers)
		response, err := http.ReadResponse(caller.reader, nil)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		_, err = io.ReadFull(response.Body, make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(caller.conn.CloseWrite()).To(Succeed())
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	// Guards against an empty success for a request that is given up.
	It("does not get a success that no upstream sent", func() {
		f := startFleet(platformtest.Hang)
		caller := startStream(f.Instances[0].Settings.Listen.Callers)
		Eventually(func() []platformtest.Execution { return f.Executions(platformtest.ModelService) }).Should(HaveLen(1))
		Expect(caller.conn.CloseWrite()).To(Succeed())
		received, err := io.ReadAll(caller.reader)
		Expect(err).NotTo(HaveOccurred())
		Expect(received).To(BeEmpty())
	})
})
