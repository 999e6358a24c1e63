package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/state/scheduler"
)

func TestScheduler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scheduler")
}

var now = time.Unix(1000, 0)

func item(workspace string, weight int64, tokens float64) scheduler.Item {
	return scheduler.Item{Workspace: workspace, Weight: weight, Tokens: tokens, EnqueuedAt: now}
}

func serve(queue scheduler.Queue[string], at time.Time) string {
	var served string
	queue.Next(at, func(_ scheduler.Item, value string) bool { served = value; return true })
	return served
}

var _ = Describe("FairQueue", func() {
	It("shares tokens in proportion to weights, however many requests a workspace sends", func() {
		queue := scheduler.NewFairQueue[string](1000)
		for range 100 {
			queue.Push(item("flood", 1, 100), "flood")
		}
		for range 20 {
			queue.Push(item("heavy", 2, 100), "heavy")
		}
		counts := make(map[string]int)
		for range 30 {
			counts[serve(queue, now)]++
		}
		Expect(counts["heavy"]).To(BeNumerically("~", 20, 1))
	})

	It("serves interactive requests first and does not starve batch requests", func() {
		queue := scheduler.NewFairQueue[string](1000)
		batch := item("a", 1, 1)
		batch.Class = scheduler.Batch
		queue.Push(batch, "batch")
		queue.Push(item("a", 1, 1), "interactive")
		queue.Push(item("a", 1, 1), "interactive")
		Expect(serve(queue, now)).To(Equal("interactive"))
		Expect(serve(queue, now.Add(time.Minute))).To(Equal("batch"))
	})

	It("leaves room for other workspaces when one floods the queue", func() {
		queue := scheduler.NewFairQueue[string](10)
		for range 20 {
			queue.Push(item("flood", 1, 1), "flood")
		}
		Expect(queue.Push(item("other", 1, 1), "other")).To(BeTrue())
	})

	It("skips a request that cannot be served now", func() {
		queue := scheduler.NewFairQueue[string](10)
		queue.Push(item("a", 1, 1), "stuck")
		queue.Push(item("b", 1, 2), "ready")
		served := queue.Next(now, func(_ scheduler.Item, value string) bool { return value == "ready" })
		Expect(served).To(BeTrue())
		Expect(queue.Len()).To(Equal(1))
	})
})
