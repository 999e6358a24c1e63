package bounder_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocushollow/crocushollow/protocol/bounder"
)

// Guards against memory that an end of a request does not give back, so that an instance refuses
// all bodies after a while, and against bodies that together exceed the budget.
func TestIntakeGivesMemoryBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(0, 2<<20).Draw(t, "capacity")
		intake := bounder.NewIntake(capacity)
		var open []*bounder.Body
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "ends") {
				n := rapid.IntRange(0, len(open)-1).Draw(t, "ending")
				open[n].Close()
				open[n].Close()
				open = append(open[:n], open[n+1:]...)
				continue
			}
			size := rapid.IntRange(0, 512<<10).Draw(t, "size")
			config := bounder.BodyConfig{
				Owner: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "owner"), Length: -1,
				Limit: rapid.SampledFrom([]int64{0, 1, 4 << 10, 100 << 10, 256 << 10}).Draw(t, "limit"),
			}
			config.IsKnown = config.Owner != ""
			if rapid.Bool().Draw(t, "announces") {
				config.Length = int64(size + rapid.IntRange(0, 1).Draw(t, "missing"))
			}
			body, err := intake.Open(config)
			if err != nil {
				if config.Limit == 0 || config.Length <= config.Limit {
					t.Fatalf("refused at once: %v", err)
				}
				continue
			}
			open = append(open, body)
			sent := bytes.Repeat([]byte("x"), size)
			reader := io.Reader(bytes.NewReader(sent))
			if rapid.Bool().Draw(t, "breaks") {
				reader = io.MultiReader(reader, iotest.ErrReader(errors.New("reset")))
			}
			if err = body.ReadAll(reader); err == nil && !bytes.Equal(body.Bytes(), sent) {
				t.Fatalf("%d bytes, sent %d", len(body.Bytes()), size)
			}
			if err == nil && config.Limit > 0 && int64(size) > config.Limit {
				t.Fatalf("%d bytes accepted, limit %d", size, config.Limit)
			}
			if used := intake.Used(); used > capacity {
				t.Fatalf("%d bytes used of %d", used, capacity)
			}
		}
		for _, body := range open {
			body.Close()
		}
		if used := intake.Used(); used != 0 {
			t.Fatalf("%d bytes were not given back", used)
		}
	})
}

var _ = Describe("Bodies of callers", func() {
	const capacity = 1 << 20

	read := func(intake *bounder.Intake, owner string, size int) error {
		GinkgoHelper()
		body, err := intake.Open(bounder.BodyConfig{Owner: owner, IsKnown: owner != "", Length: -1})
		Expect(err).NotTo(HaveOccurred())
		return body.ReadAll(bytes.NewReader(make([]byte, size)))
	}
	fill := func(intake *bounder.Intake, owner string, size int) {
		GinkgoHelper()
		for range 2 * capacity / size {
			if read(intake, owner, size) != nil {
				return
			}
		}
	}

	// Guards against the crowd of one workspace that takes what the others need.
	It("leave memory for another workspace", func() {
		intake := bounder.NewIntake(capacity)
		fill(intake, "crowd", 30<<10)
		err := read(intake, "other", 200<<10)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against large bodies, or those of unknown callers, that take what small bodies of
	// known callers need.
	It("leave memory for small ones of known callers", func() {
		intake := bounder.NewIntake(capacity)
		fill(intake, "", 100<<10)
		fill(intake, "a", 100<<10)
		fill(intake, "b", 100<<10)
		err := read(intake, "c", 200<<10)
		Expect(err).To(MatchError(bounder.ErrShort))
		err = read(intake, "c", 60<<10)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a share of a workspace that refuses a large request in calm.
	It("may take more than a workspace's share if it has no other", func() {
		err := read(bounder.NewIntake(capacity), "a", capacity*5/8)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against memory that is taken by what callers announce.
	It("take no memory for what was announced only", func() {
		intake := bounder.NewIntake(capacity)
		body, err := intake.Open(bounder.BodyConfig{Length: capacity / 4})
		Expect(err).NotTo(HaveOccurred())
		Expect(body.ReadAll(bytes.NewReader([]byte("x")))).To(MatchError(io.ErrUnexpectedEOF))
		Expect(intake.Used()).To(BeZero())
	})
})
