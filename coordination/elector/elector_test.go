package elector_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/coordination/elector"
)

func TestElector(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "elector")
}

const (
	ttl  = 80 * time.Millisecond
	rest = 120 * time.Millisecond
)

// fakeGroup is a group that names one member the leader.
type authority struct {
	mu        sync.Mutex
	holder    int
	fence     int64
	joinedAt  map[int]time.Time
	isAway    bool
	answersIn time.Duration
}

// member implements elector.Group for one instance.
type member struct {
	*authority
	number int
}

var errAway = errors.New("group unreachable")

func (m member) Join(ctx context.Context, _ time.Duration) (bool, error) {
	m.mu.Lock()
	away, delay := m.isAway, m.answersIn
	m.joinedAt[m.number] = time.Now()
	isHolder := m.holder == m.number
	m.mu.Unlock()
	if away {
		<-ctx.Done()
		return false, errAway
	}
	time.Sleep(delay)
	return isHolder, nil
}

func (m member) Leave(context.Context) error { return nil }

func (m member) NextFencingToken(context.Context) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fence++
	return m.fence, nil
}

func newAuthority() *authority { return &authority{joinedAt: make(map[int]time.Time)} }

func (a *authority) give(number int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder = number
}

func (a *authority) setAway(away bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isAway = away
}

func clock() time.Duration { return time.Duration(time.Now().UnixNano()) }

func start(a *authority, number int, isFirst bool) *elector.Elector {
	k := elector.New(elector.Config{
		Group: member{a, number}, TTL: ttl, TakeoverDelay: rest, IsFirstStart: isFirst,
		IsCandidate: func() bool { return true },
		Clock:       clock, Logger: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = k.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		<-k.Done()
	})
	return k
}

func mayAct(k *elector.Elector) bool {
	_, may := k.FencingToken()
	return may
}

var _ = Describe("Elector", func() {
	It("lets no instance send orders that the group does not name as leader", func() {
		a := newAuthority()
		k := start(a, 1, false)
		Consistently(func() bool { return mayAct(k) }, "300ms").Should(BeFalse())
	})

	It("lets the first leader of a new site send orders without a takeover delay", func() {
		a := newAuthority()
		a.give(1)
		began := time.Now()
		k := start(a, 1, true)
		Eventually(func() bool { return mayAct(k) }, "2s", "1ms").Should(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
	})

	It("waits for the takeover delay before the first order of a new leader", func() {
		a := newAuthority()
		a.give(1)
		began := time.Now()
		k := start(a, 1, false)
		Eventually(k.LeaderToken, "1s", "1ms").Should(BeNumerically(">", 0))
		Eventually(func() bool { return mayAct(k) }, "1s", "1ms").Should(BeTrue())
		Expect(time.Since(began)).To(BeNumerically(">=", rest))
	})

	It("stops sending orders when the group is unreachable, before the group can name another leader", func() {
		a := newAuthority()
		a.give(1)
		k := start(a, 1, false)
		Eventually(func() bool { return mayAct(k) }, "1s", "1ms").Should(BeTrue())
		a.setAway(true)
		Eventually(func() bool { return mayAct(k) }, ttl, "1ms").Should(BeFalse())
		a.mu.Lock()
		lastJoin := a.joinedAt[1]
		a.mu.Unlock()
		Expect(lastJoin).NotTo(BeZero())
	})

	It("gets a greater fencing token for each term", func() {
		a := newAuthority()
		a.give(1)
		k := start(a, 1, false)
		Eventually(func() bool { return mayAct(k) }, "1s", "1ms").Should(BeTrue())
		first, _ := k.FencingToken()
		a.give(2)
		Eventually(k.LeaderToken, "1s", "1ms").Should(BeZero())
		a.give(1)
		Eventually(func() bool { return mayAct(k) }, "1s", "1ms").Should(BeTrue())
		second, _ := k.FencingToken()
		Expect(second).To(BeNumerically(">", first))
	})

	It("keeps the takeover delay between the orders of two leaders while leadership moves at random", func() {
		a := newAuthority()
		keepers := []*elector.Elector{start(a, 0, false), start(a, 1, false), start(a, 2, false)}
		a.give(0)
		var lastAt time.Time
		last := -1
		random := rand.New(rand.NewPCG(7, 7))
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if random.IntN(400) == 0 {
				a.give(random.IntN(len(keepers)))
			}
			if random.IntN(300) == 0 {
				a.setAway(random.IntN(3) == 0)
			}
			for i, k := range keepers {
				if !mayAct(k) {
					continue
				}
				if last >= 0 && last != i {
					Expect(time.Since(lastAt)).To(BeNumerically(">=", rest), fmt.Sprint(last, " then ", i))
				}
				last, lastAt = i, time.Now()
			}
		}
		Expect(last).To(BeNumerically(">=", 0))
	})
})

var _ = Describe("CampaignPolicy", func() {
	startedAt := time.Unix(1000, 0)
	after := func(milliseconds int) time.Time { return startedAt.Add(time.Duration(milliseconds) * time.Millisecond) }

	It("waits for the first heartbeats of its peers", func() {
		c := elector.NewCampaignPolicy(startedAt)
		Expect(c.ShouldCampaign(0, false, after(100))).To(BeFalse())
		Expect(c.ShouldCampaign(0, false, after(800))).To(BeTrue())
	})

	It("does not campaign while there is a leader, so that the group does not assign leadership again", func() {
		c := elector.NewCampaignPolicy(startedAt)
		Expect(c.ShouldCampaign(0, true, after(5000))).To(BeFalse())
	})

	It("lets one more instance at a time campaign while there is no leader", func() {
		c := elector.NewCampaignPolicy(startedAt)
		Expect(c.ShouldCampaign(2, false, after(5000))).To(BeFalse())
		Expect(c.ShouldCampaign(2, false, after(6900))).To(BeFalse())
		Expect(c.ShouldCampaign(2, false, after(7100))).To(BeTrue())
		Expect(c.ShouldCampaign(2, true, after(7200))).To(BeFalse())
		Expect(c.ShouldCampaign(2, false, after(7300))).To(BeFalse())
	})
})
