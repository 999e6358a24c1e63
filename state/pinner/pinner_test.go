package pinner_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow/catalog"
	"github.com/crocushollow/crocushollow/state/pinner"
)

func TestPinner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pinner")
}

var start = time.Unix(1000, 0)

func pinOf(id string, version catalog.SoftwareVersion) pinner.Pin {
	return pinner.Pin{
		Stream: pinner.StreamOf(id), Origin: pinner.Origin{Service: "writer", Version: version}, TTL: 10 * time.Second,
	}
}

var _ = Describe("Pinner", func() {
	It("remembers the origin of a stream for as long as callers may take it up", func() {
		p := pinner.New()
		p.Pin(pinOf("a", "v1"), start)
		Expect(p.Lookup(pinner.StreamOf("a"), start.Add(4*time.Second))).To(Equal(pinner.Pin{
			Stream: pinner.StreamOf("a"), Origin: pinner.Origin{Service: "writer", Version: "v1"}, TTL: 6 * time.Second,
		}))
		Expect(p.Lookup(pinner.StreamOf("a"), start.Add(10*time.Second)).Origin.Version.IsKnown()).To(BeFalse())
		Expect(p.Lookup(pinner.StreamOf("b"), start).Origin.Version.IsKnown()).To(BeFalse())
	})

	// Guards against a stream that changes its version because a late message contradicts
	// what is known.
	It("keeps the first origin of a stream, and ignores unknown ones", func() {
		p := pinner.New()
		p.Pin(pinOf("a", ""), start)
		Expect(p.Pins("writer", start)).To(BeEmpty())
		p.Pin(pinOf("a", "v1"), start)
		p.Pin(pinOf("a", "v2"), start.Add(time.Second))
		Expect(p.Lookup(pinner.StreamOf("a"), start.Add(time.Second)).Origin.Version).To(Equal(catalog.SoftwareVersion("v1")))
		Expect(p.Pins("writer", start)).To(HaveLen(1))
		Expect(p.Pins("other", start)).To(BeEmpty())
	})

	// Guards against memory that grows with the number of streams.
	It("is bounded", func() {
		p := pinner.New()
		for n := range 100_000 {
			p.Pin(pinOf(fmt.Sprint(n), "v1"), start)
		}
		Expect(p.Pins("writer", start)).To(HaveLen(1 << 16))
		for n := range 1024 {
			p.Pin(pinOf(fmt.Sprint("later ", n), "v1"), start.Add(11*time.Second))
		}
		Expect(len(p.Pins("writer", start.Add(11*time.Second)))).To(BeNumerically("<=", 1024))
	})
})
