package hedger

import (
	"slices"
	"time"
)

const (
	// maxTimes is the number of recent times that are kept of a route.
	maxTimes = 256
	// minTimes is the number of recent times without which the delay is unknown. Of fewer, the
	// longest is not beyond the usual percentile.
	minTimes = 20
	// maxAge is the age at which a time is no longer recent.
	maxAge = 30 * time.Second
	// sortInterval is the number of new times after which the percentiles are computed again,
	// and refreshAge the time.
	sortInterval = 8
	refreshAge   = 250 * time.Millisecond
	// medianFactor times the median is the lower bound of the delay.
	medianFactor = 2
	// lateFactor is how much more requests than the percentile says may pass the delay until
	// all upstreams count as slow. Beside them, lateSlack requests may.
	lateFactor = 2
	lateSlack  = 2
	// lateHalfLife is the time in which half of the requests that have passed the delay are
	// forgotten.
	lateHalfLife = 2 * time.Second
)

// sample is a time to the first byte.
type sample struct {
	duration time.Duration
	at       time.Time
}

// history holds the recent times of a route.
type history struct {
	// samples is a ring of up to maxTimes; next is the index of the oldest once it is full.
	samples []sample
	next    int
	// sorted holds the recent durations as of sortedAt, in order. unsorted counts the times
	// since then.
	sorted   []time.Duration
	sortedAt time.Time
	unsorted int
	// done and late are the decaying numbers of requests with a known time, and of those that
	// have passed the delay, as of decayedAt.
	done, late float64
	decayedAt  time.Time
}

func (h *history) add(duration time.Duration, now time.Time) {
	h.decay(now)
	h.done++
	h.unsorted++
	if len(h.samples) < maxTimes {
		h.samples = append(h.samples, sample{duration, now})
		return
	}
	h.samples[h.next] = sample{duration, now}
	h.next = (h.next + 1) % maxTimes
}

// recordLate counts a request that has passed the delay.
func (h *history) recordLate(now time.Time) {
	h.decay(now)
	h.late++
}

// decay halves the counts in each lateHalfLife.
func (h *history) decay(now time.Time) {
	if h.decayedAt.IsZero() {
		h.decayedAt = now
	}
	for h.decayedAt.Add(lateHalfLife).Before(now) && h.done+h.late > 0 {
		h.done, h.late = h.done/2, h.late/2
		if h.done+h.late < 1 {
			h.done, h.late = 0, 0
		}
		h.decayedAt = h.decayedAt.Add(lateHalfLife)
	}
	if h.done+h.late == 0 {
		h.decayedAt = now
	}
}

// areMostLate reports whether so many requests pass the delay that the cause is not a single
// upstream.
func (h *history) areMostLate(percentile float64) bool {
	return h.late > lateFactor*(1-percentile)*(h.done+h.late)+lateSlack
}

// median returns the median of the recent times, or false if too few are known.
func (h *history) median(now time.Time) (time.Duration, bool) {
	h.sort(now)
	if len(h.sorted) < minTimes {
		return 0, false
	}
	return h.sorted[len(h.sorted)/2], true
}

// delay returns a percentile of the recent times, and at least a multiple of their median.
func (h *history) delay(percentile float64, now time.Time) (time.Duration, bool) {
	median, isKnown := h.median(now)
	if !isKnown {
		return 0, false
	}
	index := min(int(percentile*float64(len(h.sorted))), len(h.sorted)-1)
	return max(h.sorted[index], medianFactor*median), true
}

// sort orders the recent times again if they have changed.
func (h *history) sort(now time.Time) {
	if age := now.Sub(h.sortedAt); h.unsorted < sortInterval && age >= 0 && age < refreshAge {
		return
	}
	h.sorted = h.sorted[:0]
	for _, s := range h.samples {
		if now.Sub(s.at) < maxAge {
			h.sorted = append(h.sorted, s.duration)
		}
	}
	slices.Sort(h.sorted)
	h.sortedAt, h.unsorted = now, 0
}
