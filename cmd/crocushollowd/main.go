// Command crocushollowd runs one instance.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/daemon"
)

// Exit codes.
const (
	exitFailure     = 1
	exitBadSettings = 2
)

type arguments struct {
	Config  string           `help:"Settings file in TOML." required:"" placeholder:"FILE" type:"path"`
	Version kong.VersionFlag `help:"Print the version and quit."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("crocushollowd"), kong.Description("Runs one instance of crocushollow."),
		kong.Vars{"version": version()})
	settings, err := daemon.LoadSettings(args.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadSettings)
	}
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func version() string {
	info, found := debug.ReadBuildInfo()
	if !found {
		return "unknown"
	}
	return info.Main.Version
}

// run serves until the first signal, which begins a graceful shutdown, or the
// second one, which stops at once.
func run(settings daemon.Settings) error {
	level, err := zerolog.ParseLevel(settings.Logging.Level)
	if err != nil {
		return err
	}
	logger := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	endTracing, err := daemon.StartTracing(settings)
	if err != nil {
		return err
	}
	listeners, err := daemon.Listen(context.Background(), settings.Listen)
	if err != nil {
		return err
	}
	ctx, kill := context.WithCancel(context.Background())
	defer kill()
	stopping, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		stop()
		<-signals
		kill()
	}()
	err = daemon.New(settings, logger, version()).Run(ctx, stopping, listeners)
	return errors.Join(err, endTracing(context.Background()))
}
