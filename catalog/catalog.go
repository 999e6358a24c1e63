package catalog

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/crocushollow/crocushollow"
)

// RequestLimits limit what a caller may send.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the maximum time to receive the header of a request.
	// IdleTimeout is the maximum time between two requests on a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is the content of one version of the table.
type Config struct {
	// Version increases with each version that operators publish.
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// Keys maps the digest of each API key to the name of its workspace.
	Keys   map[crocushollow.Digest]string
	Limits RequestLimits
}

// Catalog is one version of the operators' table, indexed for lookups. It is
// immutable.
type Catalog struct {
	version  int64
	limits   RequestLimits
	hosts    map[string]hostRoutes
	services map[string]*Service
	// resumable holds the names of the services whose streams callers may take up.
	resumable map[string]bool
	// eventGaps holds the shortest EventGapObjective of the routes to each service.
	eventGaps  map[string]time.Duration
	workspaces map[string]*Workspace
	keys       map[crocushollow.Digest]*Workspace
}

// ErrInvalid reports an invalid table.
var ErrInvalid = errors.New("invalid table")

// New returns the Catalog for a version of the table, or an error that wraps
// ErrInvalid.
func New(config Config) (*Catalog, error) {
	c := &Catalog{
		version:    config.Version,
		limits:     config.Limits,
		hosts:      make(map[string]hostRoutes),
		services:   make(map[string]*Service, len(config.Services)),
		resumable:  make(map[string]bool),
		eventGaps:  make(map[string]time.Duration),
		workspaces: make(map[string]*Workspace, len(config.Workspaces)),
		keys:       make(map[crocushollow.Digest]*Workspace, len(config.Keys)),
	}
	for i := range config.Services {
		c.services[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Workspaces {
		c.workspaces[config.Workspaces[i].Name] = &config.Workspaces[i]
	}
	for i := range config.Routes {
		if err := c.addRoute(&config.Routes[i]); err != nil {
			return nil, err
		}
	}
	for digest, name := range config.Keys {
		workspace, found := c.workspaces[name]
		if !found {
			return nil, fmt.Errorf("%w: key belongs to unknown workspace %q", ErrInvalid, name)
		}
		c.keys[digest] = workspace
	}
	return c, nil
}

func (c *Catalog) addRoute(route *Route) error {
	if len(route.WeightedServices) == 0 {
		return fmt.Errorf("%w: route %q has no service", ErrInvalid, route.Name)
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		return fmt.Errorf("%w: path prefix %q of route %q must start and end with /", ErrInvalid, route.PathPrefix, route.Name)
	}
	route.MaxAttempts = max(route.MaxAttempts, 1)
	host := strings.ToLower(route.Host)
	if c.hosts[host] == nil {
		c.hosts[host] = make(hostRoutes)
	}
	c.hosts[host][route.PathPrefix] = route
	c.addEventGap(route)
	if route.IsResumable() {
		for _, share := range route.WeightedServices {
			c.resumable[share.Service] = true
		}
	}
	return nil
}

// addEventGap records the EventGapObjective of a route for its services.
func (c *Catalog) addEventGap(route *Route) {
	if route.Kind != Streaming || route.EventGapObjective <= 0 {
		return
	}
	for _, share := range route.WeightedServices {
		if gap, found := c.eventGaps[share.Service]; !found || route.EventGapObjective < gap {
			c.eventGaps[share.Service] = route.EventGapObjective
		}
	}
}

// EventGapObjective returns the shortest target for the longest time between two events of
// a service's streams, or 0 if there is none.
func (c *Catalog) EventGapObjective(service string) time.Duration { return c.eventGaps[service] }

// Version returns the version number of the table.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the limits for callers.
func (c *Catalog) Limits() RequestLimits { return c.limits }

// Match returns the route of the host with the longest prefix that matches the
// path. It ignores the port of the host.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	routes, found := c.hosts[host]
	if !found {
		routes = c.hosts[strings.ToLower(host)]
	}
	return routes.match(path)
}

// Service returns the service with the given name.
func (c *Catalog) Service(name string) (*Service, bool) {
	service, found := c.services[name]
	return service, found
}

// Services returns all services by name. The map must not be changed.
func (c *Catalog) Services() map[string]*Service { return c.services }

// IsResumable reports whether callers may take up streams of a service.
func (c *Catalog) IsResumable(service string) bool { return c.resumable[service] }

// WorkspaceByKey returns the workspace of the API key with the given digest.
func (c *Catalog) WorkspaceByKey(digest crocushollow.Digest) (*Workspace, bool) {
	workspace, found := c.keys[digest]
	return workspace, found
}

// Workspaces returns all workspaces by name. The map must not be changed.
func (c *Catalog) Workspaces() map[string]*Workspace { return c.workspaces }

// RequiresAPIKey reports whether requests need an API key. They do if the table
// has workspaces.
func (c *Catalog) RequiresAPIKey() bool { return len(c.workspaces) > 0 }
