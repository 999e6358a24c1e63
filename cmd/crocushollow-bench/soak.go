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
	Seed      uint64        `help:"Decides the faults and the calls." default:"1"`
	Seeds     int           `help:"Runs with this many seeds, one after the other." default:"1"`
	For       time.Duration `help:"Time with faults in each run." default:"30s"`
	Instances int           `help:"Instances, each a process." default:"4"`
	Callers   int           `help:"Callers." default:"16"`
	Daemon    string        `help:"Program of an instance." default:"target/crocushollowd" type:"path"`
	Directory string        `help:"Directory for settings and logs; a temporary one if it is empty." type:"path"`
}

// errBroken reports a run in which a promise was broken.
var errBroken = errors.New("a promise was broken")

// Run runs each seed and prints its report as JSON.
func (c *soakCommand) Run(ctx context.Context) error {
	directory := c.Directory
	if directory == "" {
		var err error
		if directory, err = os.MkdirTemp("", "crocushollow-soak-"); err != nil {
			return err
		}
	}
	broken := 0
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
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w in %d of %d runs; logs in %s", errBroken, broken, c.Seeds, directory)
	}
	return nil
}
