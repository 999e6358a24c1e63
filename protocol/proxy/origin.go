package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/state/pinner"
	"github.com/crocushollow/crocushollow/state/selector"
)

// StreamOrigins knows which software version began a stream, at any instance.
type StreamOrigins interface {
	// Begin records the origin of the stream that an attempt with a request ID has begun.
	// Its caller may take it up until the given time.
	Begin(requestID string, origin pinner.Origin, until time.Time)
	// Find returns the origin of the stream that an attempt with a request ID has begun at
	// a service. It returns false if the origin is not known for certain.
	Find(ctx context.Context, requestID, service string) (pinner.Origin, bool)
}

// errUnknownOrigin rejects a call that takes up a stream of unknown origin.
var errUnknownOrigin = rejecter.New(http.StatusServiceUnavailable, rejecter.UnknownOrigin,
	"it is not known which software version began the stream").WithRetryAfter(unknownOriginRetryAfter)

// unknownOriginRetryAfter is the delay after which a caller may try another instance, which
// may know the stream.
const unknownOriginRetryAfter = 200 * time.Millisecond

// streamRequestID returns the request ID of the attempt that began the call's stream.
func (c *Call) streamRequestID() string {
	if c.LastEventID != "" && c.Resumes != "" {
		return c.Resumes
	}
	return c.ID
}

// takeUp prepares a call that takes up a stream. It returns an error if it is not known
// which upstreams may continue it.
func (r *run) takeUp(ctx context.Context) *rejecter.Error {
	if r.call.LastEventID == "" || r.route.Kind != catalog.Streaming {
		return nil
	}
	origin, isKnown := r.proxy.config.Origins.Find(ctx, r.call.streamRequestID(), r.request.Service)
	if !isKnown || !r.route.HasService(origin.Service) {
		return errUnknownOrigin
	}
	r.request.Service = origin.Service
	r.stream.softwareVersion, r.stream.lastID = origin.Version, r.call.LastEventID
	return nil
}

// errUnknownIncarnation ends an attempt whose upstream may be another process than the one that
// is registered, which may run other software.
var errUnknownIncarnation = errors.New("the upstream may have started again with other software")

// confirmOrigin returns an error unless the upstream that has sent the first event of a stream
// is the registered process, so that its software version is known. Since a process that ended
// does not come back, the check covers the time before it too.
func (r *run) confirmOrigin(ctx context.Context, reservation *selector.Reservation) error {
	config := &r.proxy.config
	if !r.route.IsResumable() || config.AreRegistrationsCurrent() && !reservation.MayHaveRestarted(config.Now()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := config.ConfirmIncarnation(ctx, &reservation.Upstream); err != nil {
		return errors.Join(errUnknownIncarnation, err)
	}
	return nil
}

// recordOrigin records what began the stream, before its caller gets the first event.
func (r *run) recordOrigin(upstream *catalog.Upstream) {
	r.stream.softwareVersion = upstream.SoftwareVersion
	if r.call.LastEventID != "" || !r.route.IsResumable() {
		return
	}
	until := r.deadline
	if r.call.CallerTimeout > 0 {
		until = r.call.ArrivedAt.Add(r.call.CallerTimeout)
	}
	origin := pinner.Origin{Service: r.request.Service, Version: upstream.SoftwareVersion}
	r.proxy.config.Origins.Begin(r.call.ID, origin, until)
}
