package executor

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
)

// suspectEventTimeout is the maximum time to publish an event about a suspect
// request. A retry waits for it, so that all instances learn of the crash first.
const suspectEventTimeout = 2 * time.Second

var (
	errCrashesUpstreams = rejecter.New(http.StatusUnprocessableEntity, rejecter.RequestCrashesUpstreams,
		"upstreams crashed or closed the connection while they ran this request; it is not retried")
	errRetryInProgress = rejecter.New(http.StatusServiceUnavailable, rejecter.RequestCrashesUpstreams,
		"an upstream crashed or closed the connection while it ran this request; it is being retried once").WithRetryAfter(time.Second)
)

// computeFingerprint returns a hash that identifies the request on every instance.
func (r *modelRun) computeFingerprint() crocushollow.Digest {
	hash := sha256.New()
	_, _ = hash.Write([]byte(r.identity.Workspace.ID + " " + string(r.call.Endpoint) + "\n"))
	_, _ = hash.Write(r.call.Body)
	var digest crocushollow.Digest
	hash.Sum(digest[:0])
	return digest
}

// checkSuspect rejects a request that has crashed upstreams, unless this run has
// the right to retry it.
func (r *modelRun) checkSuspect(ctx context.Context) error {
	state := r.executor.config.View().State
	suspect, found := state.Suspect(r.fingerprint)
	switch {
	case !found, state.IsExonerated(suspect):
		return nil
	case suspect.ReachedCrashLimit():
		return errCrashesUpstreams
	case r.mayRetry(suspect):
		return nil
	case suspect.RetryClaim != nil && state.IsJoined(suspect.RetryClaim.Member):
		return errRetryInProgress
	}
	r.suspectEvent = r.newSuspectEvent(crocushollow.RetryClaimEvent)
	if !r.publishSuspectEvent(ctx, r.suspectEvent) {
		return errRetryInProgress
	}
	if suspect, found = r.executor.config.View().State.Suspect(r.fingerprint); found && !r.mayRetry(suspect) {
		return errRetryInProgress
	}
	r.ownsRetryClaim = true
	return nil
}

// mayRetry reports whether this run has the right to retry the request.
func (r *modelRun) mayRetry(suspect crocushollow.SuspectRequest) bool {
	return suspect.RetryClaim != nil && suspect.RetryClaim.Attempt == r.suspectEvent.Attempt
}

func (r *modelRun) newSuspectEvent(kind crocushollow.SuspectEventKind) crocushollow.SuspectEvent {
	return crocushollow.SuspectEvent{
		Fingerprint: r.fingerprint,
		Attempt:     crocushollow.NewID(),
		Member:      r.executor.config.View().Self.MemberID(),
		Kind:        kind,
	}
}

// publishSuspectEvent publishes an event and reports whether it is applied to the
// local state.
func (r *modelRun) publishSuspectEvent(ctx context.Context, event crocushollow.SuspectEvent) bool {
	ctx, cancel := context.WithTimeout(ctx, suspectEventTimeout)
	defer cancel()
	err := r.executor.publish(ctx, crocushollow.Record{
		Author: event.Member, SuspectEvents: []crocushollow.SuspectEvent{event},
	})
	if err != nil {
		r.executor.config.Logger.Warn().Err(err).Msg("failed to publish an event about a suspect request")
	}
	return err == nil
}

// isCrash reports whether an attempt ended as if the upstream had crashed. Timeouts
// and refused connections do not count.
func isCrash(ctx context.Context, err error) bool {
	var sendErr *SendError
	if errors.As(err, &sendErr) && !sendErr.MayHaveRun {
		return false
	}
	var apiErr *rejecter.Error
	return ctx.Err() == nil && !errors.As(err, &apiErr) && !errors.Is(err, ErrReadTimeout)
}

// recordCrash publishes that an attempt crashed its upstream. If the log is
// unavailable, only this instance knows about it.
func (r *modelRun) recordCrash(ctx context.Context, upstream string) {
	r.crashes++
	r.reloadDeadline = time.Now().Add(reloadTimeout)
	r.suspectEvent = r.newSuspectEvent(crocushollow.CrashEvent)
	r.suspectEvent.Upstream = upstream
	r.suspectEvent.ProducedOutput = r.progress.Events > r.eventsBeforeAttempt
	if !r.suspectEvent.ProducedOutput {
		r.suspectEvent = r.suspectEvent.WithParts(r.call.Parts, time.Now())
	}
	r.publishSuspectEvent(ctx, r.suspectEvent)
}

// Timeouts of a request after its upstream crashed.
const (
	exonerationTimeout = 3 * time.Second
	reloadTimeout      = 10 * time.Second
	reloadPollInterval = 100 * time.Millisecond
)

// awaitExoneration waits until another request is found to have caused the crashes,
// and reports whether that happened. The request may then go to the same upstreams
// again, which have restarted in the meantime.
func (r *modelRun) awaitExoneration(ctx context.Context) bool {
	deadline := time.NewTimer(exonerationTimeout)
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

// awaitReload reports whether the request should be tried again because upstreams
// may still be loading its model after a crash. It pauses before it returns true.
func (r *modelRun) awaitReload(ctx context.Context, err error) bool {
	var apiErr *rejecter.Error
	isUnavailable := errors.Is(err, errRejected) || errors.As(err, &apiErr) && apiErr.Code == rejecter.NoUpstream
	return isUnavailable && time.Now().Before(r.reloadDeadline) && pause(ctx, reloadPollInterval)
}

// publishConclusion publishes in the background how a suspect request ended.
func (r *modelRun) publishConclusion(kind crocushollow.SuspectEventKind) {
	if r.crashes == 0 && !r.ownsRetryClaim {
		return
	}
	conclusion := r.newSuspectEvent(kind)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), resultTimeout)
		defer cancel()
		r.publishSuspectEvent(ctx, conclusion)
	}()
}
