//go:build review

package harness2

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// stableTime is the operators' time until machines count as in touch.
	stableTime = 3 * time.Second
	// toleratedRetries is the number of retries of a request that may reach engines later than
	// stableTime after it has crashed the third.
	toleratedRetries = 3
	crashesBefore    = 3
)

// traffic sends calls to the instances in turn until it is stopped.
type traffic struct {
	stop chan struct{}
	done sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

// startTraffic sends the call that next returns at each interval.
func (s *site) startTraffic(interval time.Duration, next func(number int) call) *traffic {
	t := &traffic{stop: make(chan struct{})}
	t.done.Go(func() {
		for number := 0; ; number++ {
			select {
			case <-t.stop:
				return
			case <-time.After(interval):
			}
			t.done.Go(func() {
				a := s.instances[number%len(s.instances)].send(next(number))
				t.mu.Lock()
				defer t.mu.Unlock()
				t.answers = append(t.answers, a)
			})
		}
	})
	return t
}

func (t *traffic) end() {
	close(t.stop)
	t.done.Wait()
}

// crashTimes returns when engines have crashed, in order.
func (s *site) crashTimes() []time.Time {
	var times []time.Time
	for _, e := range s.engines {
		e.mu.Lock()
		times = append(times, e.crashes...)
		e.mu.Unlock()
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// lateRetries returns how often the poisonous request has reached engines later than stableTime
// after the third crash.
func (s *site) lateRetries() int {
	crashes := s.crashTimes()
	if len(crashes) < crashesBefore {
		return 0
	}
	after, count := crashes[crashesBefore-1].Add(stableTime), 0
	for _, e := range s.engines {
		for _, a := range e.seen() {
			if a.body == poisonBody && a.hasRun && a.at.After(after) {
				count++
			}
		}
	}
	return count
}

// The poisonous request comes to each instance in turn, copyInterval apart, in rounds.
const (
	poisonRounds  = 6
	roundInterval = 13 * time.Second
	copyInterval  = 30 * time.Millisecond
)

// poisonCall returns the request that crashes engines, or without trouble a sound one.
func poisonCall(round int, trouble bool) call {
	c := soundCall(round)
	if trouble {
		c.body = poisonBody
	}
	return c
}

func casePoison(s *site, trouble bool) (verdict, error) {
	s.putTable()
	s.addEngines(modelService, 8)
	if err := s.start(8); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	sound := s.startTraffic(50*time.Millisecond, soundCall)
	time.Sleep(2 * time.Second)
	for round := range poisonRounds {
		for _, i := range s.instances {
			go i.send(poisonCall(round, trouble))
			time.Sleep(copyInterval)
		}
		time.Sleep(roundInterval)
	}
	sound.end()
	return s.judgePoison(sound), nil
}

// judgePoison returns the verdict on a case with a poisonous request. It also counts the sound
// streams that were broken off.
func (s *site) judgePoison(sound *traffic) verdict {
	broken := 0
	for _, a := range sound.answers {
		if a.status == 0 || a.status == 200 && !a.isServed {
			broken++
		}
	}
	late := s.lateRetries()
	return verdict{isBroken: late > toleratedRetries, text: fmt.Sprintf(
		"%d crashes; the request has reached engines %d times later than %s after the third, %d are allowed; %d of %d sound streams were broken off",
		len(s.crashTimes()), late, stableTime, toleratedRetries, broken, len(sound.answers),
	)}
}
