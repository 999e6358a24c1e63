package hosted

import (
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"

	"github.com/crocushollow/crocushollow/daemon"
)

// Settings are those of an instance on the operators' platform.
type Settings struct {
	Instance InstanceSettings `toml:"instance"`
	Listen   ListenSettings   `toml:"listen"`
	Store    StoreSettings    `toml:"store"`
	Limits   LimitSettings    `toml:"limits"`
	Bounds   BoundSettings    `toml:"bounds"`
	Logging  LoggingSettings  `toml:"logging"`
}

// InstanceSettings name the instance.
type InstanceSettings struct {
	ID               string `toml:"id"`
	AvailabilityZone string `toml:"availability_zone"`
	// FirstStart tells that the whole system starts for the first time.
	FirstStart bool `toml:"first_start"`
}

// ListenSettings are IP numbers with ports.
type ListenSettings struct {
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
	Discovery string `toml:"discovery"`
	// Peers takes the datagrams of other instances.
	Peers string `toml:"peers"`
	// Metrics is empty if no metrics are served.
	Metrics string `toml:"metrics"`
}

// StoreSettings describe the platform's store.
type StoreSettings struct {
	Address string `toml:"address"`
	// MinTTL is the least time after which a silent member of a group is
	// replaced.
	MinTTL daemon.Duration `toml:"min_ttl"`
}

// LimitSettings describe the instance's machine.
type LimitSettings struct {
	MemoryMB int64 `toml:"memory_mb"`
	// Cores is the part of a core that the instance may use, 0 if it is not known.
	Cores float64 `toml:"cores"`
}

// BoundSettings are the operators' bounds.
type BoundSettings struct {
	// Grace is the time from the request to stop until the process is killed.
	Grace daemon.Duration `toml:"grace"`
	// RetryRatio and RetryExtra bound repeated requests in RetryWindow.
	RetryRatio  float64         `toml:"retry_ratio"`
	RetryExtra  float64         `toml:"retry_extra"`
	RetryWindow daemon.Duration `toml:"retry_window"`
	// QuotaWindow is the window of workspaces' limits, and QuotaSlack what may
	// be used in it beyond the limit.
	QuotaWindow daemon.Duration `toml:"quota_window"`
	QuotaSlack  float64         `toml:"quota_slack"`
	// ColdOvershoot and ColdSlack bound the requests to a cold upstream in a
	// second: its rate times the former plus the latter.
	ColdOvershoot float64 `toml:"cold_overshoot"`
	ColdSlack     float64 `toml:"cold_slack"`
	// Lease is the least time between the orders of two holders.
	Lease daemon.Duration `toml:"lease"`
}

// LoggingSettings configure the log.
type LoggingSettings struct {
	Level string `toml:"level"`
}

// LoadSettings reads and checks a settings file.
func LoadSettings(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(file, text)
}

// ParseSettings reads and checks the text of a settings file. Fields that are
// not known are ignored, since the platform may add some.
func ParseSettings(file string, text []byte) (Settings, error) {
	settings := Settings{Logging: LoggingSettings{Level: "info"}}
	if err := toml.Unmarshal(text, &settings); err != nil {
		return settings, oops.In("settings").With("file", file).Wrap(err)
	}
	if bad := settings.check(); bad != nil {
		bad.File = file
		return settings, bad
	}
	return settings, nil
}

// check returns the first problem.
func (s *Settings) check() *daemon.SettingsError {
	if s.Instance.ID == "" {
		return &daemon.SettingsError{Field: "instance.id", Reason: "must not be empty"}
	}
	for _, address := range []struct{ field, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.readiness", s.Listen.Readiness},
		{"listen.discovery", s.Listen.Discovery},
		{"listen.peers", s.Listen.Peers},
		{"store.address", s.Store.Address},
	} {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return &daemon.SettingsError{Field: address.field, Reason: "must be an IP number and a port, such as 10.0.0.7:8000"}
		}
	}
	for _, duration := range []struct {
		field string
		value daemon.Duration
	}{
		{"store.min_ttl", s.Store.MinTTL},
		{"bounds.grace", s.Bounds.Grace},
		{"bounds.retry_window", s.Bounds.RetryWindow},
		{"bounds.quota_window", s.Bounds.QuotaWindow},
		{"bounds.lease", s.Bounds.Lease},
	} {
		if time.Duration(duration.value) <= 0 {
			return &daemon.SettingsError{Field: duration.field, Reason: "must be greater than 0"}
		}
	}
	return nil
}
