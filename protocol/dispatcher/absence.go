package dispatcher

import "time"

// absenceHold is how long an engine is not chosen for weights that it does not have. If the
// placement still names it then, it is tried again.
const absenceHold = time.Second

// absenceKey identifies weights that are missing on an upstream.
type absenceKey struct{ upstream, weights string }

// absence is the observation that an upstream does not have weights which are resident
// there according to the placement.
type absence struct {
	// fencingToken is the token of the placement that the observation contradicts. A
	// placement with another token is newer than the observation.
	fencingToken uint64
	observedAt   time.Time
}

// RecordAbsence records that the upstream of a lease does not have the weights of the
// request, because it has restarted since it loaded them. Until the placement of the
// weights changes, it is not chosen for them.
func (d *Dispatcher) RecordAbsence(lease *Lease) {
	q := lease.requestQueue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.absences[absenceKey{lease.Upstream.ID, lease.weights}] = absence{lease.fencingToken, time.Now()}
}

// lacksWeights reports whether a target does not have the weights of a request. The caller
// must hold the queue's lock.
func (q *requestQueue) lacksWeights(t *target, request *Request, now time.Time) bool {
	key := absenceKey{t.upstream.ID, request.Weights}
	observed, found := q.absences[key]
	if !found {
		return false
	}
	if observed.fencingToken == t.fencingToken && now.Sub(observed.observedAt) < absenceHold {
		return true
	}
	delete(q.absences, key)
	return false
}
