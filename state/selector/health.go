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
	// failurePenalty is the latency that a recent failure adds to the cost of an
	// upstream.
	failurePenalty = 400.0
	// maxPenalty bounds the penalty of an upstream that fails repeatedly.
	maxPenalty = 4000.0
	// penaltyHalfLife is the time in which the penalty decays to a half.
	penaltyHalfLife = 1500 * time.Millisecond
	// firstAvoidance is the backoff after the first failure to reach an
	// upstream. It doubles with each further failure up to maxAvoidance.
	firstAvoidance = 150 * time.Millisecond
	maxAvoidance   = 1200 * time.Millisecond
	// refusalPause is the backoff after an upstream refuses a request.
	refusalPause = 30 * time.Millisecond
)

// health tracks the failures of an upstream.
type health struct {
	// score is the penalty in milliseconds as of scoredAt.
	score    float64
	scoredAt time.Time
	// broken counts consecutive failures to reach the upstream.
	broken     int
	avoidUntil time.Time
}

// penalty applies the decay since the last call and returns the latency in
// milliseconds that recent failures add to the cost of the upstream.
func (h *health) penalty(now time.Time) float64 {
	if h.score == 0 {
		return 0
	}
	for now.Sub(h.scoredAt) >= penaltyHalfLife {
		h.score /= 2
		h.scoredAt = h.scoredAt.Add(penaltyHalfLife)
		if h.score < 1 {
			h.score = 0
			break
		}
	}
	return h.score
}

func (h *health) isAvoided(now time.Time) bool { return now.Before(h.avoidUntil) }

// note updates the health with the outcome of a request.
func (h *health) note(outcome Outcome, now time.Time) {
	switch outcome {
	case Served:
		h.broken = 0
		h.score = h.penalty(now) / 2
	case Abandoned:
	case Refused:
		h.avoidUntil = now.Add(refusalPause)
	case Failed:
		h.blame(now)
	case Unreachable:
		h.blame(now)
		h.avoidUntil = now.Add(min(firstAvoidance<<min(h.broken, 4), maxAvoidance))
		h.broken++
	}
}

func (h *health) blame(now time.Time) {
	h.score = min(h.penalty(now)+failurePenalty, maxPenalty)
	h.scoredAt = now
}
