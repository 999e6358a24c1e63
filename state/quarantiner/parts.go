package quarantiner

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Part identifies a part of a prompt that other prompts may share.
type Part uint64

const (
	// minCrashes is the number of crashes after which a part is quarantined, and
	// minRequests the number of different requests that must have had it.
	minCrashes  = 3
	minRequests = 2
	// crashSpacing is the time within which crashes count as one: upstreams that fail
	// together have another cause than a request.
	crashSpacing = 300 * time.Millisecond
	// suspicionRetention is how long a crash counts.
	suspicionRetention = 60 * time.Second
	// quarantineTime is how long a part is refused after the last request with it.
	quarantineTime = 5 * time.Minute
	// maxSuspicions and maxParts bound the memory.
	maxSuspicions = 256
	maxParts      = 8192
	// maxReportedParts and maxReportedSuspicions bound a report.
	maxReportedParts      = 8
	maxReportedSuspicions = 16
	// maxReports is how often a suspicion or a completion is reported, since messages
	// may be lost.
	maxReports = 3
)

// Suspicion is a request that was running when its upstream crashed and of whose
// output little or nothing had arrived.
type Suspicion struct {
	// Crash identifies the incarnation of the upstream, and Request the request.
	Crash   uint64 `cbor:"1,keyasint"`
	Request uint64 `cbor:"2,keyasint"`
	// Parts are the parts of the prompt that other prompts may share, in order.
	Parts []Part `cbor:"3,keyasint"`
	// Age is the time since the crash.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// QuarantinedPart is a part with which no request is sent to an upstream.
type QuarantinedPart struct {
	Part      Part          `cbor:"1,keyasint"`
	Remaining time.Duration `cbor:"2,keyasint"`
	// Trials is the number of requests with the part that were sent to an upstream since
	// it was quarantined, to find out whether it crashes upstreams.
	Trials int `cbor:"3,keyasint,omitempty"`
}

// PartReport is what an instance tells its peers about parts.
type PartReport struct {
	Suspicions []Suspicion `cbor:"1,keyasint,omitempty"`
	// Sound lists suspected parts with which a request has completed, or whose crashes
	// another part explains.
	Sound       []Part            `cbor:"2,keyasint,omitempty"`
	Quarantined []QuarantinedPart `cbor:"3,keyasint,omitempty"`
	Claims      []TrialClaim      `cbor:"4,keyasint,omitempty"`
}

// IsEmpty reports whether there is nothing to tell.
func (r *PartReport) IsEmpty() bool {
	return len(r.Suspicions) == 0 && len(r.Sound) == 0 && len(r.Quarantined) == 0 && len(r.Claims) == 0
}

// suspicion is a Suspicion with the time of the crash.
type suspicion struct {
	Suspicion
	at time.Time
	// reportsLeft is the number of times that it will still be reported.
	reportsLeft int
}

// completion is what is known of the requests with a part that completed.
type completion struct {
	count int
	at    time.Time
	// reportsLeft is the number of times that it will still be reported.
	reportsLeft int
}

// quarantine is the state of a quarantined part.
type quarantine struct {
	// since is when this instance learned of it.
	since, until time.Time
	// reportedAt is when any instance last reported it.
	reportedAt time.Time
	// trials is the number of trials, and triedAt the time of the last one.
	trials  int
	triedAt time.Time
	// claim is the claim to the next trial, or the zero value.
	claim claim
}

// PartsConfig configures a PartQuarantiner. All fields are required. The functions must
// not block, and not call the PartQuarantiner.
type PartsConfig struct {
	// OnNews is called when there is something to tell the peers at once.
	OnNews func()
	// OnChange is called when a part is quarantined or released.
	OnChange func(part Part, isQuarantined bool)
	// OnTrial is called when this instance takes a trial of a quarantined part.
	OnTrial func(part Part)
}

// PartQuarantiner finds the part of a prompt that crashes upstreams, from the requests
// that were running at each crash, at any instance. A part that crashes upstreams is
// in every such crash, and no request with it ever completes; the other parts and the
// requests that ran beside it complete sooner or later. Since crashes may have another
// cause, a few requests with a quarantined part are sent to an upstream as a trial. It is
// safe for concurrent use.
type PartQuarantiner struct {
	config PartsConfig

	mu sync.Mutex
	// suspicions are in the order in which they became known.
	suspicions  []suspicion
	completions map[Part]completion
	quarantined map[Part]quarantine
	// claimant identifies this instance in claims to trials.
	claimant uint64
}

// NewParts returns a PartQuarantiner without suspicions.
func NewParts(config PartsConfig) *PartQuarantiner {
	return &PartQuarantiner{
		config: config, completions: make(map[Part]completion), quarantined: make(map[Part]quarantine), claimant: rand.Uint64() | 1,
	}
}

// RecordCrash records a request that was running when its upstream crashed.
func (q *PartQuarantiner) RecordCrash(s Suspicion, now time.Time) {
	if len(s.Parts) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.add(s, maxReports, now) {
		q.reconsider(now)
	}
	q.config.OnNews()
}

// RecordCompletion records that a request with these parts has completed, or is so far
// that a request that crashes upstreams would have done so: none of them does.
func (q *PartQuarantiner) RecordCompletion(parts []Part, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	wasQuarantined := q.hasQuarantined(parts)
	for _, part := range parts {
		q.release(part, now)
	}
	if wasQuarantined {
		q.reconsider(now)
	}
}

// IsQuarantined reports whether a request with these parts must not be sent to an
// upstream.
func (q *PartQuarantiner) IsQuarantined(parts []Part, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, part := range parts {
		if known, found := q.quarantined[part]; found && now.Before(known.until) {
			known.until = now.Add(quarantineTime)
			q.quarantined[part] = known
			return true
		}
	}
	return false
}

// Explains reports whether a quarantined part is the cause of a crash, and not a request that ran
// then and has no such part.
func (q *PartQuarantiner) Explains(crash, request uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	isExplained := false
	for i := range q.suspicions {
		s := &q.suspicions[i]
		if s.Crash != crash || !q.hasQuarantined(s.Parts) {
			continue
		}
		if s.Request == request {
			return false
		}
		isExplained = true
	}
	return isExplained
}

// Merge applies a peer's report.
func (q *PartQuarantiner) Merge(report *PartReport, now time.Time) {
	if report.IsEmpty() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	wasQuarantined := q.hasQuarantined(report.Sound)
	for _, part := range report.Sound {
		q.clear(part, now)
	}
	hasNew := false
	for _, s := range report.Suspicions {
		hasNew = q.add(s, 0, now) || hasNew
	}
	if hasNew || wasQuarantined {
		q.reconsider(now)
	}
	for _, part := range report.Quarantined {
		if q.completedWithin(part.Part, reportPeriod, now) {
			continue
		}
		known, found := q.quarantined[part.Part]
		if !found {
			known.since = now
			q.config.OnChange(part.Part, true)
		}
		known.hearTrials(part.Trials, now)
		if until := now.Add(min(part.Remaining, quarantineTime)); until.After(known.until) {
			known.until = until
		}
		known.reportedAt = now
		q.quarantined[part.Part] = known
	}
	for _, claim := range report.Claims {
		q.hearClaim(claim, now)
	}
}

// hasQuarantined reports whether one of the parts is quarantined. The caller must lock mu.
func (q *PartQuarantiner) hasQuarantined(parts []Part) bool {
	return slices.ContainsFunc(parts, func(part Part) bool {
		_, isQuarantined := q.quarantined[part]
		return isQuarantined
	})
}

// Report returns what the peers should be told now.
func (q *PartQuarantiner) Report(now time.Time) PartReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	var report PartReport
	for i := range q.suspicions {
		s := &q.suspicions[i]
		if s.reportsLeft > 0 && len(report.Suspicions) < maxReportedSuspicions {
			s.reportsLeft--
			s.Age = now.Sub(s.at)
			report.Suspicions = append(report.Suspicions, s.Suspicion)
		}
		report.Sound = q.appendSound(report.Sound, s.Parts)
	}
	report.Claims = q.reportClaims(now)
	report.Quarantined = q.reportQuarantined(now)
	return report
}

// appendSound appends the suspected parts whose completed requests are to be reported.
// The caller must lock mu.
func (q *PartQuarantiner) appendSound(sound, suspected []Part) []Part {
	for _, part := range suspected {
		known := q.completions[part]
		if known.reportsLeft > 0 && len(sound) < maxReportedSuspicions && !slices.Contains(sound, part) {
			known.reportsLeft--
			q.completions[part] = known
			sound = append(sound, part)
		}
	}
	return sound
}

// reportQuarantined returns the quarantined parts that no instance has reported lately,
// and removes those whose quarantine has ended. The caller must lock mu.
func (q *PartQuarantiner) reportQuarantined(now time.Time) []QuarantinedPart {
	var parts []QuarantinedPart
	for part, known := range q.quarantined {
		switch {
		case !now.Before(known.until):
			delete(q.quarantined, part)
			q.config.OnChange(part, false)
		case now.Sub(known.reportedAt) >= repeatPeriod && len(parts) < maxReportedParts:
			known.reportedAt = now
			q.quarantined[part] = known
			parts = append(parts, QuarantinedPart{Part: part, Remaining: known.until.Sub(now), Trials: known.trials})
		}
	}
	return parts
}

// add records a suspicion, and reports whether it is new. The caller must lock mu.
func (q *PartQuarantiner) add(s Suspicion, reports int, now time.Time) bool {
	at := now.Add(-s.Age)
	q.suspicions = slices.DeleteFunc(q.suspicions, func(known suspicion) bool { return now.Sub(known.at) > suspicionRetention })
	isKnown := slices.ContainsFunc(q.suspicions, func(known suspicion) bool { return known.Crash == s.Crash && known.Request == s.Request })
	if isKnown || len(s.Parts) == 0 {
		return false
	}
	if len(q.suspicions) >= maxSuspicions {
		q.suspicions = q.suspicions[1:]
	}
	q.suspicions = append(q.suspicions, suspicion{Suspicion: s, at: at, reportsLeft: reports})
	return true
}

// reconsider quarantines the parts that explain the crashes best, and releases those whose
// crashes another part explains better. The caller must lock mu.
func (q *PartQuarantiner) reconsider(now time.Time) {
	collected := q.collectEvidence()
	culprits := q.culprits(collected)
	for part := range culprits {
		if _, isKnown := q.quarantined[part]; !isKnown {
			q.quarantined[part] = quarantine{until: now.Add(quarantineTime), since: now}
			q.config.OnChange(part, true)
			q.config.OnNews()
		}
	}
	for part := range q.quarantined {
		if e := collected[part]; !culprits[part] && e != nil && e.isEnough() {
			q.release(part, now)
		}
	}
}

// release clears a part and tells the peers. The caller must lock mu.
func (q *PartQuarantiner) release(part Part, now time.Time) {
	if !q.clear(part, now) {
		return
	}
	known := q.completions[part]
	known.reportsLeft = maxReports
	q.completions[part] = known
	q.config.OnNews()
}

// clear records a completed request with a part. It reports whether the part was
// suspected. The caller must lock mu.
func (q *PartQuarantiner) clear(part Part, now time.Time) bool {
	known, found := q.completions[part]
	if !found && len(q.completions) >= maxParts {
		q.evict()
	}
	_, wasSuspected := q.quarantined[part]
	if wasSuspected {
		delete(q.quarantined, part)
		q.config.OnChange(part, false)
	}
	for i := range q.suspicions {
		wasSuspected = wasSuspected || q.suspicions[i].at.After(known.at) && slices.Contains(q.suspicions[i].Parts, part)
	}
	known.count++
	if now.After(known.at) {
		known.at = now
	}
	q.completions[part] = known
	return wasSuspected
}

// evict removes an eighth of the parts with completed requests, the ones of the longest
// ago. The caller must lock mu.
func (q *PartQuarantiner) evict() {
	times := make([]time.Time, 0, len(q.completions))
	for _, known := range q.completions {
		times = append(times, known.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	oldest := times[len(times)/8]
	for part, known := range q.completions {
		if !known.at.After(oldest) {
			delete(q.completions, part)
		}
	}
}

// completedWithin reports whether a request with a part has completed lately.
func (q *PartQuarantiner) completedWithin(part Part, period time.Duration, now time.Time) bool {
	known, found := q.completions[part]
	return found && now.Sub(known.at) < period
}
