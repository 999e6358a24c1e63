package hosted_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/daemon"
	"github.com/crocushollow/crocushollow/daemon/hosted"
)

func TestHosted(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hosted")
}

// platformFields are the fields that the platform fills into the template.
func platformFields() map[string]any {
	return map[string]any{
		"node": "front-akl-1", "zone": "akl", "ip": "10.1.0.25", "bootstrap": true,
		"listen":     map[string]any{"front": "10.1.0.25:8221", "ready": "10.1.0.25:8224", "directory": "10.1.0.25:8220"},
		"innerPorts": map[string]any{"0": 7600, "1": 7601},
		"platform":   map[string]any{"address": "10.200.1.7:8225", "minTtlMs": 1000},
		"limits":     map[string]any{"memoryMb": 284, "cpuShare": 0.4},
		"bounds": map[string]any{
			"graceS": 8, "retryBudgetRatio": 0.2, "retryBudgetExtra": 56, "budgetWindowS": 10, "quotaWindowS": 8,
			"quotaSlack": 17000, "coldOvershoot": 1.5, "coldSlack": 5, "leaseMs": 3000, "reportWindowS": 5, "usageLateS": 10,
		},
		"cloud": map[string]any{"address": "10.200.0.28:8781", "duties": []any{"usage_report", "autoscale"}, "dutyPerS": 50.0},
	}
}

// lookUp returns the value at a path such as bounds.graceS.
func lookUp(fields map[string]any, path string) (any, bool) {
	name, rest, isNested := strings.Cut(path, ".")
	value, found := fields[name]
	if !found || !isNested {
		return value, found
	}
	inner, ok := value.(map[string]any)
	Expect(ok).To(BeTrue(), path)
	return lookUp(inner, rest)
}

var (
	sectionPattern     = regexp.MustCompile(`\{\{#([\w.]+)\}\}(.*)\{\{/([\w.]+)\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// renderSection renders a section as often as the list of its field has entries, or once if
// the field is present.
func renderSection(value any, text string) string {
	GinkgoHelper()
	entries, isList := value.([]any)
	if !isList {
		return text
	}
	var rendered []string
	for _, entry := range entries {
		encoded, err := json.Marshal(entry)
		Expect(err).NotTo(HaveOccurred())
		rendered = append(rendered, strings.ReplaceAll(text, "{{.|json}}", string(encoded)))
	}
	return strings.TrimSuffix(strings.ReplaceAll(strings.Join(rendered, ""), "{{,}}", ","), ",")
}

// render renders the settings template as the platform does: a section stays if its field is
// present, and a field that is absent leaves nothing.
func render(fields map[string]any) string {
	GinkgoHelper()
	text, err := os.ReadFile("../../deploy/instance.toml.tmpl")
	Expect(err).NotTo(HaveOccurred())
	withoutSections := sectionPattern.ReplaceAllStringFunc(string(text), func(section string) string {
		match := sectionPattern.FindStringSubmatch(section)
		Expect(match[1]).To(Equal(match[3]))
		value, found := lookUp(fields, match[1])
		if !found {
			return ""
		}
		return renderSection(value, match[2])
	})
	return placeholderPattern.ReplaceAllStringFunc(withoutSections, func(placeholder string) string {
		match := placeholderPattern.FindStringSubmatch(placeholder)
		value, found := lookUp(fields, match[1])
		if !found {
			return ""
		}
		if match[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		Expect(err).NotTo(HaveOccurred())
		return string(encoded)
	})
}

func renderTemplate() string {
	GinkgoHelper()
	return render(platformFields())
}

var _ = Describe("Settings", func() {
	It("are parsed from the rendered template", func() {
		Expect(renderTemplate()).NotTo(ContainSubstring("{{"))
		settings, err := hosted.ParseSettings("instance.toml", []byte(renderTemplate()))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Listen.Peers).To(Equal("10.1.0.25:7600"))
		Expect(settings.Bounds.RetryExtra).To(Equal(56.0))
		Expect(settings.Duties.Kinds).To(Equal([]string{"usage_report", "autoscale"}))
		Expect(time.Duration(*settings.Duties.UsageWindow)).To(Equal(5 * time.Second))
	})

	// Guards against instances that do not start where a rule, and so its bound, is not in force.
	It("are parsed for every deployment, whichever optional fields it lacks", func() {
		for _, section := range []string{"bounds", "limits", "cloud"} {
			whole := platformFields()
			delete(whole, section)
			settings, err := hosted.ParseSettings("instance.toml", []byte(render(whole)))
			Expect(err).NotTo(HaveOccurred(), section)
			Expect(settings.Bounds.Lease).To(BeNumerically(">", 0))
			for name := range platformFields()[section].(map[string]any) {
				fields := platformFields()
				delete(fields[section].(map[string]any), name)
				_, err := hosted.ParseSettings("instance.toml", []byte(render(fields)))
				Expect(err).NotTo(HaveOccurred(), "%s.%s", section, name)
			}
		}
	})

	It("limit requests to cold upstreams to their own rate where the operators set no bound", func() {
		fields := platformFields()
		delete(fields["bounds"].(map[string]any), "coldOvershoot")
		delete(fields["bounds"].(map[string]any), "coldSlack")
		settings, err := hosted.ParseSettings("instance.toml", []byte(render(fields)))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Bounds.ColdOvershoot).To(Equal(1.0))
		Expect(settings.Bounds.ColdSlack).To(BeZero())
	})

	It("allow no second attempts unless the operators set a limit", func() {
		settings, err := hosted.ParseSettings("instance.toml", []byte(renderTemplate()))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Hedging.MaxExtra).To(BeZero())
		settings, err = hosted.ParseSettings("instance.toml", []byte(renderTemplate()+"\n[hedging]\nmax_extra = 0.05\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Hedging).To(Equal(hosted.HedgingSettings{MaxExtra: 0.05, Percentile: 0.95}))
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

			"bounds.lease":        strings.Replace(renderTemplate(), `lease = "3000ms"`, `lease = "soon"`, 1),
			"bounds.quota_slack":  strings.Replace(renderTemplate(), "quota_slack = 17000", "quota_slack = -1", 1),
			"duties.address":      strings.Replace(renderTemplate(), "10.200.0.28:8781", "somewhere", 1),
			"duties.usage_window": strings.Replace(renderTemplate(), `usage_window = "5s"`, `usage_window = "0s"`, 1),

			"duties.calls_per_second": strings.Replace(renderTemplate(), "calls_per_second = 50", "calls_per_second = nan", 1),

			"hedging.max_extra":  renderTemplate() + "\n[hedging]\nmax_extra = -0.1\n",
			"hedging.percentile": renderTemplate() + "\n[hedging]\npercentile = 95\n",
			"limits.memory_mb":   strings.Replace(renderTemplate(), "memory_mb = 284", "memory_mb = true", 1),
		} {
			_, err := hosted.ParseSettings("instance.toml", []byte(text))
			var invalid *daemon.SettingsError
			Expect(errors.As(err, &invalid)).To(BeTrue(), field)
			Expect(invalid.Field).To(Equal(field))
		}
	})
})
