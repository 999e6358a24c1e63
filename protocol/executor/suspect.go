package executor

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/protocol/apierror"
)

// suspicionTimeout bounds how long a retry waits until every instance can know
// that the first attempt broke off an upstream.
const suspicionTimeout = 2 * time.Second

var (
	errHarmful = apierror.New(http.StatusUnprocessableEntity, apierror.RequestCrashesUpstreams,
		"upstreams have broken off while they ran this request; it is not tried again")
	errSuspected = apierror.New(http.StatusServiceUnavailable, apierror.RequestCrashesUpstreams,
		"an upstream broke off while it ran this request; it is being tried once more").WithRetryAfter(time.Second)
)

// fingerprintOf identifies a model request wherever it is sent.
func (r *modelRun) fingerprintOf() crocushollow.Digest {
	hash := sha256.New()
	_, _ = hash.Write([]byte(r.identity.Workspace.ID + " " + string(r.call.Endpoint) + "\n"))
	_, _ = hash.Write(r.call.Body)
	var digest crocushollow.Digest
	hash.Sum(digest[:0])
	return digest
}

// checkSuspect refuses a request that has broken off upstreams, unless this run
// is the one that may try it again.
func (r *modelRun) checkSuspect(ctx context.Context) error {
	state := r.executor.config.View().State
	suspect, found := state.Suspect(r.fingerprint)
	switch {
	case !found, state.IsExonerated(suspect):
		return nil
	case suspect.ReachedCrashLimit():
		return errHarmful
	case r.isTrier(suspect):
		return nil
	case suspect.RetryClaim != nil && state.IsJoined(suspect.RetryClaim.Member):
		return errSuspected
	}
	r.suspicion = r.newSuspicion(crocushollow.RetryClaimEvent)
	if !r.publishSuspicion(ctx, r.suspicion) {
		return errSuspected
	}
	if suspect, found = r.executor.config.View().State.Suspect(r.fingerprint); found && !r.isTrier(suspect) {
		return errSuspected
	}
	r.isTrial = true
	return nil
}

// isTrier reports whether this run may try the request again.
func (r *modelRun) isTrier(suspect crocushollow.SuspectRequest) bool {
	return suspect.RetryClaim != nil && suspect.RetryClaim.Attempt == r.suspicion.Attempt
}

func (r *modelRun) newSuspicion(kind crocushollow.SuspectEventKind) crocushollow.SuspectEvent {
	return crocushollow.SuspectEvent{
		Fingerprint: r.fingerprint,
		Attempt:     crocushollow.NewID(),
		Member:      r.executor.config.View().Self.MemberID(),
		Kind:        kind,
	}
}

// publishSuspicion reports whether a record about the request is applied here.
func (r *modelRun) publishSuspicion(ctx context.Context, suspicion crocushollow.SuspectEvent) bool {
	ctx, cancel := context.WithTimeout(ctx, suspicionTimeout)
	defer cancel()
	err := r.executor.publish(ctx, crocushollow.Record{
		Author: suspicion.Member, SuspectEvents: []crocushollow.SuspectEvent{suspicion},
	})
	if err != nil {
		r.executor.config.Logger.Warn().Err(err).Msg("suspicion against a request not published")
	}
	return err == nil
}

// isBrokenOff reports whether an attempt ended as if the upstream had crashed.
// Silence and refused connections are something else.
func isBrokenOff(ctx context.Context, err error) bool {
	var sendErr *SendError
	if errors.As(err, &sendErr) && !sendErr.MayHaveRun {
		return false
	}
	var refusal *apierror.Error
	return ctx.Err() == nil && !errors.As(err, &refusal) && !errors.Is(err, ErrReadTimeout)
}

// suspect publishes that an attempt has broken off its upstream. Without the
// log only this instance knows.
func (r *modelRun) suspect(ctx context.Context, upstream string) {
	r.crashes++
	r.reloadUntil = time.Now().Add(reloadWait)
	r.suspicion = r.newSuspicion(crocushollow.CrashEvent)
	r.suspicion.Upstream = upstream
	r.suspicion.ProducedOutput = r.progress.Events > r.eventsBefore
	r.publishSuspicion(ctx, r.suspicion)
}

// Waits of a request whose upstream broke off.
const (
	exonerationWait = 3 * time.Second
	reloadWait      = 10 * time.Second
	reloadPoll      = 100 * time.Millisecond
)

// awaitExoneration waits until another request explains the crashes, and
// reports whether it does. The request may then meet the upstreams again, which
// have restarted since.
func (r *modelRun) awaitExoneration(ctx context.Context) bool {
	deadline := time.NewTimer(exonerationWait)
	defer deadline.Stop()
	for {
		view := r.executor.config.View()
		suspect, found := view.State.Suspect(r.fingerprint)
		if found && view.State.IsExonerated(suspect) {
			r.request.Tried = nil
			return true
		}
		if !found || suspect.IsLikelyCause() {
			return false
		}
		select {
		case <-view.Superseded:
		case <-deadline.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// isReloading reports whether a request that was broken off should wait for
// upstreams to load its model again, after a short pause.
func (r *modelRun) isReloading(ctx context.Context, err error) bool {
	var refusal *apierror.Error
	isAway := errors.Is(err, errRefused) || errors.As(err, &refusal) && refusal.Code == apierror.NoUpstream
	return isAway && time.Now().Before(r.reloadUntil) && pause(ctx, reloadPoll)
}

// conclude publishes in the background how a suspected request has ended.
func (r *modelRun) conclude(kind crocushollow.SuspectEventKind) {
	if r.crashes == 0 && !r.isTrial {
		return
	}
	ending := r.newSuspicion(kind)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), resultTimeout)
		defer cancel()
		r.publishSuspicion(ctx, ending)
	}()
}
