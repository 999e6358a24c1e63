package hosted

import (
	"testing"
	"time"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/coordination/observer"
	"github.com/crocushollow/crocushollow/state/selector"
	"github.com/crocushollow/crocushollow/state/throttler"
)

// An instance that is ready with a table but without upstreams refuses every call,
// for as long as the store is unavailable.
func TestSiteIsCompleteOnceTableAndUpstreamsAreRead(t *testing.T) {
	table, err := catalog.New(catalog.Config{Version: 1})
	if err != nil {
		t.Fatal(err)
	}
	readAt := time.Unix(1000, 0)
	for _, c := range []struct {
		name     string
		view     observer.View
		complete bool
	}{
		{"nothing", observer.View{}, false},
		{"table only", observer.View{Catalog: table, OperatorsReadAt: readAt}, false},
		{"upstreams only", observer.View{UpstreamsReadAt: readAt}, false},
		{"both", observer.View{Catalog: table, OperatorsReadAt: readAt, UpstreamsReadAt: readAt}, true},
	} {
		choices := selector.New(selector.Config{OnLoadChange: func() {}, OnHealthChange: func(selector.HealthChange) {}, RateLimit: func(*catalog.Upstream) throttler.Limit { return throttler.Limit{} }})
		site := newSiteTracker(choices, time.Now)
		site.onChange = func() {}
		site.setView(&c.view)
		if site.isComplete() != c.complete {
			t.Errorf("%s: complete is %v", c.name, site.isComplete())
		}
	}
}
