package controller

import (
	"context"
	"sync"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/sharer"
	"github.com/crocushollow/crocushollow/state/limiter"
)

// quotaRequests collects the quota shortfalls of requests until the control
// loop takes them. It is safe for concurrent use.
type quotaRequests struct {
	mu         sync.Mutex
	shortfalls map[limiter.ResourceKey]float64
	// replied holds a channel per limit that is closed when the owner replies.
	replied map[limiter.ResourceKey]chan struct{}
	// signal has one element while shortfalls are pending.
	signal chan struct{}
}

func newQuotaRequests() *quotaRequests {
	return &quotaRequests{
		shortfalls: make(map[limiter.ResourceKey]float64),
		replied:    make(map[limiter.ResourceKey]chan struct{}),
		signal:     make(chan struct{}, 1),
	}
}

// RequestQuota asks the owner of a limit for more quota. The returned channel is
// closed when the owner has replied.
func (c *Controller) RequestQuota(key limiter.ResourceKey, shortfall float64) <-chan struct{} {
	q := c.quotaRequests
	q.mu.Lock()
	q.shortfalls[key] += shortfall
	replied, found := q.replied[key]
	if !found {
		replied = make(chan struct{})
		q.replied[key] = replied
	}
	q.mu.Unlock()
	select {
	case q.signal <- struct{}{}:
	default:
	}
	return replied
}

func (q *quotaRequests) takeShortfalls() map[limiter.ResourceKey]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.shortfalls
	q.shortfalls = make(map[limiter.ResourceKey]float64)
	return taken
}

func (q *quotaRequests) notify(keys []limiter.ResourceKey) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, key := range keys {
		if replied, found := q.replied[key]; found {
			close(replied)
			delete(q.replied, key)
		}
	}
}

func (c *Controller) sendShortfalls(now time.Time) {
	for key, shortfall := range c.quotaRequests.takeShortfalls() {
		c.quotaClient.RecordShortfall(key, shortfall)
	}
	c.sendExchanges(c.quotaClient.PollShortfalls(c.state(), now), now)
}

// sendExchanges delivers quota exchanges. Exchanges with this instance are
// handled directly, without a network call.
func (c *Controller) sendExchanges(envelopes []sharer.Envelope, now time.Time) {
	for _, envelope := range envelopes {
		if envelope.To.MemberID() == c.self.MemberID() {
			c.handleReply(c.quotaOwner.HandleExchange(envelope.Exchange, now), now)
			continue
		}
		c.runAsync(c.config.Timing.CallTimeout, func(ctx context.Context) event {
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
		c.handleReply(e.reply, time.Now())
		if e.reply.HasRefusal() {
			c.pollAfterRefusal()
		}
		c.sendExchanges(c.quotaClient.PollShortfalls(c.state(), time.Now()), time.Now())
	}
}

// pollAfterRefusal resends refused exchanges after a short delay.
func (c *Controller) pollAfterRefusal() {
	c.runAsync(c.config.Timing.CallTimeout, func(ctx context.Context) event {
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
	c.sendExchanges(c.quotaClient.Poll(c.state(), now), now)
}

func (c *Controller) handleReply(reply sharer.ExchangeReply, now time.Time) {
	decided := c.quotaClient.HandleReply(reply, now)
	if len(decided) == 0 {
		return
	}
	c.quotaRequests.notify(decided)
	c.config.OnStateChange()
}

// HandleExchange handles a peer's quota exchange for shards that this instance
// owns.
func (c *Controller) HandleExchange(ctx context.Context, exchange sharer.Exchange) (sharer.ExchangeReply, error) {
	e := exchangeReceived{exchange: exchange, answer: make(chan sharer.ExchangeReply, 1)}
	return postAndWait(ctx, c, e.answer, e)
}

type exchangeReceived struct {
	exchange sharer.Exchange
	answer   chan sharer.ExchangeReply
}

func (e exchangeReceived) apply(c *Controller) {
	e.answer <- c.quotaOwner.HandleExchange(e.exchange, time.Now())
}

// applyTableChanges applies table changes to the local quotas and forgets
// removed upstreams.
func (c *Controller) applyTableChanges(now time.Time) {
	table := c.state().Table()
	for key, quota := range c.config.Quotas.Shares {
		resource, found := limiter.ResourceOf(table, key, c.config.Detector)
		if !found {
			c.config.Quotas.Remove(key)
			continue
		}
		if bucket, isBucket := quota.(*limiter.Bucket); isBucket {
			bucket.SetRateLimit(resource.RateLimit, now)
		}
	}
	c.config.Detector.RemoveMissing(func(id string) bool {
		_, found := table.Upstream(id)
		return found
	})
}
