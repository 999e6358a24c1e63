// Package admitter admits requests within the fleet-wide limits of workspaces and
// models.
package admitter

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/state/limiter"
)

// limitTimeout is the maximum time that a request waits for tokens or permits from
// the owner of a limit.
const limitTimeout = 600 * time.Millisecond

// LimitClient requests tokens and permits from the owner of a limit.
type LimitClient interface {
	// RequestQuota requests the missing amount. The channel is closed at the owner's
	// next decision on the limit.
	RequestQuota(key limiter.ResourceKey, shortfall float64) <-chan struct{}
}

// tracer creates the spans of requests to the owner of a limit.
var tracer = otel.Tracer("github.com/crocushollow/crocushollow/protocol/admitter")

// Admitter applies limits to requests. It is safe for concurrent use.
type Admitter struct {
	limits *limiter.Registry
	client LimitClient
}

// New returns an admitter that uses the instance's shares of the limits.
func New(limits *limiter.Registry, client LimitClient) *Admitter {
	return &Admitter{limits: limits, client: client}
}

// Admission is the admission of one request. It must be released exactly once.
type Admission struct {
	bucket  *limiter.Bucket
	charged float64
	permits []*limiter.Semaphore
}

// Release frees the permits of the request and corrects the charge to the number of
// tokens that it used.
func (a *Admission) Release(used float64) {
	for _, semaphore := range a.permits {
		semaphore.Release()
	}
	a.bucket.Settle(a.charged, used, time.Now())
}

// ChargedTokens returns the number of tokens that the request was charged for.
func (a *Admission) ChargedTokens() float64 { return a.charged }

// Admit charges the workspace for the tokens and acquires a permit of the workspace
// and one of the model. The error is an *rejecter.Error.
func (a *Admitter) Admit(ctx context.Context, workspace crocushollow.Workspace, model crocushollow.Model, tokens int64) (*Admission, error) {
	if tokens > workspace.TokenBurst {
		return nil, rejecter.New(http.StatusBadRequest, rejecter.ExceedsBurst,
			"the request may use more tokens than the workspace's burst allows")
	}
	deadline := time.Now().Add(limitTimeout)
	admission := &Admission{charged: float64(tokens)}
	bucket, err := a.charge(ctx, workspace, admission.charged, deadline)
	if err != nil {
		return nil, err
	}
	admission.bucket = bucket
	err = a.acquirePermit(ctx, admission, limiter.ResourceKey{Kind: limiter.WorkspaceInFlight, ID: workspace.ID}, workspace.MaxInFlight, deadline)
	if err == nil {
		err = a.acquirePermit(ctx, admission, limiter.ResourceKey{Kind: limiter.ModelInFlight, ID: model.ID}, model.MaxInFlight, deadline)
	}
	if err != nil {
		admission.Release(0)
		return nil, err
	}
	return admission, nil
}

func (a *Admitter) charge(ctx context.Context, workspace crocushollow.Workspace, tokens float64, deadline time.Time) (*limiter.Bucket, error) {
	key := limiter.ResourceKey{Kind: limiter.TokenRate, ID: workspace.ID}
	rate := limiter.RateLimit{PerSecond: float64(workspace.TokenRate), Burst: float64(workspace.TokenBurst)}
	now := time.Now()
	bucket := a.limits.Bucket(key, rate, now)
	if bucket.Take(tokens, now) {
		return bucket, nil
	}
	ctx, span := tracer.Start(ctx, "peer call")
	defer span.End()
	for now.Before(deadline) {
		decided := a.client.RequestQuota(key, bucket.Shortfall(tokens, now))
		if !awaitDecision(ctx, decided, deadline) {
			break
		}
		now = time.Now()
		if bucket.RetryTake(tokens, now) {
			return bucket, nil
		}
		if missing := bucket.Shortfall(tokens, now); missing/rate.PerSecond > time.Until(deadline).Seconds() {
			break
		}
		pause(ctx, retryDelay)
	}
	missing := bucket.Shortfall(tokens, time.Now())
	after := time.Duration(missing / rate.PerSecond * float64(time.Second))
	return nil, rejecter.New(http.StatusTooManyRequests, rejecter.RateLimited,
		"the workspace exceeded its token rate").WithRetryAfter(max(after, time.Millisecond))
}

// retryDelay is the time between two attempts to take granted tokens.
const retryDelay = 20 * time.Millisecond

func (a *Admitter) acquirePermit(ctx context.Context, admission *Admission, key limiter.ResourceKey, limit int64, deadline time.Time) error {
	if limit == 0 {
		return nil
	}
	semaphore := a.limits.Semaphore(key)
	for !semaphore.Acquire() {
		if !awaitDecision(ctx, a.client.RequestQuota(key, 1), deadline) {
			return rejecter.New(http.StatusTooManyRequests, rejecter.RateLimited,
				"too many requests in flight").WithRetryAfter(time.Second)
		}
		pause(ctx, retryDelay/4)
	}
	admission.permits = append(admission.permits, semaphore)
	return nil
}

// awaitDecision reports whether the channel was closed before the deadline.
func awaitDecision(ctx context.Context, decided <-chan struct{}, deadline time.Time) bool {
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
