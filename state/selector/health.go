package selector

import "time"

// Outcome is the result of a request, as evidence of its upstream's health.
type Outcome int

// The possible outcomes of a request.
const (
	// Served means that the upstream returned a complete response.
	Served Outcome = iota
	// Abandoned means that the caller canceled the request. It does not change
	// the health of the upstream.
	Abandoned
	// Refused means that the upstream did not execute the request.
	Refused
	// Failed means that the response is an error. The cause may be the request or its caller.
	Failed
	// Unreachable means that the upstream did not get the request.
	Unreachable
	// Broken means that no whole response of the upstream to the request arrived. The cause
	// may be the request.
	Broken
	// TimedOut means that the response was not complete in time. The cause may be the load of
	// the upstream, the request or its caller.
	TimedOut
)

func (o Outcome) isFailure() bool {
	return o == Failed || o == Unreachable || o == Broken || o == TimedOut
}

// needsComparison reports whether a failure ejects an upstream only by comparison with the
// results of others.
func (o Outcome) needsComparison() bool { return o == Failed || o == TimedOut }

const (
	// failurePenaltyMillis is the latency that a recent failure adds to the cost
	// of an upstream.
	failurePenaltyMillis = 400.0
	// maxPenaltyMillis bounds the penalty of an upstream that fails repeatedly.
	maxPenaltyMillis = 4000.0
	// penaltyHalfLife is the time in which the penalty halves.
	penaltyHalfLife = 1500 * time.Millisecond
	// initialBackoff is the backoff after the first failure to reach an upstream. It
	// doubles with each further one up to maxBackoff, or up to maxEjection while other
	// upstreams can serve the request.
	initialBackoff = 150 * time.Millisecond
	maxBackoff     = 1200 * time.Millisecond
	maxEjection    = 2400 * time.Millisecond
	// maxBackoffDoublings bounds the doublings of initialBackoff.
	maxBackoffDoublings = 8
	// minFailuresForTrials is the number of consecutive failures from which on an upstream
	// gets trials. Fewer may be the fault of a request or of a connection.
	minFailuresForTrials = 3
	// maxTrials is the number of trials at a time beyond which there is no limit.
	maxTrials = 32
	// refusalBackoff is the backoff after an upstream refuses a request.
	refusalBackoff = 30 * time.Millisecond
)

// health tracks the failures of an upstream.
type health struct {
	// lastPenaltyMillis is the penalty as of decayedAt.
	lastPenaltyMillis float64
	decayedAt         time.Time
	// failureCount counts the failures since the upstream has last served a request, and
	// unreachableCount those to reach it.
	failureCount, unreachableCount int
	// comparison compares the failures with the results of other upstreams. It is nil if
	// there are none.
	comparison *comparison
	// firstBytes counts the responses that have begun.
	firstBytes int
	// isFaulty means that the failures have shown the upstream to be faulty, and that it has
	// not served a request since.
	isFaulty bool
	// backoffCount counts the backoffs since the upstream has last served a request.
	backoffCount int
	// backoffBeganAt is when the last backoff for a failure began, backoffUntil when the
	// upstream may be chosen again, and ejectedUntil when it may be although another one could
	// serve the request.
	backoffBeganAt, backoffUntil, ejectedUntil time.Time
	// trialLimit bounds the requests that have no response yet. It is 0 if there is no limit.
	trialLimit int
	// trials counts the requests without a response that began under a limit.
	trials int
}

// penaltyMillis applies the decay since the last call and returns the latency
// that recent failures add to the cost of the upstream.
func (h *health) penaltyMillis(now time.Time) float64 {
	if h.lastPenaltyMillis == 0 {
		return 0
	}
	for now.Sub(h.decayedAt) >= penaltyHalfLife {
		h.lastPenaltyMillis /= 2
		h.decayedAt = h.decayedAt.Add(penaltyHalfLife)
		if h.lastPenaltyMillis < 1 {
			h.lastPenaltyMillis = 0
			break
		}
	}
	return h.lastPenaltyMillis
}

func (h *health) inBackoff(now time.Time) bool { return now.Before(h.backoffUntil) }

func (h *health) isEjected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// allowsTrial reports whether the upstream may get one more request. One that has failed
// repeatedly gets one at a time, and twice as many after each response.
func (h *health) allowsTrial() bool { return h.trialLimit == 0 || h.trials < h.trialLimit }

// beginTrial records the begin of a request and reports whether it is a trial, which must be
// ended once.
func (h *health) beginTrial() bool {
	if h.trialLimit == 0 {
		return false
	}
	h.trials++
	return true
}

// limitTrials limits the requests without a response to one, and twice as many after each
// response.
func (h *health) limitTrials() {
	if h.trialLimit == 0 {
		h.trials = 0
	}
	h.trialLimit = 1
}

// endTrial records the end of a trial, or its response. It reports whether the upstream has
// no limit any more.
func (h *health) endTrial(hasResponse bool) bool {
	h.trials--
	if hasResponse && h.trialLimit > 0 {
		h.trialLimit *= 2
	}
	if h.trialLimit <= maxTrials {
		return false
	}
	h.trialLimit = 0
	return true
}

// HealthChange is the ejection of an upstream that has failed repeatedly, or the end of the
// trials that follow it.
type HealthChange struct {
	Upstream  string
	IsEjected bool
	// Failures is the number of consecutive failures, and Backoff the time without requests.
	// Both are 0 at the end of the trials.
	Failures int
	Backoff  time.Duration
}

// recordOutcome updates the health with the outcome of a request. It reports whether the
// upstream is ejected for it.
func (h *health) recordOutcome(a *attempt, outcome Outcome, now time.Time) bool {
	switch outcome {
	case Served:
		h.failureCount, h.unreachableCount, h.backoffCount = 0, 0, 0
		h.comparison, h.isFaulty = nil, false
		h.lastPenaltyMillis = h.penaltyMillis(now) / 2
	case Abandoned:
	case Refused:
		h.extendBackoff(now.Add(refusalBackoff))
	case Failed, Unreachable, Broken, TimedOut:
		h.addPenalty(now)
		if outcome == TimedOut && h.firstBytes != a.firstBytes {
			// An upstream that begins responses meanwhile is busy, not silent.
			return false
		}
		h.recordFailure(a, outcome, now)
		if h.isFaulty || !outcome.needsComparison() {
			return h.beginBackoff(a.sentAt, now)
		}
	}
	return false
}

// recordFailure decides whether a failure shows that the upstream is faulty. One that does not
// get the requests is, whatever they are.
func (h *health) recordFailure(a *attempt, outcome Outcome, now time.Time) {
	h.failureCount++
	if outcome == Unreachable {
		h.unreachableCount++
	}
	if h.isFaulty {
		return
	}
	if h.comparison == nil || h.comparison.hasExpired(now) {
		h.comparison = newComparison(now)
	}
	h.comparison.addFailure(a, !outcome.needsComparison())
	if h.unreachableCount >= minFailuresForTrials || h.comparison.showsFault() {
		h.isFaulty, h.comparison = true, nil
	}
}

// beginBackoff begins a backoff. Requests that were sent before the current one began
// count as failures, and do not extend it. It reports whether an ejection begins.
func (h *health) beginBackoff(sentAt, now time.Time) bool {
	isNew := h.trialLimit == 0
	if h.isFaulty {
		h.trialLimit = 1
	}
	if !sentAt.After(h.backoffBeganAt) {
		return isNew && h.trialLimit > 0
	}
	h.backoffBeganAt = now
	backoff := initialBackoff << min(h.backoffCount, maxBackoffDoublings)
	h.backoffCount++
	h.ejectedUntil = now.Add(min(backoff, maxEjection))
	h.extendBackoff(now.Add(min(backoff, maxBackoff)))
	return h.trialLimit > 0
}

func (h *health) extendBackoff(until time.Time) {
	if until.After(h.backoffUntil) {
		h.backoffUntil = until
	}
}

func (h *health) addPenalty(now time.Time) {
	h.lastPenaltyMillis = min(h.penaltyMillis(now)+failurePenaltyMillis, maxPenaltyMillis)
	h.decayedAt = now
}
