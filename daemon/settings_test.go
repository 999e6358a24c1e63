package daemon_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/daemon"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon")
}

const settings = `[instance]
id = "akl-1"
availability_zone = "akl"

[listen]
callers = "127.0.0.1:8001"
peers = "127.0.0.1:9001"
operators = "127.0.0.1:7001"

[platform]
log = "127.0.0.1:6001"
instances = "127.0.0.1:6002"
`

var _ = Describe("ParseSettings", func() {
	It("accepts a file with only the required fields", func() {
		parsed, err := daemon.ParseSettings("f.toml", []byte(settings))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Policy.Limits).To(Equal("escrow"))
	})

	DescribeTable("reports the file, the line and the field of an error", func(old, replacement, message string) {
		_, err := daemon.ParseSettings("f.toml", []byte(strings.Replace(settings, old, replacement, 1)))
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
		Entry("unknown field", `id = "akl-1"`, "id = \"akl-1\"\ncolour = 1", "f.toml:3: instance.colour: no such field"),
		Entry("invalid address", `"127.0.0.1:9001"`, `"localhost:9001"`, "f.toml:7: listen.peers: \"localhost:9001\" is not an IP address and a port"),
		Entry("missing zone", `availability_zone = "akl"`, "", "f.toml:1: instance.availability_zone: is missing"),
		Entry("wrong type", `"akl-1"`, "7", "f.toml:2"),
		Entry("invalid choice", "[platform]", "[policy]\nrouting = \"magic\"\n[platform]", "f.toml:11: policy.routing: \"magic\" is not one of"),
		Entry("invalid duration", "[platform]", "[timing]\nlease = \"soon\"\n[platform]", "f.toml:11"),
	)
})
