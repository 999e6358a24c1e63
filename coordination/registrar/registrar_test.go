package registrar

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/catalog"
)

func TestRegistrar(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "registrar")
}

const service = "writer"

func entry(version catalog.SoftwareVersion) Software {
	return Software{Service: service, Version: version}
}

// store is a ledger that several instances share. It may be restored from a copy.
type store struct {
	entries []Software
	changes int64
	era     int64
	reads   int
}

func (s *store) restore(entries ...Software) { s.entries, s.era = entries, s.era+1 }

// client is the ledger as one instance reaches it.
type client struct {
	*store
	isCut bool
	// isReadOnly makes the store refuse changes.
	isReadOnly bool
	// era is the latest era that the instance has seen.
	era int64
}

var errCut = errors.New("store does not respond")

func (c *client) Era() int64 { return c.era }

func (c *client) Read(context.Context) (Page, error) {
	if c.isCut {
		return Page{}, errCut
	}
	c.reads++
	c.era = c.store.era
	return Page{Entries: slices.Clone(c.entries), Mark: c.changes, Era: c.era}, nil
}

func (c *client) Add(_ context.Context, entries []Software) error {
	if c.isCut || c.isReadOnly {
		return errCut
	}
	for _, e := range entries {
		if !slices.Contains(c.entries, e) {
			c.entries = append(c.entries, e)
		}
	}
	c.changes++
	c.era = c.store.era
	return nil
}

func (c *client) Remove(_ context.Context, e Software, mark int64) error {
	if c.isCut || c.isReadOnly || mark != c.changes {
		return errCut
	}
	c.entries = slices.DeleteFunc(c.entries, func(other Software) bool { return other == e })
	c.changes++
	return nil
}

// instance is a registrar whose steps the test takes.
type instance struct {
	*Registrar
	ledger     *client
	inUse      []Software
	isRecorder bool
	told       []Software
}

func newInstance(s *store, isRecorder bool, now *time.Time) *instance {
	i := &instance{ledger: &client{store: s}, isRecorder: isRecorder}
	i.Registrar = New(Config{
		Ledger: i.ledger, InUse: func() []Software { return i.inUse },
		IsRecorder: func() bool { return i.isRecorder }, Delay: func() time.Duration { return 200 * time.Millisecond },
		Tell: func(entries []Software) { i.told = entries }, OnChange: func() {},
		Logger: zerolog.Nop(), Now: func() time.Time { return *now },
	})
	return i
}

// confirm is like Confirm, in one step.
func (i *instance) confirm() ([]Software, error) {
	c := &confirmation{done: make(chan struct{})}
	i.step(context.Background(), []*confirmation{c})
	return c.entries, c.err
}

func (i *instance) stepOnce() { i.step(context.Background(), nil) }

var _ = Describe("Registrar", func() {
	var now time.Time
	var s *store
	BeforeEach(func() { now, s = time.Unix(1000, 0), &store{} })

	It("uses a version only once the ledger lists it", func() {
		recorder, other := newInstance(s, true, &now), newInstance(s, false, &now)
		recorder.inUse, other.inUse = []Software{entry("v1")}, []Software{entry("v1")}
		other.stepOnce()
		Expect(other.IsUsable(service, "v1")).To(BeFalse())
		recorder.stepOnce()
		Expect(recorder.IsUsable(service, "v1")).To(BeTrue())
		Expect(s.entries).To(Equal([]Software{entry("v1")}))
		other.hear(recorder.told)
		other.stepOnce()
		Expect(other.IsUsable(service, "v1")).To(BeTrue())
		Expect(other.IsUsable(service, "v2")).To(BeFalse())
		Expect(s.reads).To(Equal(2), "one read for each start")
	})

	It("records a version itself if the recorder does not", func() {
		other := newInstance(s, false, &now)
		other.inUse = []Software{entry("v1")}
		other.stepOnce()
		Expect(s.entries).To(BeEmpty())
		now = now.Add(200 * time.Millisecond)
		other.stepOnce()
		Expect(s.entries).To(Equal([]Software{entry("v1")}))
		Expect(other.IsUsable(service, "v1")).To(BeTrue())
	})

	It("does not use a new version while the ledger cannot be changed", func() {
		recorder := newInstance(s, true, &now)
		recorder.ledger.isReadOnly = true
		recorder.inUse = []Software{entry("v1")}
		recorder.stepOnce()
		Expect(recorder.IsUsable(service, "v1")).To(BeFalse())
		recorder.ledger.isReadOnly = false
		now = now.Add(retryDelay)
		recorder.stepOnce()
		Expect(recorder.IsUsable(service, "v1")).To(BeTrue())
	})

	// Guards against an instance that is out of step and takes the versions that it knows
	// for all of them.
	It("confirms the versions with a read, and fails if there is none", func() {
		recorder, apart := newInstance(s, true, &now), newInstance(s, false, &now)
		recorder.inUse, apart.inUse = []Software{entry("v1")}, []Software{entry("v1")}
		recorder.stepOnce()
		apart.stepOnce()
		recorder.inUse = []Software{entry("v1"), entry("v2")}
		recorder.stepOnce()
		Expect(apart.HasSeveral(service)).To(BeFalse())
		Expect(apart.confirm()).To(ConsistOf(entry("v1"), entry("v2")))
		Expect(apart.HasSeveral(service)).To(BeTrue())
		apart.ledger.isCut = true
		_, err := apart.confirm()
		Expect(err).To(HaveOccurred())
		reads := s.reads
		_, err = apart.confirm()
		Expect(err).To(MatchError(errUnavailable))
		Expect(s.reads).To(Equal(reads))
	})

	// Guards against streams of a version that the store has lost.
	It("writes again what a restored store has lost, and confirms nothing meanwhile", func() {
		recorder, fresh := newInstance(s, true, &now), newInstance(s, false, &now)
		recorder.inUse = []Software{entry("v1"), entry("v2")}
		recorder.stepOnce()
		s.restore(entry("v1"))
		_, err := fresh.confirm()
		Expect(err).To(MatchError(ErrUncertain))
		recorder.ledger.era = s.era
		recorder.stepOnce()
		Expect(s.entries).To(ConsistOf(entry("v1"), entry("v2")))
		Expect(recorder.IsUsable(service, "v2")).To(BeTrue())
		now = now.Add(rewriteTime)
		Expect(fresh.confirm()).To(ConsistOf(entry("v1"), entry("v2")))
	})

	// Guards against a version that stays lost because an instance that does not know of the
	// restore says that it is listed.
	It("writes again what a restored store has lost also if another instance takes it for listed", func() {
		other := newInstance(s, false, &now)
		other.inUse = []Software{entry("v1")}
		other.stepOnce()
		now = now.Add(200 * time.Millisecond)
		other.stepOnce()
		s.restore()
		other.ledger.era = s.era
		other.stepOnce()
		other.hear([]Software{entry("v1")})
		now = now.Add(200 * time.Millisecond)
		other.stepOnce()
		Expect(s.entries).To(Equal([]Software{entry("v1")}))
	})

	It("keeps a version as long as callers may take up its streams, and confirms it before it is used again", func() {
		recorder := newInstance(s, true, &now)
		recorder.inUse = []Software{entry("v1"), entry("v2")}
		recorder.stepOnce()
		recorder.inUse = []Software{entry("v2")}
		for range 59 {
			now = now.Add(time.Second)
			recorder.stepOnce()
		}
		Expect(recorder.HasSeveral(service)).To(BeTrue())
		now = now.Add(time.Second)
		recorder.stepOnce()
		Expect(s.entries).To(Equal([]Software{entry("v2")}))
		Expect(recorder.HasSeveral(service)).To(BeFalse())
		recorder.ledger.isReadOnly = true
		recorder.inUse = []Software{entry("v1"), entry("v2")}
		recorder.stepOnce()
		Expect(recorder.IsUsable(service, "v1")).To(BeFalse())
		Expect(recorder.IsUsable(service, "v2")).To(BeTrue())
	})
})
