package limiter_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/limiter"
)

func TestLimiter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limiter")
}

var (
	start = time.Unix(1000, 0)
	limit = limiter.RateLimit{PerSecond: 100, Burst: 200}
)

func full(units int64) *limiter.Bucket {
	bucket := limiter.NewBucket(limit, start)
	bucket.Credit(limiter.Transfer{Units: units, Level: limit.Burst}, start)
	return bucket
}

var _ = Describe("Bucket", func() {
	It("refills at its share of the rate up to its share of the burst", func() {
		bucket := full(limiter.UnitsPerBucket / 2)
		Expect(bucket.Level(start)).To(Equal(100.0))
		Expect(bucket.Take(100, start)).To(BeTrue())
		Expect(bucket.Take(1, start)).To(BeFalse())
		Expect(bucket.Level(start.Add(time.Second))).To(BeNumerically("~", 50))
		Expect(bucket.Level(start.Add(time.Hour))).To(BeNumerically("~", 100))
	})

	It("preserves the sum of levels when units move", func() {
		sender, receiver := full(limiter.UnitsPerBucket), limiter.NewBucket(limit, start)
		transfer := sender.Debit(limiter.UnitsPerBucket/4, start)
		receiver.Credit(transfer, start)
		Expect(sender.Level(start) + receiver.Level(start)).To(BeNumerically("~", limit.Burst))
		Expect(sender.Units() + receiver.Units()).To(Equal(limiter.UnitsPerBucket))
	})

	It("goes into debt for tokens used beyond the charge and pays it back", func() {
		bucket := full(limiter.UnitsPerBucket)
		Expect(bucket.Take(200, start)).To(BeTrue())
		bucket.Settle(200, 250, start)
		Expect(bucket.Take(1, start)).To(BeFalse())
		Expect(bucket.Take(50, start.Add(time.Second))).To(BeTrue())
	})
})

var _ = Describe("Semaphore", func() {
	It("transfers only permits that are not in use", func() {
		semaphore := limiter.NewSemaphore()
		semaphore.Credit(limiter.Transfer{Units: 3}, start)
		Expect(semaphore.Acquire()).To(BeTrue())
		Expect(semaphore.Debit(3, start).Units).To(Equal(int64(2)))
		Expect(semaphore.Acquire()).To(BeFalse())
		semaphore.Release()
		Expect(semaphore.Acquire()).To(BeTrue())
	})
})

var _ = Describe("Pool", func() {
	one, two := crocushollow.MemberID{Instance: "one", Incarnation: 1}, crocushollow.MemberID{Instance: "two", Incarnation: 2}

	It("divides units by demand", func() {
		pool := limiter.NewPool(limiter.Resource{Total: 10}, 0, start)
		granted, _ := pool.Allocate(one, limiter.DemandReport{Demand: 6, Shortfall: 8}, start)
		Expect(granted.Units).To(Equal(int64(8)))
		granted, _ = pool.Allocate(two, limiter.DemandReport{Demand: 8, Shortfall: 8}, start)
		Expect(granted.Units).To(Equal(int64(2)))
		_, keep := pool.Allocate(one, limiter.DemandReport{Demand: 6}, start)
		Expect(keep).To(BeNumerically("<", 8))
	})

	It("grants nothing before all units are accounted for", func() {
		pool := limiter.NewRecoveringPool(limiter.Resource{Total: 10}, start)
		pool.Register(one, 4, start)
		granted, _ := pool.Allocate(two, limiter.DemandReport{Shortfall: 1}, start)
		Expect(granted.Units).To(BeZero())
		pool.FinishRecovery(start)
		Expect(pool.Free()).To(Equal(int64(6)))
	})

	It("divides units evenly in the baseline, whatever the demand", func() {
		pool := limiter.NewPool(limiter.Resource{Total: 8, EvenShares: 4}, 0, start)
		granted, keep := pool.Allocate(one, limiter.DemandReport{Demand: 8, Shortfall: 8}, start)
		Expect(granted.Units).To(Equal(int64(2)))
		Expect(keep).To(Equal(int64(2)))
	})
})

// BenchmarkTake measures the charge for one request, including the lookup of the
// bucket.
func BenchmarkTake(b *testing.B) {
	registry := limiter.NewRegistry()
	key := limiter.ResourceKey{Kind: limiter.TokenRate, ID: "w"}
	huge := limiter.RateLimit{PerSecond: 1e12, Burst: 1e12}
	registry.Bucket(key, huge, start).Credit(limiter.Transfer{Units: limiter.UnitsPerBucket, Level: 1e12}, start)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if !registry.Bucket(key, huge, start).Take(1, start) {
			b.Fatal("refused")
		}
	}
}
