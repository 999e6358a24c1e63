package integration_test

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// startUsageFleet starts instances that report usage.
func startUsageFleet(count int) *hostedFleet {
	GinkgoHelper()
	f, err := platformtest.StartClusterWithDuties(count, zerolog.New(GinkgoWriter))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.Close)
	return &hostedFleet{f}
}

// reportedUsage returns the requests in all accepted reports.
func (f *hostedFleet) reportedUsage() int64 {
	total := int64(0)
	for _, counts := range f.Duties.Usage() {
		for _, count := range counts {
			total += count
		}
	}
	return total
}

// sendSome sends one request to each of some instances and returns how many were served.
func (f *hostedFleet) sendSome(instances []int) int64 {
	served := int64(0)
	for _, n := range instances {
		for _, request := range []platformtest.Request{stockRequest(), adviceRequest()} {
			if f.sendTo(n, request).Status == 200 {
				served++
			}
		}
	}
	return served
}

// usageTimeout is the time in which the last windows are reported by a new holder.
const usageTimeout = "20s"

var _ = Describe("Reports of usage by instances on the platform", func() {
	// Guards against usage that is missing or counted twice, and against two reports for one
	// window, while calls are lost, executed late or too many.
	It("have each request once while calls to the platform fail", func() {
		f := startUsageFleet(3)
		var calls atomic.Int64
		f.Duties.SetFault(func() platformtest.DutyFault {
			return []platformtest.DutyFault{
				platformtest.DutyLate, platformtest.NoDutyFault, platformtest.DutyThrottled, platformtest.DutyUnanswered,
			}[calls.Add(1)%4]
		})
		served := int64(0)
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			served += f.sendSome([]int{0, 1, 2})
		}
		Eventually(f.reportedUsage, usageTimeout, "100ms").Should(Equal(served))
		Consistently(f.reportedUsage, "4s", "200ms").Should(Equal(served))
		Expect(f.Duties.Conflicts()).To(BeZero())
	})

	// Guards against windows that nobody reports, or two holders differently, when the holder
	// is killed and its last calls are executed late.
	It("go on with another holder after the one is killed", func() {
		f := startUsageFleet(3)
		served := f.sendSome([]int{0, 1, 2})
		Eventually(f.Duties.Holder, usageTimeout, "50ms").ShouldNot(BeEmpty())
		holder := f.Duties.Holder()
		killed := slices.IndexFunc(f.Instances, func(i *platformtest.Instance) bool { return i.Settings.Instance.ID == holder })
		others := slices.DeleteFunc([]int{0, 1, 2}, func(n int) bool { return n == killed })
		f.Duties.SetFault(func() platformtest.DutyFault { return platformtest.DutyLate })
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			served += f.sendSome(others)
		}
		Expect(f.Instances[killed].Kill()).To(Succeed())
		f.Duties.SetFault(func() platformtest.DutyFault { return platformtest.NoDutyFault })
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			served += f.sendSome(others)
		}
		Eventually(f.reportedUsage, usageTimeout, "100ms").Should(Equal(served))
		Expect(f.Duties.Holder()).NotTo(Equal(holder))
		Expect(f.Duties.Conflicts()).To(BeZero())
		windows := f.Duties.Usage()
		numbers := slices.Sorted(maps.Keys(windows))
		Expect(numbers[len(numbers)-1] - numbers[0] + 1).To(Equal(int64(len(numbers))))
	})

	// Guards against the last requests of an instance that stops.
	It("have the last requests of an instance that shuts down", func() {
		f := startUsageFleet(2)
		Eventually(f.Duties.Holder, usageTimeout, "50ms").ShouldNot(BeEmpty())
		served := f.sendSome([]int{0, 1})
		stopping := f.Instances[1]
		stopping.Stop()
		time.Sleep(time.Second)
		served += f.sendSome([]int{1})
		Eventually(func() bool { return stopping.IsReady(context.Background()) }, "10s", "50ms").Should(BeFalse())
		Eventually(f.reportedUsage, usageTimeout, "100ms").Should(Equal(served))
	})
})
