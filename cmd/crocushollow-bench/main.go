// Command crocushollow-bench runs benchmarks and fault injection on the loopback
// interface.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
)

type commands struct {
	List  listCommand  `cmd:"" help:"List the scenarios."`
	Run   runCommand   `cmd:"" help:"Run a scenario and print its measurements as JSON."`
	Scale scaleCommand `cmd:"" help:"Measure idle fleets of increasing size."`

	Soak soakCommand `cmd:"" help:"Run instances as processes, inject faults and check the invariants that callers and upstreams observe."`

	Overhead overheadCommand `cmd:"" help:"Measure the latency that an instance adds to a request."`
}

func main() {
	var cli commands
	parser := kong.Parse(&cli, kong.Name("crocushollow-bench"),
		kong.Description("Runs load tests, fault injection and measurements on the loopback interface."), kong.UsageOnError())
	ctx, end := signal.NotifyContext(context.Background(), os.Interrupt)
	defer end()
	parser.BindTo(ctx, (*context.Context)(nil))
	parser.FatalIfErrorf(parser.Run())
}
