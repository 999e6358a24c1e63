// Package authenticator finds the workspace of a request by the caller's key
// and ends requests whose key is withdrawn while they run.
package authenticator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"sync"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/protocol/apierror"
)

// Identity is on whose behalf a request runs. Its zero value stands for a
// caller of an open route.
type Identity struct {
	Workspace crocushollow.Workspace
	// APIKeyID is the primary key of the caller's key, never the secret.
	APIKeyID string
}

// bearerPrefix starts the value of the Authorization header.
const bearerPrefix = "Bearer "

var errInvalidKey = apierror.New(http.StatusUnauthorized, apierror.InvalidAPIKey, "the key is missing, unknown or withdrawn")

// Authenticate returns the identity behind a request's Authorization header.
// The error is an *apierror.Error.
func Authenticate(table *crocushollow.Table, header http.Header) (Identity, error) {
	authorization := header.Get("Authorization")
	if len(authorization) <= len(bearerPrefix) || !strings.EqualFold(authorization[:len(bearerPrefix)], bearerPrefix) {
		return Identity{}, errInvalidKey
	}
	digest := crocushollow.DigestKey(authorization[len(bearerPrefix):])
	key, found := table.APIKeyByDigest(digest)
	if !found || subtle.ConstantTimeCompare(key.Digest[:], digest[:]) != 1 || key.Withdrawn {
		return Identity{}, errInvalidKey
	}
	workspace, found := table.Workspace(key.Workspace)
	if !found {
		return Identity{}, errInvalidKey
	}
	return Identity{Workspace: workspace, APIKeyID: key.ID}, nil
}

// isValid reports whether a key may still be used for a workspace.
func isValid(table *crocushollow.Table, identity Identity) bool {
	entry := table.Entry(crocushollow.RowRef{Table: crocushollow.APIKeyTable, ID: identity.APIKeyID})
	key, isKey := entry.Row.(crocushollow.APIKey)
	if !isKey || key.Withdrawn || key.Workspace != identity.Workspace.ID {
		return false
	}
	_, found := table.Workspace(key.Workspace)
	return found
}

// ActiveRequests holds the requests that run under each key. It is safe for
// concurrent use.
type ActiveRequests struct {
	mu    sync.Mutex
	byKey map[string]map[*session]struct{}
}

type session struct {
	identity Identity
	cancel   context.CancelCauseFunc
}

// NewActiveRequests returns a registry without requests.
func NewActiveRequests() *ActiveRequests {
	return &ActiveRequests{byKey: make(map[string]map[*session]struct{})}
}

// Track returns a context that ends with the key and a function that must be
// called at the end of the request.
func (s *ActiveRequests) Track(ctx context.Context, identity Identity) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if identity.APIKeyID == "" {
		return ctx, func() { cancel(nil) }
	}
	begun := &session{identity: identity, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byKey[identity.APIKeyID] == nil {
		s.byKey[identity.APIKeyID] = make(map[*session]struct{})
	}
	s.byKey[identity.APIKeyID][begun] = struct{}{}
	return ctx, func() { s.end(begun) }
}

func (s *ActiveRequests) end(ended *session) {
	ended.cancel(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byKey[ended.identity.APIKeyID], ended)
	if len(s.byKey[ended.identity.APIKeyID]) == 0 {
		delete(s.byKey, ended.identity.APIKeyID)
	}
}

// ErrKeyWithdrawn ends requests whose key is withdrawn. The upstream may have run
// them.
var ErrKeyWithdrawn = apierror.New(http.StatusUnauthorized, apierror.KeyWithdrawn,
	"the key was withdrawn while the request ran").WithOutcome(crocushollow.OutcomeUnknown)

// ErrInstanceIsolated ends requests of an instance that cannot tell whether their keys
// are withdrawn.
var ErrInstanceIsolated = apierror.New(http.StatusServiceUnavailable, apierror.InstanceIsolated,
	"the instance is cut off from its peers and the log").WithOutcome(crocushollow.OutcomeUnknown)

// CancelWithdrawn ends the requests whose key is no longer valid.
func (s *ActiveRequests) CancelWithdrawn(table *crocushollow.Table) {
	s.endWhere(ErrKeyWithdrawn, func(identity Identity) bool { return !isValid(table, identity) })
}

// CancelAll ends every request that runs under a key.
func (s *ActiveRequests) CancelAll() {
	s.endWhere(ErrInstanceIsolated, func(Identity) bool { return true })
}

func (s *ActiveRequests) endWhere(cause error, ends func(Identity) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sessions := range s.byKey {
		for running := range sessions {
			if ends(running.identity) {
				running.cancel(cause)
			}
		}
	}
}
