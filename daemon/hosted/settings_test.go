package hosted_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/daemon"
	"github.com/crocushollow/crocushollow/daemon/hosted"
)

func TestHosted(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hosted")
}

// renderTemplate renders the settings template with the values that the platform
// provides.
func renderTemplate() string {
	GinkgoHelper()
	text, err := os.ReadFile("../../deploy/instance.toml.tmpl")
	Expect(err).NotTo(HaveOccurred())
	return strings.NewReplacer(
		"{{node|json}}", `"front-akl-1"`, "{{zone|json}}", `"akl"`, "{{bootstrap|json}}", "true",
		"{{listen.front}}", "10.1.0.25:8221", "{{listen.ready}}", "10.1.0.25:8224", "{{listen.directory}}", "10.1.0.25:8220",
		"{{ip}}", "10.1.0.25", "{{innerPorts.0}}", "7600", "{{innerPorts.1}}", "7601",
		"{{platform.address|json}}", `"10.200.1.7:8225"`, "{{platform.minTtlMs}}", "1000", "{{limits.memoryMb}}", "284", "{{limits.cpuShare}}", "0.4",
		"{{bounds.graceS}}", "8", "{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.retryBudgetExtra}}", "56",
		"{{bounds.budgetWindowS}}", "10", "{{bounds.quotaWindowS}}", "8", "{{bounds.quotaSlack}}", "17000",
		"{{bounds.coldOvershoot}}", "1.5", "{{bounds.coldSlack}}", "5", "{{bounds.leaseMs}}", "3000",
	).Replace(string(text))
}

var _ = Describe("Settings", func() {
	It("are parsed from the rendered template", func() {
		Expect(renderTemplate()).NotTo(ContainSubstring("{{"))
		settings, err := hosted.ParseSettings("instance.toml", []byte(renderTemplate()))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Listen.Peers).To(Equal("10.1.0.25:7600"))
		Expect(settings.Bounds.RetryExtra).To(Equal(56.0))
	})

	It("may have unknown fields", func() {
		_, err := hosted.ParseSettings("instance.toml", []byte(renderTemplate()+"\n[later]\nfield = 1\n"))
		Expect(err).NotTo(HaveOccurred())
	})

	It("are rejected with the name of the invalid or missing field", func() {
		for field, text := range map[string]string{
			"instance.id":    strings.Replace(renderTemplate(), `id = "front-akl-1"`, "", 1),
			"listen.callers": strings.Replace(renderTemplate(), "10.1.0.25:8221", "somewhere", 1),
			"bounds.grace":   strings.Replace(renderTemplate(), `grace = "8s"`, `grace = "0s"`, 1),
		} {
			_, err := hosted.ParseSettings("instance.toml", []byte(text))
			var invalid *daemon.SettingsError
			Expect(errors.As(err, &invalid)).To(BeTrue(), field)
			Expect(invalid.Field).To(Equal(field))
		}
	})
})
