// Package rejecter holds the errors that callers see.
package rejecter

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/crocushollow/crocushollow"
)

// Code is a machine-readable reason.
type Code string

// The reasons for a refusal.
const (
	InvalidRequest          Code = "invalid_request"
	InvalidAPIKey           Code = "invalid_api_key"
	NotFound                Code = "not_found"
	ModelNotFound           Code = "model_not_found"
	MethodNotAllowed        Code = "method_not_allowed"
	BodyTooLarge            Code = "body_too_large"
	RateLimited             Code = "rate_limit_exceeded"
	ExceedsBurst            Code = "request_exceeds_burst"
	Overloaded              Code = "overloaded"
	InstanceIsolated        Code = "instance_isolated"
	InstanceShuttingDown    Code = "instance_shutting_down"
	LogUnavailable          Code = "log_unavailable"
	NoUpstream              Code = "no_upstream"
	UpstreamFailed          Code = "upstream_failed"
	UpstreamTimeout         Code = "upstream_timeout"
	CallInProgress          Code = "call_in_progress"
	CallOutcomeUnknown      Code = "call_outcome_unknown"
	IdempotencyKeyReused    Code = "idempotency_key_reused"
	RequestCrashesUpstreams Code = "request_crashes_upstreams"
	KeyWithdrawn            Code = "key_withdrawn"
	CallerTooSlow           Code = "caller_too_slow"
	RequestIncomplete       Code = "request_incomplete"
)

// Error is an answer to a caller whose request was not served.
type Error struct {
	// Status is the HTTP status.
	Status  int
	Code    Code
	Message string
	// Outcome tells whether the request ran. NotRun is used only when that is
	// certain.
	Outcome crocushollow.Outcome
	// RetryAfter is when the request could succeed, 0 if that is not known.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Error) Error() string { return string(r.Code) + ": " + r.Message }

// New returns a refusal of a request that has certainly not run.
func New(status int, code Code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message, Outcome: crocushollow.OutcomeNotRun}
}

// WithRetryAfter returns the refusal with the time after which to try again.
func (r Error) WithRetryAfter(after time.Duration) *Error {
	r.RetryAfter = after
	return &r
}

// WithOutcome returns the refusal with another outcome.
func (r Error) WithOutcome(outcome crocushollow.Outcome) *Error {
	r.Outcome = outcome
	return &r
}

// body is the error shape of the OpenAI interface with the outcome added.
type body struct {
	Error bodyError `json:"error"`
}

type bodyError struct {
	Message string               `json:"message"`
	Type    string               `json:"type"`
	Code    Code                 `json:"code"`
	Param   *string              `json:"param"`
	Outcome crocushollow.Outcome `json:"outcome"`
}

// JSON returns the body of the refusal.
func (r *Error) JSON() []byte {
	encoded, _ := json.Marshal(body{Error: bodyError{
		Message: r.Message,
		Type:    errorType(r.Status),
		Code:    r.Code,
		Outcome: r.Outcome,
	}})
	return encoded
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// OutcomeHeader carries the outcome of a refused request.
const OutcomeHeader = "Crocushollow-Outcome"

// Write answers a caller with the refusal.
func (r *Error) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(OutcomeHeader, string(r.Outcome))
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.JSON())
}
