package relayer_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/protocol/relayer"
)

func TestRelayer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relayer")
}

type caller struct {
	bytes.Buffer
	flushes int
	err     error
}

func (c *caller) Write(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	return c.Buffer.Write(p)
}

// endless repeats a text without end.
type endless string

func (e endless) Read(p []byte) (int, error) {
	n := 0
	for n+len(e) <= len(p) {
		n += copy(p[n:], e)
	}
	return n, nil
}

func (c *caller) Flush() error { c.flushes++; return nil }

const (
	events = "data: {\"a\":1}\n\ndata: {\"a\":2}\n\n"
	usage  = "data: {\"usage\":{\"total_tokens\":9}}\n\n"
	done   = "data: [DONE]\n\n"
)

var _ = Describe("Relay", func() {
	var out *caller
	var progress relayer.Progress

	BeforeEach(func() { out, progress = &caller{}, relayer.Progress{} })

	It("forwards a whole stream, however it is split into reads", func() {
		text := events + ": keep-alive\n\n" + usage + done
		Expect(relayer.New().Run(iotest.OneByteReader(strings.NewReader(text)), out, &progress)).To(Succeed())
		Expect(out.String()).To(Equal(text))
		Expect(progress.Events).To(Equal(int64(3)))
		Expect(progress.Usage.TotalTokens).To(Equal(int64(9)))
		Expect(progress.Done).To(BeTrue())
	})

	It("sends only complete events of a truncated stream, so that it can be resumed", func() {
		relay := relayer.New()
		Expect(relay.Run(strings.NewReader(events+"data: {\"a\":3"), out, &progress)).To(MatchError(relayer.ErrTruncated))
		Expect(out.String()).To(Equal(events))
		Expect(relay.Run(strings.NewReader("data: {\"a\":3}\n\n"+done), out, &progress)).To(Succeed())
		Expect(out.String()).To(Equal(events + "data: {\"a\":3}\n\n" + done))
	})

	It("distinguishes failures of the caller from failures of the upstream", func() {
		out.err = errors.New("gone")
		var callerErr *relayer.CallerError
		Expect(errors.As(relayer.New().Run(strings.NewReader(events), out, &progress), &callerErr)).To(BeTrue())
	})

	// Guards against bytes that are no events and reach the caller without end.
	DescribeTable("gives up a stream without data events", func(text string) {
		upstream := io.LimitReader(endless(text), 16<<20)
		Expect(relayer.New().Run(upstream, &caller{}, &relayer.Progress{})).To(MatchError(relayer.ErrNoEvents))
	},
		Entry("comments", ": x\n\n"),
		Entry("blank lines", "\n\n"),
	)

	// Guards against a page or a head of a response that is sent as a part of a stream since it
	// has blank lines.
	DescribeTable("gives up a stream with lines that are no fields, after the events before them", func(text string) {
		Expect(relayer.New().Run(strings.NewReader(events+text+"\n\n"+done), out, &progress)).To(MatchError(relayer.ErrMalformedEvent))
		Expect(out.String()).To(Equal(events))
		Expect(progress.Events).To(Equal(int64(2)))
		Expect(progress.Done).To(BeFalse())
	},
		Entry("a page", "<p>fault</p>"),
		Entry("a head", "HTTP/1.1 500 Internal Server Error\r\nX-Error: fault"),
		Entry("a line after a comment", ": x\nfault"),
		Entry("compressed bytes", "\x1f\x8b\x08"),
	)

	// Guards against an error event that counts as a token of a stream, which would go on after
	// it with a token missing.
	DescribeTable("gives up a stream at an error event after other events", func(event string) {
		Expect(relayer.New().Run(strings.NewReader(events+event+"\n\n"+done), out, &progress)).To(MatchError(relayer.ErrErrorEvent))
		Expect(out.String()).To(Equal(events))
		Expect(progress.Events).To(Equal(int64(2)))
		Expect(progress.Done).To(BeFalse())
	},
		Entry("with an error object", `data: {"error": {"message":"fault"}}`),
		Entry("with an error text", `data: {"object":"error","error":"fault"}`),
		Entry("of the type error", "event: error\ndata: fault"),
	)

	It("forwards an error event that comes before any other as the whole answer", func() {
		event := "data: {\"error\":{\"message\":\"fault\"}}\n\n"
		Expect(relayer.New().Run(strings.NewReader(": x\n\n"+event+done), out, &progress)).To(Succeed())
		Expect(out.String()).To(Equal(": x\n\n" + event))
		Expect(progress.Events).To(BeZero())
	})

	It("forwards events that speak of an error and have none", func() {
		text := `data: {"error":null,"a":1}` + "\n\n" + `data: {"a":"the \"error\" field","b":{"error":1}}` + "\n\n" + done
		Expect(relayer.New().Run(strings.NewReader(text), out, &progress)).To(Succeed())
		Expect(out.String()).To(Equal(text))
		Expect(progress.Events).To(Equal(int64(2)))
	})

	It("forwards events that have fields and no data", func() {
		text := ": x\n\nevent: ping\ndata:1\n\nretry: 10\n\nid: 1\r\n: y\n\n\n\n" + events + done
		Expect(relayer.New().Run(strings.NewReader(text), out, &progress)).To(Succeed())
		Expect(out.String()).To(Equal(text))
	})

	It("limits the size of an event", func() {
		endless := io.MultiReader(strings.NewReader("data: "), strings.NewReader(strings.Repeat("x", 2<<20)))
		Expect(relayer.New().Run(endless, out, &progress)).To(MatchError(relayer.ErrEventTooLarge))
	})
})

// BenchmarkRelay forwards streams of 10,000 chunks. Each read returns one chunk.
func BenchmarkRelay(b *testing.B) {
	const chunks = 10_000
	chunk := []byte("data: {\"id\":\"0123456789abcdef\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token \"}}]}\n\n")
	relay := relayer.New()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		var progress relayer.Progress
		upstream := &chunkReader{chunk: chunk, left: chunks}
		if err := relay.Run(upstream, &discard{}, &progress); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(chunks*b.N)/b.Elapsed().Seconds(), "chunks/s")
}

type chunkReader struct {
	chunk []byte
	left  int
}

func (r *chunkReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return copy(p, done), nil
	}
	r.left--
	return copy(p, r.chunk), nil
}

type discard struct{}

func (*discard) Write(p []byte) (int, error) { return len(p), nil }
func (*discard) Flush() error                { return nil }
