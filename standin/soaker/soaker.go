// Package soaker runs instances as separate processes on loopback, injects faults
// from outside and judges what callers and back ends have seen.
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
	// Seed decides the faults and the calls.
	Seed uint64
	// Duration is the time with faults.
	Duration  time.Duration
	Instances int
	Callers   int
	// Daemon is the program of an instance.
	Daemon string
	// Directory takes the settings and the logs of the processes.
	Directory string
}

// Timing of a run.
const (
	// readyTimeout bounds the start of the fleet.
	readyTimeout = 15 * time.Second
	// settleTime is the time after the last fault within which service must be
	// back: the operators' recovery bound of 12 s.
	settleTime = 12 * time.Second
	// calmTime is the time without faults in which service is measured.
	calmTime = 4 * time.Second
)

// Soaker is one run.
type Soaker struct {
	config  Config
	site    *platformtest.Platform
	fleet   []*process
	links   map[string]*link
	history *history
}

// Run runs the fleet with faults and returns what callers and back ends saw, and
// what of it breaks a promise.
func Run(ctx context.Context, config Config) (*Verdict, error) {
	if err := os.MkdirAll(config.Directory, 0o750); err != nil {
		return nil, err
	}
	s := &Soaker{config: config, site: platformtest.NewPlatform(), links: make(map[string]*link), history: newHistory()}
	defer s.close()
	s.site.PutTable(s.firstTable())
	for id, engine := range s.site.Upstreams() {
		if err := s.front(id, engine); err != nil {
			return nil, err
		}
	}
	for number := range config.Instances {
		p, err := newProcess(number, &config, s.site.Store.Address())
		if err != nil {
			return nil, err
		}
		s.fleet = append(s.fleet, p)
		if err := p.start(true); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return nil, err
	}
	if err := s.play(ctx); err != nil {
		return nil, err
	}
	return judge(s.collect()), nil
}

// firstTable limits the workspace to a part of what the callers ask for.
func (s *Soaker) firstTable() platformtest.Table {
	table := s.site.Table()
	table.Version++
	table.TokensPerSecond = limitRate
	return table
}

// play sends calls and injects faults, and measures the service afterwards.
func (s *Soaker) play(ctx context.Context) error {
	callersCtx, stop := context.WithCancel(ctx)
	defer stop()
	group, callersCtx := errgroup.WithContext(callersCtx)
	for number := range s.config.Callers {
		random := rand.New(rand.NewPCG(s.config.Seed, uint64(number)+1))
		group.Go(func() error { return newCaller(s, random).run(callersCtx) })
	}
	faults := newInjector(s, rand.New(rand.NewPCG(s.config.Seed, 0)))
	err := faults.run(ctx, s.config.Duration)
	if err == nil {
		err = sleep(ctx, settleTime)
	}
	s.history.calmFrom = time.Now()
	if err == nil {
		err = sleep(ctx, calmTime)
	}
	s.history.calmUntil = time.Now()
	stop()
	return errors.Join(err, group.Wait())
}

// errNotReady reports instances that did not become ready.
var errNotReady = errors.New("instances not ready")

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

// collect adds what the back ends have seen to the history.
func (s *Soaker) collect() *history {
	for _, engine := range s.site.AllUpstreams() {
		s.history.addBackEnd(engine)
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

// sleep waits for a time or the context's end.
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
