package merger_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/merger"
)

func TestMerger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "merger")
}

var _ = Describe("Merger", func() {
	now := time.Unix(1000, 0)
	registered := map[string]*catalog.Upstream{"e1": {ID: "e1", StartUnixMilli: 5, LoadedModels: []catalog.LoadedModel{{Model: "old"}}}}
	placement := merger.Placement{Upstream: "e1", StartUnixMilli: 5, AcceptedOrders: 2, LoadedModels: []catalog.LoadedModel{{Model: "new"}}}

	It("prefers a placement until registrations must include it", func() {
		m := merger.New()
		Expect(m.SetPlacement(placement, now)).To(BeTrue())
		Expect(m.Merge(registered, now)["e1"].Serves("new", "")).To(BeTrue())
		Expect(m.Merge(registered, now.Add(3*time.Second))["e1"].Serves("old", "")).To(BeTrue())
		Expect(registered["e1"].Serves("old", "")).To(BeTrue())
	})

	It("ignores placements from before a restart and older placements", func() {
		m := merger.New()
		beforeRestart := placement
		beforeRestart.StartUnixMilli = 4
		m.SetPlacement(beforeRestart, now)
		Expect(m.Merge(registered, now)["e1"].Serves("old", "")).To(BeTrue())
		m.SetPlacement(placement, now)
		older := placement
		older.AcceptedOrders = 1
		Expect(m.SetPlacement(older, now)).To(BeFalse())
	})
})
