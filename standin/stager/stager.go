// Package stager runs a whole site on loopback: the stand-ins of the platform
// and the upstreams, and instances of the system before them.
package stager

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/daemon"
	"github.com/crocushollow/crocushollow/standin/engineserver"
	"github.com/crocushollow/crocushollow/standin/logserver"
	"github.com/crocushollow/crocushollow/standin/plainserver"
	"github.com/crocushollow/crocushollow/standin/registryserver"
	"github.com/crocushollow/crocushollow/standin/storeserver"
)

// loopback is the address that everything listens on; the system chooses the
// port.
const loopback = "127.0.0.1:0"

// Config describes a site.
type Config struct {
	// AvailabilityZones are used in turn for upstreams and instances.
	AvailabilityZones []string
	Engines           int
	Engine            engineserver.Config
	Services          int
	Store             storeserver.Config
	// AppendsPerSecond and Retention describe the log.
	AppendsPerSecond float64
	Retention        time.Duration
	// RegistryDelay is how old the list of instances is.
	RegistryDelay time.Duration
	// Settings are those of each instance but for names and addresses.
	Settings daemon.Settings
	Logger   zerolog.Logger
}

// DefaultConfig returns a small site.
func DefaultConfig() Config {
	return Config{
		AvailabilityZones: []string{"akl", "hlz", "wlg"},
		Engines:           6,
		Engine: engineserver.Config{
			MemoryBytes:         80 << 30,
			Slots:               16,
			TokenInterval:       5 * time.Millisecond,
			PrefillTimePerToken: 20 * time.Microsecond,
			MaxCachedPrefixes:   64,
			ColdStartDuration:   3 * time.Second,
			ColdMaxInFlight:     2,
			ChecksFencingToken:  true,
			ReportDelay:         200 * time.Millisecond,
		},
		Services:         2,
		Store:            storeserver.Config{Rate: 8, Burst: 16, MaxInFlight: 70, LoadTime: 10 * time.Millisecond},
		AppendsPerSecond: 300,
		Retention:        time.Hour,
		RegistryDelay:    500 * time.Millisecond,
		Settings:         daemon.DefaultSettings(),
		Logger:           zerolog.Nop(),
	}
}

// Engine is a stand-in of a model engine.
type Engine struct {
	ID, Address, Zone string
	Server            *engineserver.Server
	// ChecksFencingToken tells whether the engine checks fencing numbers.
	ChecksFencingToken bool
}

// Service is a stand-in of a plain service.
type Service struct {
	ID, Address, Zone string
	Server            *plainserver.Server
}

// Site is a running site.
type Site struct {
	Config       Config
	Log          *logserver.Server
	Registry     *registryserver.Server
	Store        *storeserver.Server
	Engines      []*Engine
	Services     []*Service
	LogAddr      string
	RegistryAddr string
	StoreAddr    string

	ctx     context.Context
	cancel  context.CancelFunc
	servers []*http.Server

	mu        sync.Mutex
	instances map[string]*Instance
}

// Start runs the stand-ins of a site. Close ends it.
func Start(ctx context.Context, config Config) (*Site, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Site{
		Config:    config,
		Log:       logserver.New(config.AppendsPerSecond, config.Retention),
		Registry:  registryserver.New(config.RegistryDelay),
		Store:     storeserver.New(config.Store),
		ctx:       ctx,
		cancel:    cancel,
		instances: make(map[string]*Instance),
	}
	go s.Registry.Run(ctx)
	if err := s.startStandIns(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) startStandIns() error {
	var err error
	for address, handler := range map[*string]http.Handler{&s.LogAddr: s.Log, &s.RegistryAddr: s.Registry, &s.StoreAddr: s.Store} {
		if *address, err = s.serve(handler); err != nil {
			return err
		}
	}
	for i := range s.Config.Engines {
		if err := s.startEngine(i); err != nil {
			return err
		}
	}
	for i := range s.Config.Services {
		service := &Service{ID: fmt.Sprintf("service-%d", i+1), Zone: s.zone(i), Server: plainserver.New()}
		if service.Address, err = s.serve(service.Server); err != nil {
			return err
		}
		s.Services = append(s.Services, service)
	}
	return nil
}

func (s *Site) startEngine(i int) error {
	config := s.Config.Engine
	config.StoreAddress = s.StoreAddr
	// Some engines ignore fencing numbers.
	config.ChecksFencingToken = config.ChecksFencingToken && i%3 != 2
	engine := &Engine{
		ID:                 fmt.Sprintf("engine-%d", i+1),
		Zone:               s.zone(i),
		Server:             engineserver.New(config),
		ChecksFencingToken: config.ChecksFencingToken,
	}
	var err error
	if engine.Address, err = s.serve(engine.Server); err != nil {
		return err
	}
	s.Engines = append(s.Engines, engine)
	return nil
}

func (s *Site) zone(i int) string {
	return s.Config.AvailabilityZones[i%len(s.Config.AvailabilityZones)]
}

// serve runs a handler on a port of its own.
func (s *Site) serve(handler http.Handler) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(s.ctx, "tcp", loopback)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second, ErrorLog: nil}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// Close ends all instances and stand-ins.
func (s *Site) Close() {
	for _, instance := range s.Instances() {
		instance.Kill()
	}
	s.cancel()
	for _, server := range s.servers {
		_ = server.Close()
	}
	<-s.Registry.Done()
}

// Instance is a running instance of the system.
type Instance struct {
	ID, Zone string
	Callers  string
	Peers    string
	Console  string

	daemon *daemon.Daemon
	kill   context.CancelFunc
	stop   context.CancelFunc
}

// InstanceSettings returns the settings of an instance with free ports.
func (s *Site) InstanceSettings(id, zone string) daemon.Settings {
	settings := s.Config.Settings
	settings.Instance = daemon.InstanceSettings{ID: id, AvailabilityZone: zone}
	settings.Platform = daemon.PlatformSettings{Log: s.LogAddr, Instances: s.RegistryAddr}
	return settings
}

// StartInstance runs an instance in this process.
func (s *Site) StartInstance(id, zone string) (*Instance, error) {
	settings := s.InstanceSettings(id, zone)
	listeners, err := daemon.Listen(s.ctx, daemon.ListenSettings{Callers: loopback, Peers: loopback, Operators: loopback})
	if err != nil {
		return nil, err
	}
	settings.Listen = daemon.ListenSettings{
		Callers:   listeners.Callers.Addr().String(),
		Peers:     listeners.Peers.Addr().String(),
		Operators: listeners.Operators.Addr().String(),
	}
	instance := &Instance{
		ID: id, Zone: zone,
		Callers: settings.Listen.Callers, Peers: settings.Listen.Peers, Console: settings.Listen.Operators,
		daemon: daemon.New(settings, s.Config.Logger, "stage"),
	}
	ctx, kill := context.WithCancel(s.ctx)
	stopping, stop := context.WithCancel(context.Background())
	instance.kill, instance.stop = kill, stop
	go func() { _ = instance.daemon.Run(ctx, stopping, listeners) }()
	s.Register(instance)
	return instance, nil
}

// Register lets the list of instances observe an instance.
func (s *Site) Register(instance *Instance) {
	s.mu.Lock()
	s.instances[instance.ID] = instance
	s.mu.Unlock()
	s.Registry.Add(registryserver.Instance{ID: instance.ID, PeerAddress: instance.Peers, CallerAddress: instance.Callers})
}

// StartInstances runs a number of instances, zone by zone.
func (s *Site) StartInstances(count int) error {
	for i := range count {
		zone := s.zone(i)
		if _, err := s.StartInstance(fmt.Sprintf("%s-%d", zone, i/len(s.Config.AvailabilityZones)+1), zone); err != nil {
			return err
		}
	}
	return nil
}

// Instances returns the running instances.
func (s *Site) Instances() []*Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	instances := make([]*Instance, 0, len(s.instances))
	for _, instance := range s.instances {
		instances = append(instances, instance)
	}
	return instances
}

// Deregister takes an instance that has ended off the list.
func (s *Site) Deregister(id string) {
	s.mu.Lock()
	delete(s.instances, id)
	s.mu.Unlock()
	s.Registry.Remove(id)
}

// Kill ends an instance at once.
func (i *Instance) Kill() {
	i.kill()
	<-i.daemon.Done()
}

// Stop ends an instance gracefully.
func (i *Instance) Stop() {
	i.stop()
	<-i.daemon.Done()
}

// readyPoll is the time between two looks at the readiness of instances.
const readyPoll = 20 * time.Millisecond

// AwaitReady waits until every instance is ready.
func (s *Site) AwaitReady(ctx context.Context) error {
	for _, instance := range s.Instances() {
		for !isReady(ctx, instance) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("instance %s is not ready: %w", instance.ID, ctx.Err())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, instance *Instance) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instance.Callers+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
