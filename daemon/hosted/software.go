package hosted

import (
	"math/rand/v2"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/coordination/observer"
	"github.com/crocushollow/crocushollow/coordination/registrar"
	"github.com/crocushollow/crocushollow/platform"
	"github.com/crocushollow/crocushollow/state/pinner"
)

const (
	// maxRegistrarDelay bounds the time that an instance leaves the recording of a new
	// software version to others, registrarDelay and registrarDelayStep give it by rank.
	maxRegistrarDelay  = time.Second
	registrarDelay     = 150 * time.Millisecond
	registrarDelayStep = 50 * time.Millisecond
	// settleTime is the time after a start in which an instance does not know its rank. It
	// then leaves the recording to others for a random time of up to maxStartupDelay.
	settleTime      = time.Second
	maxStartupDelay = 250 * time.Millisecond
)

// assembleOrigins builds the parts that know which software version began a stream.
func (i *Instance) assembleOrigins(store *platform.Store) {
	var software softwareObserver
	startupDelay := time.Duration(rand.Int64N(int64(maxStartupDelay)))
	i.registrar = registrar.New(registrar.Config{
		Ledger:     platform.NewSoftwareLedger(store),
		InUse:      func() []registrar.Software { return software.inUse(i.site.current.Load().view) },
		IsRecorder: func() bool { return i.hasSettled() && i.gossiper.Fleet().Rank == 0 && !i.draining.Load() },
		Delay: func() time.Duration {
			if !i.hasSettled() {
				return startupDelay
			}
			return min(registrarDelay+time.Duration(i.gossiper.Fleet().Rank)*registrarDelayStep, maxRegistrarDelay)
		},
		Tell: func(entries []registrar.Software) {
			heartbeat := gossiper.NewPartial()
			heartbeat.Software = entries
			i.gossiper.Broadcast(heartbeat)
		},
		OnChange: func() {
			i.origins.changed()
			i.proxy.Wake()
		},
		Logger: i.logger,
		Now:    time.Now,
	})
	i.origins = &streamOrigins{
		pinner: pinner.New(), registrar: i.registrar, fleet: i.gossiper.Fleet, send: i.gossiper.SendTo,
		asking: make(map[pinner.Stream][]chan pinner.Pin), several: make(map[string]bool), toldRanking: &holderRanking{}, hasNews: make(chan struct{}, 1),
	}
}

// hasSettled reports whether the instance has run long enough to know its rank.
func (i *Instance) hasSettled() bool { return time.Since(i.startedAt) > settleTime }

// isPinnable implements selector.Config.IsPinnable.
func (i *Instance) isPinnable(service string, version catalog.SoftwareVersion) bool {
	return i.registrar.IsUsable(service, version)
}

// softwareObserver computes the software versions in use once for each view. Only the
// registrar's control goroutine uses it.
type softwareObserver struct {
	view    *observer.View
	entries []registrar.Software
}

// inUse returns the software versions of the upstreams whose streams callers may take up.
func (o *softwareObserver) inUse(view *observer.View) []registrar.Software {
	if view != o.view {
		o.view, o.entries = view, softwareOf(view)
	}
	return o.entries
}

func softwareOf(view *observer.View) []registrar.Software {
	if view.Catalog == nil {
		return nil
	}
	seen := make(map[registrar.Software]bool)
	var entries []registrar.Software
	for _, upstream := range view.Upstreams {
		entry := registrar.Software{Service: upstream.Service, Version: upstream.SoftwareVersion}
		if !view.Catalog.IsResumable(entry.Service) || !entry.Version.IsKnown() || seen[entry] {
			continue
		}
		seen[entry] = true
		entries = append(entries, entry)
	}
	return entries
}
