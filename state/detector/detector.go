// Package detector infers the health of upstreams from their answers, their
// failures and their reports.
package detector

import (
	"sync"
	"time"

	"github.com/crocushollow/crocushollow"
)

// Tuning of the inference.
const (
	// suspicionHold is how long an inferred cold start outweighs reports that
	// may be older than it.
	suspicionHold = time.Second
	// warmUp is how long the limit of an upstream rises after a cold start.
	warmUp = 3 * time.Second
	// firstPause and maxPause bound how long a failing upstream is avoided.
	firstPause = 200 * time.Millisecond
	maxPause   = 5 * time.Second
)

// Status is what is known of an upstream.
type Status struct {
	// Incarnation is that of the engine, empty if unknown.
	Incarnation string `cbor:"1,keyasint" json:"incarnation"`
	// Cold tells that the upstream is in cold start.
	Cold bool `cbor:"2,keyasint" json:"cold"`
	// InFlight is the number of requests that the upstream reported.
	InFlight int64 `cbor:"3,keyasint" json:"in_flight"`
}

type upstream struct {
	Status
	// suspectedAt is when a cold start was last inferred.
	suspectedAt time.Time
	// warmSince is when the upstream was last seen to leave a cold start.
	warmSince time.Time
	// failures counts the failures since the last success.
	failures int
	// avoidUntil is when the upstream may be tried again.
	avoidUntil time.Time
}

// Detector is safe for concurrent use.
type Detector struct {
	mu        sync.RWMutex
	upstreams map[string]*upstream
	now       func() time.Time
}

// New returns a detector that takes the time from now.
func New(now func() time.Time) *Detector {
	return &Detector{upstreams: make(map[string]*upstream), now: now}
}

func (d *Detector) get(id string) *upstream {
	u, found := d.upstreams[id]
	if !found {
		u = &upstream{}
		d.upstreams[id] = u
	}
	return u
}

// RecordResponse notes the incarnation that an upstream's answer carries, and
// reports whether it is a new one.
func (d *Detector) RecordResponse(id, incarnation string) bool {
	d.mu.RLock()
	known, found := d.upstreams[id]
	same := found && known.failures == 0 && (incarnation == "" || known.Incarnation == incarnation)
	d.mu.RUnlock()
	if same {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.get(id)
	u.failures = 0
	u.avoidUntil = time.Time{}
	return d.noteIncarnation(u, incarnation)
}

// noteIncarnation infers a cold start from a new incarnation.
func (d *Detector) noteIncarnation(u *upstream, incarnation string) bool {
	if incarnation == "" || incarnation == u.Incarnation {
		return false
	}
	restarted := u.Incarnation != ""
	u.Incarnation = incarnation
	if restarted {
		d.suspect(u)
	}
	return restarted
}

func (d *Detector) suspect(u *upstream) {
	u.Cold = true
	u.suspectedAt = d.now()
}

// RecordFailure notes a broken or refused connection, which may be a restart.
func (d *Detector) RecordFailure(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.get(id)
	d.suspect(u)
	pause := min(firstPause<<min(u.failures, 8), maxPause)
	u.failures++
	u.avoidUntil = d.now().Add(pause)
}

// RecordStatus takes an engine's own report, or what the upstream's owner passes
// on of one. It does not end a cold start that was inferred only just now.
func (d *Detector) RecordStatus(id string, status Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.get(id)
	d.noteIncarnation(u, status.Incarnation)
	u.InFlight = status.InFlight
	if status.Cold {
		u.Cold = true
		return
	}
	if u.Cold && d.now().Sub(u.suspectedAt) >= suspicionHold {
		u.Cold = false
		u.warmSince = d.now()
	}
}

// SuspectColdStart infers a cold start from what another instance has seen.
func (d *Detector) SuspectColdStart(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspect(d.get(id))
}

// IsColdStartSuspected reports whether a cold start was inferred just now.
func (d *Detector) IsColdStartSuspected(id string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	u, found := d.upstreams[id]
	return found && u.Cold && d.now().Sub(u.suspectedAt) < suspicionHold
}

// Status returns what is known of an upstream.
func (d *Detector) Status(id string) Status {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if u, found := d.upstreams[id]; found {
		return u.Status
	}
	return Status{}
}

// InBackoff reports whether an upstream has just failed.
func (d *Detector) InBackoff(id string, now time.Time) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	u, found := d.upstreams[id]
	return found && now.Before(u.avoidUntil)
}

// InFlightLimit returns how many requests an upstream bears now: the cold
// limit during a cold start, then a limit that rises to the full one.
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
	if warm >= warmUp {
		return row.MaxInFlight
	}
	rise := float64(row.MaxInFlight-row.ColdMaxInFlight) * float64(warm) / float64(warmUp)
	return row.ColdMaxInFlight + int64(rise)
}

// RemoveMissing removes what is known of upstreams without a row.
func (d *Detector) RemoveMissing(exists func(id string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.upstreams {
		if !exists(id) {
			delete(d.upstreams, id)
		}
	}
}
