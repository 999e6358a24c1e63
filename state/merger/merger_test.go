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
	announced := map[string]*catalog.Upstream{"e1": {ID: "e1", StartUnixMilli: 5, LoadedModels: []catalog.LoadedModel{{Model: "old"}}}}
	placement := merger.Placement{Upstream: "e1", StartUnixMilli: 5, AcceptedOrders: 2, LoadedModels: []catalog.LoadedModel{{Model: "new"}}}

	It("prefers a placement until announcements must show it", func() {
		m := merger.New()
		Expect(m.Place(placement, now)).To(BeTrue())
		Expect(m.Merge(announced, now)["e1"].Serves("new", "")).To(BeTrue())
		Expect(m.Merge(announced, now.Add(3*time.Second))["e1"].Serves("old", "")).To(BeTrue())
		Expect(announced["e1"].Serves("old", "")).To(BeTrue())
	})

	It("ignores placements of an earlier life and older ones", func() {
		m := merger.New()
		other := placement
		other.StartUnixMilli = 4
		m.Place(other, now)
		Expect(m.Merge(announced, now)["e1"].Serves("old", "")).To(BeTrue())
		m.Place(placement, now)
		older := placement
		older.AcceptedOrders = 1
		Expect(m.Place(older, now)).To(BeFalse())
	})
})
