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

// site is the newest view with what placements add.
type site struct {
	view      *observer.View
	upstreams map[string]*catalog.Upstream
}

// siteKeeper joins views and placements and tells the selector.
type siteKeeper struct {
	selector *selector.Selector
	merger   *merger.Merger
	now      func() time.Time
	changed  func()

	mu      sync.Mutex
	current atomic.Pointer[site]
}

func newSiteKeeper(s *selector.Selector, now func() time.Time) *siteKeeper {
	k := &siteKeeper{selector: s, merger: merger.New(), now: now}
	k.current.Store(&site{view: &observer.View{}})
	return k
}

// setView takes a new view.
func (k *siteKeeper) setView(view *observer.View) { k.update(view) }

// place takes placements.
func (k *siteKeeper) place(placements ...gossiper.Placement) {
	taken := false
	for _, p := range placements {
		taken = k.merger.SetPlacement(merger.Placement(p), k.now()) || taken
	}
	if taken {
		k.update(nil)
	}
}

// update rebuilds the site from a view, or from the last one.
func (k *siteKeeper) update(view *observer.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if view == nil {
		view = k.current.Load().view
	}
	next := &site{view: view, upstreams: k.merger.Merge(view.Upstreams, k.now())}
	k.current.Store(next)
	k.selector.SetTopology(selector.Topology{
		Catalog:           view.Catalog,
		Upstreams:         next.upstreams,
		ZonesOutOfService: view.ZonesOutOfService,
		ZonesRestoredAt:   view.ZonesRestoredAt,
	})
	k.changed()
}

func (k *siteKeeper) catalog() *catalog.Catalog { return k.current.Load().view.Catalog }

// siteChanged takes a new table's limits and looks at waiting calls.
func (i *Instance) siteChanged() {
	if table := i.sites.catalog(); table != nil && table.Version() != i.limitsVersion {
		i.limitsVersion = table.Version()
		i.allotter.SetLimits(table.Workspaces(), time.Now())
	}
	i.proxy.Wake()
}

// announced returns the site as upstreams have announced it, for the planner,
// which knows its own orders.
func (k *siteKeeper) announced() planner.Site {
	view := k.current.Load().view
	return planner.Site{Catalog: view.Catalog, Upstreams: view.Upstreams, ZonesOutOfService: view.ZonesOutOfService}
}
