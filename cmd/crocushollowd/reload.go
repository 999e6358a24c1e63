package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/daemon/hosted"
)

// pollInterval is the time between two checks of the settings file. A change of the
// file does not always come with a signal.
const pollInterval = 5 * time.Second

// reloader passes changed settings to an instance.
type reloader struct {
	file     string
	instance *hosted.Instance
	logger   zerolog.Logger
	// signals receives SIGHUP.
	signals <-chan os.Signal
	// lastText is the text of the settings file when it last changed, valid or not.
	lastText []byte
	done     chan struct{}
}

// run checks the settings file on SIGHUP and at each poll interval until the
// context ends.
func (r *reloader) run(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
		case <-ticker.C:
		}
		r.reloadIfChanged()
	}
}

// reloadIfChanged loads the settings if their text has changed. If they are
// invalid, the current settings stay in effect.
func (r *reloader) reloadIfChanged() {
	text, err := os.ReadFile(r.file)
	if err != nil {
		r.logger.Warn().Err(err).Msg("settings not read")
		return
	}
	if bytes.Equal(text, r.lastText) {
		return
	}
	isFirst := r.lastText == nil
	r.lastText = text
	settings, err := hosted.ParseSettings(r.file, text)
	if err != nil {
		r.logger.Error().Err(err).Msg("settings refused")
		return
	}
	if !isFirst {
		r.instance.Reload(settings)
	}
}
