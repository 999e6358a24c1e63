package catalog

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/crocushollow/crocushollow"
)

// RequestLimits bound what a caller may send.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to send a request's head, and IdleTimeout
	// the pause between two requests on a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is what a version of the table is made of.
type Config struct {
	// Version grows with each version that operators publish.
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// Keys maps the digest of each key to the name of its workspace.
	Keys   map[crocushollow.Digest]string
	Limits RequestLimits
}

// Catalog is one version of the operators' table. It is immutable.
type Catalog struct {
	version    int64
	limits     RequestLimits
	hosts      map[string]hostRoutes
	services   map[string]*Service
	workspaces map[string]*Workspace
	keys       map[crocushollow.Digest]*Workspace
}

// ErrInvalid reports a table that cannot be in force.
var ErrInvalid = errors.New("invalid table")

// New returns the catalog of a version, or an error that wraps ErrInvalid.
func New(config Config) (*Catalog, error) {
	c := &Catalog{
		version:    config.Version,
		limits:     config.Limits,
		hosts:      make(map[string]hostRoutes),
		services:   make(map[string]*Service, len(config.Services)),
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
			return nil, fmt.Errorf("%w: key of unknown workspace %q", ErrInvalid, name)
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
		return fmt.Errorf("%w: path prefix %q of route %q does not begin and end with /", ErrInvalid, route.PathPrefix, route.Name)
	}
	route.MaxAttempts = max(route.MaxAttempts, 1)
	host := strings.ToLower(route.Host)
	if c.hosts[host] == nil {
		c.hosts[host] = make(hostRoutes)
	}
	c.hosts[host][route.PathPrefix] = route
	return nil
}

// Version returns the version that the catalog was published as.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the bounds for callers.
func (c *Catalog) Limits() RequestLimits { return c.limits }

// Match returns the route of a host and a path: that with the longest prefix.
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

// Service returns the service of a name.
func (c *Catalog) Service(name string) (*Service, bool) {
	service, found := c.services[name]
	return service, found
}

// Services returns all services by name. The map must not be changed.
func (c *Catalog) Services() map[string]*Service { return c.services }

// WorkspaceByKey returns the workspace that holds a key.
func (c *Catalog) WorkspaceByKey(digest crocushollow.Digest) (*Workspace, bool) {
	workspace, found := c.keys[digest]
	return workspace, found
}

// Workspaces returns all workspaces by name. The map must not be changed.
func (c *Catalog) Workspaces() map[string]*Workspace { return c.workspaces }

// RequiresAPIKey reports whether requests need a key.
func (c *Catalog) RequiresAPIKey() bool { return len(c.workspaces) > 0 }
