package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDispatcher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatcher")
}

var _ = Describe("rateMeter", func() {
	start := time.Unix(1000, 0)

	It("reports no rate before a measurement starts", func() {
		var meter rateMeter
		meter.add(1, start)
		Expect(meter.perSecond(start.Add(time.Hour))).To(BeZero())
	})

	It("measures the rate while requests wait", func() {
		var meter rateMeter
		meter.start(start)
		now := start
		for range 200 {
			now = now.Add(10 * time.Millisecond)
			meter.add(5, now)
		}
		Expect(meter.perSecond(now)).To(BeNumerically("~", 500, 20))
		meter.stop()
		Expect(meter.perSecond(now)).To(BeZero())
	})
})
