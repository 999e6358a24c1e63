// Command crocushollow-bench measures the system on loopback.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
)

type commands struct {
	List  listCommand  `cmd:"" help:"Name the scenarios."`
	Run   runCommand   `cmd:"" help:"Run a scenario and print its measures as JSON."`
	Scale scaleCommand `cmd:"" help:"Measure the control state of growing fleets without traffic."`

	Soak soakCommand `cmd:"" help:"Run instances as processes, inject faults and check what callers and upstreams see."`

	Overhead overheadCommand `cmd:"" help:"Measure what an instance adds to a call."`
}

func main() {
	var cli commands
	parser := kong.Parse(&cli, kong.Name("crocushollow-bench"),
		kong.Description("Runs load, faults and measurements on loopback."), kong.UsageOnError())
	ctx, end := signal.NotifyContext(context.Background(), os.Interrupt)
	defer end()
	parser.BindTo(ctx, (*context.Context)(nil))
	parser.FatalIfErrorf(parser.Run())
}
