//go:build review

package harness2

import "time"

func caseBlank(s *site, trouble bool) (verdict, error) {
	s.putTable()
	s.addEngines(modelService, 8)
	s.setUnframed(4)
	for _, e := range s.engines[:4] {
		e.isSpoiling = trouble
	}
	if err := s.start(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	streams := s.startTraffic(20*time.Millisecond, func(number int) call {
		c := soundCall(number)
		c.key = unlimitedKey
		return c
	})
	time.Sleep(6 * time.Second)
	streams.end()
	return s.judgeStreams(streams), nil
}
