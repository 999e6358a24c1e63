package soaker

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// machineMemoryMB is the memory of an instance's machine, and maxResidentMB what its
	// process may use of it. The rest is for the buffers of connections.
	machineMemoryMB = 284
	maxResidentMB   = machineMemoryMB * 70 / 100
	// memoryInterval is the time between two samples.
	memoryInterval = 100 * time.Millisecond
)

// sampleMemory records the largest resident memory of each process until the context ends.
func (s *Soaker) sampleMemory(ctx context.Context) {
	for sleep(ctx, memoryInterval) == nil {
		for _, p := range s.fleet {
			if size, isRunning := p.peakMemoryMB(); isRunning {
				s.history.addMemory(p.name, size)
			}
		}
	}
}

// peakMemoryMB returns the largest resident memory of the process so far. It returns false if
// the process is not running.
func (p *process) peakMemoryMB() (int, bool) {
	p.mu.Lock()
	id := p.command.Process.Pid
	p.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0, false
	}
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		return 0, false
	}
	kilobytes, err := strconv.Atoi(fields[0])
	return kilobytes >> 10, err == nil
}

// checkMemory checks the memory of the processes, and that none has ended by itself.
func (j *checker) checkMemory() {
	for name, size := range j.memory {
		j.result.PeakMemoryMB = max(j.result.PeakMemoryMB, size)
		if size > maxResidentMB {
			j.fail("instance_memory", "%s used %d MB", name, size)
		}
	}
	for _, exit := range j.exits {
		j.fail("instance_memory", "%s ended by itself", exit)
	}
}
