package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/protocol/proxy"
)

// repeatingSender is an upstream that repeats an event in its first response, and continues
// the stream in the next ones.
type repeatingSender struct{ first []int }

func (s *repeatingSender) Send(_ context.Context, attempt proxy.Attempt) (*proxy.Response, error) {
	ids := s.first
	if attempt.LastEventID != "" {
		last, _ := strconv.Atoi(attempt.LastEventID)
		ids = []int{1, 2, 3, 4, 5}[last:]
	}
	var body strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&body, "id: %d\ndata: x\n\n", id)
	}
	return &proxy.Response{
		Status: http.StatusOK, Header: http.Header{}, Verified: true, Body: io.NopCloser(strings.NewReader(body.String())),
	}, nil
}

var _ = Describe("Streams with an event that comes twice", func() {
	// Guards against events that count as sent because they arrived together with one that is
	// out of order, and are missing from the stream.
	It("keep the events before it when another upstream continues them", func() {
		p := startProxy(&repeatingSender{first: []int{1, 2, 3, 3, 4, 5}})
		for n := range 10 {
			serve(p, fmt.Sprint("/stream/", n), "")
		}
		writer := serve(p, "/stream/resumable/a", "")
		Expect(writer.aborted).To(BeFalse())
		Expect(writer.body.String()).To(Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\nid: 5\ndata: x\n\n"))
	})
})
