package requester_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/transport/requester"
)

// server answers the requests of each connection.
type server struct {
	address string
	// requests counts the requests that it has received.
	requests atomic.Int64
}

// startServer starts a server that answers a request for /first with a whole response, and every
// other request with a text that it sends in segments and that ends the connection.
func startServer(text string, segmentBytes int) *server {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	s := &server{address: listener.Addr().String()}
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go s.serve(conn, text, segmentBytes)
		}
	}()
	return s
}

func (s *server) serve(conn net.Conn, text string, segmentBytes int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if request.URL.Path == "/first" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			continue
		}
		for rest := text; rest != ""; rest = rest[min(segmentBytes, len(rest)):] {
			_, _ = io.WriteString(conn, rest[:min(segmentBytes, len(rest))])
			if segmentBytes < len(text) {
				time.Sleep(100 * time.Microsecond)
			}
		}
		return
	}
}

func (s *server) get(client *http.Client, path string) (string, error) {
	response, err := client.Get("http://" + s.address + path)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func newClient() *http.Client {
	client := &http.Client{
		Transport: requester.New(&http.Transport{DialContext: (&net.Dialer{}).DialContext}),
		Timeout:   5 * time.Second,
	}
	DeferCleanup(client.CloseIdleConnections)
	return client
}

// afterwards is the rest of a response after a broken line.
const afterwards = "Content-Length: 4\r\n\r\nbody"

// allSegments calls a function for a server that sends a response at once, and for one that sends it
// byte by byte.
func allSegments(text string, check func(s *server)) {
	for _, segmentBytes := range []int{len(text), 1} {
		check(startServer(text, segmentBytes))
	}
}

var _ = Describe("Transport", func() {
	DescribeTable("returns no response whose head is broken", func(text string) {
		allSegments(text, func(s *server) {
			for _, isReused := range []bool{false, true} {
				client, before := newClient(), s.requests.Load()
				if isReused {
					before++
					Expect(s.get(client, "/first")).To(Equal("ok"))
				}
				_, err := s.get(client, "/")
				var headErr *requester.HeadError
				Expect(errors.As(err, &headErr)).To(BeTrue(), "%v", err)
				Expect(s.requests.Load()-before).To(BeEquivalentTo(1), "the request is sent once")
			}
		})
	},
		Entry("without a status", "HTTP/1.1 \r\n"+afterwards),
		Entry("with a line feed only", "\n"+afterwards),
		Entry("with status 000", "HTTP/1.1 000 OK\r\n"+afterwards),
		Entry("with status 000 and no text", "HTTP/1.1 000\r\n"+afterwards),
		Entry("with status 099", "HTTP/1.1 099 X\r\n"+afterwards),
		Entry("with status 600", "HTTP/1.1 600 X\r\n"+afterwards),
		Entry("with status 999", "HTTP/1.1 999 X\r\n"+afterwards),
		Entry("with a sign", "HTTP/1.1 +20 OK\r\n"+afterwards),
		Entry("with four digits", "HTTP/1.1 2000 OK\r\n"+afterwards),
		Entry("with a status after many spaces", "HTTP/1.1"+strings.Repeat(" ", 100)+"200 OK\r\n"+afterwards),
		Entry("with a change of the protocol", "HTTP/1.1 101 Switching Protocols\r\n"+afterwards),
		Entry("with a blank in a name", "HTTP/1.1 200 OK\r\nX Bad: 1\r\n"+afterwards),
		Entry("with a blank after a name", "HTTP/1.1 200 OK\r\nX-Bad : 1\r\n"+afterwards),
		Entry("with a blank after the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nbody"),
		Entry("with a blank before a name", "HTTP/1.1 200 OK\r\nName: value\r\n X-Bad: 1\r\n"+afterwards),
		Entry("with a tab before a name", "HTTP/1.1 200 OK\r\nName: value\r\n\tX-Bad: 1\r\n"+afterwards),
		Entry("with a blank before the first name", "HTTP/1.1 200 OK\r\n X-Bad: 1\r\n"+afterwards),
		Entry("with a line of blanks", "HTTP/1.1 200 OK\r\nName: value\r\n  \r\n"+afterwards),
		Entry("with a tab in a name", "HTTP/1.1 200 OK\r\nX\tBad: 1\r\n"+afterwards),
		Entry("with a control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\n"+afterwards),
		Entry("with a control byte before a name", "HTTP/1.1 200 OK\r\n\x00X-Bad: 1\r\n"+afterwards),
		Entry("with DEL in a name", "HTTP/1.1 200 OK\r\nX\x7fBad: 1\r\n"+afterwards),
		Entry("with a carriage return in a name", "HTTP/1.1 200 OK\r\nX\rBad: 1\r\n"+afterwards),
		Entry("with a carriage return before a name", "HTTP/1.1 200 OK\r\n\rX-Bad: 1\r\n"+afterwards),
		Entry("with a byte above ASCII in a name", "HTTP/1.1 200 OK\r\nX\xe9Bad: 1\r\n"+afterwards),
		Entry("with a name that is empty", "HTTP/1.1 200 OK\r\n: 1\r\n"+afterwards),
		Entry("with a line without a colon", "HTTP/1.1 200 OK\r\nName\r\n"+afterwards),
		Entry("with a blank in a name of an interim response", "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK\r\n"+afterwards),
		Entry("with status 000 after an interim response", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 000 OK\r\n"+afterwards),
	)

	DescribeTable("returns sound responses", func(text string) {
		allSegments(text, func(s *server) {
			client := newClient()
			Expect(s.get(client, "/first")).To(Equal("ok"))
			Expect(s.get(client, "/")).To(Equal("body"))
		})
	},
		Entry("with a length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
		Entry("without a length", "HTTP/1.1 200 OK\r\n\r\nbody"),
		Entry("without a text", "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("with line feeds only", "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody"),
		Entry("of HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("with a name of all kinds of bytes", "HTTP/1.1 200 OK\r\naZ09!#$%&'*+-.^_`|~: 1\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("with blanks and colons in a value", "HTTP/1.1 200 OK\r\nName: \t a : b \t\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("with a body that looks like a broken head", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody\r\n\r\nX Bad: 1\r\n"),
		Entry("with an empty value", "HTTP/1.1 200 OK\r\nName:\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("after interim responses", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 3)+"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"),
	)
})
