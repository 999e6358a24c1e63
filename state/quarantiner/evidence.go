package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// evidence is what speaks against a part: the suspected requests with it since the last
// completed one.
type evidence struct {
	suspicions []*suspicion
	// position is the greatest position of the part in a prompt.
	position int
}

// collectEvidence returns the evidence against each suspected part. The caller must lock mu.
func (q *PartQuarantiner) collectEvidence() map[Part]*evidence {
	collected := make(map[Part]*evidence)
	for i := range q.suspicions {
		s := &q.suspicions[i]
		for position, part := range s.Parts {
			if !s.at.After(q.completions[part].at) {
				continue
			}
			e := collected[part]
			if e == nil {
				e = &evidence{}
				collected[part] = e
			}
			e.suspicions = append(e.suspicions, s)
			e.position = max(e.position, position)
		}
	}
	return collected
}

// countCrashes counts the crashes that no other part explains. It returns 0 if they all met
// the same request.
func (e *evidence) countCrashes(explained map[uint64]bool) int {
	var times []time.Time
	requests := make(map[uint64]bool)
	for _, s := range e.suspicions {
		if !explained[s.Crash] {
			times = append(times, s.at)
			requests[s.Request] = true
		}
	}
	if len(requests) < minRequests {
		return 0
	}
	return countSpaced(times)
}

// isEnough reports whether the evidence suffices to quarantine the part.
func (e *evidence) isEnough() bool { return e.countCrashes(nil) >= minCrashes }

// explain adds the crashes of the evidence to the explained ones.
func (e *evidence) explain(explained map[uint64]bool) {
	for _, s := range e.suspicions {
		explained[s.Crash] = true
	}
}

// culprits returns the fewest parts that explain the crashes. A crash that one part explains
// is no evidence against the other parts of the requests that ran on the same upstream. The
// caller must lock mu.
func (q *PartQuarantiner) culprits(collected map[Part]*evidence) map[Part]bool {
	explained := make(map[uint64]bool)
	for part := range q.quarantined {
		if e := collected[part]; e != nil && !e.isEnough() {
			// Other instances know more, or the evidence has expired.
			e.explain(explained)
		}
	}
	culprits := make(map[Part]bool)
	for {
		part, found := q.mostLikelyCulprit(collected, explained)
		if !found {
			return culprits
		}
		culprits[part] = true
		collected[part].explain(explained)
	}
}

// suspect is a part against which there is enough evidence.
type suspect struct {
	part Part
	// crashes is the number of crashes that no other part explains.
	crashes     int
	completions int
	position    int
}

// mostLikelyCulprit returns the part that explains crashes best which are not explained yet,
// if there is enough evidence against one. The caller must lock mu.
func (q *PartQuarantiner) mostLikelyCulprit(collected map[Part]*evidence, explained map[uint64]bool) (Part, bool) {
	var best suspect
	found := false
	for part, e := range collected {
		other := suspect{part: part, crashes: e.countCrashes(explained), completions: q.completions[part].count, position: e.position}
		if other.crashes >= minCrashes && (!found || other.isLikelier(best)) {
			best, found = other, true
		}
	}
	return best.part, found
}

// isLikelier reports whether the part is more likely to crash upstreams than another one:
// fewer requests with it have completed, or else it explains more crashes, or else fewer
// prompts can have it in common.
func (s suspect) isLikelier(other suspect) bool {
	return cmp.Or(
		cmp.Compare(s.completions, other.completions),
		cmp.Compare(other.crashes, s.crashes),
		cmp.Compare(other.position, s.position),
		cmp.Compare(s.part, other.part),
	) < 0
}

// countSpaced counts the times that are at least crashSpacing after the last counted one.
func countSpaced(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	var last time.Time
	for _, t := range times {
		if count == 0 || t.Sub(last) >= crashSpacing {
			count++
			last = t
		}
	}
	return count
}
