//go:build review

package harness2

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// nameBytes is the length of the names of models that do not exist. The head of such a
	// request has less than the 16,384 bytes that the table allows.
	nameBytes = 14 << 10
	// nameInterval is the time between two requests, and nameTime how long they come.
	nameInterval = 3 * time.Millisecond
	nameTime     = 75 * time.Second
	// restTime is the time after the last request in which memory could be returned.
	restTime = 10 * time.Second
)

// memory returns the resident memory of a process in MB now, and the highest so far.
func memory(pid int) (now, most float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			now = kb / 1024
		case "VmHWM:":
			most = kb / 1024
		}
	}
	return now, most
}

// answerCounts counts answers by their text.
type answerCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *answerCounts) add(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[a.text]++
}

// flood sends a request at each nameInterval to an instance until its memory is above that of
// the machine, or nameTime has passed. It returns how many were sent.
func (s *site) flood(target *instance, trouble bool, answers *answerCounts) (sent int) {
	var callers sync.WaitGroup
	defer callers.Wait()
	for until := time.Now().Add(nameTime); time.Now().Before(until); sent++ {
		callers.Go(func() {
			c := soundCall(sent)
			c.tokens, c.isQuiet = "10,10", true
			if trouble {
				c.model = fmt.Sprintf("m%d-", sent) + strings.Repeat("x", nameBytes)
			}
			answers.add(target.send(c))
		})
		if sent%300 == 0 {
			now, most := memory(target.pid())
			s.log.printf("%d requests sent; memory of %s %.0f MB, at most %.0f MB", sent, target.settings.ID, now, most)
			if now > memoryMB {
				return sent
			}
		}
		time.Sleep(nameInterval)
	}
	return sent
}

func caseModels(s *site, trouble bool) (verdict, error) {
	s.putTable()
	s.addEngines(modelService, 4)
	if err := s.start(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	target := s.instances[0]
	before, _ := memory(target.pid())
	answers := &answerCounts{counts: make(map[string]int)}
	sent := s.flood(target, trouble, answers)
	for text, count := range answers.counts {
		s.log.printf("%d requests were answered: %s", count, text)
	}
	time.Sleep(restTime)
	after, most := memory(target.pid())
	text := fmt.Sprintf("memory of %s with %d requests: %.0f MB before, at most %.0f MB, %.0f MB %s later; the machine has %d MB",
		target.settings.ID, sent, before, most, after, restTime, memoryMB)
	return verdict{isBroken: most > memoryMB, text: text}, nil
}
