package selector

import "time"

// Availability is what an upstream says about itself in a response.
type Availability struct {
	// IsLeaving means that the upstream shuts down and must get nothing new.
	IsLeaving bool
	// PauseFor is the time for which the upstream wants no requests from this instance. It
	// is 0 if it has not asked for a pause.
	PauseFor time.Duration
}

// availability is what is known of the availability of an incarnation of an upstream.
type availability struct {
	isLeaving   bool
	pausedUntil time.Time
}

func (a *availability) isPaused(now time.Time) bool { return now.Before(a.pausedUntil) }

// RecordAvailability applies what the response to the request says about its upstream, and
// reports whether it is news. It has no effect if the upstream has started again since.
func (r *Reservation) RecordAvailability(stated Availability, now time.Time) bool {
	r.selector.mu.Lock()
	defer r.selector.mu.Unlock()
	known := &r.candidate.availability
	isNews := stated.IsLeaving && !known.isLeaving
	known.isLeaving = known.isLeaving || stated.IsLeaving
	if until := now.Add(stated.PauseFor); stated.PauseFor > 0 && until.After(known.pausedUntil) {
		isNews = isNews || !known.isPaused(now)
		known.pausedUntil = until
		// The traffic returns in steps after the pause.
		r.candidate.health.limitTrials()
	}
	return isNews
}

// LeavingUpstreams returns the IDs of the upstreams that have said that they leave.
func (s *Selector) LeavingUpstreams() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	leaving := make(map[string]bool)
	for id, c := range s.candidates {
		if c.availability.isLeaving {
			leaving[id] = true
		}
	}
	return leaving
}

// PauseDelay returns the time until the first of the paused upstreams that could serve a
// request accepts requests again, or 0 if none is paused.
func (s *Selector) PauseDelay(request *Request, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var shortest time.Duration
	for _, c := range s.byService[request.Service] {
		if c.availability.isLeaving || request.Model != "" && !c.upstream.Serves(request.Model, request.Adapter) {
			continue
		}
		if delay := c.availability.pausedUntil.Sub(now); delay > 0 && (shortest == 0 || delay < shortest) {
			shortest = delay
		}
	}
	return shortest
}
