package quarantiner

import "time"

// Timing and number of trials.
const (
	// ClaimTime is how long an instance waits before it takes a trial that it has claimed.
	// Within it all instances hear of the claim, also if a message is lost.
	ClaimTime = 750 * time.Millisecond
	// claimTimeout is the time after a claim at which another one may follow, and
	// takeTimeout the time within which the trial must be taken.
	claimTimeout = 3 * time.Second
	takeTimeout  = 2 * time.Second
	// trialDelay is the time from the quarantine to the first trial of a part with which
	// requests have completed before, and firstTrialDelay that of any other part: it is
	// probably the cause, and each trial of such a part costs an upstream.
	// trialInterval is the time between two trials.
	trialDelay      = time.Second
	firstTrialDelay = 2 * time.Minute
	trialInterval   = 5 * time.Second
	// claimSpread is the time over which the instances of a fleet spread their claims, so that
	// most of them hear of another one's before their own is due.
	claimSpread = time.Second
	// maxTrials bounds the trials of a part with which requests have completed before, and
	// maxFirstTrials those of any other part.
	maxTrials      = 2
	maxFirstTrials = 1
)

// TrialClaim announces that an instance has a request for a trial of a quarantined part.
type TrialClaim struct {
	Part Part `cbor:"1,keyasint"`
	// Claimant identifies the instance. The lowest claimant takes the trial.
	Claimant uint64 `cbor:"2,keyasint"`
}

// claim is a TrialClaim with the time at which it became known.
type claim struct {
	claimant uint64
	at       time.Time
	// reportsLeft is the number of times that it will still be reported.
	reportsLeft int
}

func (c claim) isPending(now time.Time) bool { return c.claimant != 0 && now.Sub(c.at) < claimTimeout }

// IsTrialOpen reports whether a request whose prompt has a quarantined part may claim to be the
// trial that shows whether that part crashes upstreams.
func (q *PartQuarantiner) IsTrialOpen(parts []Part, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, isOpen := q.openTrial(parts, now)
	return isOpen
}

// ClaimTrial reports whether a request is to be the trial of a quarantined part. The caller
// must then wait for ClaimTime, and call TakeTrial just before the request is sent.
func (q *PartQuarantiner) ClaimTrial(parts []Part, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	part, isOpen := q.openTrial(parts, now)
	if !isOpen {
		return false
	}
	known := q.quarantined[part]
	known.claim = claim{claimant: q.claimant, at: now, reportsLeft: maxReports}
	q.quarantined[part] = known
	q.config.OnNews()
	return true
}

// TakeTrial reports whether the request for which a trial was claimed may be sent to an
// upstream, once.
func (q *PartQuarantiner) TakeTrial(parts []Part, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	part, found := q.onlyQuarantined(parts, now)
	known := q.quarantined[part]
	if !found || known.claim.claimant != q.claimant || now.Sub(known.claim.at) >= takeTimeout || !q.isTrialDue(part, now) {
		return false
	}
	known.claim = claim{}
	known.trials++
	known.triedAt, known.reportedAt = now, time.Time{}
	q.quarantined[part] = known
	q.config.OnTrial(part)
	q.config.OnNews()
	return true
}

// openTrial returns the quarantined part of a prompt if its trial is due and not claimed. The
// caller must lock mu.
func (q *PartQuarantiner) openTrial(parts []Part, now time.Time) (Part, bool) {
	part, found := q.onlyQuarantined(parts, now)
	known := q.quarantined[part]
	return part, found && !known.claim.isPending(now) && q.isTrialDue(part, now)
}

// onlyQuarantined returns the quarantined part of a prompt if it has exactly one. A prompt
// with several would not show which of them is sound. The caller must lock mu.
func (q *PartQuarantiner) onlyQuarantined(parts []Part, now time.Time) (Part, bool) {
	var only Part
	count := 0
	for _, part := range parts {
		if known, found := q.quarantined[part]; found && now.Before(known.until) {
			only = part
			count++
		}
	}
	return only, count == 1
}

// isTrialDue reports whether the next trial of a quarantined part is due. A part with which
// requests have completed is less likely to be the cause. The caller must lock mu.
func (q *PartQuarantiner) isTrialDue(part Part, now time.Time) bool {
	known := q.quarantined[part]
	delay, limit := firstTrialDelay, maxFirstTrials
	if q.completions[part].count > 0 {
		delay, limit = trialDelay, maxTrials
	}
	delay += time.Duration(q.claimant % uint64(claimSpread))
	return known.trials < limit && now.Sub(known.since) >= delay && (known.trials == 0 || now.Sub(known.triedAt) >= trialInterval)
}

// hearTrials applies the number of trials that a peer knows.
func (k *quarantine) hearTrials(trials int, now time.Time) {
	if trials > k.trials {
		k.trials, k.triedAt, k.claim = trials, now, claim{}
	}
}

// hearClaim applies a peer's claim. The caller must lock mu.
func (q *PartQuarantiner) hearClaim(heard TrialClaim, now time.Time) {
	known, found := q.quarantined[heard.Part]
	switch {
	case !found:
		return
	case known.trials > 0 && now.Sub(known.triedAt) < trialInterval || known.trials >= maxTrials:
		// The claimant has not heard of the last trial.
		known.reportedAt = time.Time{}
		q.config.OnNews()
	case !known.claim.isPending(now) || heard.Claimant < known.claim.claimant:
		known.claim = claim{claimant: heard.Claimant, at: now}
	}
	q.quarantined[heard.Part] = known
}

// reportClaims returns the claims of this instance that the peers should be told now. The
// caller must lock mu.
func (q *PartQuarantiner) reportClaims(now time.Time) []TrialClaim {
	var claims []TrialClaim
	for part, known := range q.quarantined {
		if known.claim.reportsLeft == 0 || !known.claim.isPending(now) || len(claims) >= maxReportedParts {
			continue
		}
		known.claim.reportsLeft--
		q.quarantined[part] = known
		claims = append(claims, TrialClaim{Part: part, Claimant: known.claim.claimant})
	}
	return claims
}
