package acceptor_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/transport/acceptor"
)

// keptServer is an HTTP server whose connections a keeper bounds. It reads the body of each
// request, and serves those to /wait until the spec ends.
type keptServer struct {
	address string
	keeper  *acceptor.Keeper
	causes  chan acceptor.Cause
	// The counters are of bodies that the server began to read, of requests to /wait, and of
	// connections that became idle.
	reading, waiting, idle atomic.Int64
}

func startKeptServer(maxConnections int) *keptServer {
	GinkgoHelper()
	s := &keptServer{causes: make(chan acceptor.Cause, 100)}
	s.keeper = acceptor.NewKeeper(acceptor.KeeperConfig{MaxConnections: maxConnections, OnClose: func(cause acceptor.Cause) { s.causes <- cause }})
	ended := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.keeper.BodyProgressed(r.Context())
		s.reading.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		s.keeper.BodyEnded(r.Context())
		if r.URL.Path == "/wait" {
			s.waiting.Add(1)
			<-ended
		}
		_, _ = io.WriteString(w, "ok")
	})}
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			s.idle.Add(1)
		}
	}
	s.keeper.Observe(server)
	listener, err := acceptor.Listen(context.Background(), "127.0.0.1:0", net.KeepAliveConfig{})
	Expect(err).NotTo(HaveOccurred())
	s.address = listener.Addr().String()
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(func() {
		close(ended)
		_ = server.Close()
	})
	return s
}

// open opens a connection and sends a text.
func (s *keptServer) open(text string) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

func (s *keptServer) isAnswered(conn net.Conn) bool {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && string(body) == "ok"
}

var _ = Describe("A keeper of connections", func() {
	const (
		halfHead = "GET / HTTP/1.1\r\n"
		halfBody = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx"
		whole    = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		waiting  = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
	)

	// Guards against callers that stay open without a request and keep others out.
	DescribeTable("closes one that serves no request for a new one", func(text string, cause acceptor.Cause) {
		s := startKeptServer(4)
		for range 4 {
			conn := s.open(text)
			if text == whole {
				Expect(s.isAnswered(conn)).To(BeTrue())
			}
		}
		Eventually(s.keeper.Len).Should(Equal(4))
		switch text {
		case halfBody:
			Eventually(s.reading.Load).Should(BeEquivalentTo(4))
		case whole:
			Eventually(s.idle.Load).Should(BeEquivalentTo(4))
		}
		for range 10 {
			before := s.idle.Load()
			Expect(s.isAnswered(s.open(whole))).To(BeTrue())
			Eventually(s.idle.Load).Should(Equal(before + 1))
		}
		Expect(s.keeper.Len()).To(BeNumerically("<=", 4))
		Expect(s.causes).To(Receive(Equal(cause)))
	},
		Entry("without a complete head", halfHead, acceptor.NoRequest),
		Entry("with a slow body", halfBody, acceptor.SlowBody),
		Entry("without a request", whole, acceptor.Idle),
	)

	// Guards against requests in progress that new connections end.
	It("closes the new one while requests are served on all others", func() {
		s := startKeptServer(4)
		for range 4 {
			s.open(waiting)
		}
		Eventually(s.waiting.Load).Should(BeEquivalentTo(4))
		Expect(s.isAnswered(s.open(whole))).To(BeFalse())
		Expect(s.causes).To(Receive(Equal(acceptor.Full)))
		Expect(s.keeper.Len()).To(Equal(4))
	})

	// Guards against connections that count although they were closed.
	It("forgets connections that were closed", func() {
		s := startKeptServer(4)
		for range 20 {
			Expect(s.open(strings.Repeat("\r\n", 3) + "GET").Close()).To(Succeed())
		}
		Eventually(s.keeper.Len).Should(BeZero())
	})
})
