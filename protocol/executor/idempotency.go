package executor

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/codes"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/controller"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
)

// Timeouts of the log records of non-idempotent calls.
const (
	// claimTimeout is the maximum time to publish a claim before the call fails.
	claimTimeout = 3 * time.Second
	// resultTimeout is the maximum time to publish a result, retries included.
	resultTimeout = 10 * time.Minute
)

// runIdempotent runs a call with an idempotency key. The first claim in the log
// wins, and its owner runs the call. All other calls with the same key wait for the
// stored response. If there is none, they fail with an unknown outcome.
func (e *Executor) runIdempotent(ctx context.Context, run *serviceRun) (*serviceResponse, error) {
	claim := crocushollow.CallClaim{
		Key: crocushollow.IdempotencyKey{
			Workspace: run.identity.Workspace.ID,
			Key:       crocushollow.DigestKey(run.call.Route.ID + "/" + run.call.IdempotencyKey),
		},
		Attempt:     crocushollow.NewID(),
		Fingerprint: fingerprint(run.call),
	}
	view := e.config.View()
	if call, found := view.State.Call(claim.Key); found {
		return e.awaitCall(ctx, claim, call.Claim.Attempt)
	}
	claim.Owner = view.Self.MemberID()
	if err := e.publishClaim(ctx, claim); err != nil {
		return nil, err
	}
	call, found := e.config.View().State.Call(claim.Key)
	if !found {
		return nil, rejecter.New(http.StatusServiceUnavailable, rejecter.LogUnavailable,
			"the idempotency key could not be claimed").WithRetryAfter(time.Second)
	}
	if call.Claim.Attempt != claim.Attempt {
		return e.awaitCall(ctx, claim, call.Claim.Attempt)
	}
	return e.runClaimed(ctx, run, claim)
}

func fingerprint(call ServiceCall) crocushollow.Digest {
	hash := sha256.New()
	_, _ = hash.Write([]byte(call.Method + " " + call.Target + "\n"))
	_, _ = hash.Write(call.Body)
	var digest crocushollow.Digest
	hash.Sum(digest[:0])
	return digest
}

// publishClaim returns nil once the claim is applied to the local state, whether or
// not it has won. After an error the call does not run. It then publishes a result
// that releases the key, in case the claim reaches the log later.
func (e *Executor) publishClaim(ctx context.Context, claim crocushollow.CallClaim) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := e.publish(ctx, crocushollow.Record{
		Author:     claim.Owner,
		CallClaims: []crocushollow.CallClaim{claim},
	})
	if err == nil {
		return nil
	}
	e.publishResult(crocushollow.CallResult{Key: claim.Key, Attempt: claim.Attempt, NotRun: true})
	return rejecter.New(http.StatusServiceUnavailable, rejecter.LogUnavailable,
		"calls with an idempotency key need the platform's log, which is unavailable").WithRetryAfter(claimTimeout)
}

func (e *Executor) publish(ctx context.Context, record crocushollow.Record) error {
	ctx, span := tracer.Start(ctx, "log append")
	defer span.End()
	record.ID = crocushollow.NewID()
	err := e.config.Publisher.Publish(ctx, record)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return err
}

// publishResult publishes the result of a call in the background.
func (e *Executor) publishResult(result crocushollow.CallResult) {
	record := crocushollow.Record{
		Author:      e.config.View().Self.MemberID(),
		CallResults: []crocushollow.CallResult{result},
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), resultTimeout)
		defer cancel()
		if err := e.publish(ctx, record); err != nil {
			e.config.Logger.Warn().Err(err).Msg("failed to publish the result of a call")
		}
	}()
}

// runClaimed runs a call whose claim has won and publishes its result.
func (e *Executor) runClaimed(ctx context.Context, run *serviceRun, claim crocushollow.CallClaim) (*serviceResponse, error) {
	result := crocushollow.CallResult{Key: claim.Key, Attempt: claim.Attempt}
	response, err := run.tryUpstreams(ctx)
	switch {
	case err != nil:
		result.NotRun = !run.mayHaveRun
	case len(response.body) <= e.config.MaxStoredBytes:
		result.Response = &crocushollow.StoredResponse{
			Status:      response.status,
			ContentType: response.header.Get("Content-Type"),
			Body:        response.body,
		}
	}
	e.publishResult(result)
	return response, err
}

// awaitCall waits for the result of a call that another request runs.
func (e *Executor) awaitCall(ctx context.Context, claim crocushollow.CallClaim, attempt crocushollow.ID) (*serviceResponse, error) {
	for {
		view := e.config.View()
		call, found := view.State.Call(claim.Key)
		if !found || call.Claim.Attempt != attempt {
			return nil, rejecter.New(http.StatusConflict, rejecter.CallInProgress,
				"the call with this idempotency key was canceled before it ran").WithRetryAfter(time.Second)
		}
		if call.Claim.Fingerprint != claim.Fingerprint {
			return nil, rejecter.New(http.StatusUnprocessableEntity, rejecter.IdempotencyKeyReused,
				"the idempotency key was used for a different request")
		}
		if done, result, err := e.storedResult(view, call); done {
			return result, err
		}
		select {
		case <-view.Superseded:
		case <-ctx.Done():
			return nil, rejecter.New(http.StatusConflict, rejecter.CallInProgress,
				"the call with this idempotency key is still running").WithOutcome(crocushollow.OutcomeUnknown).WithRetryAfter(time.Second)
		}
	}
}

// errOutcomeUnknown is the response to a retried call whose first run has no stored
// response.
var errOutcomeUnknown = rejecter.New(http.StatusConflict, rejecter.CallOutcomeUnknown,
	"the call with this idempotency key may have run; its response is not available").WithOutcome(crocushollow.OutcomeUnknown)

// storedResult returns the result of a call if it is final.
func (e *Executor) storedResult(view *controller.View, call crocushollow.Call) (bool, *serviceResponse, error) {
	switch {
	case call.Ended && call.Response != nil:
		header := http.Header{"Content-Type": {call.Response.ContentType}}
		return true, &serviceResponse{status: call.Response.Status, header: header, body: call.Response.Body}, nil
	case call.Ended || view.State.IsDeparted(call.Claim.Owner):
		return true, nil, errOutcomeUnknown
	}
	return false, nil, nil
}

// AsAPIError returns the *rejecter.Error in an error's chain, if there is one.
func AsAPIError(err error) (*rejecter.Error, bool) {
	var apiErr *rejecter.Error
	return apiErr, errors.As(err, &apiErr)
}
