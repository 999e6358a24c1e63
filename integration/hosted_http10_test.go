package integration_test

import (
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

var _ = Describe("A caller that speaks HTTP/1.0", func() {
	// Guards against a stream that was broken off and looks complete where no chunks tell.
	It("does not get a part of a stream as a complete one", func() {
		f := startHostedFleet(1)
		f.replaceEngines(2, false, func(platformtest.Execution) platformtest.Behaviour { return platformtest.ResetMidStream })
		conn, err := net.Dial("tcp", f.Instances[0].Settings.Listen.Callers)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		request := notesRequest()
		request.ID, request.APIKey = "old", platformtest.APIKey
		_, err = io.WriteString(conn, request.Text("HTTP/1.0"))
		Expect(err).NotTo(HaveOccurred())
		received, err := io.ReadAll(conn)
		Expect(string(received)).To(ContainSubstring("id: 1\n"))
		Expect(err).To(HaveOccurred())
	})
})
