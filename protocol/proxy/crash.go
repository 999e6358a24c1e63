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
	now := config.Now()
	if r.stream.events == 0 {
		config.Quarantiner.RecordCrash(r.fingerprint, now)
	}
	if r.stream.eventsOfAttempt() > maxEventsBeforeCrash || len(r.parts) == 0 || !r.proxy.hasEnded(upstream) {
		return
	}
	config.Parts.RecordCrash(quarantiner.Suspicion{
		Crash: xxhash.Sum64String(incarnationOf(upstream)), Request: uint64(r.fingerprint), Parts: r.parts,
	}, config.Now())
}

// endCheckTimeout bounds the check whether an upstream has ended.
const endCheckTimeout = 250 * time.Millisecond

// hasEnded reports whether an incarnation of an upstream has ended. A lost connection
// does not show it: responses and connections are lost without a crash too.
func (p *Proxy) hasEnded(upstream *catalog.Upstream) bool {
	ended, _, _ := p.endChecks.Do(incarnationOf(upstream), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
		defer cancel()
		return p.config.HasEnded(ctx, upstream), nil
	})
	return ended == true
}

// incarnationOf returns a text that is unique to an incarnation of an upstream.
func incarnationOf(upstream *catalog.Upstream) string {
	return upstream.ID + " " + strconv.FormatInt(upstream.StartUnixMilli, 10)
}

// quarantineError returns the error of a call whose prompt has a part that was found to
// crash upstreams while the call waited.
func (r *run) quarantineError() *rejecter.Error {
	if r.mayHaveRun {
		return errUpstreamFailed
	}
	return errPartCrashesUpstreams
}
