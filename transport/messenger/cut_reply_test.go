package messenger_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/controller"
	"github.com/crocushollow/crocushollow/transport/messenger"
)

func TestMessenger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "messenger")
}

// prober replies to probes.
type prober struct {
	messenger.Handler

	reply controller.ProbeReply
}

// HandleProbe implements messenger.Handler.
func (p *prober) HandleProbe(context.Context, controller.ProbeRequest) (controller.ProbeReply, bool, error) {
	return p.reply, true, nil
}

func listen() net.Listener {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	return listener
}

// startPeer starts a peer that replies to probes, and returns its address.
func startPeer(reply controller.ProbeReply) string {
	GinkgoHelper()
	server, err := messenger.NewServer(&prober{reply: reply})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	listener := listen()
	go func() {
		defer GinkgoRecover()
		Expect(server.Serve(ctx, listener)).To(Succeed())
	}()
	DeferCleanup(func() {
		cancel()
		<-server.Done()
	})
	return listener.Addr().String()
}

// cutReplies passes connections on to a peer, and ends each after a number of bytes of the peer. It
// returns its address.
func cutReplies(peer string, length int64, isReset bool) string {
	GinkgoHelper()
	listener := listen()
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go func() {
				defer func() { _ = conn.Close() }()
				server, err := net.Dial("tcp", peer)
				if err != nil {
					return
				}
				defer func() { _ = server.Close() }()
				go func() { _, _ = io.Copy(server, conn) }()
				_, _ = io.CopyN(conn, server, length)
				if isReset {
					// The bytes before a reset are received if the peer reads them in time.
					time.Sleep(time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

var _ = Describe("A reply of a peer", func() {
	It("is an error unless it is whole, wherever its connection ends", func() {
		reply := controller.ProbeReply{Offset: 1 << 40, LogAge: time.Hour, Draining: true}
		peer := startPeer(reply)
		id := crocushollow.MemberID{Instance: "a", Incarnation: 1}
		failures := 0
		for length := range int64(200) {
			for _, isReset := range []bool{false, true} {
				client := messenger.NewClient(netip.Addr{})
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				to := crocushollow.Member{PeerAddress: cutReplies(peer, length, isReset)}
				received, err := client.Probe(ctx, to, controller.ProbeRequest{From: id, To: id})
				if err == nil {
					Expect(received).To(Equal(reply), "after %d bytes", length)
				} else {
					failures++
				}
				cancel()
				client.Close()
			}
		}
		Expect(failures).To(And(BeNumerically(">", 20), BeNumerically("<", 390)), "connections end within and after replies")
	})
})
