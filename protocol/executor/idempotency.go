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
	"github.com/crocushollow/crocushollow/protocol/apierror"
)

// Deadlines of the records of non-idempotent calls.
const (
	// claimTimeout bounds how long a claim may take before the call is refused.
	claimTimeout = 3 * time.Second
	// resultTimeout bounds how long a result is tried to be kept.
	resultTimeout = 10 * time.Minute
)

// runOnce runs a call that carries an idempotency key. The first claim in the
// log runs it; every other caller with the same key gets the kept answer or is
// told that the outcome is unknown.
func (e *Executor) runOnce(ctx context.Context, run *serviceRun) (*answer, error) {
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
		return nil, apierror.New(http.StatusServiceUnavailable, apierror.LogUnavailable,
			"the call could not be claimed").WithRetryAfter(time.Second)
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

// publishClaim returns nil once the claim is applied here, whether or not it
// has won. After an error the call will not run: should the claim reach the log
// later, it is given up there as well.
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
	return apierror.New(http.StatusServiceUnavailable, apierror.LogUnavailable,
		"calls that must not run twice need the platform's log, which is away").WithRetryAfter(claimTimeout)
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

// publishResult keeps the result of a call in the background.
func (e *Executor) publishResult(result crocushollow.CallResult) {
	record := crocushollow.Record{
		Author:      e.config.View().Self.MemberID(),
		CallResults: []crocushollow.CallResult{result},
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), resultTimeout)
		defer cancel()
		if err := e.publish(ctx, record); err != nil {
			e.config.Logger.Warn().Err(err).Msg("result of a call not kept")
		}
	}()
}

// runClaimed runs a call whose claim has won and keeps its result.
func (e *Executor) runClaimed(ctx context.Context, run *serviceRun, claim crocushollow.CallClaim) (*answer, error) {
	result := crocushollow.CallResult{Key: claim.Key, Attempt: claim.Attempt}
	got, err := run.attempts(ctx)
	switch {
	case err != nil:
		result.NotRun = !run.maybeRun
	case len(got.body) <= e.config.MaxStoredBytes:
		result.Response = &crocushollow.StoredResponse{
			Status:      got.status,
			ContentType: got.header.Get("Content-Type"),
			Body:        got.body,
		}
	}
	e.publishResult(result)
	return got, err
}

// awaitCall waits for the result of a call that another request runs.
func (e *Executor) awaitCall(ctx context.Context, claim crocushollow.CallClaim, attempt crocushollow.ID) (*answer, error) {
	for {
		view := e.config.View()
		call, found := view.State.Call(claim.Key)
		if !found || call.Claim.Attempt != attempt {
			return nil, apierror.New(http.StatusConflict, apierror.CallInProgress,
				"the call with this key was given up before it ran").WithRetryAfter(time.Second)
		}
		if call.Claim.Fingerprint != claim.Fingerprint {
			return nil, apierror.New(http.StatusUnprocessableEntity, apierror.IdempotencyKeyReused,
				"the idempotency key belongs to a different request")
		}
		if done, result, err := e.keptResult(view, call); done {
			return result, err
		}
		select {
		case <-view.Superseded:
		case <-ctx.Done():
			return nil, apierror.New(http.StatusConflict, apierror.CallInProgress,
				"the call with this key still runs").WithOutcome(crocushollow.OutcomeUnknown).WithRetryAfter(time.Second)
		}
	}
}

// errOutcomeLost answers a repeated call whose first run left no answer.
var errOutcomeLost = apierror.New(http.StatusConflict, apierror.CallOutcomeUnknown,
	"the call with this key may have run; its answer is lost").WithOutcome(crocushollow.OutcomeUnknown)

// keptResult returns the result of a call if it is final.
func (e *Executor) keptResult(view *controller.View, call crocushollow.Call) (bool, *answer, error) {
	switch {
	case call.Ended && call.Response != nil:
		header := http.Header{"Content-Type": {call.Response.ContentType}}
		return true, &answer{status: call.Response.Status, header: header, body: call.Response.Body}, nil
	case call.Ended || view.State.IsDeparted(call.Claim.Owner):
		return true, nil, errOutcomeLost
	}
	return false, nil, nil
}

// AsAPIError returns the refusal in an error, if there is one.
func AsAPIError(err error) (*apierror.Error, bool) {
	var refusal *apierror.Error
	return refusal, errors.As(err, &refusal)
}
