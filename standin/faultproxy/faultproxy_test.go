package faultproxy_test

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/standin/faultproxy"
)

func TestFaultproxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faultproxy")
}

var _ = Describe("Proxy", func() {
	// Guards against a connection that loses bytes in its middle and goes on after them,
	// which no TCP connection does.
	DescribeTable("delivers nothing after bytes that it has dropped", func(fault faultproxy.Fault) {
		target, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(target.Close)
		proxy, err := faultproxy.Start("127.0.0.1:0", target.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		client, err := net.Dial("tcp", proxy.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		server, err := target.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		reader := bufio.NewReader(client)
		send := func(line string) {
			_, err := io.WriteString(server, line)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(50 * time.Millisecond)
		}
		send("first\n")
		Expect(reader.ReadString('\n')).To(Equal("first\n"))
		proxy.SetDefaultFault(fault)
		send("lost\n")
		proxy.SetDefaultFault(faultproxy.Forward)
		send("after\n")
		Expect(client.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		_, err = reader.ReadString('\n')
		Expect(err).To(MatchError(ContainSubstring("i/o timeout")))
	},
		Entry("in both directions", faultproxy.Blackhole),
		Entry("in one direction", faultproxy.DropResponses),
	)

	// Guards against a response that its upstream breaks off and that looks complete behind
	// the proxy.
	It("passes a reset on as a reset", func() {
		target, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(target.Close)
		proxy, err := faultproxy.Start("127.0.0.1:0", target.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		client, err := net.Dial("tcp", proxy.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		server, err := target.Accept()
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(server, "first")
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(client, make([]byte, len("first")))
		Expect(err).NotTo(HaveOccurred())
		Expect(server.(*net.TCPConn).SetLinger(0)).To(Succeed())
		Expect(server.Close()).To(Succeed())
		_, err = client.Read(make([]byte, 1))
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})
})
