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
		func(cause error, end proxy.ResponseEnd) {
			record := &lastRecord{}
			p := startProxy(&faultySender{}, func(config *proxy.Config) { config.Observer = record })
			ctx, cancel := context.WithCancelCause(context.Background())
			time.AfterFunc(500*time.Millisecond, func() { cancel(cause) })
			writer := &recordingWriter{}
			p.Serve(ctx, &proxy.Call{
				ID: "canceled", Host: "h", Path: "/stream/short/a", Target: "/stream/short/a",
				Header: http.Header{"Fault": {"slow"}}, ArrivedAt: time.Now(),
			}, writer)
			Expect(record.End).To(Equal(end))
			Expect(writer.aborted).To(BeTrue())
		},
		Entry("by the end of the shutdown", proxy.ErrStopped, proxy.CutByShutdown),
		Entry("by its caller", context.Canceled, proxy.CallerLeft),
	)
})
