package requester_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/transport/requester"
)

func TestRequester(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "requester")
}

// connect returns both ends of a connection.
func connect() (*requester.Conn, *net.TCPConn) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = near.Close() })
	far, err := listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = far.Close() })
	return &requester.Conn{Conn: near}, far.(*net.TCPConn)
}

// writeUntilError writes until a write fails, and returns its error.
func writeUntilError(conn net.Conn) error {
	block := make([]byte, 64<<10)
	for {
		if _, err := conn.Write(block); err != nil {
			return err
		}
	}
}

// reset resets a connection.
func reset(conn *net.TCPConn) {
	GinkgoHelper()
	Expect(conn.SetLinger(0)).To(Succeed())
	Expect(conn.Close()).To(Succeed())
}

var _ = Describe("Conn", func() {
	// Guards against a part of a response that looks whole because a write has received the only
	// report of the reset.
	It("does not end like a closed connection if a write has found it reset", func() {
		near, far := connect()
		_, err := io.WriteString(far, "part")
		Expect(err).NotTo(HaveOccurred())
		reset(far)
		Expect(writeUntilError(near)).To(MatchError(syscall.ECONNRESET))
		content, err := io.ReadAll(near)
		Expect(string(content)).To(Equal("part"))
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	// Guards against the moment between the report of the reset to a write and its return.
	It("does not end like a closed connection while a write returns", func() {
		far := &lostConn{reported: make(chan struct{})}
		near := &requester.Conn{Conn: far}
		done := make(chan error, 1)
		go func() {
			_, err := near.Write([]byte("x"))
			done <- err
		}()
		<-far.reported
		_, err := near.Read(make([]byte, 1))
		Expect(err).To(MatchError(syscall.ETIMEDOUT))
		Expect(<-done).To(MatchError(syscall.ETIMEDOUT))
	})

	It("ends if the peer has closed its side before it resets the connection", func() {
		near, far := connect()
		_, err := io.WriteString(far, "whole")
		Expect(err).NotTo(HaveOccurred())
		Expect(far.CloseWrite()).To(Succeed())
		reset(far)
		Expect(writeUntilError(near)).To(MatchError(syscall.EPIPE))
		content, err := io.ReadAll(near)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).To(Equal("whole"))
	})

	It("ends while a write waits for a peer that has closed its side and does not read", func() {
		near, far := connect()
		done := make(chan error, 1)
		go func() { done <- writeUntilError(near) }()
		Consistently(done, "100ms").ShouldNot(Receive())
		_, err := io.WriteString(far, "whole")
		Expect(err).NotTo(HaveOccurred())
		Expect(far.CloseWrite()).To(Succeed())
		content, err := io.ReadAll(near)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).To(Equal("whole"))
		Eventually(done).Should(Receive(HaveOccurred()))
	})
})

// lostConn is a connection whose loss the kernel reports to a write, which returns later than
// the read after it begins.
type lostConn struct {
	net.Conn

	reported chan struct{}
}

func (c *lostConn) Write([]byte) (int, error) {
	close(c.reported)
	time.Sleep(20 * time.Millisecond)
	return 0, syscall.ETIMEDOUT
}

func (*lostConn) Read([]byte) (int, error) { return 0, io.EOF }

func (*lostConn) SetWriteDeadline(time.Time) error { return nil }
