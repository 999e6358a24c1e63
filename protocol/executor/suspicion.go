package executor

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/protocol/refuser"
)

// suspicionTimeout bounds how long a retry waits until every instance can know
// that the first attempt broke off an upstream.
const suspicionTimeout = 2 * time.Second

var (
	errHarmful = refuser.New(http.StatusUnprocessableEntity, refuser.HarmfulRequest,
		"upstreams have broken off while they ran this request; it is not tried again")
	errSuspected = refuser.New(http.StatusServiceUnavailable, refuser.HarmfulRequest,
		"an upstream broke off while it ran this request; it is being tried once more").WithRetryAfter(time.Second)
)

// fingerprintOf identifies a model request wherever it is sent.
func (r *modelRun) fingerprintOf() crocushollow.KeyDigest {
	hash := sha256.New()
	_, _ = hash.Write([]byte(r.identity.Workspace.ID + " " + string(r.call.Endpoint) + "\n"))
	_, _ = hash.Write(r.call.Body)
	var digest crocushollow.KeyDigest
	hash.Sum(digest[:0])
	return digest
}

// checkSuspect refuses a request that has broken off upstreams, unless this run
// is the one that may try it again.
func (r *modelRun) checkSuspect() error {
	state := r.executor.config.View().State
	suspect, found := state.Suspect(r.fingerprint)
	switch {
	case !found:
		return nil
	case suspect.IsHarmful():
		return errHarmful
	case suspect.First.Attempt == r.suspicion.Attempt, state.IsDeparted(suspect.First.Runner):
		return nil
	}
	return errSuspected
}

// isBrokenOff reports whether an attempt ended as if the upstream had crashed.
// Silence and refused connections are something else.
func isBrokenOff(ctx context.Context, err error) bool {
	var sendErr *SendError
	if errors.As(err, &sendErr) && !sendErr.MaybeRun {
		return false
	}
	var refusal *refuser.Refusal
	return ctx.Err() == nil && !errors.As(err, &refusal) && !errors.Is(err, ErrSilent)
}

// suspect publishes that an attempt has broken off its upstream. Without the
// log only this instance knows.
func (r *modelRun) suspect(ctx context.Context, attempt crocushollow.ID) {
	r.crashes++
	suspicion := crocushollow.Suspicion{
		Fingerprint: r.fingerprint,
		Attempt:     attempt,
		Runner:      r.executor.config.View().Self.Life(),
	}
	if r.crashes == 1 {
		r.suspicion = suspicion
	}
	ctx, cancel := context.WithTimeout(ctx, suspicionTimeout)
	defer cancel()
	if err := r.executor.publish(ctx, crocushollow.Record{
		Author: suspicion.Runner, Suspicions: []crocushollow.Suspicion{suspicion},
	}); err != nil {
		r.executor.config.Logger.Warn().Err(err).Msg("suspicion against a request not published")
	}
}

// clear withdraws the suspicion after the request has run.
func (r *modelRun) clear() {
	if r.crashes == 0 {
		return
	}
	cleared := r.suspicion
	cleared.Cleared = true
	executor := r.executor
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), resultTimeout)
		defer cancel()
		_ = executor.publish(ctx, crocushollow.Record{
			Author: cleared.Runner, Suspicions: []crocushollow.Suspicion{cleared},
		})
	}()
}
