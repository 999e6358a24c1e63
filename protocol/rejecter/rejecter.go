// Package rejecter defines the error responses that callers receive.
package rejecter

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/crocushollow/crocushollow"
)

// Code is a machine-readable error code.
type Code string

// The error codes.
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
	UnknownOrigin           Code = "stream_origin_unknown"
	KeyWithdrawn            Code = "key_withdrawn"
	CallerTooSlow           Code = "caller_too_slow"
	RequestIncomplete       Code = "request_incomplete"
	BodyMemoryShort         Code = "body_memory_short"
)

// Error is the error response to a request that was not served.
type Error struct {
	// Status is the HTTP status.
	Status  int
	Code    Code
	Message string
	// Outcome reports whether the request ran. It is OutcomeNotRun only if that
	// is certain.
	Outcome crocushollow.Outcome
	// RetryAfter is the time after which a retry could succeed. It is 0 if that
	// is unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// New returns an error for a request that certainly did not run.
func New(status int, code Code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message, Outcome: crocushollow.OutcomeNotRun}
}

// WithRetryAfter returns a copy of the error with a time after which to retry.
func (e Error) WithRetryAfter(after time.Duration) *Error {
	e.RetryAfter = after
	return &e
}

// WithOutcome returns a copy of the error with another outcome.
func (e Error) WithOutcome(outcome crocushollow.Outcome) *Error {
	e.Outcome = outcome
	return &e
}

// body is the JSON body of an error in the OpenAI format, with the outcome added.
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

// JSON returns the JSON body of the error response.
func (e *Error) JSON() []byte {
	encoded, _ := json.Marshal(body{Error: bodyError{
		Message: e.Message,
		Type:    errorType(e.Status),
		Code:    e.Code,
		Outcome: e.Outcome,
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

// OutcomeHeader is the response header with the outcome of a failed request.
const OutcomeHeader = "Crocushollow-Outcome"

// Write sends the error response.
func (e *Error) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(OutcomeHeader, string(e.Outcome))
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(e.JSON())
}
