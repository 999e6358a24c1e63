//go:build review

package harness2

import (
	"fmt"
	"time"
)

// serveRounds sends sound requests to all instances and returns how many were served.
func (s *site) serveRounds(rounds int) (sent, served int) {
	for number := range rounds {
		for _, i := range s.instances {
			sent++
			if i.send(soundCall(number)).isServed {
				served++
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return sent, served
}

func caseTokens(s *site, trouble bool) (verdict, error) {
	s.putTable()
	s.addEngines(modelService, 4)
	if err := s.start(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	sentBefore, servedBefore := s.serveRounds(5)
	c := soundCall(0)
	if trouble {
		c.tokens = "Infinity,20"
	}
	s.instances[0].send(c)
	s.instances[1].send(c)
	time.Sleep(20 * time.Second)
	sent, served := s.serveRounds(30)
	text := fmt.Sprintf("before: %d of %d sound requests served; from 20 s after: %d of %d", servedBefore, sentBefore, served, sent)
	return verdict{isBroken: 4*served < sent, text: text}, nil
}
