package observer

import (
	"errors"
	"maps"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/catalog"
)

// View is what an instance knows of the site at one moment. It is immutable.
type View struct {
	// Catalog is the newest table. It is nil before the first one was read.
	Catalog *catalog.Catalog
	// Upstreams lists the announced upstreams by ID.
	Upstreams map[string]*catalog.Upstream
	// ZonesOutOfService holds the availability zones that get no new work.
	ZonesOutOfService map[string]bool
	// ZonesRestoredAt holds when zones were last put back into service.
	ZonesRestoredAt map[string]time.Time
	// OperatorsReadAt and UpstreamsReadAt are when the feeds last answered.
	OperatorsReadAt time.Time
	UpstreamsReadAt time.Time
}

// Timing of announcements that lapse while the feed is away.
const (
	// lapseGrace is how long after the feed's return upstreams may take to
	// announce themselves again.
	lapseGrace = 2200 * time.Millisecond
	// outageAfter is the time without an answer of the feed that counts as an
	// outage, longer than one slow call.
	outageAfter = 1500 * time.Millisecond
)

// state is the control goroutine's own. It becomes a View when it has changed.
type state struct {
	logger      zerolog.Logger
	catalog     *catalog.Catalog
	upstreams   map[string]*catalog.Upstream
	offsets     map[string]int64
	zonesOut    map[string]int64
	zonesBackAt map[string]time.Time
	// lapsed holds upstreams whose announcement went away around an outage of
	// the feed, with the time at which they are taken as gone.
	lapsed map[string]time.Time
	// graceUntil is when announcements that went away in an outage must be back.
	graceUntil time.Time
	answeredAt map[Source]time.Time
	failing    map[Source]bool
	changed    bool
}

func newState(logger zerolog.Logger) *state {
	return &state{
		logger:      logger,
		upstreams:   make(map[string]*catalog.Upstream),
		offsets:     make(map[string]int64),
		zonesOut:    make(map[string]int64),
		zonesBackAt: make(map[string]time.Time),
		lapsed:      make(map[string]time.Time),
		answeredAt:  make(map[Source]time.Time),
		failing:     make(map[Source]bool),
	}
}

// take applies what a feed has brought.
func (s *state) take(e event) {
	if e.err != nil {
		if !s.failing[e.source] && !errors.Is(e.err, ErrExpired) {
			s.logger.Warn().Err(e.err).Str("feed", string(e.source)).Msg("feed lost")
			s.failing[e.source] = true
		}
		return
	}
	last, answered := s.answeredAt[e.source]
	if s.failing[e.source] {
		s.failing[e.source] = false
		s.logger.Info().Str("feed", string(e.source)).Dur("after", e.at.Sub(last)).Msg("feed regained")
	}
	if e.source == Upstreams && answered && e.at.Sub(last) > outageAfter {
		s.graceUntil = e.at.Add(lapseGrace)
	}
	s.answeredAt[e.source] = e.at
	s.changed = true
	if e.snapshot {
		s.dropMissing(e)
	}
	for i := range e.batch.Changes {
		s.apply(&e.batch.Changes[i], e.at)
	}
}

// dropMissing removes what a snapshot no longer lists.
func (s *state) dropMissing(e event) {
	listed := make(map[string]bool, len(e.batch.Changes))
	for i := range e.batch.Changes {
		change := &e.batch.Changes[i]
		if change.Upstream != nil {
			listed[change.Upstream.ID] = true
		}
		if change.Zone != "" {
			listed[change.Zone] = true
		}
	}
	if e.source == Operators {
		for zone := range s.zonesOut {
			if !listed[zone] {
				s.putBack(zone, e.batch.Next, e.at)
			}
		}
		return
	}
	for id := range s.upstreams {
		if !listed[id] {
			s.lose(id, e.at)
		}
	}
}

func (s *state) apply(change *Change, at time.Time) {
	switch {
	case change.Err != nil:
		s.logger.Warn().Err(change.Err).Str("key", change.Key).Int64("offset", change.Offset).Msg("published record refused")
	case change.Catalog != nil:
		s.applyCatalog(change.Catalog)
	case change.Zone != "":
		s.applyZone(change, at)
	case change.Upstream != nil:
		s.applyUpstream(change)
	case change.DeregisteredUpstream != "":
		if s.offsets[change.DeregisteredUpstream] <= change.Offset {
			s.offsets[change.DeregisteredUpstream] = change.Offset
			s.lose(change.DeregisteredUpstream, at)
		}
	}
}

// applyCatalog puts a newer version in force. A version never goes back.
func (s *state) applyCatalog(next *catalog.Catalog) {
	if s.catalog != nil && next.Version() <= s.catalog.Version() {
		return
	}
	s.catalog = next
	s.logger.Info().Int64("version", next.Version()).Msg("table in force")
}

func (s *state) applyZone(change *Change, at time.Time) {
	if change.InService {
		s.putBack(change.Zone, change.Offset, at)
		return
	}
	if _, out := s.zonesOut[change.Zone]; !out {
		s.logger.Info().Str("zone", change.Zone).Msg("availability zone taken out of service")
	}
	s.zonesOut[change.Zone] = change.Offset
}

func (s *state) putBack(zone string, offset int64, at time.Time) {
	if since, out := s.zonesOut[zone]; !out || since > offset {
		return
	}
	delete(s.zonesOut, zone)
	s.zonesBackAt[zone] = at
	s.logger.Info().Str("zone", zone).Msg("availability zone put back into service")
}

func (s *state) applyUpstream(change *Change) {
	next := change.Upstream
	if s.offsets[next.ID] > change.Offset {
		return
	}
	known := s.upstreams[next.ID]
	if known != nil && next.IsOlderThan(known) {
		return
	}
	s.offsets[next.ID] = change.Offset
	delete(s.lapsed, next.ID)
	s.upstreams[next.ID] = next
	if known == nil || known.StartUnixMilli != next.StartUnixMilli || known.IsDraining != next.IsDraining {
		s.logger.Info().Str("upstream", next.ID).Str("service", next.Service).Str("address", next.Address).
			Int64("born", next.StartUnixMilli).Bool("leaving", next.IsDraining).Msg("upstream announced")
	}
}

// lose takes an upstream out, at once or at the end of the grace after an
// outage of the feed.
func (s *state) lose(id string, at time.Time) {
	if _, known := s.upstreams[id]; !known {
		return
	}
	if at.Before(s.graceUntil) {
		if _, waits := s.lapsed[id]; !waits {
			s.lapsed[id] = s.graceUntil
		}
		return
	}
	s.remove(id)
}

func (s *state) remove(id string) {
	delete(s.upstreams, id)
	delete(s.lapsed, id)
	s.changed = true
	s.logger.Info().Str("upstream", id).Msg("upstream gone")
}

// expire removes upstreams that have not come back after an outage.
func (s *state) expire(now time.Time) {
	for id, until := range s.lapsed {
		if now.After(until) {
			s.remove(id)
		}
	}
}

// next returns a new view if the state has changed, or nil.
func (s *state) next() *View {
	if !s.changed {
		return nil
	}
	s.changed = false
	zonesOut := make(map[string]bool, len(s.zonesOut))
	for zone := range s.zonesOut {
		zonesOut[zone] = true
	}
	return &View{
		Catalog:           s.catalog,
		Upstreams:         maps.Clone(s.upstreams),
		ZonesOutOfService: zonesOut,
		ZonesRestoredAt:   maps.Clone(s.zonesBackAt),
		OperatorsReadAt:   s.answeredAt[Operators],
		UpstreamsReadAt:   s.answeredAt[Upstreams],
	}
}
