// Package admitter applies the fleet-wide limits to requests.
package admitter

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/protocol/apierror"
	"github.com/crocushollow/crocushollow/state/limiter"
)

// borrowWait bounds how long a request waits for units from the limit's owner
// before it is refused.
const borrowWait = 600 * time.Millisecond

// LimitClient asks the owner of a limit for units.
type LimitClient interface {
	// Want asks for what is missing. The channel is closed at the owner's next
	// decision on the limit.
	Want(key limiter.ResourceKey, shortfall float64) <-chan struct{}
}

// tracer makes the spans of waits for a limit's owner.
var tracer = otel.Tracer("github.com/crocushollow/crocushollow/protocol/admitter")

// Admitter is safe for concurrent use.
type Admitter struct {
	parts  *limiter.Registry
	lender LimitClient
}

// New returns an admitter for an instance's parts of the limits.
func New(parts *limiter.Registry, lender LimitClient) *Admitter {
	return &Admitter{parts: parts, lender: lender}
}

// Admission is the right of one request to run. It must be ended once.
type Admission struct {
	bucket  *limiter.Bucket
	charged float64
	flights []*limiter.Semaphore
}

// Release releases the limits on requests in flight and corrects the charge by the
// tokens that were used.
func (a *Admission) Release(used float64) {
	for _, flight := range a.flights {
		flight.Release()
	}
	a.bucket.Settle(a.charged, used, time.Now())
}

// ChargedTokens returns the tokens that were charged.
func (a *Admission) ChargedTokens() float64 { return a.charged }

// Admit charges a workspace and counts the request as in flight. The error is
// a *apierror.Error.
func (a *Admitter) Admit(ctx context.Context, workspace crocushollow.Workspace, model crocushollow.Model, tokens int64) (*Admission, error) {
	if tokens > workspace.TokenBurst {
		return nil, apierror.New(http.StatusBadRequest, apierror.ExceedsBurst,
			"the request may use more tokens than the workspace's burst")
	}
	deadline := time.Now().Add(borrowWait)
	admission := &Admission{charged: float64(tokens)}
	bucket, err := a.charge(ctx, workspace, admission.charged, deadline)
	if err != nil {
		return nil, err
	}
	admission.bucket = bucket
	err = a.enter(ctx, admission, limiter.ResourceKey{Kind: limiter.WorkspaceFlight, ID: workspace.ID}, workspace.MaxInFlight, deadline)
	if err == nil {
		err = a.enter(ctx, admission, limiter.ResourceKey{Kind: limiter.ModelFlight, ID: model.ID}, model.MaxInFlight, deadline)
	}
	if err != nil {
		admission.Release(0)
		return nil, err
	}
	return admission, nil
}

func (a *Admitter) charge(ctx context.Context, workspace crocushollow.Workspace, tokens float64, deadline time.Time) (*limiter.Bucket, error) {
	key := limiter.ResourceKey{Kind: limiter.TokenRate, ID: workspace.ID}
	rate := limiter.Rate{PerSecond: float64(workspace.TokenRate), Burst: float64(workspace.TokenBurst)}
	now := time.Now()
	bucket := a.parts.Bucket(key, rate, now)
	if bucket.Take(tokens, now) {
		return bucket, nil
	}
	ctx, span := tracer.Start(ctx, "peer call")
	defer span.End()
	for now.Before(deadline) {
		decided := a.lender.Want(key, bucket.Shortfall(tokens, now))
		if !wait(ctx, decided, deadline) {
			break
		}
		now = time.Now()
		if bucket.Retake(tokens, now) {
			return bucket, nil
		}
		if missing := bucket.Shortfall(tokens, now); missing/rate.PerSecond > time.Until(deadline).Seconds() {
			break
		}
		pause(ctx, retakePause)
	}
	missing := bucket.Shortfall(tokens, time.Now())
	after := time.Duration(missing / rate.PerSecond * float64(time.Second))
	return nil, apierror.New(http.StatusTooManyRequests, apierror.RateLimited,
		"the workspace is over its token rate").WithRetryAfter(max(after, time.Millisecond))
}

// retakePause is the time between two tries to be granted units.
const retakePause = 20 * time.Millisecond

func (a *Admitter) enter(ctx context.Context, admission *Admission, key limiter.ResourceKey, limit int64, deadline time.Time) error {
	if limit == 0 {
		return nil
	}
	flight := a.parts.Semaphore(key)
	for !flight.Acquire() {
		if !wait(ctx, a.lender.Want(key, 1), deadline) {
			return apierror.New(http.StatusTooManyRequests, apierror.RateLimited,
				"too many requests in flight").WithRetryAfter(time.Second)
		}
		pause(ctx, retakePause/4)
	}
	admission.flights = append(admission.flights, flight)
	return nil
}

// wait reports whether the channel was closed before the deadline.
func wait(ctx context.Context, decided <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-decided:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
