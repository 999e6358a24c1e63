package selector

import (
	"math"
	"time"
)

const (
	// defaultServiceMillis is the service time of a plain service of which no answer is known.
	defaultServiceMillis = 60.0
	// objectiveFraction is the fraction of the latency objective within which an answer of a
	// plain service is expected. The rest is for the network and for longer work.
	objectiveFraction = 0.8
	// serviceTimeHalfLife is the age at which the last answers of one upstream count as much as
	// those of the whole service.
	serviceTimeHalfLife = 300 * time.Millisecond
	// upstreamTimeWeight and serviceTimeWeight are the weights of a new answer in the average
	// of its upstream and in that of its service.
	upstreamTimeWeight = 0.3
	serviceTimeWeight  = 0.05
	// maxQueuedPerSlot bounds the requests that wait at an upstream, as a multiple of its slots.
	maxQueuedPerSlot = 1.0
	// refusedDepthFactor lowers the bound of an upstream that has refused a request.
	refusedDepthFactor = 0.5
	// depthRecovery is the time in which a lowered bound rises by as many requests as the
	// upstream has slots.
	depthRecovery = time.Second
	// plainTieBreakFraction is the range of the tie-break, as a fraction of the cost of one
	// running request.
	plainTieBreakFraction = 0.25
)

// serviceTime is an average of the time that an upstream takes for a request once it has begun.
// Its zero value knows no answer.
type serviceTime struct {
	millis    float64
	updatedAt time.Time
}

// With returns the average with another answer.
func (t serviceTime) With(millis, weight float64, now time.Time) serviceTime {
	if t.updatedAt.IsZero() {
		weight = 1
	}
	return serviceTime{millis: t.millis + weight*(millis-t.millis), updatedAt: now}
}

// plainPace is what this instance has learnt of an upstream of a plain service.
type plainPace struct {
	serviceTime serviceTime
	// refusedDepth bounds the requests that wait at the upstream as of refusedAt, which is zero
	// if it has refused none.
	refusedDepth float64
	refusedAt    time.Time
}

// queueBound returns how many requests may wait at the upstream, whatever their objective.
func (p *plainPace) queueBound(slots float64, now time.Time) float64 {
	bound := maxQueuedPerSlot * slots
	if p.refusedAt.IsZero() {
		return bound
	}
	return min(bound, p.refusedDepth+slots*now.Sub(p.refusedAt).Seconds()/depthRecovery.Seconds())
}

// inFlight returns the requests at the upstream from all instances.
func (c *candidate) inFlight() int { return c.ownLoad.InFlight + c.peerLoad.InFlight }

// plainSlots returns the slots of an upstream of a plain service.
func (c *candidate) plainSlots() float64 { return float64(max(c.upstream.Slots, 1)) }

// plainEligibility returns Chosen if the upstream of a plain service can answer the request
// within its objective. Its queue is shared by all instances, so that no slot stands idle
// until an instance learns that it is free.
func (s *Selector) plainEligibility(c *candidate, request *Request, now time.Time) Result {
	inFlight := c.inFlight()
	switch {
	case inFlight < c.upstream.Slots:
		return Chosen
	case request.Objective <= 0:
		return Busy
	case request.IsOverLimit:
		return Full
	}
	slots, millis := c.plainSlots(), s.serviceMillis(c, now)
	queued := float64(inFlight+1) - slots
	affordable := slots * (objectiveFraction*float64(request.Objective)/float64(time.Millisecond)/millis - 1)
	if queued > min(affordable, c.plainPace.queueBound(slots, now)) {
		return Full
	}
	return Chosen
}

// plainCostMillis estimates the time to the answer of an upstream of a plain service. The
// tie-break differs from choice to choice, so that upstreams that are alike get equal parts.
func (s *Selector) plainCostMillis(c *candidate, now time.Time) float64 {
	tieBreak := plainTieBreakFraction * tieBreakMillis(c.hash, s.choices) / tieBreakRangeMillis
	return s.serviceMillis(c, now) * (1 + (float64(c.inFlight())+tieBreak)/c.plainSlots())
}

// serviceMillis estimates the time that the upstream takes for a request once it has begun.
// What one upstream has shown loses weight fast, since it may be slow for less than a second.
func (s *Selector) serviceMillis(c *candidate, now time.Time) float64 {
	millis := defaultServiceMillis
	if known := s.serviceTimes[c.upstream.Service]; !known.updatedAt.IsZero() {
		millis = known.millis
	}
	if own := c.plainPace.serviceTime; !own.updatedAt.IsZero() {
		weight := math.Exp2(-now.Sub(own.updatedAt).Seconds() / serviceTimeHalfLife.Seconds())
		millis += weight * (own.millis - millis)
	}
	return max(millis, 1)
}

// learnPlain learns from the outcome of a request to a plain service. The caller must lock mu.
func (s *Selector) learnPlain(r *Reservation, outcome Outcome, now time.Time) {
	c := r.candidate
	slots := c.plainSlots()
	switch outcome {
	case Served:
		took := float64(now.Sub(r.attempt.sentAt)) / float64(time.Millisecond)
		millis := took * slots / max(float64(r.inFlight), slots)
		c.plainPace.serviceTime = c.plainPace.serviceTime.With(millis, upstreamTimeWeight, now)
		s.serviceTimes[c.upstream.Service] = s.serviceTimes[c.upstream.Service].With(millis, serviceTimeWeight, now)
	case Refused:
		depth := max(float64(r.inFlight)-slots, 0)
		c.plainPace.refusedDepth = refusedDepthFactor * min(depth, c.plainPace.queueBound(slots, now))
		c.plainPace.refusedAt = now
	case Abandoned, Failed, Unreachable, Broken, TimedOut:
	}
}

// PlainDelay returns when an upstream that could serve a refused request of a plain service
// has a free slot again, if no other request takes it.
func (s *Selector) PlainDelay(request *Request, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	least := math.Inf(1)
	for _, c := range s.byService[request.Service] {
		if request.allows(c.upstream) {
			queued := max(float64(c.inFlight()+1)/c.plainSlots()-1, 0)
			least = min(least, s.serviceMillis(c, now)*queued)
		}
	}
	if math.IsInf(least, 1) {
		least = defaultServiceMillis
	}
	return time.Duration(least * float64(time.Millisecond))
}
