package controller

import (
	"context"
	"sync"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/sharer"
	"github.com/crocushollow/crocushollow/state/limiter"
)

// wants collects the quota shortfalls of requests until the control loop takes
// them. It is safe for concurrent use.
type wants struct {
	mu         sync.Mutex
	shortfalls map[limiter.ResourceKey]float64
	// decided holds a channel per limit that is closed when the owner replies.
	decided map[limiter.ResourceKey]chan struct{}
	// signal has one element while shortfalls are pending.
	signal chan struct{}
}

func newWants() *wants {
	return &wants{
		shortfalls: make(map[limiter.ResourceKey]float64),
		decided:    make(map[limiter.ResourceKey]chan struct{}),
		signal:     make(chan struct{}, 1),
	}
}

// Want requests more quota from the owner of a limit. The returned channel is
// closed when the owner has replied.
func (c *Controller) Want(key limiter.ResourceKey, shortfall float64) <-chan struct{} {
	w := c.wants
	w.mu.Lock()
	w.shortfalls[key] += shortfall
	decided, found := w.decided[key]
	if !found {
		decided = make(chan struct{})
		w.decided[key] = decided
	}
	w.mu.Unlock()
	select {
	case w.signal <- struct{}{}:
	default:
	}
	return decided
}

func (w *wants) take() map[limiter.ResourceKey]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	taken := w.shortfalls
	w.shortfalls = make(map[limiter.ResourceKey]float64)
	return taken
}

func (w *wants) decide(keys []limiter.ResourceKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, key := range keys {
		if decided, found := w.decided[key]; found {
			close(decided)
			delete(w.decided, key)
		}
	}
}

func (c *Controller) takeWants(now time.Time) {
	for key, shortfall := range c.wants.take() {
		c.holder.RecordShortfall(key, shortfall)
	}
	c.send(c.holder.PollShortfalls(c.state(), now), now)
}

// send delivers quota exchanges. Exchanges with this instance are handled
// directly, without a network call.
func (c *Controller) send(envelopes []sharer.Envelope, now time.Time) {
	for _, envelope := range envelopes {
		if envelope.To.MemberID() == c.self.MemberID() {
			c.accept(c.owner.HandleExchange(envelope.Exchange, now), now)
			continue
		}
		c.start(c.config.Timing.CallTimeout, func(ctx context.Context) event {
			reply, err := c.config.Peers.Exchange(ctx, envelope.To, envelope.Exchange)
			if err != nil {
				return nil
			}
			return exchangeAnswered{from: envelope.Exchange.From, reply: reply}
		})
	}
}

type exchangeAnswered struct {
	from  crocushollow.MemberID
	reply sharer.ExchangeReply
}

func (e exchangeAnswered) apply(c *Controller) {
	if e.from == c.self.MemberID() {
		c.accept(e.reply, time.Now())
		if e.reply.HasRefusal() {
			c.pollAfterRefusal()
		}
		c.send(c.holder.PollShortfalls(c.state(), time.Now()), time.Now())
	}
}

// pollAfterRefusal resends refused exchanges after a short delay.
func (c *Controller) pollAfterRefusal() {
	c.start(c.config.Timing.CallTimeout, func(ctx context.Context) event {
		timer := time.NewTimer(sharer.RefusalRetryDelay)
		defer timer.Stop()
		select {
		case <-timer.C:
			return pollDue{}
		case <-ctx.Done():
			return nil
		}
	})
}

type pollDue struct{}

func (pollDue) apply(c *Controller) {
	now := time.Now()
	c.send(c.holder.Poll(c.state(), now), now)
}

func (c *Controller) accept(reply sharer.ExchangeReply, now time.Time) {
	decided := c.holder.HandleReply(reply, now)
	if len(decided) == 0 {
		return
	}
	c.wants.decide(decided)
	c.config.OnStateChange()
}

// HandleExchange handles a peer's quota exchange for shards that this instance
// owns.
func (c *Controller) HandleExchange(ctx context.Context, exchange sharer.Exchange) (sharer.ExchangeReply, error) {
	e := exchangeAsked{exchange: exchange, answer: make(chan sharer.ExchangeReply, 1)}
	return ask(ctx, c, e.answer, e)
}

type exchangeAsked struct {
	exchange sharer.Exchange
	answer   chan sharer.ExchangeReply
}

func (e exchangeAsked) apply(c *Controller) {
	e.answer <- c.owner.HandleExchange(e.exchange, time.Now())
}

// followRows applies table changes to the local quotas and forgets removed
// upstreams.
func (c *Controller) followRows(now time.Time) {
	table := c.state().Table()
	for key, part := range c.config.Quotas.Shares {
		resource, found := limiter.ResourceOf(table, key, c.config.Detector)
		if !found {
			c.config.Quotas.Remove(key)
			continue
		}
		if bucket, isBucket := part.(*limiter.Bucket); isBucket {
			bucket.SetRateLimit(resource.RateLimit, now)
		}
	}
	c.config.Detector.RemoveMissing(func(id string) bool {
		_, found := table.Upstream(id)
		return found
	})
}
