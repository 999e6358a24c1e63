//go:build review

package harness2

import "time"

func caseBlank(s *site, trouble bool) (verdict, error) {
	s.putTable()
	s.addEngines(modelService, 8)
	// Three of eight are no more than the share of 0.49 that the site allows, and one in 42 is no more
	// than its 0.0241 of the answers.
	s.setUnframed(3)
	for _, e := range s.engines[:3] {
		e.isSpoiling = trouble
	}
	if err := s.start(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	streams := s.startTraffic(12*time.Millisecond, func(number int) call {
		c := soundCall(number)
		c.key = unlimitedKey
		return c
	})
	time.Sleep(6 * time.Second)
	streams.end()
	return s.judgeStreams(streams), nil
}
