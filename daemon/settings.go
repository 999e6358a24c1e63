package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/transport/console"
)

// Duration is a time.Duration written as text such as 30s.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 30s", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Settings is the configuration file of a daemon.
type Settings struct {
	Instance  InstanceSettings   `toml:"instance"`
	Listen    ListenSettings     `toml:"listen"`
	Advertise AdvertiseSettings  `toml:"advertise"`
	Platform  PlatformSettings   `toml:"platform"`
	Policy    PolicySettings     `toml:"policy"`
	Discovery DiscoverySettings  `toml:"discovery"`
	Timing    TimingSettings     `toml:"timing"`
	Calls     CallSettings       `toml:"calls"`
	Shutdown  ShutdownSettings   `toml:"shutdown"`
	Logging   LoggingSettings    `toml:"logging"`
	Tracing   TracingSettings    `toml:"tracing"`
	Operators []OperatorSettings `toml:"operators"`
}

// InstanceSettings says what the instance is.
type InstanceSettings struct {
	// ID is unique in the fleet and stays the same over restarts.
	ID               string `toml:"id"`
	AvailabilityZone string `toml:"availability_zone"`
}

// ListenSettings holds the addresses to listen on, as IP number and port.
type ListenSettings struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
	// Source is the IP number that connections to others come from; empty
	// leaves it to the system.
	Source string `toml:"source"`
}

// AdvertiseSettings holds the addresses that others connect to where they
// differ from those to listen on.
type AdvertiseSettings struct {
	Callers string `toml:"callers"`
	Peers   string `toml:"peers"`
}

// PlatformSettings holds the addresses of the platform's services.
type PlatformSettings struct {
	Log       string `toml:"log"`
	Instances string `toml:"instances"`
}

// PolicySettings chooses how decisions are made.
type PolicySettings struct {
	// Limits is escrow or static.
	Limits string `toml:"limits"`
	// StaticPartitions is the number of parts under the static policy.
	StaticPartitions int64 `toml:"static_parts"`
	// Routing is affinity, least_loaded or round_robin.
	Routing string `toml:"routing"`
	// Queue is fair or fifo.
	Queue string `toml:"queue"`
	// Placement is adaptive or static.
	Placement string `toml:"placement"`
}

// DiscoverySettings says how callers are told which addresses to use.
type DiscoverySettings struct {
	TTL    Duration `toml:"ttl"`
	Subset int      `toml:"subset"`
}

// TimingSettings holds the intervals of the control state.
type TimingSettings struct {
	Lease             Duration `toml:"lease"`
	ProbeInterval     Duration `toml:"probe_interval"`
	SuspectAfter      Duration `toml:"suspect_after"`
	ExchangeInterval  Duration `toml:"exchange_interval"`
	ReportInterval    Duration `toml:"report_interval"`
	PlanInterval      Duration `toml:"plan_interval"`
	SnapshotInterval  Duration `toml:"snapshot_interval"`
	CallTimeout       Duration `toml:"call_timeout"`
	LogReadersPerZone int      `toml:"log_readers"`
	MonitoredMembers  int      `toml:"watched"`
}

// CallSettings bounds the requests of callers.
type CallSettings struct {
	MaxBodyBytes     int64    `toml:"max_body_bytes"`
	MaxResponseBytes int64    `toml:"max_answer_bytes"`
	MaxStoredBytes   int      `toml:"max_kept_bytes"`
	BodyTimeout      Duration `toml:"body_timeout"`
	FirstByteTimeout Duration `toml:"first_byte_timeout"`
	ChunkTimeout     Duration `toml:"chunk_timeout"`
	CallerTimeout    Duration `toml:"caller_timeout"`
	InteractiveWait  Duration `toml:"interactive_wait"`
	BatchWait        Duration `toml:"batch_wait"`
	QueueLength      int      `toml:"queue_length"`
	MaxAttempts      int      `toml:"max_attempts"`
}

// ShutdownSettings bounds a planned stop.
type ShutdownSettings struct {
	// Grace is how long requests in flight may take to end.
	Grace Duration `toml:"grace"`
}

// LoggingSettings says what is logged.
type LoggingSettings struct {
	Level string `toml:"level"`
}

// TracingSettings says where spans go.
type TracingSettings struct {
	// OTLP is the address of a collector that takes OTLP over HTTP. Spans are
	// dropped if it is empty.
	OTLP string `toml:"otlp"`
	// SampleRatio is the fraction of traces that are exported.
	SampleRatio float64 `toml:"sample_ratio"`
}

// OperatorSettings is an operator's credentials.
type OperatorSettings struct {
	Name string `toml:"name"`
	// TokenSHA256 is the digest of the operator's token in hexadecimal digits.
	TokenSHA256 crocushollow.Digest `toml:"token_sha256"`
	// Role is reader or editor.
	Role console.Role `toml:"role"`
}

// DefaultSettings returns the settings of everything that a file may leave
// out.
func DefaultSettings() Settings {
	return Settings{
		Policy:    PolicySettings{Limits: "escrow", StaticPartitions: 8, Routing: "affinity", Queue: "fair", Placement: "adaptive"},
		Discovery: DiscoverySettings{TTL: Duration(2 * time.Second), Subset: 3},
		Timing: TimingSettings{
			Lease:             Duration(time.Second),
			ProbeInterval:     Duration(200 * time.Millisecond),
			SuspectAfter:      Duration(800 * time.Millisecond),
			ExchangeInterval:  Duration(200 * time.Millisecond),
			ReportInterval:    Duration(250 * time.Millisecond),
			PlanInterval:      Duration(time.Second),
			SnapshotInterval:  Duration(5 * time.Minute),
			CallTimeout:       Duration(400 * time.Millisecond),
			LogReadersPerZone: 3,
			MonitoredMembers:  8,
		},
		Calls: CallSettings{
			MaxBodyBytes:     4 << 20,
			MaxResponseBytes: 16 << 20,
			MaxStoredBytes:   16 << 10,
			BodyTimeout:      Duration(10 * time.Second),
			FirstByteTimeout: Duration(20 * time.Second),
			ChunkTimeout:     Duration(3 * time.Second),
			CallerTimeout:    Duration(10 * time.Second),
			InteractiveWait:  Duration(10 * time.Second),
			BatchWait:        Duration(2 * time.Minute),
			QueueLength:      1000,
			MaxAttempts:      4,
		},
		Shutdown: ShutdownSettings{Grace: Duration(5 * time.Minute)},
		Logging:  LoggingSettings{Level: "info"},
		Tracing:  TracingSettings{SampleRatio: 1},
	}
}

// SettingsError reports a field of a settings file that is not usable.
type SettingsError struct {
	File string
	// Line counts from 1; it is 0 if the field is missing from the file.
	Line int
	// Field is the section and the name of the field.
	Field  string
	Reason string
}

// Error implements error.
func (e *SettingsError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason)
}

// LoadSettings reads and checks a settings file. The error is a
// *SettingsError unless the file cannot be read.
func LoadSettings(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(file, text)
}

// ParseSettings reads and checks the text of a settings file.
func ParseSettings(file string, text []byte) (Settings, error) {
	settings := DefaultSettings()
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return settings, decodeError(file, err)
	}
	if bad := settings.check(); bad != nil {
		bad.File = file
		bad.Line = lineOf(text, bad.Field)
		return settings, bad
	}
	return settings, nil
}

func decodeError(file string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return &SettingsError{File: file, Line: line, Field: strings.Join(first.Key(), "."), Reason: "no such field"}
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		field := strings.Join(decode.Key(), ".")
		return &SettingsError{File: file, Line: line, Field: field, Reason: decode.Error()}
	}
	return &SettingsError{File: file, Field: "file", Reason: err.Error()}
}

// lineOf returns the line of a field, or that of its section if the field is
// missing, or 0.
func lineOf(text []byte, field string) int {
	section, name, _ := strings.Cut(field, ".")
	sectionLine, current := 0, ""
	for i, line := range strings.Split(string(text), "\n") {
		trimmed := strings.TrimSpace(line)
		if strings.HasPrefix(trimmed, "[") {
			current = strings.Trim(trimmed, "[] ")
			if current == section && sectionLine == 0 {
				sectionLine = i + 1
			}
			continue
		}
		key, _, found := strings.Cut(trimmed, "=")
		if found && current == section && strings.TrimSpace(key) == name {
			return i + 1
		}
	}
	return sectionLine
}

// check returns the first field that is not usable.
func (s Settings) check() *SettingsError {
	checks := []*SettingsError{
		notEmpty("instance.id", s.Instance.ID),
		notEmpty("instance.availability_zone", s.Instance.AvailabilityZone),
		isAddress("listen.callers", s.Listen.Callers),
		isAddress("listen.peers", s.Listen.Peers),
		isAddress("listen.operators", s.Listen.Operators),
		isIPIfSet("listen.source", s.Listen.Source),
		isAddressIfSet("advertise.callers", s.Advertise.Callers),
		isAddressIfSet("advertise.peers", s.Advertise.Peers),
		isAddress("platform.log", s.Platform.Log),
		isAddress("platform.instances", s.Platform.Instances),
		isOneOf("policy.limits", s.Policy.Limits, "escrow", "static"),
		isOneOf("policy.routing", s.Policy.Routing, "affinity", "least_loaded", "round_robin"),
		isOneOf("policy.queue", s.Policy.Queue, "fair", "fifo"),
		isOneOf("policy.placement", s.Policy.Placement, "adaptive", "static"),
		isPositive("policy.static_parts", s.Policy.StaticPartitions),
		isPositive("discovery.ttl", int64(s.Discovery.TTL)),
		isPositive("timing.lease", int64(s.Timing.Lease)),
		isPositive("timing.probe_interval", int64(s.Timing.ProbeInterval)),
		isPositive("timing.suspect_after", int64(s.Timing.SuspectAfter)),
		isPositive("timing.exchange_interval", int64(s.Timing.ExchangeInterval)),
		isPositive("timing.report_interval", int64(s.Timing.ReportInterval)),
		isPositive("timing.plan_interval", int64(s.Timing.PlanInterval)),
		isPositive("timing.snapshot_interval", int64(s.Timing.SnapshotInterval)),
		isPositive("timing.call_timeout", int64(s.Timing.CallTimeout)),
		isPositive("timing.log_readers", int64(s.Timing.LogReadersPerZone)),
		isPositive("timing.watched", int64(s.Timing.MonitoredMembers)),
		isPositive("calls.max_body_bytes", s.Calls.MaxBodyBytes),
		isPositive("calls.max_answer_bytes", s.Calls.MaxResponseBytes),
		isPositive("calls.queue_length", int64(s.Calls.QueueLength)),
		isPositive("calls.max_attempts", int64(s.Calls.MaxAttempts)),
		isPositive("shutdown.grace", int64(s.Shutdown.Grace)),
		s.checkLogging(),
		isAddressIfSet("tracing.otlp", s.Tracing.OTLP),
		s.checkOperators(),
	}
	for _, bad := range checks {
		if bad != nil {
			return bad
		}
	}
	return nil
}

func (s Settings) checkLogging() *SettingsError {
	if _, err := zerolog.ParseLevel(s.Logging.Level); err != nil {
		return &SettingsError{Field: "logging.level", Reason: "must be debug, info, warn or error"}
	}
	return nil
}

func (s Settings) checkOperators() *SettingsError {
	for _, operator := range s.Operators {
		if operator.Name == "" {
			return &SettingsError{Field: "operators.name", Reason: "must not be empty"}
		}
		if operator.TokenSHA256 == (crocushollow.Digest{}) {
			return &SettingsError{Field: "operators.token_sha256", Reason: "must not be empty"}
		}
		if bad := isOneOf("operators.role", string(operator.Role), string(console.Reader), string(console.Editor)); bad != nil {
			return bad
		}
	}
	return nil
}

func notEmpty(field, value string) *SettingsError {
	if value == "" {
		return &SettingsError{Field: field, Reason: "is missing"}
	}
	return nil
}

func isAddress(field, value string) *SettingsError {
	if value == "" {
		return &SettingsError{Field: field, Reason: "is missing"}
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &SettingsError{Field: field, Reason: fmt.Sprintf("%q is not an IP number and a port, such as 10.0.0.7:8000", value)}
	}
	return nil
}

func isAddressIfSet(field, value string) *SettingsError {
	if value == "" {
		return nil
	}
	return isAddress(field, value)
}

func isIPIfSet(field, value string) *SettingsError {
	if value == "" {
		return nil
	}
	if _, err := netip.ParseAddr(value); err != nil {
		return &SettingsError{Field: field, Reason: fmt.Sprintf("%q is not an IP number", value)}
	}
	return nil
}

func isPositive(field string, value int64) *SettingsError {
	if value <= 0 {
		return &SettingsError{Field: field, Reason: "must be greater than 0"}
	}
	return nil
}

func isOneOf(field, value string, allowed ...string) *SettingsError {
	for _, choice := range allowed {
		if value == choice {
			return nil
		}
	}
	return &SettingsError{Field: field, Reason: fmt.Sprintf("%q is not one of %s", value, strings.Join(allowed, ", "))}
}
