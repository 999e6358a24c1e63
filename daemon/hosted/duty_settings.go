package hosted

import (
	"net/netip"
	"time"

	"github.com/crocushollow/crocushollow/daemon"
)

// DutySettings names the duties of one instance at a time that the operators want.
type DutySettings struct {
	// Address is that of the platform's own interface, an IP address with a port.
	Address string `toml:"address"`
	// Kinds lists the duties. Unknown ones are ignored.
	Kinds []string `toml:"kinds"`
	// CallsPerSecond is the number of calls that the platform accepts from all instances.
	CallsPerSecond float64 `toml:"calls_per_second"`
	// UsageWindow is the length of the windows in which usage is reported. There are no
	// reports without it.
	UsageWindow *daemon.Duration `toml:"usage_window"`
	// UsageLateness is the time after the end of a window within which its report is due.
	UsageLateness *daemon.Duration `toml:"usage_lateness"`
}

// defaultUsageLateness is the lateness of reports for which the operators set no bound.
const defaultUsageLateness = 10 * time.Second

// lateness returns the time after the end of a window within which its report is due.
func (s *DutySettings) lateness() time.Duration {
	if s.UsageLateness == nil {
		return defaultUsageLateness
	}
	return time.Duration(*s.UsageLateness)
}

// validate returns the first invalid field, or nil.
func (s *DutySettings) validate() *daemon.SettingsError {
	if s.Address != "" {
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			return &daemon.SettingsError{Field: "duties.address", Reason: "must be an IP address and a port, such as 10.0.0.7:8000"}
		}
	}
	for _, duration := range []struct {
		field string
		value *daemon.Duration
	}{
		{"duties.usage_window", s.UsageWindow},
		{"duties.usage_lateness", s.UsageLateness},
	} {
		if duration.value != nil && time.Duration(*duration.value) <= 0 {
			return &daemon.SettingsError{Field: duration.field, Reason: "must be greater than 0"}
		}
	}
	if !(s.CallsPerSecond >= 0) {
		return &daemon.SettingsError{Field: "duties.calls_per_second", Reason: "must not be negative"}
	}
	return nil
}
