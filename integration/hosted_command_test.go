package integration_test

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// hostedSettings returns the settings of an instance on a site, and its addresses for
// readiness probes and for callers.
func hostedSettings(site *platformtest.Platform) (text, readiness, callers string) {
	GinkgoHelper()
	settings := platformtest.InstanceSettings{
		ID: "node-1", AvailabilityZone: "za", IsFirstStart: true, Store: site.Store.Address(),
		Callers: platformtest.FreeAddress(), Readiness: platformtest.FreeAddress(),
		Discovery: platformtest.FreeAddress(), Peers: platformtest.FreeAddress(),
	}
	return settings.String(), settings.Readiness, settings.Callers
}

// startHostedDaemon starts an instance as a process, and returns its settings file.
func startHostedDaemon(text string) (*gexec.Session, string) {
	GinkgoHelper()
	file := filepath.Join(GinkgoT().TempDir(), "instance.toml")
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return startHostedDaemonWith(file), file
}

// startHostedDaemonWith starts an instance with a settings file as a process.
func startHostedDaemonWith(file string) *gexec.Session {
	GinkgoHelper()
	command := exec.Command(daemonBinary, "hosted")
	command.Env = append(os.Environ(), "CROCUSHOLLOW_CONFIG="+file)
	session, err := gexec.Start(command, GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { session.Kill().Wait("5s") })
	return session
}

// isInstanceReady returns a function that probes the readiness of an instance.
func isInstanceReady(address string) func() bool {
	return func() bool {
		response, err := http.Get("http://" + address + "/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
}

var _ = Describe("crocushollowd hosted", func() {
	It("reports invalid settings and exits with status 2", func() {
		session, _ := startHostedDaemon("[instance]\n")
		Eventually(session, "5s").Should(gexec.Exit(2))
		Expect(session.Err).To(gbytes.Say("instance.id"))
	})

	// Guards against an instance that exits or uses invalid settings after an
	// operator saves a faulty file.
	It("reloads its settings on SIGHUP and keeps running if they are invalid", func() {
		site := platformtest.NewPlatform()
		DeferCleanup(site.Close)
		text, readiness, _ := hostedSettings(site)
		session, file := startHostedDaemon(text)
		Eventually(isInstanceReady(readiness), "5s").Should(BeTrue())
		Expect(os.WriteFile(file, []byte(strings.Replace(text, `grace = "8s"`, `grace = "5s"`, 1)), 0o600)).To(Succeed())
		session.Signal(syscall.SIGHUP)
		Eventually(session.Out, "3s").Should(gbytes.Say(`"needs_start":false.*settings reloaded`))
		Expect(os.WriteFile(file, []byte("[instance]\n"), 0o600)).To(Succeed())
		session.Signal(syscall.SIGHUP)
		Eventually(session.Out, "3s").Should(gbytes.Say("settings refused"))
		Consistently(isInstanceReady(readiness), "500ms").Should(BeTrue())
		session.Signal(syscall.SIGTERM)
		Eventually(session, "8s").Should(gexec.Exit(0))
	})

	// Guards against a process that ends because a signal comes while it starts.
	It("keeps running if SIGHUP comes before its settings are read", func() {
		site := platformtest.NewPlatform()
		DeferCleanup(site.Close)
		text, readiness, _ := hostedSettings(site)
		file := filepath.Join(GinkgoT().TempDir(), "instance.toml")
		// The process waits for the text of a pipe. Later it reads the file in its place.
		Expect(syscall.Mkfifo(file, 0o600)).To(Succeed())
		session := startHostedDaemonWith(file)
		pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
		Expect(err).NotTo(HaveOccurred())
		defer pipe.Close()
		session.Signal(syscall.SIGHUP)
		Expect(os.WriteFile(file+".new", []byte(text), 0o600)).To(Succeed())
		Expect(os.Rename(file+".new", file)).To(Succeed())
		Consistently(session, "100ms").ShouldNot(gexec.Exit())
		Expect(pipe.WriteString(text)).To(Equal(len(text)))
		Expect(pipe.Close()).To(Succeed())
		Eventually(isInstanceReady(readiness), "5s").Should(BeTrue())
	})

	// Guards against streams that break off because the platform repeats SIGTERM within the
	// grace period, as overlapping rolling restarts do.
	It("completes its streams when SIGTERM is repeated, with SIGHUP in between", func() {
		site := platformtest.NewPlatform()
		DeferCleanup(site.Close)
		text, readiness, callers := hostedSettings(site)
		session, _ := startHostedDaemon(text)
		Eventually(isInstanceReady(readiness), "5s").Should(BeTrue())
		responses := make(chan platformtest.Response)
		go func() {
			defer GinkgoRecover()
			response, err := platformtest.Send(context.Background(), callers, platformtest.Request{
				Path: platformtest.LongPath + "1", Model: platformtest.Model, Body: "prompt", APIKey: platformtest.APIKey,
				Timeout: 12 * time.Second,
			})
			Expect(err).NotTo(HaveOccurred())
			responses <- response
		}()
		time.Sleep(500 * time.Millisecond)
		for range 3 {
			session.Signal(syscall.SIGTERM)
			time.Sleep(300 * time.Millisecond)
			session.Signal(syscall.SIGHUP)
		}
		response := <-responses
		Expect(response.Complete).To(BeTrue())
		Expect(response.EventIDs()).To(HaveLen(platformtest.LongStreamEvents))
		Eventually(session, "8s").Should(gexec.Exit(0))
	})
})
