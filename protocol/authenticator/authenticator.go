// Package authenticator identifies the workspace of a request by the caller's API
// key. It cancels running requests when their key is withdrawn.
package authenticator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"sync"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
)

// Identity is the workspace that a request runs for. The zero value stands for an
// anonymous caller.
type Identity struct {
	Workspace crocushollow.Workspace
	// APIKeyID is the primary key of the caller's API key. It is not the
	// secret.
	APIKeyID string
}

// bearerPrefix is the authentication scheme in the Authorization header.
const bearerPrefix = "Bearer "

var errInvalidAPIKey = rejecter.New(http.StatusUnauthorized, rejecter.InvalidAPIKey, "the API key is missing, unknown or withdrawn")

// Authenticate identifies the caller by the Authorization header. The error is an
// *rejecter.Error.
func Authenticate(table *crocushollow.Table, header http.Header) (Identity, error) {
	authorization := header.Get("Authorization")
	if len(authorization) <= len(bearerPrefix) || !strings.EqualFold(authorization[:len(bearerPrefix)], bearerPrefix) {
		return Identity{}, errInvalidAPIKey
	}
	digest := crocushollow.DigestKey(authorization[len(bearerPrefix):])
	key, found := table.APIKeyByDigest(digest)
	if !found || subtle.ConstantTimeCompare(key.Digest[:], digest[:]) != 1 || key.Withdrawn {
		return Identity{}, errInvalidAPIKey
	}
	workspace, found := table.Workspace(key.Workspace)
	if !found {
		return Identity{}, errInvalidAPIKey
	}
	return Identity{Workspace: workspace, APIKeyID: key.ID}, nil
}

// isValid reports whether an API key still exists and belongs to the workspace.
func isValid(table *crocushollow.Table, identity Identity) bool {
	entry := table.Entry(crocushollow.RowRef{Table: crocushollow.APIKeyTable, ID: identity.APIKeyID})
	key, isKey := entry.Row.(crocushollow.APIKey)
	if !isKey || key.Withdrawn || key.Workspace != identity.Workspace.ID {
		return false
	}
	_, found := table.Workspace(key.Workspace)
	return found
}

// ActiveRequests tracks the running requests of each API key. It is safe for
// concurrent use.
type ActiveRequests struct {
	mu    sync.Mutex
	byKey map[string]map[*activeRequest]struct{}
}

type activeRequest struct {
	identity Identity
	cancel   context.CancelCauseFunc
}

// NewActiveRequests returns an empty registry.
func NewActiveRequests() *ActiveRequests {
	return &ActiveRequests{byKey: make(map[string]map[*activeRequest]struct{})}
}

// Track returns a context that is canceled when the key is withdrawn, and a function
// that must be called at the end of the request.
func (a *ActiveRequests) Track(ctx context.Context, identity Identity) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if identity.APIKeyID == "" {
		return ctx, func() { cancel(nil) }
	}
	added := &activeRequest{identity: identity, cancel: cancel}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byKey[identity.APIKeyID] == nil {
		a.byKey[identity.APIKeyID] = make(map[*activeRequest]struct{})
	}
	a.byKey[identity.APIKeyID][added] = struct{}{}
	return ctx, func() { a.remove(added) }
}

func (a *ActiveRequests) remove(request *activeRequest) {
	request.cancel(nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byKey[request.identity.APIKeyID], request)
	if len(a.byKey[request.identity.APIKeyID]) == 0 {
		delete(a.byKey, request.identity.APIKeyID)
	}
}

// ErrKeyWithdrawn cancels requests whose API key was withdrawn. An upstream may have
// run them.
var ErrKeyWithdrawn = rejecter.New(http.StatusUnauthorized, rejecter.KeyWithdrawn,
	"the API key was withdrawn while the request ran").WithOutcome(crocushollow.OutcomeUnknown)

// ErrInstanceIsolated cancels requests on an instance that cannot find out whether
// their API keys were withdrawn.
var ErrInstanceIsolated = rejecter.New(http.StatusServiceUnavailable, rejecter.InstanceIsolated,
	"the instance is disconnected from its peers and the log").WithOutcome(crocushollow.OutcomeUnknown)

// CancelWithdrawn cancels the requests whose API key is no longer valid.
func (a *ActiveRequests) CancelWithdrawn(table *crocushollow.Table) {
	a.cancelWhere(ErrKeyWithdrawn, func(identity Identity) bool { return !isValid(table, identity) })
}

// CancelAll cancels all requests that run with an API key.
func (a *ActiveRequests) CancelAll() {
	a.cancelWhere(ErrInstanceIsolated, func(Identity) bool { return true })
}

func (a *ActiveRequests) cancelWhere(cause error, matches func(Identity) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, requests := range a.byKey {
		for request := range requests {
			if matches(request.identity) {
				request.cancel(cause)
			}
		}
	}
}
