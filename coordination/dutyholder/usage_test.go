package dutyholder_test

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/crocushollow/crocushollow/coordination/dutyholder"
	"github.com/crocushollow/crocushollow/state/tallier"
)

func TestDutyholder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dutyholder")
}

const (
	windowLength = 5 * time.Second
	lateness     = 10 * time.Second
)

var errLost = errors.New("no answer")

// surroundings are the store and the platform of several holders. Both may execute calls
// that got no answer later.
type surroundings struct {
	now time.Time
	// fate draws what happens to a call: "done", "unanswered", "later" or "lost".
	fate    func() string
	delayed []func()

	seals    map[int64]dutyholder.Seal
	offset   int64
	fence    int64
	accepted map[int64]map[string]int64
	// broken is the first window for which two reports were accepted.
	broken  int64
	reports int
}

func newSurroundings() *surroundings {
	return &surroundings{
		now: time.Unix(1_000_000, 0), fate: func() string { return "done" }, broken: -1,
		seals: make(map[int64]dutyholder.Seal), accepted: make(map[int64]map[string]int64),
	}
}

// carryOut executes a call as fate has it.
func (s *surroundings) carryOut(call func() error) error {
	switch s.fate() {
	case "done":
		return call()
	case "unanswered":
		_ = call()
	case "later":
		s.delayed = append(s.delayed, func() { _ = call() })
	}
	return errLost
}

// Read implements dutyholder.UsageLedger.
func (s *surroundings) Read(context.Context) ([]dutyholder.Seal, int64, error) {
	if s.fate() != "done" {
		return nil, 0, errLost
	}
	var seals []dutyholder.Seal
	for _, seal := range s.seals {
		seals = append(seals, seal)
	}
	return seals, s.offset, nil
}

// Add implements dutyholder.UsageLedger.
func (s *surroundings) Add(_ context.Context, seal dutyholder.Seal, mark int64) (int64, error) {
	return mark + 1, s.carryOut(func() error {
		if mark != s.offset {
			return errors.New("conflict")
		}
		s.seals[seal.Window%dutyholder.SealedWindows] = seal
		s.offset++
		return nil
	})
}

// ReportUsage implements dutyholder.UsageClient.
func (s *surroundings) ReportUsage(_ context.Context, token int64, seal dutyholder.Seal) error {
	counts := maps.Clone(seal.Counts)
	return s.carryOut(func() error {
		if token < s.fence {
			return dutyholder.ErrFenced
		}
		s.fence = token
		s.reports++
		if earlier, known := s.accepted[seal.Window]; known && !maps.Equal(earlier, counts) {
			s.broken = seal.Window
		}
		s.accepted[seal.Window] = counts
		return nil
	})
}

// leadership implements dutyholder.Leadership.
type leadership struct {
	token int64
	holds bool
}

func (l *leadership) FencingToken() (int64, bool) { return l.token, l.holds }

// candidate is an instance that may hold the duty.
type candidate struct {
	leadership leadership
	tallier    *tallier.Tallier
	holder     *dutyholder.UsageHolder
	settled    int64
}

func newCandidate(s *surroundings, name string) *candidate {
	c := &candidate{tallier: tallier.New(tallier.Config{
		Self: tallier.Source{Instance: name, Incarnation: 1}, Window: windowLength, StartTime: s.now,
	})}
	c.holder = dutyholder.NewUsageHolder(dutyholder.UsageConfig{
		Leadership: &c.leadership, Ledger: s, Client: s, Tallier: c.tallier, Lateness: lateness, CallsPerSecond: 50,
		OnSettled: func(window int64) { c.settled = window }, OnCall: func(string, string) {},
		Logger: zerolog.Nop(), Now: func() time.Time { return s.now },
	})
	return c
}

var _ = Describe("UsageHolder", func() {
	// Guards against two different reports for one window, when holders change at any moment
	// or believe to hold the duty together, know different counts, and the calls of each are
	// lost, or executed after those of the next one.
	It("never has two different reports accepted for one window, and reports each in the end", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := newSurroundings()
			s.fate = func() string {
				return rapid.SampledFrom([]string{"done", "done", "done", "unanswered", "later", "lost"}).Draw(t, "fate")
			}
			var candidates []*candidate
			for n := range 3 {
				candidates = append(candidates, newCandidate(s, strconv.Itoa(n)))
			}
			first := candidates[0].tallier.WindowAt(s.now)
			token := int64(0)
			for range rapid.IntRange(10, 80).Draw(t, "steps") {
				c := rapid.SampledFrom(candidates).Draw(t, "candidate")
				switch rapid.SampledFrom([]string{"step", "step", "step", "take", "lose", "late", "pass"}).Draw(t, "event") {
				case "step":
					c.tallier.Record("w", s.now)
					c.holder.Step(context.Background())
				case "take":
					token++
					c.leadership = leadership{token: token, holds: true}
				case "lose":
					c.leadership.holds = false
				case "late":
					if len(s.delayed) > 0 {
						n := rapid.IntRange(0, len(s.delayed)-1).Draw(t, "call")
						s.delayed[n]()
						s.delayed = append(s.delayed[:n], s.delayed[n+1:]...)
					}
				case "pass":
					s.now = s.now.Add(time.Duration(rapid.IntRange(100, 5000).Draw(t, "pause")) * time.Millisecond)
				}
			}
			s.fate = func() string { return "done" }
			for _, c := range candidates {
				c.leadership.holds = false
			}
			token++
			candidates[0].leadership = leadership{token: token, holds: true}
			last := candidates[0].tallier.WindowAt(s.now)
			for range 200 {
				s.now = s.now.Add(100 * time.Millisecond)
				candidates[0].holder.Step(context.Background())
			}
			for _, call := range s.delayed {
				call()
			}
			if s.broken >= 0 {
				t.Fatalf("two reports accepted for window %d", s.broken)
			}
			for window := max(first, last-2); window <= last; window++ {
				if _, reported := s.accepted[window]; !reported {
					t.Fatalf("window %d of %d to %d not reported", window, first, last)
				}
			}
		})
	})

	It("reports a window once, some time after its end", func() {
		s := newSurroundings()
		c := newCandidate(s, "a")
		c.leadership = leadership{token: 7, holds: true}
		window := c.tallier.WindowAt(s.now)
		c.tallier.Record("w", s.now)
		for range 65 {
			s.now = s.now.Add(100 * time.Millisecond)
			c.holder.Step(context.Background())
		}
		Expect(s.accepted).To(BeEmpty())
		for range 10 {
			s.now = s.now.Add(100 * time.Millisecond)
			c.holder.Step(context.Background())
		}
		Expect(s.accepted).To(HaveKeyWithValue(window, HaveKeyWithValue("w", int64(1))))
		Expect(s.reports).To(Equal(1))
		Expect(c.settled).To(Equal(window))
	})

	// Guards against a holder that keeps calling after another one has taken over.
	It("stops calling when the platform has seen a greater token, until its next term", func() {
		s := newSurroundings()
		c := newCandidate(s, "a")
		c.leadership = leadership{token: 7, holds: true}
		s.fence = 8
		calls := 0
		s.fate = func() string { calls++; return "done" }
		for range 100 {
			s.now = s.now.Add(100 * time.Millisecond)
			c.holder.Step(context.Background())
		}
		stopped := calls
		for range 100 {
			s.now = s.now.Add(100 * time.Millisecond)
			c.holder.Step(context.Background())
		}
		Expect(calls).To(Equal(stopped))
		Expect(s.accepted).To(BeEmpty())
		c.leadership.token = 9
		c.holder.Step(context.Background())
		Expect(s.accepted).NotTo(BeEmpty())
	})

	// Guards against another seal of a window that was reported, after the store has lost it.
	It("does not seal a window again that it knows as settled", func() {
		s := newSurroundings()
		a, b := newCandidate(s, "a"), newCandidate(s, "b")
		a.leadership = leadership{token: 1, holds: true}
		a.tallier.Record("w", s.now)
		for range 100 {
			s.now = s.now.Add(100 * time.Millisecond)
			a.holder.Step(context.Background())
		}
		Expect(s.accepted).NotTo(BeEmpty())
		b.tallier.Settle(a.settled)
		clear(s.seals)
		a.leadership.holds = false
		b.leadership = leadership{token: 2, holds: true}
		for range 100 {
			s.now = s.now.Add(100 * time.Millisecond)
			b.holder.Step(context.Background())
		}
		Expect(s.broken).To(Equal(int64(-1)))
		Expect(len(s.accepted)).To(BeNumerically(">", 1))
	})

	It("spaces its calls and repeats those that were refused as too many", func() {
		s := newSurroundings()
		c := newCandidate(s, "a")
		s.now = s.now.Add(10 * windowLength)
		c.leadership = leadership{token: 1, holds: true}
		refusals := 0
		s.fate = func() string {
			if len(s.seals) >= 9 && refusals < 3 {
				refusals++
				return "lost"
			}
			return "done"
		}
		c.holder.Step(context.Background())
		Expect(s.reports).To(BeNumerically("<=", 1))
		for range 40 {
			s.now = s.now.Add(100 * time.Millisecond)
			c.holder.Step(context.Background())
		}
		Expect(len(s.accepted)).To(BeNumerically(">=", 9))
		Expect(refusals).To(Equal(3))
	})
})
