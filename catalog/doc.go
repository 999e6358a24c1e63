// Package catalog defines the configuration of a site whose operators publish
// their table as complete versions: routes, services, workspaces and API keys. It
// also defines the upstreams, which register themselves.
package catalog
