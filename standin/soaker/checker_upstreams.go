package soaker

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// checkUpstreams checks the faults that upstreams report and the requests that
// they received.
func (j *checker) checkUpstreams() {
	for i := range j.upstreams {
		b := &j.upstreams[i]
		for _, fault := range b.faults {
			j.fail("memory", "%s: %s", b.id, fault)
		}
		for k := range b.runs {
			j.checkRun(b, &b.runs[k])
		}
	}
}

// checkRun checks that the upstream was eligible for the request and received no
// caller's credentials.
func (j *checker) checkRun(b *upstream, run *platformtest.Execution) {
	if run.Header.Get("Authorization") != "" {
		j.fail("keys", "%s carried credentials to %s", run.ID, b.id)
	}
	c := j.byID[run.ID]
	if c == nil || !j.isInformed(c.instance, c.sentAt, run.At) {
		return
	}
	if announcedAt, found := j.drainedAt[b.incarnation]; found && run.At.Sub(announcedAt) > drainTimeLimit {
		j.fail("draining", "%s reached %s %s after it announced that it drains", run.ID, b.id, run.At.Sub(announcedAt))
	}
	for _, outage := range j.zoneOutages[b.zone] {
		if run.At.Sub(outage.from) > zoneTimeLimit && run.At.Before(outage.until) {
			j.fail("zone_out", "%s reached %s %s after its zone was taken out", run.ID, b.id, run.At.Sub(outage.from))
		}
	}
}

// checkRateLimits checks that upstreams get no more requests than the rate limit that they
// name allows. Instances with a fault of their own are excused.
func (j *checker) checkRateLimits() {
	for _, limit := range j.rateLimits {
		index := slices.IndexFunc(j.upstreams, func(b upstream) bool { return b.incarnation == limit.incarnation })
		if index < 0 {
			continue
		}
		var samples []usageSample
		for _, arrival := range j.upstreams[index].arrivals {
			c := j.byID[arrival.ID]
			if c == nil || arrival.At.Before(limit.from.Add(stabilizationTime)) || arrival.At.After(limit.until) || !j.hasRun(c.instance, arrival.At) {
				continue
			}
			samples = append(samples, usageSample{arrival.At, 1})
		}
		bound := rateLimitOvershoot*limit.perSecond*rateLimitWindow.Seconds() + rateLimitSlack
		if maxSum := maxSumInWindow(samples, rateLimitWindow); maxSum > bound {
			j.fail("rate_limit", "%s got %.0f requests in %s at a limit of %.2f a second, bound %.1f",
				limit.incarnation, maxSum, rateLimitWindow, limit.perSecond, bound)
		}
	}
}

// checkBroken checks that an upstream that answers every request badly gets few of them from
// each instance.
func (j *checker) checkBroken() {
	for _, broken := range j.brokenUpstreams {
		index := slices.IndexFunc(j.upstreams, func(u upstream) bool { return u.incarnation == broken.incarnation })
		if index < 0 {
			continue
		}
		from := broken.from.Add(ejectionTime)
		counts := make(map[string]int)
		for _, arrival := range j.upstreams[index].arrivals {
			c := j.byID[arrival.ID]
			// An instance does not see that an upstream fails whose responses do not arrive.
			isSilent := hasOverlap(j.silentLinks[j.upstreams[index].id], arrival.At, arrival.At)
			if c != nil && !isSilent && arrival.At.After(from) && arrival.At.Before(broken.until) && j.hasRun(c.instance, arrival.At) {
				counts[c.instance]++
			}
		}
		bound := maxTrials + int(broken.until.Sub(from)/trialInterval)
		for instance, count := range counts {
			j.result.MaxTrials = max(j.result.MaxTrials, count)
			if count > bound {
				j.fail("outlier", "%s sent %d requests to %s, which failed at each for %s by behaviour %d, bound %d",
					instance, count, broken.incarnation, broken.until.Sub(from), broken.behaviour, bound)
			}
		}
	}
}

// hasRun reports whether an instance was without faults of its own for the stabilization
// time before a time.
func (j *checker) hasRun(instance string, at time.Time) bool {
	from := at.Add(-stabilizationTime)
	return !hasOverlap(j.instanceFaults[instance], from, at) && !hasOverlap(j.plannedStops[instance], from, at)
}

// checkRetries checks the retry budget of each service. Every arrival of a call
// after its first one counts as a retry.
func (j *checker) checkRetries() {
	for _, service := range []string{platformtest.ModelService, platformtest.PlainService, platformtest.PacedService} {
		var arrivals []platformtest.Arrival
		for i := range j.upstreams {
			if j.upstreams[i].service == service {
				arrivals = append(arrivals, j.upstreams[i].arrivals...)
			}
		}
		slices.SortFunc(arrivals, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
		seen := make(map[string]bool)
		var retries []usageSample
		for _, arrival := range arrivals {
			if seen[arrival.ID] {
				retries = append(retries, usageSample{arrival.At, 1})
			}
			seen[arrival.ID] = true
		}
		// Twice the mean number of requests per window stands for the requests in the
		// busiest window.
		requests := float64(len(seen))
		if len(arrivals) > 0 {
			length := max(arrivals[len(arrivals)-1].At.Sub(arrivals[0].At), retryWindow)
			requests *= 2 * retryWindow.Seconds() / length.Seconds()
		}
		if maxSum := maxSumInWindow(retries, retryWindow); maxSum > retryRatio*requests+retryAllowance {
			j.fail("retry_budget", "%.0f retries in %s at %s, bound %.0f", maxSum, retryWindow, service, retryRatio*requests+retryAllowance)
		}
	}
}

// checkOrders checks that only one planner leader at a time gives orders.
func (j *checker) checkOrders() {
	leaders := make(map[int64]string)
	var all []platformtest.ExecutedOrder
	for i := range j.upstreams {
		all = append(all, j.upstreams[i].orders...)
	}
	slices.SortFunc(all, func(a, b platformtest.ExecutedOrder) int {
		return cmp.Or(cmp.Compare(a.FencingToken, b.FencingToken), a.At.Compare(b.At))
	})
	for i, order := range all {
		if leader, known := leaders[order.FencingToken]; known && leader != order.Instance {
			j.fail("one_holder", "%s and %s gave orders with fencing token %d", leader, order.Instance, order.FencingToken)
		}
		leaders[order.FencingToken] = order.Instance
		if i == 0 || all[i-1].Instance == order.Instance {
			continue
		}
		if gap := order.At.Sub(all[i-1].At); gap < minLeadershipGap && j.isStable(order.Instance, order.At, order.At) && j.isStable(all[i-1].Instance, all[i-1].At, all[i-1].At) {
			j.fail("one_holder", "%s gave an order %s after %s", order.Instance, gap, all[i-1].Instance)
		}
	}
}

// checkLimit checks the workspace's token usage in every window.
func (j *checker) checkLimit() {
	var samples []usageSample
	for i := range j.calls {
		c := &j.calls[i]
		runs := j.runs[c.id]
		if len(runs) == 0 {
			continue
		}
		tokens := tokensPerPlainCall
		if c.kind.isStream() && c.kind != paced {
			tokens = tokensPerModelCall
		}
		samples = append(samples, usageSample{runs[0].At, tokens})
	}
	bound := (j.limitRate*limitWindow.Seconds()+j.limitRate)*(1+limitOvershoot) + limitSlack
	if maxSum := maxSumInWindow(samples, limitWindow); maxSum > bound {
		j.fail("limit", "%.0f tokens in %s, bound %.0f", maxSum, limitWindow, bound)
	}
}

// usageSample is an amount used at a point in time.
type usageSample struct {
	at     time.Time
	amount float64
}

// maxSumInWindow returns the largest sum of amounts within any window.
func maxSumInWindow(samples []usageSample, window time.Duration) float64 {
	slices.SortFunc(samples, func(a, b usageSample) int { return a.at.Compare(b.at) })
	maxSum, sum, first := 0.0, 0.0, 0
	for _, c := range samples {
		sum += c.amount
		for c.at.Sub(samples[first].at) > window {
			sum -= samples[first].amount
			first++
		}
		maxSum = max(maxSum, sum)
	}
	return maxSum
}
