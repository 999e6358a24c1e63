package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// platformDemo is a fleet on a stand-in of the operators' platform.
type platformDemo struct {
	*platformtest.Cluster
}

// runOnPlatform starts the fleet, and checks it or stays up until interrupted.
func (c demoCommand) runOnPlatform(ctx context.Context) error {
	logger := zerolog.Nop()
	if c.Verbose {
		logger = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	fleet, err := platformtest.StartCluster(demoInstances, logger)
	if err != nil {
		return err
	}
	defer fleet.Close()
	d := &platformDemo{fleet}
	if c.Once {
		return d.check(ctx)
	}
	d.printUse()
	<-ctx.Done()
	return nil
}

func (d *platformDemo) printUse() {
	for _, i := range d.Instances {
		fmt.Printf("%s  callers %s  directory %s  metrics %s\n", i.Settings.Instance.ID,
			i.Settings.Listen.Callers, i.Settings.Listen.Discovery, i.Settings.Listen.Metrics)
	}
	fmt.Printf("\ncurl -N -H 'Host: %s' -H 'Authorization: Bearer %s' -H 'X-Request-Id: 1' \\\n", platformtest.Host, platformtest.APIKey)
	fmt.Printf("  -H 'X-Model: %s' -H 'X-Token-Count: 100,20' -d prompt http://%s%s1\n",
		platformtest.Model, d.Instances[0].Settings.Listen.Callers, platformtest.StreamingPath)
}

// check drives the fleet through real clients. The checks are those of the
// other demo, as far as the platform has what they need.
func (d *platformDemo) check(ctx context.Context) error {
	checks := []struct {
		name string
		run  func(context.Context) error
	}{
		{"a streamed answer arrives whole", d.checkStream},
		{"a broken stream goes on at another engine", d.checkResume},
		{"an order runs exactly once", d.checkOrder},
		{"an unknown key is refused", d.checkUnknownKey},
		{"no upstream has seen a caller's key", d.checkLeaks},
		{"an adapter that is asked for answers", d.checkAdapter},
		{"a model that no engine holds answers", d.checkModel},
		{"an added route answers at every instance", d.checkRoute},
		{"a withdrawn key stops everywhere", d.checkWithdrawal},
		{"a planned stop under load cuts nothing", d.checkPlannedStop},
	}
	for _, c := range checks {
		started := time.Now()
		if err := c.run(ctx); err != nil {
			return fmt.Errorf("check failed: %s: %w", c.name, err)
		}
		fmt.Printf("ok  %-58s %6.2f s\n", c.name, time.Since(started).Seconds())
	}
	fmt.Printf("demo: %d checks passed\n", len(checks))
	return nil
}

// send sends a request with the workspace's key to an instance.
func (d *platformDemo) send(ctx context.Context, number int, r platformtest.Request) (platformtest.Response, error) {
	r.APIKey = cmp.Or(r.APIKey, platformtest.APIKey)
	return platformtest.Send(ctx, d.Instances[number].Settings.Listen.Callers, r)
}

// errUnexpected reports an answer that a check did not expect.
var errUnexpected = errors.New("unexpected answer")

// expect sends a request and checks the status of its answer.
func (d *platformDemo) expect(ctx context.Context, number, status int, r platformtest.Request) (platformtest.Response, error) {
	answer, err := d.send(ctx, number, r)
	if err == nil && answer.Status != status {
		err = fmt.Errorf("%w: status %d, not %d", errUnexpected, answer.Status, status)
	}
	return answer, err
}

// await sends a request until its answer has a status.
func (d *platformDemo) await(ctx context.Context, number, status int, r platformtest.Request) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		_, err := d.expect(ctx, number, status, r)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func notes(model string) platformtest.Request {
	return platformtest.Request{Path: platformtest.StreamingPath + "1", Model: model, Body: "prompt"}
}

func checkEvents(answer platformtest.Response) error {
	if !answer.Complete || !slices.Equal(answer.EventIDs(), []int{1, 2, 3, 4, 5, 6}) {
		return fmt.Errorf("%w: whole %t, events %v", errUnexpected, answer.Complete, answer.EventIDs())
	}
	return nil
}

func (d *platformDemo) checkStream(ctx context.Context) error {
	answer, err := d.expect(ctx, 0, 200, notes(platformtest.Model))
	if err != nil {
		return err
	}
	return checkEvents(answer)
}

func (d *platformDemo) checkResume(ctx context.Context) error {
	var once sync.Once
	d.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour {
		behaviour := platformtest.Serve
		once.Do(func() { behaviour = platformtest.ResetMidStream })
		return behaviour
	})
	r := notes(platformtest.Model)
	r.Path = platformtest.ResumablePath + "1"
	answer, err := d.expect(ctx, 0, 200, r)
	if err != nil {
		return err
	}
	return checkEvents(answer)
}

func (d *platformDemo) checkOrder(ctx context.Context) error {
	before := len(d.Executions(platformtest.PlainService))
	_, err := d.expect(ctx, 0, 200, platformtest.Request{Path: platformtest.NonIdempotentPath + "1", Body: "ten frames"})
	if err != nil {
		return err
	}
	if runs := len(d.Executions(platformtest.PlainService)) - before; runs != 1 {
		return fmt.Errorf("%w: the order ran %d times", errUnexpected, runs)
	}
	return nil
}

func (d *platformDemo) checkUnknownKey(ctx context.Context) error {
	_, err := d.expect(ctx, 0, 401, platformtest.Request{Path: platformtest.NonIdempotentPath + "1", APIKey: "unknown"})
	return err
}

func (d *platformDemo) checkLeaks(context.Context) error {
	for _, run := range slices.Concat(d.Executions(platformtest.ModelService), d.Executions(platformtest.PlainService)) {
		if run.Header.Get("Authorization") != "" {
			return fmt.Errorf("%w: request %s carried a key upstream", errUnexpected, run.ID)
		}
	}
	return nil
}

func (d *platformDemo) checkAdapter(ctx context.Context) error {
	return d.await(ctx, 1, 200, notes(platformtest.Model+"/a4"))
}

func (d *platformDemo) checkModel(ctx context.Context) error {
	return d.await(ctx, 0, 200, notes(platformtest.OtherModel))
}

func (d *platformDemo) checkRoute(ctx context.Context) error {
	table := d.Table()
	table.Version++
	table.ExtraIdempotentPaths = []string{"/added/"}
	d.PutTable(table)
	for number := range d.Instances {
		if err := d.await(ctx, number, 200, platformtest.Request{Path: "/added/1"}); err != nil {
			return err
		}
	}
	return nil
}

func (d *platformDemo) checkWithdrawal(ctx context.Context) error {
	table := d.Table()
	table.Version++
	kept := table.APIKeys
	table.APIKeys = []string{"another"}
	d.PutTable(table)
	for number := range d.Instances {
		if err := d.await(ctx, number, 401, platformtest.Request{Path: platformtest.IdempotentPath + "1"}); err != nil {
			return err
		}
	}
	table.Version++
	table.APIKeys = kept
	d.PutTable(table)
	return d.await(ctx, 0, 200, platformtest.Request{Path: platformtest.IdempotentPath + "1"})
}

// checkPlannedStop sends orders one after the other to an instance that stops,
// until it takes no more connections.
func (d *platformDemo) checkPlannedStop(ctx context.Context) error {
	last := len(d.Instances) - 1
	if err := d.await(ctx, last, 200, platformtest.Request{Path: platformtest.IdempotentPath + "1"}); err != nil {
		return err
	}
	d.Instances[last].Stop()
	for {
		select {
		case <-d.Instances[last].Done():
			return nil
		default:
		}
		answer, err := d.send(ctx, last, platformtest.Request{Path: platformtest.IdempotentPath + "1"})
		if errors.Is(err, syscall.ECONNREFUSED) {
			// The instance has closed its listener before it ends.
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if err != nil {
			return err
		}
		if answer.Status != 200 || !answer.Complete {
			return fmt.Errorf("%w: status %d, whole %t", errUnexpected, answer.Status, answer.Complete)
		}
	}
}
