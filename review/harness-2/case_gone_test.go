//go:build review

package harness2

import (
	"fmt"
	"time"
)

// notice is the time between the notice of an engine that is taken away and its end.
const notice = 2 * time.Second

func caseGone(s *site, trouble bool) (verdict, error) {
	s.putTable()
	// One of eight is no more than the share of 0.14 that the site allows.
	s.addEngines(modelService, 8)
	s.setUnframed(4)
	if err := s.start(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	streams := s.startTraffic(30*time.Millisecond, func(number int) call {
		c := soundCall(number)
		c.key = unlimitedKey
		return c
	})
	time.Sleep(3 * time.Second)
	if trouble {
		s.engines[0].takeAway(notice)
	} else {
		time.Sleep(notice)
	}
	time.Sleep(3 * time.Second)
	streams.end()
	return s.judgeStreams(streams), nil
}

// setUnframed makes all engines send long streams, and the first ones streams that end with their
// connection.
func (s *site) setUnframed(count int) {
	for n, e := range s.engines {
		e.isLong, e.isUnframed = true, n < count
	}
}

// judgeStreams returns the verdict on streams that must not end as complete with fewer events than
// their engine has for them.
func (s *site) judgeStreams(streams *traffic) verdict {
	whole, short := 0, 0
	for _, a := range streams.answers {
		switch {
		case a.events == longEvents:
			whole++
		case a.events > 0:
			short++
			s.log.printf("%s ended as complete with %d of %d events", a.id, a.events, longEvents)
		}
	}
	return verdict{isBroken: short > 0, text: fmt.Sprintf(
		"%d streams, %d whole, %d ended as complete without all of their events", len(streams.answers), whole, short,
	)}
}
