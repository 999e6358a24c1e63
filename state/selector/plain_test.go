package selector_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/selector"
)

const (
	deskSlots       = 6
	deskQueue       = 24
	deskWork        = 30 * time.Millisecond
	deskObjective   = 150 * time.Millisecond
	deskExchange    = 8 * time.Millisecond
	deskInstances   = 30
	deskUsualPerSec = 300.0
	deskDuration    = 5 * time.Second
)

// desk is a plain service of three upstreams and the instances that send to it.
type desk struct {
	now       time.Time
	selectors []*selector.Selector
	upstreams []*deskUpstream
	seed      uint64
	inTime    map[bool]int
	late      map[bool]int
	refused   map[bool]int
	// turnedAway counts the requests that upstreams refuse since their queue is full.
	turnedAway int
}

type deskUpstream struct {
	work             time.Duration
	running, waiting []*deskJob
	served           int
}

type deskJob struct {
	reservation  *selector.Reservation
	isOverLimit  bool
	sentAt, ends time.Time
}

func newDesk(work ...time.Duration) *desk {
	d := &desk{now: start, inTime: map[bool]int{}, late: map[bool]int{}, refused: map[bool]int{}}
	registrations := make([]*catalog.Upstream, len(work))
	for i, w := range work {
		registrations[i] = &catalog.Upstream{ID: fmt.Sprint(i), Service: "desk", AvailabilityZone: "za", Slots: deskSlots}
		d.upstreams = append(d.upstreams, &deskUpstream{work: w})
	}
	for range deskInstances {
		d.selectors = append(d.selectors, newSelector(topology(registrations...), 100))
	}
	return d
}

func (d *desk) random() float64 {
	d.seed = d.seed*6364136223846793005 + 1442695040888963407
	return float64(d.seed>>11) / float64(1<<53)
}

// play sends calls of usual workspaces and of one over its limit for deskDuration, by calls per
// second.
func (d *desk) play(usualPerSec, overLimitPerSec float64) {
	for end := d.now.Add(deskDuration); d.now.Before(end); d.now = d.now.Add(time.Millisecond) {
		for _, u := range d.upstreams {
			d.advance(u)
		}
		if d.now.Sub(start)%deskExchange == 0 {
			d.exchange()
		}
		for range 8 {
			if d.random() < usualPerSec/8000 {
				d.send(false)
			}
			if d.random() < overLimitPerSec/8000 {
				d.send(true)
			}
		}
	}
}

func (d *desk) send(isOverLimit bool) {
	s := d.selectors[int(d.random()*deskInstances)]
	reservation, _ := s.Choose(&selector.Request{
		Service: "desk", Objective: deskObjective, IsOverLimit: isOverLimit, Fingerprint: uint64(1e9 * d.random()),
	}, d.now)
	if reservation == nil {
		d.refused[isOverLimit]++
		return
	}
	var u *deskUpstream
	for i := range d.upstreams {
		if fmt.Sprint(i) == reservation.Upstream.ID {
			u = d.upstreams[i]
		}
	}
	if len(u.waiting) >= deskQueue {
		d.turnedAway++
		reservation.Release(selector.Refused, d.now)
		return
	}
	u.waiting = append(u.waiting, &deskJob{reservation: reservation, isOverLimit: isOverLimit, sentAt: d.now})
}

// advance ends and begins the requests of an upstream.
func (d *desk) advance(u *deskUpstream) {
	running := u.running[:0]
	for _, job := range u.running {
		if d.now.Before(job.ends) {
			running = append(running, job)
			continue
		}
		job.reservation.Release(selector.Served, d.now)
		u.served++
		if d.now.Sub(job.sentAt) <= deskObjective {
			d.inTime[job.isOverLimit]++
		} else {
			d.late[job.isOverLimit]++
		}
	}
	u.running = running
	for len(u.waiting) > 0 && len(u.running) < deskSlots {
		job := u.waiting[0]
		u.waiting = u.waiting[1:]
		job.ends = d.now.Add(time.Duration((0.5 + d.random()) * float64(u.work)))
		u.running = append(u.running, job)
	}
}

func (d *desk) exchange() {
	for i, from := range d.selectors {
		changes := from.LoadChanges()
		for j, to := range d.selectors {
			if i != j && len(changes) > 0 {
				to.UpdatePeerLoads(fmt.Sprint(i), changes, d.now)
			}
		}
	}
}

var _ = Describe("Plain services", func() {
	// Guards against instances that wait until one of them sees a free slot, and then send all
	// at once: the upstreams turned away 5,297 of 18,180 requests, and what they served was late.
	It("answer in time and turn nothing away while callers ask for twice what they can serve", func() {
		d := newDesk(deskWork, deskWork, deskWork)
		d.play(1200, 0)
		Expect(d.turnedAway).To(BeZero())
		Expect(d.inTime[false]).To(BeNumerically(">", 0.95*600*deskDuration.Seconds()))
		Expect(d.late[false]).To(BeNumerically("<", 0.02*float64(d.inTime[false])))
	})

	// Guards against a workspace that takes the slots of all others by sending more.
	It("keep other workspaces' calls in time while one sends twelve times its usual", func() {
		calm := newDesk(deskWork, deskWork, deskWork)
		calm.play(deskUsualPerSec, deskUsualPerSec/16)
		crowded := newDesk(deskWork, deskWork, deskWork)
		crowded.play(deskUsualPerSec, 12*deskUsualPerSec/8)
		Expect(crowded.inTime[true]).To(BeNumerically(">", 0))
		Expect(share(crowded)).To(BeNumerically(">", share(calm)-0.02))
	})

	// Guards against an upstream that is 2.5 times slower than the others for a while.
	It("get fewer requests at an upstream that is slower than the others", func() {
		d := newDesk(deskWork, deskWork, 5*deskWork/2)
		d.play(450, 0)
		Expect(d.upstreams[2].served).To(BeNumerically("<", d.upstreams[0].served/2))
		Expect(share(d)).To(BeNumerically(">", 0.9))
	})

	// Guards against equal requests, one after the other, that all go to one upstream of a service
	// that answers within a millisecond, and never to one that was added.
	It("get equal parts of the calls of one caller if they are alike", func() {
		s := newSelector(topology(), 100)
		var registrations []*catalog.Upstream
		for i := range 3 {
			registrations = append(registrations, &catalog.Upstream{ID: fmt.Sprint(i), Service: "desk", AvailabilityZone: "za", Slots: 4})
		}
		s.SetTopology(topology(registrations...))
		counts := make(map[string]int)
		for i := range 300 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			reservation, _ := s.Choose(&selector.Request{Service: "desk", Fingerprint: 7, Objective: deskObjective}, now)
			reservation.MarkFirstByte()
			reservation.Release(selector.Served, now.Add(600*time.Microsecond))
			counts[reservation.Upstream.ID]++
		}
		Expect(counts).To(HaveLen(3))
		for _, count := range counts {
			Expect(count).To(BeNumerically(">", 50))
		}
	})

	It("get free slots only where the objective is unknown", func() {
		s := newSelector(topology(&catalog.Upstream{ID: "1", Service: "desk", Slots: 1}), 100)
		_, result := s.Choose(&selector.Request{Service: "desk"}, start)
		Expect(result).To(Equal(selector.Chosen))
		_, result = s.Choose(&selector.Request{Service: "desk"}, start)
		Expect(result).To(Equal(selector.Busy))
	})

	It("get fewer requests into a queue that has refused one, and more again later", func() {
		s := newSelector(topology(&catalog.Upstream{ID: "1", Service: "desk", Slots: 4}), 100)
		request := &selector.Request{Service: "desk", Objective: time.Second}
		fill := func(now time.Time) (last *selector.Reservation, count int) {
			for {
				reservation, result := s.Choose(request, now)
				if result != selector.Chosen {
					Expect(result).To(Equal(selector.Full))
					return last, count
				}
				last, count = reservation, count+1
			}
		}
		last, count := fill(start)
		Expect(count).To(Equal(8))
		last.Release(selector.Refused, start)
		_, count = fill(start.Add(50 * time.Millisecond))
		Expect(count).To(BeZero())
		Expect(s.PlainDelay(request, start)).To(BeNumerically(">", 0))
		_, count = fill(start.Add(time.Second))
		Expect(count).To(Equal(1))
	})
})

// share returns the share of the usual workspaces' calls that were answered in time.
func share(d *desk) float64 {
	all := d.inTime[false] + d.late[false] + d.refused[false]
	return float64(d.inTime[false]) / float64(all)
}
