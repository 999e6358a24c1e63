package integration_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"
)

func daemonCommand(file string) *exec.Cmd {
	return exec.Command(daemonBinary, "--config", file)
}

var _ = Describe("crocushollowd", func() {
	It("reports invalid settings and exits with status 2", func() {
		file := filepath.Join(GinkgoT().TempDir(), "bad.toml")
		Expect(os.WriteFile(file, []byte("[instance]\nid = \"a\"\ncolour = \"red\"\n"), 0o600)).To(Succeed())
		session, err := gexec.Start(daemonCommand(file), nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Eventually(session, "5s").Should(gexec.Exit(2))
		Expect(session.Err).To(gbytes.Say(`bad.toml:3: instance.colour: no such field`))
	})

	// Guards against a graceful shutdown that an operator can't cut short.
	It("stops immediately on a second signal", func() {
		f := startFleet(1)
		p := f.running()[0]
		p.session.Signal(syscall.SIGTERM)
		// The kernel merges identical pending signals.
		time.Sleep(200 * time.Millisecond)
		p.session.Signal(syscall.SIGTERM)
		Eventually(p.session, "2s").Should(gexec.Exit())
	})
})
