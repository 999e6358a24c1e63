package hosted

import (
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/crocushollow/crocushollow/daemon"
)

// Settings is the settings file of an instance on the operators' platform.
type Settings struct {
	Instance InstanceSettings `toml:"instance"`
	Listen   ListenSettings   `toml:"listen"`
	Store    StoreSettings    `toml:"store"`
	Limits   LimitSettings    `toml:"limits"`
	Bounds   BoundSettings    `toml:"bounds"`
	Logging  LoggingSettings  `toml:"logging"`
	Duties   DutySettings     `toml:"duties"`
	Hedging  HedgingSettings  `toml:"hedging"`
}

// InstanceSettings identifies the instance.
type InstanceSettings struct {
	ID               string `toml:"id"`
	AvailabilityZone string `toml:"availability_zone"`
	// FirstStart is set at the first start of the whole system.
	FirstStart bool `toml:"first_start"`
}

// ListenSettings holds the addresses to listen on, as IP addresses with ports.
type ListenSettings struct {
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
	Discovery string `toml:"discovery"`
	// Peers is the address for datagrams from other instances.
	Peers string `toml:"peers"`
	// Metrics is the address of the metrics endpoint. If it is empty, metrics are
	// not served.
	Metrics string `toml:"metrics"`
}

// StoreSettings describes the platform's store.
type StoreSettings struct {
	Address string `toml:"address"`
	// MinTTL is the minimum time after which the store replaces a silent member of a
	// group.
	MinTTL daemon.Duration `toml:"min_ttl"`
}

// LimitSettings holds the resources that the machine gives to the instance.
type LimitSettings struct {
	MemoryMB int64 `toml:"memory_mb"`
	// Cores is the number of CPU cores that the instance may use, which may be a
	// fraction. 0 means unknown.
	Cores float64 `toml:"cores"`
	// Descriptors is the number of file descriptors that the process may open, of which
	// reservedDescriptors are for files. 0 means unknown.
	Descriptors int `toml:"descriptors"`
}

// BoundSettings holds the bounds that the operators set. A site sets only those of the
// rules that are in force there; the others have the values of defaultBounds.
type BoundSettings struct {
	// Grace is the time from the request to shut down until the process is killed.
	Grace daemon.Duration `toml:"grace"`
	// RetryRatio and RetryExtra bound the retries within RetryWindow: RetryRatio per
	// request plus RetryExtra.
	RetryRatio  float64         `toml:"retry_ratio"`
	RetryExtra  float64         `toml:"retry_extra"`
	RetryWindow daemon.Duration `toml:"retry_window"`
	// QuotaWindow is the time window of the workspaces' limits. QuotaSlack is the
	// number of tokens that all instances together may consume in a window beyond the
	// limit.
	QuotaWindow daemon.Duration `toml:"quota_window"`
	QuotaSlack  float64         `toml:"quota_slack"`
	// ColdOvershoot and ColdSlack bound the requests per second to a cold upstream:
	// its rate limit times ColdOvershoot plus ColdSlack.
	ColdOvershoot float64 `toml:"cold_overshoot"`
	ColdSlack     float64 `toml:"cold_slack"`
	// Lease is the minimum time between the last order of a planner leader and the
	// first order of its successor.
	Lease daemon.Duration `toml:"lease"`
}

// defaultBounds are the bounds of a site that sets none: those that restrict an instance most
// where its own conduct is bounded, and the usual ones of the platform for times.
var defaultBounds = BoundSettings{
	Grace:         daemon.Duration(8 * time.Second),
	RetryRatio:    0.1,
	RetryWindow:   daemon.Duration(10 * time.Second),
	QuotaWindow:   daemon.Duration(8 * time.Second),
	ColdOvershoot: 1,
	Lease:         daemon.Duration(3 * time.Second),
}

// defaultMinTTL is the minimum TTL of group members in a store that names none.
const defaultMinTTL = time.Second

// LoggingSettings configure the log.
type LoggingSettings struct {
	Level string `toml:"level"`
}

// HedgingSettings limit the second attempts of calls whose upstream is slow.
type HedgingSettings struct {
	// MaxExtra is the maximum number of second attempts per request in each retry window. At 0
	// there are none.
	MaxExtra float64 `toml:"max_extra"`
	// Percentile is the fraction of the requests of a route that respond before a second
	// attempt is sent. It is above 0 and below 1.
	Percentile float64 `toml:"percentile"`
}

// defaultHedgePercentile is the percentile of a site that sets none.
const defaultHedgePercentile = 0.95

// LoadSettings reads, parses and validates a settings file.
func LoadSettings(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(file, text)
}

// ParseSettings parses and validates the text of a settings file. It ignores unknown
// fields, since the platform may add some.
func ParseSettings(file string, text []byte) (Settings, error) {
	settings := Settings{
		Store:   StoreSettings{MinTTL: daemon.Duration(defaultMinTTL)},
		Bounds:  defaultBounds,
		Logging: LoggingSettings{Level: "info"},
		Hedging: HedgingSettings{Percentile: defaultHedgePercentile},
	}
	if err := toml.Unmarshal(text, &settings); err != nil {
		return settings, daemon.DecodeSettingsError(file, err)
	}
	if invalid := settings.validate(); invalid != nil {
		invalid.File = file
		return settings, invalid
	}
	return settings, nil
}

// validate returns the first invalid field, or nil.
func (s *Settings) validate() *daemon.SettingsError {
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
			return &daemon.SettingsError{Field: address.field, Reason: "must be an IP address and a port, such as 10.0.0.7:8000"}
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
	for _, number := range []struct {
		field string
		value float64
	}{
		{"limits.memory_mb", float64(s.Limits.MemoryMB)},
		{"limits.cores", s.Limits.Cores},
		{"limits.descriptors", float64(s.Limits.Descriptors)},
		{"bounds.retry_ratio", s.Bounds.RetryRatio},
		{"bounds.retry_extra", s.Bounds.RetryExtra},
		{"bounds.quota_slack", s.Bounds.QuotaSlack},
		{"bounds.cold_overshoot", s.Bounds.ColdOvershoot},
		{"bounds.cold_slack", s.Bounds.ColdSlack},
		{"hedging.max_extra", s.Hedging.MaxExtra},
	} {
		if number.value < 0 || math.IsNaN(number.value) {
			return &daemon.SettingsError{Field: number.field, Reason: "must not be negative"}
		}
	}
	if percentile := s.Hedging.Percentile; !(percentile > 0 && percentile < 1) {
		return &daemon.SettingsError{Field: "hedging.percentile", Reason: "must be above 0 and below 1"}
	}
	return s.Duties.validate()
}
