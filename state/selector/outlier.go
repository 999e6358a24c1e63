package selector

import "time"

const (
	// maxFaultChance is the chance, under the assumption that an upstream is as good as the
	// others, below which its failures show that it is faulty.
	maxFaultChance = 1e-4
	// minFailureShare is the least share of failures that is assumed of any work.
	minFailureShare = 0.02
	// comparisonWindow is the time within which failures are compared with the results of
	// other upstreams.
	comparisonWindow = 10 * time.Second
	// maxComparedRequests bounds the requests that a comparison keeps of each caller, and
	// maxComparedCallers the callers that it keeps of each kind of work.
	maxComparedRequests = 32
	maxComparedCallers  = 64
)

// attempt is a request that was sent to an upstream, for the comparison of results.
type attempt struct {
	kind        workKind
	caller      string
	fingerprint uint64
	sentAt      time.Time
	// firstBytes is the number of responses that the upstream had begun when it was sent.
	firstBytes int
}

// workKind is what upstreams must be able to do to serve a request.
type workKind struct{ model, adapter string }

func (r *Request) attempt(now time.Time) attempt {
	return attempt{kind: workKind{r.Model, r.Adapter}, caller: r.Caller, fingerprint: r.Fingerprint, sentAt: now}
}

// tally counts the results of upstreams other than the one that is compared with them.
type tally struct{ served, failed int }

func (t *tally) add(isServed bool) {
	if isServed {
		t.served++
		return
	}
	t.failed++
}

// failureShare estimates the share of failures. It is prior without any result.
func (t *tally) failureShare(prior float64) float64 {
	return max((float64(t.failed)+prior)/float64(t.served+t.failed+1), minFailureShare)
}

// comparison compares the failures of an upstream since it has last served a request with
// the results of the others for the same work at the same time. Requests that fail everywhere
// thus do not speak against it.
type comparison struct {
	beganAt time.Time
	kinds   map[workKind]*kindComparison
}

type kindComparison struct {
	others  tally
	callers map[string]*callerComparison
}

type callerComparison struct {
	// failures counts the failures, and broken those without a whole response.
	failures, broken int
	others           tally
	// requests holds the requests that have failed, and whether another upstream has served
	// an equal one since.
	requests map[uint64]bool
}

func newComparison(now time.Time) *comparison {
	return &comparison{beganAt: now, kinds: make(map[workKind]*kindComparison)}
}

func (c *comparison) hasExpired(now time.Time) bool { return now.Sub(c.beganAt) >= comparisonWindow }

// addFailure records a failure of the upstream. An equal request that fails again counts only
// if another upstream has served one.
func (c *comparison) addFailure(a *attempt, isBroken bool) {
	kind := c.kinds[a.kind]
	if kind == nil {
		kind = &kindComparison{callers: make(map[string]*callerComparison)}
		c.kinds[a.kind] = kind
	}
	caller := kind.callers[a.caller]
	if caller == nil {
		if len(kind.callers) >= maxComparedCallers {
			return
		}
		caller = &callerComparison{requests: make(map[uint64]bool)}
		kind.callers[a.caller] = caller
	}
	if a.fingerprint != 0 {
		isServedByOthers, isKnown := caller.requests[a.fingerprint]
		if isKnown && !isServedByOthers || !isKnown && len(caller.requests) >= maxComparedRequests {
			return
		}
		caller.requests[a.fingerprint] = isServedByOthers
	}
	caller.failures++
	if isBroken {
		caller.broken++
	}
}

// addOther records a result of another upstream.
func (c *comparison) addOther(a *attempt, isServed bool) {
	kind := c.kinds[a.kind]
	if kind == nil {
		return
	}
	kind.others.add(isServed)
	caller := kind.callers[a.caller]
	if caller == nil {
		return
	}
	caller.others.add(isServed)
	if _, isKnown := caller.requests[a.fingerprint]; isKnown && isServed {
		caller.requests[a.fingerprint] = true
	}
}

// showsFault reports whether the failures show that the upstream is faulty. Failures without
// a whole response do unless their requests fail at the others too. Others do only if they are
// too many for an upstream that is as good as the others.
func (c *comparison) showsFault() bool {
	failures, broken := 0, 0
	chance := 1.0
	for _, kind := range c.kinds {
		for _, caller := range kind.callers {
			failures += caller.failures
			broken += caller.countBroken()
			chance *= caller.chance(&kind.others)
		}
	}
	return broken >= minFailuresForTrials || failures >= minFailuresForTrials && chance < maxFaultChance
}

// countBroken counts the failures without a whole response. Those of a caller that fails at
// the other upstreams too count as one.
func (c *callerComparison) countBroken() int {
	if c.others.failed > c.others.served {
		return min(c.broken, 1)
	}
	return c.broken
}

// chance returns the chance of the failures. Before the others have a result for the caller,
// its first failure is judged by their results for all callers. Its further failures are not,
// since its requests may have a fault in common.
func (c *callerComparison) chance(others *tally) float64 {
	chance := c.others.failureShare(others.failureShare(1))
	further := c.others.failureShare(1)
	for range c.failures - 1 {
		chance *= further
	}
	return chance
}

// recordOutcome updates the health of an upstream with the outcome of a request, and the
// comparisons of the others with it, unless the upstream is known to be faulty. It reports
// whether the upstream is ejected. The caller must lock mu.
func (s *Selector) recordOutcome(c *candidate, a *attempt, outcome Outcome, now time.Time) bool {
	if outcome == Served || outcome.isFailure() && !c.health.isFaulty {
		for other := range s.compared {
			if other != c && other.upstream.Service == c.upstream.Service {
				other.health.comparison.addOther(a, outcome == Served)
			}
		}
	}
	isEjected := c.health.recordOutcome(a, outcome, now)
	if c.health.comparison != nil {
		s.compared[c] = true
	} else {
		delete(s.compared, c)
	}
	return isEjected
}

// dropCompared forgets the comparisons of upstreams that are gone or have restarted. The
// caller must lock mu.
func (s *Selector) dropCompared() {
	for c := range s.compared {
		if s.candidates[c.upstream.ID] != c {
			delete(s.compared, c)
		}
	}
}
