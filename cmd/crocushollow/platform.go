package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// platformDemo is a fleet on the test double of the operators' platform.
type platformDemo struct {
	*platformtest.Cluster
}

// runOnPlatform starts the fleet, then checks it or keeps it running until
// interrupted.
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
	d.printUsage()
	<-ctx.Done()
	return nil
}

func (d *platformDemo) printUsage() {
	for _, i := range d.Instances {
		fmt.Printf("%s  callers %s  directory %s  metrics %s\n", i.Settings.Instance.ID,
			i.Settings.Listen.Callers, i.Settings.Listen.Discovery, i.Settings.Listen.Metrics)
	}
	fmt.Printf("\ncurl -N -H 'Host: %s' -H 'Authorization: Bearer %s' -H 'X-Request-Id: 1' \\\n", platformtest.Host, platformtest.APIKey)
	fmt.Printf("  -H 'X-Model: %s' -H 'X-Token-Count: 100,20' -d prompt http://%s%s1\n",
		platformtest.Model, d.Instances[0].Settings.Listen.Callers, platformtest.StreamingPath)
}

// check runs the checks against the fleet with HTTP clients. They are the checks of
// demoSite that the platform supports.
func (d *platformDemo) check(ctx context.Context) error {
	return runChecks(ctx, []check{
		{"a streamed response is complete", d.checkStream},
		{"an interrupted stream resumes on another engine", d.checkResume},
		{"an order runs exactly once", d.checkOrder},
		{"an unknown API key is rejected", d.checkUnknownKey},
		{"no upstream receives an API key", d.checkKeyLeaks},
		{"a requested adapter serves requests", d.checkAdapter},
		{"a model that no engine has loaded serves requests", d.checkModel},
		{"an added route works on all instances", d.checkRoute},
		{"a withdrawn key is rejected on all instances", d.checkKeyWithdrawal},
		{"a graceful shutdown under load interrupts no request", d.checkGracefulShutdown},
	})
}

// send sends a request to an instance, by default with the key of the workspace.
func (d *platformDemo) send(ctx context.Context, index int, r platformtest.Request) (platformtest.Response, error) {
	r.APIKey = cmp.Or(r.APIKey, platformtest.APIKey)
	return platformtest.Send(ctx, d.Instances[index].Settings.Listen.Callers, r)
}

// errUnexpected reports a response that a check does not expect.
var errUnexpected = errors.New("unexpected response")

// sendExpecting sends a request and returns an error if the response has another
// status.
func (d *platformDemo) sendExpecting(ctx context.Context, index, status int, r platformtest.Request) (platformtest.Response, error) {
	response, err := d.send(ctx, index, r)
	if err == nil && response.Status != status {
		err = fmt.Errorf("%w: status %d instead of %d", errUnexpected, response.Status, status)
	}
	return response, err
}

// awaitStatus repeats a request until the response has the status.
func (d *platformDemo) awaitStatus(ctx context.Context, index, status int, r platformtest.Request) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		_, err := d.sendExpecting(ctx, index, status, r)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func notesRequest(model string) platformtest.Request {
	return platformtest.Request{Path: platformtest.StreamingPath + "1", Model: model, Body: "prompt"}
}

func checkEvents(response platformtest.Response) error {
	if !response.Complete || !slices.Equal(response.EventIDs(), []int{1, 2, 3, 4, 5, 6}) {
		return fmt.Errorf("%w: complete %t, events %v", errUnexpected, response.Complete, response.EventIDs())
	}
	return nil
}

func (d *platformDemo) checkStream(ctx context.Context) error {
	response, err := d.sendExpecting(ctx, 0, 200, notesRequest(platformtest.Model))
	if err != nil {
		return err
	}
	return checkEvents(response)
}

func (d *platformDemo) checkResume(ctx context.Context) error {
	var once sync.Once
	d.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour {
		behaviour := platformtest.Serve
		once.Do(func() { behaviour = platformtest.ResetMidStream })
		return behaviour
	})
	r := notesRequest(platformtest.Model)
	r.Path = platformtest.ResumablePath + "1"
	response, err := d.sendExpecting(ctx, 0, 200, r)
	if err != nil {
		return err
	}
	return checkEvents(response)
}

func (d *platformDemo) checkOrder(ctx context.Context) error {
	before := len(d.Executions(platformtest.PlainService))
	_, err := d.sendExpecting(ctx, 0, 200, platformtest.Request{Path: platformtest.NonIdempotentPath + "1", Body: "ten frames"})
	if err != nil {
		return err
	}
	if runs := len(d.Executions(platformtest.PlainService)) - before; runs != 1 {
		return fmt.Errorf("%w: the order ran %d times", errUnexpected, runs)
	}
	return nil
}

func (d *platformDemo) checkUnknownKey(ctx context.Context) error {
	_, err := d.sendExpecting(ctx, 0, 401, platformtest.Request{Path: platformtest.NonIdempotentPath + "1", APIKey: "unknown"})
	return err
}

func (d *platformDemo) checkKeyLeaks(context.Context) error {
	for _, run := range slices.Concat(d.Executions(platformtest.ModelService), d.Executions(platformtest.PlainService)) {
		if run.Header.Get("Authorization") != "" {
			return fmt.Errorf("%w: request %s carried a key upstream", errUnexpected, run.ID)
		}
	}
	return nil
}

func (d *platformDemo) checkAdapter(ctx context.Context) error {
	return d.awaitStatus(ctx, 1, 200, notesRequest(platformtest.Model+"/a4"))
}

func (d *platformDemo) checkModel(ctx context.Context) error {
	return d.awaitStatus(ctx, 0, 200, notesRequest(platformtest.OtherModel))
}

func (d *platformDemo) checkRoute(ctx context.Context) error {
	table := d.Table()
	table.Version++
	table.ExtraIdempotentPaths = []string{"/added/"}
	d.PutTable(table)
	for index := range d.Instances {
		if err := d.awaitStatus(ctx, index, 200, platformtest.Request{Path: "/added/1"}); err != nil {
			return err
		}
	}
	return nil
}

func (d *platformDemo) checkKeyWithdrawal(ctx context.Context) error {
	table := d.Table()
	table.Version++
	savedKeys := table.APIKeys
	table.APIKeys = []string{"another"}
	d.PutTable(table)
	for index := range d.Instances {
		if err := d.awaitStatus(ctx, index, 401, platformtest.Request{Path: platformtest.IdempotentPath + "1"}); err != nil {
			return err
		}
	}
	table.Version++
	table.APIKeys = savedKeys
	d.PutTable(table)
	return d.awaitStatus(ctx, 0, 200, platformtest.Request{Path: platformtest.IdempotentPath + "1"})
}

// checkGracefulShutdown sends requests sequentially to an instance that shuts down,
// until the instance accepts no more connections.
func (d *platformDemo) checkGracefulShutdown(ctx context.Context) error {
	last := len(d.Instances) - 1
	if err := d.awaitStatus(ctx, last, 200, platformtest.Request{Path: platformtest.IdempotentPath + "1"}); err != nil {
		return err
	}
	d.Instances[last].Stop()
	for {
		select {
		case <-d.Instances[last].Done():
			return nil
		default:
		}
		response, err := d.send(ctx, last, platformtest.Request{Path: platformtest.IdempotentPath + "1"})
		if isConnectionRejected(err) {
			// The instance closes its listener before it exits.
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if err != nil {
			return err
		}
		if response.Status != 200 || !response.Complete {
			return fmt.Errorf("%w: status %d, complete %t", errUnexpected, response.Status, response.Complete)
		}
	}
}

// isConnectionRejected reports whether no connection was established, so that no request
// was sent. A listener that is closed resets the connections that wait in its queue.
func isConnectionRejected(err error) bool {
	var opErr *net.OpError
	isReset := errors.As(err, &opErr) && opErr.Op == "dial" && errors.Is(err, syscall.ECONNRESET)
	return isReset || errors.Is(err, syscall.ECONNREFUSED)
}
