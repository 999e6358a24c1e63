package hedger

import "time"

const (
	// requestBuckets is the number of time buckets in a window. The current one has just
	// begun or is about to end, so that the requests of no more than a window are counted.
	requestBuckets = 20
	// hedgeBuckets is one more, so that the hedges of no less than a window are counted.
	hedgeBuckets = requestBuckets + 1
)

// window counts first requests and hedges in rings of time buckets.
type window struct {
	requests [hedgeBuckets]float64
	hedges   [hedgeBuckets]float64
	// current is the number of the current bucket, counted from the start. It never falls.
	current int64
}

// requestsInWindow returns the requests of the current bucket and of those before it that lie
// in the window.
func (w *window) requestsInWindow() float64 {
	oldest := (w.current + 1) % hedgeBuckets
	total := -w.requests[oldest]
	for _, count := range w.requests {
		total += count
	}
	return total
}

func (w *window) hedgesInWindow() float64 {
	var total float64
	for _, count := range w.hedges {
		total += count
	}
	return total
}

// bucketNumber returns the number of the bucket that holds a time.
func (h *Hedger) bucketNumber(at time.Time) int64 {
	return max(int64(at.Sub(h.config.StartTime)/(h.config.Window/requestBuckets)), 0)
}

// currentBucket returns the window of a service and the index of the current bucket. It clears
// the buckets that have expired. The caller must lock mu.
func (h *Hedger) currentBucket(service string, now time.Time) (*window, int) {
	w := h.services[service]
	if w == nil {
		w = &window{}
		h.services[service] = w
	}
	number := h.bucketNumber(now)
	for expired := min(number-w.current, hedgeBuckets); expired > 0; expired-- {
		bucket := (number - expired + 1) % hedgeBuckets
		w.requests[bucket], w.hedges[bucket] = 0, 0
	}
	w.current = max(number, w.current)
	return w, int(w.current % hedgeBuckets)
}
