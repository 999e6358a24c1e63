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
// grace period is over. Afterwards it stops the process again for the given number of times.
func (i *injector) restartAfterExit(p *process, stoppedAt time.Time, stopsLeft int) {
	i.scheduled = append(i.scheduled, scheduledAction{time.Now().Add(exitPollInterval), func() {
		if !p.hasExited() && time.Since(stoppedAt) < stopGrace {
			i.restartAfterExit(p, stoppedAt, stopsLeft)
			return
		}
		p.kill()
		restartAt := time.Now().Add(time.Duration(i.random.ExpFloat64() * float64(meanRestartDelay)))
		i.scheduled = append(i.scheduled, scheduledAction{restartAt, func() { i.restartAfterStop(p, stoppedAt, stopsLeft) }})
	}})
}

func (i *injector) restartAfterStop(p *process, stoppedAt time.Time, stopsLeft int) {
	err := p.start(false)
	i.soaker.history.addPlannedStop(p.name, interval{stoppedAt, time.Now()})
	if err != nil {
		return
	}
	i.busy[p.name] = false
	if stopsLeft > 0 {
		i.stopAgain(p, stopsLeft)
	}
}

// stopAgain stops a process soon after its start, unless another fault has come to it or no
// other process runs.
func (i *injector) stopAgain(p *process, stopsLeft int) {
	at := time.Now().Add(minUptime + time.Duration(i.random.Float64()*float64(maxUptime-minUptime)))
	i.scheduled = append(i.scheduled, scheduledAction{at, func() {
		if !i.busy[p.name] && i.pickProcess() != nil {
			i.terminate(p, stopsLeft-1)
		}
	}})
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
	i.terminate(p, 0)
}

// stopRepeatedly shuts a process down gracefully, and again soon after each restart.
func (i *injector) stopRepeatedly() {
	if p := i.pickProcess(); p != nil {
		i.terminate(p, maxStops-1)
	}
}

// reloadProcess changes the settings file of a process and sends it SIGHUP.
func (i *injector) reloadProcess() {
	i.reload(i.soaker.fleet[i.random.IntN(len(i.soaker.fleet))])
}

func (i *injector) reload(p *process) {
	i.soaker.history.addReload(p.name, time.Now())
	// The operators' rules for SIGHUP hold whether the settings have changed or not.
	_ = p.reload()
}

// terminate sends SIGTERM to a process, half of the time twice, and half of the time SIGHUP in
// its grace period. It restarts the process after its exit and then stops it again for the
// given number of times.
func (i *injector) terminate(p *process, stopsLeft int) {
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
	if i.random.IntN(2) == 0 {
		incarnation := p.incarnation()
		at := from.Add(time.Duration(i.random.Float64() * float64(maxSignalGap)))
		i.scheduled = append(i.scheduled, scheduledAction{at, func() {
			if p.incarnation() == incarnation {
				i.reload(p)
			}
		}})
	}
	i.restartAfterExit(p, from, stopsLeft)
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
				i.terminate(p, 0)
			}
		}})
		at = at.Add(gap)
	}
	i.scheduled = append(i.scheduled, scheduledAction{at, func() { i.busy["roll"] = false }})
}
