package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/crocushollow/crocushollow/standin/soaker"
)

type soakCommand struct {
	Seed      uint64        `help:"Seed of the faults and requests." default:"1"`
	Seeds     int           `help:"Number of consecutive seeds to run." default:"1"`
	For       time.Duration `help:"Duration of fault injection in each run." default:"30s"`
	Instances int           `help:"Number of instances. Each runs as a process." default:"4"`
	Callers   int           `help:"Number of callers." default:"16"`
	Daemon    string        `help:"Path of the daemon executable." default:"target/crocushollowd" type:"path"`
	Directory string        `help:"Directory for settings and logs. Defaults to a temporary one." type:"path"`
}

// errSoakFailed reports that at least one run violated an invariant.
var errSoakFailed = errors.New("an invariant was violated")

// Run runs each seed and prints its report as JSON.
func (c *soakCommand) Run(ctx context.Context) error {
	directory := c.Directory
	if directory == "" {
		var err error
		if directory, err = os.MkdirTemp("", "crocushollow-soak-"); err != nil {
			return err
		}
	}
	failedRuns := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		report, err := soaker.Run(ctx, soaker.Config{
			Seed: seed, Duration: c.For, Instances: c.Instances, Callers: c.Callers, Daemon: c.Daemon,
			Directory: filepath.Join(directory, fmt.Sprintf("seed-%d", seed)),
		})
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		text, err := json.Marshal(report)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %s\n", seed, text)
		if len(report.Broken) > 0 {
			failedRuns++
		}
	}
	if failedRuns > 0 {
		return fmt.Errorf("%w in %d of %d runs; logs in %s", errSoakFailed, failedRuns, c.Seeds, directory)
	}
	return nil
}
