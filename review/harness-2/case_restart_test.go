//go:build review

package harness2

import (
	"syscall"
	"time"
)

// settleTime is longer than stableTime, after which a machine that has started is in touch.
const settleTime = stableTime + time.Second

func caseRestart(s *site, trouble bool) (verdict, error) {
	s.putTable()
	s.addEngines(modelService, 6)
	if err := s.start(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	poison := soundCall(0)
	poison.body = poisonBody
	sound := s.startTraffic(50*time.Millisecond, soundCall)
	first := s.startTraffic(50*time.Millisecond, func(int) call { return poison })
	time.Sleep(2 * time.Second)
	first.end()
	time.Sleep(2 * settleTime)
	for _, i := range s.instances {
		if trouble {
			i.signal(syscall.SIGTERM)
			i.awaitExit()
			i.settings.IsFirstStart = false
			time.Sleep(300 * time.Millisecond)
			if err := i.start(); err != nil {
				return verdict{}, err
			}
			if err := i.awaitReady(); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(settleTime)
		for range 4 {
			i.send(poison)
			time.Sleep(time.Second)
		}
	}
	sound.end()
	return s.judgePoison(sound), nil
}
