package budgeter_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocushollow/crocushollow/state/budgeter"
)

func TestBudgeter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "budgeter")
}

func newBudgeter(instances int) *budgeter.Budgeter {
	return budgeter.New(budgeter.Config{
		RetryRatio: 0.2, ExtraRetries: 56, Window: 10 * time.Second, Instances: func() int { return instances },
		StartTime: time.Unix(1000, 0),
	})
}

var _ = Describe("Budgeter", func() {
	It("limits a retry storm to the budget", func() {
		b := newBudgeter(8)
		now := time.Unix(1000, 0)
		retries := 0
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			b.RecordRequest("desk", now)
			if b.TryRetry("desk", now) {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("<=", 200+7))
		Expect(retries).To(BeNumerically(">=", 150))
	})

	It("counts the budget of each service separately", func() {
		b := newBudgeter(56)
		now := time.Unix(1000, 0)
		for range 100 {
			b.RecordRequest("desk", now)
		}
		Expect(b.TryRetry("writer", now)).To(BeFalse())
		Expect(b.TryRetry("desk", now)).To(BeTrue())
	})
})

// TestFleetBound checks that the retries of all instances together stay within the
// budget in every window, with requests and retries at random instances.
func TestFleetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		instances := rapid.IntRange(1, 8).Draw(t, "instances")
		fleet := make([]*budgeter.Budgeter, instances)
		for i := range fleet {
			fleet[i] = newBudgeter(instances)
		}
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "pause")) * time.Millisecond)
			b := fleet[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			b.RecordRequest("desk", now)
			requests = append(requests, now)
			for range 2 {
				if b.TryRetry("desk", now) {
					retries = append(retries, now)
				}
			}
		}
		for i := range retries {
			retriesInWindow, eligible := 0, 0
			for j := i; j < len(retries) && retries[j].Sub(retries[i]) <= window; j++ {
				retriesInWindow++
			}
			// Requests of this window and of the window before it count.
			for _, at := range requests {
				if d := at.Sub(retries[i]); d >= -window && d <= window {
					eligible++
				}
			}
			if float64(retriesInWindow) > 0.2*float64(eligible)+56 {
				t.Fatalf("%d retries for %d requests", retriesInWindow, eligible)
			}
		}
	})
}
