package observer

import (
	"errors"
	"maps"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/catalog"
)

// View is a snapshot of the site as this instance knows it. It is immutable.
type View struct {
	// Catalog is the newest table. It is nil until the first one has been read.
	Catalog *catalog.Catalog
	// Upstreams holds the registered upstreams by ID.
	Upstreams map[string]*catalog.Upstream
	// ZonesOutOfService holds the availability zones that get no new work.
	ZonesOutOfService map[string]bool
	// ZonesRestoredAt holds when zones were last put back into service.
	ZonesRestoredAt map[string]time.Time
	// OperatorsReadAt and UpstreamsReadAt are when the feeds last responded.
	OperatorsReadAt time.Time
	UpstreamsReadAt time.Time
}

// Timing of registrations that expire during an outage of the feed.
const (
	// reregistrationGrace is how long upstreams may take to register again after
	// an outage of the feed, and operators and upstreams to write again what a feed has
	// lost that was restored from a copy.
	reregistrationGrace = 2200 * time.Millisecond
	// maxRemovalDelay is how long a removal that was read may be deferred. The upstream
	// may have left, and then gets no requests 2 s later.
	maxRemovalDelay = 1800 * time.Millisecond
	// idleCheckInterval is the time between two checks while no change is deferred.
	idleCheckInterval = time.Minute
	// outageThreshold is the time without a response of the feed that counts as an
	// outage. It is longer than one slow call.
	outageThreshold = 1500 * time.Millisecond
)

// state is the mutable state behind the views. Only the control goroutine uses
// it.
type state struct {
	logger    zerolog.Logger
	catalog   *catalog.Catalog
	upstreams map[string]*catalog.Upstream
	departed  departures
	// positions and zonesOutOfService hold the position of the last change of each
	// upstream and of each zone that is out of service.
	positions         map[string]crocushollow.Position
	zonesOutOfService map[string]crocushollow.Position
	zonesRestoredAt   map[string]time.Time
	// pendingRemovals holds the upstreams whose registration expired around an
	// outage of the feed, with the time at which they are removed.
	pendingRemovals map[string]time.Time
	// pendingRestores holds the zones out of service that a restored feed does not list.
	pendingRestores map[string]pendingRestore
	// graceEndsAt is when the grace period of a feed after its last outage or restore ends.
	graceEndsAt map[Source]time.Time
	// eras holds the era of each feed.
	eras        map[Source]int64
	respondedAt map[Source]time.Time
	isFailing   map[Source]bool
	changed     bool
}

// pendingRestore is the deferred restore of a zone, as of a position of the feed.
type pendingRestore struct {
	position crocushollow.Position
	at       time.Time
}

func newState(logger zerolog.Logger) *state {
	return &state{
		logger:            logger,
		upstreams:         make(map[string]*catalog.Upstream),
		departed:          make(departures),
		positions:         make(map[string]crocushollow.Position),
		zonesOutOfService: make(map[string]crocushollow.Position),
		zonesRestoredAt:   make(map[string]time.Time),
		pendingRemovals:   make(map[string]time.Time),
		pendingRestores:   make(map[string]pendingRestore),
		graceEndsAt:       make(map[Source]time.Time),
		eras:              make(map[Source]int64),
		respondedAt:       make(map[Source]time.Time),
		isFailing:         make(map[Source]bool),
	}
}

// applyEvent applies the result of a call or a relayed batch.
func (s *state) applyEvent(e event) {
	if e.err != nil {
		if !s.isFailing[e.source] && !errors.Is(e.err, ErrExpired) {
			s.logger.Warn().Err(e.err).Str("feed", string(e.source)).Msg("feed lost")
			s.isFailing[e.source] = true
		}
		return
	}
	last, hasResponded := s.respondedAt[e.source]
	if s.isFailing[e.source] && !e.isRelayed {
		s.isFailing[e.source] = false
		s.logger.Info().Str("feed", string(e.source)).Dur("after", e.at.Sub(last)).Msg("feed regained")
	}
	if e.source == Upstreams && hasResponded && e.at.Sub(last) > outageThreshold {
		s.graceEndsAt[Upstreams] = e.at.Add(reregistrationGrace)
	}
	s.updateEra(&e, hasResponded)
	s.respondedAt[e.source] = e.at
	s.changed = true
	if e.isSnapshot {
		s.removeMissing(e)
	}
	for i := range e.batch.Changes {
		s.apply(&e.batch.Changes[i], &e)
	}
}

// updateEra begins the grace period of a feed that was restored from a copy.
func (s *state) updateEra(e *event, hasResponded bool) {
	era := e.batch.Next.Era()
	if era <= s.eras[e.source] {
		return
	}
	s.eras[e.source] = era
	if hasResponded {
		s.graceEndsAt[e.source] = e.at.Add(reregistrationGrace)
		s.logger.Warn().Str("feed", string(e.source)).Int64("era", era).Bool("relayed", e.isRelayed).Msg("feed restored from a copy")
	}
}

// removeMissing removes the zones or upstreams that a snapshot no longer lists, unless
// they were relayed after it.
func (s *state) removeMissing(e event) {
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
		for zone := range s.zonesOutOfService {
			if !listed[zone] {
				s.restoreMissingZone(zone, &e)
			}
		}
		return
	}
	for id, known := range s.upstreams {
		if !listed[id] && s.positions[id] < e.batch.Next {
			s.departed.add(id, known.StartUnixMilli, known.Sequence, e.at)
			s.deregister(id, e.at)
		}
	}
}

func (s *state) apply(change *Change, e *event) {
	switch {
	case change.Err != nil:
		s.logger.Warn().Err(change.Err).Str("key", change.Key).Int64("era", change.Position.Era()).Int64("offset", change.Position.Offset()).Msg("published record refused")
	case change.Catalog != nil:
		s.applyCatalog(change.Catalog)
	case change.Zone != "":
		s.applyZone(change, e.at)
	case change.Upstream != nil:
		s.applyUpstream(change, e.origin())
	case change.DeregisteredUpstream != "":
		if s.positions[change.DeregisteredUpstream] <= change.Position {
			s.positions[change.DeregisteredUpstream] = change.Position
			s.departed.add(change.DeregisteredUpstream, change.LastStartUnixMilli, change.LastSequence, e.at)
			s.deregister(change.DeregisteredUpstream, e.at)
		}
	}
}

// applyCatalog puts a newer version of the table in force. It ignores older ones.
func (s *state) applyCatalog(next *catalog.Catalog) {
	if s.catalog != nil && next.Version() <= s.catalog.Version() {
		return
	}
	s.catalog = next
	s.logger.Info().Int64("version", next.Version()).Msg("table in force")
}

func (s *state) applyZone(change *Change, at time.Time) {
	if change.InService {
		s.restoreZone(change.Zone, change.Position, at)
		return
	}
	if _, isOut := s.zonesOutOfService[change.Zone]; !isOut {
		s.logger.Info().Str("zone", change.Zone).Msg("availability zone taken out of service")
	}
	s.zonesOutOfService[change.Zone] = change.Position
	delete(s.pendingRestores, change.Zone)
}

// restoreMissingZone puts a zone back into service that a snapshot does not list, at once
// or at the end of the grace period of a restored feed.
func (s *state) restoreMissingZone(zone string, e *event) {
	graceEndsAt := s.graceEndsAt[Operators]
	if !e.at.Before(graceEndsAt) {
		s.restoreZone(zone, e.batch.Next, e.at)
		return
	}
	s.pendingRestores[zone] = pendingRestore{position: e.batch.Next, at: graceEndsAt}
	s.logger.Info().Str("zone", zone).Dur("wait", graceEndsAt.Sub(e.at)).Msg("return of availability zone deferred")
}

// restoreZone puts an availability zone back into service, unless it was taken
// out of service after the given position.
func (s *state) restoreZone(zone string, position crocushollow.Position, at time.Time) {
	if since, isOut := s.zonesOutOfService[zone]; !isOut || since > position {
		return
	}
	delete(s.zonesOutOfService, zone)
	delete(s.pendingRestores, zone)
	s.changed = true
	s.zonesRestoredAt[zone] = at
	s.logger.Info().Str("zone", zone).Msg("availability zone put back into service")
}

func (s *state) applyUpstream(change *Change, origin string) {
	next := change.Upstream
	if s.positions[next.ID] > change.Position {
		return
	}
	known := s.upstreams[next.ID]
	if known != nil && next.IsOlderThan(known) {
		s.logIgnored(change, known.Sequence, next.IsDraining != known.IsDraining)
		return
	}
	if last, found := s.departed[next.ID]; known == nil && found && !last.isSucceededBy(next) {
		s.logIgnored(change, last.sequence, true)
		return
	}
	isSameProcess := known != nil && known.StartUnixMilli == next.StartUnixMilli && next.StartUnixMilli != 0
	if isSameProcess && !next.SoftwareVersion.IsKnown() {
		// Instances of an earlier release relay registrations without the version.
		next = next.WithSoftwareVersion(known.SoftwareVersion)
	}
	delete(s.departed, next.ID)
	s.positions[next.ID] = change.Position
	delete(s.pendingRemovals, next.ID)
	s.upstreams[next.ID] = next
	if known == nil || known.StartUnixMilli != next.StartUnixMilli || known.IsDraining != next.IsDraining {
		s.logger.Info().Str("upstream", next.ID).Str("service", next.Service).Str("address", next.Address).
			Int64("born", next.StartUnixMilli).Bool("leaving", next.IsDraining).Int64("era", change.Position.Era()).Int64("offset", change.Position.Offset()).
			Int64("sequence", next.Sequence).Str("origin", origin).Msg("upstream announced")
	}
}

// logIgnored logs a registration that is older than the known one if it would have
// changed which upstreams get requests.
func (s *state) logIgnored(change *Change, knownSequence int64, isRelevant bool) {
	if !isRelevant {
		return
	}
	s.logger.Info().Str("upstream", change.Upstream.ID).Int64("era", change.Position.Era()).Int64("offset", change.Position.Offset()).Int64("sequence", change.Upstream.Sequence).
		Int64("known_sequence", knownSequence).Bool("leaving", change.Upstream.IsDraining).Msg("older registration ignored")
}

// deregister removes an upstream, at once or at the end of the grace period after
// an outage of the feed.
func (s *state) deregister(id string, at time.Time) {
	if _, known := s.upstreams[id]; !known {
		return
	}
	if at.Before(s.graceEndsAt[Upstreams]) {
		if _, isPending := s.pendingRemovals[id]; !isPending {
			wait := min(s.graceEndsAt[Upstreams].Sub(at), maxRemovalDelay)
			s.pendingRemovals[id] = at.Add(wait)
			s.logger.Info().Str("upstream", id).Dur("wait", wait).Msg("removal of upstream deferred")
		}
		return
	}
	s.remove(id)
}

func (s *state) remove(id string) {
	known := s.upstreams[id]
	s.departed.add(id, known.StartUnixMilli, known.Sequence, s.respondedAt[Upstreams])
	delete(s.upstreams, id)
	delete(s.pendingRemovals, id)
	s.changed = true
	s.logger.Info().Str("upstream", id).Msg("upstream gone")
}

// applyDeferred removes upstreams that have not registered again after an outage, and puts
// zones back into service that a restored feed still does not list.
func (s *state) applyDeferred(now time.Time) {
	for zone, pending := range s.pendingRestores {
		if !now.Before(pending.at) {
			delete(s.pendingRestores, zone)
			s.restoreZone(zone, pending.position, now)
		}
	}
	for id, until := range s.pendingRemovals {
		if !now.Before(until) {
			s.remove(id)
		}
	}
}

// untilNextDeferred returns the time until the next deferred change takes effect.
func (s *state) untilNextDeferred(now time.Time) time.Duration {
	next := idleCheckInterval
	for _, pending := range s.pendingRestores {
		next = min(next, pending.at.Sub(now))
	}
	for _, until := range s.pendingRemovals {
		next = min(next, until.Sub(now))
	}
	return next
}

// nextView returns a new view if the state has changed, or nil.
func (s *state) nextView() *View {
	if !s.changed {
		return nil
	}
	s.changed = false
	zonesOutOfService := make(map[string]bool, len(s.zonesOutOfService))
	for zone := range s.zonesOutOfService {
		zonesOutOfService[zone] = true
	}
	return &View{
		Catalog:           s.catalog,
		Upstreams:         maps.Clone(s.upstreams),
		ZonesOutOfService: zonesOutOfService,
		ZonesRestoredAt:   maps.Clone(s.zonesRestoredAt),
		OperatorsReadAt:   s.respondedAt[Operators],
		UpstreamsReadAt:   s.respondedAt[Upstreams],
	}
}
