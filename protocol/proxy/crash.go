package proxy

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/state/quarantiner"
)

// maxEventsBeforeCrash is the number of events up to which a call is suspected of having
// crashed its upstream. A call that crashes upstreams does so when its output begins.
const maxEventsBeforeCrash = 1

// recordCrash records that an upstream crashed or closed the connection while it ran
// this call.
func (r *run) recordCrash(upstream *catalog.Upstream) {
	config := &r.proxy.config
	hasNoOutput := r.stream.events == 0
	if hasNoOutput {
		config.Quarantiner.RecordCrash(r.fingerprint, incarnationOf(upstream), config.Now())
	}
	if r.stream.eventsOfAttempt() > maxEventsBeforeCrash || !r.proxy.hasEnded(upstream) {
		return
	}
	if hasNoOutput {
		config.Quarantiner.RecordEnd(r.fingerprint, incarnationOf(upstream), config.Now())
	}
	config.Parts.RecordCrash(quarantiner.Suspicion{
		Crash: uint64(incarnationOf(upstream)), Request: uint64(r.fingerprint), Parts: r.parts,
	}, config.Now())
}

// recordCompletion records that an upstream has completed this call with a response. The end
// of a connection is no evidence that the response is whole.
func (r *run) recordCompletion(upstream *catalog.Upstream, response *Response) {
	if !response.EndsWithConnection {
		r.proxy.config.Quarantiner.RecordCompletion(r.fingerprint, incarnationOf(upstream), r.proxy.config.Now())
	}
}

// endCheckTimeout bounds the check whether an upstream has ended.
const endCheckTimeout = 250 * time.Millisecond

// hasEnded reports whether an incarnation of an upstream has ended. A lost connection
// does not show it: responses and connections are lost without a crash too.
func (p *Proxy) hasEnded(upstream *catalog.Upstream) bool {
	ended, _, _ := p.endChecks.Do(incarnationText(upstream), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
		defer cancel()
		return p.config.HasEnded(ctx, upstream), nil
	})
	return ended == true
}

// incarnationOf returns a hash that identifies the incarnation of an upstream on all
// instances.
func incarnationOf(upstream *catalog.Upstream) quarantiner.Incarnation {
	return quarantiner.Incarnation(xxhash.Sum64String(incarnationText(upstream)))
}

// incarnationText returns a text that is unique to an incarnation of an upstream.
func incarnationText(upstream *catalog.Upstream) string {
	return upstream.ID + " " + strconv.FormatInt(upstream.StartUnixMilli, 10)
}

// checkParts rejects a call whose prompt has a part that crashes upstreams, unless the call
// may be a trial of that part.
func (r *run) checkParts(now time.Time) *rejecter.Error {
	parts := r.proxy.config.Parts
	if !parts.IsQuarantined(r.parts, now) {
		return nil
	}
	if r.isTrial = parts.IsTrialOpen(r.parts, now); !r.isTrial {
		return errPartCrashesUpstreams
	}
	return nil
}

// claimTrial announces a call that is to be a trial. It rejects the call if another one was
// faster.
func (r *run) claimTrial(now time.Time) *rejecter.Error {
	if r.isTrial && !r.proxy.config.Parts.ClaimTrial(r.parts, now) {
		return errPartCrashesUpstreams
	}
	return nil
}

// awaitTrial waits until all instances have heard that this call is to be a trial. It
// reports whether the call may go on.
func (r *run) awaitTrial(ctx context.Context) bool {
	return !r.isTrial || r.pause(ctx, quarantiner.ClaimTime)
}

// maySendParts reports whether the call may be sent to an upstream with its prompt.
func (r *run) maySendParts(now time.Time) bool {
	parts := r.proxy.config.Parts
	return !parts.IsQuarantined(r.parts, now) || r.isTrial && parts.TakeTrial(r.parts, now)
}

// quarantineError returns the error of a call whose prompt has a part that was found to
// crash upstreams while the call waited.
func (r *run) quarantineError() *rejecter.Error {
	if r.mayHaveRun {
		return errUpstreamFailed
	}
	return errPartCrashesUpstreams
}
