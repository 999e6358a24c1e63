// Package stager runs a complete site on loopback: test servers that simulate the
// platform and the upstreams, and instances of the system in front of them.
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

// loopback is the listen address of all servers. The operating system chooses the
// port.
const loopback = "127.0.0.1:0"

// Config describes a site.
type Config struct {
	// AvailabilityZones are assigned to upstreams and instances round robin.
	AvailabilityZones []string
	Engines           int
	Engine            engineserver.Config
	Services          int
	Store             storeserver.Config
	// AppendsPerSecond bounds the appends to the log, and Retention is how long
	// it keeps entries.
	AppendsPerSecond float64
	Retention        time.Duration
	// RegistryDelay is the refresh interval of the instance registry.
	RegistryDelay time.Duration
	// Settings apply to every instance, except for IDs and addresses.
	Settings daemon.Settings
	Logger   zerolog.Logger
}

// DefaultConfig returns the configuration of a small site.
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

// Engine is a simulated model engine.
type Engine struct {
	ID, Address, Zone string
	Server            *engineserver.Server
	// ChecksFencingToken reports whether the engine rejects orders with a stale
	// fencing token.
	ChecksFencingToken bool
}

// Service is a simulated plain service.
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

// Start starts the test servers of a site. Close stops them.
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
	if err := s.startTestServers(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) startTestServers() error {
	var err error
	for address, handler := range map[*string]http.Handler{&s.LogAddr: s.Log, &s.RegistryAddr: s.Registry, &s.StoreAddr: s.Store} {
		if *address, err = s.listenAndServe(handler); err != nil {
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
		if service.Address, err = s.listenAndServe(service.Server); err != nil {
			return err
		}
		s.Services = append(s.Services, service)
	}
	return nil
}

func (s *Site) startEngine(i int) error {
	config := s.Config.Engine
	config.StoreAddress = s.StoreAddr
	// Some engines do not check fencing tokens. Here it is every third one.
	config.ChecksFencingToken = config.ChecksFencingToken && i%3 != 2
	engine := &Engine{
		ID:                 fmt.Sprintf("engine-%d", i+1),
		Zone:               s.zone(i),
		Server:             engineserver.New(config),
		ChecksFencingToken: config.ChecksFencingToken,
	}
	var err error
	if engine.Address, err = s.listenAndServe(engine.Server); err != nil {
		return err
	}
	s.Engines = append(s.Engines, engine)
	return nil
}

func (s *Site) zone(i int) string {
	return s.Config.AvailabilityZones[i%len(s.Config.AvailabilityZones)]
}

// listenAndServe serves a handler on a free port and returns its address.
func (s *Site) listenAndServe(handler http.Handler) (string, error) {
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

// Close stops all instances and test servers.
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

// Instance is a running instance of the system, with its listen addresses.
type Instance struct {
	ID, Zone string
	Callers  string
	Peers    string
	Console  string

	daemon *daemon.Daemon
	kill   context.CancelFunc
	stop   context.CancelFunc
}

// InstanceSettings returns the settings of an instance without listen addresses.
func (s *Site) InstanceSettings(id, zone string) daemon.Settings {
	settings := s.Config.Settings
	settings.Instance = daemon.InstanceSettings{ID: id, AvailabilityZone: zone}
	settings.Platform = daemon.PlatformSettings{Log: s.LogAddr, Instances: s.RegistryAddr}
	return settings
}

// StartInstance starts an instance in this process and registers it.
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
	stopCtx, stop := context.WithCancel(context.Background())
	instance.kill, instance.stop = kill, stop
	go func() { _ = instance.daemon.Run(ctx, stopCtx, listeners) }()
	s.Register(instance)
	return instance, nil
}

// Register adds an instance to the instance registry.
func (s *Site) Register(instance *Instance) {
	s.mu.Lock()
	s.instances[instance.ID] = instance
	s.mu.Unlock()
	s.Registry.Add(registryserver.Instance{ID: instance.ID, PeerAddress: instance.Peers, CallerAddress: instance.Callers})
}

// StartInstances starts a number of instances, spread over the zones.
func (s *Site) StartInstances(count int) error {
	for i := range count {
		zone := s.zone(i)
		if _, err := s.StartInstance(fmt.Sprintf("%s-%d", zone, i/len(s.Config.AvailabilityZones)+1), zone); err != nil {
			return err
		}
	}
	return nil
}

// Instances returns the registered instances.
func (s *Site) Instances() []*Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	instances := make([]*Instance, 0, len(s.instances))
	for _, instance := range s.instances {
		instances = append(instances, instance)
	}
	return instances
}

// Deregister removes a stopped instance from the instance registry.
func (s *Site) Deregister(id string) {
	s.mu.Lock()
	delete(s.instances, id)
	s.mu.Unlock()
	s.Registry.Remove(id)
}

// Kill stops an instance immediately.
func (i *Instance) Kill() {
	i.kill()
	<-i.daemon.Done()
}

// Stop shuts an instance down gracefully.
func (i *Instance) Stop() {
	i.stop()
	<-i.daemon.Done()
}

// readyPollInterval is the time between two readiness checks of an instance.
const readyPollInterval = 20 * time.Millisecond

// AwaitReady waits until every instance is ready.
func (s *Site) AwaitReady(ctx context.Context) error {
	for _, instance := range s.Instances() {
		for !isReady(ctx, instance) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("instance %s is not ready: %w", instance.ID, ctx.Err())
			case <-time.After(readyPollInterval):
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
