package bounder_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/protocol/bounder"
)

func TestBounder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bounder")
}

// endless is a response that does not end.
type endless struct{ delivered int }

func (e *endless) Read(p []byte) (int, error) {
	e.delivered += len(p)
	return len(p), nil
}

var _ = Describe("Buffers that share a budget", func() {
	const budget = 64 << 10

	It("hold no more than the budget together, whatever is sent to them", func() {
		shared := bounder.NewBudget(budget)
		delivered := 0
		for range 20 {
			b := bounder.NewBuffer(shared, 1<<20)
			source := &endless{}
			Expect(b.ReadAll(source)).To(MatchError(bounder.ErrFull))
			delivered += source.delivered
			DeferCleanup(b.Release)
		}
		Expect(delivered).To(BeNumerically("<=", budget+20*bounder.MinBytes))
		small := bounder.NewBuffer(shared, 1<<20)
		Expect(small.ReadAll(strings.NewReader("sound"))).To(Succeed())
		Expect(string(small.Bytes())).To(Equal("sound"))
	})

	// Guards against sound responses that find no memory because of a few that do not end.
	It("leave memory to small responses if others do not end", func() {
		shared := bounder.NewBudget(4 << 20)
		for range 8 {
			b := bounder.NewBuffer(shared, 16<<20)
			Expect(b.ReadAll(&endless{})).To(MatchError(bounder.ErrFull))
			DeferCleanup(b.Release)
		}
		sound := bounder.NewBuffer(shared, 1<<20)
		Expect(sound.ReadAll(strings.NewReader(strings.Repeat("x", 20<<10)))).To(Succeed())
	})

	It("give the memory back", func() {
		shared := bounder.NewBudget(budget)
		for range 20 {
			b := bounder.NewBuffer(shared, 1<<20)
			Expect(b.ReadAll(&endless{})).To(MatchError(bounder.ErrFull))
			b.Release()
		}
		text := strings.Repeat("x", budget/2)
		b := bounder.NewBuffer(shared, 1<<20)
		Expect(b.ReadAll(strings.NewReader(text))).To(Succeed())
		Expect(string(b.Bytes())).To(Equal(text))
	})

	It("limit errors that quote a response", func() {
		err := bounder.LimitError(fmt.Errorf("malformed %q: %w", strings.Repeat("\xff", 60_000), io.ErrUnexpectedEOF))
		Expect(len(err.Error())).To(BeNumerically("<", 1<<10))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(bounder.LimitError(io.EOF)).To(BeIdenticalTo(io.EOF))
		Expect(bounder.LimitError(nil)).To(Succeed())
	})

	// Guards against sound responses that fail at the moment when a faulty one asks for more than
	// is left.
	It("get memory that is left while another buffer is refused more", func() {
		shared := bounder.NewBudget(budget)
		stop, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(stopped)
			for {
				select {
				case <-stop:
					return
				default:
				}
				b := bounder.NewBuffer(shared, 1<<20)
				_ = b.ReadAll(&endless{})
				b.Release()
			}
		}()
		DeferCleanup(func() { close(stop); <-stopped })
		text := strings.Repeat("x", bounder.MinBytes)
		// The endless response holds 60 KB of 64 KB at most, and these take 4 KB.
		refused := 0
		for range 200_000 {
			b := bounder.NewBuffer(shared, 2*bounder.MinBytes)
			if b.ReadAll(strings.NewReader(text)) != nil {
				refused++
			}
			b.Release()
		}
		Expect(refused).To(BeZero())
	})

	It("pass on why a response broke off", func() {
		b := bounder.NewBuffer(bounder.NewBudget(budget), 1<<20)
		Expect(b.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF))).To(MatchError(io.ErrUnexpectedEOF))
	})
})
