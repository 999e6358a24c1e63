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
	It("lets a retry storm use no more than the budget", func() {
		b := newBudgeter(8)
		now := time.Unix(1000, 0)
		spent := 0
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			b.RecordRequest("desk", now)
			if b.TryRetry("desk", now) {
				spent++
			}
		}
		Expect(spent).To(BeNumerically("<=", 200+7))
		Expect(spent).To(BeNumerically(">=", 150))
	})

	It("keeps the budgets of services apart", func() {
		b := newBudgeter(56)
		now := time.Unix(1000, 0)
		for range 100 {
			b.RecordRequest("desk", now)
		}
		Expect(b.TryRetry("writer", now)).To(BeFalse())
		Expect(b.TryRetry("desk", now)).To(BeTrue())
	})
})

// TestFleetBound lets instances repeat at random and counts every window.
func TestFleetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		size := rapid.IntRange(1, 8).Draw(t, "instances")
		fleet := make([]*budgeter.Budgeter, size)
		for i := range fleet {
			fleet[i] = newBudgeter(size)
		}
		now := time.Unix(1000, 0)
		var requests, repeats []time.Time
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "pause")) * time.Millisecond)
			b := fleet[rapid.IntRange(0, size-1).Draw(t, "who")]
			b.RecordRequest("desk", now)
			requests = append(requests, now)
			for range 2 {
				if b.TryRetry("desk", now) {
					repeats = append(repeats, now)
				}
			}
		}
		for i := range repeats {
			inWindow, asked := 0, 0
			for j := i; j < len(repeats) && repeats[j].Sub(repeats[i]) <= window; j++ {
				inWindow++
			}
			// Requests count in this window and in the one before it.
			for _, at := range requests {
				if d := at.Sub(repeats[i]); d >= -window && d <= window {
					asked++
				}
			}
			if float64(inWindow) > 0.2*float64(asked)+56 {
				t.Fatalf("%d repeats for %d requests", inWindow, asked)
			}
		}
	})
}
