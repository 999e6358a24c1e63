package proxy_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/protocol/proxy"
)

// lastRecord keeps the record of the last call.
type lastRecord struct {
	discardObserver
	proxy.CallRecord
}

func (l *lastRecord) CallEnded(record proxy.CallRecord) { l.CallRecord = record }

var _ = Describe("The record of a call whose request is canceled", func() {
	// Guards against logs that blame the callers for streams that a shutdown has cut.
	DescribeTable("tells the end of a shutdown from a caller that left",
		func(shutdownEndsIn time.Duration, end string) {
			record := &lastRecord{}
			endsAt := time.Now().Add(shutdownEndsIn)
			stopsAt := time.Now().Add(200 * time.Millisecond)
			p := startProxy(&faultySender{}, func(config *proxy.Config) {
				config.Observer = record
				config.Shutdown = func() proxy.Shutdown {
					if time.Now().Before(stopsAt) {
						return proxy.Shutdown{}
					}
					return proxy.Shutdown{EndsAt: endsAt}
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), time.Until(stopsAt)+300*time.Millisecond)
			defer cancel()
			writer := &recordingWriter{}
			p.Serve(ctx, &proxy.Call{
				ID: "canceled", Host: "h", Path: "/stream/short/a", Target: "/stream/short/a",
				Header: http.Header{"Fault": {"slow"}}, ArrivedAt: time.Now(),
			}, writer)
			Expect(record.End()).To(Equal(end))
			Expect(writer.aborted).To(BeTrue())
		},
		Entry("at its end", 400*time.Millisecond, "cut_by_shutdown"),
		Entry("before its end", 5*time.Second, "caller_left"),
	)
})
