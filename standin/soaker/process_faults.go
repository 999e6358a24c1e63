package soaker

import (
	"syscall"
	"time"
)

// pickProcess returns a random running process, or nil if a fault in it would
// leave no process running.
func (i *injector) pickProcess() *process {
	var up []*process
	for _, p := range i.soaker.fleet {
		if !i.busy[p.name] {
			up = append(up, p)
		}
	}
	if len(up) < 2 {
		return nil
	}
	return up[i.random.IntN(len(up))]
}

// scheduleRestart restarts a process after a random delay.
func (i *injector) scheduleRestart(p *process, from time.Time) {
	until := time.Now().Add(time.Duration(i.random.ExpFloat64() * float64(meanRestartDelay)))
	i.scheduled = append(i.scheduled, scheduledAction{until, func() {
		p.kill()
		if err := p.start(false); err == nil {
			i.busy[p.name] = false
		}
		i.soaker.history.addInstanceFault(p.name, from, time.Now())
	}})
}

// restartAfterExit restarts a process that was told to stop, once it has exited or its
// grace period is over.
func (i *injector) restartAfterExit(p *process, stoppedAt time.Time) {
	i.scheduled = append(i.scheduled, scheduledAction{time.Now().Add(exitPollInterval), func() {
		if !p.hasExited() && time.Since(stoppedAt) < stopGrace {
			i.restartAfterExit(p, stoppedAt)
			return
		}
		p.kill()
		restartAt := time.Now().Add(time.Duration(i.random.ExpFloat64() * float64(meanRestartDelay)))
		i.scheduled = append(i.scheduled, scheduledAction{restartAt, func() { i.restartAfterStop(p, stoppedAt) }})
	}})
}

func (i *injector) restartAfterStop(p *process, stoppedAt time.Time) {
	err := p.start(false)
	i.soaker.history.addPlannedStop(p.name, interval{stoppedAt, time.Now()})
	i.busy[p.name] = err != nil
}

// killProcess kills a process with SIGKILL and restarts it.
func (i *injector) killProcess() {
	if p := i.pickProcess(); p != nil {
		i.busy[p.name] = true
		from := time.Now()
		i.soaker.history.addInstanceFault(p.name, from, from.Add(maxFaultDuration))
		p.signal(syscall.SIGKILL)
		i.scheduleRestart(p, from)
	}
}

// pauseProcess suspends a process with SIGSTOP for a random duration.
func (i *injector) pauseProcess() {
	p := i.pickProcess()
	if p == nil {
		return
	}
	i.busy[p.name] = true
	from := time.Now()
	p.signal(syscall.SIGSTOP)
	at := i.scheduleEnd(func() {
		p.signal(syscall.SIGCONT)
		i.busy[p.name] = false
		i.soaker.history.addInstanceFault(p.name, from, time.Now())
	})
	i.soaker.history.addInstanceFault(p.name, from, at)
}

// stopProcess shuts a process down gracefully and restarts it.
func (i *injector) stopProcess() {
	p := i.pickProcess()
	if p == nil {
		return
	}
	i.terminate(p)
}

// terminate sends SIGTERM to a process, half of the time twice, and restarts it after its
// exit.
func (i *injector) terminate(p *process) {
	i.busy[p.name] = true
	from := time.Now()
	p.signal(syscall.SIGTERM)
	if i.random.IntN(2) == 0 {
		incarnation := p.incarnation()
		again := from.Add(time.Duration(i.random.Float64() * float64(maxSignalGap)))
		i.scheduled = append(i.scheduled, scheduledAction{again, func() {
			if p.incarnation() == incarnation {
				p.signal(syscall.SIGTERM)
			}
		}})
	}
	i.restartAfterExit(p, from)
}

// rollProcesses stops all running processes, one after the other.
func (i *injector) rollProcesses() {
	if i.busy["roll"] {
		return
	}
	i.busy["roll"] = true
	gap := minRollGap + time.Duration(i.random.Float64()*float64(maxRollGap-minRollGap))
	at := time.Now()
	for _, p := range i.soaker.fleet {
		i.scheduled = append(i.scheduled, scheduledAction{at, func() {
			if !i.busy[p.name] {
				i.terminate(p)
			}
		}})
		at = at.Add(gap)
	}
	i.scheduled = append(i.scheduled, scheduledAction{at, func() { i.busy["roll"] = false }})
}
