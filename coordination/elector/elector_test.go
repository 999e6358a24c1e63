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
	ttl           = 80 * time.Millisecond
	takeoverDelay = 120 * time.Millisecond
)

// fakeGroup is a group that names one member the leader.
type fakeGroup struct {
	mu            sync.Mutex
	leader        int
	token         int64
	joinedAt      map[int]time.Time
	isUnreachable bool
	responseDelay time.Duration
}

// member implements elector.Group for one instance.
type member struct {
	*fakeGroup
	number int
}

var errUnreachable = errors.New("group unreachable")

func (m member) Join(ctx context.Context, _ time.Duration) (bool, error) {
	m.mu.Lock()
	isUnreachable, delay := m.isUnreachable, m.responseDelay
	m.joinedAt[m.number] = time.Now()
	isLeader := m.leader == m.number
	m.mu.Unlock()
	if isUnreachable {
		<-ctx.Done()
		return false, errUnreachable
	}
	time.Sleep(delay)
	return isLeader, nil
}

func (m member) Leave(context.Context) error { return nil }

func (m member) NextFencingToken(context.Context) (elector.Token, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.token++
	return elector.Token{Number: m.token, IsFirst: m.token == 1}, nil
}

func newFakeGroup() *fakeGroup { return &fakeGroup{joinedAt: make(map[int]time.Time)} }

func (g *fakeGroup) setLeader(number int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = number
}

func (g *fakeGroup) setUnreachable(isUnreachable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isUnreachable = isUnreachable
}

func clock() time.Duration { return time.Duration(time.Now().UnixNano()) }

func start(group *fakeGroup, number int, isFirst bool) *elector.Elector {
	e := elector.New(elector.Config{
		Group: member{group, number}, TTL: ttl, TakeoverDelay: takeoverDelay, IsFirstStart: isFirst,
		IsCandidate: func() bool { return true },
		Clock:       clock, Logger: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = e.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		<-e.Done()
	})
	return e
}

func maySendOrders(e *elector.Elector) bool {
	_, may := e.FencingToken()
	return may
}

var _ = Describe("Elector", func() {
	It("lets no instance send orders that the group does not name as leader", func() {
		group := newFakeGroup()
		e := start(group, 1, false)
		Consistently(func() bool { return maySendOrders(e) }, "300ms").Should(BeFalse())
	})

	It("lets the first leader of a new site send orders without a takeover delay", func() {
		group := newFakeGroup()
		group.setLeader(1)
		began := time.Now()
		e := start(group, 1, true)
		Eventually(func() bool { return maySendOrders(e) }, "2s", "1ms").Should(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
	})

	It("waits for the takeover delay before the first order of a new leader", func() {
		group := newFakeGroup()
		group.setLeader(1)
		began := time.Now()
		e := start(group, 1, false)
		Eventually(e.LeaderToken, "1s", "1ms").Should(BeNumerically(">", 0))
		Eventually(func() bool { return maySendOrders(e) }, "1s", "1ms").Should(BeTrue())
		Expect(time.Since(began)).To(BeNumerically(">=", takeoverDelay))
	})

	It("stops sending orders when the group is unreachable, before the group can name another leader", func() {
		group := newFakeGroup()
		group.setLeader(1)
		e := start(group, 1, false)
		Eventually(func() bool { return maySendOrders(e) }, "1s", "1ms").Should(BeTrue())
		group.setUnreachable(true)
		Eventually(func() bool { return maySendOrders(e) }, ttl, "1ms").Should(BeFalse())
		group.mu.Lock()
		lastJoin := group.joinedAt[1]
		group.mu.Unlock()
		Expect(lastJoin).NotTo(BeZero())
	})

	It("gets a greater fencing token for each term", func() {
		group := newFakeGroup()
		group.setLeader(1)
		e := start(group, 1, false)
		Eventually(func() bool { return maySendOrders(e) }, "1s", "1ms").Should(BeTrue())
		first, _ := e.FencingToken()
		group.setLeader(2)
		Eventually(e.LeaderToken, "1s", "1ms").Should(BeZero())
		group.setLeader(1)
		Eventually(func() bool { return maySendOrders(e) }, "1s", "1ms").Should(BeTrue())
		second, _ := e.FencingToken()
		Expect(second).To(BeNumerically(">", first))
	})

	It("keeps the takeover delay between the orders of two leaders while leadership moves at random", func() {
		group := newFakeGroup()
		electors := []*elector.Elector{start(group, 0, false), start(group, 1, false), start(group, 2, false)}
		group.setLeader(0)
		var lastAt time.Time
		last := -1
		random := rand.New(rand.NewPCG(7, 7))
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if random.IntN(400) == 0 {
				group.setLeader(random.IntN(len(electors)))
			}
			if random.IntN(300) == 0 {
				group.setUnreachable(random.IntN(3) == 0)
			}
			for i, e := range electors {
				if !maySendOrders(e) {
					continue
				}
				if last >= 0 && last != i {
					Expect(time.Since(lastAt)).To(BeNumerically(">=", takeoverDelay), fmt.Sprint(last, " then ", i))
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
