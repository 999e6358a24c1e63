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

// Duration is a time.Duration that is written as text in settings, such as 30s.
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

// Settings is the settings file of a daemon.
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

// InstanceSettings identifies the instance.
type InstanceSettings struct {
	// ID is unique among all instances and stays the same over restarts.
	ID               string `toml:"id"`
	AvailabilityZone string `toml:"availability_zone"`
}

// ListenSettings holds the addresses to listen on, as IP addresses with ports.
type ListenSettings struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
	// Source is the source IP address of outgoing connections. If it is empty, the
	// operating system chooses the address.
	Source string `toml:"source"`
}

// AdvertiseSettings holds the addresses that callers and peers connect to, if they
// differ from the addresses to listen on.
type AdvertiseSettings struct {
	Callers string `toml:"callers"`
	Peers   string `toml:"peers"`
}

// PlatformSettings holds the addresses of the platform's services.
type PlatformSettings struct {
	// Log is the address of the log.
	Log string `toml:"log"`
	// Instances is the address of the service that lists the instances.
	Instances string `toml:"instances"`
}

// PolicySettings selects the policies of the instance.
type PolicySettings struct {
	// Limits is the policy for dividing limits among instances: escrow or static.
	Limits string `toml:"limits"`
	// StaticPartitions is the number of equal partitions of each limit under the
	// static policy.
	StaticPartitions int64 `toml:"static_parts"`
	// Routing is the policy for choosing an upstream: affinity, least_loaded or
	// round_robin.
	Routing string `toml:"routing"`
	// Queue is the order in which requests wait for an upstream: fair or fifo.
	Queue string `toml:"queue"`
	// Placement is the policy for placing models on engines: adaptive or static.
	Placement string `toml:"placement"`
}

// DiscoverySettings configures service discovery for callers.
type DiscoverySettings struct {
	// TTL is how long a caller may cache a response.
	TTL Duration `toml:"ttl"`
	// Subset is the number of instances in a response. 0 means all.
	Subset int `toml:"subset"`
}

// TimingSettings configures the controller. controller.Timing documents the intervals
// and timeouts.
type TimingSettings struct {
	Lease            Duration `toml:"lease"`
	ProbeInterval    Duration `toml:"probe_interval"`
	SuspectAfter     Duration `toml:"suspect_after"`
	ExchangeInterval Duration `toml:"exchange_interval"`
	ReportInterval   Duration `toml:"report_interval"`
	PlanInterval     Duration `toml:"plan_interval"`
	SnapshotInterval Duration `toml:"snapshot_interval"`
	CallTimeout      Duration `toml:"call_timeout"`
	// LogReadersPerZone is the number of instances per availability zone that read the
	// log directly.
	LogReadersPerZone int `toml:"log_readers"`
	// MonitoredMembers is the number of members whose liveness the instance monitors.
	MonitoredMembers int `toml:"watched"`
}

// CallSettings bounds the requests of callers and the attempts to serve them.
type CallSettings struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxResponseBytes is the maximum size of a response that is not streamed.
	MaxResponseBytes int64 `toml:"max_answer_bytes"`
	// MaxBufferedBytes is the maximum size of all responses together that are not
	// streamed and that callers have not received yet.
	MaxBufferedBytes int64 `toml:"max_buffered_bytes"`
	// MaxStoredBytes is the maximum size of a response that is stored for replay to
	// callers that retry.
	MaxStoredBytes int `toml:"max_kept_bytes"`
	// MaxIntakeBytes is the maximum size of all request bodies together.
	MaxIntakeBytes int64 `toml:"max_intake_bytes"`
	// MaxConnections is the maximum number of open connections of callers.
	MaxConnections int `toml:"max_connections"`
	// BodyTimeout bounds the time to read a request body.
	BodyTimeout Duration `toml:"body_timeout"`
	// FirstByteTimeout is the maximum time until an engine's first byte, and
	// ChunkTimeout the maximum time between two chunks of a response.
	FirstByteTimeout Duration `toml:"first_byte_timeout"`
	ChunkTimeout     Duration `toml:"chunk_timeout"`
	// CallerTimeout is the maximum time that a caller may take to accept a chunk.
	CallerTimeout Duration `toml:"caller_timeout"`
	// InteractiveWait and BatchWait are the maximum times that an interactive request
	// and a batch request wait in the queue. QueueLength is its capacity.
	InteractiveWait Duration `toml:"interactive_wait"`
	BatchWait       Duration `toml:"batch_wait"`
	QueueLength     int      `toml:"queue_length"`
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts int `toml:"max_attempts"`
}

// ShutdownSettings configures a graceful shutdown.
type ShutdownSettings struct {
	// Grace is the maximum duration of a shutdown. Requests that are still in flight
	// then are aborted.
	Grace Duration `toml:"grace"`
}

// LoggingSettings configures the process log.
type LoggingSettings struct {
	Level string `toml:"level"`
}

// TracingSettings configures the export of spans.
type TracingSettings struct {
	// OTLP is the address of a collector that accepts OTLP over HTTP. If it is empty,
	// spans are dropped.
	OTLP string `toml:"otlp"`
	// SampleRatio is the fraction of traces that is exported.
	SampleRatio float64 `toml:"sample_ratio"`
}

// OperatorSettings holds the credentials and the role of an operator.
type OperatorSettings struct {
	Name string `toml:"name"`
	// TokenSHA256 is the SHA-256 digest of the operator's token, in hexadecimal.
	TokenSHA256 crocushollow.Digest `toml:"token_sha256"`
	// Role is reader or editor.
	Role console.Role `toml:"role"`
}

// DefaultSettings returns the default values of optional settings.
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
			MaxBufferedBytes: 64 << 20,
			MaxStoredBytes:   16 << 10,
			MaxIntakeBytes:   64 << 20,
			MaxConnections:   4096,
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

// SettingsError reports an invalid field of a settings file.
type SettingsError struct {
	File string
	// Line is the line number, from 1. It is 0 if the line is unknown.
	Line int
	// Field is the section and the name of the field, such as instance.id.
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

// LoadSettings reads, parses and validates a settings file. The error is a
// *SettingsError unless the file cannot be read.
func LoadSettings(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(file, text)
}

// ParseSettings parses and validates the text of a settings file.
func ParseSettings(file string, text []byte) (Settings, error) {
	settings := DefaultSettings()
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return settings, DecodeSettingsError(file, err)
	}
	if invalid := settings.validate(); invalid != nil {
		invalid.File = file
		invalid.Line = fieldLine(text, invalid.Field)
		return settings, invalid
	}
	return settings, nil
}

// DecodeSettingsError converts an error of the TOML decoder to a SettingsError.
func DecodeSettingsError(file string, err error) error {
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
		if field == "" {
			field = "syntax"
		}
		return &SettingsError{File: file, Line: line, Field: field, Reason: decode.Error()}
	}
	return &SettingsError{File: file, Field: "file", Reason: err.Error()}
}

// fieldLine returns the line number of a field. If the field is missing, it returns
// the line number of its section, or 0 if that is missing too.
func fieldLine(text []byte, field string) int {
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

// validate returns the first invalid field, or nil.
func (s Settings) validate() *SettingsError {
	checks := []*SettingsError{
		checkNotEmpty("instance.id", s.Instance.ID),
		checkNotEmpty("instance.availability_zone", s.Instance.AvailabilityZone),
		checkAddress("listen.callers", s.Listen.Callers),
		checkAddress("listen.peers", s.Listen.Peers),
		checkAddress("listen.operators", s.Listen.Operators),
		checkOptionalIP("listen.source", s.Listen.Source),
		checkOptionalAddress("advertise.callers", s.Advertise.Callers),
		checkOptionalAddress("advertise.peers", s.Advertise.Peers),
		checkAddress("platform.log", s.Platform.Log),
		checkAddress("platform.instances", s.Platform.Instances),
		checkOneOf("policy.limits", s.Policy.Limits, "escrow", "static"),
		checkOneOf("policy.routing", s.Policy.Routing, "affinity", "least_loaded", "round_robin"),
		checkOneOf("policy.queue", s.Policy.Queue, "fair", "fifo"),
		checkOneOf("policy.placement", s.Policy.Placement, "adaptive", "static"),
		checkPositive("policy.static_parts", s.Policy.StaticPartitions),
		checkPositive("discovery.ttl", int64(s.Discovery.TTL)),
		checkPositive("timing.lease", int64(s.Timing.Lease)),
		checkPositive("timing.probe_interval", int64(s.Timing.ProbeInterval)),
		checkPositive("timing.suspect_after", int64(s.Timing.SuspectAfter)),
		checkPositive("timing.exchange_interval", int64(s.Timing.ExchangeInterval)),
		checkPositive("timing.report_interval", int64(s.Timing.ReportInterval)),
		checkPositive("timing.plan_interval", int64(s.Timing.PlanInterval)),
		checkPositive("timing.snapshot_interval", int64(s.Timing.SnapshotInterval)),
		checkPositive("timing.call_timeout", int64(s.Timing.CallTimeout)),
		checkPositive("timing.log_readers", int64(s.Timing.LogReadersPerZone)),
		checkPositive("timing.watched", int64(s.Timing.MonitoredMembers)),
		checkPositive("calls.max_body_bytes", s.Calls.MaxBodyBytes),
		checkPositive("calls.max_answer_bytes", s.Calls.MaxResponseBytes),
		checkPositive("calls.max_buffered_bytes", s.Calls.MaxBufferedBytes),
		checkPositive("calls.max_intake_bytes", s.Calls.MaxIntakeBytes),
		checkPositive("calls.max_connections", int64(s.Calls.MaxConnections)),
		checkPositive("calls.queue_length", int64(s.Calls.QueueLength)),
		checkPositive("calls.max_attempts", int64(s.Calls.MaxAttempts)),
		checkPositive("shutdown.grace", int64(s.Shutdown.Grace)),
		s.validateLogging(),
		checkOptionalAddress("tracing.otlp", s.Tracing.OTLP),
		s.validateOperators(),
	}
	for _, invalid := range checks {
		if invalid != nil {
			return invalid
		}
	}
	return nil
}

func (s Settings) validateLogging() *SettingsError {
	if _, err := zerolog.ParseLevel(s.Logging.Level); err != nil {
		return &SettingsError{Field: "logging.level", Reason: "must be debug, info, warn or error"}
	}
	return nil
}

func (s Settings) validateOperators() *SettingsError {
	for _, operator := range s.Operators {
		if operator.Name == "" {
			return &SettingsError{Field: "operators.name", Reason: "must not be empty"}
		}
		if operator.TokenSHA256 == (crocushollow.Digest{}) {
			return &SettingsError{Field: "operators.token_sha256", Reason: "must not be empty"}
		}
		if invalid := checkOneOf("operators.role", string(operator.Role), string(console.Reader), string(console.Editor)); invalid != nil {
			return invalid
		}
	}
	return nil
}

func checkNotEmpty(field, value string) *SettingsError {
	if value == "" {
		return &SettingsError{Field: field, Reason: "is missing"}
	}
	return nil
}

func checkAddress(field, value string) *SettingsError {
	if value == "" {
		return &SettingsError{Field: field, Reason: "is missing"}
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &SettingsError{Field: field, Reason: fmt.Sprintf("%q is not an IP address and a port, such as 10.0.0.7:8000", value)}
	}
	return nil
}

func checkOptionalAddress(field, value string) *SettingsError {
	if value == "" {
		return nil
	}
	return checkAddress(field, value)
}

func checkOptionalIP(field, value string) *SettingsError {
	if value == "" {
		return nil
	}
	if _, err := netip.ParseAddr(value); err != nil {
		return &SettingsError{Field: field, Reason: fmt.Sprintf("%q is not an IP address", value)}
	}
	return nil
}

func checkPositive(field string, value int64) *SettingsError {
	if value <= 0 {
		return &SettingsError{Field: field, Reason: "must be greater than 0"}
	}
	return nil
}

func checkOneOf(field, value string, allowed ...string) *SettingsError {
	for _, choice := range allowed {
		if value == choice {
			return nil
		}
	}
	return &SettingsError{Field: field, Reason: fmt.Sprintf("%q is not one of %s", value, strings.Join(allowed, ", "))}
}
