// Package soaker is a soak test. It runs instances as separate processes on
// loopback, injects faults from outside and checks what callers and upstreams
// observed.
package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// Config configures a Soaker. All fields are required.
type Config struct {
	// Seed seeds the random faults and calls.
	Seed uint64
	// Duration is how long faults are injected.
	Duration  time.Duration
	Instances int
	Callers   int
	// Daemon is the path of the instance's executable.
	Daemon string
	// Directory holds the settings files and the logs of the processes.
	Directory string
}

// Timing of a run.
const (
	// readyTimeout bounds the start of the fleet.
	readyTimeout = 15 * time.Second
	// warmUpTime is the time from the first calls to baselineWindow, in which the share of
	// served calls is measured before any fault.
	warmUpTime     = time.Second
	baselineWindow = 4 * time.Second
	// recoveryTimeLimit is the time after the last fault within which the service
	// must recover. The operators' bound is 12 s.
	recoveryTimeLimit = 12 * time.Second
	// recoveryWindow is the time after recovery in which the share of served
	// calls is measured.
	recoveryWindow = 4 * time.Second
)

// Soaker holds the state of one run.
type Soaker struct {
	config  Config
	site    *platformtest.Platform
	fleet   []*process
	links   map[string]*upstreamLink
	history *history
}

// Run runs the fleet with faults and returns a summary of the calls and the
// violated guarantees.
func Run(ctx context.Context, config Config) (*Result, error) {
	if err := os.MkdirAll(config.Directory, 0o750); err != nil {
		return nil, err
	}
	s := &Soaker{config: config, site: platformtest.NewPlatform(), links: make(map[string]*upstreamLink), history: newHistory()}
	defer s.close()
	s.history.limitRate = (limitRate + pacedTokenRate) * float64(config.groups())
	s.site.PutTable(s.initialTable())
	s.startUpstreams()
	for id, engine := range s.site.Upstreams() {
		if err := s.proxyUpstream(id, engine); err != nil {
			return nil, err
		}
	}
	for number := range config.Instances {
		p, err := newProcess(number, &config, s.site.Store.Address())
		if err != nil {
			return nil, err
		}
		p.onFailure = s.history.addExit
		s.fleet = append(s.fleet, p)
		if err := p.start(true); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return nil, err
	}
	if err := s.runWorkload(ctx); err != nil {
		return nil, err
	}
	return checkHistory(s.collect()), nil
}

// initialTable returns a table that limits the workspace below the callers' demand.
func (s *Soaker) initialTable() platformtest.Table {
	table := s.site.Table()
	table.Version++
	table.TokensPerSecond = s.history.limitRate
	return table
}

// runWorkload sends calls, first without faults, then while it injects them, and continues the
// calls afterwards to measure the recovery.
func (s *Soaker) runWorkload(ctx context.Context) error {
	callersCtx, stop := context.WithCancel(ctx)
	defer stop()
	group, callersCtx := errgroup.WithContext(callersCtx)
	group.Go(func() error {
		s.sampleMemory(callersCtx)
		return nil
	})
	for number := range s.config.Callers {
		random := rand.New(rand.NewPCG(s.config.Seed, uint64(number)+1))
		group.Go(func() error { return newCaller(s, number, random).run(callersCtx) })
	}
	for number := range pacedCallersPerGroup * s.config.groups() {
		random := rand.New(rand.NewPCG(s.config.Seed, uint64(number)+1<<33))
		group.Go(func() error { return newPacedCaller(s, random).run(callersCtx) })
	}
	err := s.runPhases(ctx)
	stop()
	return errors.Join(err, group.Wait())
}

// runPhases measures the calls without faults, injects faults, and measures the calls again.
func (s *Soaker) runPhases(ctx context.Context) error {
	if err := sleep(ctx, warmUpTime); err != nil {
		return err
	}
	if err := measure(ctx, baselineWindow, &s.history.baseline); err != nil {
		return err
	}
	faults := newInjector(s, rand.New(rand.NewPCG(s.config.Seed, 0)))
	if err := faults.run(ctx, s.config.Duration); err != nil {
		return err
	}
	if err := sleep(ctx, recoveryTimeLimit); err != nil {
		return err
	}
	return measure(ctx, recoveryWindow, &s.history.recovery)
}

// measure waits for a duration and records the time.
func measure(ctx context.Context, duration time.Duration, window *interval) error {
	window.from = time.Now()
	err := sleep(ctx, duration)
	window.until = time.Now()
	return err
}

// errNotReady is returned if an instance does not become ready in time.
var errNotReady = errors.New("instance did not become ready in time")

func (s *Soaker) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, p := range s.fleet {
		for !p.isReady(ctx) {
			if sleep(ctx, 20*time.Millisecond) != nil {
				return fmt.Errorf("%w: see %s", errNotReady, filepath.Join(s.config.Directory, p.name+".log"))
			}
		}
	}
	return nil
}

// collect adds the observations of all upstreams to the history.
func (s *Soaker) collect() *history {
	for _, engine := range s.site.AllUpstreams() {
		s.history.addUpstream(engine)
	}
	return s.history
}

func (s *Soaker) close() {
	for _, p := range s.fleet {
		p.kill()
		p.store.Close()
	}
	for _, l := range s.links {
		l.proxy.Close()
	}
	s.site.Close()
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
