// Command crocushollowd is the daemon that runs one instance.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/daemon"
	"github.com/crocushollow/crocushollow/protocol/bounder"
)

// Exit codes.
const (
	exitFailure     = 1
	exitBadSettings = 2
)

type arguments struct {
	Run     runCommand       `cmd:"" default:"withargs" help:"Run an instance on the platform's log."`
	Hosted  hostedCommand    `cmd:"" help:"Run an instance on the operators' platform."`
	Version kong.VersionFlag `help:"Print the version and quit."`
}

type runCommand struct {
	Config string `help:"Settings file in TOML." required:"" placeholder:"FILE" type:"path"`
}

// Run runs the instance until a signal stops it.
func (c *runCommand) Run(received *signals) error {
	// Without a reload, a hangup ends the process as usual.
	signal.Reset(syscall.SIGHUP)
	settings, err := daemon.LoadSettings(c.Config)
	if err != nil {
		return &settingsError{err}
	}
	return run(settings, received)
}

// settingsError reports invalid settings.
type settingsError struct{ err error }

// Error implements error.
func (e *settingsError) Error() string { return e.err.Error() }

func main() {
	// A signal that comes before its handler is registered ends the process.
	received := receiveSignals()
	var args arguments
	command := kong.Parse(&args, kong.Name("crocushollowd"), kong.Description("Runs one instance of crocushollow."),
		kong.Vars{"version": version()})
	err := command.Run(received)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var invalid *settingsError
	if errors.As(err, &invalid) {
		os.Exit(exitBadSettings)
	}
	os.Exit(exitFailure)
}

func version() string {
	info, found := debug.ReadBuildInfo()
	if !found {
		return "unknown"
	}
	return info.Main.Version
}

// run runs the instance. The first signal starts a graceful shutdown, and the second
// one stops the instance immediately.
func run(settings daemon.Settings, received *signals) error {
	level, err := zerolog.ParseLevel(settings.Logging.Level)
	if err != nil {
		return err
	}
	logger := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	logLibraries(logger)
	stopTracing, err := daemon.StartTracing(settings)
	if err != nil {
		return err
	}
	listeners, err := daemon.Listen(context.Background(), settings.Listen)
	if err != nil {
		return err
	}
	ctx, shutdownCtx, release := received.contexts(syscall.SIGTERM, os.Interrupt)
	defer release()
	err = daemon.New(settings, logger, version()).Run(ctx, shutdownCtx, listeners)
	return errors.Join(err, stopTracing(context.Background()))
}

// logLibraries writes the log lines of libraries to the logger. Those of net/http quote what an
// upstream has sent.
func logLibraries(logger zerolog.Logger) {
	log.SetFlags(0)
	log.SetOutput(libraryLog{logger})
}

// libraryLog writes the beginning of each line to a logger.
type libraryLog struct{ logger zerolog.Logger }

// Write implements io.Writer.
func (l libraryLog) Write(line []byte) (int, error) {
	l.logger.Warn().Msg(bounder.LimitText(string(line)))
	return len(line), nil
}

// signals receives the signals of the process.
type signals struct {
	// termination receives SIGTERM and interrupts, and reload SIGHUP.
	termination, reload chan os.Signal
}

func receiveSignals() *signals {
	received := &signals{termination: make(chan os.Signal, 2), reload: make(chan os.Signal, 1)}
	signal.Notify(received.termination, syscall.SIGTERM, os.Interrupt)
	signal.Notify(received.reload, syscall.SIGHUP)
	return received
}

// contexts returns a context that is canceled by the first termination signal, shutdownCtx,
// and one that is canceled by a later signal if that is one of forced.
func (s *signals) contexts(forced ...os.Signal) (ctx, shutdownCtx context.Context, release func()) {
	ctx, cancel := context.WithCancel(context.Background())
	shutdownCtx, shutdown := context.WithCancel(context.Background())
	go func() {
		<-s.termination
		shutdown()
		for !slices.Contains(forced, <-s.termination) {
		}
		cancel()
	}()
	return ctx, shutdownCtx, func() { shutdown(); cancel() }
}
