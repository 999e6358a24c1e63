package crocushollow

import (
	"strings"
	"time"
)

// Route sends requests below a path prefix to upstreams that are services.
type Route struct {
	// ID is the primary key.
	ID string `json:"id" cell:"id"`
	// PathPrefix starts with a slash. The longest matching prefix wins.
	PathPrefix string `json:"path_prefix" cell:"path_prefix"`
	// Upstreams lists the IDs of the upstreams that serve the route.
	Upstreams []string `json:"upstreams" cell:"upstreams"`
	// AllowAnonymous accepts requests without an API key.
	AllowAnonymous bool `json:"open" cell:"open"`
	// Retryable allows a request to be retried after a failure.
	Retryable bool `json:"repeatable" cell:"repeatable"`
	// Timeout is the maximum duration of a request.
	Timeout time.Duration `json:"timeout" cell:"timeout"`
}

// Ref implements Row.
func (r Route) Ref() RowRef { return RowRef{Table: RouteTable, ID: r.ID} }

// References implements Row.
func (r Route) References() []RowRef {
	refs := make([]RowRef, 0, len(r.Upstreams))
	for _, id := range r.Upstreams {
		refs = append(refs, RowRef{Table: UpstreamTable, ID: id})
	}
	return refs
}

// Validate implements Row.
func (r Route) Validate() error {
	if !strings.HasPrefix(r.PathPrefix, "/") {
		return &CellError{Column: "path_prefix", Reason: "must start with /"}
	}
	if r.PathPrefix == "/v1" || strings.HasPrefix(r.PathPrefix, "/v1/") || r.PathPrefix == "/" {
		return &CellError{Column: "path_prefix", Reason: "must not overlap /v1, which is reserved for the model API"}
	}
	if len(r.Upstreams) == 0 {
		return &CellError{Column: "upstreams", Reason: "must name at least one upstream"}
	}
	return firstError(
		validateID("id", r.ID),
		requirePositive("timeout", int64(r.Timeout)),
	)
}

// Matches reports whether the route matches the path.
func (r Route) Matches(path string) bool {
	if !strings.HasPrefix(path, r.PathPrefix) {
		return false
	}
	rest := path[len(r.PathPrefix):]
	return rest == "" || rest[0] == '/' || strings.HasSuffix(r.PathPrefix, "/")
}
