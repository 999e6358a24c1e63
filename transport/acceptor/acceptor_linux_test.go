package acceptor_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/crocushollow/crocushollow/transport/acceptor"
)

func TestAcceptor(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "acceptor")
}

var _ = Describe("Drain", func() {
	// answer accepts connections slowly and answers each, until the listener is closed.
	answer := func(listener net.Listener) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			time.Sleep(100 * time.Microsecond)
			go func() {
				defer conn.Close()
				request := make([]byte, 1)
				if _, err := io.ReadFull(conn, request); err == nil {
					_, _ = conn.Write(request)
				}
			}()
		}
	}

	// exchange opens a connection. It returns whether that was established, and the error.
	exchange := func(address string) (isConnected bool, err error) {
		conn, err := net.DialTimeout("tcp", address, 3*time.Second)
		if err != nil {
			return false, err
		}
		defer conn.Close()
		if _, err := conn.Write([]byte{1}); err != nil {
			return true, err
		}
		_, err = io.ReadFull(conn, make([]byte, 1))
		return true, err
	}

	// listen opens a listener.
	listen := func(ctx context.Context, address string) net.Listener {
		listener, err := acceptor.Listen(ctx, address, net.KeepAliveConfig{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		return listener
	}

	// drainUnprivileged drains a listener on a thread without capabilities.
	drainUnprivileged := func(ctx context.Context, listener net.Listener) error {
		result := make(chan error, 1)
		go func() {
			// The thread ends with the goroutine, since that does not unlock it.
			runtime.LockOSThread()
			header := unix.CapUserHeader{Version: unix.LINUX_CAPABILITY_VERSION_3}
			var none [2]unix.CapUserData
			err := unix.Capset(&header, &none[0])
			if err == nil {
				err = acceptor.Drain(ctx, listener)
			}
			result <- err
		}()
		return <-result
	}

	// synRetransmitTime is the time after which the kernel repeats a SYN without an answer.
	const synRetransmitTime = time.Second

	// Guards against a closing listener that resets connections which wait to be accepted, also
	// those of a process without privileges, and against callers that connect meanwhile and wait
	// until their SYN is repeated.
	DescribeTable("lets every established connection be accepted, and refuses others at once", func(ctx SpecContext,
		drain func(ctx context.Context, listener net.Listener) error, address, host string,
	) {
		for range 5 {
			listener := listen(ctx, address)
			go answer(listener)
			_, port, err := net.SplitHostPort(listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			const callerCount = 32
			var answered, lost atomic.Int64
			refusals := make(chan refusal, callerCount)
			for range callerCount {
				go func() {
					for {
						sentAt := time.Now()
						isConnected, err := exchange(net.JoinHostPort(host, port))
						switch {
						case err == nil:
							answered.Add(1)
						case errors.Is(err, syscall.ECONNREFUSED):
							refusals <- refusal{sentAt: sentAt, refusedAt: time.Now()}
							return
						case isConnected || errors.Is(err, syscall.ECONNRESET):
							lost.Add(1)
						}
					}
				}()
			}
			time.Sleep(100 * time.Millisecond)
			startedAt := time.Now()
			Expect(drain(ctx, listener)).To(Succeed())
			Expect(time.Since(startedAt)).To(BeNumerically("<", time.Second))
			Expect(listener.Close()).To(Succeed())
			first := <-refusals
			Expect(first.refusedAt.Sub(startedAt)).To(BeNumerically("<", synRetransmitTime))
			for range callerCount - 1 {
				// The kernel drops a SYN which it handles at the moment of the binding, so callers
				// that connect before the first is refused may wait until theirs is repeated.
				if next := <-refusals; next.sentAt.After(first.refusedAt) {
					Expect(next.refusedAt.Sub(next.sentAt)).To(BeNumerically("<", synRetransmitTime))
				}
			}
			Expect(answered.Load()).To(BeNumerically(">", callerCount))
			Expect(lost.Load()).To(BeZero())
		}
	},
		Entry("IPv4", SpecTimeout(time.Minute), acceptor.Drain, "127.0.0.1:0", "127.0.0.1"),
		Entry("IPv6", SpecTimeout(time.Minute), acceptor.Drain, "[::1]:0", "::1"),
		Entry("IPv4 at a listener for both", SpecTimeout(time.Minute), acceptor.Drain, ":0", "127.0.0.1"),
		Entry("IPv4, without privileges", SpecTimeout(time.Minute), drainUnprivileged, "127.0.0.1:0", "127.0.0.1"),
		Entry("IPv6, without privileges", SpecTimeout(time.Minute), drainUnprivileged, "[::1]:0", "::1"),
	)

	const maxTTL = 255

	// Guards against a drain that also ends handshakes which began before it.
	DescribeTable("lets a handshake that is under way complete", func(ctx SpecContext, network, address string) {
		listener := listen(ctx, address)
		go answer(listener)
		// The caller ignores the response to its SYN, whose time to live is lower.
		sockets := make(chan syscall.RawConn, 1)
		dialer := net.Dialer{Control: func(_, _ string, conn syscall.RawConn) error {
			sockets <- conn
			return setMinTTL(conn, network, maxTTL)
		}}
		answered := make(chan error, 1)
		go func() {
			conn, err := dialer.DialContext(ctx, network, listener.Addr().String())
			if err == nil {
				defer conn.Close()
				_, err = conn.Write([]byte{1})
			}
			if err == nil {
				_, err = io.ReadFull(conn, make([]byte, 1))
			}
			answered <- err
		}()
		Eventually(func() int { return countHandshakes(listener) }).Should(Equal(1))
		Expect(acceptor.Drain(ctx, listener)).To(Succeed())
		Expect(answered).NotTo(Receive())
		Expect(setMinTTL(<-sockets, network, 0)).To(Succeed())
		Eventually(ctx, answered).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	},
		Entry("IPv4", SpecTimeout(time.Minute), "tcp4", "127.0.0.1:0"),
		Entry("IPv6", SpecTimeout(time.Minute), "tcp6", "[::1]:0"),
	)

	It("says what failed for a listener that is closed", func() {
		listener := listen(context.Background(), "127.0.0.1:0")
		Expect(listener.Close()).To(Succeed())
		err := acceptor.Drain(context.Background(), listener)
		Expect(err).To(MatchError(net.ErrClosed))
		Expect(err).To(MatchError(ContainSubstring("refuse connections")))
	})

	It("returns an error for a listener that is not a socket", func() {
		Expect(acceptor.Drain(context.Background(), struct{ net.Listener }{})).To(MatchError(errors.ErrUnsupported))
	})
})

// refusal says when a caller began to connect, and when the kernel refused that.
type refusal struct{ sentAt, refusedAt time.Time }

// setMinTTL sets the time to live below which a socket ignores segments.
func setMinTTL(conn syscall.RawConn, network string, ttl int) error {
	level, option := unix.IPPROTO_IP, unix.IP_MINTTL
	if network == "tcp6" {
		level, option = unix.IPPROTO_IPV6, unix.IPV6_MINHOPCOUNT
	}
	var optionErr error
	err := conn.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), level, option, ttl) })
	return errors.Join(err, optionErr)
}

// countHandshakes returns the number of handshakes that are under way at a listener.
func countHandshakes(listener net.Listener) (count int) {
	const synReceived = "03"
	port := listener.Addr().(*net.TCPAddr).Port
	for _, path := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		table, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		for line := range strings.Lines(string(table)) {
			fields := strings.Fields(line)
			if strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", port)) && fields[3] == synReceived {
				count++
			}
		}
	}
	return count
}
