package hosted

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/coordination/gossiper"
	"github.com/crocushollow/crocushollow/coordination/observer"
	"github.com/crocushollow/crocushollow/coordination/planner"
	"github.com/crocushollow/crocushollow/state/merger"
	"github.com/crocushollow/crocushollow/state/selector"
)

// siteSnapshot is an observed view, with its upstreams merged with placements.
type siteSnapshot struct {
	view      *observer.View
	upstreams map[string]*catalog.Upstream
}

// siteTracker merges observed views with placements and updates the selector's
// topology.
type siteTracker struct {
	selector *selector.Selector
	merger   *merger.Merger
	now      func() time.Time
	onChange func()

	mu      sync.Mutex
	current atomic.Pointer[siteSnapshot]
}

func newSiteTracker(s *selector.Selector, now func() time.Time) *siteTracker {
	t := &siteTracker{selector: s, merger: merger.New(), now: now}
	t.current.Store(&siteSnapshot{view: &observer.View{}})
	return t
}

// setView replaces the observed view.
func (t *siteTracker) setView(view *observer.View) { t.rebuild(view) }

// addPlacements merges placements into the current view.
func (t *siteTracker) addPlacements(placements ...gossiper.Placement) {
	stored := false
	for _, p := range placements {
		stored = t.merger.SetPlacement(merger.Placement(p), t.now()) || stored
	}
	if stored {
		t.rebuild(nil)
	}
}

// rebuild builds the snapshot from a view, or from the current view if it is nil.
func (t *siteTracker) rebuild(view *observer.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if view == nil {
		view = t.current.Load().view
	}
	next := &siteSnapshot{view: view, upstreams: t.merger.Merge(view.Upstreams, t.now())}
	t.current.Store(next)
	t.selector.SetTopology(selector.Topology{
		Catalog:           view.Catalog,
		Upstreams:         next.upstreams,
		ZonesOutOfService: view.ZonesOutOfService,
		ZonesRestoredAt:   view.ZonesRestoredAt,
	})
	t.onChange()
}

func (t *siteTracker) catalog() *catalog.Catalog { return t.current.Load().view.Catalog }

// isComplete reports whether the table and the registrations of upstreams have been
// read.
func (t *siteTracker) isComplete() bool {
	view := t.current.Load().view
	return view.Catalog != nil && !view.UpstreamsReadAt.IsZero()
}

// maxRegistrationsAge is the time since the last response of the upstreams' feed above which the
// registrations are out of date. It is longer than one slow call.
const maxRegistrationsAge = 1500 * time.Millisecond

// areRegistrationsCurrent reports whether the upstreams' feed has responded recently.
func (t *siteTracker) areRegistrationsCurrent() bool {
	return t.now().Sub(t.current.Load().view.UpstreamsReadAt) <= maxRegistrationsAge
}

// handleSiteChange applies the limits of a new table and rechecks the waiting
// calls.
func (i *Instance) handleSiteChange() {
	if table := i.site.catalog(); table != nil && table.Version() != i.limitsTableVersion {
		i.limitsTableVersion = table.Version()
		i.allotter.SetLimits(table.Workspaces(), time.Now())
	}
	i.registrar.Notify()
	i.proxy.Wake()
}

// registeredSite returns the site with the upstreams as registered, without
// placements. The planner tracks the effects of its own orders itself.
func (t *siteTracker) registeredSite() planner.Site {
	view := t.current.Load().view
	return planner.Site{Catalog: view.Catalog, Upstreams: view.Upstreams, ZonesOutOfService: view.ZonesOutOfService}
}
