package acceptor_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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

	// Guards against a closing listener that resets connections which wait to be accepted.
	It("lets every established connection be accepted", func(ctx SpecContext) {
		for range 5 {
			listener, err := acceptor.Listen(ctx, "127.0.0.1:0", net.KeepAliveConfig{})
			Expect(err).NotTo(HaveOccurred())
			go answer(listener)
			var answered, lost atomic.Int64
			var callers sync.WaitGroup
			for range 32 {
				callers.Go(func() {
					for {
						isConnected, err := exchange(listener.Addr().String())
						switch {
						case err == nil:
							answered.Add(1)
						case errors.Is(err, syscall.ECONNREFUSED):
							return
						case isConnected || errors.Is(err, syscall.ECONNRESET):
							lost.Add(1)
						}
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			startedAt := time.Now()
			Expect(acceptor.Drain(ctx, listener)).To(Succeed())
			Expect(time.Since(startedAt)).To(BeNumerically("<", time.Second))
			Expect(listener.Close()).To(Succeed())
			callers.Wait()
			Expect(answered.Load()).To(BeNumerically(">", 32))
			Expect(lost.Load()).To(BeZero())
		}
	}, SpecTimeout(time.Minute))

	It("returns an error for a listener that is not a socket", func() {
		Expect(acceptor.Drain(context.Background(), struct{ net.Listener }{})).To(MatchError(errors.ErrUnsupported))
	})
})
