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
	// Failed means that the response is an error or is incomplete.
	Failed
	// Unreachable means that no connection could be opened or that the
	// connection was lost.
	Unreachable
)

const (
	// failurePenaltyMillis is the latency that a recent failure adds to the cost
	// of an upstream.
	failurePenaltyMillis = 400.0
	// maxPenaltyMillis bounds the penalty of an upstream that fails repeatedly.
	maxPenaltyMillis = 4000.0
	// penaltyHalfLife is the time in which the penalty halves.
	penaltyHalfLife = 1500 * time.Millisecond
	// initialBackoff is the backoff after the first failure to reach an
	// upstream. It doubles with each further failure up to maxBackoff.
	initialBackoff = 150 * time.Millisecond
	maxBackoff     = 1200 * time.Millisecond
	// refusalBackoff is the backoff after an upstream refuses a request.
	refusalBackoff = 30 * time.Millisecond
)

// health tracks the failures of an upstream.
type health struct {
	// lastPenaltyMillis is the penalty as of decayedAt.
	lastPenaltyMillis float64
	decayedAt         time.Time
	// unreachableCount counts consecutive failures to reach the upstream.
	unreachableCount int
	backoffUntil     time.Time
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

// recordOutcome updates the health with the outcome of a request.
func (h *health) recordOutcome(outcome Outcome, now time.Time) {
	switch outcome {
	case Served:
		h.unreachableCount = 0
		h.lastPenaltyMillis = h.penaltyMillis(now) / 2
	case Abandoned:
	case Refused:
		h.backoffUntil = now.Add(refusalBackoff)
	case Failed:
		h.addPenalty(now)
	case Unreachable:
		h.addPenalty(now)
		h.backoffUntil = now.Add(min(initialBackoff<<min(h.unreachableCount, 4), maxBackoff))
		h.unreachableCount++
	}
}

func (h *health) addPenalty(now time.Time) {
	h.lastPenaltyMillis = min(h.penaltyMillis(now)+failurePenaltyMillis, maxPenaltyMillis)
	h.decayedAt = now
}
