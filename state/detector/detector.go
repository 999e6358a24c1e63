// Package detector infers the health of upstreams from their responses, their
// failures and their status reports.
package detector

import (
	"sync"
	"time"

	"github.com/crocushollow/crocushollow"
)

const (
	// coldStartHold is how long an inferred cold start overrides status reports,
	// which may be older than the cold start.
	coldStartHold = time.Second
	// slowStart is the time over which the limit of an upstream rises to its full
	// value after a cold start.
	slowStart = 3 * time.Second
	// initialBackoff is the backoff after the first failure of an upstream. It
	// doubles with each further failure up to maxBackoff.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// Status is the status of an upstream.
type Status struct {
	// Incarnation identifies the current run of the engine's process. It is empty
	// if unknown.
	Incarnation string `cbor:"1,keyasint" json:"incarnation"`
	// Cold is set while the upstream is in cold start.
	Cold bool `cbor:"2,keyasint" json:"cold"`
	// InFlight is the number of requests in flight that the upstream last reported.
	InFlight int64 `cbor:"3,keyasint" json:"in_flight"`
}

type upstream struct {
	Status
	// coldStartInferredAt is the time at which a cold start was last inferred.
	coldStartInferredAt time.Time
	// warmSince is the time at which the upstream last left a cold start.
	warmSince time.Time
	// failureCount counts the failures since the last response.
	failureCount int
	// backoffUntil is the time from which the upstream may be used again.
	backoffUntil time.Time
}

// Detector tracks the health of upstreams. It is safe for concurrent use.
type Detector struct {
	mu        sync.RWMutex
	upstreams map[string]*upstream
	now       func() time.Time
}

// New returns a detector that uses now as its clock.
func New(now func() time.Time) *Detector {
	return &Detector{upstreams: make(map[string]*upstream), now: now}
}

func (d *Detector) getOrAdd(id string) *upstream {
	u, found := d.upstreams[id]
	if !found {
		u = &upstream{}
		d.upstreams[id] = u
	}
	return u
}

// RecordResponse records a response of an upstream with the incarnation that the
// response names, if any. It reports whether the upstream has restarted since the
// last known incarnation.
func (d *Detector) RecordResponse(id, incarnation string) bool {
	d.mu.RLock()
	known, found := d.upstreams[id]
	same := found && known.failureCount == 0 && (incarnation == "" || known.Incarnation == incarnation)
	d.mu.RUnlock()
	if same {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.getOrAdd(id)
	u.failureCount = 0
	u.backoffUntil = time.Time{}
	return d.recordIncarnation(u, incarnation)
}

// recordIncarnation records the incarnation of an upstream. It infers a cold start
// if the incarnation has changed, and reports whether it has.
func (d *Detector) recordIncarnation(u *upstream, incarnation string) bool {
	if incarnation == "" || incarnation == u.Incarnation {
		return false
	}
	restarted := u.Incarnation != ""
	u.Incarnation = incarnation
	if restarted {
		d.inferColdStart(u)
	}
	return restarted
}

func (d *Detector) inferColdStart(u *upstream) {
	u.Cold = true
	u.coldStartInferredAt = d.now()
}

// RecordFailure records a lost or refused connection. The cause may be a restart,
// so the upstream is treated as cold.
func (d *Detector) RecordFailure(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.getOrAdd(id)
	d.inferColdStart(u)
	backoff := min(initialBackoff<<min(u.failureCount, 8), maxBackoff)
	u.failureCount++
	u.backoffUntil = d.now().Add(backoff)
}

// RecordStatus records a status report of an engine, which may have been forwarded
// by the owner of the upstream's limit. A report does not end a cold start that
// was inferred less than coldStartHold ago.
func (d *Detector) RecordStatus(id string, status Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.getOrAdd(id)
	d.recordIncarnation(u, status.Incarnation)
	u.InFlight = status.InFlight
	if status.Cold {
		u.Cold = true
		return
	}
	if u.Cold && d.now().Sub(u.coldStartInferredAt) >= coldStartHold {
		u.Cold = false
		u.warmSince = d.now()
	}
}

// SuspectColdStart records that another instance has inferred a cold start.
func (d *Detector) SuspectColdStart(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inferColdStart(d.getOrAdd(id))
}

// IsColdStartSuspected reports whether a cold start was inferred less than
// coldStartHold ago.
func (d *Detector) IsColdStartSuspected(id string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	u, found := d.upstreams[id]
	return found && u.Cold && d.now().Sub(u.coldStartInferredAt) < coldStartHold
}

// Status returns the last known status of an upstream.
func (d *Detector) Status(id string) Status {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if u, found := d.upstreams[id]; found {
		return u.Status
	}
	return Status{}
}

// InBackoff reports whether an upstream must not be used yet after a failure.
func (d *Detector) InBackoff(id string, now time.Time) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	u, found := d.upstreams[id]
	return found && now.Before(u.backoffUntil)
}

// InFlightLimit returns the number of concurrent requests that an upstream
// accepts now. It is the cold limit during a cold start and then rises to the full
// limit.
func (d *Detector) InFlightLimit(row crocushollow.Upstream) int64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	u, found := d.upstreams[row.ID]
	if !found {
		return row.MaxInFlight
	}
	if u.Cold {
		return row.ColdMaxInFlight
	}
	warm := d.now().Sub(u.warmSince)
	if warm >= slowStart {
		return row.MaxInFlight
	}
	increase := float64(row.MaxInFlight-row.ColdMaxInFlight) * float64(warm) / float64(slowStart)
	return row.ColdMaxInFlight + int64(increase)
}

// RemoveMissing removes the state of upstreams for which exists returns false.
func (d *Detector) RemoveMissing(exists func(id string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.upstreams {
		if !exists(id) {
			delete(d.upstreams, id)
		}
	}
}
