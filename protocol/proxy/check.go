package proxy

import (
	"context"
	"time"

	"github.com/crocushollow/crocushollow/protocol/rejecter"
)

// Clearance is what is known of a call whose body has not been read yet.
type Clearance struct {
	// Workspace is empty unless the caller has the key of one.
	Workspace string
	// IsKnown reports whether the caller has the key of a workspace.
	IsKnown bool
	// Deadline is the time by which the call must have been served.
	Deadline time.Time
}

// Check decides whether the body of a call is to be read, by the route and the API key alone.
// Serve decides again once the body was read.
func (p *Proxy) Check(call *Call) (Clearance, *rejecter.Error) {
	r := &run{proxy: p, call: call}
	if apiErr := r.identify(); apiErr != nil {
		return Clearance{}, apiErr
	}
	return Clearance{Workspace: r.record.Workspace, IsKnown: r.workspace != nil, Deadline: r.deadline}, nil
}

// Refuse sends an error in the place of a call whose body was not read, and records it.
func (p *Proxy) Refuse(ctx context.Context, call *Call, apiErr *rejecter.Error, w ResponseWriter) {
	r := &run{proxy: p, call: call, writer: w, readAt: p.config.Now(), record: CallRecord{Call: call}}
	defer r.finish(ctx)
	// The record names the route and the workspace if they are known.
	_ = r.identify()
	r.writeError(apiErr)
}

// identify matches the route, authenticates the caller and sets the deadline.
func (r *run) identify() *rejecter.Error {
	table := r.proxy.config.Catalog()
	if table == nil {
		return errNoTable
	}
	r.record.TableVersion = table.Version()
	route, found := table.Match(r.call.Host, r.call.Path)
	if !found {
		return errNoRoute
	}
	r.route, r.record.Route = route, route
	if apiErr := r.authenticate(table); apiErr != nil {
		return apiErr
	}
	r.deadline = r.call.ArrivedAt.Add(route.Timeout)
	if r.call.CallerTimeout > 0 && (route.Timeout <= 0 || r.call.CallerTimeout < route.Timeout) {
		r.deadline = r.call.ArrivedAt.Add(r.call.CallerTimeout)
	}
	return nil
}
