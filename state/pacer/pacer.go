// Package pacer estimates how fast model engines work, from the times between the events
// of their streams.
package pacer

import (
	"math"
	"time"
)

const (
	// baselineQuantile is the quantile of the gaps that is their baseline. Most gaps are
	// longer, as some engines are slow and some read prompts of which nothing is known.
	baselineQuantile = 0.3
	// baselineStep is the relative change of a baseline by one gap.
	baselineStep = 0.04
	// minBaselineGaps is the number of gaps from which on a baseline is known.
	minBaselineGaps = 20
	// halfLife is the time in which an estimate without observations returns halfway to
	// the usual pace.
	halfLife = 300 * time.Millisecond
	// slowingWeight and recoveringWeight are the weights of a gap that shows an engine to
	// be slower or faster than estimated. An engine gets work back in steps.
	slowingWeight    = 0.7
	recoveringWeight = 0.4
	// maxFactor bounds the estimate. A stream that is silent for longer may wait for
	// something else.
	maxFactor = 5.0
)

// Baseline is the usual time between two events of the streams of a model while its engine
// reads no prompts. The zero value is unknown.
type Baseline struct {
	gap time.Duration
	// gaps is the number of gaps observed, at most minBaselineGaps.
	gaps int
}

// With returns the baseline after one more gap.
func (b Baseline) With(gap time.Duration) Baseline {
	if gap <= 0 {
		return b
	}
	if b.gaps == 0 {
		return Baseline{gap: gap, gaps: 1}
	}
	b.gaps = min(b.gaps+1, minBaselineGaps)
	change := 1 + baselineStep*baselineQuantile
	if gap < b.gap {
		change = 1 - baselineStep*(1-baselineQuantile)
	}
	b.gap = time.Duration(float64(b.gap) * change)
	return b
}

// Gap returns the baseline, or false if it is unknown.
func (b Baseline) Gap() (time.Duration, bool) { return b.gap, b.gaps >= minBaselineGaps }

// Slowdown is an estimate of how many times longer an engine takes than usual. The zero
// value is the usual pace.
type Slowdown struct {
	// excess is the estimate at observedAt minus 1. It is not negative.
	excess     float64
	observedAt time.Time
}

// WithGap returns the estimate after a gap in which the engine may have read prompts for up
// to reading, by the usual pace.
func (s Slowdown) WithGap(gap, baseline, reading time.Duration, now time.Time) Slowdown {
	if baseline <= 0 || gap <= 0 {
		return s
	}
	lower := min(max(float64(gap)/float64(baseline+reading), 1), maxFactor)
	upper := min(max(float64(gap)/float64(baseline), 1), maxFactor)
	factor := s.Factor(now)
	switch {
	case factor < lower:
		factor += slowingWeight * (lower - factor)
	case factor > upper:
		factor += recoveringWeight * (upper - factor)
	default:
		return s
	}
	return Slowdown{excess: factor - 1, observedAt: now}
}

// Factor returns the estimate at a time. It is at least 1.
func (s Slowdown) Factor(now time.Time) float64 {
	if s.excess <= 0 {
		return 1
	}
	return 1 + s.excess*math.Exp2(-max(now.Sub(s.observedAt).Seconds(), 0)/halfLife.Seconds())
}
