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
	// Key is the primary key of the caller's key, never the secret.
	Key string
}

// bearerPrefix starts the value of the Authorization header.
const bearerPrefix = "Bearer "

var errInvalidKey = apierror.New(http.StatusUnauthorized, apierror.InvalidKey, "the key is missing, unknown or withdrawn")

// Authenticate returns the identity behind a request's Authorization header.
// The error is a *apierror.Refusal.
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
	return Identity{Workspace: workspace, Key: key.ID}, nil
}

// isValid reports whether a key may still be used for a workspace.
func isValid(table *crocushollow.Table, identity Identity) bool {
	entry := table.Entry(crocushollow.RowRef{Table: crocushollow.APIKeyTable, ID: identity.Key})
	key, isKey := entry.Row.(crocushollow.APIKey)
	if !isKey || key.Withdrawn || key.Workspace != identity.Workspace.ID {
		return false
	}
	_, found := table.Workspace(key.Workspace)
	return found
}

// Sessions holds the requests that run under each key. It is safe for
// concurrent use.
type Sessions struct {
	mu    sync.Mutex
	byKey map[string]map[*session]struct{}
}

type session struct {
	identity Identity
	cancel   context.CancelCauseFunc
}

// NewSessions returns a registry without requests.
func NewSessions() *Sessions {
	return &Sessions{byKey: make(map[string]map[*session]struct{})}
}

// Begin returns a context that ends with the key and a function that must be
// called at the end of the request.
func (s *Sessions) Begin(ctx context.Context, identity Identity) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if identity.Key == "" {
		return ctx, func() { cancel(nil) }
	}
	begun := &session{identity: identity, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byKey[identity.Key] == nil {
		s.byKey[identity.Key] = make(map[*session]struct{})
	}
	s.byKey[identity.Key][begun] = struct{}{}
	return ctx, func() { s.end(begun) }
}

func (s *Sessions) end(ended *session) {
	ended.cancel(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byKey[ended.identity.Key], ended)
	if len(s.byKey[ended.identity.Key]) == 0 {
		delete(s.byKey, ended.identity.Key)
	}
}

// ErrWithdrawn ends requests whose key is withdrawn. The upstream may have run
// them.
var ErrWithdrawn = apierror.New(http.StatusUnauthorized, apierror.KeyWithdrawn,
	"the key was withdrawn while the request ran").WithOutcome(crocushollow.OutcomeUnknown)

// ErrIsolated ends requests of an instance that cannot tell whether their keys
// are withdrawn.
var ErrIsolated = apierror.New(http.StatusServiceUnavailable, apierror.Isolated,
	"the instance is cut off from its peers and the log").WithOutcome(crocushollow.OutcomeUnknown)

// EndWithdrawn ends the requests whose key is no longer valid.
func (s *Sessions) EndWithdrawn(table *crocushollow.Table) {
	s.endWhere(ErrWithdrawn, func(identity Identity) bool { return !isValid(table, identity) })
}

// EndAll ends every request that runs under a key.
func (s *Sessions) EndAll() {
	s.endWhere(ErrIsolated, func(Identity) bool { return true })
}

func (s *Sessions) endWhere(cause error, ends func(Identity) bool) {
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
