package selector_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/selector"
)

// outlierLoad is a load on three engines, the first of which is faulty.
type outlierLoad struct {
	// perSecond is the number of requests a second for the duration.
	perSecond int
	duration  time.Duration
	// soundTime is how long a request runs at a sound engine, and faultyTime the time after
	// which one fails at the faulty engine.
	soundTime, faultyTime time.Duration
	// faultyUntil is the time at which the faulty engine becomes sound.
	faultyUntil time.Duration
	// outcome is that of requests at the faulty engine. Requests are of as many callers.
	outcome selector.Outcome
	callers int
}

// outlierRun is the result of a load.
type outlierRun struct {
	// failed holds the numbers of the requests that failed, and refused counts those that
	// found no engine within waitTime.
	failed  []int
	refused int
	// servedByFirst holds the times at which the first engine began requests that it served.
	servedByFirst []time.Duration
}

// waitTime is how long a request waits for an engine, and step the resolution of a run.
const (
	waitTime = 500 * time.Millisecond
	step     = 5 * time.Millisecond
)

// run plays the load without a network. Requests that wait are served in their order.
func (l *outlierLoad) run() outlierRun {
	s := newSelector(topology(small("e1"), small("e2"), small("e3")), 100)
	type pending struct {
		number      int
		at          time.Duration
		reservation *selector.Reservation
	}
	var result outlierRun
	var waiting, running []pending
	sent := 0
	for now := time.Duration(0); now < l.duration+2*time.Second; now += step {
		running = slices.DeleteFunc(running, func(r pending) bool {
			isFaulty := r.reservation.Upstream.ID == "e1" && r.at < l.faultyUntil
			switch {
			case isFaulty && now-r.at >= l.faultyTime:
				r.reservation.Release(l.outcome, start.Add(now))
				result.failed = append(result.failed, r.number)
			case !isFaulty && now-r.at >= l.soundTime:
				r.reservation.MarkFirstByte()
				r.reservation.Release(selector.Served, start.Add(now))
				if r.reservation.Upstream.ID == "e1" {
					result.servedByFirst = append(result.servedByFirst, r.at)
				}
			default:
				return false
			}
			return true
		})
		for ; now < l.duration && sent < int(now.Seconds()*float64(l.perSecond))+1; sent++ {
			waiting = append(waiting, pending{number: sent, at: now})
		}
		waiting = slices.DeleteFunc(waiting, func(w pending) bool {
			r := request("m0", "")
			r.PromptTokens, r.IsWaiting = 10, now > w.at
			r.Fingerprint, r.Caller = uint64(w.number+1), fmt.Sprint(w.number%l.callers)
			if reservation, _ := s.Choose(r, start.Add(now)); reservation != nil {
				running = append(running, pending{number: w.number, at: now, reservation: reservation})
				return true
			}
			if now-w.at >= waitTime {
				result.refused++
				return true
			}
			return false
		})
	}
	return result
}

var _ = Describe("An engine that answers nothing but garbage", func() {
	load := outlierLoad{
		perSecond: 60, duration: 11 * time.Second, soundTime: 300 * time.Millisecond, faultyTime: 45 * time.Millisecond,
		faultyUntil: time.Hour,
	}

	// Guards against calls that wait and are sent to a faulty engine together, whenever its
	// backoff ends, and against engines that are never ejected since they respond.
	DescribeTable("costs few requests, however many wait",
		func(outcome selector.Outcome, callers int) {
			load.outcome, load.callers = outcome, callers
			result := load.run()
			late := 0
			for _, number := range result.failed {
				if number >= 360 {
					late++
				}
			}
			AddReportEntry("result", fmt.Sprintf("%d of 660 failed, %d of the last 300; %d refused", len(result.failed), late, result.refused))
			Expect(len(result.failed)).To(BeNumerically("<=", 30))
			Expect(late).To(BeNumerically("<=", 3))
		},
		Entry("if no request reaches it", selector.Unreachable, 1),
		Entry("if no response is whole", selector.Broken, 1),
		Entry("if no response is whole, for many callers", selector.Broken, 700),
		Entry("if it is silent", selector.TimedOut, 1),
		Entry("if it is silent, for many callers", selector.TimedOut, 700),
		Entry("if it answers with errors", selector.Failed, 1),
		Entry("if it answers with errors, for many callers", selector.Failed, 700),
	)
})

// poisonLoad sends requests to three sound engines, some of which fail wherever they are sent.
type poisonLoad struct {
	outcome selector.Outcome
	// fingerprint returns that of a request, and isPoison whether it fails.
	fingerprint func(number int) uint64
	isPoison    func(number int) bool
	// caller returns who sends a request.
	caller func(number int) string
}

// maxEjected returns the largest number of engines that were ejected at the same time.
func (l *poisonLoad) maxEjected() int {
	s := newSelector(topology(engine("e1", "za", m0), engine("e2", "za", m0), engine("e3", "za", m0)), 100)
	ejected := 0
	for number := range 600 {
		now := start.Add(time.Duration(number) * 20 * time.Millisecond)
		r := request("m0", "")
		r.Fingerprint, r.Caller = l.fingerprint(number), l.caller(number)
		reservation, _ := s.Choose(r, now)
		if reservation == nil {
			continue
		}
		if l.isPoison(number) {
			reservation.Release(l.outcome, now)
		} else {
			reservation.Release(selector.Served, now)
		}
		ejected = max(ejected, s.EjectedUpstreams())
	}
	return ejected
}

var _ = Describe("Sound engines", func() {
	distinct := func(number int) uint64 { return uint64(number + 1) }
	same := func(int) string { return "a" }

	// Guards against engines that are ejected for the requests that they get.
	DescribeTable("are not ejected",
		func(load poisonLoad) {
			for _, load.outcome = range []selector.Outcome{selector.Failed, selector.Broken, selector.TimedOut} {
				Expect(load.maxEjected()).To(BeZero(), "outcome %d", load.outcome)
			}
		},
		Entry("for one request that is sent again and again", poisonLoad{
			fingerprint: func(int) uint64 { return 1 }, isPoison: func(int) bool { return true }, caller: same,
		}),
		Entry("for one request among others", poisonLoad{
			fingerprint: func(number int) uint64 {
				if number%10 < 8 {
					return 1
				}
				return distinct(number)
			}, isPoison: func(number int) bool { return number%10 < 8 }, caller: same,
		}),
		Entry("for a caller whose requests all fail", poisonLoad{
			fingerprint: distinct, isPoison: func(int) bool { return true }, caller: same,
		}),
		Entry("for a caller whose requests fail from some time on", poisonLoad{
			fingerprint: distinct, isPoison: func(number int) bool { return number > 200 }, caller: same,
		}),
		Entry("for one of two callers whose requests all fail", poisonLoad{
			fingerprint: distinct, isPoison: func(number int) bool { return number%2 == 0 },
			caller: func(number int) string { return fmt.Sprint(number % 2) },
		}),
		Entry("for a caller of whose requests every other one fails", poisonLoad{
			fingerprint: distinct, isPoison: func(number int) bool { return number%2 == 0 }, caller: same,
		}),
	)

	// Guards against an engine that is ejected because it is too busy to complete all requests
	// in time, when others are not.
	It("are not ejected for a load that they work on", func() {
		s := newSelector(topology(engine("e1", "za", m0), engine("e2", "zb", m0)), 100)
		send := func(number int, excluded string, now time.Time) *selector.Reservation {
			r := request("m0", "")
			r.PromptTokens, r.Fingerprint, r.Caller = 10, distinct(number), fmt.Sprint(number%7)
			r.Excluded = []string{excluded}
			reservation, result := s.Choose(r, now)
			Expect(reservation).NotTo(BeNil(), "%s", result)
			return reservation
		}
		for number := range 40 {
			now := start.Add(time.Duration(number) * 100 * time.Millisecond)
			late, begun := send(3*number, "e2", now), send(3*number+1, "e2", now)
			send(3*number+2, "e1", now).Release(selector.Served, now)
			begun.MarkFirstByte()
			late.Release(selector.TimedOut, now.Add(50*time.Millisecond))
			begun.Release(selector.Abandoned, now.Add(60*time.Millisecond))
			Expect(s.EjectedUpstreams()).To(BeZero(), "after %d", number)
		}
	})

	// Guards against an incarnation that is ejected for the failures of the one before.
	It("begin without the failures of the incarnation before", func() {
		e1, e2 := engine("e1", "za", m0), engine("e2", "zb", m0)
		s := newSelector(topology(e1, e2), 100)
		for number := range 3 {
			r := request("m0", "")
			r.Fingerprint, r.Excluded = distinct(number), []string{"e2"}
			now := start.Add(time.Duration(number) * 2 * time.Second)
			reservation, _ := s.Choose(r, now)
			Expect(reservation).NotTo(BeNil())
			reservation.Release(selector.Broken, now)
		}
		Expect(s.EjectedUpstreams()).To(Equal(1))
		restarted := *e1
		restarted.StartUnixMilli = 9
		s.SetTopology(topology(&restarted, e2))
		Expect(s.EjectedUpstreams()).To(BeZero())
	})
})

// small returns an engine that can run six requests at once.
func small(id string) *catalog.Upstream {
	e := engine(id, "za", m0)
	e.Slots = 7
	return e
}

var _ = Describe("An engine that becomes sound again", func() {
	// Guards against an engine that stays ejected, or gets all requests at once.
	It("gets requests in steps", func() {
		load := outlierLoad{
			perSecond: 60, duration: 11 * time.Second, soundTime: 300 * time.Millisecond, faultyTime: 45 * time.Millisecond,
			faultyUntil: 4 * time.Second, outcome: selector.Unreachable, callers: 1,
		}
		served := load.run().servedByFirst
		Expect(served).NotTo(BeEmpty())
		// The last backoff begins before the engine is sound and lasts 2.4 s at most.
		Expect(served[0]).To(BeNumerically("<", load.faultyUntil+2500*time.Millisecond))
		Expect(countBetween(served, served[0], served[0]+300*time.Millisecond)).To(Equal(1))
		Expect(countBetween(served, served[0]+300*time.Millisecond, served[0]+600*time.Millisecond)).To(Equal(2))
		Expect(countBetween(served, served[0]+2*time.Second, served[0]+3*time.Second)).To(BeNumerically(">=", 15))
	})

	// Guards against a model of which no engine is left because all have failed.
	It("is used although it is ejected if no other engine could serve the request", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 100)
		now := start
		for range 6 {
			reservation, _ := s.Choose(request("m0", ""), now)
			Expect(reservation).NotTo(BeNil())
			reservation.Release(selector.Unreachable, now)
			now = now.Add(1200 * time.Millisecond)
		}
	})
})

var _ = Describe("The only engine of a model", func() {
	// Guards against a backoff after which requests are sent one after the other until the
	// ejection, which lasts longer, has ended too.
	It("gets one request in each backoff while it fails", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 100)
		var sent []time.Duration
		for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
			if reservation, _ := s.Choose(request("m0", ""), start.Add(now)); reservation != nil {
				reservation.Release(selector.Unreachable, start.Add(now))
				sent = append(sent, now)
			}
		}
		Expect(countBetween(sent, 8*time.Second, 20*time.Second)).To(BeNumerically("<=", 11))
	})

	// Guards against requests that were sent before a backoff began and make it longer.
	It("is tried when its backoff ends although earlier requests fail late", func() {
		s := newSelector(topology(engine("e1", "za", m0)), 100)
		early, _ := s.Choose(request("m0", ""), start)
		late, _ := s.Choose(request("m0", ""), start)
		early.Release(selector.Unreachable, start.Add(10*time.Millisecond))
		late.Release(selector.Unreachable, start.Add(200*time.Millisecond))
		reservation, _ := s.Choose(request("m0", ""), start.Add(210*time.Millisecond))
		Expect(reservation).NotTo(BeNil())
	})
})

func countBetween(times []time.Duration, from, until time.Duration) int {
	count := 0
	for _, t := range times {
		if t >= from && t < until {
			count++
		}
	}
	return count
}

var _ = Describe("A request that only an ejected upstream could serve now", func() {
	// Guards against requests that are refused at once as if no upstream could serve them in time.
	It("waits while the others are busy", func() {
		s := newSelector(topology(engine("e1", "za", m0), engine("e2", "za", m0)), 100)
		only := func(id string) *selector.Request {
			r := request("m0", "")
			r.PromptTokens, r.Excluded = 1, []string{map[string]string{"e1": "e2", "e2": "e1"}[id]}
			return r
		}
		now := start
		for range 6 {
			now = now.Add(3 * time.Second)
			reservation, _ := s.Choose(only("e1"), now)
			reservation.Release(selector.Unreachable, now)
		}
		// The backoff has ended, and the ejection has not.
		now = now.Add(2 * time.Second)
		for {
			if _, result := s.Choose(only("e2"), now); result != selector.Chosen {
				break
			}
		}
		_, result := s.Choose(request("m0", ""), now)
		Expect(result).To(Equal(selector.Busy))
	})
})
