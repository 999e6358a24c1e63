package main

import (
	"os"
	"runtime/debug"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/crocushollow/crocushollow/daemon/hosted"
	"github.com/crocushollow/crocushollow/transport/datagram"
)

type hostedCommand struct {
	Config string `help:"Settings file in TOML." env:"CROCUSHOLLOW_CONFIG" required:"" placeholder:"FILE"`
}

const (
	// gcPercent is lower than the default of 100, because memory costs more than
	// the CPU time of the garbage collector on the platform.
	gcPercent = 40
	// memoryLimitPercent is the soft memory limit of the garbage collector as a
	// percentage of the machine's memory. The rest is for socket buffers and stacks.
	memoryLimitPercent = 70
	// maxBufferedLogLines is the number of log lines that are buffered for the
	// standard output. Lines beyond it are dropped.
	maxBufferedLogLines = 1000
)

// Run runs the instance until a signal stops it.
func (c *hostedCommand) Run(received *signals) error {
	settings, err := hosted.LoadSettings(c.Config)
	if err != nil {
		return &settingsError{err}
	}
	level, err := zerolog.ParseLevel(settings.Logging.Level)
	if err != nil {
		return &settingsError{err}
	}
	debug.SetGCPercent(gcPercent)
	if limit := settings.Limits.MemoryMB << 20; limit > 0 {
		debug.SetMemoryLimit(limit / 100 * memoryLimitPercent)
	}
	output := diode.NewWriter(os.Stdout, maxBufferedLogLines, 0, func(int) {})
	// Close flushes the buffered lines. Its error cannot be handled at this point.
	defer func() { _ = output.Close() }()
	logger := zerolog.New(output).Level(level).With().Timestamp().Logger()
	logLibraries(logger)
	link, err := datagram.Listen(settings.Listen.Peers)
	if err != nil {
		return err
	}
	// The platform ends a process that takes too long with SIGKILL. Until then a shutdown
	// goes on, however often SIGTERM is repeated.
	ctx, shutdownCtx, release := received.contexts(os.Interrupt)
	defer release()
	instance := hosted.New(settings, link, logger)
	settingsReloader := &reloader{file: c.Config, instance: instance, logger: logger, signals: received.reload, done: make(chan struct{})}
	settingsReloader.reloadIfChanged()
	go settingsReloader.run(ctx)
	err = instance.Run(ctx, shutdownCtx)
	release()
	<-settingsReloader.done
	return err
}
